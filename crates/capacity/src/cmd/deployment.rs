//! `comfreyhold-capacity deployment --folder FOLDER --binaries FOLDER [--controls N] [--seconds S] COUNT...`
//!
//! Starts control daemons and entries as processes, and prints the processor time, memory and traffic
//! of the leader, followers and entries when idle and with one publication every 2 s.

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

const START_LIMIT: Duration = Duration::from_secs(60);
const PAUSE: Duration = Duration::from_millis(500);
const PUBLICATION_INTERVAL: Duration = Duration::from_secs(2);

#[derive(Clone, Debug, Bpaf)]
pub struct Args {
    /// Folder for settings, data and logs
    #[bpaf(argument("FOLDER"))]
    folder: PathBuf,
    /// Folder of the daemons' programs
    #[bpaf(argument("FOLDER"))]
    binaries: PathBuf,
    /// Control daemons
    #[bpaf(argument("N"), fallback(3))]
    controls: u16,
    /// Targets, spread over one service for each 8
    #[bpaf(argument("N"), fallback(0))]
    targets: u16,
    /// Measured seconds of each load
    #[bpaf(argument("S"), fallback(10))]
    seconds: u64,
    /// Numbers of entries
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

#[derive(Clone, Debug, Default)]
struct Reading {
    cpu: Duration,
    resident_kb: u64,
    /// Messages and bytes by direction and topic.
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
    let settings = settings(args, count);
    let deployment = Deployment::start(settings, &folder, daemon_settings::render).await?;
    let found = measure_deployment(args, count, &deployment).await;
    let stopped = deployment.stop().await;
    found?;
    stopped
}

async fn measure_deployment(args: &Args, count: u16, deployment: &Deployment) -> Result<()> {
    let daemons = daemons(deployment)?;
    let (leader, mut version) = wait_ready(&daemons, usize::from(count)).await?;
    declare_services(args, leader.admin).await?;
    tokio::time::sleep(Duration::from_secs(args.seconds.min(10))).await;
    let idle = [read_all(&daemons).await?, {
        tokio::time::sleep(Duration::from_secs(args.seconds)).await;
        read_all(&daemons).await?
    }];
    report(count, "idle", &daemons, leader.instance, &idle, args.seconds as f64);
    let before = read_all(&daemons).await?;
    let started = Instant::now();
    let mut effects = Vec::new();
    while started.elapsed() < Duration::from_secs(args.seconds) {
        let due = tokio::time::Instant::now() + PUBLICATION_INTERVAL;
        version += 1;
        effects.push(publish(leader.admin, version).await?);
        tokio::time::sleep_until(due).await;
    }
    let busy = [before, read_all(&daemons).await?];
    let seconds = started.elapsed().as_secs_f64();
    report(count, "a publication every 2 s", &daemons, leader.instance, &busy, seconds);
    let waits: Vec<_> = effects.iter().map(|e| e.complete_after_ms).collect();
    let missing: usize = effects.iter().map(|e| e.waiting.len() + e.fenced.len()).sum();
    println!("  accepted to in effect, ms: {waits:?}; {missing} missing confirmations");
    Ok(())
}

fn settings(args: &Args, count: u16) -> UpSettings {
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

fn daemons(deployment: &Deployment) -> Result<Vec<Daemon>> {
    let planned = deployment.plan.daemons.iter().zip(&deployment.daemons);
    planned
        .map(|(plan, process)| {
            let pid = process.id().with_context(|| format!("{} has ended", plan.name))?;
            Ok(Daemon { pid, kind: plan.kind, instance: plan.instance, admin: plan.http })
        })
        .collect()
}

/// Publishes until all entries have a revision in effect.
async fn wait_ready(daemons: &[Daemon], entries: usize) -> Result<(&Daemon, u64)> {
    let started = Instant::now();
    let mut version = 1;
    loop {
        ensure!(started.elapsed() < START_LIMIT, "not all entries were in effect in time");
        tokio::time::sleep(PAUSE).await;
        let Some(leader) = leader(daemons).await else { continue };
        let Ok(effect) = publish(leader.admin, version).await else { continue };
        if effect.in_effect.len() == entries {
            println!("{entries} entries: all in effect {:.1?} after the start", started.elapsed());
            return Ok((leader, version));
        }
        version += 1;
    }
}

async fn leader(daemons: &[Daemon]) -> Option<&Daemon> {
    let first = daemons.first()?;
    let status: StatusReply = http::get_json(first.admin, "/v1/status").await.ok()?;
    daemons.iter().find(|daemon| Some(daemon.instance) == status.leader)
}

async fn publish(leader: SocketAddr, version: u64) -> Result<EffectReport> {
    let deadline = 1_000 + version;
    let text =
        format!("kind: profile\nname: orders\nversion: {version}\ndeadline_ms: {deadline}\n");
    let body =
        http::call(Method::POST, leader, "/v1/declarations?operator=ana", text.into()).await?;
    let reply: ApplyReply = serde_json::from_slice(&body)?;
    let effect = reply.results.into_iter().find_map(|result| result.effect);
    effect.context("the publication was not accepted")
}

async fn declare_services(args: &Args, leader: SocketAddr) -> Result<()> {
    for number in 0..args.targets.div_ceil(8) {
        let address = service_address(number);
        let text = format!(
            "kind: service\nversion: 1\nname: service-{number}\naddress: {address}\nprofile: orders\n"
        );
        http::call(Method::POST, leader, "/v1/declarations?operator=ana", text.into()).await?;
    }
    Ok(())
}

async fn read_all(daemons: &[Daemon]) -> Result<Vec<Reading>> {
    let mut readings = Vec::new();
    for daemon in daemons {
        let cpu = procfs::process_cpu(daemon.pid)?;
        let resident_kb = procfs::resident_kb(daemon.pid)?;
        let text = http::call(Method::GET, daemon.admin, "/metrics", Vec::new()).await?;
        let traffic = traffic(&String::from_utf8_lossy(&text));
        readings.push(Reading { cpu, resident_kb, traffic });
    }
    Ok(readings)
}

fn traffic(text: &str) -> BTreeMap<String, f64> {
    let lines = text.lines().filter(|line| line.starts_with("comfreyhold_peer_"));
    let parsed = lines.filter_map(|line| {
        let (name, value) = line.rsplit_once(' ')?;
        Some((name.to_owned(), value.parse().ok()?))
    });
    parsed.collect()
}

fn report(
    count: u16,
    load: &str,
    daemons: &[Daemon],
    leader: InstanceId,
    readings: &[Vec<Reading>; 2],
    seconds: f64,
) {
    println!("{count} entries, {load}");
    for role in ["leader", "follower", "entry"] {
        let chosen = daemons.iter().enumerate().filter(|(_, d)| role_of(d, leader) == role);
        let pairs: Vec<_> =
            chosen.map(|(index, _)| (&readings[0][index], &readings[1][index])).collect();
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

fn print_role(role: &str, pairs: &[(&Reading, &Reading)], seconds: f64) {
    let share = pairs.len() as f64 * seconds;
    let cpu: f64 = pairs.iter().map(|(a, b)| (b.cpu - a.cpu).as_secs_f64()).sum();
    let resident: u64 = pairs.iter().map(|(_, b)| b.resident_kb).sum();
    let largest = pairs.iter().map(|(_, b)| b.resident_kb).max().unwrap_or(0);
    let mut topics: BTreeMap<&str, f64> = BTreeMap::new();
    for (before, after) in pairs {
        for (name, value) in &after.traffic {
            let grown = value - before.traffic.get(name).copied().unwrap_or(0.0);
            *topics.entry(name).or_default() += grown / share;
        }
    }
    let total = |kind: &str| -> f64 {
        topics.iter().filter(|(name, _)| name.contains(kind)).map(|(_, value)| value).sum()
    };
    println!(
        "  {role:<8} cpu {:>5.2}% memory {:>6.1} MB (largest {:.1}) {:>7.1} msg/s {:>8.0} B/s",
        cpu * 100.0 / share,
        resident as f64 / 1_024.0 / pairs.len() as f64,
        largest as f64 / 1_024.0,
        total("messages_total"),
        total("bytes_total"),
    );
    let bytes = topics.iter().filter(|(name, value)| name.contains("bytes") && **value >= 1.0);
    let parts: Vec<_> = bytes.map(|(name, value)| format!("{} {value:.0}", short(name))).collect();
    println!("    B/s: {}", parts.join(", "));
}

/// `comfreyhold_peer_bytes_total{topic="x",direction="sent"}` as `x sent`.
fn short(name: &str) -> String {
    name.split('"').skip(1).step_by(2).collect::<Vec<_>>().join(" ")
}
