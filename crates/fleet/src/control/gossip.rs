//! Hellos between control daemons, and the spread of targets' announcements among them.
//!
//! An announcement by which a target takes no more flows is sent to all daemons at once; other changes are
//! gathered for a moment. Repeated announcements travel with the hellos, as an id and a number each. One side
//! of each pair of daemons says hello, and the response is the other side's.

use super::orders::SPREAD_DEADLINE;
use super::{Control, PEER_SILENCE};
use crate::messages::{FleetRequest, FleetResponse, Hello};
use comfreyhold_consensus::register::Ballot;
use comfreyhold_membership::announcements::AnnouncementOutcome;
use comfreyhold_types::announcement::{Announcement, Availability};
use comfreyhold_types::keys::TargetId;
use comfreyhold_wire::envelope::encode_body;
use futures_util::future::join_all;
use serde_json::json;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Interval of hellos.
const HELLO_INTERVAL: Duration = Duration::from_millis(450);

/// Time in which a hello must be answered.
const HELLO_DEADLINE: Duration = Duration::from_millis(800);

/// Time after which a daemon says hello to one that should have said so: one of its hellos may be lost.
const HELLO_OVERDUE: Duration = HELLO_INTERVAL.saturating_mul(2);

/// Time in which another daemon must hand over a value.
const FETCH_DEADLINE: Duration = Duration::from_millis(1_500);

/// Time for which new targets are gathered before they are passed on. When many processes start together, a
/// message for each target to each daemon would take longer than that.
const SPREAD_GATHER: Duration = Duration::from_millis(100);

/// Interval at which changed targets are saved for the next start. It bounds the syncs that they cost.
const SAVE_INTERVAL: Duration = Duration::from_secs(1);

/// Interval of hellos to seeds and voters until the declarations are known, which nothing can be served
/// without.
const FIRST_HELLO_INTERVAL: Duration = Duration::from_millis(80);

impl Control {
    pub(super) async fn run_hellos(self: Rc<Self>) {
        loop {
            let joined = self.register.chosen().is_some();
            for address in self.to_greet(joined) {
                if self.greeting.borrow_mut().insert(address) {
                    tokio::task::spawn_local(Rc::clone(&self).say_hello(address));
                }
            }
            let pause = if joined { HELLO_INTERVAL } else { FIRST_HELLO_INTERVAL };
            tokio::time::sleep(pause).await;
            let now = self.clock.now();
            if let Some(value) = self.register.known() {
                // The seeds may all be down; the voters are known from the own disk too.
                let voters = value.voters.all();
                let mut peers = self.peers.borrow_mut();
                peers.add(voters.iter().map(|voter| voter.address), now);
                peers.forget(&voters, now);
                let known = peers.addresses();
                self.links.retain(|address| known.contains(address));
            }
            self.repeated.borrow_mut().retain(|_, heard| now < *heard + PEER_SILENCE);
            let before = self.targets.borrow().revision();
            let fallen = self.targets.borrow_mut().check_timeouts(now);
            for id in fallen {
                self.record("target-silent", || json!({"target": id.to_string()}));
            }
            self.notify_targets(before);
        }
    }

    /// The daemons to greet now. Until the declarations are known here, those that may know them are greeted
    /// each time.
    fn to_greet(&self, joined: bool) -> Vec<SocketAddr> {
        let now = self.clock.now();
        let mut peers = self.peers.borrow_mut();
        let mut due = peers.due(HELLO_INTERVAL, HELLO_OVERDUE, now);
        if !joined {
            due.extend(peers.seeds());
            let known = self.register.known();
            due.extend(known.iter().flat_map(|value| value.voters.all()).map(|v| v.address));
            due.remove(&self.me.address);
        }
        due.into_iter().collect()
    }

