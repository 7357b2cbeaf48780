//! The entry daemon: runs failure detection, the target registry and the installation of revisions, and
//! passes their results to the request and packet drivers.

use crate::context::{Context, lock};
use crate::entry_counts::EntryCounts;
use crate::entry_keys::KeyDriver;
use crate::entry_packets::PacketDriver;
use crate::entry_requests::RequestDriver;
use crate::entry_view::EntryView;
use crate::lifecycle::LifecycleMessage;
use crate::peers;
use crate::upstream::ConnectionPool;
use comfreyhold_flow::Frame;
use comfreyhold_membership::counters::CounterMessage;
use comfreyhold_membership::detector::{Detector, DetectorMessage};
use comfreyhold_membership::installer::{Installer, LEASE_DURATION};
use comfreyhold_membership::members::MemberRole;
use comfreyhold_membership::messages::InstallMessage;
use comfreyhold_membership::registry::{
    Announcement, AnnouncementError, Registry, RegistryMessage,
};
use comfreyhold_request::message::Message as RequestMessage;
use comfreyhold_types::declarations::DomainState;
use comfreyhold_types::prelude::*;
use comfreyhold_wire::envelope::{Envelope, Topic, decode_body};
use comfreyhold_wire::error::WireError;
use comfreyhold_wire::transport::Inbox;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::{Duration, Instant};

/// Interval at which an entry without a lease reports its prepared revision.
const REVISION_REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between the stop notices of a stopping entry.
const STOP_NOTICE_INTERVAL: Duration = Duration::from_millis(200);

/// Failure detector, target registry and revision installer, with the state that the entry keeps for them.
pub(crate) struct MembershipState {
    pub(crate) detector: Detector,
    pub(crate) registry: Registry,
    pub(crate) installer: Installer,
    /// When the target leases at each dead or stopped entry are dropped.
    pub(crate) lease_drop_times: BTreeMap<InstanceId, Instant>,
    /// Members that have stopped gracefully.
    pub(crate) left: BTreeSet<InstanceId>,
    /// Entries in a graceful stop, this one included.
    pub(crate) leaving: BTreeSet<InstanceId>,
    /// When each member was last seen to have restarted.
    pub(crate) restarted: BTreeMap<InstanceId, Instant>,
    /// Incarnation and sequence number of each target's last announcement accepted here.
    pub(crate) last_announcements: BTreeMap<SocketAddr, (Incarnation, u64)>,
    /// Whether this process has had an active revision in which the idempotency register was not open yet.
    pub(crate) saw_register_closed: bool,
    pub(crate) started_at: Instant,
    /// When an entry without a lease reports its revision next; `None` before the first report.
    pub(crate) next_revision_report: Option<Instant>,
    /// True until the entry gets its first lease or a lease duration has passed since the start.
    pub(crate) awaits_first_lease: bool,
    /// Whether the other entries have had time to reply to the first probes.
    pub(crate) peers_discovered: bool,
    /// Time of the next stop notice; `None` before the first.
    pub(crate) next_stop_notice: Option<Instant>,
    /// Term whose leader was sent all announced targets.
    pub(crate) synced_term: Term,
    /// Whether the view has to be rebuilt and passed to the request and packet drivers.
    pub(crate) is_view_outdated: bool,
}

/// State and drivers of one entry, shared by its threads and tasks.
pub struct Entry {
    /// Identity, clock, event ring and transport of the process.
    pub cx: Arc<Context>,
    /// Request client and dispatchers.
    pub requests: RequestDriver,
    /// Idempotency keys.
    pub keys: KeyDriver,
    /// Counts of request results.
    pub counts: EntryCounts,
    /// Idle connections to targets.
    pub connection_pool: ConnectionPool,
    /// Packet flows.
    pub packets: Arc<PacketDriver>,
    members: Mutex<MembershipState>,
    pub(crate) view: RwLock<Arc<EntryView>>,
    stopping: AtomicBool,
}

