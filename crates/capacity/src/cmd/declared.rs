//! `comfreyhold-capacity declared`
//!
//! Prints, by size, the encoded size and resident memory of the declarations, the processor time of
//! cloning them and of applying one change, and the encoded size of a change. `--targets` and `--services`
//! choose one size. Resident memory is only valid for the first size that a process measures, since later
//! ones reuse freed memory.

use crate::network::encoded_bytes;
use crate::procfs;
use crate::sample;
use anyhow::Result;
use bpaf::Bpaf;
use comfreyhold_consensus::durable::Snapshot;
use comfreyhold_consensus::message::Position;
use comfreyhold_types::prelude::*;
use std::hint::black_box;

/// Clones that the resident memory of one is averaged over.
const CLONES: u64 = 32;

#[derive(Clone, Debug, Bpaf)]
pub struct Args {
    /// Number of targets; without it, all sizes of docs/CAPACITY.md are measured
    #[bpaf(argument("N"))]
    targets: Option<u32>,
    /// Number of services; used with --targets only
    #[bpaf(argument("N"), fallback(100))]
    services: u16,
}

pub fn run(args: &Args) -> Result<()> {
    println!("one publication: {} bytes", encoded_bytes(&sample::profile_change(550)));
    println!("one target: {} bytes", encoded_bytes(&sample::target_change(1, 570, 1)));
    if let Some(targets) = args.targets {
        return measure_size(targets, args.services);
    }
    for targets in [10, 430, 4_300] {
        for services in [20, 100, 570] {
            measure_size(targets, services)?;
        }
    }
    Ok(())
}

fn measure_size(targets: u32, services: u16) -> Result<()> {
    let mut state = sample::declarations(targets, services);
    let position = Position { term: Term(1), index: state.revision };
    let snapshot_bytes = Snapshot::encode(position, &state).bytes.len();
    let clone_all = || -> Vec<Declarations> { (0..CLONES).map(|_| state.clone()).collect() };
    let (clones, resident_kb) = procfs::resident_growth_kb(clone_all)?;
    drop(clones);
    let clone_cpu = procfs::cpu_per_call(|| drop(black_box(state.clone())))?;
    let mut incarnation = 1;
    let target_cpu = procfs::cpu_per_call(|| {
        incarnation += 1;
        let revision = Revision(state.revision.0 + 1);
        black_box(state.apply(revision, &sample::target_change(0, services, incarnation)));
    })?;
    let mut version = 1;
    let publication_cpu = procfs::cpu_per_call(|| {
        version += 1;
        let revision = Revision(state.revision.0 + 1);
        black_box(state.apply(revision, &sample::profile_change(version)));
    })?;
    println!(
        "declared {targets:>4} targets {services:>3} services: snapshot {snapshot_bytes:>6} B, memory {:>5} KB, clone {clone_cpu:>9.1?}, target change {target_cpu:>7.1?}, publication {publication_cpu:>7.1?}",
        resident_kb / CLONES,
    );
    Ok(())
}
