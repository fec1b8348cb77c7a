//! The program on the platform: `RELAY_CONFIG` names its configuration, and an operator's file may narrow it.

use crate::net::driver::List;
use crate::net::rules::{Platform, Rules};
use crate::program::{self, EndpointSource, Error, Running, Setup};
use badgerramp_config::{narrow, Deployment};
use badgerramp_decisions::settings::{self, PlatformSettings};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// Ratio of the longest latency objective to the default `Retry-After`.
const OBJECTIVE_TO_RETRY_AFTER_RATIO: u64 = 4;

/// The configuration that `RELAY_CONFIG` names.
#[derive(Deserialize)]
struct Config {
    listen: SocketAddr,
    discovery: SocketAddr,
    /// In hexadecimal.
    seed: String,
    limits: Limits,
    /// The endpoint list as last known to the platform.
    known: Option<List>,
    settings: serde_json::Value,
}

#[derive(Deserialize)]
struct Limits {
    sockets: usize,
    #[serde(default = "memory_mb")]
    memory_mb: usize,
}

fn memory_mb() -> usize {
    64
}

fn read(path: &Path) -> Result<(Config, PlatformSettings), String> {
    let displayed_path = path.display();
    let text = std::fs::read(path).map_err(|e| format!("configuration {displayed_path}: {e}"))?;
    let config: Config = serde_json::from_slice(&text)
        .map_err(|e| format!("configuration {displayed_path}: {e}"))?;
    let platform_settings =
        settings::read(&config.settings).map_err(|e| format!("settings: {e}"))?;
    Ok((config, platform_settings))
}

/// Reads the settings in a configuration of the platform.
pub(crate) fn read_settings(path: &Path) -> Result<PlatformSettings, String> {
    read(path).map(|(_, platform_settings)| platform_settings)
}

fn rules(platform_settings: &PlatformSettings, operator: Option<&Path>) -> Result<Rules, Error> {
    let narrowed = match operator {
        Some(path) => {
            let config = badgerramp_config::load(path)?;
            if config.deployment != Deployment::Platform {
                let displayed_path = path.display();
                return Err(Error::Other(format!(
                    "{displayed_path}: a file without `platform = true` is for `badgerramp run`"
                )));
            }
            Some(narrow(&config, platform_settings)?)
        }
        None => None,
    };
    Ok(Rules::Platform(Platform::new(platform_settings, narrowed)))
}

/// Runs the program on the platform until SIGTERM.
pub(crate) fn run(operator: Option<PathBuf>) -> Result<(), Error> {
    // Errors of the operator's file are reported below, by `rules`; the log has its default settings until then.
    let log = operator
        .as_deref()
        .and_then(|file| badgerramp_config::load(file).ok())
        .map(|c| c.log);
    crate::log::start(&log.unwrap_or_default());
    let path =
        std::env::var_os("RELAY_CONFIG").ok_or_else(|| "RELAY_CONFIG is not set".to_owned())?;
    let path = PathBuf::from(path);
    let (config, platform_settings) = read(&path)?;
    let seed =
        u64::from_str_radix(&config.seed, 16).map_err(|e| format!("seed {}: {e}", config.seed))?;
    let longest_objective = platform_settings
        .settings
        .classes
        .iter()
        .map(|c| c.latency_objective)
        .max()
        .unwrap_or_default();
    let initial_rules = rules(&platform_settings, operator.as_deref())?;
    let (index, known) = config
        .known
        .map_or((None, Vec::new()), |k| (Some(k.index), k.endpoints));
    // The settings of calls don't change while the program runs; each reload narrows them by the operator's file as it is
    // then.
    let settings_for_reload = platform_settings.clone();
    let setup = Setup {
        listen: config.listen,
        seed,
        platform_settings,
        descriptors: config.limits.sockets,
        memory_bytes: config.limits.memory_mb << 20,
        endpoint_source: EndpointSource::Discovery {
            address: config.discovery,
            cached: known,
            index,
        },
        subset: None,
        watch_wait: None,
        list_polling: None,
        gossip: None,
        rules: initial_rules,
        // Rejections for which the balancer gives no `Retry-After` come from overload, which passes within response times
        // rather than latency objectives.
        default_retry_after: (longest_objective / OBJECTIVE_TO_RETRY_AFTER_RATIO).max(1_000),
        gate: None,
        plain_http: false,
    };
    // A reload may change the address of the list service and the operator's file. If either file is invalid, nothing
    // changes.
    let reload = move |running: &Running| {
        let (config, newest) = read(&path)?;
        if operator.is_some() {
            let rules =
                rules(&settings_for_reload, operator.as_deref()).map_err(|error| match error {
                    Error::Diagnostics(diagnostics) => diagnostics.to_single_line(),
                    Error::Other(error) => error,
                })?;
            *running.server.rules.borrow_mut() = Rc::new(rules);
        }
        // Whoever kills the process counts by the file that is there.
        let longest_deadline = newest.settings.longest_deadline();
        running.driver.set_longest_deadline(longest_deadline);
        running.set_list_service(config.discovery);
        Ok(())
    };
    Ok(program::run(setup, reload, |_| {}, async {})?)
}

#[cfg(test)]
mod tests;
