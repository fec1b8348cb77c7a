//! Attempts at hosts and the connections they go over. A connection is driven by the attempt that uses it:
//! there is no task behind it, so dropping the attempt closes it, and nothing is ever sent twice.

use super::clock::Clock;
use super::exchange::{Ended, Reply, Request, Target};
use super::socket::{Network, Socket, Stream};
use super::{Descriptor, Descriptors, Room};
use badgerramp_decisions::settings::Transport;
use badgerramp_decisions::{EndpointId, LoadReport, Micros, Outcome};
use badgerramp_route::Verdict;
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, Connection, SendRequest};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::future::{poll_fn, Future};
use std::io;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Most bytes of an answer's head, and of what is read of a body at once.
const HEAD_MOST: usize = 16 * 1024;
/// The shortest idle time that is told from others, and how many doublings of it.
const AGE_LEAST: Micros = 50_000;
const AGES: usize = 11;
/// Time over which what was learned of idle times fades.
const MEMORY: f64 = 30e6;
/// Requests without a break that are supposed for each idle time: a few breaks prove little.
const DOUBT: f64 = 8.0;
/// Share of requests beyond that of fresh connections that may break: a new connection costs a host as much as a
/// tenth of a call or more.
const BREAKS_MOST: f64 = 0.1;

/// Where hosts have sent what belongs to no request, a connection rests for so long after an answer before it is used again:
/// a second copy of that answer comes some milliseconds late, and would be read as the answer to the next request.
const REST: Micros = 10_000;
/// For how long hosts are taken to do so again.
const NOISY: Micros = 30_000_000;

/// The system's word for no descriptor left: in all, and for this process.
const ENFILE: i32 = 23;
const EMFILE: i32 = 24;

/// A stream that notes whether all that was to be written has been handed to the socket.
struct Watched {
    socket: Socket,
    handed_over: Rc<Cell<bool>>,
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_read(cx, buf)
    }
}

impl AsyncWrite for Watched {
    // Not vectored: head and body are laid together and go out in one write.
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.socket).poll_write(cx, buf);
        if let Poll::Ready(Ok(count)) = written {
            self.handed_over.set(count == buf.len());
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}

struct Link {
    sender: SendRequest<Full<Bytes>>,
    connection: Connection<TokioIo<Watched>, Full<Bytes>>,
    stream: Rc<dyn Stream>,
    handed_over: Rc<Cell<bool>>,
    idle_since: Micros,
    generation: u64,
    _descriptor: Descriptor,
}

impl Link {
    /// Is it open and ready for a request, with nothing on it that belongs to an earlier one? What has come in, an
    /// end or a second copy of an answer, is looked for in the kernel: the runtime may not know of it yet, and
    /// would have it read as the answer to the next request.
    async fn state(&mut self) -> LinkState {
        match self.settled().await {
            LinkState::Ready if self.stream.quiet() => LinkState::Ready,
            // It is of no further use, whatever has come.
            LinkState::Ready if self.stream.take(&mut [0]).is_ok_and(|count| count > 0) => {
                LinkState::Noisy
            }
            LinkState::Ready => LinkState::Ended,
            other => other,
        }
    }

    /// The same, as far as the runtime knows.
    async fn settled(&mut self) -> LinkState {
        match poll_fn(|cx| Poll::Ready(Pin::new(&mut self.connection).poll(cx))).await {
            Poll::Pending if self.sender.is_ready() => LinkState::Ready,
            // The library ends a connection on which something comes that nobody asked for; an error of the system has
            // its source.
            Poll::Ready(Err(fault))
                if std::error::Error::source(&fault).is_none()
                    && !fault.is_incomplete_message() =>
            {
                LinkState::Noisy
            }
            _ => LinkState::Ended,
        }
    }

