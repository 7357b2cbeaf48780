//! Tests of the transport: delivery, refusal of invalid envelopes, and replacement of an unresponsive
//! connection.

#![allow(clippy::unwrap_used, clippy::panic)]

use comfreyhold_types::prelude::*;
use comfreyhold_wire::envelope::{Envelope, Topic, decode_body, encode_body};
use comfreyhold_wire::transport::{Inbox, Transport, TransportConfig};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const WAIT_LIMIT: Duration = Duration::from_secs(60);

#[derive(Default)]
struct Collector {
    envelopes: Mutex<Vec<Envelope>>,
    closed: Mutex<Vec<InstanceId>>,
}

impl Inbox for Collector {
    fn deliver(&self, envelope: Envelope) {
        self.envelopes.lock().unwrap().push(envelope);
    }

    fn connection_closed(&self, peer: InstanceId, _reason: &str) {
        self.closed.lock().unwrap().push(peer);
    }
}

fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < WAIT_LIMIT, "timed out waiting for: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn start(
    local: u16,
    listener: TcpListener,
    peers: &[(u16, SocketAddr)],
) -> (Transport, Arc<Collector>) {
    let collector = Arc::new(Collector::default());
    let peers: BTreeMap<_, _> = peers.iter().map(|(id, at)| (InstanceId(*id), *at)).collect();
    let cfg = TransportConfig { local: InstanceId(local), listener, peers };
    let transport = Transport::start(cfg, Arc::clone(&collector) as Arc<dyn Inbox>).unwrap();
    (transport, collector)
}

fn envelope(to: u16, number: u64) -> Envelope {
    Envelope {
        from: InstanceId(1),
        to: InstanceId(to),
        incarnation: Incarnation(7),
        stamp: HybridTimestamp { wall_ms: 5, counter: 1 },
        topic: Topic::Detector,
        body: encode_body(&number).unwrap(),
    }
}

fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Guards against envelopes that are lost or changed between two processes over a working connection.
#[test]
fn delivers_envelopes_unchanged() {
    let (first, _) = listen();
    let (second, second_address) = listen();
    let (receiver, received) = start(2, second, &[]);
    let (sender, _) = start(1, first, &[(2, second_address)]);
    for number in 0..100 {
        assert!(sender.sender().send(envelope(2, number)));
    }
    wait_until("all envelopes", || received.envelopes.lock().unwrap().len() == 100);
    let mut numbers: Vec<u64> = received
        .envelopes
        .lock()
        .unwrap()
        .iter()
        .map(|envelope| decode_body(&envelope.body).unwrap())
        .collect();
    numbers.sort_unstable();
    assert_eq!(numbers, (0..100).collect::<Vec<_>>());
    assert_eq!(receiver.stats().received()[&Topic::Detector].messages, 100);
}

/// Guards against delivery of an envelope to another instance than its receiver.
#[test]
fn refuses_an_envelope_for_another_instance() {
    let (first, _) = listen();
    let (second, second_address) = listen();
    let (_receiver, received) = start(2, second, &[]);
    let (sender, _) = start(1, first, &[(2, second_address), (3, second_address)]);
    assert!(sender.sender().send(envelope(3, 1)));
    assert!(sender.sender().send(envelope(2, 2)));
    wait_until("the valid envelope", || received.envelopes.lock().unwrap().len() == 1);
    assert_eq!(received.envelopes.lock().unwrap()[0].to, InstanceId(2));
}

/// Starts a proxy to `target` that discards all bytes of its first connection.
fn start_proxy_with_silent_first_connection(target: SocketAddr) -> SocketAddr {
    let (listener, address) = listen();
    std::thread::spawn(move || {
        for (index, stream) in listener.incoming().enumerate() {
            let stream = stream.unwrap();
            std::thread::spawn(
                move || {
                    if index == 0 { discard(stream) } else { relay(stream, target) }
                },
            );
        }
    });
    address
}

fn discard(mut stream: TcpStream) {
    let mut buf = [0; 4096];
    while stream.read(&mut buf).is_ok_and(|n| n > 0) {}
}

fn relay(from: TcpStream, target: SocketAddr) {
    let to = TcpStream::connect(target).unwrap();
    let (back_from, back_to) = (to.try_clone().unwrap(), from.try_clone().unwrap());
    std::thread::spawn(move || copy(back_from, back_to));
    copy(from, to);
}

fn copy(mut from: TcpStream, mut to: TcpStream) {
    let mut buf = [0; 4096];
    while let Ok(n) = from.read(&mut buf) {
        if n == 0 || to.write_all(&buf[..n]).is_err() {
            return;
        }
    }
}

/// Guards against continuing to send over a connection that no longer delivers.
#[test]
fn replaces_a_silent_connection() {
    let (first, _) = listen();
    let (second, second_address) = listen();
    let (_receiver, received) = start(2, second, &[]);
    let proxy = start_proxy_with_silent_first_connection(second_address);
    let (sender, sender_inbox) = start(1, first, &[(2, proxy)]);
    let mut number = 0;
    wait_until("an envelope through the second connection", || {
        number += 1;
        let _ = sender.sender().send(envelope(2, number));
        !received.envelopes.lock().unwrap().is_empty()
    });
    assert_eq!(sender_inbox.closed.lock().unwrap()[..1], [InstanceId(2)]);
}

/// Guards against invalid bytes from one connection ending the process or blocking other peers.
#[test]
fn garbage_connection_does_not_block_others() {
    let (first, _) = listen();
    let (second, second_address) = listen();
    let (_receiver, received) = start(2, second, &[]);
    let mut garbage = TcpStream::connect(second_address).unwrap();
    garbage.write_all(&[0xff; 512]).unwrap();
    let (sender, _) = start(1, first, &[(2, second_address)]);
    assert!(sender.sender().send(envelope(2, 9)));
    wait_until("the envelope", || !received.envelopes.lock().unwrap().is_empty());
}

proptest! {
    /// Guards against panics of the decoder and against accepting trailing bytes.
    #[test]
    fn body_decoder_never_panics(bytes in proptest::collection::vec(any::<u8>(), 0..64)) {
        if let Ok(number) = decode_body::<u64>(&bytes) {
            let canonical = encode_body(&number).unwrap();
            prop_assert!(canonical.len() <= bytes.len());
        }
    }
}
