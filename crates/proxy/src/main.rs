//! The client proxy: start, configuration, signals, exit.
#![forbid(unsafe_code)]

mod net;

use badgerramp_decisions::{settings, ListKind, Repeat};
use hyper::Method;
use net::clients::Clients;
use net::clock::Clock;
use net::discovery;
use net::driver::{Driver, List};
use net::front::{Class, Front};
use net::hosts::Hosts;
use net::{Descriptors, Room};
use serde::Deserialize;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpSocket;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::watch;

/// Descriptors kept out of the count: standard streams, the runtime's own, the listener, discovery, and a
/// client's connection that is closed as soon as it is accepted.
const RESERVE: usize = 48;
/// Connections waiting to be accepted.
const BACKLOG: u32 = 1_024;
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

fn config() -> Result<Config, String> {
    let path = std::env::var("RELAY_CONFIG").map_err(|_| "RELAY_CONFIG is not set".to_owned())?;
    let text = std::fs::read(&path).map_err(|e| format!("configuration {path}: {e}"))?;
    serde_json::from_slice(&text).map_err(|e| format!("configuration {path}: {e}"))
}

/// Rereads the configuration at each SIGHUP. Where to find discovery is what may change in a running
/// program; a file that can't be read, or not in every part, changes nothing.
async fn reloads(mut hangups: Signal, discovery: watch::Sender<SocketAddr>) {
    while hangups.recv().await.is_some() {
        let read = config().and_then(|config| {
            settings::read(&config.settings).map_err(|e| format!("settings: {e}"))?;
            Ok(config.discovery)
        });
        match read {
            Ok(address) => {
                discovery.send_if_modified(|old| std::mem::replace(old, address) != address);
            }
            Err(fault) => eprintln!("badgerramp: the old configuration stays: {fault}"),
        }
    }
}

async fn run() -> Result<(), String> {
    // First of all: until then either signal kills.
    let hangups = signal(SignalKind::hangup()).map_err(|e| format!("signals: {e}"))?;
    let mut term = signal(SignalKind::terminate()).map_err(|e| format!("signals: {e}"))?;
    let config = config()?;
    let facts = settings::read(&config.settings).map_err(|e| format!("settings: {e}"))?;
    let seed = u64::from_str_radix(&config.seed, 16).map_err(|e| format!("seed {}: {e}", config.seed))?;
    let socket = TcpSocket::new_v4().map_err(|e| format!("socket: {e}"))?;
    let bind = |e| format!("listen on {}: {e}", config.listen);
    socket.set_reuseaddr(true).map_err(bind)?;
    socket.bind(config.listen).map_err(bind)?;
    let listener = socket.listen(BACKLOG).map_err(bind)?;

    let method = |class: &badgerramp_decisions::Class| match class.repeat {
        Repeat::Free => Method::GET,
        Repeat::Guarded { .. } | Repeat::SingleShot => Method::POST,
    };
    let of_class = |(name, class): (&String, _)| Class { name: name.clone(), method: method(class) };
    let classes = facts.classes.iter().zip(&facts.settings.classes).map(of_class).collect();
    let longest_aim = facts.settings.classes.iter().map(|c| c.aim).max().unwrap_or_default();
    // What is refused without advice comes of a crowd, which passes in answer times rather than aims.
    let advice = (longest_aim / ADVICE_AIM).max(1_000);

    let clock = Clock::start();
    let room = config.limits.sockets.saturating_sub(RESERVE).max(8);
    let descriptors = Descriptors::new(room);
    // The rest is for buffers, which are bounded by the number of connections.
    let bytes = Room::new((config.limits.memory_mb << 20) / 4);
    let counted = (Rc::clone(&descriptors), Rc::clone(&bytes));
    let hosts = Hosts::new(facts.transport, facts.settings.balancers, counted, clock);
    let driver = Driver::new(seed, facts, clock, Rc::clone(&hosts));
    driver.start();
    let index = config.known.as_ref().map(|k| k.index);
    driver.members(ListKind::Cached, config.known.as_ref().map_or(&[], |k| &k.endpoints));

    let mut timers = tokio::task::spawn_local({
        let driver = driver.clone();
        async move { driver.timers().await }
    });
    let (moved, address) = watch::channel(config.discovery);
    let mut watch = tokio::task::spawn_local(discovery::run(driver.clone(), address, index));
    let reloads = tokio::task::spawn_local(reloads(hangups, moved));
    if let Ok(address) = listener.local_addr() {
        eprintln!("badgerramp: listening on {address}");
    }
    let front = Rc::new(Front {
        driver,
        hosts: Rc::clone(&hosts),
        descriptors,
        clients: Clients::default(),
        classes,
        room: bytes,
        open: RefCell::default(),
        advice,
        most: (config.limits.sockets * 3 / 10).min(room / 2),
        beyond: (config.limits.sockets / 40).max(2),
    });
    let sweep = async {
        loop {
            tokio::time::sleep(Duration::from_millis(250)).await;
            hosts.sweep();
            front.clients.sweep(clock.now());
        }
    };
    let stop = async move {
        term.recv().await;
    };
    tokio::select! {
        () = Rc::clone(&front).serve(listener, stop) => Ok(()),
        // Without these calls would stay unanswered: better a crash that is seen.
        ended = &mut timers => Err(format!("the timers ended: {ended:?}")),
        ended = &mut watch => Err(format!("discovery ended: {ended:?}")),
        ended = reloads => Err(format!("the reader of the configuration ended: {ended:?}")),
        () = sweep => Ok(()),
    }
}

fn main() -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let done = runtime
        .map_err(|e| format!("runtime: {e}"))
        .and_then(|runtime| tokio::task::LocalSet::new().block_on(&runtime, run()));
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("badgerramp: {fault}");
            ExitCode::FAILURE
        }
    }
}
