//! HTTP target: settings, shared state and the rules by which it starts, refuses and ends requests.

use crate::checks::TargetLog;
use crate::echo::{Echo, EchoCounters, FlowRecord};
use crate::runlog::{RunOutcome, RunRecord};
use crate::service_time::ServiceTime;
use crate::{lock, target_http, target_tasks, wall_us};
use anyhow::{Context as _, Result, bail};
use bon::Builder;
use comfreyhold_types::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use strum::{Display, EnumString};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{Notify, watch};
use tokio::task::{JoinHandle, JoinSet};

const IDLE_POLL: Duration = Duration::from_millis(10);

/// What a cold target does with load beyond what it bears.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, EnumString, Display,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum ColdOverload {
    /// Refuses, before running.
    #[default]
    Refuse,
    /// Runs [`ColdStart::slowdown`] times as long.
    Slow,
}

/// Behaviour of a target while it is cold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Builder)]
#[serde(default)]
pub struct ColdStart {
    /// Time until the target is warm, in milliseconds.
    #[builder(default = 10_000)]
    pub duration_ms: u64,
    /// Requests that it can run at once.
    #[builder(default = 1)]
    pub bears_running: u16,
    /// Request starts that it can handle per second.
    #[builder(default = 5)]
    pub bears_per_s: usize,
    /// What it does with more.
    #[builder(default)]
    pub overload: ColdOverload,
    /// Factor on the service time under [`ColdOverload::Slow`].
    #[builder(default = 10)]
    pub slowdown: u32,
}

impl Default for ColdStart {
    fn default() -> Self {
        Self::builder().build()
    }
}

/// Settings of a target.
#[derive(Clone, Debug, Builder)]
pub struct TargetSettings {
    /// Name of its service.
    #[builder(into)]
    pub service: String,
    /// Its failure domain.
    #[builder(default)]
    pub domain: DomainId,
    /// Address to listen on; port 0 takes a free one.
    #[builder(default = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0))]
    pub listen: SocketAddrV4,
    /// Requests that it runs at once without overload.
    #[builder(default = 2)]
    pub slots: u16,
    /// Start number.
    #[builder(default = Incarnation(1))]
    pub incarnation: Incarnation,
    /// Lease; a third of it passes between announcements.
    #[builder(default = Duration::from_secs(3))]
    pub lease: Duration,
    /// HTTP addresses of entries to announce to.
    #[builder(default)]
    pub entries: Vec<SocketAddr>,
    /// Packet address of the fabric.
    pub fabric: Option<SocketAddr>,
    /// Seed of service times and random refusals.
    #[builder(default)]
    pub seed: u64,
    /// Distribution of the service time.
    #[builder(default = ServiceTime::Constant(20.0))]
    pub service_time: ServiceTime,
    /// Behaviour while cold.
    #[builder(default)]
    pub cold: ColdStart,
    /// Whether it starts cold.
    #[builder(default)]
    pub start_cold: bool,
    /// Refuses while this many are running. Without it, it runs beyond its slots and counts that.
    pub shed_above: Option<u16>,
    /// Share of requests refused at random, in percent.
    #[builder(default)]
    pub refuse_percent: u8,
    /// Filler bytes in a response.
    #[builder(default = 256)]
    pub response_bytes: usize,
}

/// State of a target, as `GET /lab/state` gives it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetReport {
    /// Name of its service.
    pub service: String,
    /// Start number.
    pub incarnation: u64,
    /// Whether it is draining.
    pub draining: bool,
    /// Whether it is cold.
    pub cold: bool,
    /// Whether it is paused.
    pub paused: bool,
    /// Requests running now.
    pub running: u16,
    /// Most requests that ran at once.
    pub most_running: u16,
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests started.
    pub started: u64,
    /// Requests started while all slots were in use.
    pub over_slots: u64,
    /// Requests beyond what the target bears while cold, refused or slowed down.
    pub cold_overloads: u64,
    /// Requests that came while it was draining.
    pub while_draining: u64,
    /// Requests that were addressed to another service.
    pub wrong_service: u64,
    /// Announcements that an entry accepted.
    pub announced: u64,
    /// Announcements that an entry refused.
    pub announce_refused: u64,
    /// Announcements to entries that did not answer.
    pub announce_failed: u64,
    /// Counters of the packet side.
    pub packets: EchoCounters,
}

