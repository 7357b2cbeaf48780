//! Behaviour of the idempotency register under faults.

use comfreyhold_request::key_client::{
    CLAIM_RESEND_INTERVAL, CLAIM_TIMEOUT, FINISH_RESEND_INTERVAL, KEY_IN_USE_WAIT, KeyAction,
    KeyClient, KeyDecision,
};
use comfreyhold_request::key_replica::{KeyReplica, ReplicaConfig, TRANSIT_MARGIN};
use comfreyhold_request::keys::{
    ContentDigest, KeyMessage, KeyName, KeyOutcome, MAX_RESPONSE_BYTES, SHARD_COUNT, ShardMap,
    Verdict,
};
use comfreyhold_request::message::RequestId;
use comfreyhold_types::prelude::*;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

const RETENTION: Duration = Duration::from_secs(60);

fn shards() -> ShardMap {
    ShardMap::new(&[1, 2, 3].map(|id| (InstanceId(id), DomainId(id))))
}

fn replica(instance: u16, incarnation: u64, first_start: bool, now: Instant) -> KeyReplica {
    let cfg = ReplicaConfig::builder()
        .instance(InstanceId(instance))
        .incarnation(Incarnation(incarnation))
        .shards(shards())
        .max_attempt(Duration::from_secs(10))
        .max_retention(RETENTION)
        .max_records(100)
        .max_response_bytes(MAX_RESPONSE_BYTES)
        .first_start(first_start)
        .build();
    KeyReplica::new(cfg, now)
}

fn key(name: &str) -> KeyName {
    KeyName { service: ServiceId(1), key: name.to_owned() }
}

fn attempt(number: u64) -> RequestId {
    RequestId { entry: InstanceId(1), incarnation: Incarnation(1), number }
}

fn digest(body: &str) -> ContentDigest {
    ContentDigest::of("POST", "/orders", body.as_bytes())
}

/// Replicas and a client connected by a network that delivers at once, except to the replicas in
/// `disconnected`.
struct Register {
    replicas: Vec<KeyReplica>,
    disconnected: BTreeSet<u16>,
    client: KeyClient,
}

impl Register {
    fn new(now: Instant) -> Self {
        let replicas = [1, 2, 3].map(|id| replica(id, 1, true, now)).into();
        Self { replicas, disconnected: BTreeSet::new(), client: KeyClient::new(shards()) }
    }

    fn claim(&mut self, now: Instant, number: u64, name: &str, body: &str) -> Option<KeyDecision> {
        let deadline = now + Duration::from_secs(5);
        let (id, digest) = (attempt(number), digest(body));
        let actions = self.client.claim(now, id, key(name), digest, deadline, RETENTION);
        self.run(now, actions)
    }

    /// Claims a key that another attempt holds, and returns the decision at the end of the wait for
    /// that attempt's outcome.
    fn claim_until_in_use(&mut self, now: Instant, number: u64, name: &str) -> Option<KeyDecision> {
        assert_eq!(self.claim(now, number, name, "a"), None, "the outcome may still arrive");
        assert_eq!(self.tick(now + KEY_IN_USE_WAIT - Duration::from_millis(1)), None);
        self.tick(now + KEY_IN_USE_WAIT)
    }

    fn tick(&mut self, now: Instant) -> Option<KeyDecision> {
        let actions = self.client.tick(now);
        self.run(now, actions)
    }

    fn finish(&mut self, now: Instant, number: u64, response: Option<Vec<u8>>) {
        self.finish_with(now, number, KeyOutcome { code: ResultCode::Ok, response });
    }

    fn finish_with(&mut self, now: Instant, number: u64, outcome: KeyOutcome) {
        let actions = self.client.finish(now, attempt(number), outcome);
        self.run(now, actions);
    }

    fn run(&mut self, now: Instant, actions: Vec<KeyAction>) -> Option<KeyDecision> {
        let mut decision = None;
        let mut actions = std::collections::VecDeque::from(actions);
        while let Some(action) = actions.pop_front() {
            match action {
                KeyAction::Decided(_, decided) => decision = Some(decided),
                KeyAction::Send(to, _) if self.disconnected.contains(&to.0) => {}
                KeyAction::Send(to, msg) => {
                    let replica = &mut self.replicas[usize::from(to.0) - 1];
                    for (_, reply) in replica.on_message(now, InstanceId(1), msg) {
                        actions.extend(self.client.on_message(now, to, reply));
                    }
                }
            }
        }
        decision
    }

    /// Passes refill messages between the replicas until none is due.
    fn refill(&mut self, now: Instant) {
        for from in 0..self.replicas.len() {
            let mut requests = self.replicas[from].tick(now);
            while let Some((to, msg)) = requests.pop() {
                let requester = InstanceId(u16::try_from(from).expect("a small number") + 1);
                let pages = self.replicas[usize::from(to.0) - 1].on_message(now, requester, msg);
                for (_, page) in pages {
                    requests.extend(self.replicas[from].on_message(now, to, page));
                }
            }
        }
    }
}

