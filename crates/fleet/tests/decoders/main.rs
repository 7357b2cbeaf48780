//! Property tests of what daemons and entries read: messages between them, messages about load, and settings.

#![allow(clippy::unwrap_used)]

mod samples;

use comfreyhold_fleet::messages::{FleetRequest, FleetResponse};
use comfreyhold_fleet::settings::FleetSettings;
use comfreyhold_load::book::check_totals;
use comfreyhold_load::messages::{MAX_COUNT, MAX_SERVICES, MAX_TARGETS};
use comfreyhold_load::{LoadBook, LoadReport, LoadSum, SenderStart, TargetLoad, TargetMark};
use comfreyhold_types::codes::ResultCode;
use comfreyhold_wire::envelope::{decode_body, encode_body};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::BTreeSet;
use std::fmt::Debug;
use std::time::{Duration, Instant};

/// Inputs of each property. A failing input is printed and made small.
const INPUTS: u32 = 4_000;

/// Settings with all fields.
const SETTINGS: &str = "
instance: entry-1
domain: a
ip: 10.0.0.1
exchange_port: 7700
exchange_bind: 10.0.0.1:7700
seeds: [\"10.0.0.2:80\", \"10.0.1.2:80\"]
first_start: true
listen: {packets: \"10.0.0.1:80\", readiness: \"10.0.0.1:81\", control: \"10.0.0.1:82\"}
data_folder: /data
announce_interval_ms: 1000
tolerate: {instances: 1}
bounds: {stop_s: 6}
limits: {link_mbps: 1.5}
";

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: INPUTS,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    }
}

/// Replaces, removes or repeats some bytes, flips bits, or cuts the rest off.
fn damage(valid: Vec<u8>) -> impl Strategy<Value = Vec<u8>> {
    let change = (any::<prop::sample::Index>(), any::<u8>(), 0..6_u8);
    prop::collection::vec(change, 1..5).prop_map(move |changes| {
        let mut bytes = valid.clone();
        for (at, byte, kind) in changes {
            if bytes.is_empty() {
                break;
            }
            let at = at.index(bytes.len());
            match kind {
                0 => bytes[at] = byte,
                1 => bytes[at] ^= 1 << (byte % 8),
                2 => bytes.truncate(at),
                3 => bytes.extend_from_within(at..),
                4 => bytes.splice(at..at, [0xff; 9].into_iter().chain([1])).for_each(drop),
                _ => drop(bytes.remove(at)),
            }
        }
        bytes
    })
}

/// Arbitrary bytes, and valid messages with damages.
fn inputs<T: Serialize>(valid: &[T]) -> BoxedStrategy<Vec<u8>> {
    let encoded: Vec<Vec<u8>> = valid.iter().map(|m| encode_body(m).unwrap()).collect();
    let damaged = prop::sample::select(encoded).prop_flat_map(damage);
    let arbitrary = prop::collection::vec(any::<u8>(), 0..200);
    prop_oneof![3 => damaged, 1 => arbitrary].boxed()
}

/// Checks that a body is refused with a code, or accepted and encoded again without loss.
fn check_body<T>(body: &[u8]) -> Result<Option<T>, TestCaseError>
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    let message: T = match decode_body(body) {
        Ok(message) => message,
        Err(error) => {
            prop_assert_eq!(error.code(), ResultCode::BadFrame);
            return Ok(None);
        }
    };
    let again = encode_body(&message).unwrap();
    let decoded: T = decode_body(&again).unwrap();
    prop_assert_eq!(&decoded, &message);
    let longer = [body, &[0]].concat();
    prop_assert!(decode_body::<T>(&longer).is_err(), "a byte after the message is accepted");
    Ok(Some(message))
}

fn is_in_range(targets: &[TargetLoad]) -> bool {
    let counts = |load: &TargetLoad| [load.in_flight, load.answers, load.ratio_sum, load.failures];
    targets.len() <= MAX_TARGETS && targets.iter().flat_map(counts).all(|count| count <= MAX_COUNT)
}

/// Loads of targets with counts and marks as a faulty sender would state them.
fn odd_loads() -> impl Strategy<Value = Vec<TargetLoad>> {
    let count = || prop_oneof![4 => 0..100_u32, 1 => any::<u32>()];
    let load = (prop_oneof![Just(1_u32), any::<u32>()], count(), count(), count(), count());
    let load = load.prop_map(|(mark, in_flight, answers, ratio_sum, failures)| TargetLoad {
        mark: TargetMark(mark),
        in_flight,
        answers,
        ratio_sum,
        failures,
    });
    prop::collection::vec(load, 0..4)
}

/// Whether a message states each target once, with counts in range.
fn is_consistent(targets: &[TargetLoad]) -> bool {
    let marks: BTreeSet<TargetMark> = targets.iter().map(|load| load.mark).collect();
    marks.len() == targets.len() && is_in_range(targets)
}

