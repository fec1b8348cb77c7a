//! Timers: the deadlines of calls and attempts, and the balancer's timer.

use super::attempts::Attempt;
use super::{Answer, Core, Driver};
use badgerramp_decisions::{CallId, Event, Micros, Outcome};

/// What a timer is for. The order of the variants matters for timers that are due at the same time: attempts time out
/// first, so that the balancer can end the call; then the balancer's timer fires; only then is a call that is still
/// open ended by the driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum TimerKind {
    AttemptDeadline(CallId, u32),
    Balancer,
    CallDeadline(CallId),
}

impl Driver {
    /// Fires the timers when they are due. Never returns.
    pub async fn run_timers(&self) {
        loop {
            let next = self.core.borrow().timers.first().map(|t| t.0);
            match next {
                Some(at) if at <= self.clock.now() => self.fire_due_timers(),
                Some(at) => {
                    tokio::select! {
                        biased;
                        () = tokio::time::sleep_until(self.clock.instant(at)) => {}
                        () = self.earliest_timer_changed.notified() => {}
                    }
                }
                None => self.earliest_timer_changed.notified().await,
            }
        }
    }

    fn fire_due_timers(&self) {
        let mut core = self.core.borrow_mut();
        let core = &mut *core;
        let now = self.clock.now();
        while let Some((_, timer)) = core.timers.first().filter(|t| t.0 <= now).copied() {
            core.timers.pop_first();
            match timer {
                TimerKind::AttemptDeadline(call, attempt) => {
                    core.time_out_attempt(now, call, attempt);
                }
                TimerKind::Balancer => {
                    core.balancer_timer = None;
                    core.events.push_back(Event::Timer);
                }
                TimerKind::CallDeadline(call) => core.end_at_deadline(call),
            }
            self.run_with(core);
        }
    }
}

impl Core {
    /// Sets the balancer's timer, unless it is already set to an earlier time.
    pub(super) fn set_balancer_timer(&mut self, at: Micros) {
        if self.balancer_timer.is_some_and(|due| due <= at) {
            return;
        }
        if let Some(replaced) = self.balancer_timer.replace(at) {
            self.timers.remove(&(replaced, TimerKind::Balancer));
        }
        self.timers.insert((at, TimerKind::Balancer));
    }

    fn time_out_attempt(&mut self, now: Micros, call: CallId, number: u32) {
        let attempt = self
            .calls
            .get(&call)
            .and_then(|c| c.attempts.get(number as usize));
        // An attempt that times out before its connection is open was never executed. As `TimedOut` it would fail a
        // non-idempotent call that can safely be retried or rejected.
        let outcome = match attempt {
            Some(Attempt { started: false, .. }) => Outcome::ConnectFailed,
            _ => Outcome::TimedOut,
        };
        self.finish_attempt(now, call, number, outcome.into());
    }

    /// Ends a call that is still open at its deadline, without waiting for the balancer.
    fn end_at_deadline(&mut self, call: CallId) {
        if self.calls.get(&call).is_some_and(|c| c.is_open()) {
            self.finish_call(call, Some(Answer::DeadlineExceeded));
            self.events.push_back(Event::ClientDisconnected { call });
        }
    }
}
