//! The operator's file that the proxies of a scenario run with, in all backends. It is generated as text and parsed like
//! any operator's file, so that simulation runs test the proxy's own routes and timing.

use badgerramp_config::{Config, Diagnostics};
use badgerramp_sim_model::{DedupGroup, Effect, Hedging, Scenario};
use badgerramp_toml_diagnostics::units::format_duration;
use std::fmt::Write;
use std::net::SocketAddr;

/// Memory limit of each generated file, in MiB.
pub const MEMORY_MIB: u64 = 64;
/// Limit of file descriptors of each generated file.
pub const DESCRIPTORS: usize = 1_024;

/// The text of a proxy's file. The proxy is in `zone` and accepts clients at `listen`; the list service is at `discovery`.
pub fn render(
    scenario: &Scenario,
    (proxy, zone): (u32, &str),
    listen: SocketAddr,
    discovery: SocketAddr,
) -> String {
    let limits = format!("[limits]\nmemory = \"{MEMORY_MIB}MiB\"\ndescriptors = {DESCRIPTORS}\n");
    let mut out = format!("listen = \"{listen}\"\n\n{limits}\n[upstream]\n");
    let time = |micros: u64| format!("\"{}\"", format_duration(micros));
    let cold = scenario.hosts.iter().find_map(|h| h.cold_start);
    // Writing to a String can't fail.
    let _ = write!(
        out,
        "discovery = \"{discovery}\"\nzone = {zone:?}\nproxies = {}\nidle = {}\ndrain_grace = {}\n",
        scenario.proxies,
        time(scenario.network.idle_timeout),
        time(scenario.criteria.drain_grace)
    );
    if let Some(cold) = cold {
        let _ = write!(
            out,
            "cold_share = {:?}\ncold_time = {}\nfall_multiple = {:?}\nfall_time = {}\n",
            cold.initial_capacity,
            time(cold.warm_up),
            cold.collapse_multiple,
            time(cold.collapse_window)
        );
    }
    if scenario.subset_size > 0 {
        let _ = write!(
            out,
            "\n[subset]\ninstance = {proxy}\nsize = {}\n",
            scenario.subset_size
        );
    }
    for class in &scenario.classes {
        let _ = write!(
            out,
            "\n[class.{}]\naim = {}\ndeadline = {}\nworth = {:?}\nlate_worth = {:?}\nattempts = {}\nconnect = {}\n",
            class.name,
            time(class.latency_objective),
            time(class.deadline),
            class.priority_weight,
            class.late_weight,
            class.max_attempts,
            time(scenario.network.connect_timeout.min(class.attempt_timeout.unwrap_or(u64::MAX)))
        );
        match class.effect {
            Effect::Safe => out.push_str("effect = \"safe\"\n"),
            Effect::Unsafe => out.push_str("effect = \"unsafe\"\n"),
            Effect::Keyed { group, window } => {
                let group = match group {
                    DedupGroup::All => "all",
                    DedupGroup::Zone => "zone",
                    DedupGroup::Group => "group",
                };
                let _ = write!(
                    out,
                    "effect = \"keyed\"\ngroup = \"{group}\"\nwindow = {}\n",
                    time(window)
                );
            }
        }
        if let Some(attempt) = class.attempt_timeout {
            let _ = writeln!(out, "attempt = {}", time(attempt));
        }
        if class.backoff > 0 {
            let _ = writeln!(out, "backoff = {}", time(class.backoff));
        }
        match class.hedging {
            Hedging::Off => {}
            Hedging::Auto => out.push_str("second_copy = \"auto\"\n"),
            Hedging::After(after) => {
                let _ = writeln!(out, "second_copy = \"after {}\"", format_duration(after));
            }
        }
    }
    for class in &scenario.classes {
        let _ = write!(
            out,
            "\n[[route]]\nname = \"{0}\"\nprefix = \"/{0}\"\nmethods = [\"POST\"]\nclass = \"{0}\"\n",
            class.name
        );
    }
    out
}

/// Section that is appended to a proxy's file so that its log contains the events of each call.
pub const CALL_LOG_SECTION: &str =
    "\n[log]\nformat = \"json\"\nrate = 100000\ntargets = { \"badgerramp::calls\" = \"debug\" }\n";

/// The parsed file of a scenario. Nothing connects to the addresses in it.
///
/// # Errors
/// All mistakes of the generated file: the scenario asks for something that the proxy does not allow, such as hedged
/// requests for an unsafe class.
pub fn parse(scenario: &Scenario) -> Result<Config, Diagnostics> {
    let unused_address = SocketAddr::from(([127, 0, 0, 1], 9));
    let name = format!("the operator's file of {:?}", scenario.name);
    badgerramp_config::parse(
        &name,
        &render(
            scenario,
            (0, "z"),
            SocketAddr::from(([127, 0, 0, 1], 0)),
            unused_address,
        ),
    )
}
