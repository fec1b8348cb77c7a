//! What courses came to, as a table and as a plot.

use crate::policy::RunReport;
use plotters::prelude::*;
use std::fmt::Write;
use std::path::Path;

/// A quantile of sorted values.
fn quantile(sorted: &[u64], share: f64) -> u64 {
    let place = ((sorted.len() as f64 - 1.0) * share).round();
    sorted.get(place.max(0.0) as usize).copied().unwrap_or(0)
}

/// All times from publish to in force, sorted.
pub fn times(all: &[RunReport]) -> Vec<u64> {
    let mut times: Vec<u64> = all
        .iter()
        .flat_map(|p| p.in_force_ms.iter().copied())
        .collect();
    times.sort_unstable();
    times
}

/// The sums of all courses.
pub fn table(all: &[RunReport]) -> String {
    let sum = |of: fn(&RunReport) -> usize| all.iter().map(of).sum::<usize>();
    let ended = |word: &str| {
        all.iter()
            .flat_map(|p| &p.outcome)
            .filter(|o| **o == word)
            .count()
    };
    let mut text = String::new();
    let mut row = |name: &str, value: String| {
        let _ = writeln!(text, "{name:<34}{value:>12}");
    };
    row("courses", all.len().to_string());
    row("faults", sum(|p| p.faults.len()).to_string());
    row("tries of clients", sum(|p| p.verdict.calls).to_string());
    row("calls begun", sum(|p| p.verdict.begun).to_string());
    row(
        "begun mixed (P1)",
        sum(|p| p.verdict.begun_mixed).to_string(),
    );
    let mixed = all.iter().map(|p| p.verdict.mixed_ms).max();
    row("mixed for, the longest, ms", mixed.unwrap_or(0).to_string());
    row(
        "begun wrong (P2)",
        sum(|p| p.verdict.begun_wrong).to_string(),
    );
    row(
        "executed twice",
        sum(|p| p.verdict.executed_twice).to_string(),
    );
    row("lost", sum(|p| p.verdict.lost).to_string());
    row("refused", sum(|p| p.verdict.refused).to_string());
    row(
        "refused with all well",
        sum(|p| p.verdict.refused_well).to_string(),
    );
    row("changes in force", ended("in-force").to_string());
    row("changes not in force", ended("not-in-force").to_string());
    row("changes that did not end", sum(|p| p.unended).to_string());
    if let Some(idle) = all.iter().find_map(|p| p.idle_cost) {
        row(
            "calm: control, us a proxy and s",
            format!("{:.0}", idle.control_us),
        );
        row("calm: a proxy, us a s", format!("{:.0}", idle.proxy_us));
        row("memory of a proxy, KiB", idle.proxy_kib.to_string());
        row("memory of a replica, KiB", idle.control_kib.to_string());
    }
    let times = times(all);
    for (name, share) in [("half", 0.5), ("nine tenths", 0.9), ("longest", 1.0)] {
        row(
            &format!("publish to in force, {name}, ms"),
            quantile(&times, share).to_string(),
        );
    }
    text
}

/// The share of changes that were in force after so long, as SVG.
///
/// # Errors
/// If the file can't be written.
pub fn plot(all: &[RunReport], file: &Path) -> Result<(), String> {
    let times = times(all);
    let most = times.last().copied().unwrap_or(1).max(1);
    let root = SVGBackend::new(file, (640, 360)).into_drawing_area();
    let draw = || -> Result<(), Box<dyn std::error::Error>> {
        root.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&root)
            .margin(10)
            .x_label_area_size(34)
            .y_label_area_size(44)
            .build_cartesian_2d(0..most, 0.0..1.0)?;
        chart
            .configure_mesh()
            .x_desc("publish to in force, ms")
            .y_desc("share of changes")
            .draw()?;
        let count = times.len() as f64;
        let points = times
            .iter()
            .enumerate()
            .map(|(n, &t)| (t, (n + 1) as f64 / count));
        chart.draw_series(LineSeries::new(points, &BLUE))?;
        root.present()?;
        Ok(())
    };
    draw().map_err(|e| format!("{}: {e}", file.display()))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn quantiles_of_few() {
        assert_eq!(quantile(&[], 0.5), 0);
        assert_eq!(
            (quantile(&[1, 2, 9], 0.5), quantile(&[1, 2, 9], 1.0)),
            (2, 9)
        );
    }
}
