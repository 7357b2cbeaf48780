//! Relaying of messages between two processes that can't reach each other directly, through a third one.

use comfreyhold_daemon::context::Context;
use comfreyhold_daemon::process::start_transport;
use comfreyhold_daemon::settings::{LogSettings, Member, Role, Settings};
use comfreyhold_lab::ports::Ports;
use comfreyhold_types::clock::SystemClock;
use comfreyhold_types::prelude::*;
use comfreyhold_wire::envelope::{Envelope, Topic, decode_body, encode_body};
use comfreyhold_wire::transport::{Inbox, Transport};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Timeout of the wait for a relayed message.
const RELAY_TIMEOUT: Duration = Duration::from_secs(60);

/// A process with a transport that stores the messages for it.
struct Process {
    cx: Arc<Context>,
    received: Mutex<Vec<Envelope>>,
}

impl Inbox for Process {
    fn deliver(&self, envelope: Envelope) {
        let inner = match envelope.topic {
            Topic::Relay => self.cx.unpack_relay(&envelope).unwrap_or(None),
            _ => Some(envelope),
        };
        self.received.lock().unwrap().extend(inner);
    }

    fn connection_closed(&self, _peer: InstanceId, _reason: &str) {}
}

fn free_address() -> SocketAddr {
    Ports::anywhere().give().unwrap()
}

fn member(id: u16, peer: SocketAddr) -> Member {
    Member {
        instance: InstanceId(id),
        name: format!("control-{id}"),
        role: Role::Control,
        domain: DomainId(1),
        peer,
        admin: peer,
    }
}

fn start_process(id: u16, addresses: &[(u16, SocketAddr)]) -> (Arc<Process>, Transport) {
    let settings = Settings {
        instance: InstanceId(id),
        domains: BTreeMap::from([(DomainId(1), "one".to_owned())]),
        members: addresses.iter().map(|(id, peer)| member(*id, *peer)).collect(),
        entry: None,
        data_folder: None,
        bootstrap: false,
        log: LogSettings::default(),
    };
    let local_member = settings.local_member().unwrap().clone();
    let cx = Context::new(settings, local_member, Incarnation(1), Arc::new(SystemClock));
    let process = Arc::new(Process { cx: Arc::clone(&cx), received: Mutex::default() });
    let transport = start_transport(&cx, Arc::clone(&process) as Arc<dyn Inbox>).unwrap();
    (process, transport)
}

/// Guards against messages that are lost between two processes although a third one reaches both, and against
/// a relayed message with the relay as its sender.
#[test]
fn third_process_relays_messages() {
    let (a, b, c) = (free_address(), free_address(), free_address());
    let unused = free_address();
    let (first, _first_transport) = start_process(1, &[(1, a), (2, unused), (3, c)]);
    let (second, _second_transport) = start_process(2, &[(1, unused), (2, b), (3, c)]);
    let (_third, _third_transport) = start_process(3, &[(1, a), (2, b), (3, c)]);
    first.cx.set_route(InstanceId(2), Some(InstanceId(3)));
    let started = Instant::now();
    while second.received.lock().unwrap().is_empty() {
        assert!(started.elapsed() < RELAY_TIMEOUT, "the message was not relayed");
        first.cx.send(InstanceId(2), Topic::Request, &7_u64);
        std::thread::sleep(Duration::from_millis(20));
    }
    let received = second.received.lock().unwrap()[0].clone();
    assert_eq!((received.from, received.topic), (InstanceId(1), Topic::Request));
    assert_eq!(decode_body::<u64>(&received.body).unwrap(), 7);
}

/// Guards against envelopes that are forwarded between relays in a loop.
#[test]
fn nested_relay_is_refused() {
    let a = free_address();
    let (process, _transport) = start_process(1, &[(1, a)]);
    let envelope = |body| Envelope {
        from: InstanceId(2),
        to: InstanceId(1),
        incarnation: Incarnation(1),
        stamp: HybridTimestamp::default(),
        topic: Topic::Relay,
        body,
    };
    let inner = envelope(encode_body(&1_u8).unwrap());
    let outer = envelope(encode_body(&inner).unwrap());
    assert!(process.cx.unpack_relay(&outer).is_err());
    assert!(process.cx.unpack_relay(&inner).is_err());
}
