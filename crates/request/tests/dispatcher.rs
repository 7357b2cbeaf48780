//! Behaviour of the dispatcher under faults.

mod common;

use comfreyhold_request::dispatcher::{Action, Dispatcher, ENTRY_TIMEOUT, Event, GRANT_MARGIN};
use comfreyhold_request::message::{
    GrantId, HeldGrant, LoadReport, Message, Pool, PoolLoad, SlotOutcome, WitnessRecord,
};
use comfreyhold_request::witness::WITNESS_TIMEOUT;
use comfreyhold_types::declarations::DomainState;
use comfreyhold_types::prelude::*;
use common::*;
use std::time::{Duration, Instant};

const ANSWERED: SlotOutcome = SlotOutcome::Answered { took: Duration::from_millis(20) };

/// A dispatcher with one warm target, whose only slot request 1 holds.
fn full_dispatcher(queue_limit: u32, now: Instant) -> (Dispatcher, GrantId) {
    let mut d = dispatcher(warm_profile(queue_limit), vec![target(1, 1)], now);
    let grant = only_grant(&d.handle(now, acquire(1, Priority::High, ms(5_000))));
    (d, grant)
}

/// Guards against a slot that is lost, or released early, when the network or an entry fails.
#[test]
fn a_slot_is_released_exactly_when_its_use_has_ended() {
    struct Case {
        name: &'static str,
        outcome: Option<SlotOutcome>,
        released_at: Duration,
    }
    let deadline = ms(5_000) + GRANT_MARGIN;
    let cases = [
        Case { name: "answered", outcome: Some(ANSWERED), released_at: ms(0) },
        Case { name: "refused", outcome: Some(SlotOutcome::Refused), released_at: ms(0) },
        Case { name: "failed", outcome: Some(SlotOutcome::Failed), released_at: ms(0) },
        Case { name: "unused", outcome: Some(SlotOutcome::Unused), released_at: ms(0) },
        Case {
            name: "cancelled",
            outcome: Some(SlotOutcome::Cancelled),
            released_at: GRANT_MARGIN,
        },
        Case { name: "unknown", outcome: Some(SlotOutcome::Unknown), released_at: deadline },
        Case { name: "entry failed", outcome: None, released_at: deadline },
    ];
    for case in cases {
        let t = Instant::now();
        let (mut d, grant) = full_dispatcher(8, t);
        match case.outcome {
            Some(outcome) => d.handle(t, release(grant, outcome)),
            None => d.handle(t, Event::EntryFailed(ENTRY)),
        };
        if case.released_at > ms(0) {
            d.handle(t + case.released_at - ms(1), Event::Tick);
            assert_eq!(d.occupied_slots(address(1)), 1, "{}: released early", case.name);
        }
        d.handle(t + case.released_at, Event::Tick);
        assert_eq!(d.occupied_slots(address(1)), 0, "{}: not released", case.name);
    }
}

/// Guards against slots blocked until their deadlines by grants to a dead entry.
#[test]
fn an_unresponsive_entry_gets_no_grant() {
    let t = Instant::now();
    for (time_since_message, granted) in [(ENTRY_TIMEOUT, true), (ENTRY_TIMEOUT + ms(1), false)] {
        let (mut d, grant) = full_dispatcher(8, t);
        d.handle(t, acquire(2, Priority::High, ms(5_000)));
        let released = Message::Release { pool: POOL, grant, outcome: ANSWERED };
        let actions = d.handle(t + time_since_message, Event::Message(InstanceId(2), released));
        assert_eq!(
            !replies(&actions).is_empty(),
            granted,
            "{time_since_message:?} after the last message"
        );
        let after_message = d.handle(t + ms(200), acquire(2, Priority::High, ms(4_800)));
        assert_eq!(replies(&after_message).len(), 1, "a message arrived again");
    }
}

