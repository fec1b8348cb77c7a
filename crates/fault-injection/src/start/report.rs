//! Evaluation of the runs of a simultaneous start.

use super::cold_hosts::HostRecord;
use super::{locked, CallRecord, FaultSchedule, Fleet, RunReport};
use crate::clients::Ended;
use badgerramp_policy::Micros;
use plotters::prelude::*;
use std::fmt::Write;
use std::path::Path;

fn ms(micros: Micros) -> u64 {
    micros / 1_000
}

/// The lifetimes of a proxy process according to its log: when it listened, and when it first had a list.
fn lifetimes(log: &[(Micros, String)]) -> Vec<(Micros, Option<Micros>)> {
    let mut lifetimes: Vec<(Micros, Option<Micros>)> = Vec::new();
    let mut waiting = None;
    for (at, line) in log {
        // The list can be logged before the listener is.
        if line.contains("endpoint list received") || line.contains("discovery: list ") {
            match lifetimes.last_mut().filter(|l| l.1.is_none()) {
                Some(lifetime) => lifetime.1 = Some(*at),
                None => waiting = Some(*at),
            }
        } else if line.contains("listening on") {
            lifetimes.push((*at, waiting.take()));
        }
    }
    lifetimes
}

pub(super) async fn evaluate(
    fleet: &Fleet,
    schedule: &FaultSchedule,
    (start_time, calls): (Micros, Vec<CallRecord>),
    behind: usize,
) -> Result<RunReport, String> {
    let mut all_lifetimes = Vec::new();
    for (index, proxy) in fleet.proxies.iter().enumerate() {
        let mut process = proxy.process.lock().await;
        if let Some(end) = process.exit_report() {
            return Err(format!("proxy p{index} ended unexpectedly: {end}"));
        }
        process.kill().await;
        all_lifetimes.push(lifetimes(&process.log()));
    }
    let counts = fleet.service.counts();
    let first_answer = counts.first_answer.unwrap_or(start_time);
    let last_lifetimes = || all_lifetimes.iter().filter_map(|l| l.last());
    let unlisted = last_lifetimes().filter(|l| l.1.is_none()).count();
    let listed = || {
        all_lifetimes
            .iter()
            .flatten()
            .filter_map(|(from, at)| Some((*from, (*at)?)))
    };
    let mut waits: Vec<Micros> = listed()
        .map(|(from, at)| at.saturating_sub(first_answer.max(from)))
        .collect();
    waits.sort_unstable();
    let quantile = |share: f64| {
        let index = ((waits.len() as f64 - 1.0) * share).ceil().max(0.0) as usize;
        ms(waits.get(index).copied().unwrap_or(0))
    };
    // The first lifetime of each proxy.
    let first_listed: Vec<Micros> = all_lifetimes.iter().filter_map(|l| l.first()?.1).collect();
    let all_listed_at = first_listed.iter().copied().max().unwrap_or(start_time);
    let host_records: Vec<HostRecord> = fleet.hosts.lock().await.records();
    let executed = fleet.hosts.lock().await.executed();
    let executed_twice = executed.values().filter(|times| **times > 1).count();
    let down = locked(&fleet.down).clone();
    // A call does not count as lost if its proxy was killed or suspended at that time, or refused the connection because
    // it had not started yet.
    let proxy_healthy = |call: &CallRecord| {
        !down.iter().any(|(who, from, until)| {
            *who == call.proxy && *until >= call.last && *from <= call.last + 6_000_000
        })
    };
    let lost: Vec<&CallRecord> = calls
        .iter()
        .filter(|c| matches!(c.ended, Ended::Cut | Ended::Silence) && proxy_healthy(c))
        .collect();
    let early: Vec<&CallRecord> = calls
        .iter()
        .filter(|c| c.from < start_time + 10_000_000)
        .collect();
    let served_early = early.iter().filter(|c| c.served.is_some()).count();
    let drained = locked(&fleet.drained).clone();
    let last_call = |host: usize, version: u64| {
        let announced = counts
            .first_served_at
            .get(version as usize - 1)
            .copied()
            .flatten()?;
        let last = host_records.get(host)?.requests.last().copied()?;
        Some(ms(last.saturating_sub(announced)))
    };
    let drained_ms = drained
        .iter()
        .filter_map(|(index, version)| last_call(*index, *version))
        .max();
    let mut problems = Vec::new();
    if unlisted > 0 {
        problems.push(format!("{unlisted} proxies have no endpoint list"));
    }
    if behind > 0 {
        problems.push(format!(
            "{behind} proxies do not have the newest endpoint list"
        ));
    }
    if let Some(call) = lost.first() {
        problems.push(format!(
            "call {} at p{} got no answer: {:?}",
            call.key, call.proxy, call.ended
        ));
    }
    if executed_twice > 0 {
        let twice = executed
            .iter()
            .find(|(_, times)| **times > 1)
            .map(|(key, _)| key.clone());
        problems.push(format!(
            "call {} was executed more than once",
            twice.unwrap_or_default()
        ));
    }
    let second = |at: Micros| (at.saturating_sub(start_time) / 1_000_000) as usize;
    let last_second = calls.iter().map(|c| second(c.last)).max().unwrap_or(0);
    let mut seconds = vec![[0; 4]; last_second + 1];
    let mut count = |at: Micros, column: usize| {
        if let Some(row) = seconds.get_mut(second(at)) {
            row[column] += 1;
        }
    };
    counts.polls.iter().for_each(|at| count(*at, 0));
    host_records
        .iter()
        .flat_map(|s| &s.connects)
        .for_each(|at| count(*at, 1));
    calls.iter().for_each(|c| count(c.from, 2));
    calls
        .iter()
        .filter_map(|c| c.served)
        .for_each(|at| count(at, 3));
    let questions_most = seconds.iter().map(|s| s[0]).max().unwrap_or(0);
    let tenths = (0..(last_second + 1) * 10)
        .map(|n| {
            let at = start_time + (n as Micros + 1) * 100_000;
            let has = |l: &&(Micros, Option<Micros>)| l.1.is_some_and(|listed| listed <= at);
            all_lifetimes
                .iter()
                .filter(|lifetimes| lifetimes.iter().rfind(|l| l.0 <= at).filter(has).is_some())
                .count()
        })
        .collect();
    Ok(RunReport {
        seed: schedule.seed,
        list_source: fleet.size.list_source,
        faults: schedule.faults.clone(),
        listed_ms: [quantile(0.5), quantile(0.99), quantile(1.0)],
        all_listed_ms: ms(all_listed_at.saturating_sub(first_answer)),
        unlisted,
        behind,
        questions_start: counts
            .polls
            .iter()
            .filter(|at| **at <= all_listed_at)
            .count(),
        questions: counts.polls.len(),
        questions_most,
        given_up: counts.timed_out,
        connects_most: host_records
            .iter()
            .map(HostRecord::max_connects_per_second)
            .max()
            .unwrap_or(0),
        connects: host_records.iter().map(|s| s.connects.len()).sum(),
        multiple_most: host_records
            .iter()
            .map(|s| s.max_overload(&fleet.size.host))
            .fold(0.0, f64::max),
        calls: calls.len(),
        served: calls.iter().filter(|c| c.served.is_some()).count(),
        goodput: served_early as f64 / early.len().max(1) as f64,
        lost: lost.len(),
        executed_twice,
        drained_ms,
        first: (!problems.is_empty()).then(|| problems.join("; ")),
        seconds,
        tenths,
    })
}