/// State of an entry for operators.
#[derive(Clone, Debug)]
pub struct EntryStatus {
    /// Highest term received.
    pub term: Term,
    /// Leader of that term, if known.
    pub leader: Option<InstanceId>,
    /// Active revision.
    pub revision: Revision,
    /// Whether the entry has a lease.
    pub leased: bool,
    /// Whether the declarations are recent enough to serve callers.
    pub recovered: bool,
    /// Number of live members other than this one.
    pub live: usize,
}

impl Entry {
    /// Creates an entry that has just started.
    #[must_use]
    pub fn new(cx: Arc<Context>) -> Arc<Self> {
        let now = cx.now();
        let identity = (cx.instance(), cx.incarnation);
        let seeds = cx.settings.members.iter().map(|member| member.instance);
        let role = (MemberRole::Entry, cx.member.domain);
        let entries = cx.settings.with_role(crate::settings::Role::Entry);
        let neighbours =
            entries.iter().filter(|(_, at)| **at == cx.member.domain).map(|(id, _)| *id);
        let members = MembershipState {
            detector: Detector::new(now, identity, role, seeds, cx.derive_seed(1)),
            registry: Registry::new(identity, cx.member.domain, allowed_domains(&cx)),
            installer: Installer::new(now, cx.instance(), neighbours, cx.derive_seed(2)),
            lease_drop_times: BTreeMap::new(),
            left: BTreeSet::new(),
            leaving: BTreeSet::new(),
            restarted: BTreeMap::new(),
            last_announcements: BTreeMap::new(),
            saw_register_closed: false,
            started_at: now,
            next_revision_report: None,
            awaits_first_lease: true,
            peers_discovered: false,
            next_stop_notice: None,
            synced_term: Term(0),
            is_view_outdated: true,
        };
        Arc::new(Self {
            requests: RequestDriver::new(Arc::clone(&cx)),
            keys: KeyDriver::new(Arc::clone(&cx)),
            counts: EntryCounts::new(Arc::clone(&cx)),
            connection_pool: ConnectionPool::default(),
            packets: Arc::new(PacketDriver::new(Arc::clone(&cx))),
            members: Mutex::new(members),
            view: RwLock::default(),
            stopping: AtomicBool::new(false),
            cx,
        })
    }

    /// The current view.
    #[must_use]
    pub fn view(&self) -> Arc<EntryView> {
        Arc::clone(&self.view.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Whether a graceful stop has begun.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Whether targets of a failure domain may be used: operators have not withdrawn it, and this entry
    /// has a lease or belongs to it.
    #[must_use]
    pub fn may_use_domain(&self, domain: DomainId) -> bool {
        let leased = lock(&self.members).installer.has_lease(self.cx.now());
        let in_service = self.view().domain_state(domain) == DomainState::In;
        in_service && (leased || domain == self.cx.member.domain)
    }

    /// Whether the entry accepts new requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && lock(&self.members).installer.is_recovered()
    }

    /// State for operators.
    #[must_use]
    pub fn status(&self) -> EntryStatus {
        let members = lock(&self.members);
        EntryStatus {
            term: members.installer.term(),
            leader: members.installer.leader(),
            revision: members.installer.progress().active,
            leased: members.installer.has_lease(self.cx.now()),
            recovered: members.installer.is_recovered(),
            live: members.detector.live().count(),
        }
    }

    /// Announced targets in the local registry, with whether they have a lease at any entry.
    #[must_use]
    pub fn announced_targets(&self) -> Vec<(TargetRecord, bool)> {
        let members = lock(&self.members);
        let known = members.registry.targets().iter();
        known.map(|target| (target.record.clone(), target.is_leased())).collect()
    }

    /// Applies a target's announcement.
    ///
    /// # Errors
    /// A 4xxx code if the announcement is refused.
    pub fn handle_announcement(
        &self,
        announcement: &Announcement,
    ) -> Result<(), AnnouncementError> {
        let mut members = lock(&self.members);
        let record = &announcement.record;
        let last = members.last_announcements.get(&record.address).copied().unwrap_or_default();
        let position = (record.incarnation, announcement.sequence);
        let known = members.registry.targets().get(record.address);
        let same_service = known.is_none_or(|known| known.record.service == record.service);
        // A delayed announcement must not undo a newer one. One of another service doesn't come from this
        // target, so the registry decides on it.
        if same_service && position < last {
            let reason = format!("{} was announced later with sequence {}", record.address, last.1);
            return Err(AnnouncementError { code: ResultCode::OldIncarnation, reason });
        }
        let declared = Arc::clone(members.installer.prepared());
        let actions = members.registry.on_announcement(self.cx.now(), announcement, &declared)?;
        members.last_announcements.insert(record.address, position);
        self.apply_registry_actions(&mut members, actions);
        self.refresh_view(&mut members);
        Ok(())
    }

    /// Begins the graceful stop: the entry refuses new requests and stops its dispatchers, and the other
    /// entries take over its roles while it still completes open requests.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Release);
        self.requests.stop_dispatching();
        let mut members = lock(&self.members);
        members.leaving.insert(self.cx.instance());
        members.is_view_outdated = true;
        self.refresh_view(&mut members);
    }

