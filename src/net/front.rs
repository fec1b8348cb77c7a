//! The client side: reads requests, hands them to the driver and writes the one final answer.

use super::driver::{Answer, Driver, Intake, Request};
use super::hosts::{Hosts, BODY_MOST};
use super::{Descriptor, Descriptors};
use badgerramp::{CallId, Micros};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;

/// Taken off the client's time, so that the final answer reaches it before that is up.
const MARGIN: Micros = 2_000;
/// Longest time of a client that is believed.
const TIME_MOST: Micros = 600_000_000;
/// Most bytes of a request's head.
const HEAD_MOST: usize = 32 * 1024;
/// How long a client may take over a request's head.
const HEAD_TIME: Duration = Duration::from_secs(120);
/// ... and one whose request will be refused, as its place is wanted.
const CROWDED_TIME: Duration = Duration::from_secs(1);
/// At a stop, connections are accepted for at least this long, and until none has come for a while.
const STOP_ACCEPT: Duration = Duration::from_millis(450);
/// ... and without an open call for this long, what is still connected has nothing to come.
const QUIET: Duration = Duration::from_millis(100);
/// Pause of accepting when the system has no descriptor left.
const SHORT_PAUSE: Duration = Duration::from_millis(10);

pub struct Front {
    pub driver: Driver,
    pub hosts: Rc<Hosts>,
    pub descriptors: Rc<Descriptors>,
    /// Connections of clients that are served. They must leave descriptors for the way to the hosts: else a
    /// crowd of clients would be taken and none of them served.
    pub most: usize,
    /// Further ones that are taken to be refused and closed.
    pub beyond: usize,
}

impl Front {
    /// Serves clients until `stop` resolves, then finishes what is taken.
    pub async fn serve(self: Rc<Self>, listener: TcpListener, stop: impl Future<Output = ()>) {
        let (closing, closed) = watch::channel(false);
        let places = Arc::new(Semaphore::new(self.most + self.beyond));
        let mut stop = pin!(stop);
        let mut end: Option<Instant> = None;
        loop {
            let late = async move {
                match end {
                    Some(end) => tokio::time::sleep_until(end).await,
                    None => std::future::pending().await,
                }
            };
            // With no place left, clients wait in the listener's queue: those refused leave soon.
            let accept = async {
                let place = Arc::clone(&places).acquire_owned().await;
                (listener.accept().await, place.ok())
            };
            tokio::select! {
                // A crowd of clients must not keep the stop from being heard, nor a stop clients from being taken.
                biased;
                () = &mut stop, if end.is_none() => {
                    // From now on each answer closes its connection, and idle ones close at once, while new
                    // ones are still taken: clients move over before the listener goes.
                    end = Some(Instant::now() + STOP_ACCEPT);
                    let _ = closing.send(true);
                }
                (accepted, place) = accept => match accepted {
                    Ok((stream, _)) => {
                        let crowded = places.available_permits() < self.beyond;
                        self.accepted(stream, closed.clone(), crowded, place);
                    }
                    Err(fault) => self.short_of_sockets(&fault).await,
                },
                () = late => break,
            }
        }
        drop(listener);
        // All places are free once the last connection has ended. One with half a request on it does
        // not end by itself, and must not hold the stop up until the kill.
        let quiet = async {
            let mut since = Instant::now();
            while since.elapsed() < QUIET {
                tokio::time::sleep(QUIET / 10).await;
                if self.driver.open_calls() > 0 {
                    since = Instant::now();
                }
            }
        };
        tokio::select! {
            _ = places.acquire_many((self.most + self.beyond) as u32) => {}
            () = quiet => {}
        }
    }

    /// Running out of descriptors must not end the program: idle connections go first.
    async fn short_of_sockets(&self, fault: &io::Error) {
        let aborted = [io::ErrorKind::ConnectionAborted, io::ErrorKind::ConnectionReset];
        if !aborted.contains(&fault.kind()) && !self.hosts.evict() {
            tokio::time::sleep(SHORT_PAUSE).await;
        }
    }

    fn accepted(
        self: &Rc<Self>,
        stream: TcpStream,
        closing: watch::Receiver<bool>,
        crowded: bool,
        place: Option<OwnedSemaphorePermit>,
    ) {
        let descriptor = self.descriptors.take().or_else(|| {
            self.hosts.evict();
            self.descriptors.take()
        });
        let crowded = crowded || descriptor.is_none();
        let front = Rc::clone(self);
        tokio::task::spawn_local(front.connection(stream, closing, crowded, (place, descriptor)));
    }

