//! Test driver for the balancer: it takes the role of the proxy and records the actions.
#![allow(dead_code)]

use badgerramp_decisions::*;

pub(crate) const MS: Micros = 1_000;

/// A proxy that records all actions and executes none.
pub(crate) struct Proxy {
    pub balancer: Balancer,
    pub now: Micros,
    pub actions: Vec<Action>,
    next_call_id: u64,
}

/// Settings with one class of the given idempotency, an objective of 500 ms and a deadline of 1.2
/// s.
pub(crate) fn settings(idempotency: Idempotency) -> Settings {
    let class = Class {
        latency_objective: 500 * MS,
        deadline: 1_200 * MS,
        priority_weight: 1.0,
        late_value: 0.0,
        idempotency,
    };
    Settings {
        classes: vec![class],
        balancers: 7,
        limits: Limits {
            max_attempts: 5,
            ..Settings::default().limits
        },
        ..Settings::default()
    }
}

pub(crate) fn ready(endpoint: u32) -> EndpointEntry {
    EndpointEntry {
        endpoint: EndpointId(endpoint),
        status: EndpointStatus::Ready,
        ..EndpointEntry::default()
    }
}

/// A request of the first class whose client waits for `time_left`, and which must be answered within
/// `time_until_exit`.
pub(crate) fn request(call: CallId, time_left: Micros, time_until_exit: Option<Micros>) -> Event {
    Event::Request {
        call,
        class: ClassId(0),
        definition: None,
        tenant: None,
        time_left,
        time_until_exit,
        is_retry: false,
        policy: CallPolicy::default(),
    }
}

impl Proxy {
    /// Creates a started proxy with `endpoint_count` ready and warm endpoints, with ids from 1.
    pub(crate) fn new(settings: Settings, endpoint_count: u32) -> Proxy {
        let mut proxy = Proxy {
            balancer: Balancer::new(7, settings),
            now: 1_000_000,
            actions: Vec::new(),
            next_call_id: 0,
        };
        proxy.event(Event::Start);
        proxy.update_list(
            ListUpdateKind::Full,
            (1..=endpoint_count).map(ready).collect(),
        );
        proxy
    }

    pub(crate) fn event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        self.actions.extend(actions.iter().cloned());
        actions
    }

    pub(crate) fn update_list(
        &mut self,
        kind: ListUpdateKind,
        entries: Vec<EndpointEntry>,
    ) -> Vec<Action> {
        self.event(Event::EndpointList { kind, entries })
    }

    pub(crate) fn call_of_class(&mut self, class: usize) -> (CallId, Vec<Action>) {
        self.next_call_id += 1;
        let call = CallId(self.next_call_id);
        let class = ClassId(class);
        let event = Event::Request {
            call,
            class,
            definition: None,
            tenant: None,
            time_left: 1_200 * MS,
            time_until_exit: None,
            is_retry: false,
            policy: CallPolicy::default(),
        };
        (call, self.event(event))
    }

    pub(crate) fn call(&mut self) -> (CallId, Vec<Action>) {
        self.call_of_class(0)
    }

    pub(crate) fn end_attempt(
        &mut self,
        call: CallId,
        attempt: u32,
        outcome: Outcome,
        elapsed: Micros,
    ) -> Vec<Action> {
        let closed = outcome == Outcome::Served;
        self.event(Event::Outcome {
            call,
            attempt,
            outcome,
            elapsed,
            closed,
            load: LoadReport::default(),
        })
    }

    /// Makes a call and has it served after `elapsed`. Returns the endpoint that it was sent to.
    pub(crate) fn serve(&mut self, elapsed: Micros) -> Option<EndpointId> {
        let (call, actions) = self.call();
        let endpoint = sent(&actions).first().map(|s| s.1);
        self.now += elapsed;
        self.end_attempt(call, 0, Outcome::Served, elapsed);
        endpoint
    }

    pub(crate) fn advance(&mut self, span: Micros) -> Vec<Action> {
        self.now += span;
        self.event(Event::Timer)
    }
}

pub(crate) fn sent(actions: &[Action]) -> Vec<(CallId, EndpointId)> {
    actions
        .iter()
        .filter_map(|a| match a {
            Action::Send { call, endpoint, .. } => Some((*call, *endpoint)),
            _ => None,
        })
        .collect()
}

pub(crate) fn rejected(actions: &[Action], id: CallId) -> bool {
    actions
        .iter()
        .any(|a| matches!(a, Action::Reject { call, .. } if *call == id))
}

pub(crate) fn failed(actions: &[Action], id: CallId) -> bool {
    actions
        .iter()
        .any(|a| matches!(a, Action::Fail { call } if *call == id))
}
