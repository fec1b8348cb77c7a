//! Clients that send one small request at a time, as the protocol describes them, and what became of their requests.

use super::gate::Gate;
use super::http::read_response;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::{timeout, timeout_at, Instant};

/// The time that a usual client gives its requests.
const REQUEST_TIME: Duration = Duration::from_millis(1_500);
/// A response is late, but not lost, for this long after the time of its request.
const ANSWER_SLACK: Duration = Duration::from_millis(500);

/// A request that got no final answer.
#[derive(Clone, Debug)]
pub struct Loss {
    /// Id of the request.
    pub id: String,
    /// Whether its connection was closed; otherwise nothing came.
    pub is_closed: bool,
    /// When the client began to send it.
    pub sent_at: std::time::Instant,
    /// How long the client waited.
    pub waited: Duration,
}

/// What became of the requests of usual clients.
#[derive(Clone, Debug, Default)]
pub struct UsualTotals {
    /// Requests that were written completely.
    pub sent: usize,
    /// Requests answered with status 200 in time.
    pub served: usize,
    /// Requests answered with status 429 or 503.
    pub refused: usize,
    /// Requests answered with any other status.
    pub failed: usize,
    /// Requests answered after their time.
    pub late: usize,
    /// Requests with no final answer half a second after their time, or whose connection was closed after they had
    /// been sent on a new one.
    pub lost: Vec<Loss>,
    /// The longest time that a request took to be answered.
    pub slowest: Duration,
}

/// Usual clients.
#[derive(Clone, Debug)]
pub struct UsualClients {
    /// The proxy that they use.
    pub target: SocketAddr,
    /// Number of clients.
    pub count: usize,
    /// Seeds their pauses.
    pub seed: u64,
    /// When they may open connections.
    pub gate: Gate,
}

/// How one try of a request ended.
enum Ended {
    Answered(u16),
    Late,
    Closed,
    Nothing,
}

impl UsualClients {
    /// Sends requests for this time and returns what became of them.
    pub async fn run(self, duration: Duration) -> UsualTotals {
        let until = Instant::now() + duration;
        let mut clients = tokio::task::JoinSet::new();
        for number in 0..self.count {
            clients.spawn(run_client(self.clone(), number, until));
        }
        let mut totals = UsualTotals::default();
        while let Some(client) = clients.join_next().await {
            let client = client.expect("a client does not panic");
            totals.sent += client.sent;
            totals.served += client.served;
            totals.refused += client.refused;
            totals.failed += client.failed;
            totals.late += client.late;
            totals.lost.extend(client.lost);
            totals.slowest = totals.slowest.max(client.slowest);
        }
        totals
    }
}

async fn run_client(clients: UsualClients, number: usize, until: Instant) -> UsualTotals {
    let mut random = Pcg32::seed_from_u64(clients.seed ^ (number as u64) << 32);
    let mut totals = UsualTotals::default();
    let mut connection = None;
    let mut sequence = 0;
    while Instant::now() < until {
        sequence += 1;
        let id = format!("usual-{:x}-{number}-{sequence}", clients.seed);
        let request = request_text(&id, sequence);
        let (started, kills) = (Instant::now(), clients.gate.kills());
        let ended = send_request(&mut connection, &clients, &request).await;
        let Some(ended) = ended.filter(|_| clients.gate.kills() == kills) else {
            // Nobody accepted the connection, so that nothing was taken, or the program has been killed.
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        totals.sent += 1;
        totals.slowest = totals.slowest.max(started.elapsed());
        match ended {
            Ended::Answered(200) => totals.served += 1,
            Ended::Answered(429 | 503) => totals.refused += 1,
            Ended::Answered(_) => totals.failed += 1,
            Ended::Late => totals.late += 1,
            Ended::Closed | Ended::Nothing => totals.lost.push(Loss {
                id,
                is_closed: matches!(ended, Ended::Closed),
                sent_at: started.into_std(),
                waited: started.elapsed(),
            }),
        }
        let pause = random.gen_range(5..60);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
    totals
}

/// A small request of one of the three classes.
fn request_text(id: &str, sequence: usize) -> String {
    let time = REQUEST_TIME.as_millis();
    let common = format!("Host: service.internal\r\nX-Request-ID: {id}\r\nX-Timeout: {time}m\r\n");
    let body = "Content-Length: 4\r\n\r\nbody";
    match sequence % 3 {
        0 => format!("GET /safe?answer=200 HTTP/1.1\r\n{common}\r\n"),
        1 => format!("POST /keyed?answer=200 HTTP/1.1\r\n{common}Idempotency-Key: {id}\r\n{body}"),
        _ => format!("POST /unsafe?answer=200 HTTP/1.1\r\n{common}{body}"),
    }
}

/// Sends a request on the open connection or a new one. A request that crosses the end of an open connection is sent
/// once more on a new one, as the protocol says. `None` if it could not be sent.
async fn send_request(
    connection: &mut Option<BufReader<TcpStream>>,
    clients: &UsualClients,
    request: &str,
) -> Option<Ended> {
    if let Some(mut stream) = connection.take() {
        match try_request(&mut stream, request).await {
            Some(Ended::Closed) | None => {}
            Some(ended) => {
                *connection = Some(stream);
                return Some(ended);
            }
        }
    }
    if !clients.gate.is_open() {
        return None;
    }
    let stream = timeout(REQUEST_TIME, TcpStream::connect(clients.target)).await;
    let stream = stream.ok()?.ok()?;
    let _ = stream.set_nodelay(true);
    let mut stream = BufReader::new(stream);
    let ended = try_request(&mut stream, request).await;
    if matches!(ended, Some(Ended::Answered(_))) {
        *connection = Some(stream);
    }
    ended
}

/// `None` if the request could not be written.
async fn try_request(stream: &mut BufReader<TcpStream>, request: &str) -> Option<Ended> {
    stream.get_mut().write_all(request.as_bytes()).await.ok()?;
    let sent = Instant::now();
    let response = timeout_at(sent + REQUEST_TIME + ANSWER_SLACK, read_response(stream)).await;
    Some(match response {
        Err(_) => Ended::Nothing,
        Ok(Err(_)) => Ended::Closed,
        Ok(Ok(_)) if sent.elapsed() > REQUEST_TIME => Ended::Late,
        Ok(Ok(response)) => Ended::Answered(response.status),
    })
}
