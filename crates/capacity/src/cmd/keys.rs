//! `comfreyhold-capacity keys [COUNT...]`
//!
//! Prints the memory and processor time that a replica of the idempotency register spends per record, and
//! the messages and bytes of one request with an idempotency key.

use crate::network::encoded_bytes;
use crate::procfs;
use anyhow::Result;
use bpaf::Bpaf;
use comfreyhold_request::key_client::{KeyAction, KeyClient};
use comfreyhold_request::key_replica::{KeyReplica, ReplicaConfig};
use comfreyhold_request::keys::{ContentDigest, KeyMessage, KeyName, KeyOutcome, ShardMap};
use comfreyhold_request::message::RequestId;
use comfreyhold_types::prelude::*;
use std::time::{Duration, Instant};

const KEY_RETENTION: Duration = Duration::from_secs(600);
/// Time that an attempt has until its deadline.
const ATTEMPT_TIME: Duration = Duration::from_secs(10);

#[derive(Clone, Debug, Bpaf)]
pub struct Args {
    /// Size of the recorded response in bytes; 0 records none
    #[bpaf(argument("BYTES"), fallback(0))]
    response: usize,
    /// Numbers of records to measure; 1000, 10000 and 90000 where none is given; resident memory is only
    /// valid for the first
    #[bpaf(positional("COUNT"))]
    counts: Vec<u64>,
}

pub fn run(args: &Args) -> Result<()> {
    let counts = if args.counts.is_empty() { &[1_000, 10_000, 90_000][..] } else { &args.counts };
    for count in counts {
        measure_records(*count, args.response)?;
    }
    print_request_cost(200);
    print_request_cost(16 * 1_024);
    Ok(())
}

fn new_replica(id: u16, shards: &ShardMap, now: Instant) -> KeyReplica {
    let cfg = ReplicaConfig::builder()
        .instance(InstanceId(id))
        .incarnation(Incarnation(1_790_000_000_000))
        .shards(shards.clone())
        .max_attempt(ATTEMPT_TIME)
        .max_retention(KEY_RETENTION)
        .first_start(true)
        .build();
    KeyReplica::new(cfg, now)
}

fn key_name(number: u64) -> KeyName {
    KeyName { service: ServiceId(7), key: format!("6b1f6c1e-0000-4000-8000-{number:012x}") }
}

fn request_id(number: u64) -> RequestId {
    RequestId { entry: InstanceId(2), incarnation: Incarnation(1_790_000_000_000), number }
}

fn outcome(response_bytes: usize) -> KeyOutcome {
    KeyOutcome {
        code: ResultCode::Ok,
        response: (response_bytes > 0).then(|| vec![7; response_bytes]),
    }
}

/// Measures the replica of the only entry, which holds the shards of all keys.
fn measure_records(count: u64, response_bytes: usize) -> Result<()> {
    let now = Instant::now();
    let shards = ShardMap::new(&[(InstanceId(1), DomainId(1))]);
    let before = procfs::thread_cpu()?;
    let (replica, resident_kb) = procfs::resident_growth_kb(|| {
        let mut replica = new_replica(1, &shards, now);
        for number in 0..count {
            for message in claim_and_finish(number, response_bytes) {
                replica.on_message(now, InstanceId(2), message);
            }
        }
        replica
    })?;
    let cpu = (procfs::thread_cpu()? - before) / count as u32;
    println!(
        "keys {:>6} records, response {response_bytes:>3} B: {} B resident per record, {cpu:?} for claim and finish",
        replica.len(),
        resident_kb * 1_024 / count,
    );
    Ok(())
}

fn claim_and_finish(number: u64, response_bytes: usize) -> [KeyMessage; 2] {
    let (key, attempt, digest) =
        (key_name(number), request_id(number), ContentDigest(u128::MAX / 3));
    let (remaining, retention) = (ATTEMPT_TIME, KEY_RETENTION);
    let claim = KeyMessage::Claim { key: key.clone(), attempt, digest, remaining, retention };
    let outcome = outcome(response_bytes);
    [claim, KeyMessage::Finish { key, attempt, digest, outcome, retention }]
}

/// Counts the messages of one request, from its claim to the last confirmation.
fn print_request_cost(response_bytes: usize) {
    let now = Instant::now();
    let entries: Vec<_> = (1..=11).map(|id| (InstanceId(id), DomainId(id))).collect();
    let shards = ShardMap::new(&entries);
    let mut client = KeyClient::new(shards.clone());
    let mut replicas: Vec<_> = (1..=11).map(|id| new_replica(id, &shards, now)).collect();
    let (mut messages, mut bytes) = (0, 0);
    let deadline = now + ATTEMPT_TIME;
    let mut actions = client.claim(
        now,
        request_id(1),
        key_name(1),
        ContentDigest(u128::MAX / 3),
        deadline,
        KEY_RETENTION,
    );
    let mut is_finished = false;
    while let Some(action) = actions.pop() {
        match action {
            KeyAction::Send(to, message) => {
                messages += 1;
                bytes += encoded_bytes(&message);
                let Some(replica) = replicas.get_mut(usize::from(to.0) - 1) else { continue };
                for (_, reply) in replica.on_message(now, InstanceId(12), message) {
                    messages += 1;
                    bytes += encoded_bytes(&reply);
                    actions.extend(client.on_message(now, to, reply));
                }
            }
            KeyAction::Decided(id, _) if !is_finished => {
                is_finished = true;
                actions.extend(client.finish(now, id, outcome(response_bytes)));
            }
            KeyAction::Decided(..) => {}
        }
    }
    println!(
        "one keyed request with a response of {response_bytes} B: {messages} messages, {bytes} B"
    );
}
