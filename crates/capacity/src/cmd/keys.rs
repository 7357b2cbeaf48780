//! `comfreyhold-capacity keys [COUNT...]`
//!
//! Prints the memory of a replica per record and its processor time, without and with a response, and
//! the messages and bytes of one keyed request.

use crate::links::encoded;
use crate::procfs;
use anyhow::Result;
use bpaf::Bpaf;
use comfreyhold_request::key_client::{KeyAction, KeyClient};
use comfreyhold_request::key_replica::{KeyReplica, ReplicaConfig};
use comfreyhold_request::keys::{ContentDigest, KeyMessage, KeyName, KeyOutcome, ShardMap};
use comfreyhold_request::message::RequestId;
use comfreyhold_types::prelude::*;
use std::time::{Duration, Instant};

const RETENTION: Duration = Duration::from_secs(600);
const REMAINING: Duration = Duration::from_secs(10);

#[derive(Clone, Debug, Bpaf)]
pub struct Args {
    /// Bytes of the recorded response; 0 for none
    #[bpaf(argument("BYTES"), fallback(0))]
    response: usize,
    /// Numbers of records; resident memory is only valid for the first
    #[bpaf(positional("COUNT"))]
    counts: Vec<u64>,
}

pub fn run(args: &Args) -> Result<()> {
    let counts = if args.counts.is_empty() { &[1_000, 10_000, 90_000][..] } else { &args.counts };
    for count in counts {
        memory(*count, args.response)?;
    }
    request(200);
    request(16 * 1_024);
    Ok(())
}

/// One entry holds all shards, so that every key is its own.
fn replica(id: u16, shards: &ShardMap, now: Instant) -> KeyReplica {
    let cfg = ReplicaConfig::builder()
        .instance(InstanceId(id))
        .incarnation(Incarnation(1_790_000_000_000))
        .shards(shards.clone())
        .max_attempt(REMAINING)
        .max_retention(RETENTION)
        .first_start(true)
        .build();
    KeyReplica::new(cfg, now)
}

fn key(number: u64) -> KeyName {
    KeyName { service: ServiceId(7), key: format!("6b1f6c1e-0000-4000-8000-{number:012x}") }
}

fn attempt(number: u64) -> RequestId {
    RequestId { entry: InstanceId(2), incarnation: Incarnation(1_790_000_000_000), number }
}

fn outcome(response: usize) -> KeyOutcome {
    KeyOutcome { code: ResultCode::Ok, response: (response > 0).then(|| vec![7; response]) }
}

fn memory(count: u64, response: usize) -> Result<()> {
    let now = Instant::now();
    let shards = ShardMap::new(&[(InstanceId(1), DomainId(1))]);
    let before = procfs::thread_cpu()?;
    let (replica, resident) = procfs::resident_of(|| {
        let mut replica = replica(1, &shards, now);
        for number in 0..count {
            for message in messages(number, response) {
                replica.on_message(now, InstanceId(2), message);
            }
        }
        replica
    })?;
    let cpu = (procfs::thread_cpu()? - before) / count as u32;
    println!(
        "keys {:>6} records, response {response:>3} B: {} B resident per record, {cpu:?} for claim and finish",
        replica.len(),
        resident * 1_024 / count,
    );
    Ok(())
}

fn messages(number: u64, response: usize) -> [KeyMessage; 2] {
    let (key, attempt, digest) = (key(number), attempt(number), ContentDigest(u128::MAX / 3));
    let (remaining, retention) = (REMAINING, RETENTION);
    let claim = KeyMessage::Claim { key: key.clone(), attempt, digest, remaining, retention };
    let outcome = outcome(response);
    [claim, KeyMessage::Finish { key, attempt, digest, outcome, retention }]
}

/// Follows one request from its claim to the last confirmation.
fn request(response: usize) {
    let now = Instant::now();
    let places: Vec<_> = (1..=11).map(|id| (InstanceId(id), DomainId(id))).collect();
    let shards = ShardMap::new(&places);
    let mut client = KeyClient::new(shards.clone());
    let mut replicas: Vec<_> = (1..=11).map(|id| replica(id, &shards, now)).collect();
    let (mut count, mut bytes) = (0, 0);
    let deadline = now + REMAINING;
    let mut actions =
        client.claim(now, attempt(1), key(1), ContentDigest(u128::MAX / 3), deadline, RETENTION);
    let mut finished = false;
    while let Some(action) = actions.pop() {
        match action {
            KeyAction::Send(to, message) => {
                count += 1;
                bytes += encoded(&message);
                let Some(replica) = replicas.get_mut(usize::from(to.0) - 1) else { continue };
                for (_, reply) in replica.on_message(now, InstanceId(12), message) {
                    count += 1;
                    bytes += encoded(&reply);
                    actions.extend(client.on_message(now, to, reply));
                }
            }
            KeyAction::Decided(id, _) if !finished => {
                finished = true;
                actions.extend(client.finish(now, id, outcome(response)));
            }
            KeyAction::Decided(..) => {}
        }
    }
    println!("one keyed request with a response of {response} B: {count} messages, {bytes} B");
}
