//! How fast scenarios are played, and in how much memory.

use crate::generate;
use crate::simulation::{run_in_virtual_time, RunOptions, SimulationError};
use badgerramp_sim_model::{Effect, Hedging, Scenario};
use std::sync::Arc;
use std::time::Instant;

/// A calm world of so many hosts and proxies: each host has ten requests a second of 5 ms.
pub fn plain(hosts: usize, proxies: u32, seconds: u64, rate: f64) -> Scenario {
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

/// Resident memory of this process in MiB, now and at the most; None where the system does not tell.
fn memory() -> Option<(f64, f64)> {
    let text = std::fs::read_to_string("/proc/self/status").ok()?;
    let of = |name: &str| -> Option<f64> {
        let line = text.lines().find(|l| l.starts_with(name))?;
        line.split_whitespace()
            .nth(1)?
            .parse::<f64>()
            .ok()
            .map(|kib| kib / 1024.0)
    };
    Some((of("VmRSS:")?, of("VmHWM:")?))
}

/// Plays calm worlds of growing size on one thread and prints what each cost.
///
/// # Errors
/// If one can't be played.
pub fn speed(large: bool) -> Result<(), SimulationError> {
    println!(
        "{:<28}{:>10}{:>12}{:>16}{:>18}",
        "world", "requests", "seconds", "requests a s", "memory MiB, most"
    );
    let mut worlds = vec![
        plain(12, 1, 60, 1_000.0),
        plain(12, 4, 60, 1_000.0),
        plain(100, 4, 60, 5_000.0),
    ];
    worlds.push(plain(1_000, 4, 30, 5_000.0));
    if large {
        worlds.push(plain(1_000, 2_000, 60, 10_000.0));
    }
    for world in worlds {
        let world = Arc::new(world);
        let began = Instant::now();
        let course = run_in_virtual_time(
            &world,
            RunOptions {
                seed: 1,
                ..RunOptions::default()
            },
        )?;
        let (took, total) = (began.elapsed().as_secs_f64(), course.total());
        let memory = memory().map_or_else(|| "not told".to_owned(), |m| format!("{:.0}", m.1));
        println!(
            "{:<28}{:>10}{took:>12.2}{:>16.0}{memory:>18}",
            world.name,
            total.tries,
            total.tries as f64 / took
        );
    }
    Ok(())
}
