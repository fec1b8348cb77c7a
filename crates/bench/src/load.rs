//! A closed-loop load generator, bounded in requests and time, for loopback addresses only.

use hdrhistogram::Histogram;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The request that clients send.
pub(crate) const REQUEST: &[u8] =
    b"GET /safe/member?id=7 HTTP/1.1\r\nHost: service.internal\r\nUser-Agent: bench\r\nAccept: */*\r\nX-Timeout: 9000m\r\n\r\n";

const CONTENT_LENGTH: &[u8] = b"content-length:";

/// The results of a run.
pub(crate) struct Outcome {
    pub answered: u64,
    /// Answers with a status other than 200.
    pub not_ok: u64,
    /// Latencies in microseconds.
    pub times: Histogram<u64>,
    pub elapsed: Duration,
}

/// Sends requests on this many connections until the time is up or `max_requests` have been answered.
pub(crate) async fn run(
    to: SocketAddr,
    connections: usize,
    duration: Duration,
    max_requests: u64,
) -> io::Result<Outcome> {
    assert!(to.ip().is_loopback(), "load goes to loopback only");
    let started_at = Instant::now();
    let (deadline, max_per_connection) = (started_at + duration, max_requests / connections as u64);
    let clients: Vec<_> = (0..connections)
        .map(|_| tokio::spawn(client(to, deadline, max_per_connection)))
        .collect();
    let mut total = Outcome {
        answered: 0,
        not_ok: 0,
        times: histogram(),
        elapsed: Duration::ZERO,
    };
    for client in clients {
        let (not_ok, times) = client.await.map_err(io::Error::other)??;
        total.answered += times.len();
        total.not_ok += not_ok;
        total.times.add(times).map_err(io::Error::other)?;
    }
    total.elapsed = started_at.elapsed();
    Ok(total)
}

/// An empty histogram for times in microseconds.
pub(crate) fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds that fit")
}

async fn client(
    to: SocketAddr,
    deadline: Instant,
    max_requests: u64,
) -> io::Result<(u64, Histogram<u64>)> {
    let mut stream = TcpStream::connect(to).await?;
    stream.set_nodelay(true)?;
    let (mut not_ok, mut times, mut buffer) = (0, histogram(), vec![0; 4096]);
    while Instant::now() < deadline && times.len() < max_requests {
        let sent_at = Instant::now();
        stream.write_all(REQUEST).await?;
        let mut filled = 0;
        loop {
            let count = stream.read(&mut buffer[filled..]).await?;
            if count == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            filled += count;
            if is_complete(&buffer[..filled]) {
                break;
            }
        }
        not_ok += u64::from(!buffer.starts_with(b"HTTP/1.1 200"));
        times.saturating_record(sent_at.elapsed().as_micros() as u64);
    }
    Ok((not_ok, times))
}

/// Whether an answer is complete, with all of its body. Every answer has a `Content-Length`.
pub(crate) fn is_complete(answer: &[u8]) -> bool {
    let Some(head) = answer.windows(4).position(|w| w == b"\r\n\r\n") else {
        return false;
    };
    let length = answer[..head].split(|&b| b == b'\n').find_map(|line| {
        let (name, value) = line.split_at_checked(CONTENT_LENGTH.len())?;
        let value = name
            .eq_ignore_ascii_case(CONTENT_LENGTH)
            .then(|| value.trim_ascii())?;
        std::str::from_utf8(value).ok()?.parse::<usize>().ok()
    });
    answer.len() >= head + 4 + length.unwrap_or(0)
}
