//! Behaviour of the client under faults.

mod common;

use comfreyhold_request::attempt::TargetRefusal;
use comfreyhold_request::client::{Action, Client, Event, INITIAL_RESEND_INTERVAL, NewRequest};
use comfreyhold_request::message::{
    AttemptId, GrantId, LoadReport, Message, Pool, PoolLoad, RequestId, SlotOutcome,
};
use comfreyhold_request::retry_budget::RetryBudget;
use comfreyhold_types::prelude::*;
use comfreyhold_types::profile::RetryRule;
use common::{address, ms};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

const SERVICE: ServiceId = ServiceId(1);

fn pool(domain: u16) -> Pool {
    Pool { service: SERVICE, domain: DomainId(domain) }
}

/// Creates a client for instance 9 in domain 1. The dispatcher of domain n runs on instance n.
fn client(now: Instant, loads: &[(u16, u32)]) -> Client {
    let mut client = Client::new(InstanceId(9), Incarnation(1), DomainId(1));
    client.set_budget(SERVICE, RetryBudget::new(RetryRule::default(), now));
    let current = loads.iter().map(|(domain, _)| (pool(*domain), InstanceId(*domain))).collect();
    client.handle(now, Event::Dispatchers(current));
    for (domain, free) in loads {
        client.handle(now, load(*domain, *free));
    }
    client
}

fn load(domain: u16, free: u32) -> Event {
    let load = PoolLoad { free, capacity: 10, queued: 0 };
    let report = LoadReport { pool: pool(domain), epoch: 1, load, cold: Vec::new() };
    Event::Message(InstanceId(domain), Message::Load(report))
}

fn request(now: Instant, idempotent: bool) -> NewRequest {
    let (priority, deadline) = (Priority::High, now + ms(5_000));
    NewRequest { service: SERVICE, priority, deadline, idempotent, max_attempts: 3 }
}

/// Returns the domain and attempt of the first acquire among the actions.
fn sent_acquire(actions: &[Action]) -> Option<(u16, AttemptId)> {
    actions.iter().find_map(|action| match action {
        Action::Send(to, Message::Acquire { attempt, .. }) => Some((to.0, *attempt)),
        _ => None,
    })
}

fn finished(actions: &[Action]) -> Option<ResultCode> {
    actions.iter().find_map(|action| match action {
        Action::Finish(_, code) => Some(*code),
        _ => None,
    })
}

fn released(actions: &[Action]) -> Option<SlotOutcome> {
    actions.iter().find_map(|action| match action {
        Action::Send(_, Message::Release { outcome, .. }) => Some(*outcome),
        _ => None,
    })
}

fn grant(attempt: AttemptId, domain: u16, epoch: u64) -> Event {
    let grant = GrantId { epoch, issuer: InstanceId(domain), number: attempt.number.into() };
    let (target, incarnation) = (address(domain), Incarnation(1));
    let message = Message::Grant {
        attempt,
        pool: pool(domain),
        grant,
        target,
        incarnation,
        load: PoolLoad { free: 5, capacity: 10, queued: 0 },
    };
    Event::Message(InstanceId(domain), message)
}

fn refuse(attempt: AttemptId, code: ResultCode) -> Event {
    let load = PoolLoad::default();
    Event::Message(
        InstanceId(1),
        Message::Refuse { attempt, pool: pool(1), code, elsewhere: true, load },
    )
}

/// Starts a request that is granted at once.
fn granted(client: &mut Client, now: Instant, idempotent: bool) -> (RequestId, AttemptId) {
    let mut out = Vec::new();
    let id = client.begin(now, request(now, idempotent), &mut out);
    let (domain, attempt) = sent_acquire(&out).expect("an acquire");
    client.handle(now, grant(attempt, domain, 1));
    (id, attempt)
}

fn refusal() -> TargetRefusal {
    TargetRefusal::from_response(503, Some("false")).expect("a refusal")
}

type Fault = fn(RequestId, AttemptId) -> Event;

