//! Drives the decisions of one sidecar without sockets: time is a number, and each attempt may end in any way. It holds
//! every action against the rules of the sidecar's file as it happens: no unsafe call has two attempts that may have
//! run, a keyed one goes again only within its group and window, each call has one final answer within its time.

use badgerramp_config::Config;
use badgerramp_decisions::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::BTreeMap;

/// An attempt as the sockets know it.
pub struct Attempt {
    /// Where it went.
    pub endpoint: EndpointId,
    /// When.
    pub sent_at: Micros,
    /// When it ends, and how; what the sockets time out ends at its own time.
    ends_at: Micros,
    outcome: Outcome,
    ended: Option<Outcome>,
}

/// A call and all that became of it.
pub struct CallState {
    class: Class,
    hedged: bool,
    max_attempts: u32,
    deadline: Micros,
    /// Its attempts, in order.
    pub attempts: Vec<Attempt>,
    /// Its final answer, and when that came.
    pub answered: Option<(Answer, Micros)>,
}

impl Attempt {
    /// It has run, or nothing proves that it did not.
    pub fn may_have_executed(&self) -> bool {
        self.ended
            .is_none_or(|outcome| !outcome.proves_not_executed())
    }
}

/// One sidecar and its endpoints.
pub struct BalancerDriver<'c> {
    config: &'c Config,
    balancer: Balancer,
    random: Pcg32,
    now: Micros,
    wake_at: Option<Micros>,
    calls: BTreeMap<CallId, CallState>,
}

/// A final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A host's answer.
    Served,
    /// Trying again is harmless.
    Refused,
    /// Nothing is promised.
    Failed,
}

/// What is asked of the sidecar.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// The route that takes it, by its place in the file.
    pub route: usize,
    /// The key that its class goes by is missing.
    pub key_missing: bool,
    /// How long the client says that it waits; None: it says nothing.
    pub client_timeout: Option<Micros>,
}

impl<'c> BalancerDriver<'c> {
    /// A started sidecar that knows the endpoints of its file.
    pub fn new(config: &'c Config, seed: u64) -> Self {
        let mut world = BalancerDriver {
            config,
            balancer: Balancer::new(seed, config.settings()),
            random: Pcg32::seed_from_u64(seed),
            now: 1_000_000,
            wake_at: None,
            calls: BTreeMap::new(),
        };
        world.tell(Event::Start);
        let entries = config
            .upstream
            .endpoints
            .iter()
            .zip(0..)
            .map(|(e, n)| e.entry(EndpointId(n)))
            .collect();
        world.tell(Event::EndpointList {
            kind: ListUpdateKind::Full,
            entries,
        });
        world
    }

    /// The time.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// The source of all chance.
    pub fn random(&mut self) -> &mut Pcg32 {
        &mut self.random
    }

    /// A call and what became of it so far.
    pub fn call(&self, call: CallId) -> &CallState {
        &self.calls[&call]
    }

    /// Have all calls their answers?
    pub fn all_answered(&self) -> bool {
        self.calls.values().all(|open| open.answered.is_some())
    }

    /// A request comes in.
    pub fn request(&mut self, request: Request) -> CallId {
        let route = &self.config.routes.routes()[request.route];
        let mut class = self.config.classes[route.class].class;
        if request.key_missing {
            class.idempotency = Idempotency::NonIdempotent;
        }
        let time_left = route
            .timing
            .total
            .min(request.client_timeout.unwrap_or(class.deadline));
        assert!(time_left <= class.deadline, "longer than the client waits");
        let terms = route.timing.terms(request.key_missing);
        let open = CallState {
            class,
            hedged: terms.hedge != Hedge::Never,
            max_attempts: terms.max_attempts,
            deadline: self.now + time_left,
            attempts: Vec::new(),
            answered: None,
        };
        let call = CallId(self.calls.len() as u64);
        self.calls.insert(call, open);
        let class = ClassId(route.class);
        self.tell(Event::Request {
            call,
            class,
            tenant: None,
            time_left,
            is_retry: false,
            policy: terms,
        });
        call
    }

