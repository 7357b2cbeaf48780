//! Results of a run, and their plot.

use super::placement::SchemeName;
use anyhow::{Result, anyhow};
use hdrhistogram::Histogram;
use plotters::prelude::*;
use serde::Serialize;
use std::path::Path;
use std::time::Duration;

const SIZE_PX: (u32, u32) = (960, 480);

/// Height of a label including its spacing, as a share of the height of the plot.
const LINE_HEIGHT: f64 = 0.05;

/// Request counts and response times of one run.
#[derive(Clone, Debug, Serialize)]
pub struct Outcomes {
    /// Requests that callers made; retries are not counted.
    pub asked: u64,
    /// Requests that met the latency objective.
    pub in_time: u64,
    /// Requests whose response came after the latency objective.
    pub late: u64,
    /// Requests that full targets refused at every attempt.
    pub refused: u64,
    /// Requests without a response, including those whose openings were refused at every attempt.
    pub unanswered: u64,
    /// Retransmitted openings.
    pub copies: u64,
    /// Flows on targets of another failure domain than the caller's.
    pub remote: u64,
    /// Opened flows.
    pub flows: u64,
    /// Requests of the busiest target divided by the mean of all responsive targets.
    pub imbalance: f64,
    /// 99th percentile of the response time, in milliseconds.
    pub p99_ms: f64,
    /// Response times, in microseconds.
    #[serde(skip)]
    times_us: Histogram<u32>,
}

impl Outcomes {
    /// Creates results with all counts at zero.
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

    /// Records the response to a request.
    pub fn record_response(&mut self, response_time: Duration, objective: Duration) {
        if response_time <= objective {
            self.in_time += 1;
        } else {
            self.late += 1;
        }
        self.times_us
            .saturating_record(u64::try_from(response_time.as_micros()).unwrap_or(u64::MAX));
    }

    /// Computes imbalance and percentile at the end of the run, from the completed requests of each target.
    pub fn finish(&mut self, completed: &[u64]) {
        let mean = completed.iter().sum::<u64>() as f64 / completed.len().max(1) as f64;
        let max = completed.iter().copied().max().unwrap_or_default() as f64;
        self.imbalance = if mean > 0.0 { max / mean } else { 0.0 };
        self.p99_ms = self.times_us.value_at_quantile(0.99) as f64 / 1_000.0;
    }

    /// Share of the requests that met the latency objective.
    #[must_use]
    pub fn in_time_share(&self) -> f64 {
        self.in_time as f64 / self.asked.max(1) as f64
    }
}

/// Plots the share of requests that met the objective as one bar per scheme, to an SVG file.
///
/// # Errors
/// The file can't be written.
pub fn draw(rows: &[(SchemeName, Outcomes)], caption: &str, path: &Path) -> Result<()> {
    draw_bars(rows, caption, path)
        .map_err(|error| anyhow!("cannot write the plot {}: {error}", path.display()))
}

fn draw_bars(
    rows: &[(SchemeName, Outcomes)],
    caption: &str,
    path: &Path,
) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let min_share = rows.iter().map(|(_, o)| o.in_time_share()).fold(1.0, f64::min);
    let y_min = (min_share - 0.02).max(0.0);
    let mut chart = ChartBuilder::on(&area)
        .caption(caption, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..rows.len() as f64, y_min..1.0)?;
    chart.configure_mesh().disable_x_mesh().x_labels(0).y_desc("answered in time").draw()?;
    for (index, (scheme, outcomes)) in rows.iter().enumerate() {
        let (left, right) = (index as f64 + 0.15, index as f64 + 0.85);
        let bar = [(left, y_min), (right, outcomes.in_time_share())];
        chart.draw_series(std::iter::once(Rectangle::new(bar, RGBColor(0, 110, 180).filled())))?;
        let share = outcomes.in_time_share();
        let line_height = (1.0 - y_min) * LINE_HEIGHT;
        let name_style = ("sans-serif", 11).into_font().color(&WHITE);
        let labels = [
            Text::new(scheme.to_string(), (left + 0.02, y_min + line_height), name_style),
            Text::new(
                format!("{share:.4}"),
                (left, share + line_height),
                ("sans-serif", 13).into_font(),
            ),
        ];
        chart.draw_series(labels)?;
    }
    area.present()?;
    Ok(())
}
