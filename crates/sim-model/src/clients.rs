//! Who asks: an open load that does not wait for answers, and clients that try again by themselves.

use crate::invariants::FinalAnswer;
use crate::random::RandomStreams;
use crate::scenario::{DedupGroup, Effect, Fault, FaultKind, Scenario, ScriptedRequest};
use crate::{Micros, OpId};

/// One try of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientRequest {
    /// What it wants done.
    pub op: OpId,
    /// Which try, from 0.
    pub try_number: u32,
    /// When this try is due. A client that could not ask then is late by its own time.
    pub due: Micros,
    /// When the first was due: what the wait of the whole is counted from.
    pub first_due: Micros,
    /// Place of its class.
    pub class: usize,
    /// At which proxy.
    pub proxy: u32,
    /// How long it waits for this try.
    pub timeout: Micros,
    /// Work at speed 1.
    pub work: Micros,
    /// What it would be if nothing made it costly.
    pub expected_work: Micros,
    /// Its tenant, from 1; 0: none.
    pub tenant: u32,
}

/// What a client does after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// It has what it wanted, or gives up.
    Stop,
    /// It asks again.
    Retry(ClientRequest),
}

/// All clients.
#[derive(Clone, Debug)]
pub struct LoadGenerator {
    scenario: std::sync::Arc<Scenario>,
    draws: RandomStreams,
    shares: f64,
    /// The most that comes at any time, a second.
    peak: f64,
    candidate: u64,
    at: f64,
    scripted: usize,
}

impl LoadGenerator {
    /// The clients of a scenario.
    pub fn new(scenario: std::sync::Arc<Scenario>, draws: RandomStreams) -> Self {
        let spikes = scenario.faults.iter().map(|f| match f.kind {
            FaultKind::LoadSpike { factor } => factor.max(1.0),
            _ => 1.0,
        });
        let peak =
            scenario.clients.rate * (1.0 + scenario.clients.load_swing.0) * spikes.product::<f64>();
        let shares = scenario.classes.iter().map(|c| c.share).sum();
        LoadGenerator {
            scenario,
            draws,
            shares,
            peak,
            candidate: 0,
            at: 0.0,
            scripted: 0,
        }
    }

    /// First tries a second at this time.
    fn rate(&self, at: Micros) -> f64 {
        let clients = &self.scenario.clients;
        let (swing, time) = clients.load_swing;
        let tide = if swing > 0.0 && time > 0 {
            1.0 + swing * (std::f64::consts::TAU * at as f64 / time as f64).sin()
        } else {
            1.0
        };
        let on = |f: &&Fault| f.from <= at && at < f.until;
        let spikes = self
            .scenario
            .faults
            .iter()
            .filter(on)
            .map(|f| match f.kind {
                FaultKind::LoadSpike { factor } => factor,
                _ => 1.0,
            });
        clients.rate * tide * spikes.product::<f64>()
    }

    /// The next first try; None: no more come. Each is due later than the last, or at the same time.
    pub fn next_operation(&mut self) -> Option<ClientRequest> {
        if let Some(requests) = &self.scenario.requests {
            let request = requests.get(self.scripted).copied()?;
            self.scripted += 1;
            return Some(self.first(request));
        }
        if self.peak <= 0.0 {
            return None;
        }
        loop {
            // Candidates come at the peak's rate; each is kept with the present share of that.
            self.candidate += 1;
            self.at += self
                .draws
                .exponential((0xa5c, self.candidate, 0), 1e6 / self.peak);
            let at = self.at as Micros;
            if at >= self.scenario.duration {
                return None;
            }
            if self.draws.uniform((0xa5c, self.candidate, 1)) * self.peak < self.rate(at) {
                let (proxy, class) = (self.proxy(self.candidate), self.class(self.candidate));
                return Some(self.first(ScriptedRequest {
                    at,
                    proxy,
                    class,
                    id: self.candidate,
                }));
            }
        }
    }

    fn proxy(&self, id: u64) -> u32 {
        let all = self.scenario.proxies.max(1);
        let busy =
            ((f64::from(all) * self.scenario.clients.busy_proxy_share).ceil() as u32).clamp(1, all);
        let draw = self.draws.uniform((0xa5c, id, 2));
        if busy == all {
            return ((draw * f64::from(all)) as u32).min(all - 1);
        }
        let quiet = all - busy;
        if draw < 0.9 {
            ((draw / 0.9 * f64::from(busy)) as u32).min(busy - 1)
        } else {
            busy + (((draw - 0.9) / 0.1 * f64::from(quiet)) as u32).min(quiet - 1)
        }
    }

    fn class(&self, id: u64) -> usize {
        let mut left = self.draws.uniform((0xa5c, id, 3)) * self.shares;
        let classes = &self.scenario.classes;
        classes
            .iter()
            .position(|c| {
                left -= c.share;
                left < 0.0
            })
            .unwrap_or(classes.len() - 1)
    }

    fn first(&self, request: ScriptedRequest) -> ClientRequest {
        let ScriptedRequest {
            at,
            proxy,
            class,
            id,
        } = request;
        let spec = &self.scenario.classes[class];
        let usual = self.draws.integer((0x0c57, id, 0), spec.work);
        let mut work = usual;
        for fault in self
            .scenario
            .faults
            .iter()
            .filter(|f| f.from <= at && at < f.until)
        {
            match fault.kind {
                FaultKind::ExpensiveRequests {
                    class: of,
                    share,
                    factor,
                } if of == class && self.draws.occurs((0x0c57, id, 1), share) => {
                    work = (work as f64 * factor) as Micros;
                }
                _ => {}
            }
        }
        let tenants = self.scenario.clients.tenants;
        let tenant = match tenants {
            0 => 0,
            all => 1 + self.draws.integer((0x7e4a, id, 0), (0, u64::from(all) - 1)) as u32,
        };
        let patience = (spec.deadline as f64 * self.scenario.clients.try_timeout_share) as Micros;
        let patience = patience.clamp(1, spec.deadline);
        ClientRequest {
            op: OpId(id),
            try_number: 0,
            due: at,
            first_due: at,
            class,
            proxy,
            timeout: patience,
            work,
            expected_work: usual,
            tenant,
        }
    }

    /// What a client does that was answered at `now`; `told` is when it was told to come back, if it was.
    pub fn after_answer(
        &self,
        ask: &ClientRequest,
        answered: Option<FinalAnswer>,
        now: Micros,
        told: Option<Micros>,
    ) -> RetryDecision {
        let clients = &self.scenario.clients;
        let class = &self.scenario.classes[ask.class];
        let harmless = match class.effect {
            Effect::Safe => true,
            Effect::Keyed {
                group: DedupGroup::All,
                window,
            } => now < ask.first_due + window,
            Effect::Keyed { .. } | Effect::Unsafe => false,
        };
        let again = match answered {
            Some(FinalAnswer::Served) => false,
            // A refusal says that trying again is harmless; nothing else does.
            Some(FinalAnswer::Refused) => true,
            Some(FinalAnswer::Failed | FinalAnswer::Overdue) | None => harmless,
        };
        let at = now + told.unwrap_or(0).max(clients.retry_delay).max(1);
        let left = (ask.first_due + class.deadline).saturating_sub(at);
        if !again || ask.try_number >= clients.max_retries || left < class.deadline / 20 {
            return RetryDecision::Stop;
        }
        RetryDecision::Retry(ClientRequest {
            try_number: ask.try_number + 1,
            due: at,
            timeout: ask.timeout.min(left),
            ..*ask
        })
    }
}
