//! The program as a sidecar: without the platform, configured by the operator's file.

use crate::class_ids::{seed, ClassIds};
use crate::net::admission_gate::AdmissionGate;
use crate::net::driver::Endpoint;
use crate::net::peers;
use crate::net::rules::{Rules, Sidecar};
use crate::policy_client::PolicyClient;
use crate::program::{self, EndpointSource, Error, Running, Setup};
use badgerramp_config::{Config, Deployment, PeersSettings};
use badgerramp_control_protocol::SharedSecret;
use badgerramp_decisions::settings::{PlatformSettings, Transport};
use badgerramp_decisions::ListUpdateKind;
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// How long a watch of the endpoint list waits for news, in microseconds. It is not derived as on the platform, because the
/// cost of a repeated watch to the operator's list service is not known.
const WATCH_WAIT_US: u64 = 10_000_000;

fn load(path: &Path) -> Result<Config, Error> {
    let config = badgerramp_config::load(path)?;
    if config.deployment != Deployment::Standalone {
        return Err(Error::Other(format!(
            "{}: `platform = true` is for `badgerramp --operator`",
            path.display()
        )));
    }
    Ok(config)
}

/// When each endpoint of the operator's file was first seen, in Unix milliseconds; 0 for those that were in the file at the
/// start of the program.
#[derive(Default)]
struct FirstSeenTimes(HashMap<(String, SocketAddr), u64>);

impl FirstSeenTimes {
    /// Returns the endpoints of a file. Those that are new in it count as started at `now`.
    fn endpoints(&mut self, config: &Config, now: u64) -> Vec<Endpoint> {
        let old = std::mem::take(&mut self.0);
        let mut endpoints = Vec::new();
        for endpoint in &config.upstream.endpoints {
            let key = (endpoint.name.clone(), endpoint.address);
            let first_seen_ms = old.get(&key).copied().unwrap_or(now);
            endpoints.push(Endpoint::fixed(endpoint, first_seen_ms));
            self.0.insert(key, first_seen_ms);
        }
        endpoints
    }
}

/// Checks that the files differ only in what a running program can change.
fn check_reloadable(old: &Config, new: &Config) -> Result<(), String> {
    let unchanged = [
        ("listen", old.listen == new.listen),
        ("log", old.log == new.log),
        ("limits.memory", old.limits.memory == new.limits.memory),
        (
            "limits.descriptors",
            old.limits.descriptors == new.limits.descriptors,
        ),
        ("upstream.idle", old.upstream.idle == new.upstream.idle),
        ("subset", old.subset == new.subset),
        ("list", old.list == new.list),
        ("peers", old.peers == new.peers),
        ("policy", old.policy == new.policy),
        (
            "upstream.discovery",
            old.upstream.discovery.is_some() == new.upstream.discovery.is_some(),
        ),
    ];
    let changed: Vec<&str> = unchanged
        .into_iter()
        .filter(|(_, unchanged)| !unchanged)
        .map(|(key, _)| key)
        .collect();
    if changed.is_empty() {
        Ok(())
    } else {
        Err(format!(
            "a running program can't change {}: restart it",
            changed.join(", ")
        ))
    }
}

/// Checks that the process may open as many file descriptors as the file sets.
fn check_descriptor_limit(required: usize) -> Result<(), String> {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    match limit {
        Some(limit) if limit < required as u64 => Err(format!(
            "limits.descriptors: the file sets {required}, but the system limits this process to {limit}"
        )),
        _ => Ok(()),
    }
}

