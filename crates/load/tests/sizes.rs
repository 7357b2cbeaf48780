//! Encoded sizes of the messages about load, and the traffic that follows from them at several sizes of deployments.
//! `cargo test -p comfreyhold-load --test sizes -- --nocapture` prints the figures of `docs/design/shared-load.md`.

mod support;

use comfreyhold_load::messages::VERSION;
use comfreyhold_load::{
    LoadBook, LoadReport, LoadTotals, ServiceDemand, ServiceId, TargetLoad, TargetMark,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Instant;
use support::{INTERVAL_MS, domain, sender};

/// Messages of each kind a second.
const PER_S: usize = 4;

/// Interval of the idle poll, in seconds.
const IDLE_S: f64 = 5.0;

/// A deployment in a burst in which each entry has requests at `active` targets in an interval.
struct Deployment {
    entries: usize,
    daemons: usize,
    domains: usize,
    targets: usize,
    active: usize,
}

const DEPLOYMENTS: [Deployment; 3] = [
    Deployment { entries: 23, daemons: 8, domains: 4, targets: 150, active: 60 },
    Deployment { entries: 63, daemons: 6, domains: 3, targets: 150, active: 22 },
    Deployment { entries: 300, daemons: 12, domains: 4, targets: 700, active: 22 },
];

fn report(rng: &mut StdRng, marks: &[u32], active: usize, entry: usize, d: usize) -> LoadReport {
    let first = rng.random_range(0..marks.len());
    let load = |mark: u32, rng: &mut StdRng| {
        let answers = rng.random_range(1..8);
        TargetLoad {
            mark: TargetMark(mark),
            in_flight: rng.random_range(1..32),
            answers,
            ratio_sum: answers * rng.random_range(12..48),
            failures: u32::from(rng.random_range(0..10) == 0),
        }
    };
    let service = |id| ServiceDemand { service: ServiceId(id), openings: 40, in_flight: 64 };
    LoadReport {
        version: VERSION,
        from: sender(rng.random(), 1_796_000_000_000),
        number: 5_000,
        domain: domain(&format!("domain-{}", entry % d)),
        interval_ms: INTERVAL_MS,
        under_pressure: true,
        targets: (0..active).map(|n| load(marks[(first + n) % marks.len()], rng)).collect(),
        services: vec![service(0x9abc_def0), service(0x7654_3210)],
    }
}

fn size(message: &impl serde::Serialize) -> usize {
    postcard::to_stdvec(message).expect("messages can be encoded").len()
}

/// Guards against messages that grow beyond what small links can carry: a target takes at most 12 bytes, and an entry
/// sends and receives at most a twelfth of a link of 1.5 Mbit/s in a deployment of 63 entries.
#[test]
fn messages_are_small() {
    for d in &DEPLOYMENTS {
        let mut rng = StdRng::seed_from_u64(1);
        let now = Instant::now();
        let marks: Vec<u32> = (0..d.targets).map(|_| rng.random()).collect();
        let mut books: Vec<_> =
            (0..d.daemons).map(|id| LoadBook::new(sender(rng.random(), id as u64))).collect();
        let mut reports = 0;
        for entry in 0..d.entries {
            let report = report(&mut rng, &marks, d.active, entry, d.domains);
            reports += size(&report);
            let empty = LoadReport { targets: Vec::new(), ..report.clone() };
            let per_target = (size(&report) - size(&empty)) as f64 / d.active as f64;
            assert!((8.0..12.0).contains(&per_target), "{per_target} bytes for a target");
            books[entry % d.daemons].receive_report(report, now).unwrap();
        }
        let report = reports / d.entries;
        let sums: Vec<_> = books.iter_mut().map(|book| book.own_sum(now).unwrap()).collect();
        let sum = sums.iter().map(size).sum::<usize>() / d.daemons;
        for sum in &sums[1..] {
            books[0].receive_sum(sum.clone(), now).unwrap();
        }
        let totals = books[0].totals(Some(sender(0, 1)), now);
        assert_eq!((totals.entries as usize, totals.targets.len()), (d.entries, d.targets));
        let idle = size(&LoadTotals { version: VERSION, ..LoadTotals::default() });
        print_traffic(d, [report, sum, size(&totals), idle]);
        if d.entries == 63 {
            assert!((report + size(&totals)) * PER_S <= 1_500_000 / 8 / 12);
        }
    }
}

/// Prints the traffic in bytes a second, of message bodies only.
fn print_traffic(d: &Deployment, [report, sum, totals, idle]: [usize; 4]) {
    let (entries, daemons) = (d.entries, d.daemons);
    let own = entries.div_ceil(daemons);
    println!(
        "{entries} entries, {daemons} daemons, {} targets: report {report} B, sum {sum} B, totals {totals} B, \
         idle response {idle} B",
        d.targets
    );
    // A request for the idle poll is a variant number and an empty option.
    println!(
        "  idle: entry {:.1}, daemon {:.1}",
        (2 + idle) as f64 / IDLE_S,
        (own * (2 + idle)) as f64 / IDLE_S
    );
    println!(
        "  through daemons: entry out {}, in {}; daemon out {}, in {}; between daemons in all {}",
        PER_S * report,
        PER_S * totals,
        PER_S * (own * totals + (daemons - 1) * sum),
        PER_S * (own * report + (daemons - 1) * sum),
        PER_S * daemons * (daemons - 1) * sum,
    );
    let between = daemons - daemons / d.domains;
    println!("    of it between domains {}", PER_S * daemons * between * sum);
    let mesh = PER_S * (entries - 1) * report;
    let remote = entries - entries / d.domains;
    println!(
        "  mesh: entry out {mesh}, in {mesh}; between domains in all {}",
        PER_S * entries * remote * report
    );
    let own_domain = entries.div_ceil(d.domains);
    println!(
        "  relay: entry out {}, in {}; relaying entry out {}, in {}",
        PER_S * report,
        PER_S * totals,
        PER_S * ((own_domain - 1) * totals + (d.domains - 1) * sum),
        PER_S * ((own_domain - 1) * report + (d.domains - 1) * sum),
    );
    println!(
        "  gossip to 3: entry out {}, in {}",
        PER_S * 3 * entries * report,
        PER_S * 3 * entries * report
    );
    println!("  news: entry in {} from two daemons", PER_S * 2 * totals);
}
