//! Clients that send calls through the proxies, and retry at another proxy when a call is rejected or the connection is
//! refused.

use crate::link::{header_value, read_message, send};
use crate::now;
use badgerramp_policy::Micros;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;

/// The deadline that clients send with a call (`X-Timeout`).
pub const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long a client waits for an answer. Longer than the deadline, because a machine that runs a whole fleet is busy.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(6);
const MAX_ATTEMPTS: usize = 4;
const RETRY_PAUSE: Duration = Duration::from_millis(60);

/// How one attempt at one proxy ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// The proxy answered with this status.
    Status(u16),
    /// The connection was refused.
    Nobody,
    /// The connection was closed without a valid answer.
    Cut,
    /// No answer arrived in time.
    Silence,
}

/// One attempt of a call.
#[derive(Clone, Debug)]
pub struct Try {
    /// Idempotency key and request id of the call.
    pub key: String,
    /// Index of the proxy.
    pub proxy: usize,
    /// When the attempt began.
    pub from: Micros,
    /// When the attempt ended.
    pub until: Micros,
    /// How the attempt ended.
    pub ended: Ended,
}

/// Current listen addresses of the proxies, by index.
pub type Addresses = Arc<RwLock<Vec<SocketAddr>>>;

/// Sends `rate` calls per second until `stop` is true, then waits for the calls in flight. Returns all attempts.
pub async fn run(
    proxies: Addresses,
    (paths, rate): (&'static [&'static str], f64),
    seed: u64,
    mut stop: watch::Receiver<bool>,
) -> Vec<Try> {
    let attempts = Arc::new(Mutex::new(Vec::new()));
    let mut rng = Pcg32::seed_from_u64(seed);
    let mut in_flight = tokio::task::JoinSet::new();
    let mut number = 0;
    let mut interval = tokio::time::interval(Duration::from_secs_f64(1.0 / rate));
    loop {
        tokio::select! {
            _ = stop.wait_for(|s| *s) => break,
            _ = interval.tick() => {}
        }
        number += 1;
        let path = paths[number % paths.len()];
        let key = format!("{seed:x}-{number}");
        let count = proxies.read().unwrap_or_else(PoisonError::into_inner).len();
        let targets: Vec<usize> = (0..MAX_ATTEMPTS).map(|_| rng.gen_range(0..count)).collect();
        let (proxies, attempts) = (Arc::clone(&proxies), Arc::clone(&attempts));
        in_flight.spawn(async move {
            for proxy in targets {
                let from = now();
                let address = proxies.read().unwrap_or_else(PoisonError::into_inner)[proxy];
                let (ended, _) = call_once(address, path, &key).await;
                let attempt = Try {
                    key: key.clone(),
                    proxy,
                    from,
                    until: now(),
                    ended,
                };
                attempts
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .push(attempt);
                // Only a call that certainly has not run is retried at another proxy.
                if !matches!(ended, Ended::Status(503) | Ended::Nobody) {
                    return;
                }
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        });
        while in_flight.try_join_next().is_some() {}
    }
    while in_flight.join_next().await.is_some() {}
    let mut attempts = attempts.lock().unwrap_or_else(PoisonError::into_inner);
    std::mem::take(&mut *attempts)
}

/// The HTTP request of a call.
fn request(path: &str, key: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: x\r\nX-Timeout: {}m\r\nX-Request-ID: {key}\r\nIdempotency-Key: {key}\r\n\
         Content-Length: 2\r\n\r\nok",
        CALL_TIMEOUT.as_millis()
    )
}

/// Sends a call and closes the connection without waiting for the answer; with `trailing_bytes` after sending the
/// beginning of another request.
pub(crate) async fn call_and_disconnect(
    address: SocketAddr,
    path: &str,
    key: &str,
    trailing_bytes: bool,
) {
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return;
    };
    // It does not matter whether the proxy accepts the call.
    let _ = send(&mut stream, request(path, key).as_bytes()).await;
    if trailing_bytes {
        tokio::time::sleep(Duration::from_millis(1)).await;
        let _ = send(&mut stream, b"POST /do HTTP/1.1\r\n").await;
    }
}

/// Makes one attempt. Also returns the `Retry-After` of the answer, if it has one.
pub(crate) async fn call_once(
    address: SocketAddr,
    path: &str,
    key: &str,
) -> (Ended, Option<Duration>) {
    let call = async {
        let Ok(mut stream) = TcpStream::connect(address).await else {
            return (Ended::Nobody, None);
        };
        if send(&mut stream, request(path, key).as_bytes())
            .await
            .is_err()
        {
            return (Ended::Cut, None);
        }
        match read_message(&mut stream, &mut Vec::new()).await {
            Some((head, _)) => {
                let status = head.split(' ').nth(1).and_then(|s| s.parse().ok());
                let retry_after = header_value(&head, "retry-after").and_then(|v| v.parse().ok());
                let retry_after = retry_after.and_then(|s| Duration::try_from_secs_f64(s).ok());
                (status.map_or(Ended::Cut, Ended::Status), retry_after)
            }
            None => (Ended::Cut, None),
        }
    };
    tokio::time::timeout(ANSWER_TIMEOUT, call)
        .await
        .unwrap_or((Ended::Silence, None))
}