pub(crate) struct Core {
    rng: StdRng,
    cold_until: Option<Instant>,
    recent_starts: VecDeque<Instant>,
    pub(crate) records: Vec<RunRecord>,
    pub(crate) report: TargetReport,
}

pub(crate) struct Shared {
    pub(crate) settings: TargetSettings,
    pub(crate) address: SocketAddrV4,
    pub(crate) core: Mutex<Core>,
    pub(crate) echo: Mutex<Echo>,
    pub(crate) paused: watch::Sender<bool>,
    pub(crate) stopping: watch::Sender<bool>,
    pub(crate) announce_now: Notify,
}

/// Header fields of a request that the target acts on.
pub(crate) struct Arrival {
    pub(crate) record: RunRecord,
    pub(crate) deadline: Option<Duration>,
}

/// Decision on an arrived request.
pub(crate) enum Admission {
    Run { index: usize, time: Duration },
    Refuse(RunOutcome),
}

impl Shared {
    /// Decides whether a request runs, and records it.
    pub(crate) fn admit(&self, mut record: RunRecord) -> Admission {
        let mut core = lock(&self.core);
        let now = Instant::now();
        core.report.wrong_service += u64::from(record.wrong_service);
        core.report.while_draining += u64::from(core.report.draining);
        let cold_overload = core.cold_overload(&self.settings.cold, now);
        core.report.cold_overloads += u64::from(cold_overload);
        if let Some(refusal) = core.refusal(&self.settings, cold_overload) {
            record.outcome = refusal;
            record.end_us = Some(wall_us());
            core.records.push(record);
            return Admission::Refuse(refusal);
        }
        let mut time = self.settings.service_time.sample(&mut core.rng);
        if cold_overload {
            time *= self.settings.cold.slowdown;
        }
        let index = core.start(record, self.settings.slots, now);
        Admission::Run { index, time }
    }

    /// Records the end of a run.
    pub(crate) fn finish(&self, index: usize, outcome: RunOutcome) {
        let mut core = lock(&self.core);
        core.report.running -= 1;
        if let Some(record) = core.records.get_mut(index) {
            record.outcome = outcome;
            record.end_us = Some(wall_us());
        }
    }

    pub(crate) fn report(&self) -> TargetReport {
        let mut core = lock(&self.core);
        core.report.cold = core.is_cold(Instant::now());
        core.report.paused = *self.paused.borrow();
        let mut report = core.report.clone();
        report.service.clone_from(&self.settings.service);
        report.incarnation = self.settings.incarnation.0;
        report.packets = lock(&self.echo).counters();
        report
    }

    pub(crate) fn set_draining(&self, draining: bool) {
        lock(&self.core).report.draining = draining;
        self.announce_now.notify_one();
    }

    pub(crate) fn set_cold(&self, duration: Duration) {
        lock(&self.core).cold_until = Some(Instant::now() + duration);
    }

    pub(crate) fn state(&self) -> TargetState {
        match lock(&self.core).report.draining {
            true => TargetState::Draining,
            false => TargetState::Serving,
        }
    }
}

impl Core {
    fn new(settings: &TargetSettings) -> Self {
        let warm_at = Instant::now() + Duration::from_millis(settings.cold.duration_ms);
        Self {
            rng: StdRng::seed_from_u64(settings.seed),
            cold_until: settings.start_cold.then_some(warm_at),
            recent_starts: VecDeque::new(),
            records: Vec::new(),
            report: TargetReport::default(),
        }
    }

    fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }

    fn cold_overload(&mut self, cold: &ColdStart, now: Instant) -> bool {
        let second_ago = now.checked_sub(Duration::from_secs(1));
        while self.recent_starts.front().is_some_and(|start| Some(*start) < second_ago) {
            self.recent_starts.pop_front();
        }
        let too_many = self.report.running >= cold.bears_running
            || self.recent_starts.len() >= cold.bears_per_s;
        self.is_cold(now) && too_many
    }

    fn refusal(&mut self, settings: &TargetSettings, cold_overload: bool) -> Option<RunOutcome> {
        if self.report.draining {
            return Some(RunOutcome::RefusedDraining);
        }
        if cold_overload && settings.cold.overload == ColdOverload::Refuse {
            return Some(RunOutcome::RefusedCold);
        }
        let full = settings.shed_above.is_some_and(|limit| self.report.running >= limit);
        let random_refusal = self.rng.random_range(0..100) < settings.refuse_percent;
        (full || random_refusal).then_some(RunOutcome::RefusedShed)
    }

    fn start(&mut self, mut record: RunRecord, slots: u16, now: Instant) -> usize {
        self.report.running += 1;
        self.report.most_running = self.report.most_running.max(self.report.running);
        self.report.started += 1;
        record.start_us = wall_us();
        record.running = self.report.running;
        record.over_slots = self.report.running > slots;
        self.report.over_slots += u64::from(record.over_slots);
        self.recent_starts.push_back(now);
        self.records.push(record);
        self.records.len() - 1
    }
}

