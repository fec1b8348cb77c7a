//! Calls: accepting requests, giving each its one final answer, and forgetting calls that have ended.

use super::attempts::Attempt;
use super::timers::TimerKind;
use super::{Core, Driver};
use crate::log::CALLS;
use crate::net::upstream::{Client, Request, UpstreamResponse};
use badgerramp_decisions::{CallId, CallPolicy, Class, ClassId, Event, Micros, TenantId};
use std::collections::hash_map::Entry;
use std::rc::Rc;
use tokio::sync::oneshot;
use tracing::debug;

/// What the balancer needs to know of a request to start its call.
pub struct NewCall {
    /// The client that waits for the answer.
    pub client: Rc<dyn Client>,
    /// The class of the call.
    pub class: ClassId,
    /// The definition of the class that the request was admitted under, if a reload may have changed it.
    pub definition: Option<Class>,
    /// The name of the tenant, if the request names one. Unknown tenants are ignored.
    pub tenant: Option<String>,
    /// When the client stops waiting, on the driver's clock.
    pub deadline: Micros,
    /// When the call must have ended because the process shuts down; `None` if only its deadline counts.
    pub answer_due: Option<Micros>,
    /// Whether the client marked the request as a retry.
    pub is_retry: bool,
    /// The restrictions of the operator for this call.
    pub policy: CallPolicy,
}

/// The one final answer of a call.
#[derive(Debug)]
pub enum Answer {
    /// The response of an endpoint.
    Served(UpstreamResponse),
    /// The call was not executed and may be retried.
    Rejected {
        /// When, in microseconds from now; 0 if the balancer gives no time.
        retry_after: Micros,
    },
    /// The call failed, with the error response to forward to the client, if any.
    Failed(Option<UpstreamResponse>),
    /// The deadline passed before the balancer ended the call.
    DeadlineExceeded,
}

impl Answer {
    /// The name of the answer in the log.
    fn label(&self) -> &'static str {
        match self {
            Answer::Served(_) => "served",
            Answer::Rejected { .. } => "refused",
            Answer::Failed(_) => "failed",
            Answer::DeadlineExceeded => "overdue",
        }
    }
}

/// A call without a final answer, or with an attempt that is still in flight.
pub(super) struct Call {
    pub(super) client: Rc<dyn Client>,
    pub(super) request: Rc<Request>,
    pub(super) class: ClassId,
    pub(super) deadline: Micros,
    /// `None` once the final answer has been given.
    pub(super) answer: Option<oneshot::Sender<Answer>>,
    pub(super) attempts: Vec<Attempt>,
    /// The last error response of an endpoint; always `None` if error responses are not forwarded.
    pub(super) last_error: Option<UpstreamResponse>,
}

impl Call {
    /// Whether the final answer is still to be given.
    pub(super) fn is_open(&self) -> bool {
        self.answer.is_some()
    }

    fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }
}

/// Keeps the id of a class in use until it is dropped, so that a reload assigns it to no other class.
pub struct ClassReservation {
    driver: Driver,
    class: ClassId,
}

impl Drop for ClassReservation {
    fn drop(&mut self) {
        let mut core = self.driver.core.borrow_mut();
        let Entry::Occupied(mut count) = core.reserved_classes.entry(self.class) else {
            return;
        };
        *count.get_mut() -= 1;
        if *count.get() == 0 {
            count.remove();
        }
    }
}

impl Driver {
    /// The number of calls without a final answer.
    pub fn open_calls(&self) -> usize {
        self.core.borrow().open_calls
    }

    /// The number of calls in memory: those without a final answer, and those with an attempt that is still in flight.
    pub fn calls(&self) -> usize {
        self.core.borrow().calls.len()
    }

    /// Whether any call in memory is of this class, or any request that is being received.
    pub fn in_use(&self, class: ClassId) -> bool {
        let core = self.core.borrow();
        core.reserved_classes.contains_key(&class)
            || core.calls.values().any(|call| call.class == class)
    }

    /// Reserves the id of a class for a request that has been admitted and whose call has not started.
    pub fn reserve_class(&self, class: ClassId) -> ClassReservation {
        let mut core = self.core.borrow_mut();
        *core.reserved_classes.entry(class).or_default() += 1;
        ClassReservation {
            driver: self.clone(),
            class,
        }
    }

    /// Starts the call of a request. Returns `None` if the maximum number of calls is open.
    pub fn start_call(
        &self,
        new_call: NewCall,
        request: Request,
    ) -> Option<(CallId, oneshot::Receiver<Answer>)> {
        let (sender, receiver) = oneshot::channel();
        let mut core = self.core.borrow_mut();
        if core.open_calls >= core.max_open_calls {
            return None;
        }
        core.last_call_at = self.clock.now();
        core.resize_subset(self.clock.now());
        let call = CallId(core.next_call_id);
        core.next_call_id += 1;
        core.open_calls += 1;
        let request_id = request
            .headers
            .get("x-request-id")
            .and_then(|v| v.to_str().ok())
            .unwrap_or_default();
        debug!(target: CALLS, call = call.0, request = request_id, class = new_call.class.0, "call accepted");
        let now = self.clock.now();
        let time_until_exit = new_call.answer_due.map(|due| due.saturating_sub(now));
        let deadline = new_call
            .answer_due
            .unwrap_or(Micros::MAX)
            .min(new_call.deadline);
        let entry = Call {
            client: new_call.client,
            request: Rc::new(request),
            class: new_call.class,
            deadline,
            answer: Some(sender),
            attempts: Vec::new(),
            last_error: None,
        };
        core.calls.insert(call, entry);
        core.timers
            .insert((deadline, TimerKind::CallDeadline(call)));
        let tenant = new_call
            .tenant
            .and_then(|name| core.tenants.iter().position(|t| *t == name));
        let event = Event::Request {
            call,
            class: new_call.class,
            definition: new_call.definition,
            tenant: tenant.map(TenantId),
            time_left: new_call.deadline.saturating_sub(now),
            time_until_exit,
            is_retry: new_call.is_retry,
            policy: new_call.policy,
        };
        drop(core);
        self.handle_event(event);
        Some((call, receiver))
    }

    /// Ends a call whose client has disconnected, if the call is open. Its attempts are cancelled whatever the balancer
    /// decides. Returns whether an endpoint may have executed the call, or may do so yet.
    pub fn client_disconnected(&self, call: CallId) -> bool {
        let may_have_executed = match self.core.borrow().calls.get(&call) {
            Some(call) if call.is_open() => call.attempts.iter().any(|attempt| attempt.started),
            _ => return false,
        };
        self.core.borrow_mut().finish_call(call, None);
        self.handle_event(Event::ClientDisconnected { call });
        self.cancel_attempts(call);
        may_have_executed
    }

    /// The time since the last call was accepted; before the first call, since the start.
    pub fn time_since_last_call(&self) -> Micros {
        self.clock
            .now()
            .saturating_sub(self.core.borrow().last_call_at)
    }
}

impl Core {
    /// Gives the final answer of a call unless it has one already. `None` ends the call without an answer, as its
    /// client has disconnected.
    pub(super) fn finish_call(&mut self, id: CallId, answer: Option<Answer>) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        if let Some(sender) = call.answer.take() {
            self.open_calls -= 1;
            self.timers
                .remove(&(call.deadline, TimerKind::CallDeadline(id)));
            debug!(target: CALLS, call = id.0, answer = answer.as_ref().map_or("client disconnected", Answer::label), "call ended");
            if let Some(answer) = answer {
                // The receiver has been dropped if the client disconnected.
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
