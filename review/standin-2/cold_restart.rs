//! A backend is replaced, and while the new one is cold all control daemons are killed at the same moment and start
//! again. They restore the new backend from their files as a warm one.

use crate::backend::{Backend, Identity};
use crate::client::Clients;
use crate::cluster::{Cluster, PACKET_PORT, Role, Shape};
use crate::operator::{Outcome, config, put_config};
use crate::record::Record;
use crate::{CaseResult, Verdict};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

const ZONES: [&str; 2] = ["za", "zb"];
const BACKENDS_PER_ZONE: u8 = 3;
const REQUESTS_PER_S: f64 = 60.0;
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Cold period of a backend, and the requests that it then bears in a second.
const WARMUP_S: f64 = 6.0;
const WARMUP_PER_S: f64 = 1.0;

/// `warmupOvershoot` and `warmupSlack` of the settings.
const OVERSHOOT: f64 = 1.5;
const SLACK: f64 = 5.0;

/// Time from the end of the killed processes to their start.
const DOWN: Duration = Duration::from_millis(200);

pub fn run(record: &Record, with_trouble: bool) -> CaseResult {
    let heartbeat_ms = HEARTBEAT.as_millis() as u64;
    let shape = Shape { zones: ZONES.to_vec(), heartbeat_ms, ..Shape::default() };
    let cluster = Cluster::start(&shape).map_err(|error| error.to_string())?;
    let controls = cluster.controls();
    let body = config(1, 8, 3_000, (WARMUP_S, WARMUP_PER_S));
    let limit = Duration::from_secs(10);
    if put_config(&controls, body.as_bytes(), 0, limit, record) != Outcome::Acknowledged {
        return Err("the first configuration was not accepted".to_owned());
    }
    let start = |id: u32, zone: &str, cold: Duration| {
        let ip = Ipv4Addr::new(127, cluster.block, 3, id as u8);
        let identity = Identity { id, ip, zone: zone.to_owned(), cold };
        Backend::start(identity, controls.clone(), HEARTBEAT).map_err(|error| error.to_string())
    };
    let mut backends = Vec::new();
    for (zone, id) in ZONES.iter().flat_map(|zone| (0..BACKENDS_PER_ZONE).map(move |n| (zone, n))) {
        let first = if *zone == ZONES[0] { 1 } else { 1 + BACKENDS_PER_ZONE };
        backends.push(start(u32::from(first + id), zone, Duration::ZERO)?);
    }
    if !cluster.wait_ready(Duration::from_secs(5)) {
        return Err("the entries did not get ready".to_owned());
    }
    let mut clients = Vec::new();
    for index in cluster.with_role(Role::Entry) {
        let machine = &cluster.machines[index];
        let ip = Ipv4Addr::new(127, cluster.block, 4, 1 + clients.len() as u8);
        let entry = SocketAddr::from((machine.ip, PACKET_PORT));
        let started = Clients::start(ip, entry, REQUESTS_PER_S);
        clients.push(started.map_err(|error| error.to_string())?);
        record.note(&format!("clients at {ip} send to {} at {entry}", machine.name));
    }
    std::thread::sleep(Duration::from_secs(3));

    let new = start(50, ZONES[0], Duration::from_secs_f64(WARMUP_S))?;
    backends[0].drain();
    record.say("release: backend 50 starts in za, cold for 6 s; backend 1 drains");
    while new.beats() < 2 {
        if new.started.elapsed() > Duration::from_secs(4) {
            return Err("the new backend's heartbeats were not acknowledged".to_owned());
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    std::thread::sleep(Duration::from_millis(50));
    if with_trouble {
        restart_controls(&cluster, record).map_err(|error| error.to_string())?;
    }
    let cold_until = new.started + Duration::from_secs_f64(WARMUP_S);
    std::thread::sleep(cold_until.saturating_duration_since(Instant::now()));
    std::thread::sleep(Duration::from_millis(500));
    for zone in &clients {
        record.say(&format!("requests of a zone: {:?}", zone.counts()));
    }
    for backend in backends.iter().chain([&new]) {
        let (served, shed) = backend.counts();
        let Identity { id, zone, .. } = &backend.identity;
        record.note(&format!("backend {id} in {zone}: {served} run, {shed} shed"));
    }
    if !cluster.all_run() {
        return Err("a process has ended by itself".to_owned());
    }
    Ok(judge(&new, &clients, cold_until, record))
}

/// Kills all control daemons at the same moment, and starts them again.
fn restart_controls(cluster: &Cluster, record: &Record) -> std::io::Result<()> {
    let controls = cluster.with_role(Role::Control);
    record.say("all control daemons are killed");
    controls.iter().for_each(|index| cluster.kill(*index));
    std::thread::sleep(DOWN);
    for index in &controls {
        cluster.start_process(*index, false)?;
    }
    record.say("all control daemons start again");
    Ok(())
}

/// Counts the openings that the cold backend took, for each second that ends with one of them: those that were sent and
/// arrived in it.
fn judge(new: &Backend, clients: &[Clients], cold_until: Instant, record: &Record) -> Verdict {
    let openings: Vec<(Instant, Instant)> = new
        .openings()
        .into_iter()
        .filter(|opening| opening.at < cold_until)
        .filter_map(|opening| {
            let sent = clients.iter().find_map(|zone| zone.sent_at(opening.client))?;
            Some((sent, opening.at))
        })
        .collect();
    let mut most = 0;
    for (_, end) in &openings {
        let begin = *end - Duration::from_secs(1);
        let is_inside =
            |(sent, at): &&(Instant, Instant)| *sent > begin && *at > begin && at <= end;
        most = most.max(openings.iter().filter(is_inside).count());
    }
    for (_, at) in &openings {
        let after = at.saturating_duration_since(new.started).as_secs_f64();
        record.note(&format!("cold backend 50 takes an opening {after:.3} s after its start"));
    }
    let bound = WARMUP_PER_S * OVERSHOOT + SLACK;
    record.say(&format!(
        "cold backend 50: {} openings while cold, at most {most} in one second; the bound is {bound}",
        openings.len()
    ));
    if most as f64 > bound { Verdict::Broken } else { Verdict::Held }
}
