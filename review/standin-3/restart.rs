//! Backends of a service crash and start again under their ids, one after the other. Flows that open at a new start, before
//! the entry has heard of it, are looked at after they have been idle for longer than `contactMs`.

use crate::backend::{Backend, Identity};
use crate::client::{Client, End, Router};
use crate::cluster::{Cluster, DATA_PORT};
use crate::record::Record;
use crate::Verdict;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::{Arc, Mutex, RwLock};
use std::time::Duration;

/// One in eight is below the share of 0.14 of the site file.
const BACKENDS: u8 = 8;
/// `contactMs` of the site file.
const CONTACT: Duration = Duration::from_millis(5_000);
/// Time for which a backend is down; the site file has up to 4.5 s.
const DOWN: Duration = Duration::from_millis(150);
/// Each backend crashes this often, one after the other.
const ROUNDS: u64 = 2;
const CRASH_INTERVAL: Duration = Duration::from_millis(2_500);
/// Time after a crash in which flows are opened.
const OPENING_TIME: Duration = Duration::from_millis(700);
const OPENING_INTERVAL: Duration = Duration::from_millis(5);
/// Pause between the requests of a flow: below the idle time-out of 15 s.
const PAUSE: Duration = Duration::from_millis(6_500);
const DEADLINE: Duration = Duration::from_millis(4_000);
/// Port of the route, with the kind of its requests.
const ROUTES: [(u16, &str); 2] = [(8000, "safe"), (8001, "unsafe")];

fn configuration() -> String {
    let routes = ROUTES.map(|(port, kind)| {
        format!(
            "{{\"name\":\"r-{kind}\",\"host\":\"198.18.0.1\",\"pathPrefix\":\"/{port}/\",\"type\":\"{kind}\",\
             \"timeoutMs\":4000,\"targetLatencyMs\":400,\"priority\":1,\"service\":\"desk\",\"maxAttempts\":2}}"
        )
    });
    format!(
        "{{\"version\":7,\"routes\":[{}],\"services\":[{{\"name\":\"desk\",\"healthPath\":\"/health\",\
         \"maxConnections\":2000,\"protocol\":\"h1\",\"tls\":false,\"warmupS\":2.0,\"warmupPerS\":0.0}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}}}}",
        routes.join(",")
    )
}

/// What the flows and the scenario share.
struct Shared {
    client: Arc<Client>,
    /// When each backend was started again, by its id.
    restarted: Mutex<Vec<(u64, Duration)>>,
    verdict: Mutex<Verdict>,
}

pub fn run(with_trouble: bool, record: &Arc<Record>) -> Result<Verdict, String> {
    let cluster = Cluster::start(4, 1, record).map_err(|error| error.to_string())?;
    if !cluster.order("PUT", "/config", configuration().as_bytes(), Duration::from_secs(10)) {
        return Err("the configuration was not acknowledged".to_owned());
    }
    let identities: Vec<Identity> = (0..BACKENDS)
        .map(|n| Identity {
            id: 0x1000_0001 + u64::from(n) * 0x0111_1111,
            service: "desk".to_owned(),
            zone: "zone-a".to_owned(),
            address: SocketAddrV4::new(cluster.net.ip(100 + n), 8080),
            client_port: DATA_PORT,
        })
        .collect();
    let start =
        |who: &Identity, number| Backend::run(who, number, cluster.control_addresses(), record);
    let mut backends: Vec<Option<Backend>> =
        identities.iter().map(|who| Some(start(who, 1))).collect();
    if !cluster.wait_ready(Duration::from_secs(10)) {
        return Err("the entry is not ready".to_owned());
    }
    // All machines are in touch from here on.
    std::thread::sleep(CONTACT + Duration::from_secs(1));
    let router = Arc::new(Router(RwLock::new(cluster.entry_addresses())));
    let client = Client::start(cluster.net.ip(200), DATA_PORT, &router, record);
    let shared = Arc::new(Shared {
        client: Arc::clone(&client),
        restarted: Mutex::default(),
        verdict: Mutex::new(Verdict { broken: 0, tried: 0 }),
    });
    let (mut flows, mut number) = (Vec::new(), 0);
    for turn in 0..ROUNDS * u64::from(BACKENDS) {
        let index = (turn % u64::from(BACKENDS)) as usize;
        let (who, backend) = (&identities[index], &mut backends[index]);
        let begin = record.now();
        let mut is_restarted = false;
        if let Some(backend) = backend.take_if(|_| with_trouble) {
            backend.crash();
            record.line(&format!("backend {:x} has crashed", who.id));
        }
        while record.now() < begin + OPENING_TIME {
            if with_trouble && !is_restarted && record.now() >= begin + DOWN {
                is_restarted = true;
                shared.restarted.lock().expect("no panics").push((who.id, record.now()));
                *backend = Some(start(who, 2 + turn / u64::from(BACKENDS)));
            }
            number += 1;
            let (shared, flow) = (Arc::clone(&shared), number);
            flows.push(std::thread::spawn(move || play_flow(&shared, flow)));
            std::thread::sleep(OPENING_INTERVAL);
        }
        std::thread::sleep((begin + CRASH_INTERVAL).saturating_sub(record.now()));
    }
    for flow in flows {
        let _ = flow.join();
    }
    client.stop();
    drop(backends);
    let verdict = shared.verdict.lock().expect("no panics");
    if verdict.tried == 0 {
        return Err("no flow was open after its pause".to_owned());
    }
    Ok(Verdict { broken: verdict.broken, tried: verdict.tried })
}

/// One flow with two requests and a pause between them.
fn play_flow(shared: &Shared, number: usize) {
    let Shared { client, restarted, verdict } = shared;
    let record = &client.record;
    let (port, kind) = ROUTES[number % ROUTES.len()];
    let Ok(mut flow) = client.open(SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), port)) else {
        return;
    };
    let first = flow.request(&format!("{number}-a"), DEADLINE);
    if first.end != End::Done {
        return;
    }
    std::thread::sleep(PAUSE);
    let sent = record.now();
    let second = flow.request(&format!("{number}-b"), DEADLINE);
    let backend = first.backend;
    let restarts = restarted.lock().expect("no panics").clone();
    let restart = restarts.iter().rfind(|(id, at)| *id == backend && *at <= sent);
    // A flow from before a crash has ended with it, and the disruption has to be over for `contactMs`.
    if restart.is_some_and(|(_, at)| flow.opened < *at || sent < *at + CONTACT) {
        return;
    }
    verdict.lock().expect("no panics").tried += 1;
    if second.end == End::SystemReset {
        verdict.lock().expect("no panics").broken += 1;
        record.line(&format!(
            "BROKEN: {kind} request {number}-b, sent at {} ms, was reset by {}. Its flow {} is open at backend {backend:x} \
             since {} ms, and that runs since {} ms",
            sent.as_millis(),
            second.reset_by.map_or_else(String::new, |from| from.to_string()),
            flow.src,
            flow.opened.as_millis(),
            restart.map_or(0, |(_, at)| at.as_millis())
        ));
    } else if second.end != End::Done {
        record.line(&format!("request {number}-b ended with {:?}", second.end));
    }
    flow.close();
}
