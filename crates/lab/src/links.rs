//! Delayed and blocked links of a local deployment: proxies between failure domains, and in front of
//! the entries' caller addresses.

use crate::packet::Protocol;
use crate::proxy::{Cut, Faults, Proxy, ProxySettings};
use crate::up::{DaemonKind, DaemonPlan};
use anyhow::Result;
use comfreyhold_types::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};

/// One-way delays of the links.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkDelays {
    /// Between daemons in different failure domains, in microseconds.
    pub between_domains_us: u64,
    /// Between callers and entries, in microseconds.
    pub to_callers_us: u64,
}

/// Address at which daemons of a failure domain reach a daemon of another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkPlan {
    /// Failure domain of the senders.
    pub from: DomainId,
    /// Receiving daemon.
    pub to: InstanceId,
    /// Address of the proxy in front of the receiver.
    pub address: SocketAddr,
}

struct DomainLink {
    from: DomainId,
    to: DomainId,
    proxy: Proxy,
}

/// The proxies of a deployment.
pub struct LinkProxies {
    delays: LinkDelays,
    domain_links: Vec<DomainLink>,
    /// Caller address of each entry; its proxy is absent while connections are refused.
    caller_proxies: BTreeMap<InstanceId, (SocketAddr, Option<Proxy>)>,
    isolated: BTreeSet<DomainId>,
}

impl LinkProxies {
    /// Starts the proxies for the daemons, and returns them with the addresses that daemons of each
    /// failure domain connect to.
    ///
    /// # Errors
    /// A port can't be bound.
    pub async fn start(
        delays: LinkDelays,
        daemons: &[DaemonPlan],
    ) -> Result<(Self, Vec<LinkPlan>)> {
        let domains: BTreeSet<DomainId> = daemons.iter().map(|d| d.domain).collect();
        let mut domain_links = Vec::new();
        let mut plans = Vec::new();
        for daemon in daemons {
            for from in domains.iter().copied().filter(|from| *from != daemon.domain) {
                let proxy =
                    start_proxy(daemon.peer, any_loopback_port(), delays.between_domains_us)
                        .await?;
                plans.push(LinkPlan { from, to: daemon.instance, address: proxy.address() });
                domain_links.push(DomainLink { from, to: daemon.domain, proxy });
            }
        }
        let mut caller_proxies = BTreeMap::new();
        for entry in daemons.iter().filter(|d| d.kind == DaemonKind::Entry) {
            let proxy =
                start_proxy(entry.callers, any_loopback_port(), delays.to_callers_us).await?;
            caller_proxies.insert(entry.instance, (proxy.address(), Some(proxy)));
        }
        Ok((Self { delays, domain_links, caller_proxies, isolated: BTreeSet::new() }, plans))
    }

    /// Addresses at which callers connect to the entries.
    #[must_use]
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.caller_proxies.values().map(|(address, _)| *address).collect()
    }

    /// Refuses callers' connections to an entry, as the system does when its process has ended.
    pub fn refuse_callers(&mut self, entry: InstanceId) {
        if let Some((_, proxy)) = self.caller_proxies.get_mut(&entry) {
            *proxy = None;
        }
    }

    /// Accepts callers' connections to an entry again.
    ///
    /// # Errors
    /// The address can't be bound again.
    pub async fn accept_callers(&mut self, entry: &DaemonPlan) -> Result<()> {
        let Some((address, proxy)) = self.caller_proxies.get_mut(&entry.instance) else {
            return Ok(());
        };
        if proxy.is_none() {
            *proxy = Some(start_proxy(entry.callers, *address, self.delays.to_callers_us).await?);
        }
        Ok(())
    }

    /// Blocks the links between a failure domain and the others, or restores them.
    pub fn set_isolated(&mut self, domain: DomainId, isolated: bool) {
        if isolated {
            self.isolated.insert(domain);
        } else {
            self.isolated.remove(&domain);
        }
        for link in &self.domain_links {
            let is_blocked = self.isolated.contains(&link.from) || self.isolated.contains(&link.to);
            let faults = Faults {
                delay_us: self.delays.between_domains_us,
                cut: if is_blocked { Cut::Both } else { Cut::None },
                ..Faults::default()
            };
            link.proxy.handle().set_faults(faults);
        }
    }
}

fn any_loopback_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

async fn start_proxy(upstream: SocketAddr, listen: SocketAddr, delay_us: u64) -> Result<Proxy> {
    let settings = ProxySettings::builder()
        .protocol(Protocol::Tcp)
        .upstream(upstream)
        .listen(listen)
        .faults(Faults { delay_us, ..Faults::default() })
        .build();
    Proxy::start(settings).await
}
