//! The chart of the page.

use crate::Fault;
use plotters::prelude::*;
use std::path::Path;

/// Questions to the list service by second, with marks where scenes begin.
pub(crate) fn questions(seconds: &[u32], marks: &[(usize, &str)], to: &Path) -> Result<(), Fault> {
    let most = seconds.iter().copied().max().unwrap_or(1).max(1);
    let area = SVGBackend::new(to, (760, 260)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(34)
        .y_label_area_size(48)
        .build_cartesian_2d(0..seconds.len(), 0..most + most / 8 + 1)?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc("questions a second")
        .draw()?;
    chart.draw_series(LineSeries::new(seconds.iter().copied().enumerate(), &BLUE))?;
    for &(at, _) in marks {
        chart.draw_series(LineSeries::new([(at, 0), (at, most)], &RED))?;
    }
    area.present()?;
    Ok(())
}
