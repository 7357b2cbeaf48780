//! The shipped deployment files, and the links between failure domains.

use comfreyhold_lab::daemon_settings;
use comfreyhold_lab::deployments::ShippedDeployment;
use comfreyhold_lab::links::{LinkDelays, LinkProxies};
use comfreyhold_lab::report::TimelineStep;
use comfreyhold_lab::trial_report::{count_difference, per_second};
use comfreyhold_lab::up::{DaemonKind, DaemonPlan, Plan};
use comfreyhold_types::api::{CountRow, CountsReply};
use comfreyhold_types::declarations::Content;
use comfreyhold_types::document;
use comfreyhold_types::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::Path;

fn shipped() -> [ShippedDeployment; 2] {
    [ShippedDeployment::Braga, ShippedDeployment::VelarioSul]
}

/// Guards against a deployment file that refers to a profile or service that is not shipped.
#[test]
fn deployment_files_match_the_shipped_profiles() {
    for shipped in shipped() {
        let file = shipped.parse_file().unwrap();
        let publications = document::parse(shipped.profiles(), "test").unwrap();
        let profiles: BTreeSet<String> = publications.iter().map(|p| p.content.subject()).collect();
        for service in &file.services {
            let profile = format!("profile/{}", service.profile);
            assert!(profiles.contains(&profile), "{shipped}: {profile}");
        }
        let services: BTreeSet<&str> = file.services.iter().map(|s| s.name.as_str()).collect();
        let loads = file.requests.iter().map(|kind| kind.service.as_str());
        assert!(
            loads
                .chain(file.flows.iter().map(|f| f.service.as_str()))
                .all(|s| services.contains(s))
        );
        let declared = document::parse(&file.service_documents(), "test").unwrap();
        assert!(declared.iter().all(|p| matches!(p.content, Content::Service(_))));
        assert_eq!(declared.len(), file.services.len());
    }
}

/// Guards against flow groups or loads with overlapping caller addresses: their flows would be confused
/// and reported as broken.
#[test]
fn flow_loads_use_distinct_caller_addresses() {
    let file = ShippedDeployment::Braga.parse_file().unwrap();
    let fabric = SocketAddr::from(([127, 0, 0, 1], 1));
    let loads = [0, 1].map(|part| file.flow_loads(fabric, part));
    let callers: BTreeSet<_> = loads.iter().flatten().map(|load| load.caller).collect();
    assert_eq!(callers.len(), 2 * file.flows.len());
}

fn daemon_plan(number: u16, domain: u16) -> DaemonPlan {
    let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
    DaemonPlan {
        kind: DaemonKind::Entry,
        name: format!("entry-{number}"),
        instance: InstanceId(number),
        domain: DomainId(domain),
        peer: address(1_000 + number),
        http: address(2_000 + number),
        callers: address(3_000 + number),
        packets: address(4_000 + number),
        data: Path::new("data").to_owned(),
    }
}

/// Guards against daemons that connect to other failure domains directly, where a blocked link has no
/// effect.
#[tokio::test]
async fn daemons_reach_other_domains_through_links_only() {
    let daemons = vec![daemon_plan(1, 1), daemon_plan(2, 1), daemon_plan(3, 2)];
    let (_links, links) = LinkProxies::start(LinkDelays::default(), &daemons).await.unwrap();
    let settings = ShippedDeployment::Braga.parse_file().unwrap().up_settings(Path::new("bin"), 1);
    let fabric = SocketAddr::from(([127, 0, 0, 1], 1));
    let plan = Plan { fabric, fabric_control: fabric, daemons, settings, links };
    let rendered = daemon_settings::settings(&plan, &plan.daemons[0]);
    let peers: Vec<_> = rendered.members.iter().map(|member| member.peer).collect();
    assert_eq!(peers[..2], [plan.daemons[0].peer, plan.daemons[1].peer]);
    assert_ne!(peers[2], plan.daemons[2].peer);
    assert!(plan.links.iter().any(|link| link.address == peers[2]));
}

/// Guards against counts of an earlier load that are included in those of the measured load.
#[test]
fn counts_are_differences_between_replies() {
    let reply = |count| CountsReply {
        rows: vec![CountRow { service: "orders".to_owned(), code: 0, count }],
        gaps: Vec::new(),
    };
    let expected = BTreeMap::from([("orders".to_owned(), BTreeMap::from([(0, 5)]))]);
    assert_eq!(count_difference(&reply(7), &reply(12)), expected);
}

/// Guards against a ramp report that leaves out the refusals of an incomplete last second.
#[test]
fn steps_are_summed_by_second() {
    let steps = vec![TimelineStep { refused: 1, ..TimelineStep::default() }; 6];
    let seconds = per_second(&steps);
    assert_eq!(seconds.iter().map(|s| s.refused).collect::<Vec<_>>(), [4, 2]);
}
