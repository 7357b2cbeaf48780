//! The entry daemon: drives failure detection, the target registry and the installation of revisions,
//! and passes what they find on to the request and packet sides.

use crate::context::{Context, lock};
use crate::entry_counts::EntryCounts;
use crate::entry_keys::Keys;
use crate::entry_packets::Packets;
use crate::entry_requests::RequestDriver;
use crate::entry_view::EntryView;
use crate::lifecycle::LifecycleMessage;
use crate::peers;
use crate::upstream::Pool;
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

/// Time between two reports of the revision that an entry without a lease holds.
const HELD_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two notices of a stopping entry.
const NOTICE_INTERVAL: Duration = Duration::from_millis(200);

pub(crate) struct Members {
    pub(crate) detector: Detector,
    pub(crate) registry: Registry,
    pub(crate) installer: Installer,
    pub(crate) lost_entries: BTreeMap<InstanceId, Instant>,
    pub(crate) left: BTreeSet<InstanceId>,
    pub(crate) leaving: BTreeSet<InstanceId>,
    pub(crate) restarted: BTreeMap<InstanceId, Instant>,
    /// Last announcement of each target taken in here.
    pub(crate) sequences: BTreeMap<SocketAddr, (Incarnation, u64)>,
    /// Whether this process saw the idempotency register before it was opened.
    pub(crate) seen_closed: bool,
    pub(crate) started: Instant,
    /// When an entry without a lease reports its revision again.
    pub(crate) next_held_report: Option<Instant>,
    /// Whether neither a lease nor the time of one has passed since the start.
    pub(crate) first_lease_awaited: bool,
    /// Whether the other entries were given time to answer.
    pub(crate) peers_known: bool,
    /// When a stopping entry tells the others again.
    pub(crate) next_notice: Option<Instant>,
    /// Term whose leader was sent all announced targets.
    pub(crate) reported_term: Term,
    /// Whether something changed that the request and packet sides must know.
    pub(crate) changed: bool,
}

/// One entry.
pub struct Entry {
    /// The shared context.
    pub cx: Arc<Context>,
    /// The request side.
    pub requests: RequestDriver,
    /// The idempotency register.
    pub keys: Keys,
    /// The counters.
    pub counts: EntryCounts,
    /// Connections to targets.
    pub pool: Pool,
    /// The packet side.
    pub packets: Arc<Packets>,
    members: Mutex<Members>,
    pub(crate) view: RwLock<Arc<EntryView>>,
    stopping: AtomicBool,
}

