//! `comfreyhold-lab target --service NAME [--entry ADDR]... [--fabric ADDR]`
//!
//! Runs a target until it is stopped. On SIGTERM it drains first.

use super::{Lifetime, lifetime};
use anyhow::Result;
use bpaf::Bpaf;
use comfreyhold_lab::lifetime::{StartLine, StopSignals};
use comfreyhold_lab::service_time::ServiceTime;
use comfreyhold_lab::target::{ColdOverload, ColdStart, Target, TargetSettings};
use comfreyhold_types::prelude::*;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::process::ExitCode;
use std::time::Duration;

/// The target ends after this time even if requests are still running.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(10);

#[derive(Clone, Debug, Bpaf)]
pub struct Args {
    /// Service name
    #[bpaf(argument("NAME"))]
    service: String,
    /// Failure domain number
    #[bpaf(argument("NUMBER"), fallback(0))]
    domain: u16,
    /// Loopback address to listen on; port 0 takes a free one
    #[bpaf(argument("ADDR"), fallback(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0)))]
    listen: SocketAddrV4,
    /// Requests that the target runs at once
    #[bpaf(argument("COUNT"), fallback(2))]
    slots: u16,
    /// Incarnation, higher at each start
    #[bpaf(argument("NUMBER"), fallback(1))]
    incarnation: u64,
    /// Length of the announced lease
    #[bpaf(argument("MS"), fallback(3_000))]
    lease_ms: u64,
    /// HTTP address of an entry to announce to
    #[bpaf(argument("ADDR"))]
    entry: Vec<SocketAddr>,
    /// Packet address of the fabric
    #[bpaf(argument("ADDR"))]
    fabric: Option<SocketAddr>,
    /// Seed of service times and refusals
    #[bpaf(argument("NUMBER"), fallback(0))]
    seed: u64,
    /// constant:MS, exponential:MEAN_MS or lognormal:MEDIAN_MS:SIGMA
    #[bpaf(argument("DISTRIBUTION"), fallback(ServiceTime::Constant(20.0)))]
    service_time: ServiceTime,
    /// Start cold
    start_cold: bool,
    /// Time until a cold target is warm
    #[bpaf(argument("MS"), fallback(10_000))]
    cold_ms: u64,
    /// Requests that a cold target can run at once
    #[bpaf(argument("COUNT"), fallback(1))]
    cold_running: u16,
    /// Request starts per second that a cold target can handle
    #[bpaf(argument("COUNT"), fallback(5))]
    cold_per_s: usize,
    /// How a cold target handles further requests: refuse or slow
    #[bpaf(argument("ACTION"), fallback(ColdOverload::Refuse))]
    cold_overload: ColdOverload,
    /// Refuse requests while this many are running
    #[bpaf(argument("COUNT"))]
    shed_above: Option<u16>,
    /// Share of requests refused at random
    #[bpaf(argument("PERCENT"), fallback(0))]
    refuse_percent: u8,
    /// Filler bytes in a response
    #[bpaf(argument("BYTES"), fallback(256))]
    response_bytes: usize,
    #[bpaf(external(lifetime))]
    lifetime: Lifetime,
}

pub async fn run(args: Args) -> Result<ExitCode> {
    let signals = StopSignals::install()?;
    let lifetime = args.lifetime.clone();
    let target = Target::start(settings(args)).await?;
    let address = SocketAddr::from(target.address());
    StartLine::new("target", &[("http", address), ("packets", address)]).print()?;
    lifetime.wait(signals).await;
    target.stop(DRAIN_TIMEOUT).await;
    Ok(ExitCode::SUCCESS)
}

fn settings(args: Args) -> TargetSettings {
    let cold = ColdStart::builder()
        .duration_ms(args.cold_ms)
        .bears_running(args.cold_running)
        .bears_per_s(args.cold_per_s)
        .overload(args.cold_overload)
        .build();
    TargetSettings::builder()
        .service(args.service)
        .domain(DomainId(args.domain))
        .listen(args.listen)
        .slots(args.slots)
        .incarnation(Incarnation(args.incarnation))
        .lease(Duration::from_millis(args.lease_ms))
        .entries(args.entry)
        .maybe_fabric(args.fabric)
        .seed(args.seed)
        .service_time(args.service_time)
        .cold(cold)
        .start_cold(args.start_cold)
        .maybe_shed_above(args.shed_above)
        .refuse_percent(args.refuse_percent)
        .response_bytes(args.response_bytes)
        .build()
}