/// Guards against a not-run code for a request that may have run, and against running a
/// non-idempotent request twice.
#[test]
fn result_codes_are_correct_and_only_safe_requests_are_retried() {
    struct Case {
        name: &'static str,
        written: bool,
        fault: Fault,
        outcome: SlotOutcome,
        code: ResultCode,
        /// Whether the request is retried when it is not idempotent, and when it is.
        retried: (bool, bool),
    }
    let cancelled: Fault = |id, _| Event::Cancelled(id);
    let withdrawn: Fault = |_, _| Event::DomainsWithdrawn(BTreeSet::from([DomainId(1)]));
    let end: Fault = |_, _| Event::EndInFlight(DomainId(1));
    let cases = [
        Case {
            name: "answered",
            written: true,
            fault: |_, a| Event::Answered(a),
            outcome: SlotOutcome::Answered { took: ms(20) },
            code: ResultCode::Ok,
            retried: (false, false),
        },
        Case {
            name: "response lost",
            written: true,
            fault: |_, a| Event::ResponseLost(a),
            outcome: SlotOutcome::Unknown,
            code: ResultCode::AnswerLost,
            retried: (false, true),
        },
        Case {
            name: "refused by the target",
            written: true,
            fault: |_, a| Event::TargetRefused(a, refusal()),
            outcome: SlotOutcome::Refused,
            code: ResultCode::TargetRefused,
            retried: (true, true),
        },
        Case {
            name: "unreachable",
            written: false,
            fault: |_, a| Event::TargetUnreachable(a),
            outcome: SlotOutcome::Failed,
            code: ResultCode::TargetUnreachable,
            retried: (true, true),
        },
        Case {
            name: "key in use",
            written: false,
            fault: |_, a| Event::KeyNotWon(a, ResultCode::KeyInUse),
            outcome: SlotOutcome::Unused,
            code: ResultCode::KeyInUse,
            retried: (false, false),
        },
        Case {
            name: "caller disconnected before the write",
            written: false,
            fault: cancelled,
            outcome: SlotOutcome::Unused,
            code: ResultCode::CancelledBeforeStart,
            retried: (false, false),
        },
        Case {
            name: "caller disconnected after the write",
            written: true,
            fault: cancelled,
            outcome: SlotOutcome::Cancelled,
            code: ResultCode::CancelledWhileRunning,
            retried: (false, false),
        },
        Case {
            name: "domain withdrawn before the write",
            written: false,
            fault: withdrawn,
            outcome: SlotOutcome::Unused,
            code: ResultCode::NoTarget,
            retried: (true, true),
        },
        Case {
            name: "domain withdrawn after the write",
            written: true,
            fault: end,
            outcome: SlotOutcome::Cancelled,
            code: ResultCode::DomainOutWhileRunning,
            retried: (false, false),
        },
    ];
    for case in cases {
        for (idempotent, retried) in [(false, case.retried.0), (true, case.retried.1)] {
            let t = Instant::now();
            let mut client = client(t, &[(1, 5), (2, 1)]);
            let (id, attempt) = granted(&mut client, t, idempotent);
            assert!(!case.written || client.try_begin_write(t, attempt));
            let actions = client.handle(t + ms(20), (case.fault)(id, attempt));
            assert_eq!(released(&actions), Some(case.outcome), "{}", case.name);
            assert_eq!(sent_acquire(&actions).is_some(), retried, "{}: retry", case.name);
            let code = (!retried).then_some(case.code);
            assert_eq!(finished(&actions), code, "{}", case.name);
            let late = client.handle(t + ms(30), Event::Answered(attempt));
            assert_eq!(finished(&late), None, "{}: a late event is ignored", case.name);
        }
    }
}

/// Guards against taking an ordinary error response for proof that the request did not run.
#[test]
fn only_an_explicit_refusal_proves_that_nothing_ran() {
    for (status, header, proof) in [
        (503, Some("false"), true),
        (503, Some(" False "), true),
        (503, Some("true"), false),
        (503, None, false),
        (500, Some("false"), false),
        (200, Some("false"), false),
    ] {
        let refusal = TargetRefusal::from_response(status, header);
        assert_eq!(refusal.is_some(), proof, "{status} with {header:?}");
    }
}

