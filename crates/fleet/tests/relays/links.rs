//! What daemons pass on, and how old they take it for.

use crate::model::{Model, address, ms};
use comfreyhold_fleet::messages::{FleetRequest, FleetResponse, RelayHello, Wanted};
use comfreyhold_types::announcement::Availability;
use comfreyhold_types::keys::TargetId;
use comfreyhold_wire::envelope::{decode_body, encode_body};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::time::Duration;

/// The requests that a daemon of the version before knows.
#[derive(Debug, Serialize, Deserialize)]
enum FormerRequest {
    Vote(()),
    Hello(()),
    Chosen(()),
    Newest(()),
    Announced(()),
    Announcements(()),
    LastAnnouncement(()),
    Watch(()),
    Controls,
    Load(()),
    LoadSum(()),
}

/// Two members of one domain that know each other, and a target that announces itself to the first one.
fn pair() -> Model {
    let mut model = Model::new(2, 1, 1, 1);
    model.ended.insert(TargetId(1));
    model.run(Duration::from_secs(2));
    model.cuts = vec![(BTreeSet::from([0]), BTreeSet::from([1]))];
    model.announce_to(TargetId(1), 0);
    model
}

/// The next message of a member to the other one, which asks for what is heard in the domain.
fn message(model: &mut Model, from: usize) -> RelayHello {
    let to = 1 - from;
    let member = &mut model.members[from];
    let peer = model_state(member, from);
    member.links.next_message(
        address(to),
        Wanted::All,
        peer,
        &member.peers,
        &member.targets,
        model.now,
    )
}

fn model_state(
    member: &crate::model::Member,
    id: usize,
) -> comfreyhold_fleet::messages::ControlState {
    comfreyhold_fleet::messages::ControlState {
        is_informed: true,
        replica: comfreyhold_consensus::register::Replica {
            disk: comfreyhold_consensus::register::DiskId(1),
            address: address(id),
        },
        domain: member.domain.clone(),
        start: member.start,
        chosen: comfreyhold_consensus::register::Ballot::default(),
        targets: member.targets.digests(),
        peers: Vec::new(),
    }
}

/// Applies a message, and the announcements that the receiver fetches because of it.
fn receive(model: &mut Model, to: usize, message: &RelayHello) {
    let now = model.now;
    let member = &mut model.members[to];
    let received = member.links.receive(message, &mut member.targets, now);
    let ids: Vec<TargetId> = received.unknown.keys().copied().collect();
    let found = model.members[1 - to].targets.by_ids(&ids, now);
    for announcement in found {
        let age = received.unknown[&announcement.id];
        model.members[to].targets.apply_aged(&announcement, age, now);
    }
}

fn age(model: &Model, member: usize) -> Option<Duration> {
    model.members[member].targets.age(TargetId(1), model.now)
}

/// Guards against a relay message that an old daemon takes for something else, and against old numbers that change.
#[test]
fn relay_messages_are_at_the_end_and_refused_by_old_daemons() {
    let mut model = pair();
    let message = Box::new(message(&mut model, 0));
    let request = FleetRequest::Relay(message.clone());
    let encoded = encode_body(&request).unwrap();
    assert_eq!(encoded[0], 11);
    assert_eq!(decode_body::<FleetRequest>(&encoded).unwrap(), request);
    assert!(decode_body::<FormerRequest>(&encoded).is_err());
    let response = FleetResponse::Relay(message);
    let encoded = encode_body(&response).unwrap();
    assert_eq!(encoded[0], 8);
    assert_eq!(decode_body::<FleetResponse>(&encoded).unwrap(), response);
}

/// Guards against refreshes in a message whose age the receiver can't tell.
#[test]
fn the_first_message_passes_nothing_on() {
    let mut model = pair();
    let first = message(&mut model, 0);
    assert!(first.received.is_none() && first.refreshes.is_empty() && first.heard.is_empty());
}

/// Guards against a refresh that is taken for younger than it is: kept by the sender, held by the network, read late.
#[test]
fn ages_add_up_on_the_way() {
    let mut model = pair();
    let hello = message(&mut model, 1);
    receive(&mut model, 0, &hello);
    model.now += ms(300);
    let refresh = message(&mut model, 0);
    assert_eq!(refresh.refreshes.len(), 1);
    assert!(refresh.refreshes[0].age_ms >= 300);
    // The network holds the message, or the receiver is frozen.
    model.now += ms(1_700);
    receive(&mut model, 1, &refresh);
    let (true_age, taken_for) = (age(&model, 0).unwrap(), age(&model, 1).unwrap());
    assert!(taken_for >= true_age, "{taken_for:?} and {true_age:?}");
    assert!(taken_for <= true_age + ms(310), "{taken_for:?} and {true_age:?}");
    // The same message once more refreshes nothing.
    model.now += ms(500);
    receive(&mut model, 1, &refresh);
    assert!(age(&model, 1).unwrap() >= age(&model, 0).unwrap());
}

/// Guards against an echo: a refresh that comes back to where it was heard, and keeps the target in use for ever.
#[test]
fn an_echo_refreshes_nothing() {
    let mut model = pair();
    for _ in 0..40 {
        for from in [0, 1] {
            let message = message(&mut model, from);
            receive(&mut model, 1 - from, &message);
            model.now += ms(100);
        }
    }
    let ages = [age(&model, 0).unwrap(), age(&model, 1).unwrap()];
    assert!(ages[0] >= ms(7_900) && ages[1] >= ages[0], "{ages:?}");
}

/// Guards against a refresh that is sent to the same daemon again and again, and against one that is lost with a message.
#[test]
fn each_refresh_is_sent_until_it_is_confirmed() {
    let mut model = pair();
    let hello = message(&mut model, 1);
    receive(&mut model, 0, &hello);
    let lost = message(&mut model, 0);
    assert_eq!(lost.refreshes.len(), 1);
    model.now += ms(450);
    let repeated = message(&mut model, 0);
    assert_eq!(repeated.refreshes.len(), 1, "it was not confirmed");
    receive(&mut model, 1, &repeated);
    let confirmation = message(&mut model, 1);
    receive(&mut model, 0, &confirmation);
    assert!(message(&mut model, 0).refreshes.is_empty());
}

/// Guards against a target that drains and is used again because of an old refresh that arrives after that.
#[test]
fn an_old_refresh_takes_no_drain_back() {
    let mut model = pair();
    for from in [1, 0] {
        let message = message(&mut model, from);
        receive(&mut model, 1 - from, &message);
    }
    model.now += ms(100);
    model.announce_to(TargetId(1), 0);
    let old = message(&mut model, 0);
    let mut drained = model.targets[&TargetId(1)].clone();
    drained.availability = Availability::Draining;
    drained.stamp.sequence += 1;
    let now = model.now;
    model.members[1].targets.apply(&drained, now);
    model.now += ms(50);
    receive(&mut model, 1, &old);
    let recorded = model.members[1].targets.last_announcement(TargetId(1)).unwrap();
    assert_eq!(recorded.availability, Availability::Draining);
}
