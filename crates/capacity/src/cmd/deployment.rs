//! `comfreyhold-capacity deployment --folder FOLDER --binaries FOLDER [--controls N] [--seconds S] COUNT...`
//!
//! Starts control daemons and entries as processes, and prints the processor time, memory and network
//! traffic of the leader, the followers and the entries, idle and with one publication every 2 s.

use crate::procfs;
use anyhow::{Context as _, Result, ensure};
use bpaf::Bpaf;
use comfreyhold_lab::daemon_settings;
use comfreyhold_lab::http;
use comfreyhold_lab::up::{DaemonKind, Deployment, UpService, UpSettings};
use comfreyhold_types::api::{ApplyReply, EffectReport, StatusReply};
use comfreyhold_types::prelude::*;
use hyper::Method;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Longest time until all entries have a revision in effect.
const START_TIMEOUT: Duration = Duration::from_secs(60);
/// Pause before each attempt to publish to a starting deployment.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
const PUBLICATION_INTERVAL: Duration = Duration::from_secs(2);

#[derive(Clone, Debug, Bpaf)]
pub struct Args {
    /// Folder for settings, data and logs
    #[bpaf(argument("FOLDER"))]
    folder: PathBuf,
    /// Folder with the binaries of the daemons
    #[bpaf(argument("FOLDER"))]
    binaries: PathBuf,
    /// Number of control daemons
    #[bpaf(argument("N"), fallback(3))]
    controls: u16,
    /// Number of targets; there is one service for every 8 of them
    #[bpaf(argument("N"), fallback(0))]
    targets: u16,
    /// Seconds to measure, idle and under load each
    #[bpaf(argument("S"), fallback(10))]
    seconds: u64,
    /// Numbers of entries to measure; 5, 20 and 50 where none is given
    #[bpaf(positional("COUNT"))]
    counts: Vec<u16>,
}

pub fn run(args: &Args) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let counts = if args.counts.is_empty() { &[5, 20, 50][..] } else { &args.counts };
    for count in counts {
        runtime.block_on(measure(args, *count))?;
    }
    Ok(())
}

/// What a daemon has used since its start, except for the memory, which is the current one.
#[derive(Clone, Debug, Default)]
struct DaemonUsage {
    cpu: Duration,
    resident_kb: u64,
    /// Message and byte counters, by the metric's name with its labels (topic and direction).
    traffic: BTreeMap<String, f64>,
}

struct Daemon {
    pid: u32,
    kind: DaemonKind,
    instance: InstanceId,
    admin: SocketAddr,
}

async fn measure(args: &Args, count: u16) -> Result<()> {
    let folder = args.folder.join(format!("{count}-{}", std::process::id()));
    let settings = deployment_settings(args, count);
    let deployment = Deployment::start(settings, &folder, daemon_settings::render).await?;
    let measured = measure_deployment(args, count, &deployment).await;
    let stopped = deployment.stop().await;
    measured?;
    stopped
}

async fn measure_deployment(args: &Args, count: u16, deployment: &Deployment) -> Result<()> {
    let daemons = list_daemons(deployment)?;
    let (leader, mut version) = wait_until_in_effect(&daemons, usize::from(count)).await?;
    declare_services(args, leader.admin).await?;
    tokio::time::sleep(Duration::from_secs(args.seconds.min(10))).await;
    let idle = [read_usage(&daemons).await?, {
        tokio::time::sleep(Duration::from_secs(args.seconds)).await;
        read_usage(&daemons).await?
    }];
    print_usage(count, "idle", &daemons, leader.instance, &idle, args.seconds as f64);
    let before = read_usage(&daemons).await?;
    let started = Instant::now();
    let mut effects = Vec::new();
    while started.elapsed() < Duration::from_secs(args.seconds) {
        let due = tokio::time::Instant::now() + PUBLICATION_INTERVAL;
        version += 1;
        effects.push(publish_profile(leader.admin, version).await?);
        tokio::time::sleep_until(due).await;
    }
    let under_load = [before, read_usage(&daemons).await?];
    let seconds = started.elapsed().as_secs_f64();
    print_usage(count, "a publication every 2 s", &daemons, leader.instance, &under_load, seconds);
    let delays_ms: Vec<_> = effects.iter().map(|e| e.complete_after_ms).collect();
    let missing: usize = effects.iter().map(|e| e.waiting.len() + e.fenced.len()).sum();
    println!("  accepted to in effect, ms: {delays_ms:?}; {missing} missing confirmations");
    Ok(())
}

