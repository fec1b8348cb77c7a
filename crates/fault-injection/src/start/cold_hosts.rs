//! Hosts that are cold after their start: a core each, which does a share of its work at first; a new connection is work
//! too. They count what they are sent, and know when that is more than a cold host bears.

use crate::link::{header_value, read_message, send};
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
pub struct HostModel {
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
    pub max_wait: Duration,
}

/// See [`Kind::fall_multiple`].
pub const FALL_TIME: Micros = 2_000_000;
/// How long a key is remembered.
const DEDUP_WINDOW: Micros = 2_500_000;

impl HostModel {
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
pub struct HostRecord {
    /// When it started.
    pub started: Micros,
    /// When each connection came.
    pub connects: Vec<Micros>,
    /// When each request came.
    pub requests: Vec<Micros>,
    /// Requests that were turned away.
    pub turned_away: u32,
}

impl HostRecord {
    /// Most connections within a second.
    pub fn max_connects_per_second(&self) -> usize {
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
    pub fn max_overload(&self, model: &HostModel) -> f64 {
        let mut highest: f64 = 0.0;
        for (n, &from) in self.requests.iter().enumerate() {
            let received = self.requests[n..]
                .iter()
                .take_while(|at| **at < from + FALL_TIME)
                .count();
            let capacity = model.capacity((from + FALL_TIME / 2).saturating_sub(self.started))
                * FALL_TIME as f64
                / 1e6;
            highest = highest.max(received as f64 / capacity);
        }
        highest
    }
}

struct Shared {
    model: HostModel,
    records: Vec<HostRecord>,
    /// When the core of each has done what it was given.
    free_at: Vec<Micros>,
    executed_at: HashMap<String, Micros>,
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
    pub fn new(model: HostModel) -> Self {
        let shared = Shared {
            model,
            records: Vec::new(),
            free_at: Vec::new(),
            executed_at: HashMap::new(),
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
        let index = self.addresses.len() - 1;
        {
            let mut shared = locked(&self.shared);
            shared.records.push(HostRecord {
                started: now(),
                ..HostRecord::default()
            });
            shared.free_at.push(0);
        }
        let shared = Arc::clone(&self.shared);
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                locked(&shared).records[index].connects.push(now());
                tokio::spawn(serve(stream, Arc::clone(&shared), index));
            }
        });
        self.listeners.push(task.abort_handle());
        Ok(index)
    }

    /// What each was sent.
    pub fn records(&self) -> Vec<HostRecord> {
        locked(&self.shared).records.clone()
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
fn occupy_core(
    shared: &mut Shared,
    index: usize,
    work: Duration,
    max_wait: Duration,
) -> Option<Duration> {
    let at = now();
    let speed = shared
        .model
        .speed(at.saturating_sub(shared.records[index].started));
    let free_at = shared.free_at[index].max(at);
    if free_at - at > max_wait.as_micros() as Micros {
        return None;
    }
    let done = free_at + (work.as_micros() as f64 / speed) as Micros;
    shared.free_at[index] = done;
    Some(Duration::from_micros(done - at))
}

async fn serve(mut stream: TcpStream, shared: Arc<Mutex<Shared>>, index: usize) {
    let _ = stream.set_nodelay(true);
    let mut buffered = Vec::new();
    let mut new_connection = true;
    while let Some((head, _)) = read_message(&mut stream, &mut buffered).await {
        let key = header_value(&head, "idempotency-key")
            .unwrap_or_default()
            .to_owned();
        let keyed = head.contains("/registro-entrada");
        let (takes, runs) = {
            let mut shared = locked(&shared);
            let at = now();
            shared.records[index].requests.push(at);
            let model = shared.model;
            // A connection is worked on before its first request, whatever becomes of that.
            if std::mem::take(&mut new_connection) {
                occupy_core(&mut shared, index, model.handshake, Duration::MAX / 4);
            }
            let takes = occupy_core(&mut shared, index, model.work, model.max_wait);
            let records = takes.and_then(|_| shared.executed_at.insert(key.clone(), at));
            let repeat = keyed && records.is_some_and(|s| at < s + DEDUP_WINDOW);
            if takes.is_none() {
                shared.records[index].turned_away += 1;
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
        let model = HostModel {
            work: Duration::from_millis(10),
            handshake: Duration::ZERO,
            cold_share: 0.1,
            cold_time: Duration::from_secs(10),
            fall_multiple: 3.0,
            max_wait: Duration::from_secs(1),
        };
        assert!(
            (model.capacity(0) - 10.0).abs() < 1e-6
                && (model.capacity(20_000_000) - 100.0).abs() < 1e-6
        );
        // 19 a second in its second second.
        let requests = (0..38).map(|n| n * 52_000).collect();
        let records = HostRecord {
            started: 0,
            requests,
            connects: vec![0, 10, 999_999, 1_000_000],
            ..HostRecord::default()
        };
        let max_overload = records.max_overload(&model);
        assert!((0.9..1.1).contains(&max_overload), "{max_overload}");
        assert_eq!(records.max_connects_per_second(), 3);
    }
}