/// State of an entry for operators.
#[derive(Clone, Debug)]
pub struct EntryStatus {
    /// Newest term known.
    pub term: Term,
    /// Leader of that term.
    pub leader: Option<InstanceId>,
    /// Revision in effect.
    pub revision: Revision,
    /// Whether the lease runs.
    pub leased: bool,
    /// Whether the state is new enough to serve.
    pub recovered: bool,
    /// Live entries and control daemons beside this one.
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
        let members = Members {
            detector: Detector::new(now, identity, role, seeds, cx.seed(1)),
            registry: Registry::new(identity, cx.member.domain, allowed_domains(&cx)),
            installer: Installer::new(now, cx.instance(), neighbours, cx.seed(2)),
            lost_entries: BTreeMap::new(),
            left: BTreeSet::new(),
            leaving: BTreeSet::new(),
            restarted: BTreeMap::new(),
            sequences: BTreeMap::new(),
            seen_closed: false,
            started: now,
            next_held_report: None,
            first_lease_awaited: true,
            peers_known: false,
            next_notice: None,
            reported_term: Term(0),
            changed: true,
        };
        Arc::new(Self {
            requests: RequestDriver::new(Arc::clone(&cx)),
            keys: Keys::new(Arc::clone(&cx)),
            counts: EntryCounts::new(Arc::clone(&cx)),
            pool: Pool::default(),
            packets: Arc::new(Packets::new(Arc::clone(&cx))),
            members: Mutex::new(members),
            view: RwLock::default(),
            stopping: AtomicBool::new(false),
            cx,
        })
    }

    /// What the entry currently knows.
    #[must_use]
    pub fn view(&self) -> Arc<EntryView> {
        Arc::clone(&self.view.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Whether a graceful stop has begun.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Whether targets of a failure domain may be used: operators have not taken it out, and this entry
    /// has a lease or belongs to it.
    #[must_use]
    pub fn may_use_domain(&self, domain: DomainId) -> bool {
        let leased = lock(&self.members).installer.has_lease(self.cx.now());
        let in_service = self.view().domain_state(domain) == DomainState::In;
        in_service && (leased || domain == self.cx.member.domain)
    }

    /// Whether new work is taken.
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

    /// Targets as known here, with whether their lease runs.
    #[must_use]
    pub fn announced(&self) -> Vec<(TargetRecord, bool)> {
        let members = lock(&self.members);
        let known = members.registry.targets().iter();
        known.map(|target| (target.record.clone(), target.is_leased())).collect()
    }

    /// Takes in a target's announcement.
    ///
    /// # Errors
    /// A 4xxx code when it is refused.
    pub fn announce(
        &self,
        announcement: &Announcement,
        sequence: u64,
    ) -> Result<(), AnnouncementError> {
        let mut members = lock(&self.members);
        let record = &announcement.record;
        let last = members.sequences.get(&record.address).copied().unwrap_or_default();
        let position = (record.incarnation, sequence);
        let known = members.registry.targets().get(record.address);
        let same_service = known.is_none_or(|known| known.record.service == record.service);
        // An announcement that was delayed on the way must not undo a newer one. The registry judges
        // one of another service, which is no earlier announcement of this target.
        if same_service && position < last {
            let reason = format!("{} was announced later with sequence {}", record.address, last.1);
            return Err(AnnouncementError { code: ResultCode::OldIncarnation, reason });
        }
        let declared = Arc::clone(members.installer.prepared());
        let actions = members.registry.on_announcement(self.cx.now(), announcement, &declared)?;
        members.sequences.insert(record.address, position);
        self.on_registry(&mut members, actions);
        self.refresh(&mut members);
        Ok(())
    }

    /// Begins the graceful stop: nothing new is taken, the dispatchers of this entry end, and the other
    /// entries take over its roles while it still answers.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Release);
        self.requests.stop_dispatching();
        let mut members = lock(&self.members);
        members.leaving.insert(self.cx.instance());
        members.changed = true;
        self.refresh(&mut members);
    }

    /// Tells the other entries that this one is leaving. Repeated, since messages may get lost.
    fn announce_stop(&self, members: &mut Members, now: Instant) {
        if !self.is_stopping() || members.next_notice.is_some_and(|at| now < at) {
            return;
        }
        members.next_notice = Some(now + NOTICE_INTERVAL);
        let entries = self.cx.settings.with_role(crate::settings::Role::Entry);
        for to in entries.into_keys().filter(|id| *id != self.cx.instance()) {
            self.cx.send(to, Topic::Lifecycle, &LifecycleMessage::Leaving);
        }
    }

    /// Tells the others that this entry is gone. Comes after its last request has ended, so that a new
    /// dispatcher need not wait for its grants.
    pub fn leave(&self) {
        let mut members = lock(&self.members);
        let actions = members.detector.leave();
        self.on_detector(&mut members, actions);
    }

    /// Handles all timers.
    pub fn tick(&self) {
        let now = self.cx.now();
        let mut members = lock(&self.members);
        if now >= members.detector.next_wake() {
            let actions = members.detector.tick(now);
            peers::set_routes(&self.cx, &members.detector);
            self.on_detector(&mut members, actions);
        }
        let actions = members.installer.tick(now);
        self.on_installer(&mut members, actions);
        let actions = members.registry.tick(now);
        self.on_registry(&mut members, actions);
        self.drop_lost_entries(&mut members, now);
        self.start_keys(&mut members, now);
        self.announce_stop(&mut members, now);
        self.isolate_without_lease(&mut members, now);
        self.report_held(&mut members, now);
        self.note_known_peers(&mut members, now);
        self.refresh(&mut members);
        drop(members);
        self.packets.tick();
        self.requests.tick();
        self.keys.tick();
        self.counts.tick();
    }

    /// A starting entry that gets no lease in the time of one serves its own failure domain only. Before
    /// that it must not place packets by itself, since other entries know their flows.
    fn isolate_without_lease(&self, members: &mut Members, now: Instant) {
        let is_due = now >= members.started + LEASE_DURATION;
        if is_due && !members.first_lease_awaited {
            return;
        }
        if members.installer.has_lease(now) {
            members.first_lease_awaited = false;
        } else if is_due {
            members.first_lease_awaited = false;
            self.packets.set_isolated(true);
        }
    }

    /// Without a lease, tells the control daemons which revision this entry holds: it was accepted, so none
    /// of them may lead without it.
    fn report_held(&self, members: &mut Members, now: Instant) {
        let is_due = members.next_held_report.is_none_or(|at| now >= at);
        if !is_due || members.installer.has_lease(now) || !members.installer.is_recovered() {
            return;
        }
        members.next_held_report = Some(now + HELD_INTERVAL);
        for to in self.cx.settings.with_role(crate::settings::Role::Control).into_keys() {
            self.send_held(members, to);
        }
    }

    pub(crate) fn send_held(&self, members: &Members, to: InstanceId) {
        let held = members.installer.progress().prepared;
        self.cx.send(to, Topic::Lifecycle, &LifecycleMessage::Holds(held));
    }

    fn drop_lost_entries(&self, members: &mut Members, now: Instant) {
        let due: Vec<_> =
            members.lost_entries.iter().filter(|(_, at)| **at <= now).map(|(id, _)| *id).collect();
        for entry in due {
            members.lost_entries.remove(&entry);
            let Members { registry, sequences, .. } = members;
            sequences.retain(|address, _| registry.targets().get(*address).is_some());
            let actions = members.registry.drop_entry_leases(now, entry);
            self.on_registry(members, actions);
        }
    }

    /// Starts the key replicas once the register is open. Those of an entry that was running before have
    /// never voted and have nothing to copy.
    fn start_keys(&self, members: &mut Members, now: Instant) {
        let installer = &members.installer;
        if !installer.is_recovered() || !installer.is_current(now) {
            return;
        }
        if installer.active().register_open {
            self.keys.start_replica(members.seen_closed);
        } else {
            members.seen_closed = true;
        }
    }

    fn on_envelope(&self, envelope: &Envelope) -> Result<(), WireError> {
        let now = self.cx.now();
        let from = envelope.from;
        match envelope.topic {
            Topic::Relay => {
                if let Some(inner) = self.cx.unpack_relay(envelope)?
                    && self.cx.accept(&inner)
                {
                    self.on_envelope(&inner)?;
                }
            }
            Topic::Request => {
                let message: RequestMessage = decode_body(&envelope.body)?;
                match message {
                    RequestMessage::Key(message) => self.keys.on_message(from, message),
                    message => self.requests.on_message(from, message),
                }
            }
            Topic::Detector => {
                let message: DetectorMessage = decode_body(&envelope.body)?;
                let mut members = lock(&self.members);
                let actions = members.detector.on_message(now, from, message);
                peers::set_routes(&self.cx, &members.detector);
                self.on_detector(&mut members, actions);
                self.refresh(&mut members);
            }
            Topic::Registry => {
                let message: RegistryMessage = decode_body(&envelope.body)?;
                let mut members = lock(&self.members);
                let actions = members.registry.on_message(now, from, message);
                self.on_registry(&mut members, actions);
                self.refresh(&mut members);
            }
            Topic::Rollout => {
                let message: InstallMessage = decode_body(&envelope.body)?;
                let mut members = lock(&self.members);
                let actions = members.installer.on_message(now, from, message);
                self.on_installer(&mut members, actions);
                self.refresh(&mut members);
            }
            Topic::Counters => {
                let message: CounterMessage = decode_body(&envelope.body)?;
                self.counts.on_message(from, &message);
            }
            Topic::Flow => {
                let frame: Frame = decode_body(&envelope.body)?;
                self.packets.on_frame(from, frame);
            }
            Topic::Lifecycle => {
                let message: LifecycleMessage = decode_body(&envelope.body)?;
                if message == LifecycleMessage::Leaving {
                    let mut members = lock(&self.members);
                    members.changed |= members.leaving.insert(from);
                    self.refresh(&mut members);
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
        peers::deliver(&self.cx, &envelope, |envelope| self.on_envelope(envelope));
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
