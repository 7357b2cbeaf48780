//! The cases: what is done when, and the rule that is checked.

use crate::backend::Backend;
use crate::client::{Client, Load, Outcome, Sent};
use crate::cluster::{CONTACT, Cluster, DRAIN, EVACUATION, Processes, ZONES};
use crate::http;
use crate::record::Record;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Times are measured at the stand-ins; this is added to each bound.
const MARGIN: Duration = Duration::from_millis(300);

/// Pause of each client between two flows.
const PAUSE: Duration = Duration::from_millis(150);

/// Time after which each entry watches the control daemon of its zone, in whatever order the processes have started.
const SETTLED: Duration = Duration::from_secs(12);

/// Runs a case and returns whether the rule was broken.
pub fn run(
    name: &str,
    disrupted: bool,
    processes: Processes,
    record: Arc<Record>,
) -> Result<bool, String> {
    record.say(&format!("case {name}, {}", if disrupted { "disrupted" } else { "undisrupted" }));
    match name {
        "evacuated-again" => evacuated_again(disrupted, processes, &record),
        "left-and-back" => left_and_back(disrupted, processes, &record),
        "drain-in-a-roll" => drain_in_a_roll(disrupted, processes, &record),
        "odd-heartbeat" => odd_heartbeat(disrupted, processes, &record),
        "drain-in-a-freeze" => drain_in_a_freeze(disrupted, processes, &record),
        _ => Err(format!("no case {name}")),
    }
}

fn sleep_until(start: Instant, seconds: f64) {
    let until = start + Duration::from_secs_f64(seconds);
    std::thread::sleep(until.saturating_duration_since(Instant::now()));
}

/// Fails the run if one of the project's processes has ended.
fn check_running(processes: &Processes) -> Result<(), String> {
    if processes.any_ended() { Err("a process has ended by itself".to_owned()) } else { Ok(()) }
}

/// A failure domain is taken out, back in, and out again. The order to take it back meets a frozen daemon first
/// and is acknowledged by another one. Rule EVAC.
fn evacuated_again(
    disrupted: bool,
    processes: Processes,
    record: &Arc<Record>,
) -> Result<bool, String> {
    const FROZEN: usize = 3;
    let cluster = Cluster::start(&[0, 1], processes.clone(), Arc::clone(record))?;
    let mut backends = Vec::new();
    for (number, zone) in [0, 0, 1, 1].into_iter().enumerate() {
        let id = 0xb000 + number as u64;
        backends.push(Backend::start(
            &cluster,
            id,
            number as u8 + 1,
            ZONES[zone],
            number % 3,
            record,
        )?);
    }
    cluster.publish()?;
    cluster.wait_ready()?;
    let sent = Sent::default();
    let load = Load::start(&cluster, 6, PAUSE, &sent, record)?;
    let start = Instant::now();
    sleep_until(start, 2.0);
    cluster.order("POST", "/evacuation/b", &[0, 1, 2])?;
    sleep_until(start, 6.0);
    if disrupted {
        cluster.freeze_control(FROZEN);
    }
    sleep_until(start, 6.2);
    cluster.order("DELETE", "/evacuation/b", &[FROZEN, 0, 1, 2])?;
    sleep_until(start, 8.5);
    let acknowledged = cluster.order("POST", "/evacuation/b", &[0, 1, 2])?;
    sleep_until(start, 10.0);
    if disrupted {
        cluster.thaw_control(FROZEN);
    }
    let in_touch = start + Duration::from_secs(10) + CONTACT + MARGIN;
    let first_wrong = in_touch.max(acknowledged + EVACUATION + MARGIN);
    sleep_until(start, 22.0);
    check_running(&processes)?;
    let (asked, answered) = load.stop();
    record.say(&format!("{asked} requests, {answered} answered"));
    let sent = sent.lock().unwrap();
    let is_wrong =
        |client: &std::net::SocketAddrV4| sent.get(client).is_some_and(|sent| *sent >= first_wrong);
    let wrong: usize = backends[2..]
        .iter()
        .map(|backend| backend.openings().iter().filter(|o| is_wrong(&o.client)).count())
        .sum();
    record.say(&format!(
        "EVAC: {wrong} flows sent after {:.1} s have reached the evacuated zone (acknowledged at {:.1} s)",
        record.seconds(first_wrong),
        record.seconds(acknowledged)
    ));
    if answered == 0 {
        return Err("no request was served".to_owned());
    }
    Ok(wrong > 0)
}

