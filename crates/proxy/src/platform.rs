//! The program on the platform: `RELAY_CONFIG` names what holds, and an operator's file may narrow it.

use crate::net::driver::List;
use crate::net::rules::{Platform, Rules};
use crate::program::{self, Fault, Members, Running, Setup};
use badgerramp_config::{narrow, Deployment};
use badgerramp_decisions::settings::{self, PlatformSettings};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// The longest aim over the time after which a client that is refused may come back.
const ADVICE_AIM: u64 = 4;

#[derive(Deserialize)]
struct Config {
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: String,
    limits: Limits,
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
    let shown = path.display();
    let text = std::fs::read(path).map_err(|e| format!("configuration {shown}: {e}"))?;
    let config: Config =
        serde_json::from_slice(&text).map_err(|e| format!("configuration {shown}: {e}"))?;
    let facts = settings::read(&config.settings).map_err(|e| format!("settings: {e}"))?;
    Ok((config, facts))
}

/// The settings in a configuration of the platform.
pub(crate) fn facts_of(path: &Path) -> Result<PlatformSettings, String> {
    read(path).map(|(_, facts)| facts)
}

fn rules(facts: &PlatformSettings, operator: Option<&Path>) -> Result<Rules, Fault> {
    let narrowed = match operator {
        Some(path) => {
            let config = badgerramp_config::load(path)?;
            if config.deployment != Deployment::Platform {
                let shown = path.display();
                return Err(Fault::Other(format!(
                    "{shown}: without `platform = true` it is for `badgerramp run`"
                )));
            }
            Some(narrow(&config, facts)?)
        }
        None => None,
    };
    Ok(Rules::Platform(Platform::new(facts, narrowed)))
}

/// Runs the program.
pub(crate) fn run(operator: Option<PathBuf>) -> Result<(), Fault> {
    // What is wrong with the file is told after this, by `rules`; its log is the default one then.
    let log = operator
        .as_deref()
        .and_then(|file| badgerramp_config::load(file).ok())
        .map(|c| c.log);
    crate::log::start(&log.unwrap_or_default());
    let path =
        std::env::var_os("RELAY_CONFIG").ok_or_else(|| "RELAY_CONFIG is not set".to_owned())?;
    let path = PathBuf::from(path);
    let (config, facts) = read(&path)?;
    let seed =
        u64::from_str_radix(&config.seed, 16).map_err(|e| format!("seed {}: {e}", config.seed))?;
    let longest_aim = facts
        .settings
        .classes
        .iter()
        .map(|c| c.latency_objective)
        .max()
        .unwrap_or_default();
    let rules_of = rules(&facts, operator.as_deref())?;
    let (index, known) = config
        .known
        .map_or((None, Vec::new()), |k| (Some(k.index), k.endpoints));
    // What settings say is for good; the file narrows it anew at each reload.
    let settled = facts.clone();
    let setup = Setup {
        listen: config.listen,
        seed,
        facts,
        descriptors: config.limits.sockets,
        memory: config.limits.memory_mb << 20,
        members: Members::Discovery {
            address: config.discovery,
            known,
            index,
        },
        subset: None,
        watch_wait: None,
        list: None,
        peers: None,
        rules: rules_of,
        // What is refused without advice comes of a crowd, which passes in answer times rather than aims.
        advice: (longest_aim / ADVICE_AIM).max(1_000),
        gate: None,
        plain_http: false,
    };
    // Where to find discovery, and the operator's file, are what may change in a running program; a file that can't
    // be read, or not in every part, changes nothing.
    let reload = move |running: &Running| {
        let (config, _) = read(&path)?;
        if operator.is_some() {
            let rules = rules(&settled, operator.as_deref()).map_err(|fault| match fault {
                Fault::Diagnostics(mistakes) => mistakes.to_single_line(),
                Fault::Other(fault) => fault,
            })?;
            *running.server.rules.borrow_mut() = Rc::new(rules);
        }
        running.follow(config.discovery);
        Ok(())
    };
    Ok(program::run(setup, reload, |_| {}, async {})?)
}

#[cfg(test)]
mod tests;