/// Guards against a resent acquire that takes a second slot or gets another reply than the first
/// one.
#[test]
fn a_resent_acquire_gets_the_same_reply() {
    let t = Instant::now();
    let (mut d, grant) = full_dispatcher(1, t);
    let again = acquire(1, Priority::High, ms(4_990));
    assert_eq!(only_grant(&d.handle(t + ms(10), again.clone())), grant);
    d.handle(t + ms(20), acquire(2, Priority::Low, ms(5_000)));
    assert!(replies(&d.handle(t + ms(30), acquire(2, Priority::Low, ms(4_990)))).is_empty());
    assert_eq!(d.queued_attempts(), 1);
    let refused = replies(&d.handle(t + ms(40), acquire(3, Priority::Low, ms(5_000))));
    assert_eq!(refused, vec![(3, Err(ResultCode::Shed))]);
    let resent = replies(&d.handle(t + ms(50), acquire(3, Priority::Low, ms(4_990))));
    assert_eq!(resent, refused);
    d.handle(t + ms(60), release(grant, ANSWERED));
    assert_eq!(only_grant(&d.handle(t + ms(70), again)), grant, "no new slot after the release");
}

/// Guards against a delayed or duplicated release that releases a slot which another request holds
/// by then.
#[test]
fn a_late_release_releases_no_other_grant() {
    let t = Instant::now();
    let (mut d, grant) = full_dispatcher(8, t);
    d.handle(t, release(grant, ANSWERED));
    only_grant(&d.handle(t, acquire(2, Priority::High, ms(5_000))));
    let confirmed = d.handle(t, release(grant, ANSWERED));
    let load = PoolLoad { free: 0, capacity: 1, queued: 0 };
    let expected = Message::Released { pool: POOL, grant, load };
    assert_eq!(confirmed, vec![Action::Send(ENTRY, expected)]);
    assert_eq!(d.occupied_slots(address(1)), 1);
}

/// Guards against grants to a caller that has disconnected, also when the cancel overtakes its
/// acquire.
#[test]
fn a_cancelled_attempt_holds_no_slot() {
    let t = Instant::now();
    let (mut d, grant) = full_dispatcher(8, t);
    d.handle(t, acquire(2, Priority::High, ms(5_000)));
    d.handle(t, cancel(2));
    assert_eq!(d.queued_attempts(), 0);
    d.handle(t, cancel(3));
    let overtaken = replies(&d.handle(t, acquire(3, Priority::High, ms(5_000))));
    assert_eq!(overtaken, vec![(3, Err(ResultCode::CancelledBeforeStart))]);
    d.handle(t, cancel(1));
    assert_eq!(d.occupied_slots(address(1)), 0, "a grant that crossed the cancel is returned");
    d.handle(t, release(grant, ANSWERED));
    assert_eq!(d.occupied_slots(address(1)), 0);
}

/// Guards against shedding high-priority requests while requests of lower priority wait.
#[test]
fn the_lowest_priority_is_shed_first() {
    let t = Instant::now();
    let (mut d, _) = full_dispatcher(2, t);
    d.handle(t, acquire(2, Priority::Low, ms(5_000)));
    d.handle(t, acquire(3, Priority::Normal, ms(5_000)));
    let shed = replies(&d.handle(t, acquire(4, Priority::High, ms(5_000))));
    assert_eq!(shed, vec![(2, Err(ResultCode::Shed))]);
    let shed = replies(&d.handle(t, acquire(5, Priority::High, ms(5_000))));
    assert_eq!(shed, vec![(3, Err(ResultCode::Shed))]);
    let shed = replies(&d.handle(t, acquire(6, Priority::High, ms(5_000))));
    assert_eq!(shed, vec![(6, Err(ResultCode::Shed))]);
}

