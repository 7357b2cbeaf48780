//! Changes of the live entries, and messages between entries. After a change, every entry hands its
//! pins over to the new arbiters and then sends a marker with a digest of its set of live entries.
//! An arbiter becomes authoritative once all live entries have sent a marker for its own set.

use crate::control::Control;
use crate::flow::FlowHash;
use crate::merge::PeerKnowledge;
use crate::message::{Frame, Message, Outgoing, PinGroup, PinKind, TransitionGroup};
use crate::records::{Record, RecordKind, SHARDS};
use crate::router::{FlowRouter, Peer};
use crate::targets::{TargetKey, TargetRef};
use crate::view::{SlotTransition, View};
use comfreyhold_types::keys::{InstanceId, Revision, ServiceId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Upper limit of flows in one message, which keeps a message near 1 KB.
pub(crate) const FLOWS_PER_MESSAGE: usize = 128;

/// Flows to send, by receiver, service and target.
pub(crate) type Batches = BTreeMap<(InstanceId, ServiceId, TargetKey), Vec<FlowHash>>;

/// Interval at which an entry that cannot decide yet requests missing state from its peers. A
/// handover takes a few round trips, and a new set of live entries reaches all of them in about a
/// second.
const SYNC_RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// Entries that need this entry's pins, by service and slot.
type PinReceivers = BTreeMap<(ServiceId, u16), [Option<InstanceId>; 2]>;

impl Control {
    /// Sets the roles for a transition that begins.
    pub fn assign_initial_roles(
        &self,
        service: ServiceId,
        slot: u16,
        mut transition: SlotTransition,
    ) -> SlotTransition {
        self.view.assign_roles(service, slot, &mut transition);
        let mut previous_view = self.view.with_live_entries(&self.previous_live_entries);
        previous_view.local_id = self.view.local_id;
        let [previous, _] = previous_view.arbiter_candidates(service, slot, None);
        let is_arbiter = transition.arbiter == self.view.local_id;
        transition.is_authoritative =
            is_arbiter && (self.is_ready || previous == Some(self.view.local_id));
        transition.was_arbiter = !is_arbiter && previous == Some(self.view.local_id);
        transition.previous_arbiter = previous
            .filter(|id| is_arbiter && !transition.is_authoritative && self.view.is_live(*id));
        transition
    }

    /// Sets the roles of all slots in transition for a new set of live entries. Returns the entries
    /// that need this entry's pins.
    fn reassign_roles(&mut self) -> PinReceivers {
        let mut receivers = PinReceivers::new();
        let view = self.view.clone();
        for service in self.view.services.values_mut() {
            if service.transitions.is_empty() {
                continue;
            }
            let service = std::sync::Arc::make_mut(service);
            for (slot, transition) in &mut service.transitions {
                let old = *transition;
                view.assign_roles(service.id, *slot, transition);
                update_roles(&view, &old, transition);
                let is_arbiter = transition.arbiter == view.local_id;
                let arbiter = (transition.arbiter != old.arbiter && !is_arbiter)
                    .then_some(transition.arbiter);
                let changed = transition.backup != old.backup || transition.arbiter != old.arbiter;
                let backup = transition
                    .backup
                    .filter(|backup| is_arbiter && changed && *backup != view.local_id);
                if arbiter.is_some() || backup.is_some() {
                    receivers.insert((service.id, *slot), [arbiter, backup]);
                }
            }
        }
        receivers
    }

    /// The slots in transition here, as a message for peers.
    pub(crate) fn state_message(&self) -> Message {
        let services =
            self.view.services.values().filter(|service| !service.transitions.is_empty());
        let services = services.map(|service| {
            let mut groups: BTreeMap<(Option<TargetRef>, Revision, Revision), Vec<u16>> =
                BTreeMap::new();
            for (slot, transition) in &service.transitions {
                let base = self.view.target_ref(transition.base);
                groups
                    .entry((base, transition.stable_version, transition.moved_version))
                    .or_default()
                    .push(*slot);
            }
            let groups = groups.into_iter();
            let groups = groups.map(|((base, stable, moved), slots)| TransitionGroup {
                base,
                stable,
                moved,
                slots,
            });
            (service.id, groups.collect())
        });
        Message::State {
            // Without a lease, targets of other failure domains are unusable, and transitions of
            // their slots are not tracked.
            synced: self.view.is_synced && !self.view.is_isolated,
            active: self.view.active_version,
            through: self.newest_version(),
            known_since: self.known_since,
            services: services.collect(),
        }
    }
}

fn update_roles(view: &View, old: &SlotTransition, transition: &mut SlotTransition) {
    let was_arbiter = old.arbiter == view.local_id;
    let is_arbiter = transition.arbiter == view.local_id;
    transition.was_arbiter = !is_arbiter && was_arbiter && old.is_authoritative;
    if is_arbiter && !was_arbiter {
        transition.is_authoritative = false;
        transition.all_reported = false;
        transition.previous_arbiter = Some(old.arbiter).filter(|id| view.is_live(*id));
    } else if is_arbiter {
        transition.previous_arbiter = old.previous_arbiter.filter(|id| view.is_live(*id));
    } else {
        transition.is_authoritative = false;
        transition.previous_arbiter = None;
    }
}

impl FlowRouter {
    /// Sets the live entries, this one included, and hands pins over to new arbiters. Entries that
    /// leave in a planned stop are listed as [`crate::PeerState::Leaving`] until they have stopped.
    /// Call it only once the peers are known: with only itself in the list, an entry would decide
    /// alone.
    pub fn set_live_entries(&self, peers: &[Peer], now: Instant, out: &mut Vec<Outgoing>) {
        let mut live = peers.to_vec();
        live.sort_unstable();
        let mut control = self.control();
        if live == control.view.live_entries {
            return;
        }
        let old = std::mem::replace(&mut control.view.live_entries, live);
        control.view.live_digest = View::compute_live_digest(&control.view.live_entries);
        let added = self.drop_lost_entries(&mut control, &old, now);
        control.previous_live_entries = old;
        control.is_ready = false;
        let receivers = control.reassign_roles();
        self.publish(&control);
        let mut need_state = added.clone();
        need_state.extend(receivers.values().flat_map(|to| to.iter().flatten()));
        self.hand_over(&control, &need_state, &added, &receivers, now, out);
        self.announce_ends_to(&mut control, &added);
        control.scan_cursor = Some(0);
        control.pending_reports.clear();
        self.try_become_ready(&mut control, now);
    }

    /// Drops the state of entries that are no longer live in the same incarnation. Returns the
    /// entries that were added.
    fn drop_lost_entries(
        &self,
        control: &mut Control,
        old: &[Peer],
        now: Instant,
    ) -> BTreeSet<InstanceId> {
        let same_start = |a: &Peer, b: &Peer| a.id == b.id && a.incarnation == b.incarnation;
        let live = &control.view.live_entries;
        let lost: Vec<_> =
            old.iter().filter(|peer| !live.iter().any(|other| same_start(peer, other))).collect();
        let stamp = self.stamp(now);
        for peer in &lost {
            self.outbox().remove_peer(peer.id);
            let progress = control.progress.remove(&peer.id).unwrap_or_default();
            control.lost_entries.push((progress.reported_through, stamp));
        }
        if lost.iter().any(|peer| peer.state == crate::PeerState::Serving) {
            control.last_loss_at = stamp;
        }
        let local_id = control.view.local_id;
        let added = live
            .iter()
            .filter(|peer| peer.id != local_id && !old.iter().any(|other| same_start(peer, other)));
        added.map(|peer| peer.id).collect()
    }

    /// Sends state, pins and exceptions to the entries that need them, and the marker to all peers.
    fn hand_over(
        &self,
        control: &Control,
        need_state: &BTreeSet<InstanceId>,
        added: &BTreeSet<InstanceId>,
        receivers: &PinReceivers,
        now: Instant,
        out: &mut Vec<Outgoing>,
    ) {
        if !need_state.is_empty() {
            let state = control.state_message();
            for peer in need_state {
                self.outbox().send_reliable(*peer, state.clone(), now, out);
            }
        }
        let mut pins = Batches::new();
        let mut exceptions = Batches::new();
        if !receivers.is_empty() || !added.is_empty() {
            self.for_each_record(|flow, record| match record.kind {
                RecordKind::Table => {}
                RecordKind::Pin => {
                    let to = receivers.get(&(record.service, flow.slot()));
                    for peer in to.into_iter().flatten().flatten() {
                        pins.entry((*peer, record.service, record.target)).or_default().push(flow);
                    }
                }
                RecordKind::Exception => {
                    for peer in added {
                        exceptions
                            .entry((*peer, record.service, record.target))
                            .or_default()
                            .push(flow);
                    }
                }
            });
        }
        self.send_pins(control, &pins, PinKind::Claim, now, out);
        self.send_pins(control, &exceptions, PinKind::Exception, now, out);
        for peer in control.view.peers() {
            self.outbox().queue_barrier(peer, Message::Marker { view: control.view.live_digest });
        }
        self.outbox().flush(now, out);
    }

    /// Visits all flow records, one locked shard at a time.
    fn for_each_record(&self, mut visit: impl FnMut(FlowHash, &Record)) {
        for index in 0..SHARDS {
            for (flow, record) in self.records.lock_shard(index).iter() {
                visit(*flow, record);
            }
        }
    }

    /// Queues batches of pins for reliable delivery. Returns their approximate size in bytes.
    pub(crate) fn send_pins(
        &self,
        control: &Control,
        batches: &Batches,
        kind: PinKind,
        now: Instant,
        out: &mut Vec<Outgoing>,
    ) -> i64 {
        let mut bytes = 0;
        for ((to, service, key), flows) in batches {
            let Some(target) = control.view.target_ref(*key) else { continue };
            for chunk in flows.chunks(FLOWS_PER_MESSAGE) {
                let groups = vec![PinGroup { target, flows: chunk.to_vec() }];
                let message = Message::Pins { service: *service, kind, groups };
                self.outbox().send_reliable(*to, message, now, out);
                bytes += 24 + 8 * i64::try_from(chunk.len()).unwrap_or(0);
            }
        }
        bytes
    }

    /// Handles a frame from a peer, except for the packet in a [`Message::Forward`]: pass that to
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
            outbox.handle_acks(from, &frame.acks);
            outbox.queue_ack(from, frame.seq);
        }
        let Some(message) = &frame.message else { return };
        match message {
            Message::Forward { .. } => {}
            Message::Pins { service, kind, groups } => {
                self.handle_pins(from, *service, *kind, groups, now, out);
            }
            Message::State { synced, active, through, known_since, services } => {
                let mut control = self.control();
                let knowledge = PeerKnowledge {
                    is_synced: *synced,
                    active_version: *active,
                    through: *through,
                    known_since: *known_since,
                };
                self.handle_state(&mut control, from, knowledge, services, now);
            }
            Message::Marker { view } => {
                let mut control = self.control();
                control.progress.entry(from).or_default().marker = Some(*view);
                self.try_become_ready(&mut control, now);
            }
            Message::ReportsDone { through } => {
                let mut control = self.control();
                let progress = control.progress.entry(from).or_default();
                progress.reported_through = progress.reported_through.max(*through);
                self.update_reported_slots(&mut control, now);
            }
            Message::Stable { service, version, slots } => {
                self.handle_stable(*service, *version, slots);
            }
            Message::Sync => self.handle_sync(from, now, out),
        }
    }

    /// Sends a peer everything that it needs to become synced and ready.
    fn handle_sync(&self, to: InstanceId, now: Instant, out: &mut Vec<Outgoing>) {
        let mut control = self.control();
        let mut receivers = PinReceivers::new();
        for service in control.view.services.values() {
            for (slot, transition) in &service.transitions {
                if transition.arbiter == to || transition.backup == Some(to) {
                    receivers.insert((service.id, *slot), [Some(to), None]);
                }
            }
        }
        let only = BTreeSet::from([to]);
        self.hand_over(&control, &only, &only, &receivers, now, out);
        self.announce_ends_to(&mut control, &only);
        // A scan in progress is not restarted: with repeated requests it would never finish.
        control.scan_cursor = control.scan_cursor.or(Some(0));
    }

    /// Requests state again from the peers whose marker or state is missing. It may have arrived
    /// when this entry could not apply it: before its first lease, before it knew the peer or the
    /// peer's current incarnation, or before it considered the peer lost for a moment. The peer's
    /// messages are acknowledged all the same, so it would not send them again by itself.
    pub(crate) fn request_missing_state(
        &self,
        control: &mut Control,
        now: Instant,
        out: &mut Vec<Outgoing>,
    ) {
        if control.is_ready
            || control.view.live_entries.is_empty()
            || control.view.active_version == Revision(0)
        {
            control.last_sync_request = None;
            return;
        }
        let last_request = *control.last_sync_request.get_or_insert(now);
        if now.saturating_duration_since(last_request) < SYNC_RETRY_INTERVAL {
            return;
        }
        control.last_sync_request = Some(now);
        let (digest, is_synced) = (control.view.live_digest, control.view.is_synced);
        let is_missing = |id: &InstanceId| {
            control.progress.get(id).is_none_or(|progress| {
                progress.marker != Some(digest) || (!is_synced && progress.state.is_none())
            })
        };
        for peer in control.view.peers().filter(is_missing) {
            self.outbox().send_once(peer, Message::Sync, out);
        }
    }

    /// Makes this entry authoritative for the slots that it arbitrates if every peer has handed over
    /// for the current set of live entries.
    pub(crate) fn try_become_ready(&self, control: &mut Control, now: Instant) {
        let digest = control.view.live_digest;
        let peers: Vec<_> = control.view.peers().collect();
        let progress = |id| control.progress.get(id).cloned().unwrap_or_default();
        if control.view.live_entries.is_empty()
            || control.view.is_isolated
            || control.view.active_version == Revision(0)
            || peers.iter().any(|id| progress(id).marker != Some(digest))
        {
            return;
        }
        if !control.view.is_synced {
            let has_all_states = peers.iter().all(|id| progress(id).state.is_some());
            if !has_all_states {
                return;
            }
            self.become_synced(control, now);
        }
        control.is_ready = true;
        let local_id = control.view.local_id;
        for service in control.view.services.values_mut() {
            if service.transitions.is_empty() {
                continue;
            }
            for transition in std::sync::Arc::make_mut(service).transitions.values_mut() {
                transition.is_authoritative = transition.arbiter == local_id;
                transition.previous_arbiter = None;
            }
        }
        self.update_reported_slots(control, now);
        self.publish(control);
    }
}

impl View {
    /// An empty view with other live entries, to compute their roles.
    fn with_live_entries(&self, live: &[Peer]) -> View {
        let mut view = View::new(self.local_id, self.local_domain);
        view.live_entries = live.to_vec();
        view
    }
}
