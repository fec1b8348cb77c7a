//! Hosts that are cold after their start: a core each, which does a share of its work at first; a new connection is work
//! too. They count what they are sent, and know when that is more than a cold host bears.

use crate::link::{header, message, send};
use crate::now;
use badgerramp_policy::Micros;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;

/// What a host is.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// Work of a request when warm.
    pub work: Duration,
    /// Work of a new connection when warm.
    pub handshake: Duration,
    /// Share of its speed at its start.
    pub cold_share: f64,
    /// Until it is warm.
    pub cold_time: Duration,
    /// Sent more than this multiple of what it can then do over [`FALL_TIME`] it falls over.
    pub fall_multiple: f64,
    /// Longest that a request waits for its turn; one that would wait longer is turned away.
    pub waiting: Duration,
}

/// See [`Kind::fall_multiple`].
pub const FALL_TIME: Micros = 2_000_000;
/// How long a key is remembered.
const WINDOW: Micros = 2_500_000;

impl Kind {
    /// Its speed at a time since its start, against warm.
    pub fn speed(&self, age: Micros) -> f64 {
        let share = age as f64 / self.cold_time.as_micros() as f64;
        (self.cold_share + (1.0 - self.cold_share) * share).min(1.0)
    }

    /// Requests a second that it can do at this time since its start.
    pub fn capacity(&self, age: Micros) -> f64 {
        self.speed(age) / self.work.as_secs_f64()
    }
}

/// What a host was sent.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// When it started.
    pub started: Micros,
    /// When each connection came.
    pub connects: Vec<Micros>,
    /// When each request came.
    pub requests: Vec<Micros>,
    /// Requests that were turned away.
    pub turned_away: u32,
}

impl Seen {
    /// Most connections within a second.
    pub fn connects_most(&self) -> usize {
        (0..self.connects.len())
            .map(|n| {
                self.connects[n..]
                    .iter()
                    .take_while(|at| **at < self.connects[n] + 1_000_000)
                    .count()
            })
            .max()
            .unwrap_or(0)
    }

    /// The most that came within [`FALL_TIME`], against what the host could then do.
    pub fn multiple(&self, kind: &Kind) -> f64 {
        let mut most: f64 = 0.0;
        for (n, &from) in self.requests.iter().enumerate() {
            let came = self.requests[n..]
                .iter()
                .take_while(|at| **at < from + FALL_TIME)
                .count();
            let does = kind.capacity((from + FALL_TIME / 2).saturating_sub(self.started))
                * FALL_TIME as f64
                / 1e6;
            most = most.max(came as f64 / does);
        }
        most
    }
}

struct Shared {
    kind: Kind,
    seen: Vec<Seen>,
    /// When the core of each has done what it was given.
    free: Vec<Micros>,
    keys: HashMap<String, Micros>,
    executed: HashMap<String, u32>,
}

/// All hosts.
pub struct Hosts {
    /// Where each listens.
    pub addresses: Vec<SocketAddr>,
    shared: Arc<Mutex<Shared>>,
    listeners: Vec<AbortHandle>,
}

fn locked(shared: &Mutex<Shared>) -> MutexGuard<'_, Shared> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Hosts {
    /// Hosts of this kind, none yet.
    pub fn new(kind: Kind) -> Self {
        let shared = Shared {
            kind,
            seen: Vec::new(),
            free: Vec::new(),
            keys: HashMap::new(),
            executed: HashMap::new(),
        };
        Hosts {
            addresses: Vec::new(),
            shared: Arc::new(Mutex::new(shared)),
            listeners: Vec::new(),
        }
    }

    /// One more starts now.
    ///
    /// # Errors
    /// If no port can be had.
    pub async fn add(&mut self) -> Result<usize, String> {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .map_err(|e| e.to_string())?;
        self.addresses
            .push(listener.local_addr().map_err(|e| e.to_string())?);
        let place = self.addresses.len() - 1;
        {
            let mut shared = locked(&self.shared);
            shared.seen.push(Seen {
                started: now(),
                ..Seen::default()
            });
            shared.free.push(0);
        }
        let shared = Arc::clone(&self.shared);
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                locked(&shared).seen[place].connects.push(now());
                tokio::spawn(serve(stream, Arc::clone(&shared), place));
            }
        });
        self.listeners.push(task.abort_handle());
        Ok(place)
    }

    /// What each was sent.
    pub fn seen(&self) -> Vec<Seen> {
        locked(&self.shared).seen.clone()
    }

    /// How often each key was executed.
    pub fn executed(&self) -> HashMap<String, u32> {
        locked(&self.shared).executed.clone()
    }
}

impl Drop for Hosts {
    fn drop(&mut self) {
        self.listeners.iter().for_each(AbortHandle::abort);
    }
}

/// Takes the host's core for this work; how long until it is done, or `None` if the wait is too long.
fn taken(shared: &mut Shared, place: usize, work: Duration, most: Duration) -> Option<Duration> {
    let at = now();
    let speed = shared
        .kind
        .speed(at.saturating_sub(shared.seen[place].started));
    let free = shared.free[place].max(at);
    if free - at > most.as_micros() as Micros {
        return None;
    }
    let done = free + (work.as_micros() as f64 / speed) as Micros;
    shared.free[place] = done;
    Some(Duration::from_micros(done - at))
}

async fn serve(mut stream: TcpStream, shared: Arc<Mutex<Shared>>, place: usize) {
    let _ = stream.set_nodelay(true);
    let mut held = Vec::new();
    let mut fresh = true;
    while let Some((head, _)) = message(&mut stream, &mut held).await {
        let key = header(&head, "idempotency-key")
            .unwrap_or_default()
            .to_owned();
        let keyed = head.contains("/registro-entrada");
        let (takes, runs) = {
            let mut shared = locked(&shared);
            let at = now();
            shared.seen[place].requests.push(at);
            let kind = shared.kind;
            // A connection is worked on before its first request, whatever becomes of that.
            if std::mem::take(&mut fresh) {
                taken(&mut shared, place, kind.handshake, Duration::MAX / 4);
            }
            let takes = taken(&mut shared, place, kind.work, kind.waiting);
            let seen = takes.and_then(|_| shared.keys.insert(key.clone(), at));
            let repeat = keyed && seen.is_some_and(|s| at < s + WINDOW);
            if takes.is_none() {
                shared.seen[place].turned_away += 1;
            }
            (takes, takes.is_some() && !repeat)
        };
        let answer: &[u8] = match takes {
            Some(takes) => {
                tokio::time::sleep(takes).await;
                b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
            }
            None => b"HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n",
        };
        if runs {
            *locked(&shared).executed.entry(key).or_default() += 1;
        }
        if send(&mut stream, answer).await.is_err() {
            return;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_came_is_held_against_what_a_cold_host_can_do() {
        let kind = Kind {
            work: Duration::from_millis(10),
            handshake: Duration::ZERO,
            cold_share: 0.1,
            cold_time: Duration::from_secs(10),
            fall_multiple: 3.0,
            waiting: Duration::from_secs(1),
        };
        assert!(
            (kind.capacity(0) - 10.0).abs() < 1e-6
                && (kind.capacity(20_000_000) - 100.0).abs() < 1e-6
        );
        // 19 a second in its second second.
        let requests = (0..38).map(|n| n * 52_000).collect();
        let seen = Seen {
            started: 0,
            requests,
            connects: vec![0, 10, 999_999, 1_000_000],
            ..Seen::default()
        };
        let multiple = seen.multiple(&kind);
        assert!((0.9..1.1).contains(&multiple), "{multiple}");
        assert_eq!(seen.connects_most(), 3);
    }
}
