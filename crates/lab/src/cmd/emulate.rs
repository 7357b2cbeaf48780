//! `comfreyhold-lab emulate [--entries N] [--targets N] [--pattern NAME] [--plot FILE]`
//!
//! Compares placement schemes in virtual time: each runs the same load and prints one row.

use anyhow::Result;
use bpaf::Bpaf;
use comfreyhold_lab::emulator::{self, Outcomes, Pattern, SchemeName, Settings};
use std::path::PathBuf;
use std::process::ExitCode;
use strum::IntoEnumIterator;

#[derive(Clone, Debug, Bpaf)]
pub struct Args {
    /// Number of entries
    #[bpaf(argument("N"), fallback(5))]
    entries: usize,
    /// Number of targets
    #[bpaf(argument("N"), fallback(14))]
    targets: usize,
    /// Number of failure domains
    #[bpaf(argument("N"), fallback(4))]
    domains: usize,
    /// Share of the slots that the steady load uses
    #[bpaf(argument("SHARE"), fallback(0.43))]
    utilisation: f64,
    /// Disturbance during the load: steady, burst, moved, dead, slow or outage
    #[bpaf(argument("PATTERN"), fallback(Pattern::Steady))]
    pattern: Pattern,
    /// Seed of all random choices
    #[bpaf(argument("SEED"), fallback(1))]
    seed: u64,
    /// Draw the share of requests that meet the objective to an SVG file
    #[bpaf(argument("FILE"), optional)]
    plot: Option<PathBuf>,
}

pub fn run(args: &Args) -> Result<ExitCode> {
    let settings = Settings::builder()
        .seed(args.seed)
        .entries(args.entries)
        .targets(args.targets)
        .domains(args.domains)
        .utilisation(args.utilisation)
        .pattern(args.pattern)
        .build();
    let mut rows: Vec<(SchemeName, Outcomes)> = Vec::new();
    println!(
        "scheme              asked in-time   late refused unanswered copies remote busiest  p99 ms"
    );
    for scheme in SchemeName::iter() {
        let outcomes = emulator::run(&settings, scheme)?;
        println!(
            "{:<19} {:>5}  {:.4} {:>6} {:>7} {:>10} {:>6}  {:.3}    {:.2} {:>7.1}",
            scheme.to_string(),
            outcomes.asked,
            outcomes.in_time_share(),
            outcomes.late,
            outcomes.refused,
            outcomes.unanswered,
            outcomes.copies,
            outcomes.remote as f64 / outcomes.flows.max(1) as f64,
            outcomes.imbalance,
            outcomes.p99_ms
        );
        rows.push((scheme, outcomes));
    }
    if let Some(path) = &args.plot {
        let caption = format!(
            "{} entries, {} targets, {} of the slots, {}",
            args.entries, args.targets, args.utilisation, args.pattern
        );
        emulator::draw(&rows, &caption, path)?;
    }
    Ok(ExitCode::SUCCESS)
}
