//! The chart of list polls.

use crate::BenchError;
use plotters::prelude::*;
use std::path::Path;

/// Draws the polls of the list service by second, with marks at the beginning of phases.
pub(crate) fn draw_polls(
    polls_per_second: &[u32],
    marks: &[(usize, &str)],
    path: &Path,
) -> Result<(), BenchError> {
    let max = polls_per_second.iter().copied().max().unwrap_or(1).max(1);
    let area = SVGBackend::new(path, (760, 260)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(34)
        .y_label_area_size(48)
        .build_cartesian_2d(0..polls_per_second.len(), 0..max + max / 8 + 1)?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc("questions a second")
        .draw()?;
    chart.draw_series(LineSeries::new(
        polls_per_second.iter().copied().enumerate(),
        &BLUE,
    ))?;
    for &(at, _) in marks {
        chart.draw_series(LineSeries::new([(at, 0), (at, max)], &RED))?;
    }
    area.present()?;
    Ok(())
}
