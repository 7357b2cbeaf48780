//! Generates declarations of a given size, with targets spread evenly over services and failure domains.

use comfreyhold_types::declarations::{Content, Publication, ServiceSpec, TargetBatch};
use comfreyhold_types::prelude::*;
use std::net::{Ipv4Addr, SocketAddr};

/// Number of failure domains of the largest deployment that the system is designed for.
pub const DOMAIN_COUNT: u16 = 11;

/// Deployment sizes as numbers of targets and services.
pub const DEPLOYMENT_SIZES: [(u32, u16); 4] = [(10, 2), (430, 57), (1_500, 200), (4_300, 570)];

/// Target number `number`; it belongs to service number `number % services`.
pub fn target_record(number: u32, services: u16) -> TargetRecord {
    TargetRecord {
        service: service_name((number % u32::from(services.max(1))) as u16),
        address: SocketAddr::from((Ipv4Addr::from(0x0a00_0000 + number), 8_080)),
        domain: DomainId((number / u32::from(services.max(1))) as u16 % DOMAIN_COUNT + 1),
        slots: 2,
        incarnation: Incarnation(1_790_000_000_000),
        state: TargetState::Serving,
    }
}

pub fn service_name(number: u16) -> String {
    format!("service-{number}")
}

/// Command that publishes version `version` of the profile `orders`.
pub fn profile_change(version: u64) -> Command {
    let profile = Profile::builder().name("orders").deadline_ms(10 + version).build();
    publish_command(version, Content::Profile(profile))
}

/// Command that adds target number `number`, or updates it under a new incarnation.
pub fn target_change(number: u32, services: u16, incarnation_offset: u64) -> Command {
    let mut record = target_record(number, services);
    record.incarnation = Incarnation(record.incarnation.0 + incarnation_offset);
    Command::Targets(TargetBatch { upserts: vec![record], removals: Vec::new() })
}

fn publish_command(version: u64, content: Content) -> Command {
    Command::Publish(Publication { version, operator: "ana".to_owned(), content })
}

/// Declarations with one profile and the given numbers of services and targets.
pub fn declarations(targets: u32, services: u16) -> Declarations {
    let mut state = Declarations::default();
    let mut commands = vec![profile_change(1)];
    for number in 0..services {
        let [high, low] = number.to_be_bytes();
        let spec = ServiceSpec {
            name: service_name(number),
            address: SocketAddr::from((Ipv4Addr::new(10, 200, high, low), 443)),
            profile: "orders".to_owned(),
        };
        commands.push(publish_command(1, Content::Service(spec)));
    }
    let upserts = (0..targets).map(|number| target_record(number, services)).collect();
    commands.push(Command::Targets(TargetBatch { upserts, removals: Vec::new() }));
    for (revision, command) in (1..).zip(&commands) {
        state.apply(Revision(revision), command);
    }
    state
}
