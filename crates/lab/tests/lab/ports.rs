//! Allocation of free ports for the processes of a deployment.

use comfreyhold_lab::ports::Ports;
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, TcpListener, UdpSocket};
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

/// Ports that are allocated and bound while other processes start. When allocation used sockets that
/// listened, about one address in 200 could not be bound again.
const ALLOCATIONS: u32 = 4_000;

/// Threads that start processes at the same time.
const PROCESS_STARTERS: usize = 8;

/// Guards against a daemon that can't listen because a process that was starting at the time inherited a
/// copy of the socket that checked its port.
#[test]
fn a_port_can_be_bound_while_other_processes_start() {
    let done = AtomicBool::new(false);
    let failed = thread::scope(|scope| {
        for _ in 0..PROCESS_STARTERS {
            scope.spawn(|| {
                while !done.load(Ordering::Relaxed) {
                    Command::new("true").status().unwrap();
                }
            });
        }
        let mut ports = Ports::anywhere();
        let failed = (0..ALLOCATIONS).find_map(|_| {
            let address = ports.give().unwrap();
            let bound = TcpListener::bind(address).map(drop).and(UdpSocket::bind(address));
            bound.err().map(|error| format!("{address}: {error}"))
        });
        done.store(true, Ordering::Relaxed);
        failed
    });
    assert_eq!(failed, None);
}

/// Guards against two processes of a deployment that get the same address.
#[test]
fn allocated_ports_are_distinct_and_not_in_use() {
    let ip = Ipv4Addr::new(127, 84, 3, 1);
    let listeners: Vec<TcpListener> =
        (10_000..12_000).filter_map(|port| TcpListener::bind((ip, port)).ok()).collect();
    let ports_in_use: BTreeSet<u16> =
        listeners.iter().map(|listener| listener.local_addr().unwrap().port()).collect();
    assert!(ports_in_use.len() > 1_000);
    let mut ports = Ports::of(ip);
    let allocated: Vec<u16> = (0..2_000).map(|_| ports.give().unwrap().port()).collect();
    let distinct: BTreeSet<u16> = allocated.iter().copied().collect();
    assert_eq!(distinct.len(), allocated.len());
    assert!(distinct.is_disjoint(&ports_in_use));
}
