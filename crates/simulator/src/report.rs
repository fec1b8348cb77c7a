//! Renders results as a self-contained HTML page with tables and SVG plots.

use crate::experiment::SweepPoint;
use crate::run_result::{RunResult, Summary};
use plotters::prelude::*;
use std::fmt::Write;

/// Width and height of a plot in pixels.
const PLOT_SIZE: (u32, u32) = (860, 260);
/// Maximum number of host lines in a plot. With more hosts, the plot shows their minimum, median and maximum.
const MAX_HOST_LINES: usize = 24;

type DrawResult = Result<(), Box<dyn std::error::Error>>;

/// A line of a plot.
pub struct Line {
    /// Name in the legend.
    pub name: String,
    /// Points as (x, y).
    pub points: Vec<(f64, f64)>,
}

/// Draws a plot as SVG. Returns an empty string if the lines have no points.
pub fn plot(title: &str, (x, y): (&str, &str), lines: &[Line]) -> String {
    let mut svg = String::new();
    let outcome = draw(&mut svg, title, (x, y), lines);
    // Drawing into memory fails only if the plotting library does; the page then shows the error in place of the plot.
    match outcome {
        Ok(()) => svg,
        Err(error) => format!(
            "<p>{}: failed to draw the plot: {}</p>",
            escape(title),
            escape(&error.to_string())
        ),
    }
}