/// Guards against a second run of a resent request, and against losing the response that is due to
/// it.
#[test]
fn a_resend_gets_the_first_outcome() {
    let cases: [(Option<usize>, KeyDecision); 4] = [
        (None, KeyDecision::NotWon(ResultCode::AnswerNotKept)),
        (
            Some(5),
            KeyDecision::Replay(KeyOutcome { code: ResultCode::Ok, response: Some(vec![7; 5]) }),
        ),
        (Some(MAX_RESPONSE_BYTES + 1), KeyDecision::NotWon(ResultCode::AnswerNotKept)),
        (
            Some(MAX_RESPONSE_BYTES),
            KeyDecision::Replay(KeyOutcome {
                code: ResultCode::Ok,
                response: Some(vec![7; MAX_RESPONSE_BYTES]),
            }),
        ),
    ];
    for (size, expected) in cases {
        let t = Instant::now();
        let mut register = Register::new(t);
        assert_eq!(register.claim(t, 1, "k", "a"), Some(KeyDecision::Won));
        let running = register.claim_until_in_use(t, 2, "k");
        assert_eq!(running, Some(KeyDecision::NotWon(ResultCode::KeyInUse)));
        register.finish(t, 1, size.map(|size| vec![7; size]));
        assert_eq!(register.claim(t, 3, "k", "a"), Some(expected), "response of {size:?}");
        let other = register.claim(t, 4, "k", "b");
        assert_eq!(other, Some(KeyDecision::NotWon(ResultCode::KeyContentMismatch)));
    }
}

/// Guards against a run without a majority of the replicas, and against a claim that is never
/// decided.
#[test]
fn without_a_majority_of_replicas_no_claim_wins() {
    let t = Instant::now();
    for (disconnected, won) in [(vec![1], true), (vec![1, 2], false), (vec![1, 2, 3], false)] {
        let mut register = Register::new(t);
        register.disconnected = disconnected.iter().copied().collect();
        let decision = register.claim(t, 1, "k", "a");
        assert_eq!(decision == Some(KeyDecision::Won), won, "disconnected: {disconnected:?}");
        if !won {
            let actions = register.client.tick(t + CLAIM_TIMEOUT);
            let lost = KeyDecision::NotWon(ResultCode::KeyRecordLost);
            assert_eq!(actions, vec![KeyAction::Decided(attempt(1), lost)]);
        }
    }
}

/// Guards against a run when each of three attempts holds one replica.
#[test]
fn a_split_vote_has_no_winner() {
    let t = Instant::now();
    let mut register = Register::new(t);
    for (number, disconnected) in [(1, [2, 3]), (2, [1, 3]), (3, [1, 2])] {
        register.disconnected = disconnected.into_iter().collect();
        assert_eq!(register.claim(t, number, "k", "a"), None);
    }
    register.disconnected.clear();
    let again = t + Duration::from_millis(500);
    let mut decided = BTreeSet::new();
    for number in 1..4 {
        let claim = KeyMessage::Claim {
            key: key("k"),
            attempt: attempt(number),
            digest: digest("a"),
            remaining: Duration::from_secs(4),
            retention: RETENTION,
        };
        let sends = [1, 2, 3].map(|to| KeyAction::Send(InstanceId(to), claim.clone()));
        assert_eq!(register.run(again, sends.into()), None, "an outcome may still arrive");
    }
    for action in register.client.tick(t + KEY_IN_USE_WAIT) {
        if let KeyAction::Decided(attempt, decision) = action {
            assert_eq!(decision, KeyDecision::NotWon(ResultCode::KeyInUse));
            decided.insert(attempt);
        }
    }
    assert_eq!(decided, BTreeSet::from([1, 2, 3].map(attempt)));
}

/// Guards against refusing a resend whose claim overtakes the outcome of the first attempt: the caller has
/// the response before the replicas have the outcome.
#[test]
fn a_resend_that_overtakes_the_outcome_gets_it() {
    let t = Instant::now();
    let mut register = Register::new(t);
    assert_eq!(register.claim(t, 1, "k", "a"), Some(KeyDecision::Won));
    assert_eq!(register.claim(t, 2, "k", "a"), None);
    register.finish(t, 1, Some(vec![7]));
    let outcome = KeyOutcome { code: ResultCode::Ok, response: Some(vec![7]) };
    let resent = register.tick(t + CLAIM_RESEND_INTERVAL);
    assert_eq!(resent, Some(KeyDecision::Replay(outcome)));
}

/// Guards against refusing a resend while the attempt before it ends without a run.
#[test]
fn a_resend_runs_after_an_attempt_that_provably_did_not() {
    let t = Instant::now();
    let mut register = Register::new(t);
    assert_eq!(register.claim(t, 1, "k", "a"), Some(KeyDecision::Won));
    assert_eq!(register.claim(t, 2, "k", "a"), None);
    register.finish_with(t, 1, KeyOutcome { code: ResultCode::TargetRefused, response: None });
    assert_eq!(register.tick(t + CLAIM_RESEND_INTERVAL), Some(KeyDecision::Won));
}

