//! A list service that handles one poll at a time and counts the polls.

use crate::link::{read_message, send};
use crate::now;
use badgerramp_policy::Micros;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Notify};
use tokio::task::AbortHandle;

/// A poll that has waited for longer than this is rejected.
const QUEUE_TIMEOUT: Duration = Duration::from_secs(3);

/// Condition of the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceState {
    /// The service answers normally.
    Healthy,
    /// The service is down: it closes connections without an answer.
    Down,
    /// A poll takes ten times its normal work.
    Slow,
    /// The service answers with a list that is this many versions old.
    Stale(u64),
}

/// List entry of a host: address, whether it is draining, and start time as Unix time in milliseconds. `None` if the
/// host has been removed.
pub type ListEntry = Option<(SocketAddr, bool, u64)>;

struct Shared {
    state: ServiceState,
    work: Duration,
    /// When each version was published and what it changed, from version 1 on.
    log: Vec<(Micros, Vec<(usize, ListEntry)>)>,
    waiting: VecDeque<Arc<Notify>>,
    busy: bool,
    counts: Counts,
}

/// The polls of the service.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// When each poll was received.
    pub polls: Vec<Micros>,
    /// Polls that were rejected because they waited too long.
    pub timed_out: u32,
    /// When the first answer was sent.
    pub first_answer: Option<Micros>,
    /// For each version, when it was first sent to a proxy.
    pub first_served_at: Vec<Option<Micros>>,
}

/// The list service.
pub struct Service {
    /// Listen address of the service.
    pub address: SocketAddr,
    shared: Arc<Mutex<Shared>>,
    version: watch::Sender<u64>,
    listener: AbortHandle,
}

fn locked(shared: &Mutex<Shared>) -> MutexGuard<'_, Shared> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Service {
    /// Starts a service with this list that can handle `capacity` polls per second.
    ///
    /// # Errors
    /// Returns an error if no local port can be bound.
    pub async fn start(first: Vec<(usize, ListEntry)>, capacity: f64) -> Result<Service, String> {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .map_err(|e| e.to_string())?;
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        let shared = Arc::new(Mutex::new(Shared {
            state: ServiceState::Healthy,
            work: Duration::from_secs_f64(1.0 / capacity),
            log: vec![(now(), first)],
            waiting: VecDeque::new(),
            busy: false,
            counts: Counts {
                first_served_at: vec![None],
                ..Counts::default()
            },
        }));
        let (version, _) = watch::channel(1);
        let (all, versions) = (Arc::clone(&shared), version.clone());
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, Arc::clone(&all), versions.subscribe()));
            }
        });
        Ok(Service {
            address,
            shared,
            version,
            listener: task.abort_handle(),
        })
    }

    /// Changes the list and returns its new version.
    pub fn change(&self, entries: Vec<(usize, ListEntry)>) -> u64 {
        let version = {
            let mut shared = locked(&self.shared);
            shared.log.push((now(), entries));
            shared.counts.first_served_at.push(None);
            shared.log.len() as u64
        };
        self.version.send_replace(version);
        version
    }

    /// Sets the condition of the service.
    pub fn set_state(&self, state: ServiceState) {
        locked(&self.shared).state = state;
        // Wakes up the open watches, which check the condition.
        self.version.send_modify(|_| {});
    }

    /// The polls received so far.
    pub fn counts(&self) -> Counts {
        locked(&self.shared).counts.clone()
    }

    /// The newest version of the list.
    pub fn newest(&self) -> u64 {
        *self.version.borrow()
    }
}

impl Drop for Service {
    fn drop(&mut self) {
        self.listener.abort();
    }
}