/// Guards against requests that wait until their deadline without a chance to start.
#[test]
fn a_request_that_cannot_start_in_time_is_refused_at_once() {
    let t = Instant::now();
    let (mut d, grant) = full_dispatcher(8, t);
    let slow = SlotOutcome::Answered { took: ms(800) };
    d.handle(t, release(grant, slow));
    only_grant(&d.handle(t, acquire(2, Priority::High, ms(5_000))));
    let refused = replies(&d.handle(t, acquire(3, Priority::High, ms(700))));
    assert_eq!(refused, vec![(3, Err(ResultCode::DeadlineBeforeStart))]);
    assert!(replies(&d.handle(t, acquire(4, Priority::High, ms(900)))).is_empty());
    let late = replies(&d.handle(t + ms(900), Event::Tick));
    assert_eq!(late, vec![(4, Err(ResultCode::DeadlineBeforeStart))]);
}

/// Guards against waiting at a full dispatcher while another failure domain has free slots.
#[test]
fn a_full_dispatcher_redirects_only_to_fresh_free_slots() {
    let t = Instant::now();
    for (age, free, redirected) in [(0, 1, true), (0, 0, false), (700, 1, false)] {
        let (mut d, _) = full_dispatcher(8, t);
        let pool = Pool { domain: DomainId(2), ..POOL };
        let load = PoolLoad { free, capacity: 2, queued: 0 };
        let load = Message::Load(LoadReport { pool, epoch: 1, load, cold: Vec::new() });
        d.handle(t, Event::Message(InstanceId(2), load));
        let actions = d.handle(t + ms(age), acquire(2, Priority::High, ms(5_000)));
        assert_eq!(!replies(&actions).is_empty(), redirected, "age {age}, free {free}");
    }
}

/// Guards against requests to a failure domain that operators have withdrawn, and against full load
/// on targets that have just been restored.
#[test]
fn a_withdrawn_domain_gets_no_grants_and_is_restored_cold() {
    let t = Instant::now();
    let profile = Profile::builder().name("orders").build();
    let mut d = dispatcher(profile, vec![target(1, 4)], t);
    d.handle(t, takeover(t, &[], &[]));
    assert_eq!(d.ramp_step(address(1)), None);
    for round in 0..2 {
        let out = t + ms(round * 1_000);
        d.handle(out, Event::Domain(DomainState::Out));
        let number = 10 + round;
        let refused = replies(&d.handle(out, acquire(number, Priority::High, ms(5_000))));
        assert_eq!(refused, vec![(number, Err(ResultCode::NoTarget))]);
        d.handle(out + ms(500), Event::Domain(DomainState::In));
        assert_eq!(d.ramp_step(address(1)), Some(1), "round {round}");
    }
}

/// Guards against new requests to a leaving target, and against losing count of those that it still
/// runs.
#[test]
fn a_leaving_target_gets_no_new_grants() {
    let t = Instant::now();
    let (mut d, grant) = full_dispatcher(8, t);
    let draining = TargetRecord { state: TargetState::Draining, ..target(1, 1) };
    d.handle(t, Event::Targets(vec![draining]));
    d.handle(t, release(grant, ANSWERED));
    let refused = replies(&d.handle(t, acquire(2, Priority::High, ms(5_000))));
    assert_eq!(refused, vec![(2, Err(ResultCode::NoTarget))]);
    let (mut d, _) = full_dispatcher(8, t);
    d.handle(t, Event::Targets(Vec::new()));
    d.handle(t, Event::Targets(vec![target(1, 1)]));
    assert_eq!(d.occupied_slots(address(1)), 1, "a target that returns keeps its slots in use");
}

fn held(number: u64, target: u16, remaining: Duration) -> HeldGrant {
    let grant = GrantId { epoch: 6, issuer: InstanceId(3), number };
    HeldGrant { grant, target: address(target), remaining }
}

fn report(from: u16, grants: Vec<HeldGrant>) -> Event {
    let message = Message::HeldGrants { pool: POOL, epoch: 7, grants, witnessed: None };
    Event::Message(InstanceId(from), message)
}

/// A report of an entry that holds no grants and was the witness of a dispatcher.
fn report_as_witness(from: u16, dispatcher: u16, grants: Vec<HeldGrant>) -> Event {
    let witnessed = Some(WitnessRecord { dispatcher: InstanceId(dispatcher), grants });
    let message = Message::HeldGrants { pool: POOL, epoch: 7, grants: vec![], witnessed };
    Event::Message(InstanceId(from), message)
}