/// Returns the setup for an operator's file.
fn setup(
    config: Config,
    class_ids: &mut ClassIds,
    first_seen: &mut FirstSeenTimes,
    seed: u64,
) -> Setup {
    let names: Vec<&str> = config.classes.iter().map(|c| c.name.as_str()).collect();
    let (ids, _) = class_ids.assign(&names, |_| false);
    let transport = Transport {
        max_open: config.limits.open_calls,
        conn_idle: config.upstream.idle,
        // Unused: each route has its own.
        connect_timeout: 0,
    };
    let settings = class_ids.settings(&config, &ids);
    let classes = config.classes.iter().map(|c| c.name.clone()).collect();
    let platform_settings = PlatformSettings {
        settings,
        classes,
        tenants: Vec::new(),
        transport,
    };
    let endpoint_source = match config.upstream.discovery {
        Some(address) => EndpointSource::Discovery {
            address,
            cached: Vec::new(),
            index: None,
        },
        None => EndpointSource::Fixed(first_seen.endpoints(&config, 0)),
    };
    Setup {
        listen: config.listen,
        seed,
        platform_settings,
        descriptors: config.limits.descriptors,
        memory_bytes: config.limits.memory,
        endpoint_source,
        subset: config.subset,
        watch_wait: Some(WATCH_WAIT_US),
        list_polling: config.list,
        gossip: None,
        default_retry_after: config.limits.retry_after,
        rules: Rules::Sidecar(Box::new(Sidecar::new(config, ids, seed))),
        gate: None,
        plain_http: true,
    }
}

/// Returns the codec of the fleet's datagrams.
pub(crate) fn datagram_codec(terms: &PeersSettings) -> Result<peers::DatagramCodec, String> {
    let secret = SharedSecret::read(&terms.secret)
        .map_err(|e| format!("peers.secret: {}: {e}", terms.secret.display()))?;
    Ok(peers::DatagramCodec::new(secret, terms.fleet.clone()))
}

/// Binds the gossip socket and returns the configuration of the gossip with the fleet's other proxies.
fn gossip_config(terms: &PeersSettings) -> Result<peers::GossipConfig, String> {
    let codec = datagram_codec(terms)?;
    let error = |e| format!("peers.listen: {}: {e}", terms.listen);
    let socket = std::net::UdpSocket::bind(terms.listen).map_err(error)?;
    let local_address = socket.local_addr().map_err(error)?;
    tracing::info!("peers: hearing on {local_address}");
    let advertise = terms.advertise.unwrap_or(local_address);
    Ok(peers::GossipConfig {
        socket,
        advertise,
        seeds: terms.seeds.clone(),
        codec,
        id: seed(),
    })
}

/// Returns the setup for an operator's file that is not reloaded later.
pub fn setup_once(config: Config, seed: u64) -> Setup {
    setup(
        config,
        &mut ClassIds::default(),
        &mut FirstSeenTimes::default(),
        seed,
    )
}

/// Runs the program with the operator's file at `path` until SIGTERM.
///
/// # Errors
/// If the file is invalid, or the program fails.
pub fn run(path: PathBuf) -> Result<(), Error> {
    let config = load(&path)?;
    crate::log::start(&config.log);
    check_descriptor_limit(config.limits.descriptors)?;
    if config.policy.is_some() {
        return run_with_policy(path, config);
    }
    let (mut class_ids, mut first_seen) = (ClassIds::default(), FirstSeenTimes::default());
    let gossip = config.peers.as_ref().map(gossip_config).transpose()?;
    let mut setup = setup(config, &mut class_ids, &mut first_seen, seed());
    setup.gossip = gossip;
    let reload = move |running: &Running| {
        let config = load_for_reload(&path)?;
        let old = Rc::clone(&running.server.rules.borrow());
        let Rules::Sidecar(old) = &*old else {
            return Err("the program does not run as a sidecar".to_owned());
        };
        check_reloadable(old.config(), &config)?;
        // Nothing below fails, so a failed reload changes nothing.
        let names: Vec<&str> = config.classes.iter().map(|c| c.name.as_str()).collect();
        let (ids, reassigned_ids) = class_ids.assign(&names, |class| running.driver.in_use(class));
        let settings = class_ids.settings(&config, &ids);
        running
            .driver
            .reconfigure(settings, reassigned_ids, config.limits.open_calls);
        update_endpoints(&config, &mut first_seen, running);
        running
            .server
            .default_retry_after
            .set(config.limits.retry_after);
        *running.server.rules.borrow_mut() =
            Rc::new(Rules::Sidecar(Box::new(Sidecar::new(config, ids, seed()))));
        tracing::info!("the new configuration holds");
        Ok(())
    };
    Ok(program::run(setup, reload, |_| {}, async {})?)
}

