//! Two of five control daemons are cut off from the other three, and the configuration gets a new route. Entries that watch
//! just these two refuse its flows as long as the cut lasts.

use crate::backend::{Backend, Identity};
use crate::cluster::{Cluster, EXCHANGE_PORT, PACKET_PORT, Role, Shape};
use crate::core_cut::CoreCut;
use crate::operator::{Outcome, config, put_config};
use crate::packet::{Header, RST, SYN, decode, encode};
use crate::record::Record;
use crate::{CaseResult, Verdict};
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

const ZONES: [&str; 5] = ["za", "zb", "zc", "zd", "ze"];
const ENTRIES_PER_ZONE: usize = 6;

/// Control daemons that are cut off.
const CUT_OFF: usize = 2;

/// Length of the cut, and the bounds of the settings.
const CUT: Duration = Duration::from_millis(7_450);
const CONTACT: Duration = Duration::from_secs(5);
const CONFIG_APPLY: Duration = Duration::from_secs(4);

/// Time after `CONTACT` and `CONFIG_APPLY` at which the new route is tried.
const MARGIN: Duration = Duration::from_millis(300);

/// Time that a try may take: the copies of its opening packet are sent within it.
const TRY_TIME: Duration = Duration::from_millis(1_000);
const COPY_INTERVAL: Duration = Duration::from_millis(400);

/// Address of the route that the second configuration adds: the first one without traffic.
const NEW_ROUTE: (Ipv4Addr, u16) = (Ipv4Addr::new(198, 18, 1, 1), 8443);

/// What came of a try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answer {
    Opened,
    Reset,
    Nothing,
}

pub fn run(record: &Record, with_trouble: bool) -> CaseResult {
    let shape = Shape {
        zones: ZONES.to_vec(),
        controls: ZONES.len(),
        entries_per_zone: ENTRIES_PER_ZONE,
        tolerated: 2,
        has_proxies: true,
        ..Shape::default()
    };
    let cluster = Cluster::new(&shape).map_err(|error| error.to_string())?;
    let cut = start_proxies(&cluster).map_err(|error| error.to_string())?;
    cluster.start_all(true).map_err(|error| error.to_string())?;
    let controls = cluster.controls();
    let limit = Duration::from_secs(10);
    let first = config(1, 0, 3_000, (2.0, 0.0));
    if put_config(&controls, first.as_bytes(), 0, limit, record) != Outcome::Acknowledged {
        return Err("the first configuration was not accepted".to_owned());
    }
    let _backends = start_backends(&cluster)?;
    if !cluster.wait_ready(Duration::from_secs(8)) {
        return Err("the entries did not get ready".to_owned());
    }
    std::thread::sleep(Duration::from_secs(3));
    let cut_at = Instant::now();
    if with_trouble {
        cut.set(true);
        record.say("core-0 and core-1 are cut off from core-2, core-3 and core-4");
    }
    std::thread::sleep(Duration::from_millis(100));
    let second = config(2, 1, 3_000, (2.0, 0.0));
    let limit = Duration::from_secs(6);
    if put_config(&controls, second.as_bytes(), 0, limit, record) != Outcome::Acknowledged {
        return Err("the second configuration was not accepted".to_owned());
    }
    record.say("version 2, with a new route, is acknowledged");
    let in_touch_at = (cut_at + CONTACT).max(Instant::now() + CONFIG_APPLY) + MARGIN;
    std::thread::sleep(in_touch_at.saturating_duration_since(Instant::now()));
    let answers = try_all(&cluster, record)?;
    let is_cut = cut_at.elapsed() < CUT;
    std::thread::sleep((cut_at + CUT).saturating_duration_since(Instant::now()));
    cut.set(false);
    if !is_cut {
        return Err("the tries took longer than the cut".to_owned());
    }
    if !cluster.all_run() {
        return Err("a process has ended by itself".to_owned());
    }
    let count = |wanted| answers.iter().filter(|answer| **answer == wanted).count();
    record.say(&format!(
        "flows on the new route, one through each entry: {} opened, {} reset, {} without an answer",
        count(Answer::Opened),
        count(Answer::Reset),
        count(Answer::Nothing),
    ));
    Ok(if count(Answer::Reset) > 0 { Verdict::Broken } else { Verdict::Held })
}

fn start_proxies(cluster: &Cluster) -> std::io::Result<CoreCut> {
    let controls = cluster.with_role(Role::Control);
    let (cut_off, rest) = controls.split_at(CUT_OFF);
    let cut =
        CoreCut::new(cluster.process_ids(cut_off.to_vec()), cluster.process_ids(rest.to_vec()));
    for index in &controls {
        let machine = &cluster.machines[*index];
        let listen = SocketAddr::from((machine.ip, EXCHANGE_PORT));
        cut.forward(listen, cluster.bound_exchange(machine), cut_off.contains(index))?;
    }
    Ok(cut)
}

fn start_backends(cluster: &Cluster) -> Result<Vec<Backend>, String> {
    let (controls, interval) = (cluster.controls(), Duration::from_millis(770));
    let start = |number: usize| {
        let ip = Ipv4Addr::new(127, cluster.block, 3, number as u8 + 1);
        let (id, zone) = (number as u32 + 1, ZONES[number].to_owned());
        let identity = Identity { id, ip, zone, cold: Duration::ZERO };
        Backend::start(identity, controls.clone(), interval).map_err(|error| error.to_string())
    };
    (0..ZONES.len()).map(start).collect()
}

/// Opens a flow on the new route through each entry.
fn try_all(cluster: &Cluster, record: &Record) -> Result<Vec<Answer>, String> {
    let ip = Ipv4Addr::new(127, cluster.block, 4, 1);
    let socket = UdpSocket::bind((ip, PACKET_PORT)).map_err(|error| error.to_string())?;
    let timeout = Some(Duration::from_millis(5));
    socket.set_read_timeout(timeout).map_err(|error| error.to_string())?;
    let entries = cluster.with_role(Role::Entry);
    let mut answers = vec![Answer::Nothing; entries.len()];
    let begin = Instant::now();
    let mut copy = 0;
    let mut buf = [0; 2_048];
    while begin.elapsed() < TRY_TIME && answers.contains(&Answer::Nothing) {
        if begin.elapsed() >= COPY_INTERVAL * copy {
            for (number, index) in entries.iter().enumerate() {
                if answers[number] == Answer::Nothing {
                    let source = (ip, 10_000 + number as u16);
                    let (seq, flags) = (7_000_000 + number as u32, SYN);
                    let header =
                        Header { source, destination: NEW_ROUTE, seq, ack: copy, echo: 0, flags };
                    let to = (cluster.machines[*index].ip, PACKET_PORT);
                    socket.send_to(&encode(&header, b""), to).map_err(|error| error.to_string())?;
                }
            }
            copy += 1;
        }
        let Ok(len) = socket.recv(&mut buf) else { continue };
        let Some((header, _)) = decode(&buf[..len]) else { continue };
        let number = usize::from(header.destination.1.wrapping_sub(10_000));
        if let Some(answer) = answers.get_mut(number).filter(|answer| **answer == Answer::Nothing) {
            *answer = if header.flags & RST != 0 { Answer::Reset } else { Answer::Opened };
        }
    }
    for (answer, index) in answers.iter().zip(&entries) {
        let machine = &cluster.machines[*index];
        record.note(&format!("{} in {}: {answer:?}", machine.name, machine.zone));
    }
    Ok(answers)
}