/// Guards against two dispatchers that grant at once, and against granting before all reports have
/// arrived.
#[test]
fn a_takeover_waits_for_the_lease_and_for_reports() {
    let t = Instant::now();
    let mut d = dispatcher(warm_profile(8), vec![target(1, 1), target(2, 1)], t);
    let sent = d.handle(t, takeover(t + ms(2_000), &[1, 2], &[]));
    let request = Message::ReportGrants { pool: POOL, epoch: 7 };
    assert!(sent.contains(&Action::Send(InstanceId(2), request)));
    assert!(replies(&d.handle(t, acquire(1, Priority::High, ms(9_000)))).is_empty());
    d.handle(t, report(1, vec![held(1, 1, ms(3_000))]));
    let at_lease_end = d.handle(t + ms(2_000), Event::Tick);
    assert!(replies(&at_lease_end).is_empty(), "entry 2 has not reported");
    assert!(replies(&d.handle(t + ms(2_040), acquire(1, Priority::High, ms(6_960)))).is_empty());
    let granted = replies(&d.handle(t + ms(2_050), report(2, Vec::new())));
    assert_eq!(granted.len(), 1);
    assert_eq!(granted[0].1.unwrap().1, address(2), "target 1 is held by entry 1");
    let early = t + ms(3_000) + GRANT_MARGIN;
    d.handle(early - ms(1), Event::Tick);
    assert_eq!(d.occupied_slots(address(1)), 1);
    d.handle(early, Event::Tick);
    assert_eq!(d.occupied_slots(address(1)), 0);
}

/// Guards against granting while the earlier dispatcher may still grant, when all reports arrive
/// early.
#[test]
fn early_reports_do_not_shorten_the_lease() {
    let t = Instant::now();
    for (at, granted) in [(ms(1_999), false), (ms(2_000), true)] {
        let mut d = dispatcher(warm_profile(8), vec![target(1, 1)], t);
        d.handle(t, takeover(t + ms(2_000), &[1], &[]));
        d.handle(t, report(1, Vec::new()));
        let actions = d.handle(t + at, acquire(1, Priority::High, ms(5_000)));
        assert_eq!(!replies(&actions).is_empty(), granted, "after {at:?}");
    }
}

/// Guards against counting an adopted grant until its deadline when its release overtakes the
/// report.
#[test]
fn a_release_that_overtakes_the_report_counts() {
    let t = Instant::now();
    let mut d = dispatcher(warm_profile(8), vec![target(1, 1)], t);
    d.handle(t, takeover(t, &[1], &[]));
    d.handle(t, release(held(1, 1, ms(3_000)).grant, ANSWERED));
    d.handle(t, report(1, vec![held(1, 1, ms(3_000))]));
    assert_eq!(d.occupied_slots(address(1)), 0);
}

/// Guards against exceeding the slot limits while a failed or unresponsive entry may still use its
/// slots.
#[test]
fn slots_unknown_to_a_takeover_count_until_the_longest_deadline() {
    let t = Instant::now();
    for (live, failed) in [(vec![1, 2], vec![]), (vec![1], vec![2])] {
        let mut d = dispatcher(warm_profile(8), vec![target(1, 1), target(2, 1)], t);
        d.handle(t, takeover(t, &live, &failed));
        d.handle(t, report(1, vec![held(1, 1, ms(3_000))]));
        d.handle(t + ms(1_000), acquire(1, Priority::High, ms(9_000)));
        assert_eq!(d.occupied_slots(address(2)), 1, "entry 2 may use target 2");
        let freed = d.handle(t + ms(1_100), release(held(1, 1, ms(0)).grant, ANSWERED));
        assert_eq!(replies(&freed).len(), 1, "a slot of a live entry is known to be free");
        let end = t + ms(10_000) + GRANT_MARGIN;
        d.handle(end - ms(1), Event::Tick);
        assert_eq!(d.occupied_slots(address(2)), 1);
        d.handle(end, Event::Tick);
        assert_eq!(d.occupied_slots(address(2)), 0);
    }
}

