//! Heartbeats between control daemons, and the dissemination of targets' announcements among them.
//!
//! An announcement by which a target stops taking flows is sent to all daemons at once; other changes are
//! batched for a short time. Repeated announcements are sent with the heartbeats, without their content. A
//! receiver whose record differs in content fetches the announcement.
//! One daemon of each pair sends the heartbeats (`Hello` messages), and each response carries the heartbeat
//! of the other one.

use super::operations::BROADCAST_DEADLINE;
use super::peers::join_interval;
use super::{Control, PEER_TIMEOUT};
use crate::counters::{MessageKind, measure};
use crate::messages::{ControlState, FleetRequest, FleetResponse, Hello};
use comfreyhold_consensus::register::Ballot;
use comfreyhold_membership::announcements::AnnouncementOutcome;
use comfreyhold_types::announcement::{Announcement, AnnouncementError, Availability};
use comfreyhold_types::keys::TargetId;
use comfreyhold_types::routes::SharedState;
use comfreyhold_wire::envelope::encode_body;
use futures_util::future::{join, join_all};
use serde_json::json;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Interval of heartbeats to one daemon.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(450);

/// Deadline for the response to a heartbeat.
pub(super) const HEARTBEAT_DEADLINE: Duration = Duration::from_millis(800);

/// Time without a message from a peer after which a daemon sends heartbeats although the peer should: one
/// heartbeat of the peer may be lost.
const HEARTBEAT_OVERDUE: Duration = HEARTBEAT_INTERVAL.saturating_mul(2);

/// Deadline for fetching a chosen value from another daemon.
const VALUE_FETCH_DEADLINE: Duration = Duration::from_millis(1_500);

/// Time for which changed targets are collected before they are sent to the other daemons. When many
/// processes start together, one message for each target to each daemon would take longer than that.
const BROADCAST_DELAY: Duration = Duration::from_millis(100);

/// Maximum number of concurrent fetches of the newest value in a large fleet, where many daemons name it at the same
/// time. The second one covers a holder that does not respond; the next heartbeats name it again.
const MAX_VALUE_FETCHES: usize = 2;

impl Control {
    pub(super) async fn run_heartbeats(self: Rc<Self>) {
        loop {
            let is_joined = self.register.chosen().is_some();
            self.choose_partners();
            for address in self.take_heartbeats_due(is_joined) {
                if !self.heartbeats_in_flight.borrow_mut().insert(address) {
                    continue;
                }
                if self.sends_relay(&address) {
                    tokio::task::spawn_local(Rc::clone(&self).send_relay(address));
                } else {
                    tokio::task::spawn_local(Rc::clone(&self).send_heartbeat(address));
                }
            }
            let interval = if is_joined {
                HEARTBEAT_INTERVAL
            } else {
                join_interval(self.peers.borrow().count() + 1, rand::random())
            };
            tokio::time::sleep(interval).await;
            let now = self.observe_activity();
            self.check_contact(now);
            if let Some(value) = self.register.newest_known() {
                // The seeds may all be down, while the voters are also known from the local disk.
                let voters = value.voters.all();
                let mut peers = self.peers.borrow_mut();
                peers.add(voters.iter().map(|voter| voter.address), now);
                peers.forget(&voters, now);
                let addresses = peers.addresses();
                self.connections.retain(|address| addresses.contains(address));
                self.relay_links.borrow_mut().drop_old(&peers, now);
            }
            self.refreshed_targets
                .borrow_mut()
                .retain(|_, refreshed| now < *refreshed + PEER_TIMEOUT);
            let previous_revision = self.targets.borrow().revision();
            let timed_out = self.targets.borrow_mut().check_timeouts(now);
            for id in timed_out {
                self.record("target-silent", || json!({"target": id.to_string()}));
            }
            self.notify_targets(previous_revision);
            self.encodings.borrow_mut().drop_unused(now);
        }
    }

    /// Returns the daemons to which a heartbeat is due, and records it as sent. Until the declarations are
    /// known, seeds and voters are included each time, since they may know them.
    fn take_heartbeats_due(&self, is_joined: bool) -> Vec<SocketAddr> {
        let now = self.clock.now();
        let mut peers = self.peers.borrow_mut();
        let (interval, overdue) = (HEARTBEAT_INTERVAL, HEARTBEAT_OVERDUE);
        let partners = self.partners.borrow();
        let mut due = if partners.is_empty() {
            peers.take_heartbeats_due(interval, overdue, now)
        } else {
            peers.take_partner_heartbeats_due(&partners, interval, overdue, now)
        };
        if !is_joined {
            due.extend(peers.seeds());
            let newest = self.register.newest_known();
            due.extend(newest.iter().flat_map(|value| value.voters.all()).map(|v| v.address));
            due.remove(&self.me.address);
        }
        due.into_iter().collect()
    }

