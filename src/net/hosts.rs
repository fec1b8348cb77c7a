//! Attempts at hosts and the connections they go over. A connection is driven by the attempt that uses it:
//! there is no task behind it, so dropping the attempt closes it, and nothing is ever sent twice.

use super::driver::{Clock, Request};
use super::{Descriptor, Descriptors};
use badgerramp::settings::Transport;
use badgerramp::{Load, Micros, Outcome, ServerId};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, Connection, SendRequest};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::{poll_fn, Future};
use std::io;
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Most bytes of a body, either way.
pub const BODY_MOST: usize = 64 * 1024;
/// Connections that all client proxies may keep idle at a host between them, and the bounds of a part.
/// A host holds 76 in all; those in use come on top.
const SPARES_OF_ALL: usize = 60;
const SPARES: (usize, usize) = (4, 16);

/// The system's word for no descriptor left: in all, and for this process.
const ENFILE: i32 = 23;
const EMFILE: i32 = 24;

/// Where an attempt goes.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    pub server: ServerId,
    pub address: SocketAddr,
    pub generation: u64,
}

/// How an attempt ended.
#[derive(Debug)]
pub struct Ended {
    pub outcome: Outcome,
    pub load: Load,
    /// The whole body of a served answer, and its type.
    pub served: Option<(Bytes, Option<HeaderValue>)>,
}

impl From<Outcome> for Ended {
    fn from(outcome: Outcome) -> Self {
        Ended { outcome, load: Load::default(), served: None }
    }
}

/// A stream that notes whether all that was to be written has been handed to the socket.
struct Watched {
    stream: TcpStream,
    handed_over: Rc<Cell<bool>>,
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Watched {
    // Not vectored: head and body are laid together and go out in one write.
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(count)) = written {
            self.handed_over.set(count == buf.len());
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

struct Link {
    sender: SendRequest<Full<Bytes>>,
    connection: Connection<TokioIo<Watched>, Full<Bytes>>,
    handed_over: Rc<Cell<bool>>,
    idle_since: Micros,
    generation: u64,
    _descriptor: Descriptor,
}

impl Link {
    /// Is it open and ready for a request? A connection that its host has closed shows it here.
    async fn alive(&mut self) -> bool {
        let ended = poll_fn(|cx| Poll::Ready(Pin::new(&mut self.connection).poll(cx).is_ready())).await;
        !ended && self.sender.is_ready()
    }

    /// One exchange, driven from here. None: the connection broke before the answer was whole.
    async fn exchange(&mut self, request: hyper::Request<Full<Bytes>>) -> Option<(Response<()>, Bytes)> {
        self.handed_over.set(false);
        let mut exchange = pin!(async {
            let answer = self.sender.send_request(request).await.ok()?;
            let (parts, body) = answer.into_parts();
            let body = whole(&parts.headers, parts.status, body).await?;
            Some((Response::from_parts(parts, ()), body))
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
                Poll::Pending if ended => Poll::Ready(None),
                other => other,
            }
        })
        .await
    }
}

/// The body of an answer, only if it is provably whole: one that ends with its connection may have been cut.
async fn whole(headers: &HeaderMap, status: StatusCode, body: Incoming) -> Option<Bytes> {
    let framed = headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING)
        || status == StatusCode::NO_CONTENT;
    let body = Limited::new(body, BODY_MOST).collect().await.ok()?;
    framed.then(|| body.to_bytes())
}

/// The connections to all hosts.
pub struct Hosts {
    idle: RefCell<HashMap<ServerId, Vec<Link>>>,
    current: RefCell<HashMap<ServerId, u64>>,
    descriptors: Rc<Descriptors>,
    clock: Clock,
    connect_timeout: Duration,
    idle_most: Micros,
    spares: usize,
}