async fn serve(
    mut stream: TcpStream,
    shared: Arc<Mutex<Shared>>,
    mut version: watch::Receiver<u64>,
) {
    let _ = stream.set_nodelay(true);
    let mut buffered = Vec::new();
    while let Some((head, _)) = read_message(&mut stream, &mut buffered).await {
        let down = {
            let mut shared = locked(&shared);
            shared.counts.polls.push(now());
            shared.state == ServiceState::Down
        };
        if down {
            return;
        }
        if !wait_for_turn(&shared).await {
            let busy = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
            if send(&mut stream, busy).await.is_err() {
                return;
            }
            continue;
        }
        let Some(body) = answer(&head, &shared, &mut version).await else {
            return;
        };
        let text = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if send(&mut stream, text.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Waits until it is this poll's turn, and for its work. Returns false if the turn did not come in time.
async fn wait_for_turn(shared: &Mutex<Shared>) -> bool {
    let ticket = {
        let mut shared = locked(shared);
        if std::mem::replace(&mut shared.busy, true) {
            let ticket = Arc::new(Notify::new());
            shared.waiting.push_back(Arc::clone(&ticket));
            Some(ticket)
        } else {
            None
        }
    };
    if let Some(ticket) = ticket {
        if tokio::time::timeout(QUEUE_TIMEOUT, ticket.notified())
            .await
            .is_err()
        {
            let mut shared = locked(shared);
            let before = shared.waiting.len();
            shared.waiting.retain(|other| !Arc::ptr_eq(other, &ticket));
            if shared.waiting.len() < before {
                shared.counts.timed_out += 1;
                return false;
            }
            // The turn came at the moment of the time-out.
        }
    }
    let work = {
        let shared = locked(shared);
        if shared.state == ServiceState::Slow {
            shared.work * 10
        } else {
            shared.work
        }
    };
    tokio::time::sleep(work).await;
    let mut shared = locked(shared);
    match shared.waiting.pop_front() {
        Some(next) => next.notify_one(),
        None => shared.busy = false,
    }
    true
}

fn entry((host, entry_state): &(usize, ListEntry)) -> String {
    let (address, status, since) = match entry_state {
        Some((address, drains, since)) => (
            address.to_string(),
            if *drains { "draining" } else { "up" },
            *since,
        ),
        None => (String::new(), "removed", 0),
    };
    format!(
        r#"{{"name":"h{host}","address":"{address}","status":"{status}","group":1,"since_ms":{since}}}"#
    )
}

async fn answer(
    head: &str,
    shared: &Mutex<Shared>,
    version: &mut watch::Receiver<u64>,
) -> Option<String> {
    let number = |name: &str| {
        let (_, rest) = head.lines().next()?.split_once(name)?;
        rest.split(|c: char| !c.is_ascii_digit())
            .next()?
            .parse::<u64>()
            .ok()
    };
    let (index, wait) = (number("index="), number("wait=").unwrap_or(0));
    let visible_version = |shared: &Shared| match shared.state {
        ServiceState::Stale(by) => (shared.log.len() as u64).saturating_sub(by).max(1),
        _ => shared.log.len() as u64,
    };
    if let Some(index) = index {
        let changed = version.wait_for(|_| {
            let shared = locked(shared);
            visible_version(&shared) != index || shared.state == ServiceState::Down
        });
        let _ = tokio::time::timeout(Duration::from_millis(wait), changed).await;
    }
    let mut shared = locked(shared);
    if shared.state == ServiceState::Down {
        return None;
    }
    let newest = visible_version(&shared);
    let at = now();
    shared.counts.first_answer.get_or_insert(at);
    shared.counts.first_served_at[newest as usize - 1].get_or_insert(at);
    let known = index.filter(|i| *i <= newest);
    let mut entries = std::collections::BTreeMap::new();
    for (_, changes) in &shared.log[known.unwrap_or(0) as usize..newest as usize] {
        entries.extend(changes.iter().copied());
    }
    let snapshot = known.is_none();
    let entries: Vec<String> = entries
        .iter()
        .map(|(h, l)| (*h, *l))
        .filter(|(_, l)| !snapshot || l.is_some())
        .map(|e| entry(&e))
        .collect();
    Some(format!(
        r#"{{"index":{newest},"snapshot":{snapshot},"endpoints":[{}]}}"#,
        entries.join(",")
    ))
}
