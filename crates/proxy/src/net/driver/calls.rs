//! Calls: taking a request on, giving its one final answer, and forgetting it once nothing of it is left.

use super::attempts::Attempt;
use super::timers::Due;
use super::{Core, Driver};
use crate::log::CALLS;
use crate::net::upstream::{Client, Request, UpstreamResponse};
use badgerramp_decisions::{CallId, CallPolicy, ClassId, Event, Micros, TenantId};
use std::rc::Rc;
use tokio::sync::oneshot;
use tracing::debug;

/// A request, as the balancer is told of it.
pub struct Intake {
    pub client: Rc<dyn Client>,
    pub class: ClassId,
    pub tenant: Option<String>,
    pub deadline: Micros,
    pub resent: bool,
    pub terms: CallPolicy,
}

/// The one final answer of a call.
#[derive(Debug)]
pub enum Answer {
    Served(UpstreamResponse),
    Refused {
        retry_after: Micros,
    },
    /// The last error of a host that is passed on, if any.
    Failed(Option<UpstreamResponse>),
    /// The deadline came before the balancer had ended the call.
    Overdue,
}

impl Answer {
    /// Its label in the log.
    fn label(&self) -> &'static str {
        match self {
            Answer::Served(_) => "served",
            Answer::Refused { .. } => "refused",
            Answer::Failed(_) => "failed",
            Answer::Overdue => "overdue",
        }
    }
}

/// A call that is open, or of which an attempt is still in flight.
pub(super) struct Call {
    pub(super) client: Rc<dyn Client>,
    pub(super) request: Rc<Request>,
    pub(super) class: ClassId,
    pub(super) deadline: Micros,
    /// Taken when the final answer is given.
    pub(super) answer: Option<oneshot::Sender<Answer>>,
    pub(super) attempts: Vec<Attempt>,
    /// The last error that a host answered, if errors are passed on.
    pub(super) last_error: Option<UpstreamResponse>,
}

impl Call {
    /// Its final answer has not been given yet.
    pub(super) fn is_open(&self) -> bool {
        self.answer.is_some()
    }

    fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }
}

impl Driver {
    /// Calls without their final answer.
    pub fn open_calls(&self) -> usize {
        self.core.borrow().open_calls
    }

    /// Calls that are not forgotten yet: open ones, and those of which an attempt is still in flight.
    pub fn calls(&self) -> usize {
        self.core.borrow().calls.len()
    }

    /// Is a call of this class open, or an attempt of one still in flight?
    pub fn in_use(&self, class: ClassId) -> bool {
        self.core.borrow().calls.values().any(|c| c.class == class)
    }

    /// Takes on a request. `None`: as many calls are open as the settings allow.
    pub fn start_call(
        &self,
        intake: Intake,
        request: Request,
    ) -> Option<(CallId, oneshot::Receiver<Answer>)> {
        let (sender, receiver) = oneshot::channel();
        let mut core = self.core.borrow_mut();
        if core.open_calls >= core.max_open {
            return None;
        }
        core.last_call_at = self.clock.now();
        core.resize_subset(self.clock.now());
        let call = CallId(core.next_call);
        core.next_call += 1;
        core.open_calls += 1;
        let id = request
            .headers
            .get("x-request-id")
            .and_then(|v| v.to_str().ok())
            .unwrap_or_default();
        debug!(target: CALLS, call = call.0, request = id, class = intake.class.0, "taken");
        let deadline = intake.deadline;
        let entry = Call {
            client: intake.client,
            request: Rc::new(request),
            class: intake.class,
            deadline,
            answer: Some(sender),
            attempts: Vec::new(),
            last_error: None,
        };
        core.calls.insert(call, entry);
        core.timers.insert((deadline, Due::Deadline(call)));
        let tenant = intake
            .tenant
            .and_then(|name| core.tenants.iter().position(|t| *t == name));
        let event = Event::Request {
            call,
            class: intake.class,
            tenant: tenant.map(TenantId),
            time_left: deadline.saturating_sub(self.clock.now()),
            is_retry: intake.resent,
            policy: intake.terms,
        };
        drop(core);
        self.event(event);
        Some((call, receiver))
    }

    /// The client of this call has gone. Its attempts are cancelled whatever the balancer decides.
    pub fn client_disconnected(&self, call: CallId) {
        let open = self
            .core
            .borrow()
            .calls
            .get(&call)
            .is_some_and(|c| c.is_open());
        if !open {
            return;
        }
        self.core.borrow_mut().finish_call(call, None);
        self.event(Event::ClientDisconnected { call });
        self.cancel_attempts(call);
    }

    /// How long ago the last call was taken on.
    pub fn quiet_for(&self) -> Micros {
        self.clock
            .now()
            .saturating_sub(self.core.borrow().last_call_at)
    }
}

impl Core {
    /// Gives the final answer, if it has not been given yet.
    pub(super) fn finish_call(&mut self, id: CallId, answer: Option<Answer>) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        if let Some(sender) = call.answer.take() {
            self.open_calls -= 1;
            self.timers.remove(&(call.deadline, Due::Deadline(id)));
            debug!(target: CALLS, call = id.0, answer = answer.as_ref().map_or("client gone", Answer::label), "ended");
            if let Some(answer) = answer {
                // The receiver is dropped when the client has gone.
                let _ = sender.send(answer);
            }
        }
        self.forget_if_done(id);
    }

    /// Forgets a call once it has ended and none of its attempts is in flight.
    pub(super) fn forget_if_done(&mut self, id: CallId) {
        if self
            .calls
            .get(&id)
            .is_some_and(|call| !call.is_open() && !call.has_attempt_in_flight())
        {
            self.calls.remove(&id);
        }
    }
}
