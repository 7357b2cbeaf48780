//! Stand-in for a target: settings, shared state, and the rules by which it starts, refuses and ends requests.

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

/// Interval at which a stopping target checks whether requests are still running.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// How a cold target handles requests beyond its limits while cold.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, EnumString, Display,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum ColdOverload {
    /// Refuses the request before running it.
    #[default]
    Refuse,
    /// Runs the request [`ColdStart::slowdown`] times as long.
    Slow,
}

/// Duration and load limits of a target's cold phase.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Builder)]
#[serde(default)]
pub struct ColdStart {
    /// Time until the target is warm, in milliseconds.
    #[builder(default = 10_000)]
    pub duration_ms: u64,
    /// Maximum number of concurrent requests without overload while cold.
    #[builder(default = 1)]
    pub bears_running: u16,
    /// Maximum number of request starts per second without overload while cold.
    #[builder(default = 5)]
    pub bears_per_s: usize,
    /// How requests beyond these limits are handled.
    #[builder(default)]
    pub overload: ColdOverload,
    /// Factor on the service time of requests beyond the limits under [`ColdOverload::Slow`].
    #[builder(default = 10)]
    pub slowdown: u32,
}

impl Default for ColdStart {
    fn default() -> Self {
        Self::builder().build()
    }
}

/// Settings of a [`Target`].
#[derive(Clone, Debug, Builder)]
pub struct TargetSettings {
    /// Name of the service that it belongs to.
    #[builder(into)]
    pub service: String,
    /// Failure domain that it announces.
    #[builder(default)]
    pub domain: DomainId,
    /// Loopback address to listen on; port 0 selects a free port.
    #[builder(default = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0))]
    pub listen: SocketAddrV4,
    /// Number of concurrent requests that it announces. It runs more unless `shed_above` is set.
    #[builder(default = 2)]
    pub slots: u16,
    /// Incarnation that it announces; a restarted target needs a higher one.
    #[builder(default = Incarnation(1))]
    pub incarnation: Incarnation,
    /// Lease that it announces. The interval between announcements is a third of it.
    #[builder(default = Duration::from_secs(3))]
    pub lease: Duration,
    /// HTTP addresses of the entries to announce to; without any it does not announce.
    #[builder(default)]
    pub entries: Vec<SocketAddr>,
    /// Packet address of the fabric; `None` if the target handles no packet flows.
    pub fabric: Option<SocketAddr>,
    /// Seed for service times and random refusals.
    #[builder(default)]
    pub seed: u64,
    /// Distribution of the time that a request runs.
    #[builder(default = ServiceTime::Constant(20.0))]
    pub service_time: ServiceTime,
    /// Duration and limits of the cold phase.
    #[builder(default)]
    pub cold: ColdStart,
    /// Whether the target is cold when it starts.
    #[builder(default)]
    pub start_cold: bool,
    /// Number of running requests from which new ones are refused. If `None`, requests beyond `slots` run and are
    /// counted.
    pub shed_above: Option<u16>,
    /// Share of requests that are refused at random, in percent.
    #[builder(default)]
    pub refuse_percent: u8,
    /// Number of filler bytes in a response.
    #[builder(default = 256)]
    pub response_bytes: usize,
}

/// State of a target, as `GET /lab/state` returns it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetReport {
    /// Name of the target's service.
    pub service: String,
    /// Announced incarnation.
    pub incarnation: u64,
    /// Whether the target is draining.
    pub draining: bool,
    /// Whether the target is cold.
    pub cold: bool,
    /// Whether the target is paused.
    pub paused: bool,
    /// Number of requests that are running.
    pub running: u16,
    /// Largest number of requests that ran concurrently.
    pub most_running: u16,
    /// Requests received, refused ones included.
    pub arrived: u64,
    /// Requests that started to run.
    pub started: u64,
    /// Requests that started while all slots were in use.
    pub over_slots: u64,
    /// Requests beyond the limits of the cold phase, which were refused or slowed down.
    pub cold_overloads: u64,
    /// Requests received while the target was draining.
    pub while_draining: u64,
    /// Requests whose header names another service.
    pub wrong_service: u64,
    /// Announcements that an entry accepted.
    pub announced: u64,
    /// Announcements that an entry refused.
    pub announce_refused: u64,
    /// Announcements to which the entry did not respond.
    pub announce_failed: u64,
    /// Counters of the packet echo.
    pub packets: EchoCounters,
}

