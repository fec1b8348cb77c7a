//! The accept loop, and the end of a graceful shutdown.

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

/// At a stop, connections are accepted for at least this long, and until none has come for a while.
const SHUTDOWN_ACCEPT_TIME: Duration = Duration::from_millis(450);
/// ... and without an open call for this long, what is still connected has nothing to come.
const SHUTDOWN_QUIET_TIME: Duration = Duration::from_millis(100);
/// From a stop on, requests that are still coming in are waited for so long: no client counts on an answer to one that
/// comes later (the protocol's figure).
const SHUTDOWN_REQUEST_TIME: Duration = Duration::from_millis(700);
/// Pause of accepting when the system has no descriptor left, or all places are taken.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

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
}
