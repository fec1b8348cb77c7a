//! A list service with a listener for each proxy, whose open watches can be made silent. It records all polls and
//! answers.

use crate::link::{read_message, send};
use crate::now;
use badgerramp_policy::Micros;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Mutex as AsyncMutex};
use tokio::task::AbortHandle;

/// Status of a host in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Status {
    /// The host accepts calls. Contains the start time of its process, as Unix time in milliseconds.
    Up(u64),
    /// The host finishes the requests it has.
    Draining,
}

/// An event on a connection between a proxy and the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Event {
    /// The proxy polled the service.
    Polled {
        /// Number of the connection.
        connection: u64,
        /// How long the service may hold back the answer.
        wait: Micros,
    },
    /// The service sent the list.
    Answered {
        /// Number of the connection.
        connection: u64,
        /// Version of the list.
        version: u64,
    },
    /// The service sends nothing more on this connection.
    Silenced {
        /// Number of the connection.
        connection: u64,
    },
}

/// A history record of the service.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceRecord {
    /// When the event happened.
    pub at: Micros,
    /// Index of the proxy.
    pub proxy: usize,
    /// The event.
    pub event: Event,
}

struct Shared {
    /// What each version changed: time, host and new status.
    changes: Vec<(Micros, usize, Status)>,
    addresses: Vec<SocketAddr>,
    records: Vec<ServiceRecord>,
    connections: u64,
    /// Work for a poll that begins a watch; the service handles one such poll at a time.
    work: Duration,
    /// Delay of each new connection before its first poll is read.
    first_answer_delay: Duration,
    /// Whether the service stands for an agent on the proxy's machine, which becomes silent when it is down. Otherwise
    /// connections are closed.
    agent: bool,
}

/// The state that all connections react to.
#[derive(Clone, Copy, Debug, Default)]
struct ServiceState {
    version: u64,
    /// Connections up to this number are silent.
    silent_up_to: u64,
    /// Connections up to this number are reset.
    reset_up_to: u64,
    down: bool,
}

/// The list service.
pub(super) struct Service {
    shared: Arc<Mutex<Shared>>,
    state: watch::Sender<ServiceState>,
    work_lock: Arc<AsyncMutex<()>>,
    listeners: Vec<AbortHandle>,
}

fn locked(shared: &Mutex<Shared>) -> MutexGuard<'_, Shared> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Service {
    /// Creates a service that lists these hosts as up since long ago. A poll that begins a watch takes `work`, one at a
    /// time. With `None` the service stands for an agent that receives pushed lists and answers at once.
    pub(super) fn new(addresses: Vec<SocketAddr>, work: Option<Duration>) -> Service {
        let changes = (0..addresses.len())
            .map(|host| (now(), host, Status::Up(0)))
            .collect();
        let (agent, work, first_answer_delay) =
            (work.is_none(), work.unwrap_or_default(), Duration::ZERO);
        let shared = Shared {
            changes,
            addresses,
            records: Vec::new(),
            connections: 0,
            work,
            first_answer_delay,
            agent,
        };
        let first = ServiceState {
            version: shared.changes.len() as u64,
            ..ServiceState::default()
        };
        let listeners = Vec::new();
        let work_lock = Arc::default();
        Service {
            shared: Arc::new(Mutex::new(shared)),
            state: watch::channel(first).0,
            work_lock,
            listeners,
        }
    }

    /// Opens another listener for this proxy.
    ///
    /// # Errors
    /// Returns an error if no local port can be bound.
    pub(super) async fn add_listener(&mut self, proxy: usize) -> Result<SocketAddr, String> {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .map_err(|e| e.to_string())?;
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        let (shared, states, work_lock) = (
            Arc::clone(&self.shared),
            self.state.subscribe(),
            Arc::clone(&self.work_lock),
        );
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (shared, states, work_lock) =
                    (Arc::clone(&shared), states.clone(), Arc::clone(&work_lock));
                tokio::spawn(async move {
                    let number = {
                        let mut shared = locked(&shared);
                        shared.connections += 1;
                        shared.connections
                    };
                    let (mut closing, agent) = (states.clone(), locked(&shared).agent);
                    let ended = async {
                        let _ = closing
                            .wait_for(|n| n.reset_up_to >= number || n.down && !agent)
                            .await;
                    };
                    tokio::select! {
                        () = serve(stream, (proxy, number), &shared, states, &work_lock) => {}
                        () = ended => {}
                    }
                });
            }
        });
        self.listeners.push(task.abort_handle());
        Ok(address)
    }

    /// The first version of the list, in the format of the proxy's configuration.
    pub(super) fn initial_list(&self) -> String {
        let shared = locked(&self.shared);
        list(&shared, None, shared.changes.len() as u64)
    }

    /// Changes the status of a host.
    pub(super) fn change(&self, host: usize, status: Status) {
        let mut shared = locked(&self.shared);
        shared.changes.push((now(), host, status));
        let version = shared.changes.len() as u64;
        drop(shared);
        self.state.send_modify(|n| n.version = version);
    }

    /// Makes all open connections silent: they stay open, but nothing more is sent on them.
    pub(super) fn silence_watches(&self) {
        let connections = locked(&self.shared).connections;
        self.state.send_modify(|n| n.silent_up_to = connections);
    }

    /// Resets all open connections.
    pub(super) fn reset_connections(&self) {
        let connections = locked(&self.shared).connections;
        self.state.send_modify(|n| n.reset_up_to = connections);
    }

    /// Takes the service down, or up again.
    pub(super) fn set_down(&self, down: bool) {
        if down && locked(&self.shared).agent {
            self.silence_watches();
        }
        self.state.send_modify(|n| n.down = down);
    }

    /// Sets the delay of new connections.
    pub(super) fn set_first_answer_delay(&self, first_answer_delay: Duration) {
        locked(&self.shared).first_answer_delay = first_answer_delay;
    }

    /// The records so far, and what each version changed: time, host and new status.
    pub(super) fn history(&self) -> (Vec<ServiceRecord>, Vec<(Micros, usize, Status)>) {
        let shared = locked(&self.shared);
        (shared.records.clone(), shared.changes.clone())
    }
}