    /// One exchange, driven from here.
    async fn exchange(
        &mut self,
        request: hyper::Request<Full<Bytes>>,
        room: &Rc<Room>,
        body_most: usize,
    ) -> Result<(Response<()>, Bytes), Fault> {
        self.handed_over.set(false);
        let bodiless = request.method() == Method::HEAD;
        let mut exchange = pin!(async {
            let answer = self
                .sender
                .send_request(request)
                .await
                .map_err(|e| Fault::of(&e))?;
            let (parts, body) = answer.into_parts();
            // RFC 9110, 6.4.1: whatever the headers say, nothing follows them.
            let none = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED].contains(&parts.status);
            let most = if bodiless || none { 0 } else { body_most };
            let body = whole(&parts.headers, body, room, most).await?;
            Ok((Response::from_parts(parts, ()), body))
        });
        let connection = &mut self.connection;
        poll_fn(|cx| {
            // The first poll hands the request over, the second writes it, the third takes an answer that
            // has come with the end of the connection.
            if let Poll::Ready(answer) = exchange.as_mut().poll(cx) {
                return Poll::Ready(answer);
            }
            let ended = Pin::new(&mut *connection).poll(cx).is_ready();
            match exchange.as_mut().poll(cx) {
                Poll::Pending if ended => Poll::Ready(Err(Fault::Broken)),
                other => other,
            }
        })
        .await
    }
}

/// What may be done with a connection on which no request is open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LinkState {
    /// The next request may be written.
    Ready,
    /// It has ended.
    Ended,
    /// Something has come on it that belongs to no request.
    Noisy,
}

/// Why an exchange brought no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// The connection broke or ended.
    Broken,
    /// What came back is no answer that can be used. The request has run.
    Spoilt,
}

impl Fault {
    fn of(error: &hyper::Error) -> Self {
        if error.is_parse() {
            Fault::Spoilt
        } else {
            Fault::Broken
        }
    }
}

/// The body of an answer, only if it is provably whole: one that ends with its connection may have been cut, and
/// one framed in two ways may be anything. What can't be used is not read to its end.
async fn whole(
    headers: &HeaderMap,
    body: Incoming,
    room: &Rc<Room>,
    body_most: usize,
) -> Result<Bytes, Fault> {
    if body_most == 0 && body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let chunked = headers.contains_key(header::TRANSFER_ENCODING);
    let length = body
        .size_hint()
        .exact()
        .and_then(|length| usize::try_from(length).ok());
    let most = match length {
        Some(length) if headers.contains_key(header::CONTENT_LENGTH) && !chunked => length,
        None if chunked && !headers.contains_key(header::CONTENT_LENGTH) && body_ends(headers) => {
            body_most
        }
        _ => return Err(Fault::Spoilt),
    };
    if most > body_most {
        return Err(Fault::Spoilt);
    }
    let _held = room.take(most).ok_or(Fault::Spoilt)?;
    match Limited::new(body, body_most).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(fault) => Err(fault
            .downcast_ref()
            .map_or(Fault::Spoilt, |e: &hyper::Error| {
                if e.is_incomplete_message() || std::error::Error::source(e).is_some_and(broke) {
                    Fault::Broken
                } else {
                    Fault::Spoilt
                }
            })),
    }
}

/// Does a body in this transfer coding tell its end? All others end with the connection.
fn body_ends(headers: &HeaderMap) -> bool {
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    let only = codings.next().filter(|_| codings.next().is_none());
    only.is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"chunked"))
}

