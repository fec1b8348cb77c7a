//! Hosts that are slow after their start. Each has one core, which begins with a share of its full speed and warms up;
//! accepting a connection costs work, too. Hosts record connections and requests, from which the load is compared with
//! the capacity of a cold host.

use crate::link::{header_value, read_message, send};
use crate::now;
use badgerramp_policy::Micros;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;

/// The model of a host's speed.
#[derive(Clone, Copy, Debug)]
pub struct HostModel {
    /// Work of a request on a warm host.
    pub work: Duration,
    /// Work of a new connection on a warm host.
    pub handshake: Duration,
    /// Speed at the start, as a share of the full speed.
    pub cold_share: f64,
    /// Time until a host has its full speed.
    pub cold_time: Duration,
    /// A host collapses when its load over [`FALL_TIME`] exceeds this multiple of its capacity.
    pub fall_multiple: f64,
    /// Longest time a request waits for the core. A request that would wait longer is rejected.
    pub max_wait: Duration,
}

/// The period for [`HostModel::fall_multiple`], in microseconds.
pub const FALL_TIME: Micros = 2_000_000;
/// How long an idempotency key is remembered, in microseconds.
const DEDUP_WINDOW: Micros = 2_500_000;

impl HostModel {
    /// Speed at this time after the start, relative to a warm host.
    pub fn speed(&self, age: Micros) -> f64 {
        let share = age as f64 / self.cold_time.as_micros() as f64;
        (self.cold_share + (1.0 - self.cold_share) * share).min(1.0)
    }

    /// Requests per second that a host can serve at this time after its start.
    pub fn capacity(&self, age: Micros) -> f64 {
        self.speed(age) / self.work.as_secs_f64()
    }
}

/// What a host received.
#[derive(Clone, Debug, Default)]
pub struct HostRecord {
    /// When the host started.
    pub started: Micros,
    /// When each connection was accepted.
    pub connects: Vec<Micros>,
    /// When each request was received.
    pub requests: Vec<Micros>,
    /// Number of rejected requests.
    pub turned_away: u32,
}

impl HostRecord {
    /// Highest number of connections within a second.
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

    /// Highest number of requests within [`FALL_TIME`], as a multiple of the host's capacity at that time.
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
    /// When the core of each host has finished the work accepted so far.
    free_at: Vec<Micros>,
    executed_at: HashMap<String, Micros>,
    executed: HashMap<String, u32>,
}

/// All hosts of a run.
pub struct Hosts {
    /// Listen address of each host.
    pub addresses: Vec<SocketAddr>,
    shared: Arc<Mutex<Shared>>,
    listeners: Vec<AbortHandle>,
}

fn locked(shared: &Mutex<Shared>) -> MutexGuard<'_, Shared> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Hosts {
    /// Creates an empty set of hosts of this model.
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

    /// Starts another host and returns its index.
    ///
    /// # Errors
    /// Returns an error if no local port can be bound.
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

    /// What each host received so far.
    pub fn records(&self) -> Vec<HostRecord> {
        locked(&self.shared).records.clone()
    }

    /// How often each idempotency key was executed.
    pub fn executed(&self) -> HashMap<String, u32> {
        locked(&self.shared).executed.clone()
    }
}

impl Drop for Hosts {
    fn drop(&mut self) {
        self.listeners.iter().for_each(AbortHandle::abort);
    }
}

/// Occupies the core of a host for this work. Returns the time until the work is done, or `None` if it would have to
/// wait for longer than `max_wait`.
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
            // The work of a new connection precedes its first request, even if that request is rejected.
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
    fn load_is_compared_with_the_capacity_of_a_cold_host() {
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
        // 19 requests per second, around the second second after the start.
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