/// Mutable state of a target.
pub(crate) struct State {
    rng: StdRng,
    cold_until: Option<Instant>,
    /// Starts of the last second, for the rate limit of the cold phase.
    recent_starts: VecDeque<Instant>,
    pub(crate) records: Vec<RunRecord>,
    pub(crate) report: TargetReport,
}

pub(crate) struct Shared {
    pub(crate) settings: TargetSettings,
    pub(crate) address: SocketAddrV4,
    pub(crate) state: Mutex<State>,
    pub(crate) echo: Mutex<Echo>,
    pub(crate) paused: watch::Sender<bool>,
    pub(crate) stopping: watch::Sender<bool>,
    pub(crate) announce_now: Notify,
}

/// A received request with the headers that the target evaluates.
pub(crate) struct Arrival {
    pub(crate) record: RunRecord,
    pub(crate) deadline: Option<Duration>,
}

/// Admission decision on a received request.
pub(crate) enum Admission {
    /// Runs for the service time; `index` is the position of its record.
    Run {
        index: usize,
        service_time: Duration,
    },
    Refuse(RunOutcome),
}

impl Shared {
    /// Decides whether a request runs, and appends its record.
    pub(crate) fn admit(&self, mut record: RunRecord) -> Admission {
        let mut state = lock(&self.state);
        let now = Instant::now();
        state.report.wrong_service += u64::from(record.wrong_service);
        state.report.while_draining += u64::from(state.report.draining);
        let is_cold_overload = state.is_cold_overload(&self.settings.cold, now);
        state.report.cold_overloads += u64::from(is_cold_overload);
        if let Some(refusal) = state.refusal(&self.settings, is_cold_overload) {
            record.outcome = refusal;
            record.end_us = Some(wall_us());
            state.records.push(record);
            return Admission::Refuse(refusal);
        }
        let mut service_time = self.settings.service_time.sample(&mut state.rng);
        if is_cold_overload {
            service_time *= self.settings.cold.slowdown;
        }
        let index = state.start_request(record, self.settings.slots, now);
        Admission::Run { index, service_time }
    }

    /// Records the end of a run.
    pub(crate) fn finish_run(&self, index: usize, outcome: RunOutcome) {
        let mut state = lock(&self.state);
        state.report.running -= 1;
        if let Some(record) = state.records.get_mut(index) {
            record.outcome = outcome;
            record.end_us = Some(wall_us());
        }
    }

    pub(crate) fn report(&self) -> TargetReport {
        let mut state = lock(&self.state);
        state.report.cold = state.is_cold(Instant::now());
        state.report.paused = *self.paused.borrow();
        let mut report = state.report.clone();
        report.service.clone_from(&self.settings.service);
        report.incarnation = self.settings.incarnation.0;
        report.packets = lock(&self.echo).counters();
        report
    }

    pub(crate) fn set_draining(&self, draining: bool) {
        lock(&self.state).report.draining = draining;
        self.announce_now.notify_one();
    }

    pub(crate) fn set_cold(&self, duration: Duration) {
        lock(&self.state).cold_until = Some(Instant::now() + duration);
    }

    pub(crate) fn lifecycle_state(&self) -> TargetState {
        match lock(&self.state).report.draining {
            true => TargetState::Draining,
            false => TargetState::Serving,
        }
    }
}

impl State {
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

    /// Whether the target is cold and another request would exceed the limits of the cold phase.
    fn is_cold_overload(&mut self, cold: &ColdStart, now: Instant) -> bool {
        let second_ago = now.checked_sub(Duration::from_secs(1));
        while self.recent_starts.front().is_some_and(|start| Some(*start) < second_ago) {
            self.recent_starts.pop_front();
        }
        let exceeds_limits = self.report.running >= cold.bears_running
            || self.recent_starts.len() >= cold.bears_per_s;
        self.is_cold(now) && exceeds_limits
    }