fn deployment_settings(args: &Args, count: u16) -> UpSettings {
    let services = (0..args.targets.div_ceil(8)).map(|number| UpService {
        name: format!("service-{number}"),
        address: service_address(number),
        targets: 8.min(args.targets - number * 8),
        slots: 2,
        service_time: "constant:1".to_owned(),
    });
    UpSettings {
        entry_binary: args.binaries.join("comfreyhold-entry"),
        control_binary: args.binaries.join("comfreyhold-control"),
        domains: 11.min(count),
        entries: count,
        controls: args.controls,
        services: services.collect(),
        seed: 1,
        path: Default::default(),
    }
}

fn service_address(number: u16) -> SocketAddrV4 {
    let [high, low] = number.to_be_bytes();
    SocketAddrV4::new(Ipv4Addr::new(10, 200, high, low), 443)
}

fn list_daemons(deployment: &Deployment) -> Result<Vec<Daemon>> {
    let started = deployment.plan.daemons.iter().zip(&deployment.daemons);
    started
        .map(|(plan, process)| {
            let pid = process.id().with_context(|| format!("{} has exited", plan.name))?;
            Ok(Daemon { pid, kind: plan.kind, instance: plan.instance, admin: plan.http })
        })
        .collect()
}

/// Publishes versions until one is in effect on all entries. Returns the leader and that version.
async fn wait_until_in_effect(daemons: &[Daemon], entries: usize) -> Result<(&Daemon, u64)> {
    let started = Instant::now();
    let mut version = 1;
    loop {
        ensure!(
            started.elapsed() < START_TIMEOUT,
            "not all entries had a revision in effect in time"
        );
        tokio::time::sleep(RETRY_INTERVAL).await;
        let Some(leader) = find_leader(daemons).await else { continue };
        let Ok(effect) = publish_profile(leader.admin, version).await else { continue };
        if effect.in_effect.len() == entries {
            println!("{entries} entries: all in effect {:.1?} after the start", started.elapsed());
            return Ok((leader, version));
        }
        version += 1;
    }
}

async fn find_leader(daemons: &[Daemon]) -> Option<&Daemon> {
    let any = daemons.first()?;
    let status: StatusReply = http::get_json(any.admin, "/v1/status").await.ok()?;
    daemons.iter().find(|daemon| Some(daemon.instance) == status.leader)
}

async fn publish_profile(leader: SocketAddr, version: u64) -> Result<EffectReport> {
    let deadline = 1_000 + version;
    let document =
        format!("kind: profile\nname: orders\nversion: {version}\ndeadline_ms: {deadline}\n");
    let body =
        http::call(Method::POST, leader, "/v1/declarations?operator=ana", document.into()).await?;
    let reply: ApplyReply = serde_json::from_slice(&body)?;
    let effect = reply.results.into_iter().find_map(|result| result.effect);
    effect.context("the leader did not accept the publication")
}

async fn declare_services(args: &Args, leader: SocketAddr) -> Result<()> {
    for number in 0..args.targets.div_ceil(8) {
        let address = service_address(number);
        let document = format!(
            "kind: service\nversion: 1\nname: service-{number}\naddress: {address}\nprofile: orders\n"
        );
        http::call(Method::POST, leader, "/v1/declarations?operator=ana", document.into()).await?;
    }
    Ok(())
}

