//! The accept loop and the graceful shutdown.

use super::{Server, ShutdownDeadline};
use crate::net::socket::Listener;
use std::future::{poll_fn, Future};
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// How long connections are accepted after the start of a shutdown, before the listener's queue is emptied.
const SHUTDOWN_ACCEPT_TIME: Duration = Duration::from_millis(450);
/// A shutdown ends once no request has been in flight for this long: clients that are still connected have nothing to
/// send.
const SHUTDOWN_QUIET_TIME: Duration = Duration::from_millis(100);
/// How long the server waits, from the start of a shutdown, for requests that are still being received. No client
/// relies on a response to a later request. Set by the protocol of the platform.
const SHUTDOWN_REQUEST_TIME: Duration = Duration::from_millis(700);
/// How long accepting is paused at capacity, or if the system has no descriptor left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

impl Server {
    /// Serves clients until `stop` resolves, then shuts down gracefully: finishes the requests in flight.
    pub async fn serve(self: Rc<Self>, listener: Rc<dyn Listener>, stop: impl Future<Output = ()>) {
        let (shutdown_sender, shutdown) = watch::channel(None);
        let mut stop = pin!(stop);
        let mut accept_until: Option<Instant> = None;
        loop {
            let accept_end = async move {
                match accept_until {
                    Some(accept_until) => tokio::time::sleep_until(accept_until).await,
                    None => std::future::pending().await,
                }
            };
            // At capacity, clients wait in the listener's queue. A place becomes free soon, as rejected and evicted
            // connections are closed.
            let has_capacity = self.clients.count() < self.max_connections;
            if !has_capacity && self.clients.evicting() == 0 {
                self.clients.evict_idle(self.driver.clock().now());
            }
            tokio::select! {
                // The stop signal comes first, so that many new clients can't delay it. It is polled only until it has
                // resolved, so that it does not keep clients from being accepted.
                biased;
                () = &mut stop, if accept_until.is_none() => {
                    // From now on each response closes its connection, and idle connections are closed at once, except
                    // those that await their first request. New connections are still accepted, so that clients can
                    // move to another proxy before the listener is closed.
                    let now = Instant::now();
                    accept_until = Some(now + SHUTDOWN_ACCEPT_TIME);
                    let _ = shutdown_sender.send(Some(now + SHUTDOWN_REQUEST_TIME));
                }
                accepted = poll_fn(|cx| listener.poll_accept(cx)), if has_capacity => match accepted {
                    Ok(stream) => self.spawn_connection(stream, shutdown.clone()),
                    Err(error) => self.handle_accept_error(&error).await,
                },
                () = self.clients.connection_closed(), if !has_capacity => {}
                () = tokio::time::sleep(ACCEPT_PAUSE), if !has_capacity => {}
                () = accept_end => break,
            }
        }
        self.accept_queued(&*listener, &shutdown).await;
        drop(listener);
        // A connection with an incomplete request may stay open indefinitely, and must not delay the shutdown until the
        // process is killed.
        let mut busy_at = Instant::now();
        let requests_until = shutdown.borrow().unwrap_or(busy_at);
        while self.clients.count() > 0 && busy_at.elapsed() < SHUTDOWN_QUIET_TIME {
            tokio::time::sleep(SHUTDOWN_QUIET_TIME / 10).await;
            if self.clients.has_pending(Instant::now() < requests_until) {
                busy_at = Instant::now();
            }
        }
    }

    /// Accepts the connections in the listener's queue, which the system would reset when the listener is closed.
    /// Yields first, as the runtime learns of new connections only when it polls all sockets.
    async fn accept_queued(
        self: &Rc<Self>,
        listener: &dyn Listener,
        shutdown: &watch::Receiver<ShutdownDeadline>,
    ) {
        tokio::task::yield_now().await;
        while self.clients.count() < self.max_connections {
            let accepted = poll_fn(|cx| Poll::Ready(listener.poll_accept(cx))).await;
            let Poll::Ready(Ok(stream)) = accepted else {
                return;
            };
            self.spawn_connection(stream, shutdown.clone());
        }
    }

    /// Closes an idle connection and pauses if the system has no descriptor left. This must not end the program.
    async fn handle_accept_error(&self, error: &io::Error) {
        tracing::warn!(%error, "accept failed");
        let client_errors = [
            io::ErrorKind::ConnectionAborted,
            io::ErrorKind::ConnectionReset,
        ];
        if client_errors.contains(&error.kind()) || self.pool.evict_idle() {
            return;
        }
        if self.clients.evicting() == 0 {
            self.clients.evict_idle(self.driver.clock().now());
        }
        // An evicted connection keeps its descriptor until its task has closed it. Accepting again at once would evict
        // all others as well.
        let _ = tokio::time::timeout(ACCEPT_PAUSE, self.clients.connection_closed()).await;
    }
}
