//! Rules of a leader that random schedules rarely reach.

#![allow(clippy::unwrap_used, reason = "helpers of tests fail by panic")]

use comfreyhold_consensus::durable::{Durable, HardState};
use comfreyhold_consensus::message::{Body, LogEntry, Message, Position, Starts};
use comfreyhold_consensus::replica::{Action, Event, LogReplica, ReplicaSettings, RequestId};
use comfreyhold_types::declarations::Voter;
use comfreyhold_types::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

const PEER: Voter = Voter { instance: InstanceId(2), disk: 2 };

fn voter(number: u16) -> Voter {
    Voter { instance: InstanceId(number), disk: number.into() }
}

fn is_pre_vote(action: &Action) -> bool {
    matches!(action, Action::Send { message, .. } if matches!(message.body, Body::PreVote { .. }))
}

struct Driver {
    node: LogReplica,
    now: Instant,
}

impl Driver {
    /// Instance 1 of 3 with one entry of an earlier term after the first set of voters, restarted and
    /// answered by both others.
    fn restarted() -> Self {
        let mut driver = Self::starting(0);
        driver.answer_rejoin(PEER);
        driver.answer_rejoin(voter(3));
        driver
    }

    /// The same instance before it was answered, in front of a number of entry daemons.
    fn starting(entries: usize) -> Self {
        let voters: BTreeSet<Voter> = (1..=3).map(voter).collect();
        let members = voters.iter().map(|voter| voter.instance).collect();
        let first = LogEntry { term: Term(1), command: Command::Voters(voters) };
        let second = LogEntry { term: Term(2), command: Command::Noop };
        let hard = HardState { term: Term(2), vote: None };
        let mut durable = Durable { hard, ..Durable::default() };
        durable.append(Revision(1), vec![first, second]);
        let now = Instant::now();
        let mut settings = ReplicaSettings::new(voter(1), Incarnation(5), members);
        settings.entry_count = entries;
        let node = LogReplica::new(settings, durable, StdRng::seed_from_u64(1), now).unwrap();
        Self { node, now }
    }

    fn answer_rejoin(&mut self, sender: Voter) {
        let asked = Incarnation(5);
        let config = (Revision(0), BTreeSet::new());
        let body = Body::RejoinReply { asked, last: Position::default(), mark: None, config };
        self.receive_from(sender, Term(2), body);
    }

    fn report(&mut self, entry: u16, revision: u64) -> Vec<Action> {
        let (entry, revision) = (InstanceId(entry), Revision(revision));
        self.feed(Event::EntryReport { entry, revision })
    }

    /// Whether the instance asks for votes within a number of seconds.
    fn seeks_votes(&mut self, seconds: u64) -> bool {
        let ticks = (0..seconds * 4).flat_map(|_| self.wait(Duration::from_millis(250)));
        ticks.collect::<Vec<_>>().iter().any(is_pre_vote)
    }

    /// The restarted instance, elected leader of term 3 by instance 2.
    fn elected() -> Self {
        let mut driver = Self::restarted();
        driver.wait(Duration::from_secs(2));
        let next = Term(3);
        driver.receive_from(PEER, Term(2), Body::PreVoteReply { next, granted: true });
        let vote = Body::VoteReply { granted: true, starts: Starts::new() };
        let actions = driver.receive_from(PEER, Term(3), vote);
        assert!(actions.contains(&Action::Elected(Term(3))));
        driver
    }

    fn feed(&mut self, event: Event) -> Vec<Action> {
        let mut actions = self.node.handle(self.now, event);
        let mut next = 0;
        while let Some(action) = actions.get(next) {
            if let Action::Persist { seq, .. } = action {
                let seq = *seq;
                actions.extend(self.node.handle(self.now, Event::Persisted(seq)));
            }
            next += 1;
        }
        actions
    }

    fn wait(&mut self, time: Duration) -> Vec<Action> {
        self.now += time;
        self.feed(Event::Tick)
    }

