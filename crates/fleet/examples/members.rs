//! Runs control daemons and entries in one process over the loopback: first their common start with full data
//! folders, then a time at rest. Prints when each stage of the start was over, and the messages of each kind.
//!
//! `cargo run --release -p comfreyhold-fleet --example members -- CONTROLS [TARGETS] [SECONDS]`: three entries for each
//! control daemon, ten targets for each process unless stated, five seconds at rest. All members share one thread, so
//! that times are those of a machine with a single core for all of them.

use anyhow::Context;
use comfreyhold_fleet::control::{Control, ControlHandle};
use comfreyhold_fleet::entry::{Entry, PacketCodec, PacketError};
use comfreyhold_fleet::settings::FleetSettings;
use comfreyhold_flow::cookie::{CallerPacket, Cookie};
use comfreyhold_types::announcement::{Announcement, AnnouncementStamp, Availability};
use comfreyhold_types::clock::SystemClock;
use comfreyhold_types::keys::{DomainName, TargetId};
use comfreyhold_types::routes::{
    Destination, RequestClass, Route, RouteList, RoutePublication, RoutedService, StateChange,
};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use rand::RngExt;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::LocalSet;

const ENTRIES_PER_CONTROL: usize = 3;
const DOMAINS: usize = 4;
const SEEDS: usize = 3;
const ROUTES: u8 = 200;
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);
const START_TIMEOUT: Duration = Duration::from_secs(120);

/// An entry that gets no packets.
struct NoPackets;

impl PacketCodec for NoPackets {
    fn decode(&self, _: &[u8]) -> Result<CallerPacket, PacketError> {
        Err(PacketError::WrongLength)
    }

    fn encode_forward(&self, _: &[u8], _: TargetId, _: Cookie, _: &mut Vec<u8>) {}

    fn encode_reset(&self, packet: &CallerPacket, _: &mut Vec<u8>) -> SocketAddrV4 {
        packet.flow.caller
    }
}

fn ip(member: usize) -> anyhow::Result<Ipv4Addr> {
    let [.., process] = std::process::id().to_be_bytes();
    let [high, low] = u16::try_from(member + 1)?.to_be_bytes();
    Ok(Ipv4Addr::new(127, process | 1, high, low))
}

fn settings(member: usize, folder: &Path, first_start: bool) -> anyhow::Result<FleetSettings> {
    let seeds: Vec<String> = (0..SEEDS)
        .map(|seed| Ok(format!("\"{}:80\"", ip(seed)?)))
        .collect::<anyhow::Result<_>>()?;
    let (ip, domain, seeds) = (ip(member)?, member % DOMAINS, seeds.join(", "));
    let folder = folder.join(member.to_string());
    std::fs::create_dir_all(&folder)?;
    FleetSettings::parse(&format!(
        "instance: m{member}\ndomain: d{domain}\nip: {ip}\nexchange_port: 7902\nseeds: [{seeds}]\n\
         first_start: {first_start}\nannounce_interval_ms: {}\ntolerate: {{instances: 1}}\n\
         bounds: {{stop_s: 6}}\ndata_folder: {folder:?}\nlisten: {{packets: \"{ip}:7913\"}}",
        ANNOUNCE_INTERVAL.as_millis(),
    ))
}

fn publication() -> anyhow::Result<RoutePublication> {
    let route = |host: u8| Route {
        name: format!("route-{host}"),
        address: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, host), 443),
        class: RequestClass::Idempotent,
        timeout_ms: 1_000,
        objective_ms: 100,
        priority: 0,
        destinations: vec![Destination { service: "orders".to_owned(), weight: 1 }],
    };
    let list = RouteList {
        version: 1,
        routes: (1..=ROUTES).map(route).collect(),
        services: vec![RoutedService {
            name: "orders".to_owned(),
            max_flows: 10,
            cold_requests_per_1000_s: 0,
        }],
        idle_timeout_ms: 15_000,
    };
    let table = Arc::new(list.into_checked()?);
    Ok(RoutePublication { document: Arc::new(vec![0; 1_000]), table })
}

fn announcement(target: usize, sequence: u64) -> anyhow::Result<Announcement> {
    let number = u16::try_from(target)?;
    let [high, low] = number.to_be_bytes();
    Ok(Announcement {
        id: TargetId(u64::from(number) + 1),
        stamp: AnnouncementStamp { born_ms: 1, sequence },
        service: "orders".to_owned(),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 0, high, low), 80),
        domain: DomainName::from(format!("d{}", target % DOMAINS).as_str()),
        slots: 2,
        availability: Availability::Serving,
        cold_ms: 0,
    })
}

