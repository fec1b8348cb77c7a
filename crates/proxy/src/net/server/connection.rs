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
/// How often a connection that is to go is looked at, if something of a request is on it.
const CLOSE_RECHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How long a client may take over closing a connection that has been closed on this side.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

impl Server {
    pub(super) fn spawn_connection(
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
}