    async fn say_hello(self: Rc<Self>, address: SocketAddr) {
        let (hello, told_before) = self.hello(address);
        let request = FleetRequest::Hello(hello);
        let response = self.links.call(address, &request, HELLO_DEADLINE).await;
        self.greeting.borrow_mut().remove(&address);
        match response {
            Ok(FleetResponse::Hello(hello)) => return self.heard_hello(hello),
            Ok(_) => log::warn!("{address} answered a hello with something else"),
            Err(error) => log::debug!("hello to {address}: {error}"),
        }
        self.peers.borrow_mut().tell(&address, told_before);
    }

    /// What a daemon is told now, and the time up to which it was told about repeated announcements before.
    pub(super) fn hello(&self, address: SocketAddr) -> (Hello, Option<Instant>) {
        let now = self.clock.now();
        let told = self.peers.borrow_mut().tell(&address, Some(now));
        let repeated = self.repeated.borrow();
        let untold = repeated.iter().filter(|(_, heard)| told.is_none_or(|told| **heard > told));
        let ids: Vec<TargetId> = untold.map(|(id, _)| *id).collect();
        let hello =
            Hello { state: self.state(), repeated: self.targets.borrow().stamps(&ids, now) };
        (hello, told)
    }

    /// Takes in another daemon's hello, and makes up for what either side lacks.
    pub(super) fn heard_hello(self: &Rc<Self>, hello: Hello) {
        let now = self.clock.now();
        let Hello { state, repeated } = hello;
        let address = state.replica.address;
        if address == self.me.address {
            return;
        }
        let before = self.targets.borrow().revision();
        let lacking = self.targets.borrow_mut().refresh(&repeated, now);
        self.notify_targets(before);
        if !lacking.is_empty() {
            tokio::task::spawn_local(Rc::clone(self).fetch_announcements(address, lacking));
        }
        let (chosen, domain) = (state.chosen, state.domain.clone());
        let digests = self.targets.borrow().digests();
        let anew = self.peers.borrow_mut().hear(state, &digests, now);
        if anew {
            self.record("control-found", || json!({"address": address, "domain": domain}));
        }
        self.heard_chosen(chosen, address);
        let differing = self.peers.borrow_mut().take_differing(&address);
        let announcements = if anew {
            let heard: Vec<TargetId> = self.repeated.borrow().keys().copied().collect();
            self.targets.borrow().for_restarted_daemon(&heard, now)
        } else {
            self.targets.borrow().in_groups(&differing, now)
        };
        if !announcements.is_empty() {
            self.send(address, FleetRequest::Announced(announcements));
        }
    }

    async fn fetch_announcements(self: Rc<Self>, from: SocketAddr, ids: Vec<TargetId>) {
        let request = FleetRequest::Announcements(ids);
        match self.links.call(from, &request, SPREAD_DEADLINE).await {
            Ok(FleetResponse::Announcements(announcements)) => self.hear_all(&announcements),
            Ok(_) => log::warn!("{from} answered a question for targets with something else"),
            Err(error) => log::debug!("announcements from {from}: {error}"),
        }
    }

