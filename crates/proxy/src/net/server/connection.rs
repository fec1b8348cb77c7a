//! One connection of a client, from accept to close.

use super::response::set_connection_close;
use super::{Server, ShutdownDeadline};
use crate::log::CLIENTS;
use crate::net::client_connection::{ClientConnection, ObservedStream};
use crate::net::socket::Stream;
use bytes::Bytes;
use http_body_util::Full;
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

/// Most bytes of a request's head.
const MAX_HEAD_LEN: usize = 32 * 1024;
/// How often a connection that is to be closed is checked again, if a request is on it.
const CLOSE_RECHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How long a client may take to close a connection that has been shut down on this side.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

impl Server {
    /// Registers an accepted connection and starts its task.
    pub(super) fn spawn_connection(
        self: &Rc<Self>,
        stream: Rc<dyn Stream>,
        shutdown: watch::Receiver<ShutdownDeadline>,
    ) {
        let clock = self.driver.clock();
        let remaining = self.clients.count() - self.clients.evicting();
        let at_capacity =
            remaining >= self.max_connections && !self.clients.evict_idle(clock.now());
        let descriptor = self.descriptors.acquire().or_else(|| {
            self.pool.evict_idle();
            self.descriptors.acquire()
        });
        let over_capacity = at_capacity || descriptor.is_none();
        let client = self.clients.register(stream, descriptor, clock);
        debug!(target: CLIENTS, seat = client.id(), count = self.clients.count(), crowded = over_capacity, "connected");
        tokio::task::spawn_local(Rc::clone(self).serve_connection(client, shutdown, over_capacity));
    }

    /// Serves a connection until it is closed. Over capacity its one request is rejected.
    async fn serve_connection(
        self: Rc<Self>,
        client: Rc<ClientConnection>,
        shutdown: watch::Receiver<ShutdownDeadline>,
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
                // Data that comes in before the response belongs to no request that a conforming client would send.
                if over_capacity || client.closes_after_response() || client.has_excess_data() {
                    set_connection_close(&mut response);
                }
                client.response_ready();
                Ok::<_, Infallible>(response)
            }
        });
        let connection = http1::Builder::new()
            // The registry looks for overdue requests, for all connections at once.
            .header_read_timeout(None)
            .max_buf_size(MAX_HEAD_LEN)
            .keep_alive(!over_capacity && shutdown.borrow().is_none())
            .serve_connection(TokioIo::new(ObservedStream::new(&client)), service);
        self.drive_connection(connection, &client, shutdown).await;
        // An evicted one only discards what has come in.
        let linger_timeout = if client.is_evicted() {
            Duration::ZERO
        } else {
            LINGER_TIMEOUT
        };
        tokio::select! {
            _ = tokio::time::timeout(linger_timeout, client.linger()) => {}
            () = client.close_requested() => {}
        }
        debug!(target: CLIENTS, seat = client.id(), "left");
        self.clients.unregister(&client);
    }

    /// Drives a connection to its end. It is closed between requests only if no byte of a request has come in, neither
    /// read nor still in the kernel; otherwise its next response closes it.
    async fn drive_connection<S>(
        &self,
        connection: http1::Connection<TokioIo<ObservedStream>, S>,
        client: &ClientConnection,
        mut shutdown: watch::Receiver<ShutdownDeadline>,
    ) where
        S: HttpService<Incoming, ResBody = Full<Bytes>, Error = Infallible>,
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
                // How a client's connection ends does not matter: its calls are dropped with it.
                _ = connection.as_mut() => return,
                () = client.close_requested() => {
                    debug!(target: CLIENTS, seat = client.id(), "is to leave");
                    if !client.is_idle() {
                        self.clients.cancel_eviction(client);
                    }
                    check_at = Some(Instant::now() + CLOSE_RECHECK_INTERVAL);
                }
                // A request that came in just as it was to be closed is answered first.
                () = next_check => {
                    if !client.owes_response() {
                        return;
                    }
                    check_at = Some(Instant::now() + CLOSE_RECHECK_INTERVAL);
                    continue;
                }
                _ = shutdown.changed(), if !shutdown_seen => {
                    shutdown_seen = true;
                    check_at = check_at.or(*shutdown.borrow());
                    // Its client has just connected, and is about to send its first request.
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