    pub(super) async fn send_heartbeat(self: Rc<Self>, address: SocketAddr) {
        let (hello, previously_sent_until) = self.next_heartbeat(address);
        let request = FleetRequest::Hello(hello);
        let response = self.connections.call(address, &request, HEARTBEAT_DEADLINE).await;
        self.heartbeats_in_flight.borrow_mut().remove(&address);
        match response {
            Ok(FleetResponse::Hello(hello)) => {
                return measure(MessageKind::Hello, || self.receive_heartbeat(hello));
            }
            Ok(_) => log::warn!("unexpected type of response to a heartbeat from {address}"),
            Err(error) => log::debug!("heartbeat to {address}: {error}"),
        }
        // The refreshes in the heartbeat may be lost, so the next one repeats them.
        self.peers.borrow_mut().set_refreshes_sent_until(&address, previously_sent_until);
    }

    /// Builds the next heartbeat to a daemon. Also returns the time up to which repeated announcements had
    /// been sent to it before.
    pub(super) fn next_heartbeat(&self, address: SocketAddr) -> (Hello, Option<Instant>) {
        let now = self.clock.now();
        let sent_until = self.peers.borrow_mut().set_refreshes_sent_until(&address, Some(now));
        let refreshed_targets = self.refreshed_targets.borrow();
        let unsent = refreshed_targets
            .iter()
            .filter(|(_, refreshed)| sent_until.is_none_or(|sent| **refreshed > sent));
        let ids: Vec<TargetId> = unsent.map(|(id, _)| *id).collect();
        let repeated = self.targets.borrow().repetitions(&ids, now);
        (Hello { state: self.local_state(), repeated }, sent_until)
    }

    /// Applies another daemon's heartbeat. Fetches what this daemon lacks, and sends the announcements that
    /// the other one lacks.
    pub(super) fn receive_heartbeat(self: &Rc<Self>, hello: Hello) {
        let now = self.clock.now();
        let Hello { state, repeated } = hello;
        let address = state.replica.address;
        if address == self.me.address {
            return;
        }
        let previous_revision = self.targets.borrow().revision();
        let unknown = self.targets.borrow_mut().refresh(&repeated, now);
        self.notify_targets(previous_revision);
        if !unknown.is_empty() {
            self.record("missed-announcements", || {
                let ids: Vec<String> = unknown.iter().map(TargetId::to_string).collect();
                json!({"from": address, "targets": ids})
            });
            tokio::task::spawn_local(Rc::clone(self).fetch_announcements(address, unknown));
        }
        self.receive_control_state(state, now);
    }

    /// Applies another daemon's state, and sends it the announcements that it lacks.
    pub(super) fn receive_control_state(self: &Rc<Self>, state: ControlState, now: Instant) {
        let address = state.replica.address;
        let (chosen, domain) = (state.chosen, state.domain.clone());
        let digests = self.targets.borrow().digests();
        let is_new_incarnation = self.peers.borrow_mut().receive_state(state, &digests, now);
        if is_new_incarnation {
            self.record("control-found", || json!({"address": address, "domain": domain}));
            // It may have lost its data folder, or take the place of a voter.
            self.repair_due.notify_one();
        }
        self.receive_chosen(chosen, address);
        let differing = self.peers.borrow_mut().take_differing(&address);
        let announcements = if is_new_incarnation {
            let refreshed: Vec<TargetId> =
                self.refreshed_targets.borrow().keys().copied().collect();
            self.targets.borrow().for_restarted_daemon(&refreshed, now)
        } else {
            self.targets.borrow().in_groups(&differing, now)
        };
        if !announcements.is_empty() {
            let kind = if is_new_incarnation {
                MessageKind::AnnouncedRestart
            } else {
                MessageKind::AnnouncedDifference
            };
            self.send_announcements(kind, address, FleetRequest::Announced(announcements));
        }
    }

    async fn fetch_announcements(self: Rc<Self>, from: SocketAddr, ids: Vec<TargetId>) {
        let request = FleetRequest::Announcements(ids);
        match self.connections.call(from, &request, BROADCAST_DEADLINE).await {
            Ok(FleetResponse::Announcements(announcements)) => {
                self.apply_announcements(&announcements);
            }
            Ok(_) => {
                log::warn!("unexpected type of response to a fetch of announcements from {from}")
            }
            Err(error) => log::debug!("announcements from {from}: {error}"),
        }
    }

