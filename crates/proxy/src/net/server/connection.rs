//! One connection of a client, from accept to close.

use super::request_error::RequestError;
use super::response::{encode_final, set_connection_close, ResponseBody};
use super::{Server, ShutdownDeadline};
use crate::log::CLIENTS;
use crate::net::client_connection::{ClientConnection, ObservedStream};
use crate::net::memory_budget::CLIENT_CONNECTION_COST;
use crate::net::socket::Stream;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::{service_fn, HttpService};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;
use tracing::debug;

/// The maximum length of a request head, in bytes.
const MAX_HEAD_LEN: usize = 32 * 1024;
/// How often a connection that is to be closed is checked again while it has a request in flight.
const CLOSE_RECHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The same interval once the answers to late requests of a shutdown are due.
const LAST_RECHECK_INTERVAL: Duration = Duration::from_millis(10);
/// How long a client may take to close a connection after the proxy has shut down its side.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionEnd {
    /// Between requests, after its last response, or with an error.
    Done,
    /// With a request that has been received in part. The request is still to be rejected.
    IncompleteRequest,
}

impl Server {
    /// Registers an accepted connection and starts its task.
    pub(super) fn spawn_connection(
        self: &Rc<Self>,
        stream: Rc<dyn Stream>,
        shutdown: watch::Receiver<ShutdownDeadline>,
    ) {
        let clock = self.driver.clock();
        if self.clients.count() - self.clients.evicting() >= self.max_kept_connections {
            self.clients.evict_idle(clock.now());
        }
        let descriptor = self.descriptors.acquire().or_else(|| {
            self.pool.evict_idle();
            self.descriptors.acquire()
        });
        let over_capacity = descriptor.is_none();
        let memory = self.memory_budget.charge(CLIENT_CONNECTION_COST);
        let client = self.clients.register(stream, (descriptor, memory), clock);
        debug!(target: CLIENTS, connection = client.id(), open = self.clients.count(), over_capacity, "client connected");
        tokio::task::spawn_local(Rc::clone(self).serve_connection(client, shutdown, over_capacity));
    }

    /// Serves a connection until it is closed. If there is no descriptor for it, its first request is rejected and it is
    /// closed.
    async fn serve_connection(
        self: Rc<Self>,
        client: Rc<ClientConnection>,
        shutdown: watch::Receiver<ShutdownDeadline>,
        over_capacity: bool,
    ) {
        let service = service_fn(|request| {
            let (server, client) = (Rc::clone(&self), Rc::clone(&client));
            async move {
                let received_at = client.start_request();
                let request_id = request
                    .headers()
                    .get("x-request-id")
                    .and_then(|v| v.to_str().ok())
                    .unwrap_or_default();
                debug!(target: CLIENTS, connection = client.id(), request = request_id, over_capacity, since = received_at, "request received");
                let mut response = if over_capacity {
                    server.shed(0)
                } else {
                    server.handle_request(request, &client, received_at).await
                };
                debug!(target: CLIENTS, connection = client.id(), status = response.status().as_u16(), "response ready");
                // Excess data before the response is not a request that a conforming client would send.
                if over_capacity || client.closes_after_response() || client.has_excess_data() {
                    set_connection_close(&mut response);
                }
                client.response_ready();
                Ok::<_, Infallible>(response)
            }
        });
        let connection = http1::Builder::new()
            // The registry enforces the timeouts of all connections.
            .header_read_timeout(None)
            .max_buf_size(MAX_HEAD_LEN)
            .keep_alive(!over_capacity && shutdown.borrow().is_none())
            .serve_connection(TokioIo::new(ObservedStream::new(&client)), service);
        if self.drive_connection(connection, &client, shutdown).await
            == ConnectionEnd::IncompleteRequest
        {
            self.reject_incomplete(&client).await;
        }
        // An evicted connection does not wait for its client: its descriptor is needed.
        let linger_end = async {
            if !client.is_evicted() {
                tokio::time::sleep(LINGER_TIMEOUT).await;
            }
        };
        tokio::select! {
            biased;
            () = client.linger() => {}
            () = linger_end => {}
            () = client.close_requested() => {}
        }
        debug!(target: CLIENTS, connection = client.id(), "connection closed");
        self.clients.unregister(&client);
    }

    /// When a connection that is to be closed is checked again: after an interval, and when the answers to late requests of
    /// a shutdown are due.
    fn next_close_check(&self) -> Instant {
        let now = Instant::now();
        let shutdown = self.driver.shutdown();
        let due = shutdown
            .map(|schedule| self.driver.clock().instant(schedule.late_answers_due()))
            .filter(|&due| due > now);
        let interval = if self.late_answers_are_due() {
            LAST_RECHECK_INTERVAL
        } else {
            CLOSE_RECHECK_INTERVAL
        };
        due.into_iter().fold(now + interval, Instant::min)
    }

    /// Responds to a request whose head has been received in part, before its connection is closed.
    async fn reject_incomplete(&self, client: &ClientConnection) {
        let error = if client.is_rejected() || self.late_answers_are_due() {
            RequestError::Shed
        } else {
            RequestError::HeadTimeout
        };
        debug!(target: CLIENTS, connection = client.id(), %error, "incomplete request rejected");
        let response = encode_final(self.error_response(error)).await;
        client.write_without_waiting(&response).await;
    }

    /// Drives a connection to its end. If it is to be closed, this happens between requests only if no byte of a
    /// request has arrived, including bytes that have not been read from the socket; otherwise its next response closes
    /// it.
    async fn drive_connection<S>(
        &self,
        connection: http1::Connection<TokioIo<ObservedStream>, S>,
        client: &ClientConnection,
        mut shutdown: watch::Receiver<ShutdownDeadline>,
    ) -> ConnectionEnd
    where
        S: HttpService<Incoming, ResBody = ResponseBody, Error = Infallible>,
    {
        let mut connection = pin!(connection);
        let mut check_at = *shutdown.borrow();
        let mut shutdown_seen = check_at.is_some();
        loop {
            let next_check = async {
                match check_at {
                    Some(check_at) => tokio::time::sleep_until(check_at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                // Errors of the connection need no handling: its request is dropped together with it.
                _ = connection.as_mut() => return ConnectionEnd::Done,
                () = client.close_requested() => {
                    debug!(target: CLIENTS, connection = client.id(), "close requested");
                    if client.is_rejected() && client.has_incomplete_head() {
                        return ConnectionEnd::IncompleteRequest;
                    }
                    if client.is_evicted() && client.has_overdue_response() {
                        return ConnectionEnd::Done;
                    }
                    if client.is_rejected() && client.is_reading_body() {
                        client.reject_body();
                    } else if !client.is_idle() {
                        self.clients.cancel_eviction(client);
                    }
                    check_at = Some(self.next_close_check());
                }
                // A request that arrived just before the connection was to be closed is answered first.
                () = next_check => {
                    let is_last_moment = self.late_answers_are_due();
                    if is_last_moment && client.is_reading_body() {
                        client.reject_body();
                    }
                    // A client that does not take the rejection of its request is not waited for.
                    let is_done = client.is_rejected() || !client.owes_response();
                    if client.has_incomplete_head() && (is_done || is_last_moment) {
                        return ConnectionEnd::IncompleteRequest;
                    }
                    if is_done {
                        return ConnectionEnd::Done;
                    }
                    check_at = Some(self.next_close_check());
                    continue;
                }
                _ = shutdown.changed(), if !shutdown_seen => {
                    shutdown_seen = true;
                    check_at = check_at.or(*shutdown.borrow());
                    // The client has just connected and is about to send its first request.
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
}
