//! Startup and shutdown of the control daemon.

use crate::admin;
use crate::context::Context;
use crate::control::{ControlDaemon, PersistJob};
use crate::control_api::ControlApi;
use crate::control_counts::{CountStore, WRITE_INTERVAL};
use crate::http_server::{self, InFlight};
use crate::process::{self, StopSignals};
use crate::settings::{Role, Settings};
use crate::{logging, settings};
use anyhow::Context as _;
use comfreyhold_consensus::disk::{DataFolder, LogStore, StoreError};
use comfreyhold_consensus::replica::{LogReplica, ReplicaSettings};
use comfreyhold_types::clock::{Clock, SystemClock};
use comfreyhold_types::declarations::Voter;
use comfreyhold_types::prelude::*;
use comfreyhold_wire::transport::Inbox;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::path::Path;
use std::sync::{Arc, mpsc};
use std::time::Duration;
use tokio::sync::watch;

/// Limit on the wait for requests in flight at a graceful stop. Requests that take longer are dropped.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(10);

/// Number of worker threads of the HTTP runtime.
const HTTP_THREADS: usize = 2;

/// Interval between attempts to write to a disk that was full.
const FULL_DISK_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Time to store a batch from which on it is logged. Elections and publications wait for it.
const SLOW_SYNC: Duration = Duration::from_millis(250);

/// Runs a control daemon until SIGTERM, SIGINT or a newer process with the same instance number stops it.
///
/// # Errors
/// The settings, the data folder or a socket can't be used.
pub fn run(path: &Path) -> anyhow::Result<()> {
    let settings = Settings::load(path)?;
    let member = settings.local_member()?.clone();
    anyhow::ensure!(
        member.role == settings::Role::Control,
        "{} is not a control daemon",
        member.name
    );
    logging::install(&settings.log, &member.name)?;
    let metrics = admin::install_metrics()?;
    let folder = settings.data_folder.clone().context("data_folder is not set")?;
    let mut store = open_store(&folder.join("log"))?;
    let incarnation = store.next_incarnation(SystemClock.wall_millis());
    let incarnation = incarnation.map_err(|error| describe_store_error(&error, &folder))?;
    let cx = Context::new(settings, member, incarnation, Arc::new(SystemClock));
    let replica = start_replica(&cx, &store)?;
    let counts = Arc::new(CountStore::open(&folder)?);
    let (tx, rx) = mpsc::channel();
    let control = ControlDaemon::new(Arc::clone(&cx), replica, Arc::clone(&counts), tx);
    spawn_storage_thread(Arc::clone(&control), store, rx)?;
    spawn_count_writer_thread(counts)?;
    let transport = process::start_transport(&cx, Arc::clone(&control) as Arc<dyn Inbox>)?;
    let tick_control = Arc::clone(&control);
    let ticker = process::start_ticker(&cx, &transport, move || tick_control.tick(), || {})?;
    let runtime = process::build_http_runtime(HTTP_THREADS)?;
    cx.record(EventKind::Started, &[("role", "control".to_owned())]);
    runtime.block_on(serve(Arc::clone(&control), metrics))?;
    drop(ticker);
    drop(transport);
    Ok(())
}

async fn serve(
    control: Arc<ControlDaemon>,
    metrics: metrics_exporter_prometheus::PrometheusHandle,
) -> anyhow::Result<()> {
    let signals = StopSignals::install()?;
    let cx = Arc::clone(control.context());
    let listener = process::into_tokio(process::bind(cx.member.admin)?)?;
    let in_flight = InFlight::default();
    let api = ControlApi::new(Arc::clone(&control), metrics, in_flight.clone());
    let (stop, stopped) = watch::channel(false);
    let server = tokio::spawn(http_server::serve(listener, api, stopped));
    process::print_started(&cx, &[("admin", cx.member.admin)]);
    signals.wait(&cx).await;
    cx.record(EventKind::Stopping, &[]);
    stop.send_replace(true);
    server.await?;
    if !in_flight.wait_idle(DRAIN_TIMEOUT).await {
        log::warn!("stopping with {} requests in flight", in_flight.count());
    }
    control.announce_leave();
    control.counts().write()
}

fn open_store(folder: &Path) -> anyhow::Result<LogStore<DataFolder>> {
    let opened = DataFolder::open(folder).and_then(|files| {
        let mut rng: StdRng = rand::make_rng();
        LogStore::open(files, &mut rng)
    });
    opened.map_err(|error| describe_store_error(&error, folder))
}

fn describe_store_error(error: &StoreError, folder: &Path) -> anyhow::Error {
    anyhow::anyhow!("{} {}: {error}", error.code().number(), folder.display())
}

fn start_replica(cx: &Context, store: &LogStore<DataFolder>) -> anyhow::Result<LogReplica> {
    let local_voter = Voter { instance: cx.instance(), disk: store.disk_id() };
    let members = cx.settings.with_role(Role::Control).into_keys().collect();
    let mut cfg = ReplicaSettings::new(local_voter, cx.incarnation, members);
    cfg.may_form_voters = cx.settings.bootstrap;
    cfg.entry_count = cx.settings.with_role(Role::Entry).len();
    let rng = StdRng::seed_from_u64(cx.derive_seed(2));
    Ok(LogReplica::new(cfg, store.content().clone(), rng, cx.now())?)
}

/// Starts the thread that writes batches in order and syncs each before it confirms it. On a full disk it waits
/// for room and then writes everything anew. It ends at any other fault, so that nothing is written after a
/// lost batch.
fn spawn_storage_thread(
    control: Arc<ControlDaemon>,
    mut store: LogStore<DataFolder>,
    jobs: mpsc::Receiver<PersistJob>,
) -> anyhow::Result<()> {
    std::thread::Builder::new().name("storage".to_owned()).spawn(move || {
        while let Ok(job) = jobs.recv() {
            let started = control.context().now();
            let result = store.persist(&job.batch);
            record_sync(job.seq, control.context().now() - started);
            match result {
                Ok(()) => control.on_persisted(job.seq),
                Err(error) => {
                    control.on_storage_fault(error.code(), &error.to_string());
                    if !error.is_temporary() {
                        return;
                    }
                    // The replica issues no batch between the fault and the recovery.
                    jobs.try_iter().for_each(|job| store.keep_unwritten(&job.batch));
                    if let Err(error) = wait_for_room(&mut store) {
                        log::error!("the storage thread ends: {error}");
                        return;
                    }
                    control.on_storage_recovered();
                }
            }
        }
    })?;
    Ok(())
}

/// Counts the time that a batch took to be stored, and logs a long one.
fn record_sync(seq: u64, took: Duration) {
    metrics::histogram!("comfreyhold_sync_seconds").record(took);
    if took >= SLOW_SYNC {
        log::warn!("batch {seq} was stored after {} ms", took.as_millis());
    }
}

/// Waits until everything is written to a disk that was full.
fn wait_for_room(store: &mut LogStore<DataFolder>) -> Result<(), StoreError> {
    loop {
        std::thread::sleep(FULL_DISK_RETRY_INTERVAL);
        match store.resume() {
            Err(error) if error.is_temporary() => log::debug!("{error}"),
            result => return result,
        }
    }
}

fn spawn_count_writer_thread(counts: Arc<CountStore>) -> anyhow::Result<()> {
    std::thread::Builder::new().name("counts".to_owned()).spawn(move || {
        loop {
            std::thread::sleep(WRITE_INTERVAL);
            if let Err(error) = counts.write() {
                log::error!("{error:#}");
            }
        }
    })?;
    Ok(())
}