impl Drop for Service {
    fn drop(&mut self) {
        self.listeners.iter().for_each(AbortHandle::abort);
    }
}

async fn serve(
    mut stream: TcpStream,
    (proxy, connection): (usize, u64),
    shared: &Mutex<Shared>,
    mut states: watch::Receiver<ServiceState>,
    work_lock: &AsyncMutex<()>,
) {
    let _ = stream.set_nodelay(true);
    let record = |event| {
        locked(shared).records.push(ServiceRecord {
            at: now(),
            proxy,
            event,
        });
    };
    let first_answer_delay = locked(shared).first_answer_delay;
    tokio::time::sleep(first_answer_delay).await;
    let (mut buffered, mut first) = (Vec::new(), true);
    while let Some((head, _)) = read_message(&mut stream, &mut buffered).await {
        let number = |name: &str| {
            let (_, rest) = head.lines().next()?.split_once(name)?;
            rest.split(|c: char| !c.is_ascii_digit())
                .next()?
                .parse::<u64>()
                .ok()
        };
        let (index, wait) = (
            number("index="),
            Duration::from_millis(number("wait=").unwrap_or(0)),
        );
        let wait_us = u64::try_from(wait.as_micros()).unwrap_or(u64::MAX);
        record(Event::Polled {
            connection,
            wait: wait_us,
        });
        let mut silences = states.clone();
        let answer = async {
            let _ = states.wait_for(|n| !n.down).await;
            if let Some(index) = index {
                let _ = tokio::time::timeout(wait, states.wait_for(|n| n.version > index)).await;
            }
            // Continuing a watch costs nothing; the first poll of a connection waits for the service to be idle.
            if first {
                let _turn = work_lock.lock().await;
                let work = locked(shared).work;
                tokio::time::sleep(work).await;
            }
        };
        let silenced = async {
            let _ = silences.wait_for(|n| n.silent_up_to >= connection).await;
        };
        tokio::select! {
            biased;
            () = silenced => {
                record(Event::Silenced { connection });
                // The connection stays open until the proxy closes it.
                let _ = read_message(&mut stream, &mut buffered).await;
                return;
            }
            () = answer => {}
        }
        first = false;
        let (body, version) = {
            let shared = locked(shared);
            let version = shared.changes.len() as u64;
            (list(&shared, index, version), version)
        };
        record(Event::Answered {
            connection,
            version,
        });
        let text = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if send(&mut stream, text.as_bytes()).await.is_err() {
            return;
        }
    }
}

fn list(shared: &Shared, index: Option<u64>, version: u64) -> String {
    let from = usize::try_from(index.unwrap_or(0))
        .unwrap_or(usize::MAX)
        .min(shared.changes.len());
    let changed: BTreeMap<usize, Status> =
        shared.changes[from..].iter().map(|l| (l.1, l.2)).collect();
    let entries: Vec<String> = changed
        .into_iter()
        .map(|(host, status)| {
            let address = shared.addresses[host];
            let (status, since) = match status {
                Status::Up(since) => ("up", since),
                Status::Draining => ("draining", 0),
            };
            format!(
                r#"{{"name":"h{host}","address":"{address}","status":"{status}","group":1,"since_ms":{since}}}"#
            )
        })
        .collect();
    let snapshot = index.is_none();
    format!(
        r#"{{"index":{version},"snapshot":{snapshot},"endpoints":[{}]}}"#,
        entries.join(",")
    )
}
