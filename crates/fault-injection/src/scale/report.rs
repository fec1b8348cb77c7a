//! What courses came to: a table, fits by the size of the fleet, and a plot.

use super::played::Played;
use plotters::prelude::*;
use statrs::statistics::Statistics;
use std::fmt::Write;
use std::path::Path;

/// What is fitted: its name and unit, and its value in a course.
type Measure = (&'static str, fn(&Played) -> Option<f64>);

/// Measures of one plot: its title, and what is drawn.
type Panel = (&'static str, &'static [Measure]);

const PROCESSOR: Panel = (
    "processor time, us a second",
    &[
        ("a proxy", |p| Some(p.proxy_cpu_us_per_s)),
        ("control's leader", |p| p.leader_cpu_us_per_s),
        ("another replica", |p| {
            p.cost.other_replica(&p.cost.control_cpu_us_per_s, p.leader)
        }),
        ("the list service", |p| Some(p.cost.list_cpu_us_per_s)),
    ],
);
const BYTES: Panel = (
    "bytes a second",
    &[
        ("a proxy", |p| Some(p.proxy_bytes_per_s)),
        ("control's leader", |p| p.leader_bytes_per_s),
        ("another replica", |p| {
            p.cost.other_replica(&p.cost.control_bytes_per_s, p.leader)
        }),
        ("the list service", |p| Some(p.cost.list_bytes_per_s)),
    ],
);
const MEMORY: Panel = (
    "memory, KiB",
    &[
        ("a proxy", |p| Some(p.proxy_memory_kib)),
        ("a replica", |p| {
            Some(
                p.cost
                    .control_memory_kib
                    .iter()
                    .map(|&kib| kib as f64)
                    .mean(),
            )
        }),
    ],
);
const PANELS: [Panel; 3] = [PROCESSOR, BYTES, MEMORY];

/// A straight line through points by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// Value at size 0.
    pub constant: f64,
    /// What each more adds.
    pub slope: f64,
    /// Standard error of the slope; `None` with two points.
    pub slope_error: Option<f64>,
    /// Standard deviation of the points from the line; `None` with two points.
    pub residual: Option<f64>,
}

impl Fit {
    /// Through these points; `None` if they have fewer than two places.
    pub fn of(points: &[(f64, f64)]) -> Option<Fit> {
        let sizes: Vec<f64> = points.iter().map(|p| p.0).collect();
        let values: Vec<f64> = points.iter().map(|p| p.1).collect();
        if points.len() < 2 || sizes.iter().all(|size| *size == sizes[0]) {
            return None;
        }
        let variance = (&sizes).variance();
        let slope = (&sizes).covariance(&values) / variance;
        let constant = (&values).mean() - slope * (&sizes).mean();
        let left: f64 = points
            .iter()
            .map(|(size, value)| (value - constant - slope * size).powi(2))
            .sum();
        let free = points.len() as f64 - 2.0;
        let residual = (free > 0.0).then(|| (left / free).sqrt());
        let spread = variance * (points.len() as f64 - 1.0);
        let slope_error = residual.map(|residual| residual / spread.sqrt());
        Some(Fit {
            constant,
            slope,
            slope_error,
            residual,
        })
    }
}

fn points(all: &[Played], value: fn(&Played) -> Option<f64>) -> Vec<(f64, f64)> {
    all.iter()
        .filter_map(|played| Some((played.proxies as f64, value(played)?)))
        .collect()
}

/// A line for each course.
pub fn table(all: &[Played]) -> String {
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
    for played in all {
        let most = |times: &[u64]| {
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
            played.proxies,
            played.real,
            played.fault,
            if played.held { "yes" } else { "NO" },
            most(&played.changes.in_force_ms),
            most(&played.ready_ms),
            played.refused_well,
            played.proxy_cpu_us_per_s,
            played.proxy_bytes_per_s,
            played.proxy_memory_kib,
            number(played.leader_cpu_us_per_s),
            number(played.leader_bytes_per_s),
        );
    }
    text
}

/// How each measure goes with the size of the fleet; empty if there was one size.
pub fn fits(all: &[Played]) -> String {
    let mut text = String::new();
    for (title, measures) in PANELS {
        for (name, value) in measures {
            let Some(fit) = Fit::of(&points(all, *value)) else {
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

/// What each role spends by the size of the fleet, with the fits, as SVG.
///
/// # Errors
/// If the file can't be written.
pub fn plot(all: &[Played], file: &Path) -> Result<(), String> {
    let root = SVGBackend::new(file, (640, 960)).into_drawing_area();
    let drawn = || -> Result<(), Box<dyn std::error::Error>> {
        root.fill(&WHITE)?;
        for (area, panel) in root.split_evenly((PANELS.len(), 1)).iter().zip(PANELS) {
            plot_panel(all, panel, area)?;
        }
        root.present()?;
        Ok(())
    };
    drawn().map_err(|e| format!("{}: {e}", file.display()))
}

type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

fn plot_panel(
    all: &[Played],
    (title, measures): Panel,
    area: &Area<'_>,
) -> Result<(), Box<dyn std::error::Error>> {
    let largest = all.iter().map(|played| played.proxies).max().unwrap_or(1) as f64;
    let values = measures.iter().flat_map(|(_, value)| points(all, *value));
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
        let points = points(all, *value);
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
