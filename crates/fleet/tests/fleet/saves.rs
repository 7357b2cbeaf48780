//! What a control daemon has saved when it acknowledges that a target takes no more flows, and odd announcements
//! sent to a running control daemon.

use crate::feed::{announcement, publication};
use comfreyhold_consensus::disk::read_records;
use comfreyhold_fleet::control::voter::saved_targets;
use comfreyhold_fleet::control::{Control, ControlHandle};
use comfreyhold_fleet::messages::{FleetRequest, FleetResponse, TOPIC};
use comfreyhold_fleet::settings::FleetSettings;
use comfreyhold_types::announcement::{
    Announcement, AnnouncementStamp, Availability, MAX_BORN_MS, MAX_COLD_MS, MAX_SEQUENCE,
    MAX_SLOTS,
};
use comfreyhold_types::clock::{Clock, SystemClock};
use comfreyhold_types::keys::TargetId;
use comfreyhold_types::routes::StateChange;
use comfreyhold_wire::envelope::{decode_body, encode_body};
use comfreyhold_wire::exchange::Responder;
use std::net::Ipv4Addr;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tempfile::TempDir;
use tokio::task::LocalSet;

/// Far above the duration of a save; only a fault reaches it.
const SAVE_TIMEOUT: Duration = Duration::from_secs(60);

/// File that holds the saved targets.
const TARGETS_FILE: &str = "targets";

/// Settings of a control daemon whose seeds are those of `seeds`. `host` keeps the tests of this process apart.
/// `{ip}` in the further settings stands for its address.
pub fn settings(host: u8, seeds: &[u8], folder: &Path, further: &str) -> FleetSettings {
    let [.., high, low] = std::process::id().to_be_bytes();
    let ip = |host| Ipv4Addr::new(127, high, low, host);
    let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{}:80\"", ip(*seed))).collect();
    let further = further.replace("{ip}", &ip(host).to_string());
    let text = format!(
        "instance: one\ndomain: a\nip: {}\nexchange_port: 7902\nseeds: [{}]\n\
         first_start: true\nannounce_interval_ms: 60000\ntolerate: {{instances: 0}}\n\
         bounds: {{stop_s: 6}}\ndata_folder: {folder:?}\n{further}",
        ip(host),
        seeds.join(", "),
    );
    FleetSettings::parse(&text).unwrap()
}

/// Starts a control daemon.
pub async fn start_with_clock(
    settings: &FleetSettings,
    clock: Arc<dyn Clock>,
) -> (Rc<Control>, ControlHandle) {
    Control::start(settings.clone(), clock).await.unwrap()
}

/// Publishes routes to the service of the targets.
pub async fn publish(handle: &ControlHandle) {
    handle.change_declarations(StateChange::Publish(publication(1, &[1]))).await.unwrap();
}

/// Starts the only control daemon of a deployment, and publishes routes to the service of the targets.
async fn start(host: u8, folder: &Path) -> (Rc<Control>, ControlHandle) {
    let settings = settings(host, &[host], folder, "");
    let (control, handle) = start_with_clock(&settings, Arc::new(SystemClock)).await;
    publish(&handle).await;
    (control, handle)
}

fn saved_availability(folder: &TempDir, id: u64) -> Option<Availability> {
    let saved = saved_targets(folder.path());
    saved.into_iter().find(|saved| saved.id == TargetId(id)).map(|saved| saved.availability)
}

/// Guards against a target that is used again after a loss of power, although its drain or end was
/// acknowledged: it was only to be saved with the changes of the next second.
#[tokio::test]
async fn an_acknowledged_drain_or_end_is_saved() {
    LocalSet::new().run_until(check_acknowledged_changes()).await;
}

