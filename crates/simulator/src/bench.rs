//! Measures the simulation's throughput and memory use in virtual time.

use crate::generate;
use crate::simulation::{run_in_virtual_time, RunOptions, SimulationError};
use badgerramp_sim_model::{Effect, Hedging, Scenario};
use std::sync::Arc;
use std::time::Instant;

/// A scenario without faults: `hosts` identical hosts, `proxies` proxies, and one class of safe requests that take 5 ms of
/// work each. Clients send `rate` requests per second in total, for `seconds` seconds.
pub fn fault_free_scenario(hosts: usize, proxies: u32, seconds: u64, rate: f64) -> Scenario {
    let mut scenario = generate::scenario(0);
    let spec = badgerramp_sim_model::HostSpec {
        name: String::new(),
        zone: "a".to_owned(),
        group: 0,
        kind: "m".to_owned(),
        cores: 4,
        queue_capacity: 100,
        speed: 1.0,
        max_connections: 1_000_000,
        connection_cost: 0,
        idle_timeout: 15_000_000,
        cold_start: None,
        concurrency_penalty: None,
        congestion_collapse: None,
        joins_at: 0,
    };
    scenario.name = format!("{proxies} proxies, {hosts} hosts");
    scenario.hosts = (0..hosts)
        .map(|n| badgerramp_sim_model::HostSpec {
            name: format!("h{n}"),
            ..spec.clone()
        })
        .collect();
    scenario.proxies = proxies;
    scenario.duration = seconds * 1_000_000;
    scenario.faults.clear();
    scenario.classes.truncate(1);
    let class = &mut scenario.classes[0];
    (
        class.latency_objective,
        class.deadline,
        class.max_attempts,
        class.attempt_timeout,
    ) = (500_000, 1_000_000, 3, None);
    (class.effect, class.hedging, class.backoff, class.work) =
        (Effect::Safe, Hedging::Off, 0, (5_000, 5_000));
    scenario.clients.rate = rate;
    scenario.clients.max_retries = 0;
    (
        scenario.clients.disconnect_share,
        scenario.clients.load_swing.0,
    ) = (0.0, 0.0);
    scenario.criteria.recovery_time = None;
    scenario.list.requests_per_s = 100_000.0;
    scenario
}

/// Current and peak resident memory of this process in MiB; None where the system doesn't report it.
fn memory() -> Option<(f64, f64)> {
    let text = std::fs::read_to_string("/proc/self/status").ok()?;
    let field = |name: &str| -> Option<f64> {
        let line = text.lines().find(|l| l.starts_with(name))?;
        line.split_whitespace()
            .nth(1)?
            .parse::<f64>()
            .ok()
            .map(|kib| kib / 1024.0)
    };
    Some((field("VmRSS:")?, field("VmHWM:")?))
}

/// Runs fault-free scenarios of growing size on one thread, and prints the throughput and peak memory of each.
///
/// # Errors
/// If a scenario can't be run.
pub fn speed(large: bool) -> Result<(), SimulationError> {
    println!(
        "{:<28}{:>10}{:>12}{:>16}{:>18}",
        "world", "requests", "seconds", "requests a s", "memory MiB, most"
    );
    let mut scenarios = vec![
        fault_free_scenario(12, 1, 60, 1_000.0),
        fault_free_scenario(12, 4, 60, 1_000.0),
        fault_free_scenario(100, 4, 60, 5_000.0),
    ];
    scenarios.push(fault_free_scenario(1_000, 4, 30, 5_000.0));
    if large {
        scenarios.push(fault_free_scenario(1_000, 2_000, 60, 10_000.0));
    }
    for scenario in scenarios {
        let scenario = Arc::new(scenario);
        let started = Instant::now();
        let result = run_in_virtual_time(
            &scenario,
            RunOptions {
                seed: 1,
                ..RunOptions::default()
            },
        )?;
        let (elapsed, total) = (started.elapsed().as_secs_f64(), result.total());
        let memory = memory().map_or_else(|| "unknown".to_owned(), |m| format!("{:.0}", m.1));
        println!(
            "{:<28}{:>10}{elapsed:>12.2}{:>16.0}{memory:>18}",
            scenario.name,
            total.tries,
            total.tries as f64 / elapsed
        );
    }
    Ok(())
}
