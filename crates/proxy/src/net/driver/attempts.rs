//! Attempts of calls: starting one at a host, the checks before its first byte, and its one outcome.

use super::timers::Due;
use super::{Answer, Core, Driver};
use crate::log::CALLS;
use crate::net::upstream;
use crate::net::upstream::{AttemptResult, AttemptTarget, Request};
use badgerramp_decisions::{
    CallId, EndpointId, EndpointStatus, EndpointView, Event, Micros, Outcome,
};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::AbortHandle;
use tracing::debug;

/// One attempt of a call at one host.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) server: EndpointId,
    pub(super) sent: Micros,
    /// Its deadline.
    pub(super) until: Micros,
    /// After this its first byte must not be written.
    pub(super) start_by: Micros,
    /// Its first byte may have been written.
    pub(super) started: bool,
    /// `None` once its outcome is known.
    pub(super) task: Option<AbortHandle>,
    /// Its outcome is not known yet.
    pub(super) in_flight: bool,
}

impl Driver {
    /// May the first byte of this attempt be written now? Asked once the connection is open. Meanwhile the call may have
    /// ended, its time may be up, its client may have gone, and its host may drain or be another process; if this
    /// process was stalled, what is known of the host may be out of date.
    pub fn may_start(&self, call: CallId, attempt: u32, generation: u64) -> bool {
        let client = self
            .core
            .borrow()
            .calls
            .get(&call)
            .map(|c| Rc::clone(&c.client));
        if client.is_some_and(|client| !client.is_connected()) {
            // The HTTP library may not have noticed: it stops looking once it has buffered bytes behind the request.
            self.client_disconnected(call);
            return false;
        }
        let mut core = self.core.borrow_mut();
        if core.stall.catch_up_time(self.clock.now()).is_some() {
            return false;
        }
        let Core { calls, hosts, .. } = &mut *core;
        let Some(call) = calls.get_mut(&call).filter(|c| c.is_open()) else {
            return false;
        };
        let Some(attempt) = call
            .attempts
            .get_mut(attempt as usize)
            .filter(|a| a.in_flight)
        else {
            return false;
        };
        let host = hosts.get(&attempt.server);
        attempt.started = self.clock.now() < attempt.until.min(attempt.start_by)
            && host.is_some_and(|h| h.state == EndpointStatus::Ready && h.generation == generation);
        attempt.started
    }

    /// An attempt has ended by itself. Only its first outcome counts.
    pub fn attempt_ended(&self, call: CallId, attempt: u32, ended: AttemptResult) {
        // Also called when a task is dropped. Should that ever happen while the core is borrowed, a second panic would
        // abort the program; the attempt's own deadline ends it then.
        let Ok(mut core) = self.core.try_borrow_mut() else {
            return;
        };
        if core.finish_attempt(self.clock.now(), call, attempt, ended) {
            self.run_with(&mut core);
        }
    }

    /// Starts an attempt of a call at a host, as the balancer asks.
    pub(super) fn start_attempt(
        &self,
        core: &mut Core,
        now: Micros,
        (id, server): (CallId, EndpointId),
        (until, start_by): (Option<Micros>, Option<Micros>),
    ) {
        let Some(call) = core.calls.get_mut(&id) else {
            return;
        };
        let number = call.attempts.len() as u32;
        let until = until
            .filter(|&u| u > 0)
            .unwrap_or(Micros::MAX)
            .min(call.deadline);
        let start_by = start_by.unwrap_or(Micros::MAX);
        let attempt = Attempt {
            server,
            sent: now,
            until,
            start_by,
            started: false,
            task: None,
            in_flight: true,
        };
        call.attempts.push(attempt);
        let host = core.hosts.get(&server);
        if tracing::enabled!(target: CALLS, tracing::Level::DEBUG) {
            let name = host.map_or("", |host| &*host.name);
            log_sent(
                (id, number),
                name,
                core.balancer.view(now, server),
                until.saturating_sub(now),
            );
        }
        let target = host.and_then(|host| host.target(server));
        let Some(target) = target.filter(|_| call.is_open() && until > now) else {
            core.finish_attempt(now, id, number, Outcome::NotSent.into());
            return;
        };
        core.timers.insert((until, Due::Attempt(id, number)));
        let task = self.spawn_attempt((id, number), target, until, Rc::clone(&call.request));
        call.attempts[number as usize].task = Some(task);
    }

