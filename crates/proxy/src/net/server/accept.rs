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

/// During a shutdown, connections are accepted for this long, and then until the listener's queue is empty.
const SHUTDOWN_ACCEPT_TIME: Duration = Duration::from_millis(450);
/// A shutdown ends once no request has been in flight for this long: what is still connected has nothing to send.
const SHUTDOWN_QUIET_TIME: Duration = Duration::from_millis(100);
/// From the start of a shutdown, requests that are still being received are waited for this long: no client counts on a
/// response to a later one (the figure is the protocol's).
const SHUTDOWN_REQUEST_TIME: Duration = Duration::from_millis(700);
/// Pause of accepting when the system has no descriptor left, or at capacity.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

impl Server {
    /// Serves clients until `stop` resolves, then drains: finishes what is in flight.
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
            // At capacity, clients wait in the listener's queue: rejected connections close soon, and so does an evicted
            // one.
            let has_capacity =
                self.clients.count() < self.max_connections + self.max_excess_connections;
            if !has_capacity && self.clients.evicting() == 0 {
                self.clients.evict_idle(self.driver.clock().now());
            }
            tokio::select! {
                // Many clients must not keep the stop from being noticed, nor the stop clients from being accepted.
                biased;
                () = &mut stop, if accept_until.is_none() => {
                    // From now on each response closes its connection, and idle ones close at once, except those that
                    // await their first request. New ones are still accepted: clients migrate before the listener closes.
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
        // A connection with an incomplete request does not end by itself, and must not delay the shutdown until the
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

    /// Accepts what waits in the listener's queue: the system resets it when the listener is closed. The runtime knows of
    /// it only after its next poll of all sockets.
    async fn accept_queued(
        self: &Rc<Self>,
        listener: &dyn Listener,
        shutdown: &watch::Receiver<ShutdownDeadline>,
    ) {
        tokio::task::yield_now().await;
        while self.clients.count() < self.max_connections + self.max_excess_connections {
            let accepted = poll_fn(|cx| Poll::Ready(listener.poll_accept(cx))).await;
            let Poll::Ready(Ok(stream)) = accepted else {
                return;
            };
            self.spawn_connection(stream, shutdown.clone());
        }
    }

    /// Running out of descriptors must not end the program: idle connections are closed first.
    async fn handle_accept_error(&self, error: &io::Error) {
        tracing::warn!("a client's connection could not be taken: {error}");
        let aborted = [
            io::ErrorKind::ConnectionAborted,
            io::ErrorKind::ConnectionReset,
        ];
        if aborted.contains(&error.kind()) || self.pool.evict_idle() {
            return;
        }
        if self.clients.evicting() == 0 {
            self.clients.evict_idle(self.driver.clock().now());
        }
        // It keeps its descriptor until its task has closed it; accepting at once would evict all others as well.
        let _ = tokio::time::timeout(ACCEPT_PAUSE, self.clients.connection_closed()).await;
    }
}
