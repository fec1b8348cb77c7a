//! The program as a sidecar that stands alone: the operator's file is all it has.

use crate::class_ids::{seed, ClassIds};
use crate::net::admission_gate::AdmissionGate;
use crate::net::driver::Endpoint;
use crate::net::peers;
use crate::net::rules::{Rules, Sidecar};
use crate::policy_client::PolicyClient;
use crate::program::{self, Fault, Members, Running, Setup};
use badgerramp_config::{Config, PeersTerms, Use};
use badgerramp_control_protocol::SharedSecret;
use badgerramp_decisions::settings::{PlatformSettings, Transport};
use badgerramp_decisions::ListUpdateKind;
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// How long a watch waits, in microseconds: what it costs a list service to go on with one is not known here.
const WATCH_WAIT: u64 = 10_000_000;

fn load(path: &Path) -> Result<Config, Fault> {
    let config = badgerramp_config::load(path)?;
    if config.usage != Use::Alone {
        return Err(Fault::Other(format!(
            "{}: `platform = true` is for `badgerramp --operator`",
            path.display()
        )));
    }
    Ok(config)
}

/// Since when each endpoint of the file is known, in Unix milliseconds: those of the start for long.
#[derive(Default)]
struct Known(HashMap<(String, SocketAddr), u64>);

impl Known {
    /// The list of a file; what is new in it counts as started at `now`.
    fn list(&mut self, config: &Config, now: u64) -> Vec<Endpoint> {
        let old = std::mem::take(&mut self.0);
        let mut list = Vec::new();
        for endpoint in &config.upstream.endpoints {
            let key = (endpoint.name.clone(), endpoint.address);
            let since = old.get(&key).copied().unwrap_or(now);
            list.push(Endpoint::fixed(endpoint, since));
            self.0.insert(key, since);
        }
        list
    }
}

