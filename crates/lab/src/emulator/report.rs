//! What a run has come to.

use super::placement::SchemeName;
use anyhow::{Result, anyhow};
use hdrhistogram::Histogram;
use plotters::prelude::*;
use serde::Serialize;
use std::path::Path;
use std::time::Duration;

const SIZE_PX: (u32, u32) = (960, 480);

/// Height of a label with the space around it, as a share of the height of the plot.
const LINE_HEIGHT: f64 = 0.05;

/// Counts and times of one run.
#[derive(Clone, Debug, Serialize)]
pub struct Outcomes {
    /// Requests asked for.
    pub asked: u64,
    /// Answered within the objective.
    pub in_time: u64,
    /// Answered later.
    pub late: u64,
    /// Refused by a full target, and not served by a retry.
    pub refused: u64,
    /// Never answered.
    pub unanswered: u64,
    /// Openings that were sent again.
    pub copies: u64,
    /// Flows on targets of another domain.
    pub remote: u64,
    /// Flows.
    pub flows: u64,
    /// Requests of the busiest target over the mean.
    pub imbalance: f64,
    /// 99th percentile of the time to an answer, in milliseconds.
    pub p99_ms: f64,
    #[serde(skip)]
    times_us: Histogram<u32>,
}

impl Outcomes {
    /// Creates an empty record.
    ///
    /// # Errors
    /// The histogram can't be created.
    pub fn new() -> Result<Self> {
        let times_us = Histogram::new_with_bounds(1, 60_000_000, 3)?;
        Ok(Self {
            asked: 0,
            in_time: 0,
            late: 0,
            refused: 0,
            unanswered: 0,
            copies: 0,
            remote: 0,
            flows: 0,
            imbalance: 0.0,
            p99_ms: 0.0,
            times_us,
        })
    }

    /// A request was answered after a time.
    pub fn answered(&mut self, after: Duration, objective: Duration) {
        if after <= objective {
            self.in_time += 1;
        } else {
            self.late += 1;
        }
        self.times_us.saturating_record(u64::try_from(after.as_micros()).unwrap_or(u64::MAX));
    }

    /// Closes the record with the requests that each target has run.
    pub fn close(&mut self, ran: &[u64]) {
        let mean = ran.iter().sum::<u64>() as f64 / ran.len().max(1) as f64;
        let most = ran.iter().copied().max().unwrap_or_default() as f64;
        self.imbalance = if mean > 0.0 { most / mean } else { 0.0 };
        self.p99_ms = self.times_us.value_at_quantile(0.99) as f64 / 1_000.0;
    }

    /// Share of the requests that were answered within the objective.
    #[must_use]
    pub fn in_time_share(&self) -> f64 {
        self.in_time as f64 / self.asked.max(1) as f64
    }
}

/// Draws the share answered within the objective, a bar for each scheme, to an SVG file.
///
/// # Errors
/// The file can't be written.
pub fn draw(rows: &[(SchemeName, Outcomes)], caption: &str, path: &Path) -> Result<()> {
    draw_bars(rows, caption, path).map_err(|error| anyhow!("plot {}: {error}", path.display()))
}

fn draw_bars(
    rows: &[(SchemeName, Outcomes)],
    caption: &str,
    path: &Path,
) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let lowest = rows.iter().map(|(_, o)| o.in_time_share()).fold(1.0, f64::min);
    let floor = (lowest - 0.02).max(0.0);
    let mut chart = ChartBuilder::on(&area)
        .caption(caption, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..rows.len() as f64, floor..1.0)?;
    chart.configure_mesh().disable_x_mesh().x_labels(0).y_desc("answered in time").draw()?;
    for (index, (scheme, outcomes)) in rows.iter().enumerate() {
        let (left, right) = (index as f64 + 0.15, index as f64 + 0.85);
        let bar = [(left, floor), (right, outcomes.in_time_share())];
        chart.draw_series(std::iter::once(Rectangle::new(bar, RGBColor(0, 110, 180).filled())))?;
        let share = outcomes.in_time_share();
        let line = (1.0 - floor) * LINE_HEIGHT;
        let name = ("sans-serif", 11).into_font().color(&WHITE);
        let labels = [
            Text::new(scheme.to_string(), (left + 0.02, floor + line), name),
            Text::new(format!("{share:.4}"), (left, share + line), ("sans-serif", 13).into_font()),
        ];
        chart.draw_series(labels)?;
    }
    area.present()?;
    Ok(())
}
