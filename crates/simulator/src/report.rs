//! Results as one HTML page that needs nothing else: figures, plots as SVG, and the lines that made them.

use crate::experiment::SweepPoint;
use crate::run_result::{RunResult, Summary};
use plotters::prelude::*;
use std::fmt::Write;

const SIZE: (u32, u32) = (860, 260);
/// Lines of one plot; more hosts than that are shown by their least, middle and most.
const LINES_MOST: usize = 24;

type Drawn = Result<(), Box<dyn std::error::Error>>;

/// A line of a plot: its name and its points.
pub struct Line {
    /// Its name.
    pub name: String,
    /// Its points.
    pub points: Vec<(f64, f64)>,
}

/// A plot as SVG; an empty text where there is nothing to show.
pub fn plot(title: &str, (x, y): (&str, &str), lines: &[Line]) -> String {
    let mut svg = String::new();
    let drawn = draw(&mut svg, title, (x, y), lines);
    // Writing to memory fails only where the library can't draw at all; the page says so in its place.
    match drawn {
        Ok(()) => svg,
        Err(fault) => format!(
            "<p>{}: not drawn: {}</p>",
            escape(title),
            escape(&fault.to_string())
        ),
    }
}

fn draw(svg: &mut String, title: &str, (x, y): (&str, &str), lines: &[Line]) -> Drawn {
    let points = || lines.iter().flat_map(|l| &l.points);
    let most = |pick: fn(&(f64, f64)) -> f64| points().map(pick).fold(0.0, f64::max);
    let least = points().map(|p| p.0).fold(f64::MAX, f64::min);
    if points().next().is_none() {
        return Ok(());
    }
    let (right, top) = (
        most(|p| p.0).max(least + 1e-9),
        (most(|p| p.1) * 1.05).max(1e-9),
    );
    let area = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(32)
        .y_label_area_size(56)
        .build_cartesian_2d(least..right, 0.0..top)?;
    chart
        .configure_mesh()
        .light_line_style(WHITE)
        .x_desc(x)
        .y_desc(y)
        .draw()?;
    for (n, line) in lines.iter().enumerate() {
        let color = Palette99::pick(n).to_rgba();
        let series = LineSeries::new(line.points.iter().copied(), color.stroke_width(2));
        let drawn = chart.draw_series(series)?;
        if lines.len() <= 8 {
            drawn
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

/// A page of these parts.
pub fn page(title: &str, parts: &[String]) -> String {
    format!(
        "<!doctype html>\n<html lang=\"en\"><meta charset=\"utf-8\"><title>{0}</title><style>{STYLE}</style>\n<h1>{0}</h1>\n{1}\n</html>\n",
        escape(title),
        parts.join("\n")
    )
}

/// The part of a course.
pub fn course(course: &RunResult, summary: &Summary) -> String {
    let mut out = format!(
        "<h2>{}, {} play, seed {}</h2>\n",
        escape(&summary.scenario),
        summary.backend,
        summary.seed
    );
    out += &format!(
        "<p>Goodput {:.4}; worst class {:.4}; worst ten seconds {:.4}; {:.3} attempts for each request; {} questions to the \
         list service; at most {} connections at a host.</p>\n",
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
            "<p class=\"bad\">Rules broken: {}</p><ul>",
            summary.violation_count
        );
        for broken in &course.violations {
            let _ = write!(
                out,
                "<li>{:.3} s, {}: {}</li>",
                broken.at as f64 / 1e6,
                broken.invariant,
                escape(&broken.text)
            );
        }
        out += "</ul>\n";
    } else {
        out += "<p>No rule was broken.</p>\n";
    }
    out += "<table><tr><th>class<th>wanted<th>in time<th>late<th>refused<th>failed<th>lost<th>p50 ms<th>p99 ms<th>p99.9 ms</tr>\n";
    for (class, tally) in course.scenario().classes.iter().zip(&course.classes) {
        let ms = |share| tally.latencies.quantile(share) as f64 / 1e3;
        let _ = writeln!(
            out,
            "<tr><td>{}<td>{}<td>{}<td>{}<td>{}<td>{}<td>{}<td>{:.1}<td>{:.1}<td>{:.1}</tr>",
            escape(&class.name),
            tally.operations,
            tally.on_time,
            tally.late,
            tally.rejected,
            tally.failed,
            tally.unanswered,
            ms(0.5),
            ms(0.99),
            ms(0.999)
        );
    }
    out += "</table>\n";
    let bins = || {
        course
            .bins
            .iter()
            .enumerate()
            .map(|(n, b)| (n as f64 + 0.5, b))
    };
    let line = |name: &str, figure: &dyn Fn(&crate::run_result::OperationStats) -> f64| Line {
        name: name.to_owned(),
        points: bins().map(|(at, b)| (at, figure(b))).collect(),
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
        "Answers by when they were first due",
        ("s", "a second"),
        &counts,
    );
    let times = |share: f64| {
        move |b: &crate::run_result::OperationStats| b.latencies.quantile(share) as f64 / 1e3
    };
    let waits = [
        line("p50", &times(0.5)),
        line("p99", &times(0.99)),
        line("p99.9", &times(0.999)),
    ];
    out += &plot(
        "Time to the answer, from when it was due",
        ("s", "ms"),
        &waits,
    );
    out += &plot(
        "Calls in hand for each core",
        ("s", "calls"),
        &hosts(course, |s| s.in_flight_per_core.clone()),
    );
    let connections =
        |s: &crate::run_result::Sample| s.connections.iter().map(|c| f64::from(*c)).collect();
    out += &plot(
        "Connections",
        ("s", "at a host"),
        &hosts(course, connections),
    );
    let calls = |name: &str, pick: fn(&crate::run_result::Sample) -> u64| Line {
        name: name.to_owned(),
        points: course
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

/// A line for each host, or three for all of them.
fn hosts(course: &RunResult, pick: impl Fn(&crate::run_result::Sample) -> Vec<f64>) -> Vec<Line> {
    let count = course.scenario().hosts.len();
    let samples: Vec<(f64, Vec<f64>)> = course
        .samples
        .iter()
        .map(|s| (s.at_seconds, pick(s)))
        .collect();
    if count <= LINES_MOST {
        let one = |n: usize| Line {
            name: course.scenario().hosts[n].name.clone(),
            points: samples
                .iter()
                .filter_map(|(at, all)| Some((*at, *all.get(n)?)))
                .collect(),
        };
        return (0..count).map(one).collect();
    }
    let share = |name: &str, share: f64| Line {
        name: name.to_owned(),
        points: samples
            .iter()
            .map(|(at, all)| {
                let mut sorted = all.clone();
                sorted.sort_by(f64::total_cmp);
                (
                    *at,
                    sorted
                        .get((sorted.len().saturating_sub(1) as f64 * share) as usize)
                        .copied()
                        .unwrap_or(0.0),
                )
            })
            .collect(),
    };
    vec![
        share("least", 0.0),
        share("middle", 0.5),
        share("most", 1.0),
    ]
}

/// The part of a sweep over one key, or over two, of which the second makes lines.
pub fn sweep(points: &[SweepPoint]) -> String {
    let mut out =
        "<table><tr><th>changes<th>goodput<th>worst class<th>attempts<th>p99 ms<th>broken</tr>\n"
            .to_owned();
    for p in points {
        let _ = writeln!(
            out,
            "<tr><td>{}<td>{}<td>{}<td>{}<td>{}<td>{}</tr>",
            escape(&p.changes.join(", ")),
            p.goodput,
            p.worst_class,
            p.amplification,
            p.p99_ms,
            p.violation_count
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
