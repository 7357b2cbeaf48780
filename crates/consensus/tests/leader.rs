//! Rules for leaders and elections that random schedules rarely reach.

#![allow(clippy::unwrap_used, reason = "helpers of tests fail by panic")]

use comfreyhold_consensus::durable::{DurableState, HardState};
use comfreyhold_consensus::message::{Incarnations, LogEntry, Message, MessageBody, Position};
use comfreyhold_consensus::replica::{Action, Event, LogReplica, ReplicaSettings, RequestId};
use comfreyhold_types::declarations::Voter;
use comfreyhold_types::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

const PEER: Voter = Voter { instance: InstanceId(2), disk: 2 };

fn voter(number: u16) -> Voter {
    Voter { instance: InstanceId(number), disk: number.into() }
}

fn is_pre_vote(action: &Action) -> bool {
    matches!(action, Action::Send { message, .. } if matches!(message.body, MessageBody::PreVote { .. }))
}

struct Driver {
    replica: LogReplica,
    now: Instant,
}

impl Driver {
    /// Instance 1 of 3, restarted and with the rejoin responses of both others. Its log holds the first set of
    /// voters and one entry of an earlier term.
    fn restarted() -> Self {
        let mut driver = Self::awaiting_rejoin(0);
        driver.respond_to_rejoin(PEER);
        driver.respond_to_rejoin(voter(3));
        driver
    }

    /// The same instance before any rejoin response, in a deployment with `entries` entries.
    fn awaiting_rejoin(entries: usize) -> Self {
        let voters: BTreeSet<Voter> = (1..=3).map(voter).collect();
        let members = voters.iter().map(|voter| voter.instance).collect();
        let first = LogEntry { term: Term(1), command: Command::Voters(voters) };
        let second = LogEntry { term: Term(2), command: Command::Noop };
        let hard_state = HardState { term: Term(2), vote: None };
        let mut durable = DurableState { hard_state, ..DurableState::default() };
        durable.append(Revision(1), vec![first, second]);
        let now = Instant::now();
        let mut settings = ReplicaSettings::new(voter(1), Incarnation(5), members);
        settings.entry_count = entries;
        let replica = LogReplica::new(settings, durable, StdRng::seed_from_u64(1), now).unwrap();
        Self { replica, now }
    }

    fn respond_to_rejoin(&mut self, sender: Voter) {
        let asked = Incarnation(5);
        let config = (Revision(0), BTreeSet::new());
        let body =
            MessageBody::RejoinReply { asked, last: Position::default(), mark: None, config };
        self.receive_from(sender, Term(2), body);
    }

    fn report_revision(&mut self, entry: u16, revision: u64) -> Vec<Action> {
        let (entry, revision) = (InstanceId(entry), Revision(revision));
        self.handle(Event::EntryReport { entry, revision })
    }

    /// Whether the instance starts a pre-vote within a number of seconds.
    fn requests_votes_within(&mut self, seconds: u64) -> bool {
        let ticks = (0..seconds * 4).flat_map(|_| self.advance(Duration::from_millis(250)));
        ticks.collect::<Vec<_>>().iter().any(is_pre_vote)
    }

    /// The restarted instance, elected leader of term 3 with the vote of instance 2.
    fn elected() -> Self {
        let mut driver = Self::restarted();
        driver.advance(Duration::from_secs(2));
        let next = Term(3);
        driver.receive_from(PEER, Term(2), MessageBody::PreVoteReply { next, granted: true });
        let vote = MessageBody::VoteReply { granted: true, starts: Incarnations::new() };
        let actions = driver.receive_from(PEER, Term(3), vote);
        assert!(actions.contains(&Action::Elected(Term(3))));
        driver
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = self.replica.handle(self.now, event);
        let mut next = 0;
        while let Some(action) = actions.get(next) {
            if let Action::Persist { seq, .. } = action {
                let seq = *seq;
                actions.extend(self.replica.handle(self.now, Event::Persisted(seq)));
            }
            next += 1;
        }
        actions
    }

    fn advance(&mut self, time: Duration) -> Vec<Action> {
        self.now += time;
        self.handle(Event::Tick)
    }

    fn receive_from(&mut self, sender: Voter, term: Term, body: MessageBody) -> Vec<Action> {
        let incarnation = Incarnation(1);
        self.handle(Event::Message(Message { sender, incarnation, to_disk: None, term, body }))
    }

    fn confirm_entries(&mut self, matched: u64) {
        let matched = Revision(matched);
        let body = MessageBody::AppendReply {
            matched: Some(matched),
            last: matched,
            starts: Incarnations::new(),
            sent_us: 2_000_000,
        };
        self.receive_from(PEER, Term(3), body);
    }
}

/// Guards against committing an entry of an earlier term because a majority holds it: a later leader could still
/// replace it.
#[test]
fn entry_of_an_earlier_term_waits_for_one_of_the_current_term() {
    let mut driver = Driver::elected();
    driver.confirm_entries(2);
    assert_eq!(driver.replica.state().revision, Revision(0));
    assert!(!driver.replica.read_is_current(driver.now));
    driver.confirm_entries(3);
    assert_eq!(driver.replica.state().revision, Revision(3));
    assert!(driver.replica.read_is_current(driver.now));
}

/// Guards against a leader without a majority that accepts proposals, serves reads as current, or reports a
/// pending proposal as refused although it may still be accepted.
#[test]
fn leader_without_majority_steps_down_with_unknown_outcomes() {
    let mut driver = Driver::elected();
    driver.confirm_entries(3);
    let pending = RequestId(1);
    driver.handle(Event::Propose { request: pending, command: Command::Noop });
    driver.now += Duration::from_millis(800);
    assert!(!driver.replica.read_is_current(driver.now));
    let late = RequestId(2);
    let actions = driver.handle(Event::Propose { request: late, command: Command::Noop });
    assert!(matches!(actions[..], [Action::Refused { code: ResultCode::NoQuorum, .. }]));
    let actions = driver.handle(Event::Tick);
    assert!(actions.contains(&Action::OutcomeUnknown { request: pending }));
    assert!(actions.contains(&Action::SteppedDown(Term(3))));
}