/// Guards against writing to a domain that must no longer be used, and against ending a request
/// there that may still finish.
#[test]
fn nothing_is_written_to_a_withdrawn_domain_or_outside_the_domain_of_an_isolated_entry() {
    let t = Instant::now();
    for event in [Event::DomainsWithdrawn(BTreeSet::from([DomainId(2)])), Event::Isolated(true)] {
        let mut client = client(t, &[(1, 1), (2, 5)]);
        let (_, running) = granted(&mut client, t, false);
        let (_, unwritten) = granted(&mut client, t, false);
        assert!(client.try_begin_write(t, running));
        let actions = client.handle(t, event);
        assert!(actions.contains(&Action::Abort(unwritten)));
        assert!(!actions.contains(&Action::Abort(running)));
        assert!(!client.try_begin_write(t, unwritten));
        assert_eq!(sent_acquire(&actions).map(|(domain, _)| domain), Some(1));
        let done = client.handle(t + ms(20), Event::Answered(running));
        assert_eq!(finished(&done), Some(ResultCode::Ok));
    }
}

/// Guards against choosing a busy, remote or unusable dispatcher while a better one is known.
#[test]
fn the_dispatcher_with_the_most_free_slots_is_asked() {
    let t = Instant::now();
    struct Case {
        loads: Vec<(u16, u32)>,
        isolated: bool,
        withdrawn_domain: Option<u16>,
        expected_domain: Option<u16>,
    }
    let case = |loads: &[(u16, u32)], isolated, withdrawn_domain, expected_domain| Case {
        loads: loads.to_vec(),
        isolated,
        withdrawn_domain,
        expected_domain,
    };
    let cases = [
        case(&[(1, 3), (2, 5)], false, None, Some(2)),
        case(&[(1, 5), (2, 5), (3, 5)], false, None, Some(1)),
        case(&[(1, 0), (2, 5)], true, None, Some(1)),
        case(&[(2, 5)], true, None, None),
        case(&[(1, 3), (2, 5)], false, Some(2), Some(1)),
        case(&[], false, None, None),
    ];
    for Case { loads, isolated, withdrawn_domain, expected_domain: expected } in cases {
        let mut client = client(t, &loads);
        client.handle(t, Event::Isolated(isolated));
        let withdrawn = withdrawn_domain.into_iter().map(DomainId).collect();
        client.handle(t, Event::DomainsWithdrawn(withdrawn));
        let mut actions = Vec::new();
        client.begin(t, request(t, false), &mut actions);
        assert_eq!(sent_acquire(&actions).map(|(domain, _)| domain), expected, "{loads:?}");
        let code = expected.is_none().then_some(ResultCode::NoDispatcher);
        assert_eq!(finished(&actions), code);
    }
    let mut burst = client(t, &[(1, 2), (2, 2)]);
    let mut actions = Vec::new();
    for _ in 0..4 {
        burst.begin(t, request(t, false), &mut actions);
    }
    let is_first = |a: &&Action| matches!(a, Action::Send(InstanceId(1), Message::Acquire { .. }));
    let to_first = actions.iter().filter(is_first).count();
    assert_eq!(to_first, 2, "a burst between two reports is spread");
}

/// Guards against waiting for a dispatcher that lost the message, became unresponsive or was
/// replaced.
#[test]
fn a_waiting_request_is_resent_or_moved_to_another_dispatcher() {
    let t = Instant::now();
    let mut client = client(t, &[(1, 5), (2, 4)]);
    let mut out = Vec::new();
    client.begin(t, request(t, false), &mut out);
    let (_, first) = sent_acquire(&out).expect("an acquire");
    let resent = client.handle(t + INITIAL_RESEND_INTERVAL, Event::Tick);
    assert_eq!(sent_acquire(&resent), Some((1, first)));
    client.handle(t + ms(700), load(2, 4));
    let moved = client.handle(t + ms(1_000), Event::Tick);
    let (domain, second) = sent_acquire(&moved).expect("an acquire");
    assert_eq!((domain, second.number), (2, 2), "dispatcher 1 sent nothing for 1 s");
    let late = client.handle(t + ms(1_010), grant(first, 1, 1));
    assert_eq!(released(&late), Some(SlotOutcome::Unused), "a late grant is returned");
    let current = BTreeMap::from([(pool(1), InstanceId(1)), (pool(2), InstanceId(3))]);
    let again = client.handle(t + ms(1_020), Event::Dispatchers(current));
    assert!(sent_acquire(&again).is_some_and(|(_, attempt)| attempt.number == 3));
    let over = client.handle(t + ms(5_000), Event::Tick);
    assert_eq!(finished(&over), Some(ResultCode::NoDispatcher), "no dispatcher replied");
    assert_eq!(client.open_requests(), 0);
}