/// A backend leaves in order and starts again under its id. Its call to leave meets a frozen daemon first and is
/// acknowledged by another one. Rule FLOW.
fn left_and_back(
    disrupted: bool,
    processes: Processes,
    record: &Arc<Record>,
) -> Result<bool, String> {
    const FROZEN: usize = 3;
    const ID: u64 = 0xc0de;
    const HOST: u8 = 1;
    let cluster = Cluster::start(&[0, 1], processes.clone(), Arc::clone(record))?;
    let other = Backend::start(&cluster, 0xb001, 2, ZONES[1], 0, record)?;
    let first = Backend::start(&cluster, ID, HOST, ZONES[0], 1, record)?;
    cluster.publish()?;
    cluster.wait_ready()?;
    let sent = Sent::default();
    let load = Load::start(&cluster, 2, PAUSE, &sent, record)?;
    let start = Instant::now();
    sleep_until(start, 2.0);
    first.drain();
    if first.drain_acks().is_empty() {
        return Err("the drain is not acknowledged".to_owned());
    }
    sleep_until(start, 6.0);
    if disrupted {
        cluster.freeze_control(FROZEN);
    }
    sleep_until(start, 6.2);
    if !first.leave(&[FROZEN, 0, 1, 2]) {
        return Err("the leave is not acknowledged".to_owned());
    }
    first.end();
    sleep_until(start, 7.8);
    let second = Backend::start(&cluster, ID, HOST, ZONES[0], 1, record)?;
    let up_since = Instant::now();
    sleep_until(start, 9.0);
    // A client with pauses between its requests, on a flow to the new incarnation.
    let mut client = Client::new(&cluster, 100, 0, Sent::clone(&sent), record)?;
    let Some(mut flow) = open_at(&mut client, &second) else {
        return Err("no flow was placed on the new incarnation".to_owned());
    };
    record.say(&format!("flow open at {} since its start", second.name));
    sleep_until(start, 10.0);
    if disrupted {
        cluster.thaw_control(FROZEN);
    }
    // The core is stable and every machine in touch again when the pause ends.
    let in_touch = start + Duration::from_secs(10) + CONTACT + MARGIN;
    sleep_until(start, 16.0);
    check_running(&processes)?;
    if Instant::now() < in_touch || up_since.elapsed() < CONTACT {
        return Err("too early to judge".to_owned());
    }
    let outcome = client.request(&mut flow, "second");
    record.say(&format!("the second request after a pause of 6 s: {outcome:?}"));
    let before = second.openings().len();
    sleep_until(start, 22.0);
    let after = second.openings().len();
    let (asked, answered) = load.stop();
    record.say(&format!("{asked} other requests, {answered} answered"));
    record.say(&format!(
        "new flows of the last 6 s at {}: {}; at {}: {}",
        second.name,
        after - before,
        other.name,
        other.openings().len()
    ));
    let log = |index: usize| cluster.record_log(index, second.id);
    (0..4).for_each(log);
    record.say(&format!(
        "FLOW: a reset of the system on an open flow whose backend lives: {}",
        outcome == Outcome::ResetBySystem
    ));
    Ok(outcome == Outcome::ResetBySystem)
}