fn draw(svg: &mut String, title: &str, (x, y): (&str, &str), lines: &[Line]) -> DrawResult {
    let points = || lines.iter().flat_map(|l| &l.points);
    let max = |pick: fn(&(f64, f64)) -> f64| points().map(pick).fold(0.0, f64::max);
    let left = points().map(|p| p.0).fold(f64::MAX, f64::min);
    if points().next().is_none() {
        return Ok(());
    }
    let (right, top) = (
        max(|p| p.0).max(left + 1e-9),
        (max(|p| p.1) * 1.05).max(1e-9),
    );
    let area = SVGBackend::with_string(svg, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(32)
        .y_label_area_size(56)
        .build_cartesian_2d(left..right, 0.0..top)?;
    chart
        .configure_mesh()
        .light_line_style(WHITE)
        .x_desc(x)
        .y_desc(y)
        .draw()?;
    for (n, line) in lines.iter().enumerate() {
        let color = Palette99::pick(n).to_rgba();
        let series = LineSeries::new(line.points.iter().copied(), color.stroke_width(2));
        let annotation = chart.draw_series(series)?;
        if lines.len() <= 8 {
            annotation
                .label(&line.name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
        }
    }
    if (2..=8).contains(&lines.len()) {
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK)
            .draw()?;
    }
    area.present()?;
    Ok(())
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}

const STYLE: &str = "body{font:15px sans-serif;max-width:900px;margin:2em auto;color:#222}\
table{border-collapse:collapse}td,th{padding:2px 10px;text-align:right;border-bottom:1px solid #ddd}\
td:first-child,th:first-child{text-align:left}.bad{color:#b00;font-weight:bold}pre{background:#f6f6f6;padding:8px}";

/// Renders a page with these sections.
pub fn page(title: &str, sections: &[String]) -> String {
    format!(
        "<!doctype html>\n<html lang=\"en\"><meta charset=\"utf-8\"><title>{0}</title><style>{STYLE}</style>\n<h1>{0}</h1>\n{1}\n</html>\n",
        escape(title),
        sections.join("\n")
    )
}

/// Renders the section of a single run.
pub fn run_section(result: &RunResult, summary: &Summary) -> String {
    let mut out = format!(
        "<h2>{}, {} backend, seed {}</h2>\n",
        escape(&summary.scenario),
        summary.backend,
        summary.seed
    );
    out += &format!(
        "<p>Goodput {:.4}; worst class {:.4}; worst ten seconds {:.4}; {:.3} attempts per operation; {} requests to the \
         list service; at most {} connections per host.</p>\n",
        summary.goodput,
        summary.worst_class_goodput,
        summary.worst_window_goodput,
        summary.amplification,
        summary.list_requests,
        summary.max_connections
    );
    if summary.violation_count > 0 {
        let _ = write!(
            out,
            "<p class=\"bad\">Violations of invariants: {}</p><ul>",
            summary.violation_count
        );
        for violation in &result.violations {
            let _ = write!(
                out,
                "<li>{:.3} s, {}: {}</li>",
                violation.at as f64 / 1e6,
                violation.invariant,
                escape(&violation.text)
            );
        }
        out += "</ul>\n";
    } else {
        out += "<p>No invariant was violated.</p>\n";
    }
    out += "<table><tr><th>class<th>wanted<th>in time<th>late<th>refused<th>failed<th>lost<th>p50 ms<th>p99 ms<th>p99.9 ms</tr>\n";
    for (class, stats) in result.scenario().classes.iter().zip(&result.classes) {
        let ms = |share| stats.latencies.quantile(share) as f64 / 1e3;
        let _ = writeln!(
            out,
            "<tr><td>{}<td>{}<td>{}<td>{}<td>{}<td>{}<td>{}<td>{:.1}<td>{:.1}<td>{:.1}</tr>",
            escape(&class.name),
            stats.operations,
            stats.on_time,
            stats.late,
            stats.rejected,
            stats.failed,
            stats.unanswered,
            ms(0.5),
            ms(0.99),
            ms(0.999)
        );
    }
    out += "</table>\n";
    let bins = || {
        result
            .bins
            .iter()
            .enumerate()
            .map(|(n, b)| (n as f64 + 0.5, b))
    };
    let line = |name: &str, metric: &dyn Fn(&crate::run_result::OperationStats) -> f64| Line {
        name: name.to_owned(),
        points: bins().map(|(at, bin)| (at, metric(bin))).collect(),
    };
    out += &plot(
        "Goodput",
        ("s", "share"),
        &[line("goodput", &|b| b.goodput())],
    );
    let counts = [
        line("wanted", &|b| b.operations as f64),
        line("in time", &|b| b.on_time as f64),
        line("late", &|b| b.late as f64),
        line("refused", &|b| b.rejected as f64),
        line("failed", &|b| b.failed as f64),
        line("attempts", &|b| b.attempts as f64),
    ];
    out += &plot(
        "Operations by the time their first try was due",
        ("s", "per second"),
        &counts,
    );
    let latency = |quantile: f64| {
        move |b: &crate::run_result::OperationStats| b.latencies.quantile(quantile) as f64 / 1e3
    };
    let latencies = [
        line("p50", &latency(0.5)),
        line("p99", &latency(0.99)),
        line("p99.9", &latency(0.999)),
    ];
    out += &plot(
        "Latency, measured from the time the first try was due",
        ("s", "ms"),
        &latencies,
    );
    out += &plot(
        "Calls in flight per core",
        ("s", "calls"),
        &host_lines(result, |s| s.in_flight_per_core.clone()),
    );
    let connections =
        |s: &crate::run_result::Sample| s.connections.iter().map(|c| f64::from(*c)).collect();
    out += &plot(
        "Connections",
        ("s", "per host"),
        &host_lines(result, connections),
    );
    let calls = |name: &str, pick: fn(&crate::run_result::Sample) -> u64| Line {
        name: name.to_owned(),
        points: result
            .samples
            .iter()
            .map(|s| (s.at_seconds, pick(s) as f64))
            .collect(),
    };
    out += &plot(
        "Calls at the proxies",
        ("s", "calls"),
        &[
            calls("open", |s| s.open_calls),
            calls("held", |s| s.queued_calls),
        ],
    );
    out
}

/// One line per host, or three lines for the minimum, median and maximum if there are many hosts.
fn host_lines(
    result: &RunResult,
    pick: impl Fn(&crate::run_result::Sample) -> Vec<f64>,
) -> Vec<Line> {
    let count = result.scenario().hosts.len();
    let samples: Vec<(f64, Vec<f64>)> = result
        .samples
        .iter()
        .map(|s| (s.at_seconds, pick(s)))
        .collect();
    if count <= MAX_HOST_LINES {
        let host_line = |n: usize| Line {
            name: result.scenario().hosts[n].name.clone(),
            points: samples
                .iter()
                .filter_map(|(at, all)| Some((*at, *all.get(n)?)))
                .collect(),
        };
        return (0..count).map(host_line).collect();
    }
    let quantile_line = |name: &str, quantile: f64| Line {
        name: name.to_owned(),
        points: samples
            .iter()
            .map(|(at, all)| {
                let mut sorted = all.clone();
                sorted.sort_by(f64::total_cmp);
                (
                    *at,
                    sorted
                        .get((sorted.len().saturating_sub(1) as f64 * quantile) as usize)
                        .copied()
                        .unwrap_or(0.0),
                )
            })
            .collect(),
    };
    vec![
        quantile_line("minimum", 0.0),
        quantile_line("median", 0.5),
        quantile_line("maximum", 1.0),
    ]
}

/// Renders the section of a sweep over one or two keys. The plot's x axis is the first key; each value of the second key is
/// a line.
pub fn sweep_section(points: &[SweepPoint]) -> String {
    let mut out =
        "<table><tr><th>changes<th>goodput<th>worst class<th>attempts<th>p99 ms<th>broken</tr>\n"
            .to_owned();
    for point in points {
        let _ = writeln!(
            out,
            "<tr><td>{}<td>{}<td>{}<td>{}<td>{}<td>{}</tr>",
            escape(&point.changes.join(", ")),
            point.goodput,
            point.worst_class,
            point.amplification,
            point.p99_ms,
            point.violation_count
        );
    }
    out += "</table>\n";
    let value = |change: &str| change.split_once('=').and_then(|c| c.1.parse::<f64>().ok());
    let mut lines: Vec<Line> = Vec::new();
    for point in points {
        let Some(x) = point.changes.first().and_then(|c| value(c)) else {
            continue;
        };
        let name = point
            .changes
            .get(1)
            .cloned()
            .unwrap_or_else(|| "goodput".to_owned());
        match lines.iter_mut().find(|l| l.name == name) {
            Some(line) => line.points.push((x, point.goodput.mean)),
            None => lines.push(Line {
                name,
                points: vec![(x, point.goodput.mean)],
            }),
        }
    }
    let key = points
        .first()
        .and_then(|p| p.changes.first())
        .and_then(|c| c.split_once('='))
        .map_or("", |c| c.0);
    out + &plot("Goodput", (key, "share"), &lines)
}
