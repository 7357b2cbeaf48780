//! Delays and cuts of a local deployment: proxies between failure domains, and in front of the
//! entries' caller addresses.

use crate::packet::Protocol;
use crate::proxy::{Cut, Faults, Proxy, ProxySettings};
use crate::up::{DaemonKind, DaemonPlan};
use anyhow::Result;
use comfreyhold_types::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};

/// One-way delays.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delays {
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
    /// Receiver.
    pub to: InstanceId,
    /// Address of the proxy.
    pub address: SocketAddr,
}

struct Link {
    from: DomainId,
    to: DomainId,
    proxy: Proxy,
}

/// The proxies of a deployment.
pub struct Links {
    delays: Delays,
    links: Vec<Link>,
    callers: BTreeMap<InstanceId, (SocketAddr, Option<Proxy>)>,
    cut: BTreeSet<DomainId>,
}

impl Links {
    /// Starts the proxies for the daemons.
    ///
    /// # Errors
    /// A port can't be bound.
    pub async fn start(delays: Delays, daemons: &[DaemonPlan]) -> Result<(Self, Vec<LinkPlan>)> {
        let domains: BTreeSet<DomainId> = daemons.iter().map(|d| d.domain).collect();
        let mut links = Vec::new();
        let mut plans = Vec::new();
        for daemon in daemons {
            for from in domains.iter().copied().filter(|from| *from != daemon.domain) {
                let proxy = start(daemon.peer, any_port(), delays.between_domains_us).await?;
                plans.push(LinkPlan { from, to: daemon.instance, address: proxy.address() });
                links.push(Link { from, to: daemon.domain, proxy });
            }
        }
        let mut callers = BTreeMap::new();
        for entry in daemons.iter().filter(|d| d.kind == DaemonKind::Entry) {
            let proxy = start(entry.callers, any_port(), delays.to_callers_us).await?;
            callers.insert(entry.instance, (proxy.address(), Some(proxy)));
        }
        Ok((Self { delays, links, callers, cut: BTreeSet::new() }, plans))
    }

    /// Addresses of the entries for callers.
    #[must_use]
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.callers.values().map(|(address, _)| *address).collect()
    }

    /// Refuses callers' connections to an entry, as a host without its process does.
    pub fn close_caller(&mut self, entry: InstanceId) {
        if let Some((_, proxy)) = self.callers.get_mut(&entry) {
            *proxy = None;
        }
    }

    /// Accepts callers' connections to an entry again.
    ///
    /// # Errors
    /// The address can't be bound again.
    pub async fn open_caller(&mut self, entry: &DaemonPlan) -> Result<()> {
        let Some((address, proxy)) = self.callers.get_mut(&entry.instance) else { return Ok(()) };
        if proxy.is_none() {
            *proxy = Some(start(entry.callers, *address, self.delays.to_callers_us).await?);
        }
        Ok(())
    }

    /// Cuts a failure domain off from the others, or heals the cut.
    pub fn set_cut(&mut self, domain: DomainId, cut: bool) {
        if cut {
            self.cut.insert(domain);
        } else {
            self.cut.remove(&domain);
        }
        for link in &self.links {
            let is_cut = self.cut.contains(&link.from) || self.cut.contains(&link.to);
            let faults = Faults {
                delay_us: self.delays.between_domains_us,
                cut: if is_cut { Cut::Both } else { Cut::None },
                ..Faults::default()
            };
            link.proxy.handle().set_faults(faults);
        }
    }
}

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

async fn start(upstream: SocketAddr, listen: SocketAddr, delay_us: u64) -> Result<Proxy> {
    let settings = ProxySettings::builder()
        .protocol(Protocol::Tcp)
        .upstream(upstream)
        .listen(listen)
        .faults(Faults { delay_us, ..Faults::default() })
        .build();
    Proxy::start(settings).await
}