impl Hosts {
    pub fn new(transport: Transport, balancers: u32, descriptors: Rc<Descriptors>, clock: Clock) -> Rc<Self> {
        let spares = (SPARES_OF_ALL / balancers.max(1) as usize).clamp(SPARES.0, SPARES.1);
        Rc::new(Hosts {
            idle: RefCell::new(HashMap::new()),
            current: RefCell::new(HashMap::new()),
            descriptors,
            clock,
            connect_timeout: Duration::from_micros(transport.connect_timeout),
            // Well ahead of the host, which may close it any time from then on.
            idle_most: transport.conn_idle / 4 * 3,
            spares,
        })
    }

    /// Closes the idle connections to a host, and those in use of a generation before this one when they
    /// come back: a host that drains would otherwise keep connections that nothing uses any more.
    pub fn close(&self, server: ServerId, generation: u64) {
        self.idle.borrow_mut().remove(&server);
        self.current.borrow_mut().insert(server, generation);
    }

    /// Closes what has been idle for too long.
    pub fn sweep(&self) {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        idle.values_mut().for_each(|links| links.retain(|l| l.idle_since + self.idle_most > now));
        idle.retain(|_, links| !links.is_empty());
    }

    /// Closes the connection that has been idle longest, to make room. False if none is idle.
    pub fn evict(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let oldest =
            idle.values_mut().min_by_key(|links| links.first().map_or(Micros::MAX, |l| l.idle_since));
        match oldest {
            Some(links) if !links.is_empty() => {
                links.remove(0);
                true
            }
            _ => false,
        }
    }

    /// The idle connection used last, if it is still open.
    async fn checkout(&self, target: &Target) -> Option<Link> {
        loop {
            let mut link = self.idle.borrow_mut().get_mut(&target.server)?.pop()?;
            let fresh = link.idle_since + self.idle_most > self.clock.now();
            if fresh && link.generation == target.generation && link.alive().await {
                return Some(link);
            }
        }
    }

    async fn connect(&self, target: &Target) -> Result<Link, Outcome> {
        let descriptor = match self.descriptors.take() {
            Some(descriptor) => descriptor,
            // Our own want of sockets says nothing of the host: not sent, rather than no connection.
            None if self.evict() => self.descriptors.take().ok_or(Outcome::NotSent)?,
            None => return Err(Outcome::NotSent),
        };
        let connect = tokio::time::timeout(self.connect_timeout, TcpStream::connect(target.address));
        let stream = match connect.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(fault)) if matches!(fault.raw_os_error(), Some(ENFILE | EMFILE)) => {
                self.evict();
                return Err(Outcome::NotSent);
            }
            _ => return Err(Outcome::NoConnection),
        };
        let _ = stream.set_nodelay(true);
        let handed_over = Rc::new(Cell::new(false));
        let io = TokioIo::new(Watched { stream, handed_over: Rc::clone(&handed_over) });
        let (sender, connection) = http1::handshake(io).await.map_err(|_| Outcome::NoConnection)?;
        let (idle_since, generation) = (0, target.generation);
        let mut link =
            Link { sender, connection, handed_over, idle_since, generation, _descriptor: descriptor };
        if link.alive().await {
            Ok(link)
        } else {
            Err(Outcome::NoConnection)
        }
    }

    async fn keep(&self, server: ServerId, mut link: Link) {
        let old = self.current.borrow().get(&server).is_some_and(|&current| link.generation < current);
        if old || !link.alive().await {
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
        None => match hosts.connect(&target).await {
            Ok(link) => link,
            Err(outcome) => return outcome.into(),
        },
    };
    if !may_start() {
        hosts.keep(target.server, link).await;
        return Outcome::NotSent.into();
    }
    let Some(message) = message(request, left()) else { return Outcome::NotSent.into() };
    let Some((answer, body)) = link.exchange(message).await else {
        // Never ran only if the last byte was not handed to the socket; all else may have run.
        let whole = link.handed_over.get();
        return if whole { Outcome::Reset } else { Outcome::NoConnection }.into();
    };
    hosts.keep(target.server, link).await;
    let load = answer.headers().get("x-server-load").map(load).unwrap_or_default();
    let turned_away = answer.headers().get("x-not-processed").is_some_and(|v| v.as_bytes() == b"1");
    match answer.status() {
        StatusCode::OK => {
            let content_type = answer.headers().get(header::CONTENT_TYPE).cloned();
            Ended { outcome: Outcome::Served, load, served: Some((body, content_type)) }
        }
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if turned_away => {
            Ended { outcome: Outcome::TurnedAway, load, served: None }
        }
        _ => Ended { outcome: Outcome::Error, load, served: None },
    }
}