/// What can't change while the program runs.
fn check_same(old: &Config, new: &Config) -> Result<(), String> {
    let same = [
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
    let changed: Vec<&str> = same
        .into_iter()
        .filter(|(_, same)| !same)
        .map(|(key, _)| key)
        .collect();
    if changed.is_empty() {
        Ok(())
    } else {
        Err(format!(
            "a running program can't change {}: start it anew",
            changed.join(", ")
        ))
    }
}

/// The system's limit must bear what the file promises.
fn check_descriptors(wanted: usize) -> Result<(), String> {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    match limit {
        Some(limit) if limit < wanted as u64 => Err(format!(
            "limits.descriptors: the file promises {wanted}, but the system gives this process {limit}"
        )),
        _ => Ok(()),
    }
}

/// All that a start by a file needs.
fn setup(config: Config, places: &mut ClassIds, known: &mut Known, seed: u64) -> Setup {
    let names: Vec<&str> = config.classes.iter().map(|c| c.name.as_str()).collect();
    let (numbers, _) = places.assign(&names, |_| false);
    let transport = Transport {
        max_open: config.limits.open_calls,
        conn_idle: config.upstream.idle,
        // Each route has its own.
        connect_timeout: 0,
    };
    let settings = places.settings(&config, &numbers);
    let classes = config.classes.iter().map(|c| c.name.clone()).collect();
    let facts = PlatformSettings {
        settings,
        classes,
        tenants: Vec::new(),
        transport,
    };
    let members = match config.upstream.discovery {
        Some(address) => Members::Discovery {
            address,
            known: Vec::new(),
            index: None,
        },
        None => Members::Fixed(known.list(&config, 0)),
    };
    Setup {
        listen: config.listen,
        seed,
        facts,
        descriptors: config.limits.descriptors,
        memory: config.limits.memory,
        members,
        subset: config.subset,
        watch_wait: Some(WATCH_WAIT),
        list: config.list,
        peers: None,
        advice: config.limits.retry_after,
        rules: Rules::Sidecar(Box::new(Sidecar::new(config, numbers, seed))),
        gate: None,
        plain_http: true,
    }
}

/// The codec of a fleet's datagrams.
pub(crate) fn codec(terms: &PeersTerms) -> Result<peers::DatagramCodec, String> {
    let secret = SharedSecret::read(&terms.secret)
        .map_err(|e| format!("peers.secret: {}: {e}", terms.secret.display()))?;
    Ok(peers::DatagramCodec::new(secret, terms.fleet.clone()))
}

/// Opens the way to the others.
fn peers_of(terms: &PeersTerms) -> Result<peers::GossipConfig, String> {
    let codec = codec(terms)?;
    let fault = |e| format!("peers.listen: {}: {e}", terms.listen);
    let socket = std::net::UdpSocket::bind(terms.listen).map_err(fault)?;
    let here = socket.local_addr().map_err(fault)?;
    tracing::info!("peers: hearing on {here}");
    let advertise = terms.advertise.unwrap_or(here);
    Ok(peers::GossipConfig {
        socket,
        advertise,
        seeds: terms.seeds.clone(),
        codec,
        id: seed(),
    })
}

/// All that a start by a file needs, where it is not read again later.
pub fn setup_once(config: Config, seed: u64) -> Setup {
    setup(
        config,
        &mut ClassIds::default(),
        &mut Known::default(),
        seed,
    )
}

/// Runs the program.
pub fn run(path: PathBuf) -> Result<(), Fault> {
    let config = load(&path)?;
    crate::log::start(&config.log);
    check_descriptors(config.limits.descriptors)?;
    if config.policy.is_some() {
        return run_in_fleet(path, config);
    }
    let (mut places, mut known) = (ClassIds::default(), Known::default());
    let peers = config.peers.as_ref().map(peers_of).transpose()?;
    let mut setup = setup(config, &mut places, &mut known, seed());
    setup.peers = peers;
    let reload = move |running: &Running| {
        let config = reread(&path)?;
        let old = Rc::clone(&running.server.rules.borrow());
        let Rules::Sidecar(old) = &*old else {
            return Err("this is no sidecar".to_owned());
        };
        check_same(old.config(), &config)?;
        // From here on nothing fails.
        let names: Vec<&str> = config.classes.iter().map(|c| c.name.as_str()).collect();
        let (numbers, fresh) = places.assign(&names, |class| running.driver.in_use(class));
        let settings = places.settings(&config, &numbers);
        running
            .driver
            .reconfigure(settings, fresh, config.limits.open_calls);
        follow(&config, &mut known, running);
        running
            .server
            .default_retry_after
            .set(config.limits.retry_after);
        *running.server.rules.borrow_mut() = Rc::new(Rules::Sidecar(Box::new(Sidecar::new(
            config,
            numbers,
            seed(),
        ))));
        tracing::info!("the new configuration holds");
        Ok(())
    };
    Ok(program::run(setup, reload, |_| {}, async {})?)
}

/// All that a start needs where classes and routes are the fleet's.
fn setup_in_fleet(
    path: &Path,
    config: Config,
    known: &mut Known,
) -> Result<(Setup, Rc<PolicyClient>), Fault> {
    let mut places = ClassIds::default();
    let local = load(path)?;
    let peers = config.peers.as_ref().map(peers_of).transpose()?;
    let mut setup = setup(config, &mut places, known, seed());
    setup.peers = peers;
    let policy_client = PolicyClient::new(local, places)?;
    setup.gate = Some(policy_client.gate());
    Ok((setup, policy_client))
}

/// Runs the program where classes and routes are the fleet's, and the file says what is this proxy's own.
fn run_in_fleet(path: PathBuf, config: Config) -> Result<(), Fault> {
    let mut known = Known::default();
    let (setup, policy_client) = setup_in_fleet(&path, config, &mut known)?;
    let reload = |running: &Running| {
        let config = reread(&path)?;
        check_same(&policy_client.local(), &config)?;
        let upstream = reread(&path)?;
        policy_client.localize(config, running)?;
        follow(&upstream, &mut known, running);
        tracing::info!("the new configuration of this proxy's own holds");
        Ok(())
    };
    Ok(program::run(
        setup,
        reload,
        |running| policy_client.start(running),
        policy_client.leave(),
    )?)
}

/// Serves a file with `[policy]` in the [`LocalSet`](tokio::task::LocalSet) that polls this, until `stop` resolves: as
/// [`run`] does, where several proxies share a process. The file is read once, signals are not heard, and the descriptors
/// that it promises are not held against the process's limit. `started` is shown what decides which calls may begin.
///
/// # Errors
/// If the file is not good or has no `[policy]`, or a part ends that must go on.
pub async fn serve(
    path: &Path,
    stop: impl Future<Output = ()>,
    started: impl FnOnce(Rc<AdmissionGate>),
) -> Result<(), Fault> {
    let (setup, policy_client) = setup_in_fleet(path, load(path)?, &mut Known::default())?;
    let around = program::Surroundings::of_system(setup.listen)?;
    let no_hangup = async || std::future::pending().await;
    let no_reload = |_: &Running| Ok(());
    let start = |running: &Running| {
        policy_client.start(running);
        started(policy_client.gate());
    };
    let served = program::serve_in(setup, around, no_hangup, stop, no_reload, start).await;
    policy_client.leave().await;
    Ok(served?)
}

fn reread(path: &Path) -> Result<Config, String> {
    load(path).map_err(|fault| match fault {
        Fault::Diagnostics(mistakes) => mistakes.to_single_line(),
        Fault::Other(fault) => fault,
    })
}

/// Goes by the endpoints of a file, or by the list service that it names.
fn follow(config: &Config, known: &mut Known, running: &Running) {
    match config.upstream.discovery {
        Some(address) => running.follow(address),
        None => {
            // One that is added now may have been started just now: until its cold time is over it gets little.
            let list = known.list(config, running.clock.now() / 1_000);
            running
                .driver
                .apply_endpoint_list(ListUpdateKind::Full, &list);
        }
    }
}
