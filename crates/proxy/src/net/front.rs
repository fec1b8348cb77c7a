//! The client side: reads requests, hands them to the driver and writes the one final answer.

use super::clients::{Clients, Noted, Seat, UNASKED};
use super::driver::{Answer, Driver, Intake};
use super::exchange::Request;
use super::hosts::{Hosts, BODY_MOST};
use super::{Descriptors, Room};
use badgerramp_decisions::{CallId, ClassId, Micros};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::collections::HashSet;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::Instant;

/// Taken off the client's time, so that the final answer reaches it before that is up.
const MARGIN: Micros = 2_000;
/// Longest time of a client that is believed.
const TIME_MOST: Micros = 600_000_000;
/// Most bytes of a request's head.
const HEAD_MOST: usize = 32 * 1024;
/// At a stop, connections are accepted for at least this long, and until none has come for a while.
const STOP_ACCEPT: Duration = Duration::from_millis(450);
/// ... and without an open call for this long, what is still connected has nothing to come.
const QUIET: Duration = Duration::from_millis(100);
/// How long a connection that is to go may take over what it still has to write.
const LEAVE: Duration = Duration::from_millis(100);
/// Pause of accepting when the system has no descriptor left, or all places are taken.
const SHORT_PAUSE: Duration = Duration::from_millis(10);

/// A class as the settings name it, and the method its requests bear.
#[derive(Debug)]
pub struct Class {
    pub name: String,
    pub method: Method,
}

pub struct Front {
    pub driver: Driver,
    pub hosts: Rc<Hosts>,
    pub descriptors: Rc<Descriptors>,
    pub clients: Clients,
    /// In the order of their numbers.
    pub classes: Vec<Class>,
    /// Bytes of bodies that may be held.
    pub room: Rc<Room>,
    /// Ids of the requests that are open.
    pub open: RefCell<HashSet<HeaderValue>>,
    /// When to come back, where the module gives no advice.
    pub advice: Micros,
    /// Connections of clients that are served. They must leave descriptors for the way to the hosts: else a
    /// crowd of clients would be taken and none of them served. The machine lets clients hold a third of the
    /// descriptors at most: with idle ones beyond that, those that ask would find no connection.
    pub most: usize,
    /// Further ones that are taken to be refused and closed.
    pub beyond: usize,
}