/// The results of a few runs, one column each.
pub fn table(all: &[RunReport]) -> String {
    let mut text = String::new();
    let mut row = |name: &str, of: &dyn Fn(&RunReport) -> String| {
        let _ = write!(text, "{name:<36}");
        for report in all {
            let _ = write!(text, "{:>10}", of(report));
        }
        text.push('\n');
    };
    row("list source", &|p| {
        format!("{:?}", p.list_source).to_lowercase()
    });
    row("seed", &|p| p.seed.to_string());
    for (index, name) in ["p50", "p99", "max"].into_iter().enumerate() {
        row(&format!("time to list, {name}, ms"), &|p| {
            p.listed_ms[index].to_string()
        });
    }
    row("first answer to last list, ms", &|p| {
        p.all_listed_ms.to_string()
    });
    row("proxies without a list", &|p| p.unlisted.to_string());
    row("proxies with an outdated list", &|p| p.behind.to_string());
    row("polls until all had a list", &|p| {
        p.questions_start.to_string()
    });
    row("polls", &|p| p.questions.to_string());
    row("polls, max per second", &|p| p.questions_most.to_string());
    row("polls timed out", &|p| p.given_up.to_string());
    row("connections to hosts", &|p| p.connects.to_string());
    row("connections to one host, max per s", &|p| {
        p.connects_most.to_string()
    });
    row("host load over capacity, max", &|p| {
        format!("{:.2}", p.multiple_most)
    });
    row("calls", &|p| p.calls.to_string());
    row("served", &|p| p.served.to_string());
    row("goodput, first 10 s", &|p| format!("{:.3}", p.goodput));
    row("lost", &|p| p.lost.to_string());
    row("executed twice", &|p| p.executed_twice.to_string());
    row("last request after a drain, ms", &|p| {
        p.drained_ms.map_or("-".to_owned(), |ms| ms.to_string())
    });
    text
}

