//! Hellos between control daemons, and the spread of targets' announcements among them.

use super::Control;
use super::orders::SPREAD_DEADLINE;
use crate::messages::{ControlState, FleetRequest, FleetResponse};
use comfreyhold_consensus::register::Ballot;
use comfreyhold_membership::announcements::Heard;
use comfreyhold_types::announcement::{Announcement, Availability};
use comfreyhold_types::keys::TargetId;
use comfreyhold_wire::envelope::encode_body;
use futures_util::future::join_all;
use serde_json::json;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Interval of hellos.
const HELLO_INTERVAL: Duration = Duration::from_millis(450);

/// Time in which a hello must be answered.
const HELLO_DEADLINE: Duration = Duration::from_millis(800);

/// Interval at which repeated announcements are passed on together.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(400);

/// Time in which another daemon must hand over a value.
const FETCH_DEADLINE: Duration = Duration::from_millis(1_500);

/// Interval at which changed targets are saved for the next start. It bounds the syncs that they cost.
const SAVE_INTERVAL: Duration = Duration::from_secs(1);

/// Interval of hellos until the declarations are known, which nothing can be served without.
const FIRST_HELLO_INTERVAL: Duration = Duration::from_millis(80);

/// States in a row with other targets after which all announcements are sent. One difference alone is
/// usually an announcement on its way, and some last until a target is silent everywhere.
const DIFFERENCES: u32 = 4;

impl Control {
    pub(super) async fn run_hellos(self: Rc<Self>) {
        loop {
            for address in self.peers.borrow().addresses() {
                if self.greeting.borrow_mut().insert(address) {
                    tokio::task::spawn_local(Rc::clone(&self).say_hello(address));
                }
            }
            let joined = self.register.chosen().is_some();
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
            let before = self.targets.borrow().revision();
            let fallen = self.targets.borrow_mut().check_silence(now);
            for id in fallen {
                self.record("target-silent", || json!({"target": id.to_string()}));
            }
            self.notify_targets(before);
        }
    }

    async fn say_hello(self: Rc<Self>, address: SocketAddr) {
        let request = FleetRequest::Hello(self.state());
        let response = self.links.call(address, &request, HELLO_DEADLINE).await;
        self.greeting.borrow_mut().remove(&address);
        match response {
            Ok(FleetResponse::Hello(state)) => self.heard_hello(state),
            Ok(_) => log::warn!("{address} answered a hello with something else"),
            Err(error) => log::debug!("hello to {address}: {error}"),
        }
    }

    /// Takes in another daemon's state, and makes up for what either side lacks.
    pub(super) fn heard_hello(self: &Rc<Self>, state: ControlState) {
        let now = self.clock.now();
        let address = state.replica.address;
        if address == self.me.address {
            return;
        }
        let (chosen, domain) = (state.chosen, state.domain.clone());
        let digest = self.targets.borrow().digest();
        let anew = self.peers.borrow_mut().hear(state, digest, now);
        if anew {
            self.record("control-found", || json!({"address": address, "domain": domain}));
        }
        self.heard_chosen(chosen, address);
        let differing =
            self.peers.borrow().get(&address).is_some_and(|peer| peer.differing >= DIFFERENCES);
        if anew || differing {
            if let Some(peer) = self.peers.borrow_mut().get_mut(&address) {
                peer.differing = 0;
            }
            let all = self.targets.borrow().all(now);
            if !all.is_empty() {
                self.send(address, FleetRequest::Announced(all));
            }
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
        let heard = self.targets.borrow_mut().hear(announcement, now);
        let name: &'static str = heard.into();
        metrics::counter!("announcements", "heard" => name).increment(1);
        match heard {
            Heard::Changed => {
                self.changed.notify_waiters();
                self.record_target(announcement, "target");
                let spread = self.spread(FleetRequest::Announced(vec![announcement.clone()]));
                if announcement.availability == Availability::Serving {
                    tokio::task::spawn_local(spread);
                } else {
                    spread.await;
                }
            }
            Heard::Refreshed => {
                self.repeated.borrow_mut().insert(announcement.id);
            }
            Heard::Stale => self.record_target(announcement, "stale-announcement"),
        }
    }

    /// Takes in that a target ends.
    pub(super) async fn ended(self: &Rc<Self>, id: TargetId) {
        self.hear_end(id);
        self.spread(FleetRequest::Ended(id)).await;
    }

    pub(super) fn hear_end(&self, id: TargetId) {
        let now = self.clock.now();
        let known = self.targets.borrow().named(&[id], now).into_iter().next();
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
            if self.targets.borrow_mut().hear(announcement, now) == Heard::Changed {
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

    /// Passes repeated announcements on.
    pub(super) async fn run_gossip(self: Rc<Self>) {
        loop {
            tokio::time::sleep(GOSSIP_INTERVAL).await;
            let ids: Vec<TargetId> =
                std::mem::take(&mut *self.repeated.borrow_mut()).into_iter().collect();
            if ids.is_empty() {
                continue;
            }
            let now = self.clock.now();
            let known = self.targets.borrow().named(&ids, now);
            let stamps: Vec<_> = known.iter().map(|known| (known.id, known.stamp)).collect();
            for address in self.live_peers() {
                let request = FleetRequest::Refreshed(stamps.clone());
                tokio::task::spawn_local(Rc::clone(&self).pass_on(address, request));
            }
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
                self.voter.save_targets(self.targets.borrow().to_save());
            }
        }
    }

    async fn pass_on(self: Rc<Self>, to: SocketAddr, request: FleetRequest) {
        match self.links.call(to, &request, SPREAD_DEADLINE).await {
            Ok(FleetResponse::Lacking(ids)) if !ids.is_empty() => {
                let lacking = self.targets.borrow().named(&ids, self.clock.now());
                self.send(to, FleetRequest::Announced(lacking));
            }
            Ok(_) => {}
            Err(error) => log::debug!("announcements for {to}: {error}"),
        }
    }
}