async fn check_acknowledged_changes() {
    let folder = crate::folders::data_folder();
    let (_control, handle) = start(20, folder.path()).await;
    for id in [1, 2] {
        handle.announce(announcement(id, 1, Availability::Serving)).await.unwrap().unwrap();
    }
    handle.announce(announcement(1, 2, Availability::Draining)).await.unwrap().unwrap();
    assert_eq!(saved_availability(&folder, 1), Some(Availability::Draining));
    handle.announce_end(TargetId(2)).await.unwrap();
    assert_eq!(saved_availability(&folder, 2), Some(Availability::Ended));
    // Targets that leave after the first save are added to it, one record each.
    for id in 3..9 {
        handle.announce(announcement(id, 1, Availability::Serving)).await.unwrap().unwrap();
        handle.announce(announcement(id, 2, Availability::Draining)).await.unwrap().unwrap();
        assert_eq!(saved_availability(&folder, id), Some(Availability::Draining));
    }
    let path = folder.path().join(TARGETS_FILE);
    let bytes = std::fs::read(&path).unwrap();
    std::fs::write(&path, &bytes[..bytes.len() - 3]).unwrap();
    assert!(saved_targets(folder.path()).len() >= 2, "an incomplete last record is left out");
}

/// Guards against a target that is used again because it left just after all control daemons had restarted: they
/// knew it only from their files, and acknowledged its end without recording it.
#[tokio::test]
async fn a_target_may_end_before_it_has_repeated_its_announcement() {
    LocalSet::new().run_until(check_end_after_restart()).await;
}

async fn check_end_after_restart() {
    let folder = crate::folders::data_folder();
    let (control, handle) = start(23, folder.path()).await;
    for id in [1, 2, 3] {
        handle.announce(announcement(id, 1, Availability::Serving)).await.unwrap().unwrap();
    }
    // A drain is added to a save that holds the other targets.
    handle.announce(announcement(3, 2, Availability::Draining)).await.unwrap().unwrap();
    assert_eq!(saved_availability(&folder, 1), Some(Availability::Serving));
    let copy = crate::folders::data_folder();
    let saved = std::fs::read(folder.path().join(TARGETS_FILE)).unwrap();
    std::fs::write(copy.path().join(TARGETS_FILE), saved).unwrap();
    control.stop();
    let (restarted, handle) = start(24, copy.path()).await;
    handle.announce_end(TargetId(1)).await.unwrap();
    assert_eq!(saved_availability(&copy, 1), Some(Availability::Ended));
    let end = announcement(2, 1, Availability::Serving).end();
    tell(&restarted, &FleetRequest::Announced(vec![end])).await;
    assert_eq!(saved_availability(&copy, 2), Some(Availability::Ended));
}

/// Sends a request to a daemon as another daemon does, and returns the response.
pub async fn ask(control: &Rc<Control>, request: &FleetRequest) -> FleetResponse {
    let response = Rc::clone(control).respond(TOPIC, encode_body(request).unwrap()).await;
    decode_body(&response.unwrap()).unwrap()
}

/// Sends a request to a daemon as another daemon does.
async fn tell(control: &Rc<Control>, request: &FleetRequest) {
    ask(control, request).await;
}

/// Guards against late and refused news that replace what is known, in the file from which a daemon restarts, and
/// against a file that grows with each repetition.
#[tokio::test]
async fn only_announcements_that_change_a_target_are_saved() {
    LocalSet::new().run_until(check_late_news()).await;
}

