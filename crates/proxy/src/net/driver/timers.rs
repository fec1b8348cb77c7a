//! Timers: deadlines of calls and attempts, and the one timer of the balancer.

use super::attempts::Attempt;
use super::{Answer, Core, Driver};
use badgerramp_decisions::{CallId, Event, Micros, Outcome};

/// What is due at a moment. The order matters: at a deadline the attempts time out first, so that the balancer can end
/// the call itself; then comes its own timer, and only then is the call ended without it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Due {
    Attempt(CallId, u32),
    BalancerTimer,
    Deadline(CallId),
}

impl Driver {
    /// Serves the timers, for as long as the program runs.
    pub async fn timers(&self) {
        loop {
            let next = self.core.borrow().timers.first().map(|t| t.0);
            match next {
                Some(at) if at <= self.clock.now() => self.fire_due(),
                Some(at) => {
                    tokio::select! {
                        biased;
                        () = tokio::time::sleep_until(self.clock.instant(at)) => {}
                        () = self.timer_moved.notified() => {}
                    }
                }
                None => self.timer_moved.notified().await,
            }
        }
    }

    fn fire_due(&self) {
        let mut core = self.core.borrow_mut();
        let core = &mut *core;
        let now = self.clock.now();
        while let Some((_, due)) = core.timers.first().filter(|t| t.0 <= now).copied() {
            core.timers.pop_first();
            match due {
                Due::Attempt(call, attempt) => core.time_out_attempt(now, call, attempt),
                Due::BalancerTimer => {
                    core.balancer_timer = None;
                    core.events.push_back(Event::Timer);
                }
                Due::Deadline(call) => core.end_overdue(call),
            }
            self.run_with(core);
        }
    }
}

impl Core {
    /// Sets the timer of the balancer, unless it has an earlier one.
    pub(super) fn set_balancer_timer(&mut self, at: Micros) {
        if self.balancer_timer.is_some_and(|due| due <= at) {
            return;
        }
        if let Some(replaced) = self.balancer_timer.replace(at) {
            self.timers.remove(&(replaced, Due::BalancerTimer));
        }
        self.timers.insert((at, Due::BalancerTimer));
    }

    fn time_out_attempt(&mut self, now: Micros, call: CallId, number: u32) {
        let attempt = self
            .calls
            .get(&call)
            .and_then(|c| c.attempts.get(number as usize));
        // An attempt whose time is up while it still waits for its connection never ran: to call it timed out would
        // fail an unsafe call that may safely be repeated or refused.
        let outcome = match attempt {
            Some(Attempt { started: false, .. }) => Outcome::ConnectFailed,
            _ => Outcome::TimedOut,
        };
        self.finish_attempt(now, call, number, outcome.into());
    }

    /// Ends a call at its deadline, whatever the balancer does.
    fn end_overdue(&mut self, call: CallId) {
        if self.calls.get(&call).is_some_and(|c| c.is_open()) {
            self.finish_call(call, Some(Answer::Overdue));
            self.events.push_back(Event::ClientDisconnected { call });
        }
    }
}
