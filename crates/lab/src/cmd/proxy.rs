//! `comfreyhold-lab proxy --upstream ADDR [--udp]`
//!
//! Runs a fault-injecting proxy until it is stopped. Its control endpoint sets the faults.

use super::{Lifetime, lifetime};
use anyhow::Result;
use bpaf::Bpaf;
use comfreyhold_lab::lifetime::{StartLine, StopSignals};
use comfreyhold_lab::packet::Protocol;
use comfreyhold_lab::proxy::{Proxy, ProxySettings};
use std::net::{Ipv4Addr, SocketAddr};
use std::process::ExitCode;

#[derive(Clone, Debug, Bpaf)]
pub struct Args {
    /// Address that traffic is forwarded to
    #[bpaf(argument("ADDR"))]
    upstream: SocketAddr,
    /// Address to listen on; port 0 takes a free one
    #[bpaf(argument("ADDR"), fallback(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))))]
    listen: SocketAddr,
    /// Forward UDP datagrams instead of TCP connections
    udp: bool,
    /// Seed of the random faults
    #[bpaf(argument("NUMBER"), fallback(0))]
    seed: u64,
    #[bpaf(external(lifetime))]
    lifetime: Lifetime,
}

pub async fn run(args: Args) -> Result<ExitCode> {
    let signals = StopSignals::install()?;
    let settings = ProxySettings::builder()
        .protocol(if args.udp { Protocol::Udp } else { Protocol::Tcp })
        .upstream(args.upstream)
        .listen(args.listen)
        .seed(args.seed)
        .build();
    let mut proxy = Proxy::start(settings).await?;
    let control = proxy.serve_control(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).await?;
    StartLine::new("proxy", &[("proxy", proxy.address()), ("http", control)]).print()?;
    args.lifetime.wait(signals).await;
    Ok(ExitCode::SUCCESS)
}
