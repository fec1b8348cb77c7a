//! Repeated simulation runs of a scenario: over many seeds, over the values of one or two keys, and in comparison with
//! another scenario.

use crate::run_result::Summary;
use crate::scenario_file;
use crate::simulation::SimulationError;
use badgerramp_sim_model::Scenario;
use serde::Serialize;
use statrs::distribution::{ContinuousCDF, StudentsT};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};

/// A scenario file whose values can be overridden. The result is parsed and checked like a file.
#[derive(Clone, Debug)]
pub struct Template {
    name: String,
    table: toml::Table,
}

impl Template {
    /// Reads a scenario file.
    ///
    /// # Errors
    /// If the file can't be read, or is not a valid scenario without any override.
    pub fn load(path: &Path) -> Result<Self, SimulationError> {
        scenario_file::load(path)?;
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|e| SimulationError::Other(format!("{name}: {e}")))?;
        let table = text
            .parse()
            .map_err(|e| SimulationError::Other(format!("{name}: {e}")))?;
        Ok(Template { name, table })
    }

    /// A copy with another value for a key, such as `clients.rate=400`, `class.x.attempt="200ms"` or `host.cores=2`. The
    /// last one changes all hosts.
    ///
    /// # Errors
    /// If the text has no value, or the key does not lead to a table of the file. The value itself is checked by
    /// [`Template::scenario`].
    pub fn with_override(&self, change: &str) -> Result<Self, SimulationError> {
        let (key, value) = change.split_once('=').ok_or_else(|| {
            SimulationError::Other(format!(
                "{change:?}: expected KEY=VALUE, such as clients.rate=400"
            ))
        })?;
        // Shells remove quotes, so a value that is not valid TOML counts as a string.
        let parse_value = |text: &str| {
            format!("v = {text}")
                .parse::<toml::Table>()
                .ok()
                .and_then(|mut t| t.remove("v"))
        };
        let value = parse_value(value.trim())
            .unwrap_or_else(|| toml::Value::String(value.trim().to_owned()));
        let parts: Vec<&str> = key.trim().split('.').collect();
        let mut file = toml::Value::Table(self.table.clone());
        set_value(&mut file, &parts, &value).map_err(|part| {
            SimulationError::Other(format!(
                "{key}: {part:?} is not a table of the scenario file"
            ))
        })?;
        let table = match file {
            toml::Value::Table(table) => table,
            _ => self.table.clone(),
        };
        Ok(Template {
            name: format!("{} with {change}", self.name),
            table,
        })
    }

    /// Parses the file with its overrides.
    ///
    /// # Errors
    /// All mistakes, with their positions in the overridden file.
    pub fn scenario(&self) -> Result<Scenario, SimulationError> {
        Ok(scenario_file::parse(&self.name, &self.table.to_string())?)
    }
}

/// Sets the value at a dotted key. The error is the part of the key that is not a table.
fn set_value(value: &mut toml::Value, parts: &[&str], new: &toml::Value) -> Result<(), String> {
    match (value, parts) {
        (toml::Value::Table(table), [last]) => {
            table.insert((*last).to_owned(), new.clone());
            Ok(())
        }
        (toml::Value::Table(table), [first, rest @ ..]) => {
            let inner = table
                .entry(*first)
                .or_insert_with(|| toml::Value::Table(toml::Table::new()));
            set_value(inner, rest, new)
        }
        // Sets the value in each table of an array.
        (toml::Value::Array(list), parts) => list
            .iter_mut()
            .try_for_each(|table| set_value(table, parts, new)),
        (_, parts) => Err(parts.first().copied().unwrap_or_default().to_owned()),
    }
}

/// A mean over independent seeds, with half the width of its 95 % confidence interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Mean {
    /// The mean.
    pub mean: f64,
    /// Half the width of the confidence interval; 0 for a single value, which gives no interval.
    #[serde(rename = "half")]
    pub half_width: f64,
    /// Number of values.
    pub count: usize,
}

