//! A small driver of the balancer for tests: it plays the proxy and records what it is told to do.
#![allow(dead_code)]

use badgerramp_decisions::*;

pub(crate) const MS: Micros = 1_000;

/// A proxy that carries out nothing and remembers everything.
pub(crate) struct Proxy {
    pub balancer: Balancer,
    pub now: Micros,
    pub actions: Vec<Action>,
    next: u64,
}

/// Settings with one class of the given kind: wanted in 500 ms, given up after 1.2 s.
pub(crate) fn settings(repeat: Idempotency) -> Settings {
    let class = Class {
        latency_objective: 500 * MS,
        deadline: 1_200 * MS,
        priority_weight: 1.0,
        late_value: 0.0,
        idempotency: repeat,
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

pub(crate) fn ready(server: u32) -> EndpointEntry {
    EndpointEntry {
        endpoint: EndpointId(server),
        status: EndpointStatus::Ready,
        ..EndpointEntry::default()
    }
}

impl Proxy {
    /// A started proxy that knows of `endpoints` ready, warm endpoints, numbered from 1.
    pub(crate) fn new(settings: Settings, servers: u32) -> Proxy {
        let mut proxy = Proxy {
            balancer: Balancer::new(7, settings),
            now: 1_000_000,
            actions: Vec::new(),
            next: 0,
        };
        proxy.event(Event::Start);
        proxy.list(ListUpdateKind::Full, (1..=servers).map(ready).collect());
        proxy
    }

    pub(crate) fn event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        self.actions.extend(actions.iter().cloned());
        actions
    }

    pub(crate) fn list(
        &mut self,
        kind: ListUpdateKind,
        entries: Vec<EndpointEntry>,
    ) -> Vec<Action> {
        self.event(Event::EndpointList { kind, entries })
    }

    pub(crate) fn call_of(&mut self, class: usize) -> (CallId, Vec<Action>) {
        self.next += 1;
        let call = CallId(self.next);
        let class = ClassId(class);
        let event = Event::Request {
            call,
            class,
            tenant: None,
            time_left: 1_200 * MS,
            is_retry: false,
            policy: CallPolicy::default(),
        };
        (call, self.event(event))
    }

    pub(crate) fn call(&mut self) -> (CallId, Vec<Action>) {
        self.call_of(0)
    }

    pub(crate) fn end(
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

    /// A call that is sent and served after `elapsed`; tells where it went.
    pub(crate) fn serve(&mut self, elapsed: Micros) -> Option<EndpointId> {
        let (call, actions) = self.call();
        let server = sent(&actions).first().map(|s| s.1);
        self.now += elapsed;
        self.end(call, 0, Outcome::Served, elapsed);
        server
    }

    pub(crate) fn wait(&mut self, span: Micros) -> Vec<Action> {
        self.now += span;
        self.event(Event::Timer)
    }
}

pub(crate) fn sent(actions: &[Action]) -> Vec<(CallId, EndpointId)> {
    actions
        .iter()
        .filter_map(|a| match a {
            Action::Send {
                call,
                endpoint: server,
                ..
            } => Some((*call, *server)),
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