/// Did the connection break, rather than bring what can't be read?
fn broke(source: &(dyn std::error::Error + 'static)) -> bool {
    let kinds = [
        io::ErrorKind::InvalidInput,
        io::ErrorKind::InvalidData,
        io::ErrorKind::Other,
    ];
    source
        .downcast_ref::<io::Error>()
        .is_some_and(|e| !kinds.contains(&e.kind()))
}

/// How often connections broke under a request, by how long they had been idle. Hosts tell how long they keep idle
/// ones at the most; one that drops them sooner, and says nothing, shows it here alone.
#[derive(Debug, Default)]
struct Staleness {
    /// Requests and breaks for each doubling of the idle time, the shortest first; old ones count less.
    ages: [(f64, f64); AGES],
    faded: Micros,
}

impl Staleness {
    fn age(idle: Micros) -> usize {
        (idle / AGE_LEAST)
            .checked_ilog2()
            .map_or(0, |doublings| doublings as usize + 1)
            .min(AGES - 1)
    }

    fn used(&mut self, now: Micros, idle: Micros, broke: bool) {
        let passed = now.saturating_sub(std::mem::replace(&mut self.faded, now));
        let left = (-(passed as f64) / MEMORY).exp();
        self.ages
            .iter_mut()
            .for_each(|(used, broken)| (*used, *broken) = (*used * left, *broken * left));
        let (used, broken) = &mut self.ages[Self::age(idle)];
        (*used, *broken) = (*used + 1.0, *broken + f64::from(u8::from(broke)));
    }

    /// The idle time from which on connections break more often than a new one costs, against the freshest, which
    /// break for other reasons. Longer is no better.
    fn limit(&self) -> Micros {
        let share = |&(used, broken): &(f64, f64)| broken / (used + DOUBT);
        let fresh = share(&self.ages[0]);
        let bad = (1..AGES).find(|&age| share(&self.ages[age]) > fresh + BREAKS_MOST);
        bad.map_or(Micros::MAX, |age| AGE_LEAST << (age - 1))
    }
}

/// The connections to all hosts.
pub struct Hosts {
    /// Sorted: which goes first must not hang on how numbers are hashed.
    idle: RefCell<BTreeMap<EndpointId, Vec<Link>>>,
    /// The generation of each host to which something may go.
    current: RefCell<BTreeMap<EndpointId, u64>>,
    staleness: RefCell<Staleness>,
    /// Until when connections rest between requests.
    noisy_until: Cell<Micros>,
    network: Rc<dyn Network>,
    room: Rc<Room>,
    descriptors: Rc<Descriptors>,
    clock: Clock,
    idle_most: Micros,
    spares: usize,
}

impl Hosts {
    /// Keeps so many idle connections to a host, for no longer than `idle` or what the hosts' own time allows.
    pub fn new(
        transport: Transport,
        (spares, idle): (usize, Micros),
        (descriptors, room): (Rc<Descriptors>, Rc<Room>),
        network: Rc<dyn Network>,
        clock: Clock,
    ) -> Rc<Self> {
        Rc::new(Hosts {
            idle: RefCell::default(),
            current: RefCell::default(),
            staleness: RefCell::default(),
            noisy_until: Cell::new(0),
            network,
            room,
            descriptors,
            clock,
            // Well ahead of the host, which may close it any time from then on.
            idle_most: (transport.conn_idle / 4 * 3).min(idle),
            spares,
        })
    }

    /// Connections of this generation, and of no other, lead to a host from now on.
    pub fn open(&self, server: EndpointId, generation: u64) {
        self.close(server);
        self.current.borrow_mut().insert(server, generation);
    }

    /// Nothing leads to a host any more: its idle connections are closed, and those in use when they come back. A
    /// host that drains would otherwise keep connections that nothing uses.
    pub fn close(&self, server: EndpointId) {
        self.idle.borrow_mut().remove(&server);
        self.current.borrow_mut().remove(&server);
    }

    /// Is no connection idle?
    pub fn none_idle(&self) -> bool {
        self.idle.borrow().is_empty()
    }

    /// Closes what has been idle for too long.
    pub fn sweep(&self) {
        let now = self.clock.now();
        let most = self.idle_most();
        let mut idle = self.idle.borrow_mut();
        idle.values_mut()
            .for_each(|links| links.retain(|l| l.idle_since + most > now));
        idle.retain(|_, links| !links.is_empty());
    }

    /// Closes the connection that has been idle longest, to make room. False if none is idle.
    pub fn evict(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle
            .values_mut()
            .min_by_key(|links| links.first().map_or(Micros::MAX, |l| l.idle_since));
        match oldest {
            Some(links) if !links.is_empty() => {
                links.remove(0);
                true
            }
            _ => false,
        }
    }

    fn idle_most(&self) -> Micros {
        self.idle_most.min(self.staleness.borrow().limit())
    }

    /// The idle connection used last, if it is still open; of those that rest, none.
    async fn checkout(&self, target: &Target) -> Option<Link> {
        let most = self.idle_most();
        loop {
            let now = self.clock.now();
            let rest = if now < self.noisy_until.get() {
                REST
            } else {
                0
            };
            let mut link = {
                let mut idle = self.idle.borrow_mut();
                let links = idle.get_mut(&target.server)?;
                let place = links
                    .iter()
                    .rposition(|link| link.idle_since + rest <= now)?;
                links.remove(place)
            };
            let fresh = link.idle_since + most > now;
            if fresh && link.generation == target.generation && self.ready(&mut link).await {
                return Some(link);
            }
        }
    }

    /// May the next request be written on this connection? Notes if a host has sent what nobody asked for.
    async fn ready(&self, link: &mut Link) -> bool {
        let state = link.state().await;
        self.note(state);
        state == LinkState::Ready
    }

    fn note(&self, state: LinkState) {
        if state == LinkState::Noisy {
            self.noisy_until.set(self.clock.now() + NOISY);
        }
    }

    async fn connect(&self, target: &Target, most: Micros) -> Result<Link, Outcome> {
        let descriptor = match self.descriptors.take() {
            Some(descriptor) => descriptor,
            // Our own want of sockets says nothing of the host: not sent, rather than no connection.
            None if self.evict() => self.descriptors.take().ok_or(Outcome::NotSent)?,
            None => return Err(Outcome::NotSent),
        };
        let connect = tokio::time::timeout(
            Duration::from_micros(most),
            self.network.connect(target.address),
        );
        let stream = match connect.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(fault)) if matches!(fault.raw_os_error(), Some(ENFILE | EMFILE)) => {
                self.evict();
                return Err(Outcome::NotSent);
            }
            _ => return Err(Outcome::ConnectFailed),
        };
        let handed_over = Rc::new(Cell::new(false));
        let watched = Watched {
            socket: Socket::new(&stream),
            handed_over: Rc::clone(&handed_over),
        };
        let handshake = http1::Builder::new()
            .max_buf_size(HEAD_MOST)
            .handshake(TokioIo::new(watched))
            .await;
        let (sender, connection) = handshake.map_err(|_| Outcome::ConnectFailed)?;
        let (idle_since, generation) = (0, target.generation);
        let mut link = Link {
            sender,
            connection,
            stream,
            handed_over,
            idle_since,
            generation,
            _descriptor: descriptor,
        };
        if self.ready(&mut link).await {
            Ok(link)
        } else {
            Err(Outcome::ConnectFailed)
        }
    }

    async fn keep(&self, server: EndpointId, mut link: Link) {
        let current = self.current.borrow().get(&server) == Some(&link.generation);
        // The kernel is asked before its next use, when there is more to know.
        let settled = link.settled().await;
        self.note(settled);
        if !current || settled != LinkState::Ready {
            return;
        }
        link.idle_since = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let links = idle.entry(server).or_default();
        links.push(link);
        if links.len() > self.spares {
            links.remove(0);
        }
    }
}

