//! The clients: an open load, which does not wait for answers, and the clients' own retries.

use crate::invariants::FinalAnswer;
use crate::random::RandomStreams;
use crate::scenario::{DedupGroup, Effect, Fault, FaultKind, Scenario, ScriptedRequest};
use crate::{Micros, OpId};

/// One try of a client's operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientRequest {
    /// The operation that the try belongs to.
    pub op: OpId,
    /// Number of the try, from 0.
    pub try_number: u32,
    /// Time at which this try is due. Latency counts from here even if the client could only send it later.
    pub due: Micros,
    /// Time at which the operation's first try was due: the start of the operation's latency and deadline.
    pub first_due: Micros,
    /// Index of the operation's class.
    pub class: usize,
    /// Proxy that the try is sent to.
    pub proxy: u32,
    /// Time that the client waits for the answer to this try.
    pub timeout: Micros,
    /// Work of the request on a host of speed 1.
    pub work: Micros,
    /// Work that the request would need without [`FaultKind::ExpensiveRequests`].
    pub expected_work: Micros,
    /// Number of the tenant, from 1; 0: none.
    pub tenant: u32,
}

/// What a client does after a try has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// The operation has ended: it was served, or the client gives up.
    Stop,
    /// The client sends this try next.
    Retry(ClientRequest),
}

/// Generates the requests of all clients.
#[derive(Clone, Debug)]
pub struct LoadGenerator {
    scenario: std::sync::Arc<Scenario>,
    random: RandomStreams,
    total_share: f64,
    /// Upper bound of the request rate at any time, per second.
    peak_rate: f64,
    candidate: u64,
    candidate_time: f64,
    next_scripted: usize,
}

impl LoadGenerator {
    /// A generator for the clients of a scenario.
    pub fn new(scenario: std::sync::Arc<Scenario>, random: RandomStreams) -> Self {
        let spikes = scenario.faults.iter().map(|f| match f.kind {
            FaultKind::LoadSpike { factor } => factor.max(1.0),
            _ => 1.0,
        });
        let peak_rate =
            scenario.clients.rate * (1.0 + scenario.clients.load_swing.0) * spikes.product::<f64>();
        let total_share = scenario.classes.iter().map(|c| c.share).sum();
        LoadGenerator {
            scenario,
            random,
            total_share,
            peak_rate,
            candidate: 0,
            candidate_time: 0.0,
            next_scripted: 0,
        }
    }

    /// The rate of new operations at this time, per second.
    fn rate(&self, at: Micros) -> f64 {
        let clients = &self.scenario.clients;
        let (amplitude, period) = clients.load_swing;
        let swing = if amplitude > 0.0 && period > 0 {
            1.0 + amplitude * (std::f64::consts::TAU * at as f64 / period as f64).sin()
        } else {
            1.0
        };
        let active = |f: &&Fault| f.from <= at && at < f.until;
        let spikes = self
            .scenario
            .faults
            .iter()
            .filter(active)
            .map(|f| match f.kind {
                FaultKind::LoadSpike { factor } => factor,
                _ => 1.0,
            });
        clients.rate * swing * spikes.product::<f64>()
    }

    /// The first try of the next operation, in order of due time; None: the load has ended.
    pub fn next_operation(&mut self) -> Option<ClientRequest> {
        if let Some(requests) = &self.scenario.requests {
            let request = requests.get(self.next_scripted).copied()?;
            self.next_scripted += 1;
            return Some(self.first_try(request));
        }
        if self.peak_rate <= 0.0 {
            return None;
        }
        loop {
            // Thinning of a Poisson process: candidates arrive at the peak rate, and each is kept with the probability
            // `rate / peak_rate`.
            self.candidate += 1;
            self.candidate_time += self
                .random
                .exponential((0xa5c, self.candidate, 0), 1e6 / self.peak_rate);
            let at = self.candidate_time as Micros;
            if at >= self.scenario.duration {
                return None;
            }
            if self.random.uniform((0xa5c, self.candidate, 1)) * self.peak_rate < self.rate(at) {
                let (proxy, class) = (self.proxy(self.candidate), self.class(self.candidate));
                return Some(self.first_try(ScriptedRequest {
                    at,
                    proxy,
                    class,
                    id: self.candidate,
                }));
            }
        }
    }