    /// Learns that a value was chosen under a ballot, and fetches it from `holder` unless the local disk
    /// holds it.
    pub(super) fn receive_chosen(self: &Rc<Self>, ballot: Ballot, holder: SocketAddr) {
        if ballot <= self.register.chosen_ballot() {
            return;
        }
        if self.register.learn_accepted(ballot) {
            return self.notify_chosen();
        }
        let mut contact = self.contact.get();
        contact.record_named(ballot, self.register.chosen_ballot(), self.clock.now());
        self.contact.set(contact);
        let fetches = self.value_fetches.get();
        if self.is_large_fleet() && fetches >= MAX_VALUE_FETCHES {
            return;
        }
        self.value_fetches.set(fetches + 1);
        let control = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let request = FleetRequest::Newest(control.register.chosen_ballot());
            match control.connections.call(holder, &request, VALUE_FETCH_DEADLINE).await {
                Ok(FleetResponse::Newest(Some(value))) => control.learn(&value),
                Ok(_) => {}
                Err(error) => log::debug!("newest value from {holder}: {error}"),
            }
            control.value_fetches.set(control.value_fetches.get().saturating_sub(1));
        });
    }

    /// Sends a request to one daemon without waiting for its response.
    fn send_announcements(
        self: &Rc<Self>,
        kind: MessageKind,
        to: SocketAddr,
        request: FleetRequest,
    ) {
        let control = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let connections = &control.connections;
            let sent = connections.call_as(kind, to, &request, BROADCAST_DEADLINE).await;
            if let Err(error) = sent {
                log::debug!("announcements for {to}: {error}");
            }
        });
    }

    /// Handles an announcement that a target sent to this daemon. A change that takes the target out of use
    /// is sent to the live daemons and saved before this returns.
    pub(super) async fn handle_announcement(
        self: &Rc<Self>,
        announcement: &Announcement,
    ) -> Result<(), AnnouncementError> {
        if let Err(error) = announcement.check() {
            self.record_refused(&announcement.id.to_string(), &error.to_string());
            return Err(error);
        }
        let now = self.clock.now();
        let outcome = self.targets.borrow_mut().apply(announcement, now);
        let name: &'static str = outcome.into();
        metrics::counter!("announcements", "heard" => name).increment(1);
        match outcome {
            AnnouncementOutcome::Changed => {
                self.record_own_refresh(announcement.id, now);
                self.changed.notify_waiters();
                self.record_target(announcement, "target");
                if announcement.availability == Availability::Serving {
                    self.pending_broadcast.borrow_mut().insert(announcement.id);
                    self.broadcast_due.notify_one();
                } else {
                    let told = self.broadcast(FleetRequest::Announced(vec![announcement.clone()]));
                    join(told, self.save_left(std::slice::from_ref(announcement))).await;
                }
            }
            AnnouncementOutcome::Refreshed => {
                self.record_own_refresh(announcement.id, now);
            }
            AnnouncementOutcome::Stale => self.record_target(announcement, "stale-announcement"),
            AnnouncementOutcome::Held => {
                self.record_target(announcement, "held-announcement");
                if announcement.availability != Availability::Serving {
                    // The other daemons may know a newer publication, and have the target in use.
                    self.broadcast(FleetRequest::Announced(vec![announcement.clone()])).await;
                }
            }
        }
        Ok(())
    }

    /// Counts and logs an announcement that is refused.
    pub(super) fn record_refused(&self, from: &str, reason: &str) {
        metrics::counter!("announcements", "heard" => "refused").increment(1);
        self.record("refused-announcement", || json!({"target": from, "reason": reason}));
    }

    /// Sends changed targets that take flows to the other daemons, in batches.
    pub(super) async fn run_broadcasts(self: Rc<Self>) {
        loop {
            self.broadcast_due.notified().await;
            tokio::time::sleep(BROADCAST_DELAY).await;
            let ids: Vec<TargetId> =
                std::mem::take(&mut *self.pending_broadcast.borrow_mut()).into_iter().collect();
            let announcements = self.targets.borrow().by_ids(&ids, self.clock.now());
            tokio::task::spawn_local(self.broadcast(FleetRequest::Announced(announcements)));
        }
    }

    /// Handles the end of a target that was announced to this daemon. The call names the target only: the end is that
    /// of the latest incarnation known at this moment, and is sent to the other daemons as such.
    pub(super) async fn handle_end(self: &Rc<Self>, id: TargetId) {
        let Some(last) = self.find_last_announcement(id).await else { return };
        let end = last.end();
        let ended = self.apply_announcements(std::slice::from_ref(&end));
        join(self.broadcast(FleetRequest::Announced(vec![end])), self.save_left(&ended)).await;
    }

    /// Returns the last announcement of a target that has not ended. Asks the other daemons unless the target has
    /// announced itself lately.
    async fn find_last_announcement(&self, id: TargetId) -> Option<Announcement> {
        let has_not_ended = |last: &Announcement| last.availability != Availability::Ended;
        let recent = self.targets.borrow().by_ids(&[id], self.clock.now()).pop();
        if let Some(recent) = recent.filter(has_not_ended) {
            return Some(recent);
        }
        let request = FleetRequest::LastAnnouncement(id);
        let ask = |to| self.connections.call(to, &request, BROADCAST_DEADLINE);
        let responses = join_all(self.live_peers().into_iter().map(ask)).await;
        let told = responses.into_iter().filter_map(|response| match response {
            Ok(FleetResponse::Announcements(announcements)) => Some(announcements),
            _ => None,
        });
        let own = self.targets.borrow().last_announcement(id).cloned();
        let of_target = told.flatten().filter(|told| told.id == id && told.check().is_ok());
        own.into_iter().chain(of_target).max_by_key(Announcement::position).filter(has_not_ended)
    }

    /// Applies announcements received from other daemons, except for those that are out of range: a daemon of
    /// another version may have taken them in. Returns those that have changed a target.
    pub(super) fn apply_announcements(&self, announcements: &[Announcement]) -> Vec<Announcement> {
        self.apply_aged_announcements(announcements, |_| Some(Duration::ZERO))
    }

    /// Like `apply_announcements`, with the time since each target was heard. Those without one are not applied.
    pub(super) fn apply_aged_announcements(
        &self,
        announcements: &[Announcement],
        age: impl Fn(&TargetId) -> Option<Duration>,
    ) -> Vec<Announcement> {
        let now = self.clock.now();
        let previous_revision = self.targets.borrow().revision();
        let mut changed = Vec::new();
        for announcement in announcements {
            if let Err(error) = announcement.check() {
                self.record_refused(&announcement.id.to_string(), &error.to_string());
                continue;
            }
            let Some(age) = age(&announcement.id) else { continue };
            let outcome = self.targets.borrow_mut().apply_aged(announcement, age, now);
            if outcome == AnnouncementOutcome::Changed {
                self.record_target(announcement, "target");
                changed.push(announcement.clone());
            }
        }
        self.notify_targets(previous_revision);
        changed
    }

    /// Applies the announcements that were held for services of a newer publication.
    pub(super) fn release_held(&self, state: &SharedState) {
        let now = self.clock.now();
        let previous_revision = self.targets.borrow().revision();
        let changed = self.targets.borrow_mut().add_services(state.named_services(), now);
        self.notify_targets(previous_revision);
        if changed.is_empty() {
            return;
        }
        self.record("announcements-released", || json!({"targets": changed.len()}));
        for id in &changed {
            self.record_own_refresh(*id, now);
        }
        self.pending_broadcast.borrow_mut().extend(changed);
        self.broadcast_due.notify_one();
    }

    /// Wakes the entries' long polls if the targets have changed since a revision.
    pub(super) fn notify_targets(&self, previous_revision: u64) {
        if self.targets.borrow().revision() != previous_revision {
            self.changed.notify_waiters();
        }
    }

    fn record_target(&self, announcement: &Announcement, kind: &'static str) {
        self.record(kind, || {
            json!({
                "target": announcement.id.to_string(),
                "service": announcement.service,
                "address": announcement.address,
                "domain": announcement.domain.to_string(),
                "availability": announcement.availability.to_string(),
                "born_ms": announcement.stamp.born_ms,
                "sequence": announcement.stamp.sequence,
                "cold_ms": announcement.cold_ms,
            })
        });
    }

    /// Sends a request to all live daemons, and waits for their responses.
    fn broadcast(self: &Rc<Self>, request: FleetRequest) -> impl Future<Output = ()> + use<> {
        let control = Rc::clone(self);
        async move {
            let kind = MessageKind::AnnouncedChange;
            let body = match measure(kind, || encode_body(&request)) {
                Ok(body) => body,
                Err(error) => return log::error!("can't encode announcements: {error}"),
            };
            let send = |to| {
                let (control, body) = (&control, &body);
                async move {
                    let connections = &control.connections;
                    let sent = connections.call_encoded(kind, to, body, BROADCAST_DEADLINE).await;
                    if let Err(error) = sent {
                        log::debug!("announcements for {to}: {error}");
                    }
                }
            };
            join_all(control.live_peers().into_iter().map(send)).await;
        }
    }
}