/// Headers that concern one connection only (RFC 9110, 7.6.1), and those that are written anew.
fn passes(name: &HeaderName) -> bool {
    let own = [
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-timeout",
    ];
    !own.contains(&name.as_str())
}

fn message(request: &Request, left: Micros) -> Option<hyper::Request<Full<Bytes>>> {
    let mut message = hyper::Request::new(Full::new(request.body.clone()));
    *message.method_mut() = request.method.clone();
    *message.uri_mut() = request.uri.clone();
    let headers = message.headers_mut();
    for (name, value) in request.headers.iter().filter(|(name, _)| passes(name)) {
        headers.append(name, value.clone());
    }
    headers.insert("x-timeout", HeaderValue::from_str(&format!("{left}u")).ok()?);
    Some(message)
}

/// Reads a load report. What is odd in it is skipped. Its figures bear the names that the settings give the
/// columns (`active`), or those of the protocol's example (`inflight`): a reader of the latter alone left the
/// module without any report, and hosts were loaded until calls timed out.
pub fn load(value: &HeaderValue) -> Load {
    let mut load = Load::default();
    let text = value.to_str().unwrap_or_default();
    for (name, value) in text.trim_start_matches("TEXT").split(',').filter_map(|part| part.split_once('=')) {
        let value = value.trim().parse().ok().filter(|v: &f64| v.is_finite() && *v >= 0.0);
        match name.trim() {
            "active" | "inflight" => load.in_hand = value,
            "waiting" | "queue" => load.waiting = value,
            "cpu" | "util" => load.busy = value,
            "err_rps" | "eps" => load.error_rate = value,
            _ => {}
        }
    }
    load
}

#[cfg(test)]
mod tests {
    use super::*;
    use hyper::http::{Method, Uri};
    use std::io::{Read, Write};
    use std::net::TcpListener;

    /// One attempt at a stub that reads a little and answers `text`.
    fn attempt_at(text: &'static str, may_start: bool) -> Ended {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("its address");
        std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("a connection");
            if stream.read(&mut [0; 4096]).is_ok_and(|n| n > 0) {
                stream.write_all(text.as_bytes()).expect("an open connection");
            }
        });
        let transport = Transport {
            max_open: 9,
            conn_idle: 60_000_000,
            connect_timeout: Duration::from_secs(9).as_micros() as Micros,
        };
        let hosts = Hosts::new(transport, 1, Descriptors::new(9), Clock::start());
        let target = Target { server: ServerId(0), address, generation: 0 };
        let request = Request {
            method: Method::GET,
            uri: Uri::from_static("/a"),
            headers: HeaderMap::new(),
            body: Bytes::new(),
        };
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        runtime.block_on(attempt(&hosts, target, &request, || 1_000, || may_start))
    }

    #[test]
    fn a_load_report_is_read_under_the_names_of_the_settings_and_of_the_example() {
        let wanted = Load { in_hand: Some(7.0), waiting: Some(2.5), busy: Some(0.5), error_rate: Some(0.0) };
        for text in [
            "HTTP/1.1 200 OK\r\nX-Server-Load: TEXT active=7, waiting=2.5, avg_ms=9, cpu=0.5, err_rps=0\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 200 OK\r\nX-Server-Load: TEXT inflight=7,queue=2.5,util=0.5,eps=0,odd\r\nContent-Length: 0\r\n\r\n",
        ] {
            let ended = attempt_at(text, true);
            assert_eq!((ended.outcome, ended.load), (Outcome::Served, wanted), "{text}");
        }
    }

    #[test]
    fn what_may_not_start_any_more_is_not_sent() {
        let ended = attempt_at("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false);
        assert_eq!(ended.outcome, Outcome::NotSent);
    }
}
