//! Starts the entry daemon and stops it gracefully.

use crate::context::Context;
use crate::entry::Entry;
use crate::entry_admin::EntryAdmin;
use crate::entry_http::EntryHttp;
use crate::entry_streams::StreamRelay;
use crate::http_server::{self, InFlight};
use crate::process::{self, StopSignals};
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

/// Timeout for requests in flight at a graceful stop; covers the longest default deadline.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(20);

/// Time for the other entries to take over slots in transition from a stopping entry.
const HANDOVER_PERIOD: Duration = Duration::from_secs(3);

/// Timeout for a control instance to confirm the final counts.
const FINAL_COUNT_TIMEOUT: Duration = Duration::from_secs(3);

/// Interval at which a stopping entry checks whether its counts are confirmed. It also waits this long before
/// its exit, so that the transport can send queued messages.
const FINAL_COUNT_POLL: Duration = Duration::from_millis(20);

/// Number of threads of the HTTP runtime.
const HTTP_THREADS: usize = 4;

/// Runs an entry until it receives a stop signal or is superseded.
///
/// # Errors
/// The settings are invalid, or a socket can't be opened.
pub fn run(path: &Path) -> anyhow::Result<()> {
    let settings = Settings::load(path)?;
    let member = settings.local_member()?.clone();
    anyhow::ensure!(member.role == Role::Entry, "member {} is not an entry", member.name);
    logging::install(&settings.log, &member.name)?;
    let metrics = admin::install_metrics()?;
    let incarnation = Incarnation(SystemClock.wall_millis());
    let cx = Context::new(settings, member, incarnation, Arc::new(SystemClock));
    let entry = Entry::new(Arc::clone(&cx));
    let transport = process::start_transport(&cx, Arc::clone(&entry) as Arc<dyn Inbox>)?;
    let (ticking, exporting) = (Arc::clone(&entry), Arc::clone(&entry));
    let ticker = process::start_ticker(
        &cx,
        &transport,
        move || ticking.tick(),
        move || exporting.packets.export_metrics(),
    )?;
    let runtime = process::build_http_runtime(HTTP_THREADS)?;
    cx.record(EventKind::Started, &[("role", "entry".to_owned())]);
    runtime.block_on(serve(&entry, metrics))?;
    drop(ticker);
    drop(transport);
    Ok(())
}

async fn serve(entry: &Arc<Entry>, metrics: PrometheusHandle) -> anyhow::Result<()> {
    let signals = StopSignals::install()?;
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
    let caller_server = EntryHttp::new(Arc::clone(entry), in_flight.clone());
    let admin_server = EntryAdmin::new(Arc::clone(entry), metrics);
    let caller_server = tokio::spawn(http_server::serve(http, caller_server, stopped));
    let (_admin_stop, admin_stopped) = watch::channel(false);
    let admin_server = tokio::spawn(http_server::serve(admin, admin_server, admin_stopped));
    process::print_started(cx, &[("http", settings.http), ("admin", cx.member.admin)]);
    signals.wait(cx).await;
    cx.record(EventKind::Stopping, &[]);
    entry.begin_stop();
    stop.send_replace(true);
    caller_server.await?;
    let handover = tokio::time::sleep(HANDOVER_PERIOD);
    drain_requests(entry, &in_flight).await;
    handover.await;
    confirm_counts_and_leave(entry).await;
    admin_server.abort();
    Ok(())
}

/// Waits for the requests in flight; after the timeout, refuses those that still wait for a slot.
async fn drain_requests(entry: &Arc<Entry>, in_flight: &InFlight) {
    if !in_flight.wait_idle(DRAIN_TIMEOUT).await {
        log::warn!("{} requests are still in flight after {DRAIN_TIMEOUT:?}", in_flight.count());
        entry.requests.refuse_waiting();
    }
}

/// Waits until a control instance has confirmed the final counts, then leaves the membership.
async fn confirm_counts_and_leave(entry: &Arc<Entry>) {
    entry.counts.report_stop();
    let confirmed = async {
        while !entry.counts.is_confirmed() {
            tokio::time::sleep(FINAL_COUNT_POLL).await;
        }
    };
    if tokio::time::timeout(FINAL_COUNT_TIMEOUT, confirmed).await.is_err() {
        log::warn!("no control instance has confirmed the final counts");
    }
    entry.leave();
    // The transport sends queued messages while it is still running.
    tokio::time::sleep(FINAL_COUNT_POLL).await;
}