    /// Notifies the other entries that this one is leaving. Repeated, since messages may get lost.
    fn send_stop_notices(&self, members: &mut MembershipState, now: Instant) {
        if !self.is_stopping() || members.next_stop_notice.is_some_and(|at| now < at) {
            return;
        }
        members.next_stop_notice = Some(now + STOP_NOTICE_INTERVAL);
        let entries = self.cx.settings.with_role(crate::settings::Role::Entry);
        for to in entries.into_keys().filter(|id| *id != self.cx.instance()) {
            self.cx.send(to, Topic::Lifecycle, &LifecycleMessage::Leaving);
        }
    }

    /// Notifies the other members that this entry has left. Called after its last request has ended, so
    /// that a new dispatcher need not wait for its grants.
    pub fn leave(&self) {
        let mut members = lock(&self.members);
        let actions = members.detector.leave();
        self.apply_detector_actions(&mut members, actions);
    }

    /// Runs all timers that are due.
    pub fn tick(&self) {
        let now = self.cx.now();
        let mut members = lock(&self.members);
        if now >= members.detector.next_wake() {
            let actions = members.detector.tick(now);
            peers::set_routes(&self.cx, &members.detector);
            self.apply_detector_actions(&mut members, actions);
        }
        let actions = members.installer.tick(now);
        self.apply_install_actions(&mut members, actions);
        let actions = members.registry.tick(now);
        self.apply_registry_actions(&mut members, actions);
        self.drop_leases_of_lost_entries(&mut members, now);
        self.start_key_replicas(&mut members, now);
        self.send_stop_notices(&mut members, now);
        self.isolate_without_lease(&mut members, now);
        self.report_revision(&mut members, now);
        self.check_peer_discovery(&mut members, now);
        self.refresh_view(&mut members);
        drop(members);
        self.packets.tick();
        self.requests.tick();
        self.keys.tick();
        self.counts.tick();
    }

    /// Isolates a starting entry that gets no lease within a lease duration: it then serves only its local
    /// failure domain. Before that it must not place packets by itself, since other entries may have
    /// records of their flows.
    fn isolate_without_lease(&self, members: &mut MembershipState, now: Instant) {
        let is_due = now >= members.started_at + LEASE_DURATION;
        if is_due && !members.awaits_first_lease {
            return;
        }
        if members.installer.has_lease(now) {
            members.awaits_first_lease = false;
        } else if is_due {
            members.awaits_first_lease = false;
            self.packets.set_isolated(true);
        }
    }

    /// Without a lease, reports the prepared revision to the control daemons: it was committed, so none of
    /// them may lead without it.
    fn report_revision(&self, members: &mut MembershipState, now: Instant) {
        let is_due = members.next_revision_report.is_none_or(|at| now >= at);
        if !is_due || members.installer.has_lease(now) || !members.installer.is_recovered() {
            return;
        }
        members.next_revision_report = Some(now + REVISION_REPORT_INTERVAL);
        for to in self.cx.settings.with_role(crate::settings::Role::Control).into_keys() {
            self.send_revision(members, to);
        }
    }

    pub(crate) fn send_revision(&self, members: &MembershipState, to: InstanceId) {
        let held = members.installer.progress().prepared;
        self.cx.send(to, Topic::Lifecycle, &LifecycleMessage::Holds(held));
    }