async fn check_late_news() {
    let folder = crate::folders::data_folder();
    let (control, handle) = start(25, folder.path()).await;
    let serving = announcement(1, 3, Availability::Serving);
    handle.announce(serving.clone()).await.unwrap().unwrap();
    handle.announce(announcement(2, 1, Availability::Serving)).await.unwrap().unwrap();
    let draining = announcement(2, 2, Availability::Draining);
    handle.announce(draining.clone()).await.unwrap().unwrap();
    assert_eq!(saved_availability(&folder, 1), Some(Availability::Serving));
    // Once the file is written anew, nothing changes any more.
    let path = folder.path().join(TARGETS_FILE);
    let written_anew = async {
        while read_records(&std::fs::read(&path).unwrap()).0.len() > 1 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(SAVE_TIMEOUT, written_anew).await.expect("the file is written anew");
    let saved = std::fs::read(&path).unwrap();
    let odd = Announcement { slots: 0, ..announcement(3, 1, Availability::Draining) };
    for late in [announcement(1, 2, Availability::Draining), draining, odd] {
        tell(&control, &FleetRequest::Announced(vec![late])).await;
    }
    assert_eq!(saved_availability(&folder, 1), Some(Availability::Serving));
    assert_eq!(std::fs::read(&path).unwrap(), saved);
}

/// Guards against a drain that is never acknowledged because the disk is full, and against a save that is not
/// repeated once the disk has room: the file would list the target as one to use.
#[tokio::test]
async fn a_failed_save_is_repeated_and_holds_no_drain_back() {
    LocalSet::new().run_until(check_failed_saves()).await;
}

async fn check_failed_saves() {
    let folder = crate::folders::data_folder();
    let (_control, handle) = start(21, folder.path()).await;
    handle.announce(announcement(1, 1, Availability::Serving)).await.unwrap().unwrap();
    // A folder of this name makes each save fail, as a full disk does. The first save may be done or not.
    let path = folder.path().join(TARGETS_FILE);
    std::fs::remove_file(&path).ok();
    std::fs::create_dir(&path).unwrap();
    handle.announce(announcement(1, 2, Availability::Draining)).await.unwrap().unwrap();
    assert_ne!(saved_availability(&folder, 1), Some(Availability::Draining));
    std::fs::remove_dir(&path).unwrap();
    let saved = async {
        while saved_availability(&folder, 1) != Some(Availability::Draining) {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(SAVE_TIMEOUT, saved).await.expect("the save is repeated");
}

/// Guards against one odd entry among the announcements that takes another target out, draws all flows to
/// itself or ends the control daemon. Odd ones name no target to use, and the others stay as they are.
#[tokio::test]
async fn odd_announcements_are_refused_and_change_nothing() {
    LocalSet::new().run_until(check_odd_announcements()).await;
}

async fn check_odd_announcements() {
    let folder = crate::folders::data_folder();
    let (_control, handle) = start(22, folder.path()).await;
    let fine = announcement(1, 1, Availability::Serving);
    handle.announce(fine.clone()).await.unwrap().unwrap();
    let base = Announcement { id: TargetId(2), ..fine.clone() };
    let stamp = |born_ms, sequence| AnnouncementStamp { born_ms, sequence };
    let address = |text: &str| text.parse().unwrap();
    let odd = [
        Announcement { id: TargetId(0), ..base.clone() },
        Announcement { stamp: stamp(u64::MAX, 1), ..base.clone() },
        Announcement { stamp: stamp(MAX_BORN_MS + 1, 1), ..base.clone() },
        Announcement { stamp: stamp(5, u64::MAX), ..base.clone() },
        Announcement { stamp: stamp(5, MAX_SEQUENCE + 1), ..base.clone() },
        Announcement { slots: u32::MAX, ..base.clone() },
        Announcement { slots: MAX_SLOTS + 1, ..base.clone() },
        Announcement { slots: 0, ..base.clone() },
        Announcement { cold_ms: u64::MAX, ..base.clone() },
        Announcement { cold_ms: MAX_COLD_MS + 1, ..base.clone() },
        Announcement { address: address("10.0.0.1:0"), ..base.clone() },
        Announcement { address: address("0.0.0.0:80"), ..base.clone() },
        Announcement { address: address("255.255.255.255:80"), ..base.clone() },
        Announcement { address: address("224.0.0.1:80"), ..base.clone() },
        Announcement { service: String::new(), ..base.clone() },
        Announcement { service: "x".repeat(256), ..base.clone() },
    ];
    for announcement in odd {
        let refused = handle.announce(announcement.clone()).await.unwrap();
        assert!(refused.is_err(), "{announcement:?}");
    }
    // A service that no publication names may be named soon, so it is not refused.
    let unnamed = Announcement { service: "unnamed".to_owned(), ..base };
    handle.announce(Announcement { stamp: stamp(7, 1), ..unnamed.clone() }).await.unwrap().unwrap();
    let same_id = Announcement { id: fine.id, stamp: stamp(8, 1), ..unnamed };
    handle.announce(same_id).await.unwrap().unwrap();
    handle.record_unreadable("i-7", "no JSON").await;
    handle.announce(Announcement { stamp: stamp(1, 2), ..fine }).await.unwrap().unwrap();
    // A drain waits until everything before it is saved.
    handle.announce(announcement(3, 1, Availability::Serving)).await.unwrap().unwrap();
    handle.announce(announcement(3, 2, Availability::Draining)).await.unwrap().unwrap();
    assert_eq!(saved_availability(&folder, 1), Some(Availability::Serving));
    assert_eq!(saved_availability(&folder, 2), None);
}
