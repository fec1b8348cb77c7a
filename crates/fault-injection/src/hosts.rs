//! Hosts behind the proxies, which count the requests they execute. All hosts are one dedup scope: they drop a repeated
//! idempotency key within a window. Deduplication can be switched off per path, as a new release of a service may no
//! longer support it.

use crate::link::{header_value, read_message, send};
use crate::now;
use badgerramp_policy::Micros;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;

/// How long an idempotency key is remembered.
const DEDUP_WINDOW: Duration = Duration::from_millis(2_500);
/// How long a host works on a request.
const REQUEST_DURATION: Duration = Duration::from_millis(5);

struct Shared {
    dedup_paths: HashSet<String>,
    seen: HashMap<String, Instant>,
    executed: HashMap<String, u32>,
    arrivals: Vec<Arrival>,
    rng: Pcg32,
    answer_loss: f64,
}

/// A request received by a host.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When the request had been received completely.
    pub at: Micros,
    /// Index of the host.
    pub host: usize,
    /// Its `X-Request-ID`.
    pub request: String,
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
    /// Starts `count` hosts that deduplicate requests to the paths in `dedup_paths`. For the share `answer_loss` of the
    /// `POST` requests the connection is closed after the request was executed, without an answer.
    ///
    /// # Errors
    /// Returns an error if no local port can be bound.
    pub async fn start(
        count: usize,
        answer_loss: f64,
        dedup_paths: &[&str],
        seed: u64,
    ) -> Result<Hosts, String> {
        let shared = Arc::new(Mutex::new(Shared {
            dedup_paths: dedup_paths.iter().map(|d| (*d).to_owned()).collect(),
            seen: HashMap::new(),
            executed: HashMap::new(),
            arrivals: Vec::new(),
            rng: Pcg32::seed_from_u64(seed),
            answer_loss,
        }));
        let (mut addresses, mut listeners) = (Vec::new(), Vec::new());
        for index in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0")
                .await
                .map_err(|e| e.to_string())?;
            addresses.push(listener.local_addr().map_err(|e| e.to_string())?);
            let shared = Arc::clone(&shared);
            let task = tokio::spawn(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    tokio::spawn(serve(stream, index, Arc::clone(&shared)));
                }
            });
            listeners.push(task.abort_handle());
        }
        Ok(Hosts {
            addresses,
            shared,
            listeners,
        })
    }

    /// Switches deduplication of requests to this path on or off.
    pub fn set_dedup(&self, path: &str, enabled: bool) {
        let mut shared = locked(&self.shared);
        if enabled {
            shared.dedup_paths.insert(path.to_owned());
        } else {
            shared.dedup_paths.remove(path);
        }
    }

    /// The requests received so far, in order of arrival.
    pub fn arrivals(&self) -> Vec<Arrival> {
        locked(&self.shared).arrivals.clone()
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

async fn serve(mut stream: TcpStream, host: usize, shared: Arc<Mutex<Shared>>) {
    let _ = stream.set_nodelay(true);
    let mut buffered = Vec::new();
    while let Some((head, _)) = read_message(&mut stream, &mut buffered).await {
        let path = head.split(' ').nth(1).unwrap_or_default().to_owned();
        let key = header_value(&head, "idempotency-key")
            .unwrap_or_default()
            .to_owned();
        let request = header_value(&head, "x-request-id")
            .unwrap_or_default()
            .to_owned();
        locked(&shared).arrivals.push(Arrival {
            at: now(),
            host,
            request,
        });
        let post = head.starts_with("POST");
        tokio::time::sleep(REQUEST_DURATION).await;
        let lose_answer = {
            let mut shared = locked(&shared);
            let moment = Instant::now();
            let seen = shared.seen.insert(key.clone(), moment);
            let repeat = seen.is_some_and(|at| moment.duration_since(at) < DEDUP_WINDOW);
            let dropped = shared.dedup_paths.contains(&path) && repeat;
            if post && !dropped {
                *shared.executed.entry(key).or_default() += 1;
            }
            let share = shared.answer_loss;
            post && shared.rng.gen_bool(share)
        };
        if lose_answer {
            return;
        }
        if send(
            &mut stream,
            b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone",
        )
        .await
        .is_err()
        {
            return;
        }
    }
}
