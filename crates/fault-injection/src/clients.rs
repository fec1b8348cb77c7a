//! Clients that call through the proxies, and try again at another one when they are refused or find nobody.

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

/// The client's time: the proxy answers within it.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// An answer that has not come by then has not come in its time, on a machine that is busy with a trial.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(6);
const MAX_ATTEMPTS: usize = 4;
const RETRY_PAUSE: Duration = Duration::from_millis(60);

/// What became of one try at one proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// With this status.
    Status(u16),
    /// Nobody took the connection.
    Nobody,
    /// The connection ended without an answer.
    Cut,
    /// No answer came.
    Silence,
}

/// One try.
#[derive(Clone, Debug)]
pub struct Try {
    /// What the call is known by.
    pub key: String,
    /// The place of the proxy.
    pub proxy: usize,
    /// When it began, and ended.
    pub from: Micros,
    /// ...
    pub until: Micros,
    /// How.
    pub ended: Ended,
}

/// Where the proxies listen now.
pub type Addresses = Arc<RwLock<Vec<SocketAddr>>>;

/// Calls at `rate` a second until `stop` says true, then waits for those that are out.
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
                // Elsewhere only what provably never ran.
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

/// What a call looks like.
fn request(path: &str, key: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: x\r\nX-Timeout: {}m\r\nX-Request-ID: {key}\r\nIdempotency-Key: {key}\r\n\
         Content-Length: 2\r\n\r\nok",
        CALL_TIMEOUT.as_millis()
    )
}

/// Calls and leaves without waiting for the answer, some with more bytes behind the request.
pub(crate) async fn call_and_disconnect(
    address: SocketAddr,
    path: &str,
    key: &str,
    trailing_bytes: bool,
) {
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return;
    };
    // Whether the proxy takes it is all the same.
    let _ = send(&mut stream, request(path, key).as_bytes()).await;
    if trailing_bytes {
        tokio::time::sleep(Duration::from_millis(1)).await;
        let _ = send(&mut stream, b"POST /do HTTP/1.1\r\n").await;
    }
}

/// Calls once; with what the proxy says of coming back.
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