/// A running target. Dropping it ends its connections and announcements at once.
pub struct Target {
    shared: Arc<Shared>,
    http: JoinHandle<()>,
    tasks: JoinSet<()>,
}

impl Drop for Target {
    fn drop(&mut self) {
        self.http.abort();
    }
}

impl Target {
    /// Binds the address and starts to serve, to announce and to echo packets.
    ///
    /// # Errors
    /// The address is not on loopback or can't be bound, or the fabric's socket can't be opened.
    pub async fn start(settings: TargetSettings) -> Result<Self> {
        if !settings.listen.ip().is_loopback() {
            bail!("{}: a target listens on loopback addresses only", settings.listen);
        }
        let listener = TcpListener::bind(settings.listen).await?;
        let SocketAddr::V4(address) = listener.local_addr()? else {
            bail!("the target's address is not IPv4");
        };
        let shared = Arc::new(Shared {
            address,
            core: Mutex::new(Core::new(&settings)),
            echo: Mutex::new(Echo::new(&settings.service, address)),
            paused: watch::Sender::new(false),
            stopping: watch::Sender::new(false),
            announce_now: Notify::new(),
            settings,
        });
        let mut tasks = JoinSet::new();
        let http = tokio::spawn(target_http::serve(Arc::clone(&shared), listener));
        tasks.spawn(target_tasks::announce(Arc::clone(&shared)));
        if let Some(fabric) = shared.settings.fabric {
            let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?;
            socket.connect(fabric).await.context("fabric address")?;
            tasks.spawn(target_tasks::echo(Arc::clone(&shared), socket));
        }
        Ok(Self { shared, http, tasks })
    }

    /// Address of requests and packets, as announced.
    #[must_use]
    pub fn address(&self) -> SocketAddrV4 {
        self.shared.address
    }

    /// Current state and counters.
    #[must_use]
    pub fn report(&self) -> TargetReport {
        self.shared.report()
    }

    /// Records of all requests so far.
    #[must_use]
    pub fn runs(&self) -> Vec<RunRecord> {
        lock(&self.shared.core).records.clone()
    }

    /// Packet flows seen so far.
    #[must_use]
    pub fn flows(&self) -> Vec<FlowRecord> {
        lock(&self.shared.echo).flows().cloned().collect()
    }

    /// Announces that the target drains, and refuses new requests from now on.
    pub fn drain(&self) {
        self.shared.set_draining(true);
    }

    /// Makes the target cold without announcing it.
    pub fn make_cold(&self, duration: Duration) {
        self.shared.set_cold(duration);
    }

    /// Pauses or resumes the target. A paused one neither answers nor announces.
    pub fn set_paused(&self, paused: bool) {
        self.shared.paused.send_replace(paused);
    }

    /// Ends at once, as a crash does, and returns the logs for [`crate::load::summarise`].
    pub async fn crash(mut self) -> TargetLog {
        self.http.abort();
        // The result only says that the task was aborted.
        let _ = (&mut self.http).await;
        self.tasks.shutdown().await;
        TargetLog { report: self.report(), runs: self.runs(), flows: self.flows() }
    }

    /// Drains, waits until all responses are written or the limit has passed, and ends.
    pub async fn stop(mut self, limit: Duration) {
        self.drain();
        let idle = async {
            while self.report().running > 0 {
                tokio::time::sleep(IDLE_POLL).await;
            }
            self.shared.stopping.send_replace(true);
            let _ = (&mut self.http).await;
        };
        if tokio::time::timeout(limit, idle).await.is_err() {
            log::warn!("target {} stops with requests in flight", self.address());
        }
        self.tasks.shutdown().await;
    }
}