/// Guards against losing wins when replicas restart one after another or two at once.
#[test]
fn a_restarted_replica_votes_only_when_refilled() {
    let t = Instant::now();
    let mut register = Register::new(t);
    register.disconnected = BTreeSet::from([3]);
    for number in 0..100 {
        let won = register.claim(t, number, &format!("k{number}"), "a");
        assert_eq!(won, Some(KeyDecision::Won));
    }
    register.disconnected.clear();
    for restarted in [1_u16, 2, 3] {
        register.replicas[usize::from(restarted) - 1] = replica(restarted, 2, false, t);
        register.refill(t);
        let ready = (0..SHARD_COUNT)
            .all(|shard| register.replicas[usize::from(restarted) - 1].is_ready(shard));
        assert!(ready, "replica {restarted} is refilled from both others");
    }
    for number in 0..100 {
        let decision = register.claim_until_in_use(t, 1_000 + number, &format!("k{number}"));
        assert_eq!(decision, Some(KeyDecision::NotWon(ResultCode::KeyInUse)));
    }
    for restarted in [1, 2] {
        register.replicas[restarted - 1] =
            replica(u16::try_from(restarted).expect("a small number"), 3, false, t);
    }
    register.refill(t);
    assert!(
        !register.replicas[0].is_ready(0),
        "two replicas lost their records; neither may vote yet"
    );
    let waited = t + RETENTION + TRANSIT_MARGIN;
    register.refill(waited - Duration::from_millis(1));
    assert!(!register.replicas[0].is_ready(0));
    register.refill(waited);
    assert!(register.replicas[0].is_ready(0));
}

/// Guards against counting a vote that its voter lost in a restart.
#[test]
fn a_vote_from_before_a_restart_does_not_count() {
    let t = Instant::now();
    let accepted = |incarnation, peers: &[(u16, u64)]| KeyMessage::Vote {
        key: key("k"),
        attempt: attempt(1),
        incarnation: Incarnation(incarnation),
        peers: peers.iter().map(|(id, n)| (InstanceId(*id), Incarnation(*n))).collect(),
        verdict: Verdict::Accepted,
    };
    for (seen, won) in [(1, true), (2, false)] {
        let mut client = KeyClient::new(shards());
        let deadline = t + Duration::from_secs(5);
        client.claim(t, attempt(1), key("k"), digest("a"), deadline, RETENTION);
        assert!(client.on_message(t, InstanceId(1), accepted(1, &[])).is_empty());
        let decided = client.on_message(t, InstanceId(2), accepted(1, &[(1, seen)]));
        assert_eq!(!decided.is_empty(), won, "replica 2 has seen incarnation {seen} of replica 1");
    }
}

/// Guards against dropping a key at the memory limit, which would let a second attempt win.
#[test]
fn at_the_record_limit_new_keys_are_refused_and_old_ones_kept() {
    let t = Instant::now();
    let mut register = Register::new(t);
    for number in 0..100 {
        let won = register.claim(t, number, &format!("k{number}"), "a");
        assert_eq!(won, Some(KeyDecision::Won));
    }
    assert_eq!(register.claim(t, 100, "new", "a"), None, "no replica accepts it");
    assert_eq!(register.replicas[0].len(), 100);
    register.finish(t, 1, Some(vec![7; MAX_RESPONSE_BYTES]));
    register.finish(t, 2, Some(vec![7; MAX_RESPONSE_BYTES]));
    let kept = register.claim(t, 101, "k1", "a");
    assert!(matches!(kept, Some(KeyDecision::Replay(_))));
    let too_much = register.claim(t, 102, "k2", "a");
    assert_eq!(too_much, Some(KeyDecision::NotWon(ResultCode::AnswerNotKept)));
    let later = t + RETENTION;
    register.replicas[0].tick(later);
    assert!(register.replicas[0].is_empty(), "retention is over");
}

/// Guards against losing an outcome whose first messages were lost.
#[test]
fn an_outcome_is_resent_until_confirmed() {
    let t = Instant::now();
    let mut register = Register::new(t);
    register.claim(t, 1, "k", "a");
    register.disconnected = BTreeSet::from([1, 2, 3]);
    register.finish(t, 1, Some(vec![7]));
    register.disconnected.clear();
    let resent = register.client.tick(t + FINISH_RESEND_INTERVAL);
    assert_eq!(resent.len(), 3);
    register.run(t + FINISH_RESEND_INTERVAL, resent);
    assert!(register.client.tick(t + FINISH_RESEND_INTERVAL * 2).is_empty(), "all have confirmed");
}

/// Guards against the failure of several replicas of a shard together with one failure domain.
#[test]
fn replicas_are_placed_in_different_domains_where_possible() {
    let entries = [(1, 1), (2, 1), (3, 2), (4, 3), (5, 4)];
    let map = ShardMap::new(&entries.map(|(id, domain)| (InstanceId(id), DomainId(domain))));
    let mut used = BTreeSet::new();
    for shard in 0..SHARD_COUNT {
        let replicas = map.replicas(shard);
        assert_eq!(replicas.len(), 3);
        assert!(!(replicas.contains(&InstanceId(1)) && replicas.contains(&InstanceId(2))));
        used.extend(replicas.iter().copied());
    }
    assert_eq!(used.len(), 5, "every entry holds shards");
}
