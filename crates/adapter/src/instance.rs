//! One instance: its balancer, and the names that the wire uses for what the balancer numbers.

use crate::error::AdapterError;
use crate::wire::{self, Command, Input};
use badgerramp_decisions::settings::PlatformSettings;
use badgerramp_decisions::{
    Action, Balancer, CallId, CallPolicy, ClassId, EndpointId, Event, Micros, TenantId,
};
use std::collections::HashMap;

/// A call under its name on the wire.
struct NamedCall {
    name: String,
    attempts_in_flight: u32,
    ended: bool,
}

/// A balancer and the names of its calls, classes and tenants.
pub(crate) struct Instance {
    proxy: i64,
    balancer: Balancer,
    classes: Vec<String>,
    tenants: Vec<String>,
    ids: HashMap<String, CallId>,
    calls: HashMap<CallId, NamedCall>,
    next_id: u64,
}

/// The place of a name in a list.
fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}

impl Instance {
    /// An instance that has not started yet.
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

    /// Hands an event to the balancer and adds what it wants done to `commands`.
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

    /// The id of the call that an event names. `None`: the event is of a call that is forgotten already.
    pub(crate) fn call(&mut self, input: &Input<'_>) -> Result<Option<CallId>, AdapterError> {
        let name = input.need(input.call.as_deref(), "call")?;
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

    /// A call has come in.
    pub(crate) fn request(&self, call: CallId, input: &Input<'_>) -> Result<Event, AdapterError> {
        let class = input.need(input.tier_class.as_deref(), "tier_class")?;
        let tenant = input.user_group.as_deref();
        Ok(Event::Request {
            call,
            class: ClassId(position(&self.classes, class).unwrap_or(usize::MAX)),
            tenant: tenant
                .and_then(|name| position(&self.tenants, name))
                .map(TenantId),
            time_left: input.need(input.time_budget_us, "time_budget_us")?,
            is_retry: input.resent,
            policy: CallPolicy::default(),
        })
    }

    /// An attempt has ended.
    pub(crate) fn outcome(
        &mut self,
        call: CallId,
        input: &Input<'_>,
    ) -> Result<Event, AdapterError> {
        let outcome = wire::outcome(input.need(input.result.as_deref(), "result")?);
        if let Some(named) = self.calls.get_mut(&call) {
            named.attempts_in_flight = named.attempts_in_flight.saturating_sub(1);
            named.ended |= input.terminal;
        }
        Ok(Event::Outcome {
            call,
            attempt: input.need(input.seq_no, "seq_no")?,
            outcome,
            elapsed: input.elapsed_us.unwrap_or(0),
            closed: input.terminal,
            load: input.load(),
        })
    }

    /// The client of a call has gone.
    pub(crate) fn client_gone(&mut self, call: CallId) -> Event {
        if let Some(named) = self.calls.get_mut(&call) {
            named.ended = true;
        }
        Event::ClientDisconnected { call }
    }

    /// Forgets a call once it has ended and none of its attempts is in flight.
    pub(crate) fn forget_if_done(&mut self, id: CallId) {
        let done = |call: &NamedCall| call.ended && call.attempts_in_flight == 0;
        if self.calls.get(&id).is_some_and(done) {
            if let Some(call) = self.calls.remove(&id) {
                self.ids.remove(&call.name);
            }
        }
    }

    fn name(&self, call: CallId) -> Option<String> {
        self.calls.get(&call).map(|named| named.name.clone())
    }

    /// The name of a call that the balancer ends.
    fn end(&mut self, call: CallId) -> Option<String> {
        let named = self.calls.get_mut(&call)?;
        named.ended = true;
        let name = named.name.clone();
        self.forget_if_done(call);
        Some(name)
    }

    /// The name of a call that gets one more attempt.
    fn start_attempt(&mut self, call: CallId) -> Option<String> {
        let named = self.calls.get_mut(&call)?;
        named.attempts_in_flight += 1;
        Some(named.name.clone())
    }

    /// The wire's form of an action. `None`: it is of a call that is forgotten already.
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
                call: self.end(call)?,
                hold_off_us: retry_after,
            },
            Action::Fail { call } => Command::DropRequest {
                proxy,
                call: self.end(call)?,
            },
            Action::Cancel { call, attempt } => Command::DropAttempt {
                proxy,
                call: self.name(call)?,
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
