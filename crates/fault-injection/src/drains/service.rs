//! A list service with a door for each proxy, whose open watches can be made silent; it notes what it was asked and what
//! it wrote to whom.

use crate::link::{message, send};
use crate::now;
use badgerramp_policy::Micros;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Mutex as Turn};
use tokio::task::AbortHandle;

/// What the list says of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Status {
    /// It takes calls; its process started then, Unix time in milliseconds.
    Up(u64),
    /// It finishes what it has.
    Draining,
}

/// What a proxy and the service said to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum What {
    /// Asked on this connection, for so long.
    Asked {
        /// Number of the connection.
        connection: u64,
        /// How long the answer may wait.
        wait: Micros,
    },
    /// Written on it: the list up to this version.
    Wrote {
        /// Number of the connection.
        connection: u64,
        /// The version.
        version: u64,
    },
    /// From now on nothing comes on it.
    Silent {
        /// Number of the connection.
        connection: u64,
    },
}

/// A note of the service.
#[derive(Clone, Copy, Debug)]
pub(super) struct Note {
    /// When.
    pub at: Micros,
    /// The proxy.
    pub proxy: usize,
    /// What.
    pub what: What,
}

struct Shared {
    /// Each version: when, which host, what it is.
    log: Vec<(Micros, usize, Status)>,
    addresses: Vec<SocketAddr>,
    notes: Vec<Note>,
    connections: u64,
    /// An answer to what a watch did not wait for takes so long, one after the other.
    work: Duration,
    /// The first answer on a new connection is so late.
    late: Duration,
    /// Down, it is silent, as an agent on the proxy's machine is; otherwise connections end.
    agent: bool,
}

/// What all connections look at.
#[derive(Clone, Copy, Debug, Default)]
struct Now {
    version: u64,
    /// Connections up to this number are silent.
    silent: u64,
    /// ... or are reset.
    reset: u64,
    down: bool,
}

/// The service.
pub(super) struct Service {
    shared: Arc<Mutex<Shared>>,
    now: watch::Sender<Now>,
    turn: Arc<Turn<()>>,
    doors: Vec<AbortHandle>,
}

fn locked(shared: &Mutex<Shared>) -> MutexGuard<'_, Shared> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Service {
    /// One that lists these hosts as up for long. A question that begins a watch takes `work` of it, one after the other;
    /// `None`: it is an agent of pushed lists, which answers at once.
    pub(super) fn new(addresses: Vec<SocketAddr>, work: Option<Duration>) -> Service {
        let log = (0..addresses.len())
            .map(|host| (now(), host, Status::Up(0)))
            .collect();
        let (agent, work, late) = (work.is_none(), work.unwrap_or_default(), Duration::ZERO);
        let shared = Shared {
            log,
            addresses,
            notes: Vec::new(),
            connections: 0,
            work,
            late,
            agent,
        };
        let first = Now {
            version: shared.log.len() as u64,
            ..Now::default()
        };
        let doors = Vec::new();
        let turn = Arc::default();
        Service {
            shared: Arc::new(Mutex::new(shared)),
            now: watch::channel(first).0,
            turn,
            doors,
        }
    }

    /// Another door for this proxy.
    ///
    /// # Errors
    /// If no port can be had.
    pub(super) async fn door(&mut self, proxy: usize) -> Result<SocketAddr, String> {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .map_err(|e| e.to_string())?;
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        let (shared, states, turn) = (
            Arc::clone(&self.shared),
            self.now.subscribe(),
            Arc::clone(&self.turn),
        );
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (shared, states, turn) =
                    (Arc::clone(&shared), states.clone(), Arc::clone(&turn));
                tokio::spawn(async move {
                    let number = {
                        let mut shared = locked(&shared);
                        shared.connections += 1;
                        shared.connections
                    };
                    let (mut gone, agent) = (states.clone(), locked(&shared).agent);
                    let ended = async {
                        let _ = gone
                            .wait_for(|n| n.reset >= number || n.down && !agent)
                            .await;
                    };
                    tokio::select! {
                        () = serve(stream, (proxy, number), &shared, states, &turn) => {}
                        () = ended => {}
                    }
                });
            }
        });
        self.doors.push(task.abort_handle());
        Ok(address)
    }

    /// The first list, in the form of a configuration's.
    pub(super) fn known(&self) -> String {
        let shared = locked(&self.shared);
        list(&shared, None, shared.log.len() as u64)
    }

    /// A host's status changes.
    pub(super) fn change(&self, host: usize, status: Status) {
        let mut shared = locked(&self.shared);
        shared.log.push((now(), host, status));
        let version = shared.log.len() as u64;
        drop(shared);
        self.now.send_modify(|n| n.version = version);
    }

    /// All that is open falls silent: nothing comes on it any more, and it stays open.
    pub(super) fn silence(&self) {
        let connections = locked(&self.shared).connections;
        self.now.send_modify(|n| n.silent = connections);
    }

    /// All that is open is reset.
    pub(super) fn reset(&self) {
        let connections = locked(&self.shared).connections;
        self.now.send_modify(|n| n.reset = connections);
    }

    /// It is down, or back.
    pub(super) fn down(&self, down: bool) {
        if down && locked(&self.shared).agent {
            self.silence();
        }
        self.now.send_modify(|n| n.down = down);
    }

    /// New connections are so late.
    pub(super) fn late(&self, late: Duration) {
        locked(&self.shared).late = late;
    }

    /// Notes so far, and each version: when, which host, what it is.
    pub(super) fn history(&self) -> (Vec<Note>, Vec<(Micros, usize, Status)>) {
        let shared = locked(&self.shared);
        (shared.notes.clone(), shared.log.clone())
    }
}

