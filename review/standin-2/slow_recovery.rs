//! The configuration has grown by many routes, three times, and all processes are killed at the same moment. A starting entry needs
//! longer for the whole configuration than it waits for a response, so that it never gets it.

use crate::backend::{Backend, Identity};
use crate::client::{Clients, Counts};
use crate::cluster::{Cluster, EXCHANGE_PORT, PACKET_PORT, Role, Shape};
use crate::operator::{Outcome, config, put_config};
use crate::record::Record;
use crate::slow_link::SlowLinks;
use crate::{CaseResult, Verdict};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

const ZONES: [&str; 2] = ["za", "zb"];
const BACKENDS_PER_ZONE: u8 = 3;
const REQUESTS_PER_S: f64 = 20.0;

/// Link of an entry, in each direction.
const ENTRY_MBPS: f64 = 1.5;

/// Routes of the first configuration that see no traffic, and those that one growth adds.
const FIRST_ROUTES: u32 = 240;
const GROWTH: u32 = 1_400;
const STEPS: u64 = 3;

/// Time between two changes of the configuration.
const STEP_INTERVAL: Duration = Duration::from_secs(4);

/// Time for which all processes are down, and `recoverS`.
const DOWN: Duration = Duration::from_secs(1);
const RECOVER: Duration = Duration::from_secs(15);

/// Time for which requests are counted, before the fault and from `recoverS` after it.
const COUNTED: Duration = Duration::from_secs(8);

pub fn run(record: &Record, with_trouble: bool) -> CaseResult {
    let entry_mbps = ENTRY_MBPS;
    let shape = Shape { zones: ZONES.to_vec(), entry_mbps, has_proxies: true, ..Shape::default() };
    let cluster = Cluster::new(&shape).map_err(|error| error.to_string())?;
    let links = SlowLinks::new(ENTRY_MBPS, cluster.process_ids(cluster.with_role(Role::Entry)));
    for index in cluster.with_role(Role::Control) {
        let machine = &cluster.machines[index];
        let listen = SocketAddr::from((machine.ip, EXCHANGE_PORT));
        let forward = links.forward(listen, cluster.bound_exchange(machine));
        forward.map_err(|error| error.to_string())?;
    }
    cluster.start_all(true).map_err(|error| error.to_string())?;
    let controls = cluster.controls();
    publish(1, FIRST_ROUTES, &controls, record)?;
    let _backends = start_backends(&cluster)?;
    if !cluster.wait_ready(Duration::from_secs(5)) {
        return Err("the entries did not get ready".to_owned());
    }
    let clients = start_clients(&cluster, record)?;
    for step in 1..=STEPS {
        publish(1 + step, FIRST_ROUTES + GROWTH * step as u32, &controls, record)?;
        std::thread::sleep(STEP_INTERVAL);
    }
    let before = count(&clients, COUNTED);
    record
        .say(&format!("before the fault: {} of {} requests served", before.answered, before.sent));
    if with_trouble {
        record.say("all processes are killed");
        (0..cluster.machines.len()).for_each(|index| cluster.kill(index));
        std::thread::sleep(DOWN);
        cluster.start_all(false).map_err(|error| error.to_string())?;
        record.say("all processes have started again");
    }
    let back = Instant::now();
    std::thread::sleep(RECOVER);
    let after = count(&clients, COUNTED);
    let seconds = back.elapsed().as_secs();
    record.say(&format!(
        "from recoverS after it, until {seconds} s: {} of {} requests served",
        after.answered, after.sent
    ));
    let is_ready = cluster.wait_ready(Duration::from_millis(500));
    record.say(&format!("all entries ready at the end: {is_ready}"));
    if !cluster.all_run() {
        return Err("a process has ended by itself".to_owned());
    }
    let (served_before, served_after) = (before.answered * 4, after.answered * 4);
    if served_before < before.sent {
        return Err("less than a quarter was served before the fault".to_owned());
    }
    Ok(if served_after < after.sent { Verdict::Broken } else { Verdict::Held })
}

fn publish(
    version: u64,
    routes: u32,
    controls: &[SocketAddr],
    record: &Record,
) -> Result<(), String> {
    let body = config(version, routes, 3_000, (2.0, 0.0));
    let limit = Duration::from_secs(10) + Duration::from_millis(3) * routes;
    let outcome = put_config(controls, body.as_bytes(), routes, limit, record);
    record.say(&format!(
        "version {version}: {routes} idle routes, {} bytes: {outcome:?}",
        body.len()
    ));
    if outcome == Outcome::Acknowledged {
        Ok(())
    } else {
        Err(format!("version {version} was not accepted"))
    }
}

fn start_backends(cluster: &Cluster) -> Result<Vec<Backend>, String> {
    let (controls, interval) = (cluster.controls(), Duration::from_millis(770));
    let start = |number: u8| {
        let zone = ZONES[usize::from(number) % ZONES.len()].to_owned();
        let ip = Ipv4Addr::new(127, cluster.block, 3, number + 1);
        let identity = Identity { id: u32::from(number) + 1, ip, zone, cold: Duration::ZERO };
        Backend::start(identity, controls.clone(), interval).map_err(|error| error.to_string())
    };
    (0..BACKENDS_PER_ZONE * ZONES.len() as u8).map(start).collect()
}

fn start_clients(cluster: &Cluster, record: &Record) -> Result<Vec<Clients>, String> {
    let mut clients = Vec::new();
    for index in cluster.with_role(Role::Entry) {
        let machine = &cluster.machines[index];
        let ip = Ipv4Addr::new(127, cluster.block, 4, 1 + clients.len() as u8);
        let entry = SocketAddr::from((machine.ip, PACKET_PORT));
        let started = Clients::start(ip, entry, REQUESTS_PER_S);
        clients.push(started.map_err(|error| error.to_string())?);
        record.note(&format!("clients at {ip} send to {} at {entry}", machine.name));
    }
    Ok(clients)
}

/// Counts the requests that are sent within a time, and how many of them are served. Those that are sent at its end get
/// a second more, and at its begin none is open, or they are counted in place of those at the end.
fn count(clients: &[Clients], time: Duration) -> Counts {
    let begin: Vec<Counts> = clients.iter().map(Clients::counts).collect();
    std::thread::sleep(time);
    let mut sum = Counts::default();
    for (zone, begin) in clients.iter().zip(begin) {
        let end = zone.counts();
        sum.sent += end.sent - begin.sent;
        sum.answered += end.answered - begin.answered;
    }
    sum
}