impl Front {
    /// Serves clients until `stop` resolves, then finishes what is taken.
    pub async fn serve(self: Rc<Self>, listener: TcpListener, stop: impl Future<Output = ()>) {
        let (closing, closed) = watch::channel(false);
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
            let places = self.most + self.beyond;
            let room = self.clients.count() < places || self.clients.evict(self.driver.clock().now());
            tokio::select! {
                // A crowd of clients must not keep the stop from being heard, nor a stop clients from being taken.
                biased;
                () = &mut stop, if end.is_none() => {
                    // From now on each answer closes its connection, and idle ones close at once, while new
                    // ones are still taken: clients move over before the listener goes.
                    end = Some(Instant::now() + STOP_ACCEPT);
                    let _ = closing.send(true);
                }
                accepted = listener.accept(), if room => match accepted {
                    Ok((stream, _)) => self.accepted(stream, closed.clone()),
                    Err(fault) => self.short_of_sockets(&fault).await,
                },
                () = self.clients.left(), if !room => {}
                () = tokio::time::sleep(SHORT_PAUSE), if !room => {}
                () = late => break,
            }
        }
        drop(listener);
        // A connection with half a request on it does not end by itself, and must not hold the stop up until
        // the kill.
        let mut since = Instant::now();
        while self.clients.count() > 0 && since.elapsed() < QUIET {
            tokio::time::sleep(QUIET / 10).await;
            if self.driver.open_calls() > 0 {
                since = Instant::now();
            }
        }
    }

    /// Running out of descriptors must not end the program: idle connections go first.
    async fn short_of_sockets(&self, fault: &io::Error) {
        let aborted = [io::ErrorKind::ConnectionAborted, io::ErrorKind::ConnectionReset];
        let evicts = || self.hosts.evict() || self.clients.evict(self.driver.clock().now());
        if !aborted.contains(&fault.kind()) && !evicts() {
            tokio::time::sleep(SHORT_PAUSE).await;
        }
    }

    fn accepted(self: &Rc<Self>, stream: TcpStream, closing: watch::Receiver<bool>) {
        let clock = self.driver.clock();
        let full = self.clients.count() >= self.most && !self.clients.evict(clock.now());
        let descriptor = self.descriptors.take().or_else(|| {
            self.hosts.evict();
            self.descriptors.take()
        });
        let crowded = full || descriptor.is_none();
        let _ = stream.set_nodelay(true);
        let seat = self.clients.enter(stream, descriptor, clock);
        tokio::task::spawn_local(Rc::clone(self).connection(seat, closing, crowded));
    }

    async fn connection(self: Rc<Self>, seat: Rc<Seat>, mut closing: watch::Receiver<bool>, crowded: bool) {
        let service = service_fn(|request| {
            let (front, seat) = (Rc::clone(&self), Rc::clone(&seat));
            async move {
                let since = seat.opened();
                let mut response =
                    if crowded { front.refused(0) } else { front.request(request, &seat, since).await };
                // What came before the answer belongs to no request that a client of ours would send.
                if crowded || seat.surplus() {
                    close(&mut response);
                }
                seat.answered();
                Ok::<_, Infallible>(response)
            }
        });
        let connection = http1::Builder::new()
            // Overdue heads are looked for here, for all connections at once.
            .header_read_timeout(None)
            .max_buf_size(HEAD_MOST)
            .keep_alive(!crowded && !*closing.borrow())
            .serve_connection(TokioIo::new(Noted::new(&seat)), service);
        let mut connection = pin!(connection);
        let mut told = *closing.borrow();
        loop {
            tokio::select! {
                // How a client's connection ends concerns nobody: its calls are dropped with it.
                _ = connection.as_mut() => break,
                () = seat.leaves() => {
                    // The last answer may still be on its way out.
                    connection.as_mut().graceful_shutdown();
                    let _ = tokio::time::timeout(LEAVE, connection.as_mut()).await;
                    break;
                }
                _ = closing.changed(), if !told => {
                    told = true;
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
        self.clients.leave(&seat);
    }

    async fn request(
        &self,
        request: hyper::Request<Incoming>,
        seat: &Seat,
        since: Micros,
    ) -> Response<Full<Bytes>> {
        let clock = self.driver.clock();
        let (parts, body) = request.into_parts();
        if parts.uri.path() == "/_health" && matches!(parts.method, Method::GET | Method::HEAD) {
            return plain(StatusCode::OK, "ok");
        }
        let Form { class, id, time, length } = match self.form(&parts) {
            Ok(form) => form,
            Err((status, text)) => return bad(status, text),
        };
        let Some(_open) = Open::enter(&self.open, id) else {
            return bad(StatusCode::CONFLICT, "a request with this X-Request-ID is open");
        };
        let Some(_held) = self.room.take(length) else { return self.refused(0) };
        let body = Limited::new(body, BODY_MOST).collect();
        let late = clock.instant(since.saturating_add(UNASKED));
        let body = match tokio::time::timeout_at(late, body).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(fault)) if fault.is::<LengthLimitError>() => {
                return bad(StatusCode::PAYLOAD_TOO_LARGE, "body over 64 KiB");
            }
            Ok(Err(_)) => return bad(StatusCode::BAD_REQUEST, "broken body"),
            Err(_) => return bad(StatusCode::REQUEST_TIMEOUT, "the body did not come in time"),
        };
        seat.whole(length);
        if seat.surplus() {
            return bad(StatusCode::BAD_REQUEST, "more bytes than the request has");
        }
        let intake = Intake {
            class,
            tenant: text(&parts.headers, "x-tenant-id"),
            deadline: clock.now() + time.saturating_sub(MARGIN).max(1),
            terms: badgerramp_decisions::Terms::default(),
            resent: { parts.headers.get("x-retried").is_some_and(|v| v.as_bytes() == b"1") },
        };
        let (method, uri, headers) = (parts.method, parts.uri, parts.headers);
        let Some((call, answer)) = self.driver.request(intake, Request { method, uri, headers, body }) else {
            return self.refused(0);
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
            Ok(Answer::Refused { retry_after }) => self.refused(retry_after),
            Ok(Answer::Failed) => plain(StatusCode::BAD_GATEWAY, "failed"),
            Ok(Answer::Overdue) | Err(_) => plain(StatusCode::GATEWAY_TIMEOUT, "no answer in time"),
        }
    }

    /// Has the head of a request the form that clients of ours give it? What has not never reaches a host.
    fn form(&self, parts: &hyper::http::request::Parts) -> Result<Form, (StatusCode, &'static str)> {
        let Some(path) = parts.uri.path().strip_prefix('/').filter(|_| parts.uri.authority().is_none())
        else {
            return Err((StatusCode::BAD_REQUEST, "odd path"));
        };
        let name = path.split('/').next().unwrap_or_default();
        let Some(number) = self.classes.iter().position(|c| c.name == name) else {
            return Err((StatusCode::NOT_FOUND, "no such class"));
        };
        if self.classes[number].method != parts.method {
            return Err((StatusCode::METHOD_NOT_ALLOWED, "not the method of this class"));
        }
        let headers = &parts.headers;
        let time = match single(headers, "x-timeout").map(|v| v.to_str().ok().and_then(timeout)) {
            Some(Some(time)) => time,
            _ => return Err((StatusCode::BAD_REQUEST, "X-Timeout missing or odd")),
        };
        let id = match single(headers, "x-request-id") {
            Some(id) if !id.is_empty() => id.clone(),
            _ => return Err((StatusCode::BAD_REQUEST, "X-Request-ID missing or odd")),
        };
        // The library drops the length of a request that bears a transfer coding too, so that the two can't be
        // compared here: a request tells its length, and nothing else of its framing.
        if headers.contains_key(header::TRANSFER_ENCODING) {
            return Err((StatusCode::LENGTH_REQUIRED, "no transfer coding"));
        }
        let length =
            single(headers, header::CONTENT_LENGTH.as_str()).and_then(|v| v.to_str().ok()?.parse().ok());
        let length = match length {
            Some(length) => length,
            None if parts.method == Method::GET => 0,
            None => return Err((StatusCode::LENGTH_REQUIRED, "a length is wanted")),
        };
        if parts.method == Method::GET && length > 0 {
            return Err((StatusCode::BAD_REQUEST, "no body with this method"));
        }
        if length > BODY_MOST {
            return Err((StatusCode::PAYLOAD_TOO_LARGE, "body over 64 KiB"));
        }
        Ok(Form { class: ClassId(number), id, time, length })
    }

    /// A refusal tells the client when to come back, in seconds.
    fn refused(&self, retry_after: Micros) -> Response<Full<Bytes>> {
        let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "refused");
        let wait = if retry_after == 0 { self.advice } else { retry_after };
        let seconds = format!("{}.{:03}", wait / 1_000_000, wait / 1_000 % 1_000);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
        response
    }
}

/// What the head of a request says.
struct Form {
    class: ClassId,
    id: HeaderValue,
    time: Micros,
    length: usize,
}

/// The only value of a header.
fn single<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a HeaderValue> {
    let mut all = headers.get_all(name).iter();
    all.next().filter(|_| all.next().is_none())
}

/// The id of a request while it is open.
struct Open<'a> {
    all: &'a RefCell<HashSet<HeaderValue>>,
    id: HeaderValue,
}

impl<'a> Open<'a> {
    /// None: it is open already.
    fn enter(all: &'a RefCell<HashSet<HeaderValue>>, id: HeaderValue) -> Option<Self> {
        let new = all.borrow_mut().insert(id.clone());
        // Not made in vain: its drop would free the id of the first.
        new.then(|| Open { all, id })
    }
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        self.all.borrow_mut().remove(&self.id);
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

/// What can't be used is turned away, and its connection closed: what follows on it may not be what it seems.
fn bad(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = plain(status, text);
    close(&mut response);
    response
}

fn close(response: &mut Response<Full<Bytes>>) {
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
}