/// The totals of many runs.
pub fn sums(all: &[RunReport]) -> String {
    let mut text = String::new();
    let sum = |of: fn(&RunReport) -> usize| all.iter().map(of).sum::<usize>();
    let most = |of: fn(&RunReport) -> u64| all.iter().map(of).max().unwrap_or(0);
    let mut row = |name: &str, value: u64| {
        let _ = writeln!(text, "{name:<36}{value:>10}");
    };
    row("runs", all.len() as u64);
    row(
        "without violation",
        all.iter().filter(|p| p.held()).count() as u64,
    );
    row("faults", sum(|p| p.faults.len()) as u64);
    row("proxies without a list", sum(|p| p.unlisted) as u64);
    row("proxies with an outdated list", sum(|p| p.behind) as u64);
    row("time to list, max, ms", most(|p| p.listed_ms[2]));
    row("polls", sum(|p| p.questions) as u64);
    row("polls, max per second", most(|p| p.questions_most as u64));
    row("polls timed out", sum(|p| p.given_up as usize) as u64);
    row(
        "connections to one host, max per s",
        most(|p| p.connects_most as u64),
    );
    row("calls", sum(|p| p.calls) as u64);
    row("served", sum(|p| p.served) as u64);
    row("lost", sum(|p| p.lost) as u64);
    row("executed twice", sum(|p| p.executed_twice) as u64);
    text
}

/// Plots polls, the share of proxies with a list, connections and served calls over the time since the start, as SVG.
///
/// # Errors
/// Returns an error if the file cannot be written.
pub fn plot(all: &[RunReport], proxies: usize, file: &Path) -> Result<(), String> {
    let root = SVGBackend::new(file, (900, 640)).into_drawing_area();
    let drawn = || -> Result<(), Box<dyn std::error::Error>> {
        root.fill(&WHITE)?;
        let most = all.iter().map(|p| p.seconds.len()).max().unwrap_or(1) as f64;
        type Line = Vec<(f64, f64)>;
        let by_second = |p: &RunReport, of: &dyn Fn(&[usize; 4]) -> f64| -> Line {
            p.seconds
                .iter()
                .enumerate()
                .map(|(n, s)| (n as f64 + 0.5, of(s)))
                .collect()
        };
        let share = |p: &RunReport| -> Line {
            p.tenths
                .iter()
                .enumerate()
                .map(|(n, c)| (n as f64 / 10.0, *c as f64 / proxies as f64))
                .collect()
        };
        type Panel<'a> = (&'static str, Box<dyn Fn(&RunReport) -> Line + 'a>);
        let panels: [Panel<'_>; 4] = [
            (
                "polls per second",
                Box::new(move |p| by_second(p, &|s| s[0] as f64)),
            ),
            ("share of proxies with a list", Box::new(share)),
            (
                "connections opened per second",
                Box::new(move |p| by_second(p, &|s| s[1] as f64)),
            ),
            (
                "calls served per second",
                Box::new(move |p| by_second(p, &|s| s[3] as f64)),
            ),
        ];
        for (area, (name, line)) in root.split_evenly((2, 2)).iter().zip(&panels) {
            let lines: Vec<Line> = all.iter().map(line).collect();
            let high = lines.iter().flatten().map(|p| p.1).fold(1.0, f64::max);
            let mut chart = ChartBuilder::on(area)
                .margin(10)
                .caption(*name, ("sans-serif", 16))
                .x_label_area_size(28)
                .y_label_area_size(44)
                .build_cartesian_2d(0.0..most, 0.0..high * 1.05)?;
            chart
                .configure_mesh()
                .x_desc("s since the first start")
                .draw()?;
            for (line, report) in lines.into_iter().zip(all) {
                let colour = match report.list_source {
                    super::ListSource::None => RED,
                    super::ListSource::Turns => BLACK,
                    super::ListSource::Peers => BLUE,
                };
                let label = format!("{:?}", report.list_source).to_lowercase();
                chart
                    .draw_series(LineSeries::new(line, &colour))?
                    .label(label)
                    .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour));
            }
            chart.configure_series_labels().border_style(BLACK).draw()?;
        }
        root.present()?;
        Ok(())
    };
    drawn().map_err(|e| format!("{}: {e}", file.display()))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_listening_line_begins_a_lifetime() {
        let line = |at: Micros, text: &str| (at, text.to_owned());
        let log = [
            line(1, "listening on 127.0.0.1:1"),
            line(
                5,
                "endpoint list received index=3 source=127.0.0.1:2 endpoints=4",
            ),
            line(7, "listening on 127.0.0.1:1"),
            line(
                8,
                "endpoint list received index=3 source=127.0.0.1:2 endpoints=4",
            ),
            line(9, "listening on 127.0.0.1:1"),
        ];
        assert_eq!(lifetimes(&log), vec![(1, Some(5)), (7, Some(8)), (9, None)]);
    }
}
