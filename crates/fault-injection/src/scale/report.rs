//! Reports of several runs: a table, linear fits by fleet size, and a plot.

use super::run_report::RunReport;
use plotters::prelude::*;
use statrs::statistics::Statistics;
use std::fmt::Write;
use std::path::Path;

/// A measure: its name, and its value in a run.
type Measure = (&'static str, fn(&RunReport) -> Option<f64>);

/// A panel of the plot: its title with the unit, and its measures.
type Panel = (&'static str, &'static [Measure]);

const CPU: Panel = (
    "processor time, us a second",
    &[
        ("a proxy", |p| Some(p.proxy_cpu_us_per_s)),
        ("control's leader", |p| p.leader_cpu_us_per_s),
        ("another replica", |p| {
            p.usage
                .other_replica(&p.usage.control_cpu_us_per_s, p.leader)
        }),
        ("the list service", |p| Some(p.usage.list_cpu_us_per_s)),
    ],
);
const BYTES: Panel = (
    "bytes a second",
    &[
        ("a proxy", |p| Some(p.proxy_bytes_per_s)),
        ("control's leader", |p| p.leader_bytes_per_s),
        ("another replica", |p| {
            p.usage
                .other_replica(&p.usage.control_bytes_per_s, p.leader)
        }),
        ("the list service", |p| Some(p.usage.list_bytes_per_s)),
    ],
);
const MEMORY: Panel = (
    "memory, KiB",
    &[
        ("a proxy", |p| Some(p.proxy_memory_kib)),
        ("a replica", |p| {
            Some(
                p.usage
                    .control_memory_kib
                    .iter()
                    .map(|&kib| kib as f64)
                    .mean(),
            )
        }),
    ],
);
const PANELS: [Panel; 3] = [CPU, BYTES, MEMORY];

/// A linear least-squares fit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// Value at fleet size 0.
    pub constant: f64,
    /// Increase per proxy.
    pub slope: f64,
    /// Standard error of the slope; `None` for two points.
    pub slope_error: Option<f64>,
    /// Standard deviation of the points from the line; `None` for two points.
    pub residual: Option<f64>,
}

impl Fit {
    /// Fits a line through these points; `None` if there are fewer than two different sizes.
    pub fn of(points: &[(f64, f64)]) -> Option<Fit> {
        let sizes: Vec<f64> = points.iter().map(|p| p.0).collect();
        let values: Vec<f64> = points.iter().map(|p| p.1).collect();
        if points.len() < 2 || sizes.iter().all(|size| *size == sizes[0]) {
            return None;
        }
        let variance = (&sizes).variance();
        let slope = (&sizes).covariance(&values) / variance;
        let constant = (&values).mean() - slope * (&sizes).mean();
        let squared_residuals: f64 = points
            .iter()
            .map(|(size, value)| (value - constant - slope * size).powi(2))
            .sum();
        let degrees_of_freedom = points.len() as f64 - 2.0;
        let residual =
            (degrees_of_freedom > 0.0).then(|| (squared_residuals / degrees_of_freedom).sqrt());
        let squared_deviations = variance * (points.len() as f64 - 1.0);
        let slope_error = residual.map(|residual| residual / squared_deviations.sqrt());
        Some(Fit {
            constant,
            slope,
            slope_error,
            residual,
        })
    }
}

fn points(reports: &[RunReport], value: fn(&RunReport) -> Option<f64>) -> Vec<(f64, f64)> {
    reports
        .iter()
        .filter_map(|run_report| Some((run_report.proxies as f64, value(run_report)?)))
        .collect()
}