/// Guards against slots that stay reserved although the entry that was declared dead has reported.
#[test]
fn a_late_report_ends_the_reservation() {
    let t = Instant::now();
    let mut d = dispatcher(warm_profile(8), vec![target(1, 2)], t);
    d.handle(t, takeover(t, &[], &[2]));
    assert_eq!(d.occupied_slots(address(1)), 2);
    d.handle(t + ms(50), report(2, vec![held(1, 1, ms(3_000))]));
    assert_eq!(d.occupied_slots(address(1)), 1);
}

/// An acquire of a request that has tried another failure domain.
fn last_try(number: u64) -> Event {
    let message = Message::Acquire {
        attempt: attempt(number),
        pool: POOL,
        priority: Priority::High,
        remaining: ms(9_000),
        may_redirect: false,
    };
    Event::Message(ENTRY, message)
}

/// Guards against refusing requests as if there were too many, while a live entry is only slow to report: for a
/// moment no process ran. They wait for the report, unless the entry turns out to have failed.
#[test]
fn requests_wait_for_a_live_entry_that_is_slow_to_report() {
    for reports in [true, false] {
        let t = Instant::now();
        let mut d = dispatcher(warm_profile(8), vec![target(1, 1)], t);
        d.handle(t, takeover(t, &[1, 2], &[]));
        d.handle(t, report(1, Vec::new()));
        d.handle(t + ms(900), last_try(1));
        let at_timeout = d.handle(t + ms(1_000), Event::Tick);
        assert!(replies(&at_timeout).is_empty(), "all slots are reserved for entry 2");
        assert!(replies(&d.handle(t + ms(1_090), last_try(2))).is_empty());
        if reports {
            let granted = replies(&d.handle(t + ms(1_100), report(2, Vec::new())));
            assert!(matches!(granted[..], [(1, Ok(_))]), "{granted:?}");
        } else {
            let refused = replies(&d.handle(t + ms(1_100), Event::EntryFailed(InstanceId(2))));
            assert_eq!(refused, [(1, Err(ResultCode::Shed)), (2, Err(ResultCode::Shed))]);
        }
    }
}

/// Guards against refusing requests for the sake of an entry that was declared failed and turns out to be alive.
#[test]
fn requests_wait_for_an_entry_that_was_wrongly_declared_failed() {
    let t = Instant::now();
    let mut d = dispatcher(warm_profile(8), vec![target(1, 1)], t);
    d.handle(t, takeover(t, &[], &[2]));
    let refused = replies(&d.handle(t + ms(10), last_try(1)));
    assert_eq!(refused, [(1, Err(ResultCode::Shed))], "entry 2 has said nothing");
    d.handle(t + ms(20), Event::Message(InstanceId(2), Message::Watch { pool: POOL }));
    assert!(replies(&d.handle(t + ms(30), last_try(2))).is_empty(), "entry 2 is alive");
    let granted = replies(&d.handle(t + ms(40), report(2, Vec::new())));
    assert!(matches!(granted[..], [(2, Ok(_))]), "{granted:?}");
}

/// Guards against a pool that grants nothing until the longest deadline because the failed
/// dispatcher held grants itself, and against relying on a witness when another entry has failed
/// too.
#[test]
fn a_witness_makes_the_grants_of_a_failed_dispatcher_known() {
    let t = Instant::now();
    for (failed, occupied_slots) in [(vec![3], [1, 0]), (vec![2, 3], [1, 1])] {
        let mut d = dispatcher(warm_profile(8), vec![target(1, 1), target(2, 1)], t);
        d.handle(t, takeover(t, &[1], &failed));
        d.handle(t, report_as_witness(1, 3, vec![held(1, 1, ms(3_000))]));
        assert_eq!(
            [1, 2].map(|n| d.occupied_slots(address(n))),
            occupied_slots,
            "failed: {failed:?}"
        );
    }
}

