//! Changes of the live entries, and messages between entries. Every entry hands its pins to the new
//! arbiters and then marks the set of live entries that it uses; an arbiter decides alone once all
//! live entries have marked the set that it uses itself.

use crate::control::Control;
use crate::flow::FlowHash;
use crate::merge::Scope;
use crate::message::{Frame, Message, MovingGroup, Outgoing, PinGroup, PinKind};
use crate::records::{Kind, Record, SHARDS};
use crate::router::{FlowRouter, Peer};
use crate::targets::{TargetKey, TargetRef};
use crate::view::{Moving, View};
use comfreyhold_types::keys::{InstanceId, Revision, ServiceId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Most flows in one message, so that a message stays near 1 KB.
pub(crate) const FLOWS_PER_MESSAGE: usize = 128;

/// Flows to send, by receiver, service and target.
pub(crate) type Batches = BTreeMap<(InstanceId, ServiceId, TargetKey), Vec<FlowHash>>;

/// Time after which an entry that cannot decide yet asks its peers again. A hand-over takes a few
/// round trips, and a new set of live entries reaches all of them in about a second.
const ASK_AGAIN: Duration = Duration::from_secs(2);

type Receivers = BTreeMap<(ServiceId, u16), [Option<InstanceId>; 2]>;

impl Control {
    /// Sets the roles of a slot that begins to move.
    pub fn assign_new(&self, service: ServiceId, slot: u16, mut moving: Moving) -> Moving {
        self.view.assign(service, slot, &mut moving);
        let mut before = self.view.clone_live(&self.previous_live);
        before.me = self.view.me;
        let [old, _] = before.order(service, slot, None);
        let mine = moving.arbiter == self.view.me;
        moving.sure = mine && (self.ready || old == Some(self.view.me));
        moving.former = !mine && old == Some(self.view.me);
        moving.previous = old.filter(|old| mine && !moving.sure && self.view.is_live(*old));
        moving
    }

    /// Sets the roles of all slots in transition for a new set of live entries. Returns who needs
    /// this entry's pins of which slots.
    fn reassign(&mut self) -> Receivers {
        let mut receivers = Receivers::new();
        let view = self.view.clone();
        for service in self.view.services.values_mut() {
            if service.moving.is_empty() {
                continue;
            }
            let service = std::sync::Arc::make_mut(service);
            for (slot, moving) in &mut service.moving {
                let old = *moving;
                view.assign(service.id, *slot, moving);
                change_roles(&view, &old, moving);
                let mine = moving.arbiter == view.me;
                let arbiter = (moving.arbiter != old.arbiter && !mine).then_some(moving.arbiter);
                let changed = moving.backup != old.backup || moving.arbiter != old.arbiter;
                let backup = moving.backup.filter(|backup| mine && changed && *backup != view.me);
                if arbiter.is_some() || backup.is_some() {
                    receivers.insert((service.id, *slot), [arbiter, backup]);
                }
            }
        }
        receivers
    }

    pub(crate) fn state(&self) -> Message {
        let services = self.view.services.values().filter(|service| !service.moving.is_empty());
        let services = services.map(|service| {
            let mut groups: BTreeMap<(Option<TargetRef>, Revision, Revision), Vec<u16>> =
                BTreeMap::new();
            for (slot, moving) in &service.moving {
                let base = self.view.reference(moving.base);
                groups.entry((base, moving.stable, moving.moved)).or_default().push(*slot);
            }
            let groups = groups.into_iter();
            let groups = groups.map(|((base, stable, moved), slots)| MovingGroup {
                base,
                stable,
                moved,
                slots,
            });
            (service.id, groups.collect())
        });
        Message::State {
            // Without a lease, targets of other domains are unusable and their slots are not followed.
            synced: self.view.synced && !self.view.isolated,
            active: self.view.active,
            through: self.newest(),
            known_since: self.known_since,
            services: services.collect(),
        }
    }
}

fn change_roles(view: &View, old: &Moving, moving: &mut Moving) {
    let was_mine = old.arbiter == view.me;
    let mine = moving.arbiter == view.me;
    moving.former = !mine && was_mine && old.sure;
    if mine && !was_mine {
        moving.sure = false;
        moving.reported = false;
        moving.previous = Some(old.arbiter).filter(|id| view.is_live(*id));
    } else if mine {
        moving.previous = old.previous.filter(|id| view.is_live(*id));
    } else {
        moving.sure = false;
        moving.previous = None;
    }
}

impl FlowRouter {
    /// Takes in the live entries, this one included. Entries that leave in a planned stop are
    /// listed as [`crate::PeerState::Leaving`] until they have stopped. The first call must come
    /// when the entry knows its peers: an entry that starts alone takes itself for the only one.
    pub fn set_live_entries(&self, peers: &[Peer], now: Instant, out: &mut Vec<Outgoing>) {
        let mut live = peers.to_vec();
        live.sort_unstable();
        let mut control = self.control();
        if live == control.view.live {
            return;
        }
        let old = std::mem::replace(&mut control.view.live, live);
        control.view.digest = View::digest_of(&control.view.live);
        let added = self.note_losses(&mut control, &old, now);
        control.previous_live = old;
        control.ready = false;
        let receivers = control.reassign();
        self.publish(&control);
        let mut need_state = added.clone();
        need_state.extend(receivers.values().flat_map(|to| to.iter().flatten()));
        self.hand_over(&control, &need_state, &added, &receivers, now, out);
        self.repeat_endings(&mut control, &added);
        control.scan = Some(0);
        control.pending.clear();
        self.try_ready(&mut control, now);
    }

    fn note_losses(
        &self,
        control: &mut Control,
        old: &[Peer],
        now: Instant,
    ) -> BTreeSet<InstanceId> {
        let same = |a: &Peer, b: &Peer| a.id == b.id && a.incarnation == b.incarnation;
        let live = &control.view.live;
        let lost: Vec<_> =
            old.iter().filter(|peer| !live.iter().any(|other| same(peer, other))).collect();
        let stamp = self.stamp(now);
        for peer in &lost {
            self.outbox().forget(peer.id);
            let progress = control.progress.remove(&peer.id).unwrap_or_default();
            control.lost.push((progress.reported, stamp));
        }
        if lost.iter().any(|peer| peer.state == crate::PeerState::Serving) {
            control.last_loss = stamp;
        }
        let me = control.view.me;
        let added =
            live.iter().filter(|peer| peer.id != me && !old.iter().any(|other| same(peer, other)));
        added.map(|peer| peer.id).collect()
    }

    /// Sends state, pins and exceptions to those that need them, and the marker to all.
    fn hand_over(
        &self,
        control: &Control,
        need_state: &BTreeSet<InstanceId>,
        added: &BTreeSet<InstanceId>,
        receivers: &Receivers,
        now: Instant,
        out: &mut Vec<Outgoing>,
    ) {
        if !need_state.is_empty() {
            let state = control.state();
            for peer in need_state {
                self.outbox().reliable(*peer, state.clone(), now, out);
            }
        }
        let mut pins = Batches::new();
        let mut exceptions = Batches::new();
        if !receivers.is_empty() || !added.is_empty() {
            self.each_record(|flow, record| match record.kind {
                Kind::Plain => {}
                Kind::Pin => {
                    let to = receivers.get(&(record.service, flow.slot()));
                    for peer in to.into_iter().flatten().flatten() {
                        pins.entry((*peer, record.service, record.target)).or_default().push(flow);
                    }
                }
                Kind::Exception => {
                    for peer in added {
                        exceptions
                            .entry((*peer, record.service, record.target))
                            .or_default()
                            .push(flow);
                    }
                }
            });
        }
        self.send_batches(control, &pins, PinKind::Claim, now, out);
        self.send_batches(control, &exceptions, PinKind::Exception, now, out);
        for peer in control.view.others() {
            self.outbox().barrier(peer, Message::Marker { view: control.view.digest });
        }
        self.outbox().flush(now, out);
    }

    fn each_record(&self, mut visit: impl FnMut(FlowHash, &Record)) {
        for index in 0..SHARDS {
            for (flow, record) in self.records.shard(index).iter() {
                visit(*flow, record);
            }
        }
    }

    /// Sends batches until acknowledged. Returns about how many bytes they take.
    pub(crate) fn send_batches(
        &self,
        control: &Control,
        batches: &Batches,
        kind: PinKind,
        now: Instant,
        out: &mut Vec<Outgoing>,
    ) -> i64 {
        let mut bytes = 0;
        for ((to, service, key), flows) in batches {
            let Some(target) = control.view.reference(*key) else { continue };
            for chunk in flows.chunks(FLOWS_PER_MESSAGE) {
                let groups = vec![PinGroup { target, flows: chunk.to_vec() }];
                let message = Message::Pins { service: *service, kind, groups };
                self.outbox().reliable(*to, message, now, out);
                bytes += 24 + 8 * i64::try_from(chunk.len()).unwrap_or(0);
            }
        }
        bytes
    }

    /// Takes in a frame of a peer. [`Message::Forward`] is not handled here: its packet goes to
    /// [`Self::route_forwarded`].
    pub fn handle_frame(
        &self,
        from: InstanceId,
        frame: &Frame,
        now: Instant,
        out: &mut Vec<Outgoing>,
    ) {
        {
            let mut outbox = self.outbox();
            outbox.acked(from, &frame.acks);
            outbox.owe_ack(from, frame.seq);
        }
        let Some(message) = &frame.message else { return };
        match message {
            Message::Forward { .. } => {}
            Message::Pins { service, kind, groups } => {
                self.take_pins(from, *service, *kind, groups, now, out);
            }
            Message::State { synced, active, through, known_since, services } => {
                let mut control = self.control();
                let scope = Scope {
                    synced: *synced,
                    active: *active,
                    through: *through,
                    known_since: *known_since,
                };
                self.take_state(&mut control, from, scope, services, now);
            }
            Message::Marker { view } => {
                let mut control = self.control();
                control.progress.entry(from).or_default().marker = Some(*view);
                self.try_ready(&mut control, now);
            }
            Message::ReportsDone { through } => {
                let mut control = self.control();
                let progress = control.progress.entry(from).or_default();
                progress.reported = progress.reported.max(*through);
                self.note_reports(&mut control, now);
            }
            Message::Stable { service, version, slots } => {
                self.take_stable(*service, *version, slots);
            }
            Message::Sync => self.answer_sync(from, now, out),
        }
    }

    fn answer_sync(&self, to: InstanceId, now: Instant, out: &mut Vec<Outgoing>) {
        let mut control = self.control();
        let mut receivers = Receivers::new();
        for service in control.view.services.values() {
            for (slot, moving) in &service.moving {
                if moving.arbiter == to || moving.backup == Some(to) {
                    receivers.insert((service.id, *slot), [Some(to), None]);
                }
            }
        }
        let only = BTreeSet::from([to]);
        self.hand_over(&control, &only, &only, &receivers, now, out);
        self.repeat_endings(&mut control, &only);
        // A scan under way is not restarted: peers that ask again and again would never let it end.
        control.scan = control.scan.or(Some(0));
    }

    /// Asks the peers again whose marker or state is missing. What they told may have come before
    /// this entry could take it in: before its first lease, before it knew the peer or the peer's
    /// present start, or before it took the peer for lost for a moment. The peers have it
    /// acknowledged, and with no change on their side they would never repeat it.
    pub(crate) fn ask_missing(&self, control: &mut Control, now: Instant, out: &mut Vec<Outgoing>) {
        if control.ready || control.view.live.is_empty() || control.view.active == Revision(0) {
            control.asked = None;
            return;
        }
        let asked = *control.asked.get_or_insert(now);
        if now.saturating_duration_since(asked) < ASK_AGAIN {
            return;
        }
        control.asked = Some(now);
        let (digest, synced) = (control.view.digest, control.view.synced);
        let is_missing = |id: &InstanceId| {
            control.progress.get(id).is_none_or(|progress| {
                progress.marker != Some(digest) || (!synced && progress.state.is_none())
            })
        };
        for peer in control.view.others().filter(is_missing) {
            self.outbox().once(peer, Message::Sync, out);
        }
    }

    /// Decides alone from now on if every live entry has handed over.
    pub(crate) fn try_ready(&self, control: &mut Control, now: Instant) {
        let digest = control.view.digest;
        let others: Vec<_> = control.view.others().collect();
        let progress = |id| control.progress.get(id).cloned().unwrap_or_default();
        if control.view.live.is_empty()
            || control.view.isolated
            || control.view.active == Revision(0)
            || others.iter().any(|id| progress(id).marker != Some(digest))
        {
            return;
        }
        if !control.view.synced {
            let answered = others.iter().all(|id| progress(id).state.is_some());
            if !answered {
                return;
            }
            self.become_synced(control, now);
        }
        control.ready = true;
        let me = control.view.me;
        for service in control.view.services.values_mut() {
            if service.moving.is_empty() {
                continue;
            }
            for moving in std::sync::Arc::make_mut(service).moving.values_mut() {
                moving.sure = moving.arbiter == me;
                moving.previous = None;
            }
        }
        self.note_reports(control, now);
        self.publish(control);
    }
}

impl View {
    fn clone_live(&self, live: &[Peer]) -> View {
        let mut view = View::new(self.me, self.domain);
        view.live = live.to_vec();
        view
    }
}
