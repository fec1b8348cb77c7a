//! The accept loop and the graceful shutdown.

use super::{Server, ShutdownDeadline};
use crate::net::client_connection::INCOMPLETE_REQUEST_GRACE;
use crate::net::socket::{Listener, Stream};
use badgerramp_decisions::Micros;
use std::cell::Cell;
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
/// How long accepting is paused at capacity, or if the system has no descriptor left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// The length of the listener's queue: connections that wait to be accepted.
pub const LISTEN_BACKLOG: u32 = 1_024;
/// The grace of clients that have not completed a request, in microseconds, once others have been waiting in the
/// listener's queue for [`INCOMPLETE_REQUEST_GRACE`]: those that are accepted then could send while they waited.
const CROWDED_REQUEST_GRACE: Micros = 10_000;

impl Server {
    /// Serves clients until `stop` resolves, then shuts down gracefully: finishes the requests in flight.
    pub async fn serve(self: Rc<Self>, listener: Rc<dyn Listener>, stop: impl Future<Output = ()>) {
        let (shutdown_sender, shutdown) = watch::channel(None);
        let mut stop = pin!(stop);
        let mut accept_until: Option<Instant> = None;
        // A client that has been accepted and waits for a place. The others wait in the listener's queue.
        let mut waiting: Option<Rc<dyn Stream>> = None;
        // Since when clients have been waiting for places.
        let crowded_since: Cell<Option<Micros>> = Cell::new(None);
        loop {
            if let Some(stream) = waiting.take_if(|_| self.has_place(crowded_since.get())) {
                self.spawn_connection(stream, shutdown.clone());
                // One new connection for each turn of the others: a crowd that comes and goes at full speed waits in the
                // listener's queue, and not before the requests of others.
                tokio::task::yield_now().await;
            }
            if waiting.is_some() && crowded_since.get().is_none() {
                crowded_since.set(Some(self.driver.clock().now()));
            }
            let accepted = poll_fn(|cx| {
                let accepted = listener.poll_accept(cx);
                if accepted.is_pending() {
                    crowded_since.set(None);
                }
                accepted
            });
            let accept_end = async move {
                match accept_until {
                    Some(accept_until) => tokio::time::sleep_until(accept_until).await,
                    None => std::future::pending().await,
                }
            };
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
                    let schedule = self.driver.start_shutdown();
                    let close_at = self.driver.clock().instant(schedule.late_after());
                    let _ = shutdown_sender.send(Some(close_at));
                }
                accepted = accepted, if waiting.is_none() => match accepted {
                    Ok(stream) => waiting = Some(stream),
                    Err(error) => self.handle_accept_error(&error).await,
                },
                () = self.clients.connection_closed(), if waiting.is_some() => {}
                () = tokio::time::sleep(ACCEPT_PAUSE), if waiting.is_some() => {}
                () = accept_end => break,
            }
        }
        if let Some(stream) = waiting {
            self.spawn_connection(stream, shutdown.clone());
        }
        self.accept_queued(&*listener, &shutdown).await;
        drop(listener);
        self.finish_requests().await;
    }

    /// Waits until the requests in flight are answered, and until late answers are due also for those that are being
    /// received.
    async fn finish_requests(&self) {
        // A connection with an incomplete request may stay open indefinitely, and must not delay the shutdown until the
        // process is killed.
        let mut busy_at = Instant::now();
        while self.clients.count() > 0 && busy_at.elapsed() < SHUTDOWN_QUIET_TIME {
            tokio::time::sleep(SHUTDOWN_QUIET_TIME / 10).await;
            if self.clients.has_pending(!self.late_answers_are_due()) {
                busy_at = Instant::now();
            }
        }
    }

    /// Whether the answers to late requests of a shutdown are due: no further request can be answered before the process
    /// may be killed.
    pub(super) fn late_answers_are_due(&self) -> bool {
        let now = self.driver.clock().now();
        let shutdown = self.driver.shutdown();
        shutdown.is_some_and(|schedule| schedule.late_answers_due() <= now)
    }

    /// Whether there is a place for one more connection. If there is none, evicts a connection, so that a place becomes
    /// free as soon as that one is closed.
    fn has_place(&self, crowded_since: Option<Micros>) -> bool {
        if self.clients.count() < self.max_connections {
            return true;
        }
        let now = self.driver.clock().now();
        let is_crowded = crowded_since.is_some_and(|at| at + INCOMPLETE_REQUEST_GRACE <= now);
        let grace = if is_crowded {
            CROWDED_REQUEST_GRACE
        } else {
            INCOMPLETE_REQUEST_GRACE
        };
        self.evict(grace);
        false
    }

    /// Evicts a connection, unless one is about to be closed already.
    fn evict(&self, grace: Micros) {
        if self.clients.evicting() == 0 {
            self.clients.evict(self.driver.clock().now(), grace);
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
        for _ in 0..LISTEN_BACKLOG {
            let accepted = poll_fn(|cx| Poll::Ready(listener.poll_accept(cx))).await;
            let Poll::Ready(Ok(stream)) = accepted else {
                return;
            };
            let has_place = self.wait_for_place().await;
            self.spawn_connection(stream, shutdown.clone());
            if !has_place {
                return;
            }
        }
    }

    /// Waits a short time for a place for one more connection. Returns whether there is one.
    async fn wait_for_place(&self) -> bool {
        let place = async {
            while !self.has_place(Some(0)) {
                self.clients.connection_closed().await;
            }
        };
        tokio::time::timeout(ACCEPT_PAUSE, place).await.is_ok()
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
        self.evict(INCOMPLETE_REQUEST_GRACE);
        // An evicted connection keeps its descriptor until its task has closed it. Accepting again at once would evict
        // all others as well.
        let _ = tokio::time::timeout(ACCEPT_PAUSE, self.clients.connection_closed()).await;
    }
}
