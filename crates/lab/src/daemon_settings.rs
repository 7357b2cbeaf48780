//! Builds the settings files of the daemons of a local deployment.

use crate::up::{DaemonKind, DaemonPlan, Plan};
use anyhow::Result;
use comfreyhold_daemon::settings::{EntrySettings, LogSettings, Member, Role, Settings};
use comfreyhold_types::prelude::DomainId;
use std::collections::{BTreeMap, BTreeSet};

const FLOW_SECRET: &str = "local deployment, no secret";

/// Renders the settings file of a daemon as YAML.
///
/// # Errors
/// The settings can't be serialized.
pub fn render(plan: &Plan, daemon: &DaemonPlan) -> Result<String> {
    Ok(serde_yaml_ng::to_string(&settings(plan, daemon))?)
}

/// Settings of a daemon, as its settings file holds them.
#[must_use]
pub fn settings(plan: &Plan, daemon: &DaemonPlan) -> Settings {
    let entry = (daemon.kind == DaemonKind::Entry).then(|| EntrySettings {
        http: daemon.callers,
        packets: daemon.packets,
        fabric: plan.fabric,
        streams: Vec::new(),
        packet_threads: 1,
        allowed_domains: BTreeSet::new(),
        flow_secret: FLOW_SECRET.to_owned(),
    });
    Settings {
        instance: daemon.instance,
        domains: domain_names(plan),
        members: plan.daemons.iter().map(|other| member(plan, daemon, other)).collect(),
        entry,
        data_folder: (daemon.kind == DaemonKind::Control).then(|| daemon.data.clone()),
        bootstrap: true,
        log: LogSettings::default(),
    }
}

fn domain_names(plan: &Plan) -> BTreeMap<DomainId, String> {
    (1..=plan.settings.domains).map(|id| (DomainId(id), format!("domain-{id}"))).collect()
}

/// The member record of `daemon` in the settings of `viewer`. Daemons in other failure domains are
/// reached through a link.
fn member(plan: &Plan, viewer: &DaemonPlan, daemon: &DaemonPlan) -> Member {
    let mut links = plan.links.iter();
    let link = links.find(|link| link.from == viewer.domain && link.to == daemon.instance);
    Member {
        instance: daemon.instance,
        name: daemon.name.clone(),
        role: match daemon.kind {
            DaemonKind::Entry => Role::Entry,
            DaemonKind::Control => Role::Control,
        },
        domain: daemon.domain,
        peer: link.map_or(daemon.peer, |link| link.address),
        admin: daemon.http,
    }
}