/// Returns the setup and the policy client of a proxy whose classes and routes come from the control plane.
fn setup_with_policy(
    path: &Path,
    config: Config,
    first_seen: &mut FirstSeenTimes,
) -> Result<(Setup, Rc<PolicyClient>), Error> {
    let mut class_ids = ClassIds::default();
    let local_config = load(path)?;
    let gossip = config.peers.as_ref().map(gossip_config).transpose()?;
    let mut setup = setup(config, &mut class_ids, first_seen, seed());
    setup.gossip = gossip;
    let policy_client = PolicyClient::new(local_config, class_ids)?;
    setup.gate = Some(policy_client.gate());
    Ok((setup, policy_client))
}

/// Runs a proxy whose classes and routes come from the control plane; the file holds the settings of this proxy only.
fn run_with_policy(path: PathBuf, config: Config) -> Result<(), Error> {
    let mut first_seen = FirstSeenTimes::default();
    let (setup, policy_client) = setup_with_policy(&path, config, &mut first_seen)?;
    let reload = |running: &Running| {
        let config = load_for_reload(&path)?;
        check_reloadable(&policy_client.local_config(), &config)?;
        let upstream = load_for_reload(&path)?;
        policy_client.set_local_config(config, running)?;
        update_endpoints(&upstream, &mut first_seen, running);
        tracing::info!("the proxy's own configuration was reloaded");
        Ok(())
    };
    Ok(program::run(
        setup,
        reload,
        |running| policy_client.start(running),
        policy_client.unregister(),
    )?)
}

/// Runs a proxy with `[policy]` in the [`LocalSet`](tokio::task::LocalSet) that polls this future, until `stop` resolves.
/// It is [`run`] for several proxies that share a process: the file is read once, signals are not handled, and
/// `limits.descriptors` is not checked against the limit of the process. `on_start` receives the gate that admits calls.
///
/// # Errors
/// If the file is invalid or has no `[policy]`, or a task ends that must not.
pub async fn serve(
    path: &Path,
    stop: impl Future<Output = ()>,
    on_start: impl FnOnce(Rc<AdmissionGate>),
) -> Result<(), Error> {
    let (setup, policy_client) =
        setup_with_policy(path, load(path)?, &mut FirstSeenTimes::default())?;
    let environment = program::Environment::system(setup.listen)?;
    let no_hangup = async || std::future::pending().await;
    let no_reload = |_: &Running| Ok(());
    let start = |running: &Running| {
        policy_client.start(running);
        on_start(policy_client.gate());
    };
    let result = program::serve_in(setup, environment, no_hangup, stop, no_reload, start).await;
    policy_client.unregister().await;
    Ok(result?)
}

fn load_for_reload(path: &Path) -> Result<Config, String> {
    load(path).map_err(|error| match error {
        Error::Diagnostics(diagnostics) => diagnostics.to_single_line(),
        Error::Other(error) => error,
    })
}

/// Applies the endpoints of a file, or the address of its list service.
fn update_endpoints(config: &Config, first_seen: &mut FirstSeenTimes, running: &Running) {
    match config.upstream.discovery {
        Some(address) => running.set_list_service(address),
        None => {
            // An endpoint that is added now may just have started, so it goes through slow start.
            let endpoints = first_seen.endpoints(config, running.clock.now() / 1_000);
            running
                .driver
                .apply_endpoint_list(ListUpdateKind::Full, &endpoints);
        }
    }
}