/// Makes one attempt and tells how it ended. `left` is the time it still has; `may_start` is asked right
/// before the first byte.
pub async fn attempt(
    hosts: &Hosts,
    target: Target,
    request: &Request,
    left: impl Fn() -> Micros,
    may_start: impl Fn() -> bool,
) -> Ended {
    let mut link = match hosts.checkout(&target).await {
        Some(link) => link,
        // Apart, as it is rare and large: the task of each attempt is as large as its largest part.
        None => match Box::pin(hosts.connect(&target, request.manner.connect)).await {
            Ok(link) => link,
            Err(outcome) => return outcome.into(),
        },
    };
    if !may_start() {
        hosts.keep(target.server, link).await;
        return Outcome::NotSent.into();
    }
    let Some(message) = message(request, left()) else {
        return Outcome::NotSent.into();
    };
    let idle = (link.idle_since > 0).then(|| hosts.clock.now().saturating_sub(link.idle_since));
    let exchanged = link
        .exchange(message, &hosts.room, request.manner.body_most)
        .await;
    if let Some(idle) = idle {
        let broke = matches!(exchanged, Err(Fault::Broken));
        hosts
            .staleness
            .borrow_mut()
            .used(hosts.clock.now(), idle, broke);
    }
    let (answer, body) = match exchanged {
        Ok(answer) => answer,
        // Its connection goes in either case. An answer that can't be used is a host's word all the same.
        Err(Fault::Spoilt) => return Outcome::Error.into(),
        // Never ran only if the last byte was not handed to the socket; all else may have run.
        Err(Fault::Broken) if link.handed_over.get() => return Outcome::Reset.into(),
        Err(Fault::Broken) => return Outcome::ConnectFailed.into(),
    };
    if answer.status() != StatusCode::SWITCHING_PROTOCOLS {
        hosts.keep(target.server, link).await;
    }
    let load = loads(answer.headers());
    let outcome = match request
        .manner
        .answers
        .verdict(answer.status(), answer.headers())
    {
        Verdict::Served => Outcome::Served,
        Verdict::NeverRan => Outcome::Rejected,
        Verdict::Error => Outcome::Error,
    };
    let (parts, ()) = answer.into_parts();
    Ended {
        outcome,
        load,
        reply: Some(Reply {
            status: parts.status,
            headers: parts.headers,
            body,
        }),
    }
}