/// Another writer sends one heartbeat with a service that the configuration doesn't name, and with the address of
/// a running backend. Rule FLOW.
fn odd_heartbeat(
    disrupted: bool,
    processes: Processes,
    record: &Arc<Record>,
) -> Result<bool, String> {
    let cluster = Cluster::start(&[0, 1], processes.clone(), Arc::clone(record))?;
    let backend = Backend::start(&cluster, 0xb000, 1, ZONES[0], 0, record)?;
    let _other = Backend::start(&cluster, 0xb001, 2, ZONES[1], 1, record)?;
    cluster.publish()?;
    cluster.wait_ready()?;
    let sent = Sent::default();
    let load = Load::start(&cluster, 2, PAUSE, &sent, record)?;
    let start = Instant::now();
    sleep_until(start, 1.0);
    let mut client = Client::new(&cluster, 100, 0, Sent::clone(&sent), record)?;
    let Some(mut flow) = open_at(&mut client, &backend) else {
        return Err("no flow was placed on the backend".to_owned());
    };
    sleep_until(start, 6.0);
    if disrupted {
        let body = format!(
            "{{\"service\":\"unnamed\",\"address\":\"{}\",\"zone\":\"a\",\"version\":\"v1\",\
             \"maxConcurrency\":2,\"state\":\"ready\",\"warmupLeftMs\":0,\"sequence\":1,\"born\":{}}}",
            backend.address,
            backend.born + 5_000
        );
        let response = http::call(cluster.control(2), "PUT", "/backends/i-0dd", &body);
        let status = response.map(|(status, _)| status);
        record.say(&format!("another writer: PUT /backends/i-0dd {body}: {status:?}"));
    }
    sleep_until(start, 9.0);
    check_running(&processes)?;
    let outcome = client.request(&mut flow, "second");
    record.say(&format!("the second request on the open flow: {outcome:?}"));
    let before = backend.openings().len();
    sleep_until(start, 15.0);
    let after = backend.openings().len();
    let (asked, answered) = load.stop();
    record.say(&format!("{asked} other requests, {answered} answered"));
    record.say(&format!("new flows of the last 6 s at {}: {}", backend.name, after - before));
    record.say(&format!(
        "FLOW: a reset of the system on an open flow whose backend lives: {}",
        outcome == Outcome::ResetBySystem
    ));
    Ok(outcome == Outcome::ResetBySystem)
}

/// Opens flows until one is answered by a backend.
fn open_at(client: &mut Client, backend: &Backend) -> Option<crate::client::Flow> {
    for _ in 0..20 {
        let Ok(mut opened) = client.open() else { continue };
        match client.request(&mut opened, "first") {
            Outcome::Answered(answer) if answer.ends_with(&backend.name) => return Some(opened),
            _ => client.close(&opened),
        }
    }
    None
}

/// A control daemon freezes. Meanwhile a backend says to another one that it leaves. It still drains, and is still
/// acknowledged, long after the freeze. Rule DRAIN.
fn drain_in_a_freeze(
    disrupted: bool,
    processes: Processes,
    record: &Arc<Record>,
) -> Result<bool, String> {
    const FROZEN: usize = 1;
    let cluster = Cluster::start(&[1, 1, 2], processes.clone(), Arc::clone(record))?;
    cluster.publish()?;
    let mut backends = Vec::new();
    for (number, zone) in [1, 1, 2, 2].into_iter().enumerate() {
        let id = 0xe000 + number as u64;
        backends.push(Backend::start(&cluster, id, number as u8 + 1, ZONES[zone], 0, record)?);
    }
    let leaving = Arc::clone(&backends[0]);
    cluster.wait_ready()?;
    let sent = Sent::default();
    let load = Load::start(&cluster, 6, PAUSE, &sent, record)?;
    let start = Instant::now() + SETTLED;
    sleep_until(start, 4.0);
    if disrupted {
        cluster.freeze_control(FROZEN);
    }
    sleep_until(start, 6.5);
    leaving.drain();
    sleep_until(start, 8.0);
    if disrupted {
        cluster.thaw_control(FROZEN);
    }
    let in_touch = start + Duration::from_secs(8) + CONTACT + MARGIN;
    sleep_until(start, 23.0);
    judge_drain(&cluster, &[leaving], load, &sent, in_touch, &processes, record)
}

