//! Scenarios played again and again: over values of one or two keys, over seeds, and side by side.

use crate::run_result::Summary;
use crate::scenario_file;
use crate::simulation::SimulationError;
use badgerramp_sim_model::Scenario;
use serde::Serialize;
use statrs::distribution::{ContinuousCDF, StudentsT};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};

/// A scenario's file as it may be changed: each change is read and checked like the file itself.
#[derive(Clone, Debug)]
pub struct Template {
    name: String,
    table: toml::Table,
}

impl Template {
    /// Reads a file.
    ///
    /// # Errors
    /// If it can't be read, or is no good scenario as it stands.
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

    /// The same with another value for a key, such as `clients.rate=400`, `class.x.attempt="200ms"` or `host.cores=2`,
    /// which changes all hosts.
    ///
    /// # Errors
    /// If the text has no value or the key names no place; what the value may be is told by [`Template::scenario`].
    pub fn with_override(&self, change: &str) -> Result<Self, SimulationError> {
        let (key, value) = change.split_once('=').ok_or_else(|| {
            SimulationError::Other(format!(
                "{change:?}: allowed is KEY=VALUE, like clients.rate=400"
            ))
        })?;
        // A time or a word may come without its quotes, as a shell takes them away.
        let read = |text: &str| {
            format!("v = {text}")
                .parse::<toml::Table>()
                .ok()
                .and_then(|mut t| t.remove("v"))
        };
        let value =
            read(value.trim()).unwrap_or_else(|| toml::Value::String(value.trim().to_owned()));
        let parts: Vec<&str> = key.trim().split('.').collect();
        let mut file = toml::Value::Table(self.table.clone());
        put(&mut file, &parts, &value).map_err(|at| {
            SimulationError::Other(format!("{key}: {at:?} is no table of the file"))
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

    /// The scenario.
    ///
    /// # Errors
    /// All mistakes, at their places in the file as it was changed.
    pub fn scenario(&self) -> Result<Scenario, SimulationError> {
        Ok(scenario_file::parse(&self.name, &self.table.to_string())?)
    }
}

/// Sets a value; the error names the part that leads nowhere.
fn put(value: &mut toml::Value, parts: &[&str], to: &toml::Value) -> Result<(), String> {
    match (value, parts) {
        (toml::Value::Table(table), [last]) => {
            table.insert((*last).to_owned(), to.clone());
            Ok(())
        }
        (toml::Value::Table(table), [first, rest @ ..]) => {
            let inner = table
                .entry(*first)
                .or_insert_with(|| toml::Value::Table(toml::Table::new()));
            put(inner, rest, to)
        }
        // All tables of a list alike.
        (toml::Value::Array(list), parts) => {
            list.iter_mut().try_for_each(|part| put(part, parts, to))
        }
        (_, parts) => Err(parts.first().copied().unwrap_or_default().to_owned()),
    }
}

/// A mean and the half of its interval of confidence (95 %), over independent seeds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Mean {
    /// The mean.
    pub mean: f64,
    /// Half the width of the interval; 0 for a single value, of which nothing can be said.
    #[serde(rename = "half")]
    pub half_width: f64,
    /// Values.
    pub count: usize,
}

impl Mean {
    /// Of these values.
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

/// Plays `count` courses on so many threads; what is done when `stop` comes is kept. In the order of their numbers.
///
/// # Errors
/// The first fault of a play.
pub fn run_all<T: Send>(
    count: usize,
    threads: usize,
    stop: &AtomicBool,
    play: impl Fn(usize) -> Result<T, SimulationError> + Sync,
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
                let played = play(number);
                done.lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .push((number, played));
                progress();
            });
        }
    });
    let mut done = done.into_inner().unwrap_or_else(PoisonError::into_inner);
    done.sort_by_key(|d| d.0);
    done.into_iter()
        .map(|(n, played)| played.map(|p| (n, p)))
        .collect()
}

/// What is told of the courses of one point of a sweep.
#[derive(Clone, Debug, Serialize)]
pub struct SweepPoint {
    /// The changes that make it.
    pub changes: Vec<String>,
    /// Worth earned over worth wanted.
    pub goodput: Mean,
    /// That of the worst-served class.
    pub worst_class: Mean,
    /// Attempts for each thing wanted.
    pub amplification: Mean,
    /// Milliseconds within which 99 of 100 that were served were.
    pub p99_ms: Mean,
    /// How often any rule was broken, over all seeds.
    #[serde(rename = "broken")]
    pub violation_count: u64,
}

impl SweepPoint {
    /// Of these courses.
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

/// Two sets of courses, paired by seed: what the second has over the first.
#[derive(Clone, Debug, Serialize)]
pub struct Comparison {
    /// Difference of goodput.
    pub goodput: Mean,
    /// Of the worst-served class.
    pub worst_class: Mean,
    /// Of attempts for each thing wanted.
    pub amplification: Mean,
    /// Of the time within which 99 of 100 were served, in milliseconds.
    pub p99_ms: Mean,
    /// Rules broken in either.
    #[serde(rename = "broken")]
    pub violation_counts: (u64, u64),
}

impl Comparison {
    /// Of two sets, in the same order of seeds.
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

/// The values of a sweep: `KEY=FROM..TO:STEPS` or `KEY=A,B,C`, as changes for [`Template::with`].
///
/// # Errors
/// What is odd in the text.
pub fn sweep_values(text: &str) -> Result<Vec<String>, SimulationError> {
    let odd = |why: &str| {
        SimulationError::Other(format!(
            "{text:?}: {why}; allowed: KEY=FROM..TO:STEPS or KEY=A,B,C"
        ))
    };
    let (key, values) = text
        .split_once('=')
        .ok_or_else(|| odd("there is no value"))?;
    if let Some((from, rest)) = values.split_once("..") {
        let (to, steps) = rest
            .split_once(':')
            .ok_or_else(|| odd("the steps are not told"))?;
        let number = |t: &str| {
            t.trim()
                .parse::<f64>()
                .map_err(|_| odd("this is no number"))
        };
        let (from, to) = (number(from)?, number(to)?);
        let steps: usize = steps
            .trim()
            .parse()
            .map_err(|_| odd("the steps are no whole number"))?;
        if !(2..=1_000).contains(&steps) {
            return Err(odd("from 2 to 1000 steps"));
        }
        let whole = from.fract() == 0.0 && to.fract() == 0.0;
        let at = |n: usize| from + (to - from) * n as f64 / (steps - 1) as f64;
        // Keys that want whole numbers get them where both ends are whole.
        let shown = |v: f64| {
            if whole {
                format!("{key}={}", v.round())
            } else {
                format!("{key}={v}")
            }
        };
        return Ok((0..steps).map(|n| shown(at(n))).collect());
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
    fn a_mean_has_the_interval_that_students_t_gives() {
        // Two degrees of freedom: 4.303 standard errors.
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
    fn values_of_a_sweep_are_read_or_refused() {
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