    fn receive_from(&mut self, sender: Voter, term: Term, body: Body) -> Vec<Action> {
        let incarnation = Incarnation(1);
        self.feed(Event::Message(Message { sender, incarnation, to_disk: None, term, body }))
    }

    fn confirm(&mut self, matched: u64) {
        let matched = Revision(matched);
        let body = Body::AppendReply {
            matched: Some(matched),
            last: matched,
            starts: Starts::new(),
            sent_us: 2_000_000,
        };
        self.receive_from(PEER, Term(3), body);
    }
}

/// Guards against accepting an entry of an earlier term by counting copies, which a later leader could
/// still replace.
#[test]
fn entry_of_an_earlier_term_waits_for_one_of_the_current_term() {
    let mut driver = Driver::elected();
    driver.confirm(2);
    assert_eq!(driver.node.state().revision, Revision(0));
    assert!(!driver.node.read_is_current(driver.now));
    driver.confirm(3);
    assert_eq!(driver.node.state().revision, Revision(3));
    assert!(driver.node.read_is_current(driver.now));
}

/// Guards against a leader without a majority that accepts proposals, answers as current, or calls an
/// open proposal refused although it may still be accepted.
#[test]
fn leader_without_majority_steps_down_with_unknown_outcomes() {
    let mut driver = Driver::elected();
    driver.confirm(3);
    let open = RequestId(1);
    driver.feed(Event::Propose { request: open, command: Command::Noop });
    driver.now += Duration::from_millis(800);
    assert!(!driver.node.read_is_current(driver.now));
    let late = RequestId(2);
    let actions = driver.feed(Event::Propose { request: late, command: Command::Noop });
    assert!(matches!(actions[..], [Action::Refused { code: ResultCode::NoQuorum, .. }]));
    let actions = driver.feed(Event::Tick);
    assert!(actions.contains(&Action::OutcomeUnknown { request: open }));
    assert!(actions.contains(&Action::SteppedDown(Term(3))));
}

/// Guards against a leader that lacks accepted entries, such as one whose folder is an older copy, elected
/// by another instance that lacks them as well.
#[test]
fn log_behind_what_somebody_holds_gets_no_leader() {
    let mut driver = Driver::restarted();
    driver.report(9, 5);
    assert!(!driver.seeks_votes(5));
    for (index, wanted) in [(2, false), (4, false), (5, true)] {
        let last = Position { term: Term(2), index: Revision(index) };
        let body = Body::PreVote { next: Term(3), last };
        let replies = driver.receive_from(PEER, Term(2), body);
        let granted = |action: &Action| match action {
            Action::Send { message, .. } => match message.body {
                Body::PreVoteReply { granted, .. } => Some(granted),
                _ => None,
            },
            _ => None,
        };
        assert_eq!(replies.iter().find_map(granted), Some(wanted), "log that ends at {index}");
    }
}

/// Guards against a restarted voter that goes on without a peer before the entries could report what they
/// hold: two instances that both lack accepted entries would elect each other.
#[test]
fn grace_ends_only_after_reports_of_most_entries() {
    let mut driver = Driver::starting(5);
    driver.answer_rejoin(PEER);
    driver.report(4, 2);
    driver.report(5, 2);
    driver.report(5, 2);
    assert!(!driver.seeks_votes(20), "two of five entries have reported");
    driver.report(6, 2);
    assert!(driver.seeks_votes(5));
}

/// Guards against a control side that stays without a leader because most entries are lost.
#[test]
fn wait_for_entries_is_bounded() {
    let mut driver = Driver::starting(5);
    driver.answer_rejoin(PEER);
    assert!(!driver.seeks_votes(25));
    assert!(driver.seeks_votes(10));
}

/// Guards against a leader that goes on accepting after an entry has shown that its log lacks accepted
/// revisions.
#[test]
fn leader_behind_an_entry_steps_down() {
    let mut driver = Driver::elected();
    driver.confirm(3);
    assert!(!driver.report(4, 3).contains(&Action::SteppedDown(Term(3))));
    assert!(driver.report(4, 9).contains(&Action::SteppedDown(Term(3))));
    assert!(!driver.seeks_votes(5));
}
