//! Cost of one acquire and its release at a dispatcher, by number of targets.

use comfreyhold_request::dispatcher::{Action, Dispatcher, DispatcherConfig, Event};
use comfreyhold_request::message::{AttemptId, Message, Pool, RequestId, SlotOutcome};
use comfreyhold_types::prelude::*;
use criterion::{BenchmarkId, Criterion};
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

const POOL: Pool = Pool { service: ServiceId(1), domain: DomainId(1) };

const ENTRY: InstanceId = InstanceId(1);

fn target(number: u32) -> TargetRecord {
    let address = SocketAddr::from((Ipv4Addr::from(0x0a00_0000 + number), 80));
    TargetRecord {
        service: "orders".to_owned(),
        address,
        domain: POOL.domain,
        slots: 2,
        incarnation: Incarnation(1),
        state: TargetState::Serving,
    }
}

fn dispatcher(targets: u32, now: Instant) -> Dispatcher {
    let profile = Profile::builder().name("orders").build();
    let cfg = DispatcherConfig { pool: POOL, instance: ENTRY, epoch: 1, profile };
    let mut dispatcher = Dispatcher::new(cfg, now);
    dispatcher.handle(now, Event::Targets((0..targets).map(target).collect()));
    let (live, failed, cold) = (BTreeSet::new(), BTreeSet::new(), BTreeSet::new());
    dispatcher.handle(now, Event::Takeover { lease_ends: now, live, failed, cold });
    dispatcher
}

fn acquire_release(dispatcher: &mut Dispatcher, now: Instant, number: u64) -> usize {
    let request = RequestId { entry: ENTRY, incarnation: Incarnation(1), number };
    let acquire = Message::Acquire {
        attempt: AttemptId { request, number: 1 },
        pool: POOL,
        priority: Priority::High,
        remaining: Duration::from_secs(10),
        may_redirect: true,
    };
    let actions = dispatcher.handle(now, Event::Message(ENTRY, acquire));
    let granted = actions.iter().find_map(|action| match action {
        Action::Send(_, Message::Grant { grant, .. }) => Some(*grant),
        _ => None,
    });
    let Some(grant) = granted else { return 0 };
    let outcome = SlotOutcome::Answered { took: Duration::from_millis(20) };
    let release = Message::Release { pool: POOL, grant, outcome };
    dispatcher.handle(now, Event::Message(ENTRY, release)).len()
}

fn bench(c: &mut Criterion) {
    let mut group = c.benchmark_group("acquire_release");
    group.sample_size(20);
    group.warm_up_time(Duration::from_millis(300));
    group.measurement_time(Duration::from_secs(1));
    for targets in [10, 100, 1_000, 4_300] {
        let start = Instant::now();
        let mut dispatcher = dispatcher(targets, start);
        let mut number = 0;
        group.bench_function(BenchmarkId::from_parameter(targets), |b| {
            b.iter(|| {
                number += 1;
                let now = start + Duration::from_micros(number * 100);
                acquire_release(&mut dispatcher, now, number)
            });
        });
        assert!(number > 0, "no iteration ran");
    }
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    bench(&mut criterion);
    criterion.final_summary();
}