    /// Picks the proxy of an operation.
    fn proxy(&self, id: u64) -> u32 {
        let all = self.scenario.proxies.max(1);
        let busy =
            ((f64::from(all) * self.scenario.clients.busy_proxy_share).ceil() as u32).clamp(1, all);
        let draw = self.random.uniform((0xa5c, id, 2));
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

    /// Picks the class of an operation by the classes' shares.
    fn class(&self, id: u64) -> usize {
        let mut remaining = self.random.uniform((0xa5c, id, 3)) * self.total_share;
        let classes = &self.scenario.classes;
        classes
            .iter()
            .position(|c| {
                remaining -= c.share;
                remaining < 0.0
            })
            .unwrap_or(classes.len() - 1)
    }

    /// The first try of the operation that a request starts.
    fn first_try(&self, request: ScriptedRequest) -> ClientRequest {
        let ScriptedRequest {
            at,
            proxy,
            class,
            id,
        } = request;
        let spec = &self.scenario.classes[class];
        let expected_work = self.random.integer((0x0c57, id, 0), spec.work);
        let mut work = expected_work;
        for fault in self
            .scenario
            .faults
            .iter()
            .filter(|f| f.from <= at && at < f.until)
        {
            match fault.kind {
                FaultKind::ExpensiveRequests {
                    class: affected,
                    share,
                    factor,
                } if affected == class && self.random.occurs((0x0c57, id, 1), share) => {
                    work = (work as f64 * factor) as Micros;
                }
                _ => {}
            }
        }
        let tenants = self.scenario.clients.tenants;
        let tenant = match tenants {
            0 => 0,
            all => {
                1 + self
                    .random
                    .integer((0x7e4a, id, 0), (0, u64::from(all) - 1)) as u32
            }
        };
        let timeout = (spec.deadline as f64 * self.scenario.clients.try_timeout_share) as Micros;
        let timeout = timeout.clamp(1, spec.deadline);
        ClientRequest {
            op: OpId(id),
            try_number: 0,
            due: at,
            first_due: at,
            class,
            proxy,
            timeout,
            work,
            expected_work,
            tenant,
        }
    }

    /// What a client does after its try has ended at `now` with this answer (None: without any). `retry_after` is the
    /// delay that the answer asked for, if it did.
    pub fn after_answer(
        &self,
        request: &ClientRequest,
        answer: Option<FinalAnswer>,
        now: Micros,
        retry_after: Option<Micros>,
    ) -> RetryDecision {
        let clients = &self.scenario.clients;
        let class = &self.scenario.classes[request.class];
        let retry_is_harmless = match class.effect {
            Effect::Safe => true,
            Effect::Keyed {
                group: DedupGroup::All,
                window,
            } => now < request.first_due + window,
            Effect::Keyed { .. } | Effect::Unsafe => false,
        };
        let retry = match answer {
            Some(FinalAnswer::Served) => false,
            // A refusal states that a retry is harmless, whatever the class; no other answer does.
            Some(FinalAnswer::Refused) => true,
            Some(FinalAnswer::Failed | FinalAnswer::Overdue) | None => retry_is_harmless,
        };
        let at = now + retry_after.unwrap_or(0).max(clients.retry_delay).max(1);
        let remaining = (request.first_due + class.deadline).saturating_sub(at);
        if !retry || request.try_number >= clients.max_retries || remaining < class.deadline / 20 {
            return RetryDecision::Stop;
        }
        RetryDecision::Retry(ClientRequest {
            try_number: request.try_number + 1,
            due: at,
            timeout: request.timeout.min(remaining),
            ..*request
        })
    }
}