    /// Takes in that a value was chosen, and fetches it unless the own disk holds it.
    pub(super) fn heard_chosen(self: &Rc<Self>, ballot: Ballot, holder: SocketAddr) {
        if ballot <= self.register.chosen_ballot() {
            return;
        }
        if self.register.learn_accepted(ballot) {
            return self.note_chosen();
        }
        let control = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let request = FleetRequest::Newest(control.register.chosen_ballot());
            match control.links.call(holder, &request, FETCH_DEADLINE).await {
                Ok(FleetResponse::Newest(Some(value))) => control.learn(&value),
                Ok(_) => {}
                Err(error) => log::debug!("newest value from {holder}: {error}"),
            }
        });
    }

    fn send(self: &Rc<Self>, to: SocketAddr, request: FleetRequest) {
        let control = Rc::clone(self);
        tokio::task::spawn_local(async move {
            if let Err(error) = control.links.call(to, &request, SPREAD_DEADLINE).await {
                log::debug!("announcements for {to}: {error}");
            }
        });
    }

    /// Takes in a target's own announcement.
    pub(super) async fn announced(self: &Rc<Self>, announcement: &Announcement) {
        let now = self.clock.now();
        let heard = self.targets.borrow_mut().apply(announcement, now);
        let name: &'static str = heard.into();
        metrics::counter!("announcements", "heard" => name).increment(1);
        match heard {
            AnnouncementOutcome::Changed => {
                self.repeated.borrow_mut().insert(announcement.id, now);
                self.changed.notify_waiters();
                self.record_target(announcement, "target");
                if announcement.availability == Availability::Serving {
                    self.unspread.borrow_mut().insert(announcement.id);
                    self.spread_due.notify_one();
                } else {
                    self.spread(FleetRequest::Announced(vec![announcement.clone()])).await;
                }
            }
            AnnouncementOutcome::Refreshed => {
                self.repeated.borrow_mut().insert(announcement.id, now);
            }
            AnnouncementOutcome::Stale => self.record_target(announcement, "stale-announcement"),
        }
    }

    /// Passes on targets that take flows, several at a time.
    pub(super) async fn run_spread(self: Rc<Self>) {
        loop {
            self.spread_due.notified().await;
            tokio::time::sleep(SPREAD_GATHER).await;
            let ids: Vec<TargetId> =
                std::mem::take(&mut *self.unspread.borrow_mut()).into_iter().collect();
            let announcements = self.targets.borrow().by_ids(&ids, self.clock.now());
            tokio::task::spawn_local(self.spread(FleetRequest::Announced(announcements)));
        }
    }

    /// Takes in that a target ends.
    pub(super) async fn ended(self: &Rc<Self>, id: TargetId) {
        self.hear_end(id);
        self.spread(FleetRequest::Ended(id)).await;
    }

    pub(super) fn hear_end(&self, id: TargetId) {
        let now = self.clock.now();
        let known = self.targets.borrow().by_ids(&[id], now).into_iter().next();
        let Some(mut announcement) = known else { return };
        if announcement.availability == Availability::Ended {
            return;
        }
        announcement.stamp.sequence += 1;
        announcement.availability = Availability::Ended;
        self.hear_all(&[announcement]);
    }

    /// Takes in announcements that other daemons have heard.
    pub(super) fn hear_all(&self, announcements: &[Announcement]) {
        let now = self.clock.now();
        let before = self.targets.borrow().revision();
        for announcement in announcements {
            if self.targets.borrow_mut().apply(announcement, now) == AnnouncementOutcome::Changed {
                self.record_target(announcement, "target");
            }
        }
        self.notify_targets(before);
    }

    /// Wakes the entries' questions if the targets have changed since a revision.
    pub(super) fn notify_targets(&self, before: u64) {
        if self.targets.borrow().revision() != before {
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

    /// Sends to all daemons that were heard lately, and waits for their responses.
    fn spread(self: &Rc<Self>, request: FleetRequest) -> impl Future<Output = ()> + use<> {
        let control = Rc::clone(self);
        async move {
            let body = match encode_body(&request) {
                Ok(body) => body,
                Err(error) => return log::error!("announcements can't be sent: {error}"),
            };
            let send = |to| {
                let (control, body) = (&control, &body);
                async move {
                    let sent = control.links.call_encoded(to, body, SPREAD_DEADLINE).await;
                    if let Err(error) = sent {
                        log::debug!("announcements for {to}: {error}");
                    }
                }
            };
            join_all(control.live_peers().into_iter().map(send)).await;
        }
    }

    /// Saves changed targets for the next start.
    pub(super) async fn run_saves(self: Rc<Self>) {
        let mut saved = self.targets.borrow().revision();
        loop {
            tokio::time::sleep(SAVE_INTERVAL).await;
            let revision = self.targets.borrow().revision();
            if revision != saved {
                saved = revision;
                self.voter.save_targets(self.targets.borrow().announcements_to_save());
            }
        }
    }
}