impl Mean {
    /// The mean of these values.
    pub fn of(values: &[f64]) -> Self {
        let count = values.len();
        if count == 0 {
            return Mean::default();
        }
        let mean = values.iter().sum::<f64>() / count as f64;
        if count == 1 {
            return Mean {
                mean,
                half_width: 0.0,
                count,
            };
        }
        let degrees = (count - 1) as f64;
        let variance = values.iter().map(|v| (v - mean).powi(2)).sum::<f64>() / degrees;
        let t = StudentsT::new(0.0, 1.0, degrees).map_or(1.96, |t| t.inverse_cdf(0.975));
        Mean {
            mean,
            half_width: t * (variance / count as f64).sqrt(),
            count,
        }
    }
}

impl std::fmt::Display for Mean {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:.4} ± {:.4}", self.mean, self.half_width)
    }
}

/// Calls `run` with each number below `count`, on several threads. Returns the results in the order of their numbers. Once
/// `stop` is set, no further run starts; the finished ones are returned.
///
/// # Errors
/// The first error of a run.
pub fn run_all<T: Send>(
    count: usize,
    threads: usize,
    stop: &AtomicBool,
    run: impl Fn(usize) -> Result<T, SimulationError> + Sync,
    progress: impl Fn() + Sync,
) -> Result<Vec<(usize, T)>, SimulationError> {
    let next = AtomicUsize::new(0);
    let done: Mutex<Vec<(usize, Result<T, SimulationError>)>> = Mutex::default();
    std::thread::scope(|scope| {
        for _ in 0..threads.clamp(1, count.max(1)) {
            scope.spawn(|| loop {
                let number = next.fetch_add(1, Ordering::Relaxed);
                if number >= count || stop.load(Ordering::Relaxed) {
                    return;
                }
                let result = run(number);
                done.lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .push((number, result));
                progress();
            });
        }
    });
    let mut done = done.into_inner().unwrap_or_else(PoisonError::into_inner);
    done.sort_by_key(|d| d.0);
    done.into_iter()
        .map(|(number, result)| result.map(|r| (number, r)))
        .collect()
}

/// The figures of one point of a sweep, over all of its runs.
#[derive(Clone, Debug, Serialize)]
pub struct SweepPoint {
    /// The overrides of this point.
    pub changes: Vec<String>,
    /// Share of the operations' priority weight that was earned by serving them.
    pub goodput: Mean,
    /// Goodput of the class with the lowest goodput.
    pub worst_class: Mean,
    /// Attempts per operation.
    pub amplification: Mean,
    /// 99th percentile of the latency of served operations, in milliseconds.
    pub p99_ms: Mean,
    /// Number of violations of invariants over all runs.
    #[serde(rename = "broken")]
    pub violation_count: u64,
}

impl SweepPoint {
    /// The point with these overrides, from the summaries of its runs.
    pub fn of(changes: Vec<String>, all: &[Summary]) -> Self {
        let mean =
            |figure: fn(&Summary) -> f64| Mean::of(&all.iter().map(figure).collect::<Vec<_>>());
        SweepPoint {
            changes,
            goodput: mean(|s| s.goodput),
            worst_class: mean(|s| s.worst_class_goodput),
            amplification: mean(|s| s.amplification),
            p99_ms: mean(|s| s.p99_ms),
            violation_count: all.iter().map(|s| s.violation_count).sum(),
        }
    }
}

/// Two sets of runs, paired by seed. A difference is the second run's value minus the first one's.
#[derive(Clone, Debug, Serialize)]
pub struct Comparison {
    /// Difference of the goodput.
    pub goodput: Mean,
    /// Difference of the lowest goodput of any class.
    pub worst_class: Mean,
    /// Difference of the attempts per operation.
    pub amplification: Mean,
    /// Difference of the 99th percentile of the latency, in milliseconds.
    pub p99_ms: Mean,
    /// Number of violations of invariants in each set.
    #[serde(rename = "broken")]
    pub violation_counts: (u64, u64),
}

