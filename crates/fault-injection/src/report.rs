//! Table and plot of policy runs.

use crate::policy::RunReport;
use plotters::prelude::*;
use std::fmt::Write;
use std::path::Path;

/// A quantile of sorted values.
fn quantile(sorted: &[u64], share: f64) -> u64 {
    let place = ((sorted.len() as f64 - 1.0) * share).round();
    sorted.get(place.max(0.0) as usize).copied().unwrap_or(0)
}

/// The times from publish to in force of all runs, sorted, in milliseconds.
pub fn times(all: &[RunReport]) -> Vec<u64> {
    let mut times: Vec<u64> = all
        .iter()
        .flat_map(|p| p.in_force_ms.iter().copied())
        .collect();
    times.sort_unstable();
    times
}

/// The totals of all runs as a text table.
pub fn table(all: &[RunReport]) -> String {
    let sum = |of: fn(&RunReport) -> usize| all.iter().map(of).sum::<usize>();
    let outcomes = |word: &str| {
        all.iter()
            .flat_map(|p| &p.outcome)
            .filter(|o| **o == word)
            .count()
    };
    let mut text = String::new();
    let mut row = |name: &str, value: String| {
        let _ = writeln!(text, "{name:<34}{value:>12}");
    };
    row("runs", all.len().to_string());
    row("faults", sum(|p| p.faults.len()).to_string());
    row("attempts of clients", sum(|p| p.verdict.calls).to_string());
    row("calls started", sum(|p| p.verdict.begun).to_string());
    row(
        "started mixed (P1)",
        sum(|p| p.verdict.begun_mixed).to_string(),
    );
    let mixed = all.iter().map(|p| p.verdict.mixed_ms).max();
    row("longest mixed period, ms", mixed.unwrap_or(0).to_string());
    row(
        "started wrong (P2)",
        sum(|p| p.verdict.begun_wrong).to_string(),
    );
    row(
        "executed twice",
        sum(|p| p.verdict.executed_twice).to_string(),
    );
    row("lost", sum(|p| p.verdict.lost).to_string());
    row("rejected", sum(|p| p.verdict.refused).to_string());
    row(
        "rejected while all healthy",
        sum(|p| p.verdict.refused_well).to_string(),
    );
    row("changes in force", outcomes("in-force").to_string());
    row("changes not in force", outcomes("not-in-force").to_string());
    row("changes without an outcome", sum(|p| p.unended).to_string());
    if let Some(idle) = all.iter().find_map(|p| p.idle_cost) {
        row(
            "idle: control us per proxy and s",
            format!("{:.0}", idle.control_us),
        );
        row("idle: proxy us per s", format!("{:.0}", idle.proxy_us));
        row("memory of a proxy, KiB", idle.proxy_kib.to_string());
        row("memory of a replica, KiB", idle.control_kib.to_string());
    }
    let times = times(all);
    for (name, share) in [("p50", 0.5), ("p90", 0.9), ("max", 1.0)] {
        row(
            &format!("publish to in force, {name}, ms"),
            quantile(&times, share).to_string(),
        );
    }
    text
}

/// Plots the share of changes that are in force after a given time, as SVG.
///
/// # Errors
/// Returns an error if the file cannot be written.
pub fn plot(all: &[RunReport], file: &Path) -> Result<(), String> {
    let times = times(all);
    let most = times.last().copied().unwrap_or(1).max(1);
    let root = SVGBackend::new(file, (640, 360)).into_drawing_area();
    let render = || -> Result<(), Box<dyn std::error::Error>> {
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
    render().map_err(|e| format!("{}: {e}", file.display()))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn quantiles_of_few_values() {
        assert_eq!(quantile(&[], 0.5), 0);
        assert_eq!(
            (quantile(&[1, 2, 9], 0.5), quantile(&[1, 2, 9], 1.0)),
            (2, 9)
        );
    }
}
