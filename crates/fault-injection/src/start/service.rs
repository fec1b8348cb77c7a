//! A list service that works on one question after the other, and counts what it is asked.

use crate::link::{message, send};
use crate::now;
use badgerramp_policy::Micros;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Notify};
use tokio::task::AbortHandle;

/// A question that has waited for longer is given up.
const PATIENCE: Duration = Duration::from_secs(3);

/// How the service fares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mood {
    /// It answers.
    Well,
    /// It is down: connections end at once.
    Down,
    /// A question takes ten times its work.
    Slow,
    /// It answers with the list as it was so many versions ago.
    Old(u64),
}

/// An entry: host, its address, does it drain, Unix time of its start in milliseconds. `None`: it has gone.
pub type Listed = Option<(SocketAddr, bool, u64)>;

struct Shared {
    mood: Mood,
    work: Duration,
    /// What each version changed, from version 1 on, and when.
    log: Vec<(Micros, Vec<(usize, Listed)>)>,
    waiting: VecDeque<Arc<Notify>>,
    working: bool,
    counts: Counts,
}

/// What it was asked.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// When each question came.
    pub questions: Vec<Micros>,
    /// Questions that waited in vain.
    pub given_up: u32,
    /// When the first answer went out.
    pub first_answer: Option<Micros>,
    /// For each version: when it was first told.
    pub told: Vec<Option<Micros>>,
}

/// The service.
pub struct Service {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Mutex<Shared>>,
    version: watch::Sender<u64>,
    listener: AbortHandle,
}

fn locked(shared: &Mutex<Shared>) -> MutexGuard<'_, Shared> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Service {
    /// One that lists these, and bears so many questions a second.
    ///
    /// # Errors
    /// If no port can be had.
    pub async fn start(first: Vec<(usize, Listed)>, capacity: f64) -> Result<Service, String> {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .map_err(|e| e.to_string())?;
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        let shared = Arc::new(Mutex::new(Shared {
            mood: Mood::Well,
            work: Duration::from_secs_f64(1.0 / capacity),
            log: vec![(now(), first)],
            waiting: VecDeque::new(),
            working: false,
            counts: Counts {
                told: vec![None],
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

    /// The list changes; tells which version this is.
    pub fn change(&self, entries: Vec<(usize, Listed)>) -> u64 {
        let version = {
            let mut shared = locked(&self.shared);
            shared.log.push((now(), entries));
            shared.counts.told.push(None);
            shared.log.len() as u64
        };
        self.version.send_replace(version);
        version
    }

    /// From now on it fares like this.
    pub fn mood(&self, mood: Mood) {
        locked(&self.shared).mood = mood;
        // Watches look at it.
        self.version.send_modify(|_| {});
    }

    /// What it was asked so far.
    pub fn counts(&self) -> Counts {
        locked(&self.shared).counts.clone()
    }

    /// The newest version.
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
    let mut held = Vec::new();
    while let Some((head, _)) = message(&mut stream, &mut held).await {
        let down = {
            let mut shared = locked(&shared);
            shared.counts.questions.push(now());
            shared.mood == Mood::Down
        };
        if down {
            return;
        }
        if !turn(&shared).await {
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

/// Waits for this question's turn and its work; false if it took too long.
async fn turn(shared: &Mutex<Shared>) -> bool {
    let mine = {
        let mut shared = locked(shared);
        if std::mem::replace(&mut shared.working, true) {
            let mine = Arc::new(Notify::new());
            shared.waiting.push_back(Arc::clone(&mine));
            Some(mine)
        } else {
            None
        }
    };
    if let Some(mine) = mine {
        if tokio::time::timeout(PATIENCE, mine.notified())
            .await
            .is_err()
        {
            let mut shared = locked(shared);
            let before = shared.waiting.len();
            shared.waiting.retain(|other| !Arc::ptr_eq(other, &mine));
            if shared.waiting.len() < before {
                shared.counts.given_up += 1;
                return false;
            }
            // Its turn came at the same moment.
        }
    }
    let work = {
        let shared = locked(shared);
        if shared.mood == Mood::Slow {
            shared.work * 10
        } else {
            shared.work
        }
    };
    tokio::time::sleep(work).await;
    let mut shared = locked(shared);
    match shared.waiting.pop_front() {
        Some(next) => next.notify_one(),
        None => shared.working = false,
    }
    true
}

fn entry((host, listed): &(usize, Listed)) -> String {
    let (address, status, since) = match listed {
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
    let told = |shared: &Shared| match shared.mood {
        Mood::Old(by) => (shared.log.len() as u64).saturating_sub(by).max(1),
        _ => shared.log.len() as u64,
    };
    if let Some(index) = index {
        let news = version.wait_for(|_| {
            let shared = locked(shared);
            told(&shared) != index || shared.mood == Mood::Down
        });
        let _ = tokio::time::timeout(Duration::from_millis(wait), news).await;
    }
    let mut shared = locked(shared);
    if shared.mood == Mood::Down {
        return None;
    }
    let newest = told(&shared);
    let at = now();
    shared.counts.first_answer.get_or_insert(at);
    shared.counts.told[newest as usize - 1].get_or_insert(at);
    let known = index.filter(|i| *i <= newest);
    let mut entries = std::collections::BTreeMap::new();
    for (_, changes) in &shared.log[known.unwrap_or(0) as usize..newest as usize] {
        entries.extend(changes.iter().copied());
    }
    let whole = known.is_none();
    let entries: Vec<String> = entries
        .iter()
        .map(|(h, l)| (*h, *l))
        .filter(|(_, l)| !whole || l.is_some())
        .map(|e| entry(&e))
        .collect();
    Some(format!(
        r#"{{"index":{newest},"snapshot":{whole},"endpoints":[{}]}}"#,
        entries.join(",")
    ))
}