impl Comparison {
    /// Compares two sets of summaries that have the same order of seeds.
    pub fn of(first: &[Summary], second: &[Summary]) -> Self {
        let mean = |figure: fn(&Summary) -> f64| {
            let pairs = first.iter().zip(second);
            Mean::of(
                &pairs
                    .map(|(a, b)| figure(b) - figure(a))
                    .collect::<Vec<_>>(),
            )
        };
        let violations = |all: &[Summary]| all.iter().map(|s| s.violation_count).sum();
        Comparison {
            goodput: mean(|s| s.goodput),
            worst_class: mean(|s| s.worst_class_goodput),
            amplification: mean(|s| s.amplification),
            p99_ms: mean(|s| s.p99_ms),
            violation_counts: (violations(first), violations(second)),
        }
    }
}

/// Parses the values of a sweep, `KEY=FROM..TO:STEPS` or `KEY=A,B,C`, into overrides for [`Template::with_override`].
///
/// # Errors
/// If the text has neither form.
pub fn sweep_values(text: &str) -> Result<Vec<String>, SimulationError> {
    let invalid = |reason: &str| {
        SimulationError::Other(format!(
            "{text:?}: {reason}; expected KEY=FROM..TO:STEPS or KEY=A,B,C"
        ))
    };
    let (key, values) = text
        .split_once('=')
        .ok_or_else(|| invalid("value missing"))?;
    if let Some((from, rest)) = values.split_once("..") {
        let (to, steps) = rest
            .split_once(':')
            .ok_or_else(|| invalid("number of steps missing"))?;
        let number = |t: &str| {
            t.trim()
                .parse::<f64>()
                .map_err(|_| invalid("FROM or TO is not a number"))
        };
        let (from, to) = (number(from)?, number(to)?);
        let steps: usize = steps
            .trim()
            .parse()
            .map_err(|_| invalid("number of steps is not a whole number"))?;
        if !(2..=1_000).contains(&steps) {
            return Err(invalid("number of steps must be from 2 to 1000"));
        }
        let integers = from.fract() == 0.0 && to.fract() == 0.0;
        let value_at = |n: usize| from + (to - from) * n as f64 / (steps - 1) as f64;
        // Some keys take whole numbers only; they get them if both ends are whole.
        let format_override = |v: f64| {
            if integers {
                format!("{key}={}", v.round())
            } else {
                format!("{key}={v}")
            }
        };
        return Ok((0..steps).map(|n| format_override(value_at(n))).collect());
    }
    Ok(values
        .split(',')
        .map(|v| format!("{key}={}", v.trim()))
        .collect())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn mean_has_the_confidence_interval_of_students_t() {
        // With two degrees of freedom the 95 % interval is 4.303 standard errors wide on each side.
        let mean = Mean::of(&[1.0, 2.0, 3.0]);
        assert!(
            (mean.mean - 2.0).abs() < 1e-9
                && (mean.half_width - 4.302_65 / 3f64.sqrt()).abs() < 1e-3,
            "{mean}"
        );
        assert_eq!(
            Mean::of(&[5.0]),
            Mean {
                mean: 5.0,
                half_width: 0.0,
                count: 1
            }
        );
    }

    #[test]
    fn sweep_values_are_parsed_or_rejected() {
        assert_eq!(
            sweep_values("clients.rate=100..300:3").unwrap(),
            ["clients.rate=100", "clients.rate=200", "clients.rate=300"]
        );
        assert_eq!(sweep_values("a=1s,2s").unwrap(), ["a=1s", "a=2s"]);
        for bad in ["a", "a=1..2", "a=1..x:3", "a=1..2:1", "a=1..2:x"] {
            assert!(sweep_values(bad).is_err(), "{bad}");
        }
    }
}
