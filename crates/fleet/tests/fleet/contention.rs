//! Control daemons that read the register while another one writes a large value.

use crate::saves::{ask, settings, start_with_clock};
use comfreyhold_consensus::register::{
    AddressedRequest, Ballot, DiskId, RegisterRequest, RegisterResponse, RegisterValue,
};
use comfreyhold_fleet::control::Control;
use comfreyhold_fleet::messages::{FleetRequest, FleetResponse};
use comfreyhold_types::clock::SystemClock;
use comfreyhold_types::keys::DomainName;
use comfreyhold_types::routes::{MAX_PUBLICATION_BYTES, RoutePublication, RouteTable, StateChange};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::LocalSet;

/// Newest value that a daemon has learned to be chosen.
async fn chosen(control: &Rc<Control>) -> Arc<RegisterValue> {
    match ask(control, &FleetRequest::Newest(Ballot::default())).await {
        FleetResponse::Newest(Some(value)) => value,
        other => panic!("{other:?}"),
    }
}

/// Writes a value to the disk of one voter, as a proposer does.
async fn write(control: &Rc<Control>, value: &Arc<RegisterValue>, disk: DiskId) {
    let request = RegisterRequest::Accept(Arc::clone(value));
    let vote = FleetRequest::Vote(AddressedRequest { to: disk, request });
    let response = ask(control, &vote).await;
    assert_eq!(response, FleetResponse::Vote(RegisterResponse::Accepted));
}

/// Guards against reads that preempt the write of a large value, which takes longer than they do: with several daemons that
/// read, no value was settled for 20 s, and none of them answered.
#[tokio::test]
async fn a_read_does_not_preempt_the_write_of_a_large_value() {
    LocalSet::new().run_until(check_read_during_write()).await;
}

async fn check_read_during_write() {
    let folders = [crate::folders::data_folder(), crate::folders::data_folder()];
    let daemon_settings = [151, 152].map(|host| {
        let folder = &folders[usize::from(host - 151)];
        settings(host, &[151, 152], folder.path(), "")
    });
    let (first, handle) = start_with_clock(&daemon_settings[0], Arc::new(SystemClock)).await;
    let (second, _handle) = start_with_clock(&daemon_settings[1], Arc::new(SystemClock)).await;
    let table = RouteTable { version: 1, ..RouteTable::default() };
    let document = vec![b' '; MAX_PUBLICATION_BYTES];
    let publication = RoutePublication::new(document, table).unwrap();
    while handle.change_declarations(StateChange::Publish(publication.clone())).await.is_err() {}
    let value = chosen(&first).await;
    let disks: Vec<DiskId> = daemon_settings
        .iter()
        .map(|settings| {
            let address = settings.exchange_address();
            value.voters.current.iter().find(|voter| voter.address == address).unwrap().disk
        })
        .collect();
    // Lower than the ballot that a round of the reader would have.
    let ballot = Ballot { count: value.ballot.count + 1, ..Ballot::default() };
    let written = Arc::new(RegisterValue { ballot, ..RegisterValue::clone(&value) });
    write(&second, &written, disks[1]).await;
    let read = tokio::task::spawn_local(async move { handle.read_publication().await });
    tokio::time::sleep(Duration::from_millis(300)).await;
    write(&first, &written, disks[0]).await;
    assert_eq!(read.await.unwrap(), Ok(Some(publication)));
    assert_eq!(chosen(&first).await.ballot, ballot, "the read has written a value of its own");
}

/// Guards against daemons whose rounds preempt each other as long as a large configuration changes (review/11): a daemon waits
/// while the round of another one may be in progress. An order that its caller waits a second for does not.
#[tokio::test]
async fn a_round_waits_for_that_of_another_daemon_with_a_large_value() {
    LocalSet::new().run_until(check_rounds_in_turn()).await;
}

async fn check_rounds_in_turn() {
    let folder = crate::folders::data_folder();
    let settings = settings(153, &[153], folder.path(), "");
    let (control, handle) = start_with_clock(&settings, Arc::new(SystemClock)).await;
    let large = |version| {
        let table = RouteTable { version, ..RouteTable::default() };
        RoutePublication::new(vec![b' '; MAX_PUBLICATION_BYTES], table).unwrap()
    };
    while handle.change_declarations(StateChange::Publish(large(1))).await.is_err() {}
    let begin_round = async || {
        let value = chosen(&control).await;
        let disk = value.voters.current.first().unwrap().disk;
        let ballot = Ballot { count: value.ballot.count + 9, proposer: DiskId(1), start: 1 };
        let request = RegisterRequest::Prepare { ballot, known: value.ballot };
        let vote = FleetRequest::Vote(AddressedRequest { to: disk, request });
        let response = ask(&control, &vote).await;
        assert!(matches!(response, FleetResponse::Vote(RegisterResponse::Promised { .. })));
    };
    begin_round().await;
    let domain = DomainName::from("b");
    let withdraw = StateChange::Withdraw { domain, out: true };
    assert_eq!(handle.change_declarations(withdraw).await, Ok(()), "it waited for too long");
    begin_round().await;
    let begun = Instant::now();
    assert_eq!(handle.change_declarations(StateChange::Publish(large(2))).await, Ok(()));
    assert!(begun.elapsed() >= Duration::from_secs(1), "it preempted the other round");
    let version = handle.read_publication().await.unwrap().map(|read| read.table.version);
    assert_eq!(version, Some(2));
}
