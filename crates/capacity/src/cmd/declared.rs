//! `comfreyhold-capacity declared`
//!
//! Prints, by size, the encoded state, its resident memory, the processor time of a clone and of
//! applying one change, and the encoded size of changes. `--targets` and `--services` choose one size. Resident
//! memory is only valid for the first size of a process, since later ones reuse freed memory.

use crate::links::encoded;
use crate::procfs;
use crate::sample;
use anyhow::Result;
use bpaf::Bpaf;
use comfreyhold_consensus::durable::Snapshot;
use comfreyhold_consensus::message::Position;
use comfreyhold_types::prelude::*;
use std::hint::black_box;

/// Copies whose resident memory is divided by their number.
const COPIES: u64 = 32;

#[derive(Clone, Debug, Bpaf)]
pub struct Args {
    /// Targets; all sizes of the page where none is given
    #[bpaf(argument("N"))]
    targets: Option<u32>,
    /// Services
    #[bpaf(argument("N"), fallback(100))]
    services: u16,
}

pub fn run(args: &Args) -> Result<()> {
    println!("one publication: {} bytes", encoded(&sample::profile_change(550)));
    println!("one target: {} bytes", encoded(&sample::target_change(1, 570, 1)));
    if let Some(targets) = args.targets {
        return measure(targets, args.services);
    }
    for targets in [10, 430, 4_300] {
        for services in [20, 100, 570] {
            measure(targets, services)?;
        }
    }
    Ok(())
}

fn measure(targets: u32, services: u16) -> Result<()> {
    let mut state = sample::declarations(targets, services);
    let at = Position { term: Term(1), index: state.revision };
    let snapshot = Snapshot::encode(at, &state).bytes.len();
    let copies = || -> Vec<Declarations> { (0..COPIES).map(|_| state.clone()).collect() };
    let (held, resident) = procfs::resident_of(copies)?;
    drop(held);
    let clone = procfs::repeated(|| drop(black_box(state.clone())))?;
    let mut version = 1;
    let apply = procfs::repeated(|| {
        version += 1;
        let revision = Revision(state.revision.0 + 1);
        black_box(state.apply(revision, &sample::target_change(0, services, version)));
    })?;
    let mut published = 1;
    let publish = procfs::repeated(|| {
        published += 1;
        let revision = Revision(state.revision.0 + 1);
        black_box(state.apply(revision, &sample::profile_change(published)));
    })?;
    println!(
        "declared {targets:>4} targets {services:>3} services: snapshot {snapshot:>6} B, memory {:>5} KB, clone {clone:>9.1?}, target change {apply:>7.1?}, publication {publish:>7.1?}",
        resident / COPIES,
    );
    Ok(())
}
