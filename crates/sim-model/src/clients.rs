//! Who asks: an open load that does not wait for answers, and clients that try again by themselves.

use crate::draw::Draws;
use crate::judge::Answered;
use crate::scenario::{Effect, Fault, Group, Request, Scenario, Trouble};
use crate::{Micros, OpId};

/// One try of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ask {
    /// What it wants done.
    pub op: OpId,
    /// Which try, from 0.
    pub number: u32,
    /// When this try is due. A client that could not ask then is late by its own time.
    pub at: Micros,
    /// When the first was due: what the wait of the whole is counted from.
    pub first: Micros,
    /// Place of its class.
    pub class: usize,
    /// At which proxy.
    pub proxy: u32,
    /// How long it waits for this try.
    pub patience: Micros,
    /// Work at speed 1.
    pub work: Micros,
    /// What it would be if nothing made it costly.
    pub usual: Micros,
    /// Its tenant, from 1; 0: none.
    pub tenant: u32,
}

/// What a client does after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// It has what it wanted, or gives up.
    Rests,
    /// It asks again.
    Asks(Ask),
}

/// All clients.
#[derive(Clone, Debug)]
pub struct Clients {
    scenario: std::sync::Arc<Scenario>,
    draws: Draws,
    shares: f64,
    /// The most that comes at any time, a second.
    peak: f64,
    candidate: u64,
    at: f64,
    scripted: usize,
}

impl Clients {
    /// The clients of a scenario.
    pub fn new(scenario: std::sync::Arc<Scenario>, draws: Draws) -> Self {
        let spikes = scenario.faults.iter().map(|f| match f.trouble {
            Trouble::Spike { factor } => factor.max(1.0),
            _ => 1.0,
        });
        let peak =
            scenario.clients.rate * (1.0 + scenario.clients.tide.0) * spikes.product::<f64>();
        let shares = scenario.classes.iter().map(|c| c.share).sum();
        Clients {
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
        let (swing, time) = clients.tide;
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
            .map(|f| match f.trouble {
                Trouble::Spike { factor } => factor,
                _ => 1.0,
            });
        clients.rate * tide * spikes.product::<f64>()
    }

    /// The next first try; None: no more come. Each is due later than the last, or at the same time.
    pub fn next_first(&mut self) -> Option<Ask> {
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
            self.at += self.draws.wait((0xa5c, self.candidate, 0), 1e6 / self.peak);
            let at = self.at as Micros;
            if at >= self.scenario.duration {
                return None;
            }
            if self.draws.unit((0xa5c, self.candidate, 1)) * self.peak < self.rate(at) {
                let (proxy, class) = (self.proxy(self.candidate), self.class(self.candidate));
                return Some(self.first(Request {
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
        let busy = ((f64::from(all) * self.scenario.clients.busy).ceil() as u32).clamp(1, all);
        let draw = self.draws.unit((0xa5c, id, 2));
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
        let mut left = self.draws.unit((0xa5c, id, 3)) * self.shares;
        let classes = &self.scenario.classes;
        classes
            .iter()
            .position(|c| {
                left -= c.share;
                left < 0.0
            })
            .unwrap_or(classes.len() - 1)
    }

    fn first(&self, request: Request) -> Ask {
        let Request {
            at,
            proxy,
            class,
            id,
        } = request;
        let spec = &self.scenario.classes[class];
        let usual = self.draws.between((0x0c57, id, 0), spec.work);
        let mut work = usual;
        for fault in self
            .scenario
            .faults
            .iter()
            .filter(|f| f.from <= at && at < f.until)
        {
            match fault.trouble {
                Trouble::Costly {
                    class: of,
                    share,
                    factor,
                } if of == class && self.draws.happens((0x0c57, id, 1), share) => {
                    work = (work as f64 * factor) as Micros;
                }
                _ => {}
            }
        }
        let tenants = self.scenario.clients.tenants;
        let tenant = match tenants {
            0 => 0,
            all => 1 + self.draws.between((0x7e4a, id, 0), (0, u64::from(all) - 1)) as u32,
        };
        let patience = (spec.deadline as f64 * self.scenario.clients.patience) as Micros;
        let patience = patience.clamp(1, spec.deadline);
        Ask {
            op: OpId(id),
            number: 0,
            at,
            first: at,
            class,
            proxy,
            patience,
            work,
            usual,
            tenant,
        }
    }

    /// What a client does that was answered at `now`; `told` is when it was told to come back, if it was.
    pub fn after(
        &self,
        ask: &Ask,
        answered: Option<Answered>,
        now: Micros,
        told: Option<Micros>,
    ) -> Next {
        let clients = &self.scenario.clients;
        let class = &self.scenario.classes[ask.class];
        let harmless = match class.effect {
            Effect::Safe => true,
            Effect::Keyed {
                group: Group::All,
                window,
            } => now < ask.first + window,
            Effect::Keyed { .. } | Effect::Unsafe => false,
        };
        let again = match answered {
            Some(Answered::Served) => false,
            // A refusal says that trying again is harmless; nothing else does.
            Some(Answered::Refused) => true,
            Some(Answered::Failed | Answered::Overdue) | None => harmless,
        };
        let at = now + told.unwrap_or(0).max(clients.pause).max(1);
        let left = (ask.first + class.deadline).saturating_sub(at);
        if !again || ask.number >= clients.retries || left < class.deadline / 20 {
            return Next::Rests;
        }
        Next::Asks(Ask {
            number: ask.number + 1,
            at,
            patience: ask.patience.min(left),
            ..*ask
        })
    }
}
