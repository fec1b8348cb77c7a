//! Load from clients that ask again as soon as they are answered, bounded in count and time, to loopback only.

use hdrhistogram::Histogram;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The request that is sent.
pub(crate) const REQUEST: &[u8] =
    b"GET /safe/member?id=7 HTTP/1.1\r\nHost: service.internal\r\nUser-Agent: bench\r\nAccept: */*\r\nX-Timeout: 9000m\r\n\r\n";

const LENGTH: &[u8] = b"content-length:";

/// What came of a course.
pub(crate) struct Outcome {
    pub answered: u64,
    /// Answers with another status than 200.
    pub odd: u64,
    /// Times in microseconds.
    pub times: Histogram<u64>,
    pub elapsed: Duration,
}

/// Asks on so many connections until the time is up or so many are answered.
pub(crate) async fn run(
    to: SocketAddr,
    connections: usize,
    time: Duration,
    most: u64,
) -> io::Result<Outcome> {
    assert!(to.ip().is_loopback(), "load goes to loopback only");
    let began = Instant::now();
    let (until, each) = (began + time, most / connections as u64);
    let clients: Vec<_> = (0..connections)
        .map(|_| tokio::spawn(client(to, until, each)))
        .collect();
    let mut whole = Outcome {
        answered: 0,
        odd: 0,
        times: histogram(),
        elapsed: Duration::ZERO,
    };
    for client in clients {
        let (odd, times) = client.await.map_err(io::Error::other)??;
        whole.answered += times.len();
        whole.odd += odd;
        whole.times.add(times).map_err(io::Error::other)?;
    }
    whole.elapsed = began.elapsed();
    Ok(whole)
}

/// For times in microseconds.
pub(crate) fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds that fit")
}

async fn client(to: SocketAddr, until: Instant, most: u64) -> io::Result<(u64, Histogram<u64>)> {
    let mut stream = TcpStream::connect(to).await?;
    stream.set_nodelay(true)?;
    let (mut odd, mut times, mut buffer) = (0, histogram(), vec![0; 4096]);
    while Instant::now() < until && times.len() < most {
        let asked = Instant::now();
        stream.write_all(REQUEST).await?;
        let mut filled = 0;
        loop {
            let count = stream.read(&mut buffer[filled..]).await?;
            if count == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            filled += count;
            if whole(&buffer[..filled]) {
                break;
            }
        }
        odd += u64::from(!buffer.starts_with(b"HTTP/1.1 200"));
        times.saturating_record(asked.elapsed().as_micros() as u64);
    }
    Ok((odd, times))
}

/// Is this an answer with all of its body? They all tell their length.
pub(crate) fn whole(answer: &[u8]) -> bool {
    let Some(head) = answer.windows(4).position(|w| w == b"\r\n\r\n") else {
        return false;
    };
    let length = answer[..head].split(|&b| b == b'\n').find_map(|line| {
        let (name, value) = line.split_at_checked(LENGTH.len())?;
        let value = name
            .eq_ignore_ascii_case(LENGTH)
            .then(|| value.trim_ascii())?;
        std::str::from_utf8(value).ok()?.parse::<usize>().ok()
    });
    answer.len() >= head + 4 + length.unwrap_or(0)
}
