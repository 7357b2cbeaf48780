//! `comfreyhold-lab fabric [--entry ADDR]...`
//!
//! Runs a packet fabric until it is stopped.

use super::{Lifetime, lifetime};
use anyhow::Result;
use bpaf::Bpaf;
use comfreyhold_lab::fabric::{Fabric, FabricSettings, PathSettings};
use comfreyhold_lab::lifetime::{StartLine, StopSignals};
use std::net::{Ipv4Addr, SocketAddr};
use std::process::ExitCode;

#[derive(Clone, Debug, Bpaf)]
pub struct Args {
    /// UDP address for packets; port 0 takes a free one
    #[bpaf(argument("ADDR"), fallback(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))))]
    packets: SocketAddr,
    /// Packet address of an entry
    #[bpaf(argument("ADDR"))]
    entry: Vec<SocketAddr>,
    /// Seed of packet distribution, jitter and loss
    #[bpaf(argument("NUMBER"), fallback(0))]
    seed: u64,
    /// Delay of each packet
    #[bpaf(argument("US"), fallback(0))]
    delay_us: u64,
    /// Random extra delay of each packet
    #[bpaf(argument("US"), fallback(0))]
    jitter_us: u64,
    /// Share of packets lost
    #[bpaf(argument("PERCENT"), fallback(0))]
    loss_percent: u8,
    #[bpaf(external(lifetime))]
    lifetime: Lifetime,
}

pub async fn run(args: Args) -> Result<ExitCode> {
    let signals = StopSignals::install()?;
    let path = PathSettings {
        delay_us: args.delay_us,
        jitter_us: args.jitter_us,
        loss_percent: args.loss_percent,
    };
    let settings = FabricSettings::builder()
        .packets(args.packets)
        .entries(args.entry)
        .seed(args.seed)
        .path(path)
        .build();
    let fabric = Fabric::start(settings).await?;
    let addresses = [("packets", fabric.packets()), ("http", fabric.control())];
    StartLine::new("fabric", &addresses).print()?;
    args.lifetime.wait(signals).await;
    Ok(ExitCode::SUCCESS)
}