/// Checks that a message about load is refused with a code, or accepted and added up within the ranges.
fn check_load(request: FleetRequest) -> Result<(), TestCaseError> {
    let now = Instant::now();
    let mut book = LoadBook::new(SenderStart { sender: 100, start: 1 });
    let (is_consistent, result) = match request {
        FleetRequest::Load(Some(report)) => {
            (is_consistent(&report.targets), book.receive_report(*report, now))
        }
        FleetRequest::LoadSum(sum) => (is_consistent(&sum.targets), book.receive_sum(*sum, now)),
        _ => return Ok(()),
    };
    if let Err(error) = result {
        prop_assert!((1..=9).contains(&error.code()));
        return Ok(());
    }
    prop_assert!(is_consistent, "an inconsistent message is accepted");
    for after in [0, 200, 1_600, 60_000] {
        let now = now + Duration::from_millis(after);
        let totals = book.totals(Some(samples::report().from), now);
        prop_assert_eq!(check_totals(&totals), Ok(()));
        prop_assert!(is_in_range(&totals.targets) && totals.services.len() <= MAX_SERVICES);
        let sum: Option<LoadSum> = book.own_sum(now);
        prop_assert!(sum.is_none_or(|sum| is_in_range(&sum.targets)));
    }
    Ok(())
}

proptest! {
    #![proptest_config(config())]

    /// Guards against a request that ends a daemon, or that is taken for another one.
    #[test]
    fn any_request_is_decoded_or_refused(body in inputs(&samples::requests())) {
        if let Some(request) = check_body::<FleetRequest>(&body)? {
            check_load(request)?;
        }
    }

    /// Guards against a response that ends a daemon or an entry, or that is taken for another one.
    #[test]
    fn any_response_is_decoded_or_refused(body in inputs(&samples::responses())) {
        if let Some(FleetResponse::Load(Ok(totals))) = check_body::<FleetResponse>(&body)?
            && check_totals(&totals).is_ok()
        {
            prop_assert!(is_in_range(&totals.targets));
        }
    }

    /// Guards against messages about load that end a daemon or leave counts out of range in its totals.
    #[test]
    fn any_message_about_load_is_added_up_or_refused(body in inputs(&[
        FleetRequest::Load(Some(Box::new(samples::report()))),
        FleetRequest::LoadSum(Box::new(samples::sum())),
    ])) {
        if let Some(request) = check_body::<FleetRequest>(&body)? {
            check_load(request)?;
        }
    }

    /// Guards against counts out of range, and targets that are named twice, in the totals of a daemon.
    #[test]
    fn any_loads_of_targets_are_added_up_or_refused(targets in odd_loads()) {
        let report = LoadReport { targets: targets.clone(), ..samples::report() };
        check_load(FleetRequest::Load(Some(Box::new(report))))?;
        check_load(FleetRequest::LoadSum(Box::new(LoadSum { targets, ..samples::sum() })))?;
    }

    /// Guards against settings that end the process that reads them again while it runs, and against accepted ones
    /// that are out of range.
    #[test]
    fn any_settings_are_read_or_refused(
        text in prop_oneof![damage(SETTINGS.as_bytes().to_vec()), prop::collection::vec(any::<u8>(), 0..200)],
        numbers in prop::option::of((0..5_usize, "-?[0-9]{1,20}|\\.nan|-?\\.inf|1e[0-9]{1,3}")),
    ) {
        let mut text = String::from_utf8_lossy(&text).into_owned();
        if let Some((field, number)) = numbers {
            let fields = ["exchange_port: 7700", "announce_interval_ms: 1000", "instances: 1", "stop_s: 6", "link_mbps: 1.5"];
            let (name, _) = fields[field].split_once(' ').unwrap();
            text = SETTINGS.replace(fields[field], &format!("{name} {number}"));
        }
        if let Ok(settings) = FleetSettings::parse(&text) {
            prop_assert!(!settings.instance.is_empty() && !settings.domain.is_empty());
            prop_assert!(settings.exchange_port > 0 && settings.tolerate.instances <= 4);
            prop_assert_eq!(settings.seed_exchange_addresses().len(), settings.seeds.len());
            prop_assert!(!settings.seeds.is_empty() && !settings.announce_interval().is_zero());
            let wanted = Duration::from_secs(3);
            prop_assert!(!settings.stop_time(wanted).is_zero() && settings.stop_time(wanted) <= wanted);
            let mbps = settings.limits.link_mbps.unwrap_or_default();
            prop_assert!((0.0..=1e6).contains(&mbps), "{}", mbps);
            let link = settings.link();
            prop_assert!(link.is_none_or(|link| link.mbps() > 0.0 && link.mbps() <= 1e6));
            prop_assert_eq!(settings.summary().len(), 6);
        }
    }
}