    fn tell(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send {
                    call,
                    endpoint: server,
                    attempt_deadline: until,
                    ..
                } => self.send(call, server, until),
                Action::Reject { call, .. } => self.answer(call, Answer::Refused),
                Action::Fail { call } => self.answer(call, Answer::Failed),
                Action::Cancel { call, attempt } => {
                    if let Some(tried) = self
                        .calls
                        .get_mut(&call)
                        .and_then(|c| c.attempts.get_mut(attempt as usize))
                    {
                        (tried.ends_at, tried.outcome) = (self.now, Outcome::Cancelled);
                    }
                }
                Action::Wake { after } => {
                    let at = self.now + after;
                    self.wake_at = Some(self.wake_at.map_or(at, |old| old.min(at)));
                }
                Action::Subscribe | Action::Probe { .. } | Action::Log { .. } => {}
            }
        }
    }

    fn group(&self, server: EndpointId) -> u32 {
        self.config.upstream.endpoints[server.0 as usize].group
    }

    fn send(&mut self, call: CallId, server: EndpointId, until: Option<Micros>) {
        let (group, now) = (self.group(server), self.now);
        let groups: Vec<u32> = self
            .config
            .upstream
            .endpoints
            .iter()
            .map(|e| e.group)
            .collect();
        let open = self.calls.get_mut(&call).expect("a call that came");
        assert!(
            open.answered.is_none(),
            "nothing goes out after the final answer"
        );
        assert!(
            now < open.deadline,
            "nothing goes out after the client's time"
        );
        assert!(
            (open.attempts.len() as u32) < open.max_attempts,
            "more attempts than the file allows"
        );
        let out = open.attempts.iter().filter(|t| t.ended.is_none()).count();
        assert!(
            out == 0 || open.hedged,
            "a second copy where the file wants none"
        );
        if let Some(first) = open.attempts.iter().find(|t| t.may_have_executed()) {
            match open.class.idempotency {
                Idempotency::Idempotent => {}
                Idempotency::NonIdempotent => panic!("an unsafe call would run twice"),
                Idempotency::Keyed { scope, window } => {
                    assert!(
                        now < first.sent_at + window,
                        "a keyed call outside its window"
                    );
                    let inside =
                        scope != DedupScope::Cell || groups[first.endpoint.0 as usize] == group;
                    assert!(inside, "a keyed call outside its group");
                }
            }
        }
        let until = until.unwrap_or(Micros::MAX).min(open.deadline);
        let ends = now + self.random.gen_range(0..600_000);
        let outcome = match self.random.gen_range(0..9) {
            0..=2 => Outcome::Served,
            3 => Outcome::Error,
            4 => Outcome::Rejected,
            5 => Outcome::ConnectFailed,
            6 => Outcome::Reset,
            7 => Outcome::NotSent,
            _ => Outcome::Unknown,
        };
        // Fast and slow ends both, and some that never come.
        let ends = if self.random.gen_bool(0.3) {
            now + 1 + (ends - now) / 50
        } else {
            ends
        };
        let (ends, outcome) = if ends >= until {
            (until, Outcome::TimedOut)
        } else {
            (ends, outcome)
        };
        open.attempts.push(Attempt {
            endpoint: server,
            sent_at: now,
            ends_at: ends.max(now + 1),
            outcome,
            ended: None,
        });
    }

    fn answer(&mut self, call: CallId, answer: Answer) {
        let open = self.calls.get_mut(&call).expect("a call that came");
        assert!(open.answered.is_none(), "two final answers");
        assert!(
            self.now <= open.deadline,
            "answered after the client's time"
        );
        let ran = open.attempts.iter().any(Attempt::may_have_executed);
        let harmless = matches!(
            open.class.idempotency,
            Idempotency::Idempotent
                | Idempotency::Keyed {
                    scope: DedupScope::All,
                    ..
                }
        );
        if answer == Answer::Refused {
            assert!(harmless || !ran, "refused though it may have run");
        }
        open.answered = Some((answer, self.now));
    }

    /// The next attempt to end.
    fn next_end(&self) -> Option<(Micros, CallId, usize)> {
        let all = self.calls.iter().flat_map(|(&id, open)| {
            let out = open
                .attempts
                .iter()
                .enumerate()
                .filter(|(_, t)| t.ended.is_none());
            out.map(move |(n, t)| (t.ends_at, id, n))
        });
        all.min()
    }

    /// Lets time pass until `end`. What breaks a rule of the file panics.
    ///
    /// # Panics
    /// If a rule is broken: that is what this is for.
    pub fn run_until(&mut self, end: Micros) {
        loop {
            let ends = self.next_end();
            let at = ends
                .map_or(Micros::MAX, |e| e.0)
                .min(self.wake_at.unwrap_or(Micros::MAX));
            if at > end {
                break;
            }
            self.now = self.now.max(at);
            match ends.filter(|e| e.0 <= at) {
                Some((_, call, number)) => {
                    let open = self.calls.get_mut(&call).expect("a call that came");
                    let tried = &mut open.attempts[number];
                    tried.ended = Some(tried.outcome);
                    let (outcome, elapsed) = (tried.outcome, self.now - tried.sent_at);
                    if outcome == Outcome::Served && open.answered.is_none() {
                        open.answered = Some((Answer::Served, self.now));
                    }
                    let closed = open.answered.is_some();
                    let attempt = number as u32;
                    self.tell(Event::Outcome {
                        call,
                        attempt,
                        outcome,
                        elapsed,
                        closed,
                        load: LoadReport::default(),
                    });
                }
                None => {
                    self.wake_at = None;
                    self.tell(Event::Timer);
                }
            }
            for open in self.calls.values().filter(|o| o.deadline < self.now) {
                assert!(
                    open.answered.is_some(),
                    "no answer within the client's time"
                );
            }
        }
        self.now = end;
    }
}
