//! The client side: reads requests, hands them to the driver and writes the one final answer.

use super::admission_gate::AdmissionGate;
use super::clients::{ClientConnection, ClientConnections, ObservedStream, REQUEST_TIMEOUT};
use super::driver::{Answer, Driver, Intake};
use super::rules::{Admitted, Rejection, Rules};
use super::socket::{Listener, Stream};
use super::upstream::{self, ConnectionPool};
use super::upstream::{Client, Request, UpstreamResponse};
use super::{Descriptors, MemoryBudget};
use crate::log::CLIENTS;
use badgerramp_decisions::{CallId, Micros};
use bytes::Bytes;
use http_body_util::{BodyExt, Collected, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::{service_fn, HttpService};
use hyper::{Method, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::convert::Infallible;
use std::future::{poll_fn, Future};
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;
use tracing::debug;

/// Most bytes of a request's head.
const MAX_HEAD_LEN: usize = 32 * 1024;
/// At a stop, connections are accepted for at least this long, and until none has come for a while.
const SHUTDOWN_ACCEPT_TIME: Duration = Duration::from_millis(450);
/// ... and without an open call for this long, what is still connected has nothing to come.
const SHUTDOWN_QUIET_TIME: Duration = Duration::from_millis(100);
/// From a stop on, requests that are still coming in are waited for so long: no client counts on an answer to one that
/// comes later (the protocol's figure).
const SHUTDOWN_REQUEST_TIME: Duration = Duration::from_millis(700);
/// How often a connection that is to go is looked at, if something of a request is on it.
const CLOSE_RECHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How long a client may take over closing a connection that has been closed on this side.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause of accepting when the system has no descriptor left, or all places are taken.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Once the program stops: until when requests that are still coming in are waited for.
type ShutdownDeadline = Option<Instant>;

pub struct Server {
    pub driver: Driver,
    pub pool: Rc<ConnectionPool>,
    pub descriptors: Rc<Descriptors>,
    pub clients: ClientConnections,
    /// How requests are read; replaced whole.
    pub rules: RefCell<Rc<Rules>>,
    /// Where the policy is the fleet's: what may begin, and by which rules. They stand in for `rules`.
    pub gate: Option<Rc<AdmissionGate>>,
    /// Answers pass with status and headers, and advice is in whole seconds, as HTTP has them.
    pub plain_http: bool,
    /// Bytes of bodies that may be held.
    pub memory_budget: Rc<MemoryBudget>,
    /// Ids of the requests that are open.
    pub in_flight_ids: RefCell<HashSet<HeaderValue>>,
    /// When to come back, where the module gives no advice; 0: none is given.
    pub default_retry_after: Cell<Micros>,
    /// Connections of clients that are served. They must leave descriptors for the way to the hosts: else a
    /// crowd of clients would be taken and none of them served. The machine lets clients hold a third of the
    /// descriptors at most: with idle ones beyond that, those that ask would find no connection.
    pub max_connections: usize,
    /// Further ones that are taken to be refused and closed.
    pub max_excess_connections: usize,
}

impl Server {
    /// Serves clients until `stop` resolves, then finishes what is taken.
    pub async fn serve(self: Rc<Self>, listener: Rc<dyn Listener>, stop: impl Future<Output = ()>) {
        let (closing, closed) = watch::channel(None);
        let mut stop = pin!(stop);
        let mut end: Option<Instant> = None;
        loop {
            let late = async move {
                match end {
                    Some(end) => tokio::time::sleep_until(end).await,
                    None => std::future::pending().await,
                }
            };
            // With no place left, clients wait in the listener's queue: those refused leave soon, and so does one that is
            // evicted.
            let room = self.clients.count() < self.max_connections + self.max_excess_connections;
            if !room && self.clients.evicting() == 0 {
                self.clients.evict_idle(self.driver.clock().now());
            }
            tokio::select! {
                // A crowd of clients must not keep the stop from being heard, nor a stop clients from being taken.
                biased;
                () = &mut stop, if end.is_none() => {
                    // From now on each answer closes its connection, and idle ones close at once, but for those on
                    // which nothing was asked yet. New ones are still taken: clients move over before the listener goes.
                    let now = Instant::now();
                    end = Some(now + SHUTDOWN_ACCEPT_TIME);
                    let _ = closing.send(Some(now + SHUTDOWN_REQUEST_TIME));
                }
                accepted = poll_fn(|cx| listener.poll_accept(cx)), if room => match accepted {
                    Ok(stream) => self.spawn_connection(stream, closed.clone()),
                    Err(fault) => self.handle_accept_error(&fault).await,
                },
                () = self.clients.connection_closed(), if !room => {}
                () = tokio::time::sleep(ACCEPT_PAUSE), if !room => {}
                () = late => break,
            }
        }
        self.accept_queued(&*listener, &closed).await;
        drop(listener);
        // A connection with half a request on it does not end by itself, and must not hold the stop up until
        // the kill.
        let mut since = Instant::now();
        let heads = closed.borrow().unwrap_or(since);
        while self.clients.count() > 0 && since.elapsed() < SHUTDOWN_QUIET_TIME {
            tokio::time::sleep(SHUTDOWN_QUIET_TIME / 10).await;
            if self.clients.has_pending(Instant::now() < heads) {
                since = Instant::now();
            }
        }
    }

    /// Takes what waits in the listener's queue: the system would reset it as the listener goes. The runtime knows of it
    /// only after its next look at all sockets.
    async fn accept_queued(
        self: &Rc<Self>,
        listener: &dyn Listener,
        closed: &watch::Receiver<ShutdownDeadline>,
    ) {
        tokio::task::yield_now().await;
        while self.clients.count() < self.max_connections + self.max_excess_connections {
            let accepted = poll_fn(|cx| Poll::Ready(listener.poll_accept(cx))).await;
            let Poll::Ready(Ok(stream)) = accepted else {
                return;
            };
            self.spawn_connection(stream, closed.clone());
        }
    }

    /// Running out of descriptors must not end the program: idle connections go first.
    async fn handle_accept_error(&self, fault: &io::Error) {
        tracing::warn!("a client's connection could not be taken: {fault}");
        let aborted = [
            io::ErrorKind::ConnectionAborted,
            io::ErrorKind::ConnectionReset,
        ];
        if aborted.contains(&fault.kind()) || self.pool.evict_idle() {
            return;
        }
        if self.clients.evicting() == 0 {
            self.clients.evict_idle(self.driver.clock().now());
        }
        // It has its descriptor until its task has ended it; to ask at once would have all others evicted as well.
        let _ = tokio::time::timeout(ACCEPT_PAUSE, self.clients.connection_closed()).await;
    }

    fn spawn_connection(
        self: &Rc<Self>,
        stream: Rc<dyn Stream>,
        closing: watch::Receiver<ShutdownDeadline>,
    ) {
        let clock = self.driver.clock();
        let staying = self.clients.count() - self.clients.evicting();
        let full = staying >= self.max_connections && !self.clients.evict_idle(clock.now());
        let descriptor = self.descriptors.acquire().or_else(|| {
            self.pool.evict_idle();
            self.descriptors.acquire()
        });
        let over_capacity = full || descriptor.is_none();
        let client = self.clients.register(stream, descriptor, clock);
        debug!(target: CLIENTS, seat = client.id(), count = self.clients.count(), crowded = over_capacity, "connected");
        tokio::task::spawn_local(Rc::clone(self).serve_connection(client, closing, over_capacity));
    }

    async fn serve_connection(
        self: Rc<Self>,
        client: Rc<ClientConnection>,
        closing: watch::Receiver<ShutdownDeadline>,
        over_capacity: bool,
    ) {
        let service = service_fn(|request| {
            let (server, client) = (Rc::clone(&self), Rc::clone(&client));
            async move {
                let since = client.start_request();
                let id = request
                    .headers()
                    .get("x-request-id")
                    .and_then(|v| v.to_str().ok())
                    .unwrap_or_default();
                debug!(target: CLIENTS, seat = client.id(), request = id, crowded = over_capacity, since, "asked");
                let mut response = if over_capacity {
                    server.shed(0)
                } else {
                    server.handle_request(request, &client, since).await
                };
                debug!(target: CLIENTS, seat = client.id(), status = response.status().as_u16(), "answered");
                // What came before the answer belongs to no request that a client of ours would send.
                if over_capacity || client.closes_after_response() || client.has_excess_data() {
                    set_connection_close(&mut response);
                }
                client.response_ready();
                Ok::<_, Infallible>(response)
            }
        });
        let connection = http1::Builder::new()
            // Overdue heads are looked for here, for all connections at once.
            .header_read_timeout(None)
            .max_buf_size(MAX_HEAD_LEN)
            .keep_alive(!over_capacity && closing.borrow().is_none())
            .serve_connection(TokioIo::new(ObservedStream::new(&client)), service);
        self.drive_connection(connection, &client, closing).await;
        // One that must go at once only drops what has come.
        let most = if client.is_evicted() {
            Duration::ZERO
        } else {
            LINGER_TIMEOUT
        };
        tokio::select! {
            _ = tokio::time::timeout(most, client.linger()) => {}
            () = client.close_requested() => {}
        }
        debug!(target: CLIENTS, seat = client.id(), "left");
        self.clients.unregister(&client);
    }

    /// Drives a connection to its end. It is closed between requests only if nothing of a request is on it, neither read
    /// nor still with the system; else its next answer is its last.
    async fn drive_connection<S>(
        &self,
        connection: http1::Connection<TokioIo<ObservedStream>, S>,
        client: &ClientConnection,
        mut closing: watch::Receiver<ShutdownDeadline>,
    ) where
        S: HttpService<Incoming, ResBody = Full<Bytes>, Error = Infallible>,
    {
        let mut connection = pin!(connection);
        let mut look = *closing.borrow();
        let mut told = look.is_some();
        loop {
            let late = async {
                match look {
                    Some(look) => tokio::time::sleep_until(look).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                // How a client's connection ends concerns nobody: its calls are dropped with it.
                _ = connection.as_mut() => return,
                () = client.close_requested() => {
                    debug!(target: CLIENTS, seat = client.id(), "is to leave");
                    if !client.is_idle() {
                        self.clients.cancel_eviction(client);
                    }
                    look = Some(Instant::now() + CLOSE_RECHECK_INTERVAL);
                }
                // What came in the moment in which it was to leave is answered first.
                () = late => {
                    if !client.owes_response() {
                        return;
                    }
                    look = Some(Instant::now() + CLOSE_RECHECK_INTERVAL);
                    continue;
                }
                _ = closing.changed(), if !told => {
                    told = true;
                    look = look.or(*closing.borrow());
                    // Its client has just connected, and is about to ask.
                    if client.awaits_first_request() {
                        client.set_close_after_response();
                        continue;
                    }
                }
            }
            client.set_close_after_response();
            if client.is_idle() {
                connection.as_mut().graceful_shutdown();
            }
        }
    }

    async fn handle_request(
        &self,
        request: hyper::Request<Incoming>,
        client: &Rc<ClientConnection>,
        since: Micros,
    ) -> Response<Full<Bytes>> {
        let clock = self.driver.clock();
        let (mut parts, body) = request.into_parts();
        if parts.uri.path() == "/_health" && matches!(parts.method, Method::GET | Method::HEAD) {
            return self.health();
        }
        let (rules, stamp) = match &self.gate {
            None => (Rc::clone(&self.rules.borrow()), None),
            Some(gate) => match gate.admit() {
                Ok((rules, stamp)) => {
                    // Without a body nothing can change before the call begins.
                    let plain = (!body.is_end_stream()).then(|| parts.clone());
                    (rules, Some((gate, stamp, plain)))
                }
                Err(_) => return self.shed(0),
            },
        };
        let Admitted {
            mut class,
            mut tenant,
            id,
            mut time,
            length,
            max_body_len,
            mut terms,
            mut options,
        } = match rules.admit(&mut parts, client.peer()) {
            Ok(admitted) => admitted,
            Err(rejection) => return self.rejection(rejection),
        };
        let _in_flight = match id.map(|id| InFlightGuard::enter(&self.in_flight_ids, id)) {
            Some(None) => {
                return bad_request(
                    StatusCode::CONFLICT,
                    "a request with this X-Request-ID is open",
                )
            }
            entered => entered,
        };
        let Some(_reservation) = self.memory_budget.reserve(length.unwrap_or(max_body_len)) else {
            return self.shed(0);
        };
        let late = clock.instant(since.saturating_add(REQUEST_TIMEOUT));
        let body = if body.is_end_stream() {
            Ok(Ok(Bytes::new()))
        } else {
            let body = Box::pin(Limited::new(body, max_body_len).collect());
            tokio::time::timeout_at(late, body)
                .await
                .map(|read| read.map(Collected::to_bytes))
        };
        let body = match body {
            Ok(Ok(body)) => body,
            Ok(Err(fault)) if fault.is::<LengthLimitError>() => {
                return bad_request(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large");
            }
            Ok(Err(_)) => return bad_request(StatusCode::BAD_REQUEST, "broken body"),
            Err(_) => {
                return bad_request(StatusCode::REQUEST_TIMEOUT, "the body did not come in time")
            }
        };
        if let Some(length) = length.filter(|_| !self.plain_http) {
            // Plain HTTP lets a client send its next request ahead.
            client.body_complete(length);
            if client.has_excess_data() {
                return bad_request(StatusCode::BAD_REQUEST, "more bytes than the request has");
            }
        }
        let resent = parts
            .headers
            .get("x-retried")
            .is_some_and(|v| v.as_bytes() == b"1");
        // Read before the lease is looked at: a process that is stopped in between finds its call's time over.
        let mut now = clock.now();
        if let Some((gate, mut stamp, plain)) = stamp {
            while !gate.confirm(stamp, &parts.headers) {
                // The body took its time, and something else holds by now.
                let (Ok((rules, newer)), Some(plain)) = (gate.admit(), &plain) else {
                    return self.shed(0);
                };
                parts = plain.clone();
                let admitted = match rules.admit(&mut parts, client.peer()) {
                    Ok(admitted) if admitted.max_body_len < body.len() => {
                        return bad_request(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large");
                    }
                    Ok(admitted) => admitted,
                    Err(rejection) => return self.rejection(rejection),
                };
                (class, tenant, time) = (admitted.class, admitted.tenant, admitted.time);
                (terms, options, stamp) = (admitted.terms, admitted.options, newer);
                now = clock.now();
            }
        }
        let client: Rc<dyn Client> = Rc::<ClientConnection>::clone(client);
        let intake = Intake {
            client,
            class,
            tenant,
            deadline: now + time,
            resent,
            terms,
        };
        let (method, uri, mut headers) = (parts.method, parts.uri, parts.headers);
        if !self.plain_http {
            // Plain HTTP has had it done where its routes were looked up.
            upstream::strip_hop_by_hop(&mut headers);
        }
        let request = Request {
            method,
            uri,
            headers,
            body,
            options,
        };
        let Some((call, answer)) = self.driver.start_call(intake, request) else {
            return self.shed(0);
        };
        let _disconnect_guard = DisconnectGuard {
            driver: &self.driver,
            call,
        };
        match answer.await {
            Ok(Answer::Served(response)) => self.forward(response),
            Ok(Answer::Refused { retry_after }) => self.shed(retry_after),
            // To a client these two mean that trying again is harmless, which no failure promises.
            Ok(Answer::Failed(Some(response)))
                if ![429, 503].contains(&response.status.as_u16()) =>
            {
                self.forward(response)
            }
            Ok(Answer::Failed(_)) => plain_response(StatusCode::BAD_GATEWAY, "failed"),
            Ok(Answer::Overdue) | Err(_) => {
                plain_response(StatusCode::GATEWAY_TIMEOUT, "no answer in time")
            }
        }
    }

    /// What a host answered, in the client's framing.
    fn forward(&self, upstream: UpstreamResponse) -> Response<Full<Bytes>> {
        let UpstreamResponse {
            status,
            mut headers,
            body,
        } = upstream;
        let mut response = Response::new(Full::new(body));
        if !self.plain_http {
            if let Some(content_type) = headers.remove(header::CONTENT_TYPE) {
                response
                    .headers_mut()
                    .insert(header::CONTENT_TYPE, content_type);
            }
            return response;
        }
        // An answer to HEAD tells the length that a GET would have; the library drops it where nothing may tell one.
        let length = headers.remove(header::CONTENT_LENGTH);
        upstream::strip_hop_by_hop_and_listed(&mut headers);
        if let Some(length) = length.filter(|_| response.body().is_end_stream()) {
            headers.insert(header::CONTENT_LENGTH, length);
        }
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        response
    }

    /// Whether calls are taken, and under which policy.
    fn health(&self) -> Response<Full<Bytes>> {
        let health = match &self.gate {
            None => return plain_response(StatusCode::OK, "ok"),
            Some(gate) => gate.health(),
        };
        let (status, text) = match health {
            Ok(text) => (StatusCode::OK, text),
            Err(text) => (StatusCode::SERVICE_UNAVAILABLE, text),
        };
        let mut response = Response::new(Full::from(text));
        *response.status_mut() = status;
        response
    }

    fn rejection(&self, rejection: Rejection) -> Response<Full<Bytes>> {
        if rejection.retryable {
            debug!(target: CLIENTS, why = &*rejection.text, "turned away for now");
            return self.shed(0);
        }
        let mut response = Response::new(Full::from(rejection.text));
        *response.status_mut() = rejection.status;
        if rejection.close {
            set_connection_close(&mut response);
        }
        response
    }

    /// A refusal tells the client when to come back, in seconds.
    fn shed(&self, retry_after: Micros) -> Response<Full<Bytes>> {
        let mut response = plain_response(StatusCode::SERVICE_UNAVAILABLE, "refused");
        let wait = if retry_after == 0 {
            self.default_retry_after.get()
        } else {
            retry_after
        };
        if wait == 0 {
            // The operator wants none.
            return response;
        }
        let seconds = if self.plain_http {
            wait.div_ceil(1_000_000).to_string()
        } else {
            format!("{}.{:03}", wait / 1_000_000, wait / 1_000 % 1_000)
        };
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
        response
    }
}

/// The id of a request while it is open.
struct InFlightGuard<'a> {
    all: &'a RefCell<HashSet<HeaderValue>>,
    id: HeaderValue,
}

impl<'a> InFlightGuard<'a> {
    /// None: it is open already.
    fn enter(all: &'a RefCell<HashSet<HeaderValue>>, id: HeaderValue) -> Option<Self> {
        let new = all.borrow_mut().insert(id.clone());
        // Not made in vain: its drop would free the id of the first.
        new.then(|| InFlightGuard { all, id })
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.all.borrow_mut().remove(&self.id);
    }
}

/// Tells the driver when the client goes before its answer: hyper drops the request's future then.
struct DisconnectGuard<'a> {
    driver: &'a Driver,
    call: CallId,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        self.driver.client_disconnected(self.call);
    }
}

fn plain_response(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(text));
    *response.status_mut() = status;
    response
}

/// What can't be used is turned away, and its connection closed: what follows on it may not be what it seems.
fn bad_request(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = plain_response(status, text);
    set_connection_close(&mut response);
    response
}

fn set_connection_close(response: &mut Response<Full<Bytes>>) {
    response
        .headers_mut()
        .insert(header::CONNECTION, HeaderValue::from_static("close"));
}