    /// Runs the exchange of an attempt with its host in a task of its own.
    fn spawn_attempt(
        &self,
        (call, attempt): (CallId, u32),
        target: AttemptTarget,
        until: Micros,
        request: Rc<Request>,
    ) -> AbortHandle {
        let driver = self.clone();
        let task = tokio::task::spawn_local(async move {
            // An attempt whose task dies may have run; without this its call would wait for its deadline.
            let mut guard = OutcomeGuard {
                driver,
                call,
                attempt,
                ended: Some(Outcome::Unknown.into()),
            };
            let driver = &guard.driver;
            driver.caught_up().await;
            let left = || until.saturating_sub(driver.clock.now());
            let may_start = || driver.may_start(call, attempt, target.generation);
            let ended = upstream::attempt(&driver.pool, target, &request, left, may_start).await;
            guard.ended = Some(ended);
        });
        task.abort_handle()
    }

    /// Cancels the attempts of a call that are still in flight.
    pub(super) fn cancel_attempts(&self, call: CallId) {
        let mut core = self.core.borrow_mut();
        let count = core.calls.get(&call).map_or(0, |c| c.attempts.len() as u32);
        for attempt in 0..count {
            core.finish_attempt(self.clock.now(), call, attempt, Outcome::Cancelled.into());
        }
        self.run_with(&mut core);
        core.forget_if_done(call);
    }

    /// Resolves once what arrived while the process was stalled has been read; at once if it was not stalled.
    pub(super) async fn caught_up(&self) {
        let behind = self.core.borrow().stall.catch_up_time(self.clock.now());
        if let Some(time) = behind {
            tokio::time::sleep(Duration::from_micros(time)).await;
        }
    }
}

impl Core {
    /// Records the outcome of an attempt, stops its task and queues the event. Returns false if it had ended before.
    pub(super) fn finish_attempt(
        &mut self,
        now: Micros,
        id: CallId,
        number: u32,
        ended: AttemptResult,
    ) -> bool {
        let Some(call) = self.calls.get_mut(&id) else {
            return false;
        };
        let Some(attempt) = call
            .attempts
            .get_mut(number as usize)
            .filter(|a| a.in_flight)
        else {
            return false;
        };
        attempt.in_flight = false;
        self.timers
            .remove(&(attempt.until, Due::Attempt(id, number)));
        if let Some(task) = attempt.task.take() {
            // This closes its connection, by which the host learns that nobody waits.
            task.abort();
        }
        let elapsed = now.saturating_sub(attempt.sent);
        debug!(target: CALLS, call = id.0, attempt = number, outcome = ?ended.outcome, elapsed, "over");
        let AttemptResult {
            outcome,
            load,
            response,
        } = ended;
        match response {
            Some(response) if outcome == Outcome::Served => {
                if let Some(sender) = call.answer.take() {
                    self.open_calls -= 1;
                    self.timers.remove(&(call.deadline, Due::Deadline(id)));
                    let _ = sender.send(Answer::Served(response));
                }
            }
            Some(response) if outcome == Outcome::Error && self.keep_errors => {
                call.last_error = Some(response);
            }
            _ => {}
        }
        let closed = !call.is_open();
        self.events.push_back(Event::Outcome {
            call: id,
            attempt: number,
            outcome,
            elapsed,
            closed,
            load,
        });
        true
    }
}

/// Logs the start of an attempt, with the balancer's view of its host.
fn log_sent((call, attempt): (CallId, u32), host: &str, view: Option<EndpointView>, left: Micros) {
    let Some(view) = view else { return };
    let EndpointView {
        in_flight,
        concurrency_limit,
        latency_ratio,
        failure_rate,
        slow_start_capacity,
        ejected,
        ..
    } = view;
    debug!(target: CALLS, call = call.0, attempt, host, left, in_flight, concurrency_limit,
        latency_ratio, failure_rate, slow_start_capacity, ejected, "sent");
}

/// Reports the outcome of an attempt when its task ends, however that comes about.
struct OutcomeGuard {
    driver: Driver,
    call: CallId,
    attempt: u32,
    ended: Option<AttemptResult>,
}

impl Drop for OutcomeGuard {
    fn drop(&mut self) {
        if let Some(ended) = self.ended.take() {
            self.driver.attempt_ended(self.call, self.attempt, ended);
        }
    }
}
