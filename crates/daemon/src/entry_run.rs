//! Start and graceful stop of the entry daemon.

use crate::context::Context;
use crate::entry::Entry;
use crate::entry_admin::EntryAdmin;
use crate::entry_http::EntryHttp;
use crate::entry_streams::StreamRelay;
use crate::http_server::{self, InFlight};
use crate::process;
use crate::settings::{Role, Settings};
use crate::{admin, logging};
use anyhow::Context as _;
use comfreyhold_types::clock::{Clock, SystemClock};
use comfreyhold_types::prelude::*;
use comfreyhold_wire::transport::Inbox;
use metrics_exporter_prometheus::PrometheusHandle;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// Longest wait for requests in flight at a graceful stop; covers the longest default deadline.
const DRAIN_LIMIT: Duration = Duration::from_secs(20);

/// Time in which the other entries take over slots in transition from a stopping one.
const HANDOVER: Duration = Duration::from_secs(3);

/// Longest wait for the control instances to confirm the final counts.
const FINAL_COUNT_LIMIT: Duration = Duration::from_secs(3);

/// Interval at which a stopping entry looks whether its counts are confirmed.
const FINAL_COUNT_POLL: Duration = Duration::from_millis(20);

/// Threads of the HTTP runtime.
const HTTP_THREADS: usize = 4;

/// Runs an entry until it is told to stop.
///
/// # Errors
/// The settings or a socket can't be used.
pub fn run(path: &Path) -> anyhow::Result<()> {
    let settings = Settings::load(path)?;
    let member = settings.own()?.clone();
    anyhow::ensure!(member.role == Role::Entry, "{} is no entry", member.name);
    logging::install(&settings.log, &member.name)?;
    let metrics = admin::install_metrics()?;
    let start = Incarnation(SystemClock.wall_millis());
    let cx = Context::new(settings, member, start, Arc::new(SystemClock));
    let entry = Entry::new(Arc::clone(&cx));
    let transport = process::start_transport(&cx, Arc::clone(&entry) as Arc<dyn Inbox>)?;
    let (ticking, exporting) = (Arc::clone(&entry), Arc::clone(&entry));
    let ticker = process::start_ticker(
        &cx,
        &transport,
        move || ticking.tick(),
        move || exporting.packets.export(),
    )?;
    let runtime = process::http_runtime(HTTP_THREADS)?;
    cx.record(EventKind::Started, &[("role", "entry".to_owned())]);
    runtime.block_on(serve(&entry, metrics))?;
    drop(ticker);
    drop(transport);
    Ok(())
}

async fn serve(entry: &Arc<Entry>, metrics: PrometheusHandle) -> anyhow::Result<()> {
    let cx = &entry.cx;
    let settings = cx.settings.entry.as_ref().context("the entry section is missing")?;
    let http = process::into_tokio(process::bind(settings.http)?)?;
    let admin = process::into_tokio(process::bind(cx.member.admin)?)?;
    let in_flight = InFlight::default();
    let packets = &entry.packets;
    packets
        .start(settings.packets, settings.packet_threads)
        .with_context(|| format!("can't receive packets on {}", settings.packets))?;
    let (stop, stopped) = watch::channel(false);
    for cfg in &settings.streams {
        StreamRelay::start(Arc::clone(entry), cfg, stopped.clone()).await?;
    }
    let callers = EntryHttp::new(Arc::clone(entry), in_flight.clone());
    let operators = EntryAdmin::new(Arc::clone(entry), metrics);
    let callers = tokio::spawn(http_server::serve(http, callers, stopped));
    let (_admin_stop, admin_stopped) = watch::channel(false);
    let operators = tokio::spawn(http_server::serve(admin, operators, admin_stopped));
    process::print_started(cx, &[("http", settings.http), ("admin", cx.member.admin)]);
    process::stop_signal(cx).await?;
    cx.record(EventKind::Stopping, &[]);
    entry.begin_stop();
    stop.send_replace(true);
    callers.await?;
    let handed_over = tokio::time::sleep(HANDOVER);
    drain(entry, &in_flight).await;
    handed_over.await;
    finish(entry).await;
    operators.abort();
    Ok(())
}

/// Waits for the requests in flight.
async fn drain(entry: &Arc<Entry>, in_flight: &InFlight) {
    if !in_flight.wait_idle(DRAIN_LIMIT).await {
        log::warn!("{} requests are still in flight", in_flight.count());
        entry.requests.stop_waiting();
    }
}

/// Sends the final counts and leaves.
async fn finish(entry: &Arc<Entry>) {
    entry.counts.stop();
    let confirmed = async {
        while !entry.counts.is_confirmed() {
            tokio::time::sleep(FINAL_COUNT_POLL).await;
        }
    };
    if tokio::time::timeout(FINAL_COUNT_LIMIT, confirmed).await.is_err() {
        log::warn!("no control instance has confirmed the final counts");
    }
    entry.leave();
    // The transport sends queued messages while it is still running.
    tokio::time::sleep(FINAL_COUNT_POLL).await;
}