async fn read_usage(daemons: &[Daemon]) -> Result<Vec<DaemonUsage>> {
    let mut readings = Vec::new();
    for daemon in daemons {
        let cpu = procfs::process_cpu(daemon.pid)?;
        let resident_kb = procfs::resident_kb(daemon.pid)?;
        let metrics = http::call(Method::GET, daemon.admin, "/metrics", Vec::new()).await?;
        let traffic = parse_traffic(&String::from_utf8_lossy(&metrics));
        readings.push(DaemonUsage { cpu, resident_kb, traffic });
    }
    Ok(readings)
}

fn parse_traffic(metrics: &str) -> BTreeMap<String, f64> {
    let lines = metrics.lines().filter(|line| line.starts_with("comfreyhold_peer_"));
    let parsed = lines.filter_map(|line| {
        let (name, value) = line.rsplit_once(' ')?;
        Some((name.to_owned(), value.parse().ok()?))
    });
    parsed.collect()
}

fn print_usage(
    entries: u16,
    load: &str,
    daemons: &[Daemon],
    leader: InstanceId,
    readings: &[Vec<DaemonUsage>; 2],
    seconds: f64,
) {
    println!("{entries} entries, {load}");
    for role in ["leader", "follower", "entry"] {
        let in_role = daemons.iter().enumerate().filter(|(_, d)| role_of(d, leader) == role);
        let pairs: Vec<_> =
            in_role.map(|(index, _)| (&readings[0][index], &readings[1][index])).collect();
        if !pairs.is_empty() {
            print_role(role, &pairs, seconds);
        }
    }
}

fn role_of(daemon: &Daemon, leader: InstanceId) -> &'static str {
    match daemon.kind {
        DaemonKind::Entry => "entry",
        DaemonKind::Control if daemon.instance == leader => "leader",
        DaemonKind::Control => "follower",
    }
}

fn print_role(role: &str, pairs: &[(&DaemonUsage, &DaemonUsage)], seconds: f64) {
    let daemon_seconds = pairs.len() as f64 * seconds;
    let cpu_s: f64 = pairs.iter().map(|(a, b)| (b.cpu - a.cpu).as_secs_f64()).sum();
    let resident_kb: u64 = pairs.iter().map(|(_, b)| b.resident_kb).sum();
    let largest_kb = pairs.iter().map(|(_, b)| b.resident_kb).max().unwrap_or(0);
    let mut rates: BTreeMap<&str, f64> = BTreeMap::new();
    for (before, after) in pairs {
        for (name, value) in &after.traffic {
            let increase = value - before.traffic.get(name).copied().unwrap_or(0.0);
            *rates.entry(name).or_default() += increase / daemon_seconds;
        }
    }
    let total_rate = |metric: &str| -> f64 {
        rates.iter().filter(|(name, _)| name.contains(metric)).map(|(_, value)| value).sum()
    };
    println!(
        "  {role:<8} cpu {:>5.2}% memory {:>6.1} MB (largest {:.1}) {:>7.1} msg/s {:>8.0} B/s",
        cpu_s * 100.0 / daemon_seconds,
        resident_kb as f64 / 1_024.0 / pairs.len() as f64,
        largest_kb as f64 / 1_024.0,
        total_rate("messages_total"),
        total_rate("bytes_total"),
    );
    let bytes = rates.iter().filter(|(name, value)| name.contains("bytes") && **value >= 1.0);
    let parts: Vec<_> =
        bytes.map(|(name, value)| format!("{} {value:.0}", topic_and_direction(name))).collect();
    println!("    B/s: {}", parts.join(", "));
}

/// Shortens `comfreyhold_peer_bytes_total{topic="x",direction="sent"}` to `x sent`.
fn topic_and_direction(name: &str) -> String {
    name.split('"').skip(1).step_by(2).collect::<Vec<_>>().join(" ")
}
