//! Free ports for the processes of a deployment.

use comfreyhold_lab::ports::Ports;
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, TcpListener, UdpSocket};
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

/// Ports that are chosen and bound beside the starts of other processes. Of sockets that had listened before,
/// one in some 200 could not be bound again.
const CHOICES: u32 = 4_000;

/// Threads that start processes meanwhile.
const STARTERS: usize = 8;

/// Guards against a daemon that can't listen because a process that was being started at the time holds a copy
/// of the socket with which its port was chosen.
#[test]
fn a_port_can_be_bound_while_other_processes_start() {
    let over = AtomicBool::new(false);
    let failed = thread::scope(|scope| {
        for _ in 0..STARTERS {
            scope.spawn(|| {
                while !over.load(Ordering::Relaxed) {
                    Command::new("true").status().unwrap();
                }
            });
        }
        let mut ports = Ports::anywhere();
        let failed = (0..CHOICES).find_map(|_| {
            let address = ports.give().unwrap();
            let bound = TcpListener::bind(address).map(drop).and(UdpSocket::bind(address));
            bound.err().map(|error| format!("{address}: {error}"))
        });
        over.store(true, Ordering::Relaxed);
        failed
    });
    assert_eq!(failed, None);
}

/// Guards against two processes of a deployment at one address.
#[test]
fn no_port_is_given_twice_nor_while_something_listens_there() {
    let ip = Ipv4Addr::new(127, 84, 3, 1);
    let taken: Vec<TcpListener> =
        (10_000..12_000).filter_map(|port| TcpListener::bind((ip, port)).ok()).collect();
    let taken: BTreeSet<u16> =
        taken.iter().map(|listener| listener.local_addr().unwrap().port()).collect();
    assert!(taken.len() > 1_000);
    let mut ports = Ports::of(ip);
    let given: Vec<u16> = (0..2_000).map(|_| ports.give().unwrap().port()).collect();
    let distinct: BTreeSet<u16> = given.iter().copied().collect();
    assert_eq!(distinct.len(), given.len());
    assert!(distinct.is_disjoint(&taken));
}