/// Ends draining backends, and counts the flows that they have taken too late.
fn judge_drain(
    cluster: &Cluster,
    leaving: &[Arc<Backend>],
    load: Load,
    sent: &Sent,
    in_touch: Instant,
    processes: &Processes,
    record: &Record,
) -> Result<bool, String> {
    let end = Instant::now();
    for backend in leaving {
        backend.leave(&[0, 2, 3]);
        backend.end();
    }
    check_running(processes)?;
    let (asked, answered) = load.stop();
    record.say(&format!("{asked} requests, {answered} answered"));
    if answered == 0 {
        return Err("no request was served".to_owned());
    }
    let sent = sent.lock().unwrap();
    let mut is_broken = false;
    for backend in leaving {
        let acks = backend.drain_acks();
        let Some(acknowledged) = acks.iter().find(|ack| **ack >= in_touch) else {
            return Err("no drain was acknowledged by a machine in touch".to_owned());
        };
        let first_wrong = *acknowledged + DRAIN + MARGIN;
        let is_wrong = |at: &Instant| *at >= first_wrong && *at < end;
        let openings = backend.openings();
        let is_late = |client| sent.get(client).is_some_and(is_wrong);
        let wrong = openings.iter().filter(|o| is_late(&o.client) && is_wrong(&o.at)).count();
        let resumed = openings.iter().find(|o| o.at >= acks[0] + DRAIN);
        record.say(&format!(
            "{}: draining acknowledged at {:.1} s, and by a machine in touch at {:.1} s; first flow later than 3 s \
             after the first acknowledgement: {:?}",
            backend.name,
            record.seconds(acks[0]),
            record.seconds(*acknowledged),
            resumed.map(|opening| record.seconds(opening.at)),
        ));
        record.say(&format!(
            "DRAIN: {wrong} flows sent and taken by {} later than {:.1} s",
            backend.name,
            record.seconds(first_wrong)
        ));
        (0..ZONES.len()).for_each(|index| cluster.record_log(index, backend.id));
        is_broken |= wrong > 0;
    }
    Ok(is_broken)
}

/// Time from the end of a stopped process to its next start.
const DOWN: Duration = Duration::from_millis(500);

/// Three core machines are stopped in order and started again, one after another, while backends of their zones begin
/// to leave. Planned work alone. Rule DRAIN.
fn drain_in_a_roll(
    disrupted: bool,
    processes: Processes,
    record: &Arc<Record>,
) -> Result<bool, String> {
    let mut cluster = Cluster::start(&[1, 2, 3], processes.clone(), Arc::clone(record))?;
    cluster.publish()?;
    let mut backends = Vec::new();
    for (number, zone) in [1, 1, 2, 2, 3, 3].into_iter().enumerate() {
        let id = 0xe000 + number as u64;
        backends.push(Backend::start(&cluster, id, number as u8 + 1, ZONES[zone], 0, record)?);
    }
    cluster.wait_ready()?;
    let sent = Sent::default();
    let load = Load::start(&cluster, 9, PAUSE, &sent, record)?;
    let start = Instant::now() + SETTLED;
    for (index, at, leaving) in
        [(1, 4.0, &backends[0]), (2, 6.5, &backends[2]), (3, 9.0, &backends[4])]
    {
        sleep_until(start, at);
        if disrupted {
            cluster.stop_control(index)?;
        }
        leaving.drain();
        std::thread::sleep(DOWN);
        if disrupted {
            cluster.restart_control(index)?;
        }
    }
    let in_touch = Instant::now() + CONTACT + MARGIN;
    sleep_until(start, 24.0);
    let leaving = [0, 2, 4].map(|number| Arc::clone(&backends[number]));
    judge_drain(&cluster, &leaving, load, &sent, in_touch, &processes, record)
}