impl Drop for Service {
    fn drop(&mut self) {
        self.doors.iter().for_each(AbortHandle::abort);
    }
}

async fn serve(
    mut stream: TcpStream,
    (proxy, connection): (usize, u64),
    shared: &Mutex<Shared>,
    mut states: watch::Receiver<Now>,
    turn: &Turn<()>,
) {
    let _ = stream.set_nodelay(true);
    let note = |what| {
        locked(shared).notes.push(Note {
            at: now(),
            proxy,
            what,
        });
    };
    let late = locked(shared).late;
    tokio::time::sleep(late).await;
    let (mut held, mut first) = (Vec::new(), true);
    while let Some((head, _)) = message(&mut stream, &mut held).await {
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
        let asked = u64::try_from(wait.as_micros()).unwrap_or(u64::MAX);
        note(What::Asked {
            connection,
            wait: asked,
        });
        let mut silences = states.clone();
        let answer = async {
            let _ = states.wait_for(|n| !n.down).await;
            if let Some(index) = index {
                let _ = tokio::time::timeout(wait, states.wait_for(|n| n.version > index)).await;
            }
            // A watch that goes on costs nothing; a new one waits for its turn.
            if first {
                let _turn = turn.lock().await;
                let work = locked(shared).work;
                tokio::time::sleep(work).await;
            }
        };
        let silenced = async {
            let _ = silences.wait_for(|n| n.silent >= connection).await;
        };
        tokio::select! {
            biased;
            () = silenced => {
                note(What::Silent { connection });
                // It stays open until the proxy closes it.
                let _ = message(&mut stream, &mut held).await;
                return;
            }
            () = answer => {}
        }
        first = false;
        let (body, version) = {
            let shared = locked(shared);
            let version = shared.log.len() as u64;
            (list(&shared, index, version), version)
        };
        note(What::Wrote {
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
        .min(shared.log.len());
    let changed: BTreeMap<usize, Status> = shared.log[from..].iter().map(|l| (l.1, l.2)).collect();
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
    let whole = index.is_none();
    format!(
        r#"{{"index":{version},"snapshot":{whole},"endpoints":[{}]}}"#,
        entries.join(",")
    )
}