/// Guards against a leader that steps down because its followers' disks are slow, and against proposals that it
/// accepts although no majority has stored anything for longer than an operator waits.
#[test]
fn leader_whose_followers_sync_nothing_leads_on_and_refuses_proposals() {
    let mut driver = Driver::elected();
    driver.confirm_entries(3);
    let mut refused_at_ms = None;
    for elapsed_ms in (150..=6_000).step_by(150) {
        let mut actions = driver.advance(Duration::from_millis(150));
        let heard = MessageBody::Heard { sent_us: 2_000_000 + elapsed_ms * 1_000 };
        actions.extend(driver.receive_from(PEER, Term(3), heard));
        assert!(!actions.contains(&Action::SteppedDown(Term(3))), "after {elapsed_ms} ms");
        assert!(driver.replica.read_is_current(driver.now), "after {elapsed_ms} ms");
        let request = RequestId(elapsed_ms);
        let actions = driver.handle(Event::Propose { request, command: Command::Noop });
        if let [Action::Refused { code, .. }] = actions[..] {
            assert_eq!(code, ResultCode::NoQuorum);
            refused_at_ms.get_or_insert(elapsed_ms);
        }
    }
    assert_eq!(refused_at_ms, Some(3_000));
    driver.receive_from(
        PEER,
        Term(3),
        MessageBody::AppendReply {
            matched: Some(Revision(4)),
            last: Revision(4),
            starts: Incarnations::new(),
            sent_us: 8_000_000,
        },
    );
    let request = RequestId(9_999);
    let actions = driver.handle(Event::Propose { request, command: Command::Noop });
    assert!(!actions.iter().any(|action| matches!(action, Action::Refused { .. })));
}

/// Guards against a follower that the leader takes for silent while the follower's disk is busy, and against entries
/// that it confirms before they are synced.
#[test]
fn follower_responds_before_its_sync_and_confirms_after_it() {
    let mut driver = Driver::restarted();
    let entry = LogEntry { term: Term(3), command: Command::Noop };
    let prev = Position { term: Term(2), index: Revision(2) };
    let marks = BTreeMap::new();
    let body =
        MessageBody::Append { prev, entries: vec![entry], commit: Revision(0), sent_us: 7, marks };
    let message =
        Message { sender: PEER, incarnation: Incarnation(1), to_disk: None, term: Term(3), body };
    let sent = |actions: Vec<Action>| -> Vec<MessageBody> {
        let bodies = actions.into_iter().filter_map(|action| match action {
            Action::Send { message, .. } => Some(message.body),
            _ => None,
        });
        bodies.collect()
    };
    let before = sent(driver.replica.handle(driver.now, Event::Message(message)));
    assert_eq!(before, [MessageBody::Heard { sent_us: 7 }]);
    let after = sent(driver.handle(Event::Persisted(u64::MAX)));
    assert!(matches!(
        after[..],
        [MessageBody::AppendReply { matched: Some(Revision(3)), sent_us: 7, .. }]
    ));
}

/// Guards against electing a leader that lacks accepted entries, for example because its folder is an older copy,
/// with the vote of another instance that lacks them too.
#[test]
fn log_behind_a_reported_revision_is_not_elected() {
    let mut driver = Driver::restarted();
    driver.report_revision(9, 5);
    assert!(!driver.requests_votes_within(5));
    for (index, expected) in [(2, false), (4, false), (5, true)] {
        let last = Position { term: Term(2), index: Revision(index) };
        let body = MessageBody::PreVote { next: Term(3), last };
        let replies = driver.receive_from(PEER, Term(2), body);
        let granted = |action: &Action| match action {
            Action::Send { message, .. } => match message.body {
                MessageBody::PreVoteReply { granted, .. } => Some(granted),
                _ => None,
            },
            _ => None,
        };
        assert_eq!(replies.iter().find_map(granted), Some(expected), "log that ends at {index}");
    }
}

/// Guards against a restarted voter that continues without a peer before the entries could report what they hold:
/// two instances that both lack accepted entries would elect each other.
#[test]
fn grace_ends_only_after_reports_of_most_entries() {
    let mut driver = Driver::awaiting_rejoin(5);
    driver.respond_to_rejoin(PEER);
    driver.report_revision(4, 2);
    driver.report_revision(5, 2);
    driver.report_revision(5, 2);
    assert!(!driver.requests_votes_within(20), "two of five entries have reported");
    driver.report_revision(6, 2);
    assert!(driver.requests_votes_within(5));
}

/// Guards against control instances that stay without a leader because most entries are lost.
#[test]
fn wait_for_entries_is_bounded() {
    let mut driver = Driver::awaiting_rejoin(5);
    driver.respond_to_rejoin(PEER);
    assert!(!driver.requests_votes_within(25));
    assert!(driver.requests_votes_within(10));
}

/// Guards against a leader that continues to accept proposals after an entry has reported a revision beyond its
/// log.
#[test]
fn leader_behind_an_entry_steps_down() {
    let mut driver = Driver::elected();
    driver.confirm_entries(3);
    assert!(!driver.report_revision(4, 3).contains(&Action::SteppedDown(Term(3))));
    assert!(driver.report_revision(4, 9).contains(&Action::SteppedDown(Term(3))));
    assert!(!driver.requests_votes_within(5));
}