const X_TIMEOUT: HeaderName = HeaderName::from_static("x-timeout");
const X_SERVER_LOAD: HeaderName = HeaderName::from_static("x-server-load");

/// Headers that concern one connection only (RFC 9110, 7.6.1), and those that are written anew.
pub fn passes(name: &HeaderName) -> bool {
    !matches!(
        name.as_str(),
        "connection"
            | "content-length"
            | "expect"
            | "keep-alive"
            | "proxy-connection"
            | "te"
            | "trailer"
            | "transfer-encoding"
            | "upgrade"
            | "x-timeout"
    )
}

/// Takes out all that does not pass.
pub fn strip(headers: &mut HeaderMap) {
    let own: Vec<HeaderName> = headers
        .keys()
        .filter(|name| !passes(name))
        .cloned()
        .collect();
    own.iter().for_each(|name| {
        headers.remove(name);
    });
}

fn message(request: &Request, left: Micros) -> Option<hyper::Request<Full<Bytes>>> {
    let mut message = hyper::Request::new(Full::new(request.body.clone()));
    *message.method_mut() = request.method.clone();
    *message.uri_mut() = request.uri.clone();
    let mut time = BytesMut::with_capacity(21);
    // Writing to a buffer does not fail.
    let _ = write!(time, "{left}u");
    let headers = message.headers_mut();
    *headers = request.headers.clone();
    headers.insert(
        X_TIMEOUT,
        HeaderValue::from_maybe_shared(time.freeze()).ok()?,
    );
    Some(message)
}

/// The load report of an answer: the first that tells anything.
fn loads(headers: &HeaderMap) -> LoadReport {
    let mut reports = headers.get_all(X_SERVER_LOAD).iter().map(load);
    reports
        .find(|load| *load != LoadReport::default())
        .unwrap_or_default()
}