    /// Returns how a request is refused, or `None` if it runs.
    fn refusal(&mut self, settings: &TargetSettings, is_cold_overload: bool) -> Option<RunOutcome> {
        if self.report.draining {
            return Some(RunOutcome::RefusedDraining);
        }
        if is_cold_overload && settings.cold.overload == ColdOverload::Refuse {
            return Some(RunOutcome::RefusedCold);
        }
        let is_full = settings.shed_above.is_some_and(|limit| self.report.running >= limit);
        let is_random_refusal = self.rng.random_range(0..100) < settings.refuse_percent;
        (is_full || is_random_refusal).then_some(RunOutcome::RefusedShed)
    }

    fn start_request(&mut self, mut record: RunRecord, slots: u16, now: Instant) -> usize {
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

/// A running target. Dropping it immediately closes its connections and stops its announcements.
pub struct Target {
    shared: Arc<Shared>,
    http_task: JoinHandle<()>,
    tasks: JoinSet<()>,
}

impl Drop for Target {
    fn drop(&mut self) {
        self.http_task.abort();
    }
}

impl Target {
    /// Binds the address and starts to serve requests, to announce the target and to echo packets.
    ///
    /// # Errors
    /// The address is not on loopback or can't be bound, or the fabric's socket can't be opened.
    pub async fn start(settings: TargetSettings) -> Result<Self> {
        if !settings.listen.ip().is_loopback() {
            bail!("{}: a target must listen on a loopback address", settings.listen);
        }
        let listener = TcpListener::bind(settings.listen).await?;
        let SocketAddr::V4(address) = listener.local_addr()? else {
            bail!("the address of the target is not IPv4");
        };
        let shared = Arc::new(Shared {
            address,
            state: Mutex::new(State::new(&settings)),
            echo: Mutex::new(Echo::new(&settings.service, address)),
            paused: watch::Sender::new(false),
            stopping: watch::Sender::new(false),
            announce_now: Notify::new(),
            settings,
        });
        let mut tasks = JoinSet::new();
        let http_task = tokio::spawn(target_http::serve(Arc::clone(&shared), listener));
        tasks.spawn(target_tasks::announce_periodically(Arc::clone(&shared)));
        if let Some(fabric) = shared.settings.fabric {
            let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?;
            socket.connect(fabric).await.context("cannot connect to the fabric's address")?;
            tasks.spawn(target_tasks::echo_packets(Arc::clone(&shared), socket));
        }
        Ok(Self { shared, http_task, tasks })
    }

    /// Returns the announced address for requests and packets.
    #[must_use]
    pub fn address(&self) -> SocketAddrV4 {
        self.shared.address
    }

    /// Returns the current state and counters.
    #[must_use]
    pub fn report(&self) -> TargetReport {
        self.shared.report()
    }

    /// Returns the records of all requests so far, refused ones included.
    #[must_use]
    pub fn runs(&self) -> Vec<RunRecord> {
        lock(&self.shared.state).records.clone()
    }

    /// Returns the records of all packet flows so far.
    #[must_use]
    pub fn flows(&self) -> Vec<FlowRecord> {
        lock(&self.shared.echo).flows().cloned().collect()
    }

    /// Starts to drain: announces it at once and refuses new requests.
    pub fn drain(&self) {
        self.shared.set_draining(true);
    }

    /// Makes the target cold for this time, without announcing it.
    pub fn make_cold(&self, duration: Duration) {
        self.shared.set_cold(duration);
    }

    /// Pauses or resumes the target. A paused target neither responds to requests or packets nor announces itself.
    pub fn set_paused(&self, paused: bool) {
        self.shared.paused.send_replace(paused);
    }

    /// Stops immediately, as in a crash, and returns the logs for [`crate::load::summarise`].
    pub async fn crash(mut self) -> TargetLog {
        self.http_task.abort();
        // The result is the error of an aborted task.
        let _ = (&mut self.http_task).await;
        self.tasks.shutdown().await;
        TargetLog { report: self.report(), runs: self.runs(), flows: self.flows() }
    }

    /// Drains the target, waits until all responses are written, at most for the timeout, and stops.
    pub async fn stop(mut self, timeout: Duration) {
        self.drain();
        let finish_requests = async {
            while self.report().running > 0 {
                tokio::time::sleep(IDLE_POLL_INTERVAL).await;
            }
            self.shared.stopping.send_replace(true);
            let _ = (&mut self.http_task).await;
        };
        if tokio::time::timeout(timeout, finish_requests).await.is_err() {
            log::warn!("target {} stopped with requests in flight", self.address());
        }
        self.tasks.shutdown().await;
    }
}