/// Guards against a slot that counts as in use until its deadline: a dispatcher that stops as
/// planned has released a grant to its own instance, and its witness sends its report before it
/// receives the release.
#[test]
fn the_report_of_a_live_dispatcher_goes_before_its_witness() {
    let t = Instant::now();
    let recorded = || report_as_witness(1, 3, vec![held(1, 1, ms(3_000))]);
    let still_held = || report(3, vec![held(1, 1, ms(3_000))]);
    let cases = [
        ("witness first", [recorded(), report(3, vec![])], 0),
        ("witness last", [report(3, vec![]), recorded()], 0),
        ("both hold it", [recorded(), still_held()], 1),
    ];
    for (name, reports, occupied_slots) in cases {
        let mut d = dispatcher(warm_profile(8), vec![target(1, 1)], t);
        d.handle(t, takeover(t, &[1, 3], &[]));
        for event in reports {
            d.handle(t, event);
        }
        assert!(d.is_active(), "{name}");
        assert_eq!(d.occupied_slots(address(1)), occupied_slots, "{name}");
    }
}

/// Guards against a slot that is granted twice because a dispatcher believed to be alive never
/// reports, although its witness has recorded the grant.
#[test]
fn the_record_of_a_witness_counts_when_the_dispatcher_does_not_report() {
    let t = Instant::now();
    let mut d = dispatcher(warm_profile(8), vec![target(1, 1)], t);
    d.handle(t, takeover(t, &[1, 3], &[]));
    d.handle(t, report_as_witness(1, 3, vec![held(1, 1, ms(3_000))]));
    assert!(!d.is_active());
    d.handle(t + ms(1_000), Event::Tick);
    assert!(d.is_active());
    assert_eq!(d.occupied_slots(address(1)), 1);
    d.handle(t + ms(3_250), Event::Tick);
    assert_eq!(
        d.occupied_slots(address(1)),
        0,
        "it expires at its deadline, counted from the receipt of the record"
    );
}

/// Guards against using a grant of which only the granting instance has a record.
#[test]
fn a_grant_to_the_local_instance_waits_for_the_witness() {
    let t = Instant::now();
    let mut d = dispatcher(warm_profile(8), vec![target(1, 2)], t);
    let local = InstanceId(9);
    let acquire_local = |number| match acquire(number, Priority::High, ms(5_000)) {
        Event::Message(_, message) => Event::Message(local, message),
        other => other,
    };
    d.handle(t, Event::Witness(Some(InstanceId(2))));
    let actions = d.handle(t, acquire_local(1));
    assert!(replies(&actions).is_empty(), "not before the witness has recorded it");
    assert!(replies(&d.handle(t, acquire_local(1))).is_empty(), "nor for a resend");
    let sent = actions.iter().find_map(|action| match action {
        Action::Send(InstanceId(2), Message::Witness { grants, .. }) => grants.first().copied(),
        _ => None,
    });
    let grant = sent.expect("a message to the witness").grant;
    let message = Message::Witnessed { pool: POOL, epoch: 7, grants: vec![grant] };
    assert!(replies(&d.handle(t, Event::Message(InstanceId(3), message.clone()))).is_empty());
    let granted = d.handle(t, Event::Message(InstanceId(2), message.clone()));
    assert_eq!(only_grant(&granted), grant);
    let changed = d.handle(t, Event::Witness(Some(InstanceId(4))));
    let notified = changed.iter().any(|action| {
        matches!(action, Action::Send(InstanceId(4), Message::Witness { grants, .. }) if grants.len() == 1)
    });
    assert!(notified, "current grants are sent to a new witness");
    let ended = d.handle(t, release(grant, ANSWERED));
    let forget = Message::Forget { pool: POOL, grant };
    assert!(ended.contains(&Action::Send(InstanceId(4), forget)));
    only_grant(&d.handle(t, acquire(2, Priority::High, ms(5_000))));
}

