//! Attempts of calls: starting an attempt at an endpoint, the checks before its first byte is written, and its outcome.

use super::timers::TimerKind;
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

/// One attempt of a call at one endpoint.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) endpoint: EndpointId,
    pub(super) sent_at: Micros,
    pub(super) deadline: Micros,
    /// The first byte must not be written after this time.
    pub(super) start_by: Micros,
    /// Whether the first byte may have been written.
    pub(super) started: bool,
    /// `None` once the outcome is known.
    pub(super) task: Option<AbortHandle>,
    /// Whether the outcome is still unknown.
    pub(super) in_flight: bool,
}

impl Driver {
    /// Whether the first byte of this attempt may be written now; checked once the connection is open. Until then the
    /// call may have ended, a deadline may have passed, the client may have disconnected, and the endpoint may have
    /// begun to drain or have been replaced by another process. After a stall of this process the endpoint list may be
    /// out of date.
    pub fn may_start(&self, call: CallId, attempt: u32, generation: u64) -> bool {
        let client = self
            .core
            .borrow()
            .calls
            .get(&call)
            .map(|c| Rc::clone(&c.client));
        if client.is_some_and(|client| !client.is_connected()) {
            // hyper may not have noticed: it stops reading once it has buffered data after the request.
            self.client_disconnected(call);
            return false;
        }
        let mut core = self.core.borrow_mut();
        if core.stall.catch_up_time(self.clock.now()).is_some() {
            return false;
        }
        let Core {
            calls, endpoints, ..
        } = &mut *core;
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
        let endpoint = endpoints.get(&attempt.endpoint);
        attempt.started = self.clock.now() < attempt.deadline.min(attempt.start_by)
            && endpoint
                .is_some_and(|e| e.status == EndpointStatus::Ready && e.generation == generation);
        attempt.started
    }

    /// Records the result of an attempt whose task has ended. Only the first result of an attempt counts.
    pub fn attempt_ended(&self, call: CallId, attempt: u32, result: AttemptResult) {
        // This is also called when a task is dropped. If that happens while the core is borrowed, the attempt ends at
        // its deadline instead: a panic here during another panic would abort the program.
        let Ok(mut core) = self.core.try_borrow_mut() else {
            return;
        };
        if core.finish_attempt(self.clock.now(), call, attempt, result) {
            self.run_with(&mut core);
        }
    }

    /// Starts an attempt of a call at an endpoint.
    pub(super) fn start_attempt(
        &self,
        core: &mut Core,
        now: Micros,
        (id, endpoint): (CallId, EndpointId),
        (deadline, start_by): (Option<Micros>, Option<Micros>),
    ) {
        let Some(call) = core.calls.get_mut(&id) else {
            return;
        };
        let number = call.attempts.len() as u32;
        let deadline = deadline
            .filter(|&at| at > 0)
            .unwrap_or(Micros::MAX)
            .min(call.deadline);
        let start_by = start_by.unwrap_or(Micros::MAX);
        let attempt = Attempt {
            endpoint,
            sent_at: now,
            deadline,
            start_by,
            started: false,
            task: None,
            in_flight: true,
        };
        call.attempts.push(attempt);
        let state = core.endpoints.get(&endpoint);
        if tracing::enabled!(target: CALLS, tracing::Level::DEBUG) {
            let name = state.map_or("", |state| &*state.name);
            log_sent(
                (id, number),
                name,
                core.balancer.view(now, endpoint),
                deadline.saturating_sub(now),
            );
        }
        let target = state.and_then(|state| state.target(endpoint));
        let Some(target) = target.filter(|_| call.is_open() && deadline > now) else {
            core.finish_attempt(now, id, number, Outcome::NotSent.into());
            return;
        };
        core.timers
            .insert((deadline, TimerKind::AttemptDeadline(id, number)));
        let task = self.spawn_attempt((id, number), target, deadline, Rc::clone(&call.request));
        call.attempts[number as usize].task = Some(task);
    }

    /// Runs the exchange of an attempt with its endpoint in a separate task.
    fn spawn_attempt(
        &self,
        (call, attempt): (CallId, u32),
        target: AttemptTarget,
        deadline: Micros,
        request: Rc<Request>,
    ) -> AbortHandle {
        let driver = self.clone();
        let task = tokio::task::spawn_local(async move {
            // If the task is dropped, the request may have been executed. Without the guard its call would go on to
            // wait for this attempt until its deadline.
            let mut guard = OutcomeGuard {
                driver,
                call,
                attempt,
                result: Some(Outcome::Unknown.into()),
            };
            let driver = &guard.driver;
            driver.catch_up().await;
            let time_left = || deadline.saturating_sub(driver.clock.now());
            let may_start = || driver.may_start(call, attempt, target.generation);
            let result =
                upstream::attempt(&driver.pool, target, &request, time_left, may_start).await;
            guard.result = Some(result);
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

    /// After a stall of this process, waits until the data that arrived meanwhile has been read.
    pub(super) async fn catch_up(&self) {
        let catch_up_time = self.core.borrow().stall.catch_up_time(self.clock.now());
        if let Some(time) = catch_up_time {
            tokio::time::sleep(Duration::from_micros(time)).await;
        }
    }
}

impl Core {
    /// Records the result of an attempt, stops its task and queues the event for the balancer. Returns false if the
    /// attempt had ended before.
    pub(super) fn finish_attempt(
        &mut self,
        now: Micros,
        id: CallId,
        number: u32,
        result: AttemptResult,
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
            .remove(&(attempt.deadline, TimerKind::AttemptDeadline(id, number)));
        if let Some(task) = attempt.task.take() {
            // This closes the connection, which tells the endpoint that the request has been cancelled.
            task.abort();
        }
        let elapsed = now.saturating_sub(attempt.sent_at);
        debug!(target: CALLS, call = id.0, attempt = number, outcome = ?result.outcome, elapsed, "attempt ended");
        let AttemptResult {
            outcome,
            load,
            response,
        } = result;
        match response {
            Some(response) if outcome == Outcome::Served => {
                if let Some(sender) = call.answer.take() {
                    self.open_calls -= 1;
                    self.timers
                        .remove(&(call.deadline, TimerKind::CallDeadline(id)));
                    let _ = sender.send(Answer::Served(response));
                }
            }
            Some(response) if outcome == Outcome::Error && self.forward_errors => {
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

/// Logs the start of an attempt, with the balancer's view of its endpoint.
fn log_sent(
    (call, attempt): (CallId, u32),
    endpoint: &str,
    view: Option<EndpointView>,
    time_left: Micros,
) {
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
    debug!(target: CALLS, call = call.0, attempt, host = endpoint, left = time_left, in_flight, concurrency_limit,
        latency_ratio, failure_rate, slow_start_capacity, ejected, "attempt sent");
}

/// Reports the result of an attempt when its task ends or is dropped.
struct OutcomeGuard {
    driver: Driver,
    call: CallId,
    attempt: u32,
    result: Option<AttemptResult>,
}

impl Drop for OutcomeGuard {
    fn drop(&mut self) {
        if let Some(result) = self.result.take() {
            self.driver.attempt_ended(self.call, self.attempt, result);
        }
    }
}