/// A table with one row per run.
pub fn table(reports: &[RunReport]) -> String {
    let mut text = format!(
        "{:>8}{:>6}{:>12}{:>7}{:>10}{:>10}{:>10}{:>10}{:>11}{:>10}{:>12}{:>12}\n",
        "proxies",
        "real",
        "fault",
        "held",
        "force ms",
        "ready ms",
        "refused",
        "proxy us",
        "proxy B/s",
        "proxy KiB",
        "leader us",
        "leader B/s"
    );
    for run_report in reports {
        let max = |times: &[u64]| {
            times
                .iter()
                .max()
                .map_or_else(|| "-".to_owned(), u64::to_string)
        };
        let number =
            |value: Option<f64>| value.map_or_else(|| "-".to_owned(), |v| format!("{v:.0}"));
        let _ = writeln!(
            text,
            "{:>8}{:>6}{:>12}{:>7}{:>10}{:>10}{:>10}{:>10.0}{:>11.0}{:>10.0}{:>12}{:>12}",
            run_report.proxies,
            run_report.real,
            run_report.fault,
            if run_report.held { "yes" } else { "NO" },
            max(&run_report.changes.in_force_ms),
            max(&run_report.ready_ms),
            run_report.refused_well,
            run_report.proxy_cpu_us_per_s,
            run_report.proxy_bytes_per_s,
            run_report.proxy_memory_kib,
            number(run_report.leader_cpu_us_per_s),
            number(run_report.leader_bytes_per_s),
        );
    }
    text
}

/// The linear fits of all measures by fleet size; empty if all runs had the same size.
pub fn fits(reports: &[RunReport]) -> String {
    let mut text = String::new();
    for (title, measures) in PANELS {
        for (name, value) in measures {
            let Some(fit) = Fit::of(&points(reports, *value)) else {
                continue;
            };
            let error =
                |error: Option<f64>| error.map_or_else(|| "-".to_owned(), |e| format!("{e:.3}"));
            let _ = writeln!(
                text,
                "{title:<28}{name:<18}{:>12.1} + {:>9.3} * proxies   (slope +- {}, points +- {})",
                fit.constant,
                fit.slope,
                error(fit.slope_error),
                error(fit.residual),
            );
        }
    }
    text
}

/// Plots the resource usage of each role by fleet size, with the linear fits, as SVG.
///
/// # Errors
/// If the file can't be written.
pub fn plot(reports: &[RunReport], file: &Path) -> Result<(), String> {
    let root = SVGBackend::new(file, (640, 960)).into_drawing_area();
    let drawn = || -> Result<(), Box<dyn std::error::Error>> {
        root.fill(&WHITE)?;
        for (area, panel) in root.split_evenly((PANELS.len(), 1)).iter().zip(PANELS) {
            plot_panel(reports, panel, area)?;
        }
        root.present()?;
        Ok(())
    };
    drawn().map_err(|e| format!("{}: {e}", file.display()))
}

type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

fn plot_panel(
    reports: &[RunReport],
    (title, measures): Panel,
    area: &Area<'_>,
) -> Result<(), Box<dyn std::error::Error>> {
    let largest = reports
        .iter()
        .map(|run_report| run_report.proxies)
        .max()
        .unwrap_or(1) as f64;
    let values = measures
        .iter()
        .flat_map(|(_, value)| points(reports, *value));
    let highest = values.map(|point| point.1).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(area)
        .margin(10)
        .x_label_area_size(34)
        .y_label_area_size(70)
        .build_cartesian_2d(0.0..largest * 1.05, 0.0..highest * 1.05)?;
    chart
        .configure_mesh()
        .x_desc("proxies")
        .y_desc(title)
        .draw()?;
    for ((name, value), colour) in measures.iter().zip([BLUE, RED, GREEN, MAGENTA]) {
        let points = points(reports, *value);
        chart.draw_series(
            points
                .iter()
                .map(|&point| Circle::new(point, 3, colour.filled())),
        )?;
        let Some(fit) = Fit::of(&points) else {
            continue;
        };
        let line = [0.0, largest].map(|size| (size, fit.constant + fit.slope * size));
        let drawn = chart.draw_series(LineSeries::new(line, &colour))?;
        drawn
            .label(*name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .draw()?;
    Ok(())
}