    /// Drops the target leases at entries that have been dead or stopped for the grace period.
    fn drop_leases_of_lost_entries(&self, members: &mut MembershipState, now: Instant) {
        let due: Vec<_> = members
            .lease_drop_times
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(id, _)| *id)
            .collect();
        for entry in due {
            members.lease_drop_times.remove(&entry);
            let MembershipState { registry, last_announcements, .. } = members;
            last_announcements.retain(|address, _| registry.targets().get(*address).is_some());
            let actions = members.registry.drop_entry_leases(now, entry);
            self.apply_registry_actions(members, actions);
        }
    }

    /// Starts the key replicas once the register is open. If this process was running before that, its
    /// replicas have never voted and have no records to copy.
    fn start_key_replicas(&self, members: &mut MembershipState, now: Instant) {
        let installer = &members.installer;
        if !installer.is_recovered() || !installer.is_current(now) {
            return;
        }
        if installer.active().register_open {
            self.keys.start_replica(members.saw_register_closed);
        } else {
            members.saw_register_closed = true;
        }
    }

    fn handle_envelope(&self, envelope: &Envelope) -> Result<(), WireError> {
        let now = self.cx.now();
        let from = envelope.from;
        match envelope.topic {
            Topic::Relay => {
                if let Some(inner) = self.cx.unpack_relay(envelope)?
                    && self.cx.accept(&inner)
                {
                    self.handle_envelope(&inner)?;
                }
            }
            Topic::Request => {
                let message: RequestMessage = decode_body(&envelope.body)?;
                match message {
                    RequestMessage::Key(message) => self.keys.handle_message(from, message),
                    message => self.requests.handle_message(from, message),
                }
            }
            Topic::Detector => {
                let message: DetectorMessage = decode_body(&envelope.body)?;
                let mut members = lock(&self.members);
                let actions = members.detector.on_message(now, from, message);
                peers::set_routes(&self.cx, &members.detector);
                self.apply_detector_actions(&mut members, actions);
                self.refresh_view(&mut members);
            }
            Topic::Registry => {
                let message: RegistryMessage = decode_body(&envelope.body)?;
                let mut members = lock(&self.members);
                let actions = members.registry.on_message(now, from, message);
                self.apply_registry_actions(&mut members, actions);
                self.refresh_view(&mut members);
            }
            Topic::Rollout => {
                let message: InstallMessage = decode_body(&envelope.body)?;
                let mut members = lock(&self.members);
                let actions = members.installer.on_message(now, from, message);
                self.apply_install_actions(&mut members, actions);
                self.refresh_view(&mut members);
            }
            Topic::Counters => {
                let message: CounterMessage = decode_body(&envelope.body)?;
                self.counts.handle_message(from, &message);
            }
            Topic::Flow => {
                let frame: Frame = decode_body(&envelope.body)?;
                self.packets.handle_frame(from, frame);
            }
            Topic::Lifecycle => {
                let message: LifecycleMessage = decode_body(&envelope.body)?;
                if message == LifecycleMessage::Leaving {
                    let mut members = lock(&self.members);
                    members.is_view_outdated |= members.leaving.insert(from);
                    self.refresh_view(&mut members);
                }
            }
            Topic::Consensus => {
                let reason = "consensus messages are for control daemons".to_owned();
                return Err(WireError::BadFrame(reason));
            }
        }
        Ok(())
    }
}

impl Inbox for Entry {
    fn deliver(&self, envelope: Envelope) {
        peers::deliver(&self.cx, &envelope, |envelope| self.handle_envelope(envelope));
    }

    fn connection_closed(&self, peer: InstanceId, reason: &str) {
        peers::record_closed_connection(&self.cx, peer, reason);
    }
}

fn allowed_domains(cx: &Context) -> BTreeSet<DomainId> {
    let named = cx.settings.entry.as_ref().map(|entry| entry.allowed_domains.clone());
    let named = named.unwrap_or_default();
    if named.is_empty() { cx.settings.domains.keys().copied().collect() } else { named }
}