/// Guards against a dead witness that blocks every slot of a dispatcher until its death is
/// detected.
#[test]
fn an_unresponsive_witness_blocks_no_slots_of_other_entries() {
    let t = Instant::now();
    let local = InstanceId(9);
    let acquire_from = |number: u64, entry: InstanceId| {
        let Event::Message(_, message) = acquire(number, Priority::High, ms(5_000)) else {
            unreachable!("acquire makes a message");
        };
        Event::Message(entry, message)
    };
    let mut d = dispatcher(warm_profile(8), vec![target(1, 1)], t);
    d.handle(t, Event::Witness(Some(InstanceId(2))));
    assert!(replies(&d.handle(t, acquire_from(1, local))).is_empty(), "withheld");
    d.handle(t + ms(10), acquire_from(2, ENTRY));
    d.handle(t + WITNESS_TIMEOUT, acquire_from(2, ENTRY));
    let freed = d.handle(t + WITNESS_TIMEOUT + ms(1), acquire_from(1, local));
    let grant = only_grant(&freed);
    assert_eq!(replies(&freed)[0].0, 2, "the other entry gets the slot");
    let late =
        Message::Witnessed { pool: POOL, epoch: 7, grants: vec![GrantId { number: 1, ..grant }] };
    let resent = d.handle(t + ms(100), Event::Message(InstanceId(2), late.clone()));
    assert!(replies(&resent).is_empty(), "a reclaimed grant is not handed out");
    assert_eq!(d.queued_attempts(), 1, "the local attempt waits");
    d.handle(t + ms(110), acquire_from(1, local));
    d.handle(t + ms(110), release(grant, ANSWERED));
    assert_eq!(d.occupied_slots(address(1)), 1, "granted again, since the witness has replied");
    assert_eq!(d.queued_attempts(), 0);
}

/// Guards against reclaiming a grant in use when its witness is replaced by an unresponsive one.
#[test]
fn a_grant_in_use_is_never_reclaimed() {
    let t = Instant::now();
    let local = InstanceId(9);
    let Event::Message(_, message) = acquire(1, Priority::High, ms(5_000)) else {
        unreachable!("acquire makes a message");
    };
    let witnesses = [Some(InstanceId(2)), None];
    for first in witnesses {
        let mut d = dispatcher(warm_profile(8), vec![target(1, 1)], t);
        d.handle(t, Event::Witness(first));
        let granted = d.handle(t, Event::Message(local, message.clone()));
        if let Some(witness) = first {
            let grant = GrantId { epoch: 7, issuer: local, number: 1 };
            let confirmed = Message::Witnessed { pool: POOL, epoch: 7, grants: vec![grant] };
            only_grant(&d.handle(t, Event::Message(witness, confirmed)));
        } else {
            only_grant(&granted);
        }
        d.handle(t, Event::Witness(Some(InstanceId(4))));
        d.handle(t + WITNESS_TIMEOUT * 2, Event::Tick);
        assert_eq!(d.occupied_slots(address(1)), 1, "first witness {first:?}");
        assert_eq!(d.queued_attempts(), 0, "first witness {first:?}");
    }
}

/// Guards against a dispatcher that keeps offering slots which nobody may use, after another one
/// has taken over its role during a partition.
#[test]
fn a_superseded_dispatcher_sends_its_queue_elsewhere() {
    let t = Instant::now();
    let (mut d, _) = full_dispatcher(8, t);
    d.handle(t, acquire(2, Priority::High, ms(5_000)));
    let fence = |epoch| {
        let held = Message::HeldGrants { pool: POOL, epoch, grants: vec![], witnessed: None };
        Event::Message(ENTRY, held)
    };
    for epoch in [6, 7] {
        assert!(
            replies(&d.handle(t, fence(epoch))).is_empty(),
            "the same or an earlier epoch: {epoch}"
        );
        assert!(d.is_active());
    }
    let moved = replies(&d.handle(t, fence(8)));
    assert_eq!(moved, vec![(2, Err(ResultCode::NoDispatcher))]);
    assert!(!d.is_active());
}