/// Announces the targets in turn, each once in an interval however busy the thread is, to daemons chosen at random.
async fn announce(handles: Vec<ControlHandle>, targets: usize) -> anyhow::Result<()> {
    let (started, mut announced) = (Instant::now(), 0);
    loop {
        let intervals = started.elapsed().as_secs_f64() / ANNOUNCE_INTERVAL.as_secs_f64();
        let due = (intervals * targets as f64) as usize;
        for number in announced..due {
            let handle = handles[rand::rng().random_range(0..handles.len())].clone();
            let announcement = announcement(number % targets, (number / targets) as u64 + 1)?;
            tokio::task::spawn_local(async move { handle.announce(announcement).await });
        }
        announced = due;
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// The metrics of all members, by series.
fn series(metrics: &PrometheusHandle, prefix: &str) -> BTreeMap<String, f64> {
    let text = metrics.render();
    let lines = text.lines().filter_map(|line| line.strip_prefix(prefix)?.rsplit_once(' '));
    lines.filter_map(|(series, value)| Some((series.to_owned(), value.parse().ok()?))).collect()
}

fn print_growth(metrics: &PrometheusHandle, before: &BTreeMap<String, f64>, per: f64) {
    for (name, value) in series(metrics, "fleet_message") {
        let growth = value - before.get(&name).copied().unwrap_or_default();
        if growth > 0.0 {
            println!("  fleet_message{name} {:.6}", growth / per);
        }
    }
}

/// Has the seeds store a publication, each in its data folder.
async fn first_start(folder: &Path) -> anyhow::Result<()> {
    let mut handles = Vec::new();
    for member in 0..SEEDS {
        let settings = settings(member, folder, true)?;
        handles.push(Control::start(settings, Arc::new(SystemClock)).await?.1);
    }
    let publish = async {
        while handles[0].change_declarations(StateChange::Publish(publication()?)).await.is_err() {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        anyhow::Ok(())
    };
    tokio::time::timeout(START_TIMEOUT, publish).await.context("no publication")?
}

/// Copies the data folders of the seeds. Those of the first start stay locked until the process ends.
fn copy_folders(from: &Path, to: &Path) -> anyhow::Result<()> {
    for member in 0..SEEDS {
        let (from, to) = (from.join(member.to_string()), to.join(member.to_string()));
        std::fs::create_dir_all(&to)?;
        for file in std::fs::read_dir(from)? {
            let file = file?;
            std::fs::copy(file.path(), to.join(file.file_name()))?;
        }
    }
    Ok(())
}

/// Starts all members together, and prints the stages of the start and the messages at rest.
async fn common_start(
    folder: &Path,
    controls: usize,
    targets: usize,
    rest: Duration,
    metrics: &PrometheusHandle,
) -> anyhow::Result<()> {
    let before = series(metrics, "fleet_message");
    let started = Instant::now();
    let (mut daemons, mut entries) = (Vec::new(), Vec::new());
    for member in 0..controls * (1 + ENTRIES_PER_CONTROL) {
        let settings = settings(member, folder, false)?;
        if member < controls {
            daemons.push(Control::start(settings, Arc::new(SystemClock)).await?);
        } else {
            entries.push(Entry::start(&settings, NoPackets, Arc::new(SystemClock))?);
        }
    }
    println!("{controls} control daemons, {} entries, {targets} targets", entries.len());
    println!("processes started after {:?}", started.elapsed());
    let handles: Vec<ControlHandle> = daemons.iter().map(|(_, handle)| handle.clone()).collect();
    tokio::task::spawn_local(announce(handles, targets));
    let is_ready = |entry: &Rc<Entry<NoPackets>>| entry.readiness().is_ready();
    let mut last_count = 0;
    while last_count < entries.len() && started.elapsed() < START_TIMEOUT {
        tokio::time::sleep(Duration::from_millis(20)).await;
        let count = entries.iter().filter(|entry| is_ready(entry)).count();
        let quarter = |count: usize| count * 4 / entries.len();
        if quarter(count) > quarter(last_count) {
            println!("{count} entries serve after {:?}", started.elapsed());
        }
        last_count = count;
    }
    println!("at the start, all members together:");
    print_growth(metrics, &before, 1.0);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let before = series(metrics, "fleet_message");
    let at_rest = Instant::now();
    tokio::time::sleep(rest).await;
    println!("at rest, per control daemon and second, entries included:");
    print_growth(metrics, &before, at_rest.elapsed().as_secs_f64() * controls as f64);
    Ok(())
}

fn main() -> anyhow::Result<()> {
    let argument = |index: usize| std::env::args().nth(index).map(|text| text.parse::<usize>());
    let controls = argument(1).context("the number of control daemons is missing")??;
    let targets = argument(2).transpose()?.unwrap_or(controls * (1 + ENTRIES_PER_CONTROL) * 10);
    let rest = Duration::from_secs(argument(3).transpose()?.unwrap_or(5) as u64);
    let metrics = PrometheusBuilder::new().install_recorder()?;
    let folder = tempfile::tempdir()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let first = folder.path().join("first");
    LocalSet::new().block_on(&runtime, first_start(&first))?;
    copy_folders(&first, folder.path())?;
    let start = common_start(folder.path(), controls, targets, rest, &metrics);
    LocalSet::new().block_on(&runtime, start)
}