/// Guards against refusing a request while another failure domain has free slots, and against
/// asking the same dispatcher twice.
#[test]
fn after_a_refusal_each_other_dispatcher_is_asked_once() {
    let t = Instant::now();
    let mut client = client(t, &[(1, 5), (2, 4), (3, 3)]);
    let mut actions = Vec::new();
    client.begin(t, request(t, false), &mut actions);
    let mut domains = Vec::new();
    while let Some((domain, attempt)) = sent_acquire(&actions) {
        domains.push(domain);
        actions = client.handle(t, refuse(attempt, ResultCode::Shed));
    }
    assert_eq!(domains, [1, 2, 3]);
    assert_eq!(finished(&actions), Some(ResultCode::Shed));
}

/// Guards against using a grant that a new dispatcher has no record of, and against writing after
/// the deadline.
#[test]
fn grants_of_a_replaced_dispatcher_and_late_writes_are_not_used() {
    let t = Instant::now();
    let mut client = client(t, &[(1, 5)]);
    let (_, running) = granted(&mut client, t, false);
    assert!(client.try_begin_write(t, running));
    assert!(!client.try_begin_write(t, running), "the first byte is written once");
    let request_report = Message::ReportGrants { pool: pool(1), epoch: 2 };
    let report = client.handle(t, Event::Message(InstanceId(1), request_report));
    let Some(Action::Send(_, Message::HeldGrants { grants, .. })) = report.first() else {
        panic!("no report: {report:?}");
    };
    assert_eq!(grants.len(), 1);
    let mut out = Vec::new();
    client.begin(t, request(t, false), &mut out);
    let (_, waiting) = sent_acquire(&out).expect("an acquire");
    let stale = client.handle(t, grant(waiting, 1, 1));
    assert_eq!(released(&stale), Some(SlotOutcome::Unused));
    let is_notified =
        |a: &Action| matches!(a, Action::Send(_, Message::HeldGrants { epoch: 2, .. }));
    assert!(stale.iter().any(is_notified), "the earlier dispatcher is notified of its successor");
    client.handle(t, grant(waiting, 1, 2));
    assert!(!client.try_begin_write(t + ms(5_000), waiting));
    let over = client.handle(t + ms(5_000), Event::Tick);
    let codes: BTreeSet<_> =
        over.iter().filter_map(|a| finished(std::slice::from_ref(a))).collect();
    let expected = [ResultCode::DeadlineBeforeStart, ResultCode::DeadlineWhileRunning];
    assert_eq!(codes, BTreeSet::from(expected));
}

/// Guards against a request that runs although no time is left for its answer, and whose caller is told that it may
/// have run: a grant in the last millisecond before the deadline, or after it, is returned unused.
#[test]
fn a_grant_at_the_deadline_starts_nothing() {
    let t = Instant::now();
    let late =
        [ms(5_000), ms(5_000) - Duration::from_micros(1), ms(4_999) + Duration::from_micros(1)];
    for (after, starts) in late.map(|after| (after, false)).into_iter().chain([(ms(4_999), true)]) {
        let mut client = client(t, &[(1, 5)]);
        let mut out = Vec::new();
        client.begin(t, request(t, false), &mut out);
        let (_, attempt) = sent_acquire(&out).expect("an acquire");
        let actions = client.handle(t + after, grant(attempt, 1, 1));
        let started = actions.iter().any(|action| matches!(action, Action::Start { .. }));
        assert_eq!(started, starts, "{after:?}: {actions:?}");
        assert_eq!(released(&actions), (!starts).then_some(SlotOutcome::Unused), "{after:?}");
        // A call at the deadline ends the request itself.
        let over = [actions, client.handle(t + ms(5_000), Event::Tick)].concat();
        // Nothing was written, so that nothing has run.
        assert_eq!(finished(&over), Some(ResultCode::DeadlineBeforeStart), "{after:?}: {over:?}");
    }
}
