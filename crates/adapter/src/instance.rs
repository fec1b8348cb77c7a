//! A balancer instance, and the mapping between names on the wire and the balancer's ids.

use crate::error::AdapterError;
use crate::wire::{self, Command, Input};
use badgerramp_decisions::settings::PlatformSettings;
use badgerramp_decisions::{
    Action, Balancer, CallId, CallPolicy, ClassId, EndpointId, Event, Micros, TenantId,
};
use std::collections::HashMap;

/// A call with its name on the wire.
struct NamedCall {
    name: String,
    attempts_in_flight: u32,
    ended: bool,
}

/// A balancer with the names of its calls, classes and tenants.
pub(crate) struct Instance {
    proxy: i64,
    balancer: Balancer,
    classes: Vec<String>,
    tenants: Vec<String>,
    ids: HashMap<String, CallId>,
    calls: HashMap<CallId, NamedCall>,
    next_id: u64,
}

/// The index of a name in a list.
fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}

impl Instance {
    /// Creates an instance that has not started yet.
    pub(crate) fn new(proxy: i64, seed: u64, platform: PlatformSettings) -> Self {
        Instance {
            proxy,
            balancer: Balancer::new(seed, platform.settings),
            classes: platform.classes,
            tenants: platform.tenants,
            ids: HashMap::new(),
            calls: HashMap::new(),
            next_id: 0,
        }
    }

    /// Passes an event to the balancer and appends the resulting commands to `commands`.
    pub(crate) fn handle(
        &mut self,
        now: Micros,
        event: Event,
        actions: &mut Vec<Action>,
        commands: &mut Vec<Command>,
    ) {
        self.balancer.handle(now, event, actions);
        for action in actions.drain(..) {
            commands.extend(self.command(&action));
        }
    }

    /// Returns the id of the call that an event refers to, assigning one to a new call. Returns
    /// `None` if the call is unknown or has been removed.
    pub(crate) fn call(&mut self, input: &Input<'_>) -> Result<Option<CallId>, AdapterError> {
        let name = input.require(input.call.as_deref(), "call")?;
        let known = self.ids.get(name).copied();
        if known.is_some() || input.verb != wire::REQUEST {
            return Ok(known);
        }
        let id = CallId(self.next_id);
        self.next_id += 1;
        self.ids.insert(name.to_owned(), id);
        let call = NamedCall {
            name: name.to_owned(),
            attempts_in_flight: 0,
            ended: false,
        };
        self.calls.insert(id, call);
        Ok(Some(id))
    }

    /// The event for a new call.
    pub(crate) fn request(&self, call: CallId, input: &Input<'_>) -> Result<Event, AdapterError> {
        let class = input.require(input.tier_class.as_deref(), "tier_class")?;
        let tenant = input.user_group.as_deref();
        Ok(Event::Request {
            call,
            class: ClassId(position(&self.classes, class).unwrap_or(usize::MAX)),
            definition: None,
            tenant: tenant
                .and_then(|name| position(&self.tenants, name))
                .map(TenantId),
            time_left: input.require(input.time_budget_us, "time_budget_us")?,
            time_until_exit: None,
            is_retry: input.resent,
            policy: CallPolicy::default(),
        })
    }

    /// The event for the end of an attempt.
    pub(crate) fn outcome(
        &mut self,
        call: CallId,
        input: &Input<'_>,
    ) -> Result<Event, AdapterError> {
        let outcome = wire::outcome(input.require(input.result.as_deref(), "result")?);
        if let Some(named) = self.calls.get_mut(&call) {
            named.attempts_in_flight = named.attempts_in_flight.saturating_sub(1);
            named.ended |= input.terminal;
        }
        Ok(Event::Outcome {
            call,
            attempt: input.require(input.seq_no, "seq_no")?,
            outcome,
            elapsed: input.elapsed_us.unwrap_or(0),
            closed: input.terminal,
            load: input.load(),
        })
    }

    /// The event for a call whose client has disconnected.
    pub(crate) fn client_disconnected(&mut self, call: CallId) -> Event {
        if let Some(named) = self.calls.get_mut(&call) {
            named.ended = true;
        }
        Event::ClientDisconnected { call }
    }

    /// Removes a call that has ended and has no attempt in flight.
    pub(crate) fn remove_if_finished(&mut self, id: CallId) {
        let is_finished = |call: &NamedCall| call.ended && call.attempts_in_flight == 0;
        if self.calls.get(&id).is_some_and(is_finished) {
            if let Some(call) = self.calls.remove(&id) {
                self.ids.remove(&call.name);
            }
        }
    }

    fn call_name(&self, call: CallId) -> Option<String> {
        self.calls.get(&call).map(|named| named.name.clone())
    }

    /// Marks a call as ended by the balancer and returns its name.
    fn end_call(&mut self, call: CallId) -> Option<String> {
        let named = self.calls.get_mut(&call)?;
        named.ended = true;
        let name = named.name.clone();
        self.remove_if_finished(call);
        Some(name)
    }

    /// Counts another attempt of a call and returns the call's name.
    fn start_attempt(&mut self, call: CallId) -> Option<String> {
        let named = self.calls.get_mut(&call)?;
        named.attempts_in_flight += 1;
        Some(named.name.clone())
    }

    /// Converts an action to its command on the wire. Returns `None` if the action refers to a call
    /// that has been removed.
    fn command(&mut self, action: &Action) -> Option<Command> {
        let proxy = self.proxy;
        Some(match *action {
            Action::Send {
                call,
                endpoint: EndpointId(host),
                attempt_deadline: stop_at_us,
                ..
            } => Command::Route {
                proxy,
                call: self.start_attempt(call)?,
                host,
                stop_at_us,
            },
            Action::Reject { call, retry_after } => Command::Bounce {
                proxy,
                call: self.end_call(call)?,
                hold_off_us: retry_after,
            },
            Action::Fail { call } => Command::DropRequest {
                proxy,
                call: self.end_call(call)?,
            },
            Action::Cancel { call, attempt } => Command::DropAttempt {
                proxy,
                call: self.call_name(call)?,
                seq_no: attempt,
            },
            Action::Probe { endpoint } => Command::Test {
                proxy,
                host: endpoint.0,
            },
            Action::Wake { after } => Command::SetAlarm {
                proxy,
                offset_us: after,
                tag: 0,
            },
            Action::Subscribe => Command::Listen {
                proxy,
                enable: true,
            },
            Action::Log { ref event } => Command::Trace {
                proxy,
                note_text: event.to_string(),
            },
        })
    }
}