/// Reads a load report. What is odd in it is skipped. Its figures bear the names that the settings give the
/// columns (`active`), or those of the protocol's example (`inflight`): a reader of the latter alone left the
/// module without any report, and hosts were loaded until calls timed out.
pub fn load(value: &HeaderValue) -> LoadReport {
    let mut load = LoadReport::default();
    let text = value.to_str().unwrap_or_default();
    for (name, value) in text
        .trim_start_matches("TEXT")
        .split(',')
        .filter_map(|part| part.split_once('='))
    {
        let value = value
            .trim()
            .parse()
            .ok()
            .filter(|v: &f64| v.is_finite() && *v >= 0.0);
        match name.trim() {
            "active" | "inflight" => load.in_flight = value,
            "waiting" | "queue" => load.queued = value,
            "cpu" | "util" => load.cpu_utilization = value,
            "err_rps" | "eps" => load.error_rate = value,
            _ => {}
        }
    }
    load
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::net::exchange::Manner;
    use crate::net::socket::Tcp;
    use hyper::http::Uri;
    use std::io::{Read, Write};
    use std::net::TcpListener;

    /// One attempt at a stub that reads a little and answers `text`.
    fn attempt_at(text: &'static str, may_start: bool) -> Ended {
        attempt_keeping(text, may_start, (16, Micros::MAX)).0
    }

    /// The same, with so many connections kept for so long; tells also how many are left after a sweep.
    fn attempt_keeping(
        text: &'static str,
        may_start: bool,
        kept: (usize, Micros),
    ) -> (Ended, usize) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("its address");
        std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("a connection");
            if stream.read(&mut [0; 4096]).is_ok_and(|n| n > 0) {
                stream
                    .write_all(text.as_bytes())
                    .expect("an open connection");
            }
            // Open until the other side closes.
            let _ = stream.read(&mut [0]);
        });
        let transport = Transport {
            max_open: 9,
            conn_idle: 60_000_000,
            connect_timeout: Duration::from_secs(9).as_micros() as Micros,
        };
        let hosts = Hosts::new(
            transport,
            kept,
            (Descriptors::new(9), Room::new(1 << 20)),
            Rc::new(Tcp),
            Clock::start(),
        );
        hosts.open(EndpointId(0), 0);
        let target = Target {
            server: EndpointId(0),
            address,
            generation: 0,
        };
        let (method, uri, headers) = (Method::GET, Uri::from_static("/a"), HeaderMap::new());
        let answers = std::sync::Arc::new(badgerramp_route::Answers::platform());
        let manner = Rc::new(Manner {
            connect: 9_000_000,
            answers,
            body_most: 1 << 16,
        });
        let request = Request {
            method,
            uri,
            headers,
            body: Bytes::new(),
            manner,
        };
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime");
        let ended = runtime.block_on(attempt(&hosts, target, &request, || 1_000, || may_start));
        hosts.sweep();
        let left = hosts.idle.borrow().values().map(Vec::len).sum();
        (ended, left)
    }

    #[test]
    fn a_load_report_is_read_under_the_names_of_the_settings_and_of_the_example() {
        let wanted = LoadReport {
            in_flight: Some(7.0),
            queued: Some(2.5),
            cpu_utilization: Some(0.5),
            error_rate: Some(0.0),
        };
        for text in [
            "HTTP/1.1 200 OK\r\nX-Server-Load: TEXT active=7, waiting=2.5, avg_ms=9, cpu=0.5, err_rps=0\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 200 OK\r\nX-Server-Load: TEXT inflight=7,queue=2.5,util=0.5,eps=0,odd\r\nContent-Length: 0\r\n\r\n",
        ] {
            let ended = attempt_at(text, true);
            assert_eq!((ended.outcome, ended.load), (Outcome::Served, wanted), "{text}");
        }
    }

    /// Hosts that dropped idle connections long before their time, without a word, cost every third call on one.
    #[test]
    fn connections_that_break_when_idle_are_not_used_at_that_age() {
        let (now, calm) = (1_000_000, &mut Staleness::default());
        for n in 0..100 {
            // As often as those just used: that is not their age.
            (0..AGES).for_each(|age| calm.used(now, AGE_LEAST << age >> 1, n % 10 == 0));
        }
        assert_eq!(calm.limit(), Micros::MAX);
        let mut stale = Staleness::default();
        for n in 0..40 {
            stale.used(now, 10_000, n % 10 == 0);
            stale.used(now, 70_000, n % 10 == 0);
            stale.used(now, 150_000, n % 2 == 0);
        }
        assert_eq!(stale.limit(), 100_000);
        // It is tried again when that is long ago.
        stale.used(now + 300_000_000, 10_000, false);
        assert_eq!(stale.limit(), Micros::MAX);
    }

    /// A quiet proxy among thousands holds nothing open: the floor is zero.
    #[test]
    fn connections_are_kept_as_many_and_as_long_as_is_set() {
        let answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        assert_eq!(attempt_keeping(answer, true, (1, Micros::MAX)).1, 1);
        assert_eq!(attempt_keeping(answer, true, (0, Micros::MAX)).1, 0);
        assert_eq!(attempt_keeping(answer, true, (1, 0)).1, 0);
    }

    #[test]
    fn what_may_not_start_any_more_is_not_sent() {
        let ended = attempt_at("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false);
        assert_eq!(ended.outcome, Outcome::NotSent);
    }
}