    async fn connection(
        self: Rc<Self>,
        stream: TcpStream,
        mut closing: watch::Receiver<bool>,
        crowded: bool,
        _held: (Option<OwnedSemaphorePermit>, Option<Descriptor>),
    ) {
        let _ = stream.set_nodelay(true);
        let service = service_fn(|request| {
            let front = Rc::clone(&self);
            async move { Ok::<_, Infallible>(if crowded { refused(0) } else { front.request(request).await }) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(if crowded { CROWDED_TIME } else { HEAD_TIME })
            .max_buf_size(HEAD_MOST)
            .keep_alive(!crowded && !*closing.borrow())
            .serve_connection(TokioIo::new(stream), service);
        let mut connection = pin!(connection);
        let mut told = *closing.borrow();
        loop {
            tokio::select! {
                // How a client's connection ends concerns nobody: its calls are dropped with it.
                _ = connection.as_mut() => return,
                _ = closing.changed(), if !told => {
                    told = true;
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }

    async fn request(&self, request: hyper::Request<Incoming>) -> Response<Full<Bytes>> {
        let arrived = self.driver.clock().now();
        let (parts, body) = request.into_parts();
        let path = parts.uri.path();
        if path == "/_health" && matches!(parts.method, Method::GET | Method::HEAD) {
            return plain(StatusCode::OK, "ok");
        }
        let time = match parts.headers.get("x-timeout").map(|v| v.to_str().ok().and_then(timeout)) {
            Some(Some(time)) => time,
            _ => return plain(StatusCode::BAD_REQUEST, "X-Timeout missing or odd"),
        };
        if !parts.headers.contains_key("x-request-id") {
            return plain(StatusCode::BAD_REQUEST, "X-Request-ID missing");
        }
        let class = path.trim_start_matches('/').split('/').next().unwrap_or_default().to_owned();
        let deadline = arrived + time.saturating_sub(MARGIN).max(1);
        let body = Limited::new(body, BODY_MOST).collect();
        let body = match tokio::time::timeout(Duration::from_micros(time), body).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(fault)) if fault.is::<LengthLimitError>() => {
                return plain(StatusCode::PAYLOAD_TOO_LARGE, "body over 64 KiB");
            }
            Ok(Err(_)) => return plain(StatusCode::BAD_REQUEST, "broken body"),
            Err(_) => return plain(StatusCode::REQUEST_TIMEOUT, "the body did not come in time"),
        };
        let intake = Intake {
            class,
            tenant: text(&parts.headers, "x-tenant-id"),
            deadline,
            resent: { parts.headers.get("x-retried").is_some_and(|v| v.as_bytes() == b"1") },
        };
        let (method, uri, headers) = (parts.method, parts.uri, parts.headers);
        let Some((call, answer)) = self.driver.request(intake, Request { method, uri, headers, body }) else {
            return refused(0);
        };
        let _gone = Gone { driver: &self.driver, call };
        match answer.await {
            Ok(Answer::Served { body, content_type }) => {
                let mut response = Response::new(Full::new(body));
                if let Some(content_type) = content_type {
                    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
                }
                response
            }
            Ok(Answer::Refused { retry_after }) => refused(retry_after),
            Ok(Answer::Failed) => plain(StatusCode::BAD_GATEWAY, "failed"),
            Ok(Answer::Overdue) | Err(_) => plain(StatusCode::GATEWAY_TIMEOUT, "no answer in time"),
        }
    }
}

/// Tells the driver when the client goes before its answer: hyper drops the request's future then.
struct Gone<'a> {
    driver: &'a Driver,
    call: CallId,
}

impl Drop for Gone<'_> {
    fn drop(&mut self) {
        self.driver.gone(self.call);
    }
}

fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_owned)
}

/// A number and a unit: `m` milliseconds or `u` microseconds.
fn timeout(text: &str) -> Option<Micros> {
    let text = text.trim();
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let scale = match unit {
        "m" => 1_000,
        "u" => 1,
        _ => return None,
    };
    if !number.bytes().all(|b| b.is_ascii_digit()) {
        return None;
    }
    let time = number.parse::<Micros>().ok()?.saturating_mul(scale);
    (time > 0).then_some(time.min(TIME_MOST))
}

fn plain(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(text));
    *response.status_mut() = status;
    response
}

/// A refusal tells the client when to come back, in seconds.
fn refused(retry_after: Micros) -> Response<Full<Bytes>> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "refused");
    let seconds = format!("{}.{:03}", retry_after / 1_000_000, retry_after / 1_000 % 1_000);
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}
