//! SVG plot of throughput and errors over time.

use crate::report::{Report, TimelineStep};
use anyhow::{Result, anyhow};
use plotters::prelude::*;
use std::path::Path;

const SIZE_PX: (u32, u32) = (960, 480);

/// Label, colour and value of a plotted line.
type Series = (&'static str, RGBColor, fn(&TimelineStep) -> u64);

/// Draws intended, completed, refused and failed requests, broken flows (all per second) and the
/// actions to an SVG file.
///
/// # Errors
/// The file can't be written.
pub fn draw_timeline(report: &Report, path: &Path) -> Result<()> {
    draw(report, path).map_err(|error| anyhow!("plot {}: {error}", path.display()))
}

fn draw(report: &Report, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let step_s = report.step_ms as f64 / 1_000.0;
    let x_max = (report.timeline.len() as f64 * step_s).max(step_s);
    let max_per_step =
        report.timeline.iter().map(|s| s.intended.max(s.completed)).max().unwrap_or(0);
    let y_max = (max_per_step as f64 / step_s * 1.1).max(1.0);
    let area = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let caption = format!("seed {}, revision {}", report.settings.seed, report.revision);
    let mut chart = ChartBuilder::on(&area)
        .caption(caption, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..x_max, 0.0..y_max)?;
    chart.configure_mesh().x_desc("time (s)").y_desc("per second").draw()?;
    let series: [Series; 5] = [
        ("intended", RGBColor(160, 160, 160), |s| s.intended),
        ("completed", RGBColor(0, 110, 180), |s| s.completed),
        ("refused", RGBColor(230, 150, 0), |s| s.refused),
        ("unknown or wrong", RGBColor(200, 0, 0), |s| s.failed),
        ("broken flows", RGBColor(130, 0, 130), |s| s.broken_flows),
    ];
    for (name, color, value) in series {
        let points = report.timeline.iter().enumerate();
        let points = points.map(|(i, s)| (i as f64 * step_s, value(s) as f64 / step_s));
        chart
            .draw_series(LineSeries::new(points, &color))?
            .label(name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], color));
    }
    for mark in &report.marks {
        let x = mark.at_ms as f64 / 1_000.0;
        let line = vec![(x, 0.0), (x, y_max)];
        chart.draw_series(std::iter::once(PathElement::new(line, BLACK.mix(0.6))))?;
        let style = ("sans-serif", 14);
        chart.draw_series(std::iter::once(Text::new(
            mark.what.clone(),
            (x, y_max * 0.98),
            style,
        )))?;
    }
    let mut labels = chart.configure_series_labels();
    labels.border_style(BLACK).background_style(WHITE).draw()?;
    area.present()?;
    Ok(())
}
