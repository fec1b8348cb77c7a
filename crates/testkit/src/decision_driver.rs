//! Drives the decisions of one sidecar without sockets, in virtual time and with random outcomes of the attempts. Each
//! action is checked against the sidecar's file: an unsafe call never has two attempts that may have been executed, a keyed
//! call is sent again only within its dedup scope and window, and each call has one final answer within its deadline.

use badgerramp_config::Config;
use badgerramp_decisions::*;
use badgerramp_route::{ResponseRules, Verdict};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::BTreeMap;

/// Statuses of responses to calls that were executed and failed, each with headers that such a response may have. Any
/// header may come with a failure status, and those that all responses have with any other.
const FAILURE_RESPONSES: [(StatusCode, &[(&str, &str)]); 6] = [
    (StatusCode::INTERNAL_SERVER_ERROR, ANY_HEADERS),
    (StatusCode::BAD_GATEWAY, ANY_HEADERS),
    (StatusCode::SERVICE_UNAVAILABLE, COMMON_HEADERS),
    (StatusCode::GATEWAY_TIMEOUT, COMMON_HEADERS),
    (StatusCode::TOO_MANY_REQUESTS, COMMON_HEADERS),
    (StatusCode::CONFLICT, COMMON_HEADERS),
];
const COMMON_HEADERS: &[(&str, &str)] = &[
    ("content-type", "text/plain"),
    ("content-length", "0"),
    ("date", "Sat, 05 Dec 2026 06:00:00 GMT"),
    ("retry-after", "1"),
    ("server", "access"),
    ("via", "1.1 gateway"),
    ("x-request-id", "7"),
    ("x-server-load", "TEXT inflight=1"),
];
const ANY_HEADERS: &[(&str, &str)] = &[
    ("content-type", "text/plain"),
    ("x-any", "1"),
    ("x-not-processed", "1"),
];

/// An attempt as the I/O layer would see it.
pub struct Attempt {
    /// Endpoint that the attempt was sent to.
    pub endpoint: EndpointId,
    /// Time at which the attempt was sent.
    pub sent_at: Micros,
    /// Time at which the attempt ends; for an attempt that times out, its own deadline.
    ends_at: Micros,
    /// How the attempt will end, as the file has its response classified.
    outcome: Outcome,
    /// Whether the call is executed although the outcome may say otherwise.
    executed: bool,
    /// How the attempt has ended; None: it is outstanding.
    ended: Option<Outcome>,
}

/// A call with its attempts and its answer.
pub struct CallState {
    class: Class,
    /// Whether the response to a failed execution counts as a rejection.
    takes_failure_for_proof: bool,
    hedged: bool,
    max_attempts: u32,
    deadline: Micros,
    /// Attempts of the call, in order.
    pub attempts: Vec<Attempt>,
    /// Final answer of the call and its time.
    pub answered: Option<(Answer, Micros)>,
}

impl Attempt {
    /// Whether the attempt may have been executed: it was, or is outstanding, or its outcome does not prove the opposite.
    pub fn may_have_executed(&self) -> bool {
        self.executed
            || self
                .ended
                .is_none_or(|outcome| !outcome.proves_not_executed())
    }
}

/// Whether these rules take the response to a call that was executed and failed for a proof that it was not executed.
fn takes_failure_for_proof(rules: &ResponseRules) -> bool {
    FAILURE_RESPONSES.iter().any(|(status, headers)| {
        let headers: HeaderMap = headers
            .iter()
            .map(|&(name, value)| {
                let name = HeaderName::from_static(name);
                (name, HeaderValue::from_static(value))
            })
            .collect();
        rules.verdict(*status, &headers) == Verdict::NotExecuted
    })
}

/// The decisions of one sidecar, with its calls and its clock.
pub struct BalancerDriver<'c> {
    config: &'c Config,
    balancer: Balancer,
    random: Pcg32,
    now: Micros,
    wake_at: Option<Micros>,
    calls: BTreeMap<CallId, CallState>,
}

/// The final answer to a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The answer of a host.
    Served,
    /// A rejection, which states that a retry is harmless.
    Refused,
    /// A failure after which the call may have been executed.
    Failed,
}

/// A request to the sidecar.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Index of the matching route in the file.
    pub route: usize,
    /// Whether the request lacks the idempotency key of its class.
    pub key_missing: bool,
    /// Time-out that the client states, if it does.
    pub client_timeout: Option<Micros>,
}

impl<'c> BalancerDriver<'c> {
    /// A started sidecar that knows the endpoints of its file, with random outcomes from this seed.
    pub fn new(config: &'c Config, seed: u64) -> Self {
        let mut driver = BalancerDriver {
            config,
            balancer: Balancer::new(seed, config.settings()),
            random: Pcg32::seed_from_u64(seed),
            now: 1_000_000,
            wake_at: None,
            calls: BTreeMap::new(),
        };
        driver.handle(Event::Start);
        let entries = config
            .upstream
            .endpoints
            .iter()
            .zip(0..)
            .map(|(e, n)| e.entry(EndpointId(n)))
            .collect();
        driver.handle(Event::EndpointList {
            kind: ListUpdateKind::Full,
            entries,
        });
        driver
    }

    /// The current virtual time.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// The random number generator of all outcomes.
    pub fn random(&mut self) -> &mut Pcg32 {
        &mut self.random
    }

    /// The state of a call.
    pub fn call(&self, call: CallId) -> &CallState {
        &self.calls[&call]
    }

    /// Whether all calls have their final answers.
    pub fn all_answered(&self) -> bool {
        self.calls
            .values()
            .all(|call_state| call_state.answered.is_some())
    }

    /// Passes a request to the decisions.
    pub fn request(&mut self, request: Request) -> CallId {
        let route = &self.config.routes.routes()[request.route];
        let mut class = self.config.classes[route.class].class;
        // Calls of a safe class may run twice, so that their file may take any response for a proof.
        let takes_failure_for_proof = class.idempotency != Idempotency::Idempotent
            && takes_failure_for_proof(&route.response_rules);
        if request.key_missing {
            class.idempotency = Idempotency::NonIdempotent;
        }
        let time_left = route
            .timing
            .total
            .min(request.client_timeout.unwrap_or(class.deadline));
        assert!(
            time_left <= class.deadline,
            "the call's time exceeds the deadline of its class"
        );
        let policy = route.timing.call_policy(request.key_missing);
        let call_state = CallState {
            class,
            takes_failure_for_proof,
            hedged: policy.hedge != Hedge::Never,
            max_attempts: policy.max_attempts,
            deadline: self.now + time_left,
            attempts: Vec::new(),
            answered: None,
        };
        let call = CallId(self.calls.len() as u64);
        self.calls.insert(call, call_state);
        let class = ClassId(route.class);
        self.handle(Event::Request {
            call,
            class,
            definition: None,
            tenant: None,
            time_left,
            time_until_exit: None,
            is_retry: false,
            policy,
        });
        call
    }

    /// Passes an event to the decisions and carries out their actions.
    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send {
                    call,
                    endpoint,
                    attempt_deadline: until,
                    ..
                } => self.send(call, endpoint, until),
                Action::Reject { call, .. } => self.answer(call, Answer::Refused),
                Action::Fail { call } => self.answer(call, Answer::Failed),
                Action::Cancel { call, attempt } => {
                    if let Some(attempt_state) = self
                        .calls
                        .get_mut(&call)
                        .and_then(|c| c.attempts.get_mut(attempt as usize))
                    {
                        (attempt_state.ends_at, attempt_state.outcome) =
                            (self.now, Outcome::Cancelled);
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

    fn group(&self, endpoint: EndpointId) -> u32 {
        self.config.upstream.endpoints[endpoint.0 as usize].group
    }

    /// Checks an attempt against the file and draws its outcome.
    fn send(&mut self, call: CallId, endpoint: EndpointId, until: Option<Micros>) {
        let (group, now) = (self.group(endpoint), self.now);
        let groups: Vec<u32> = self
            .config
            .upstream
            .endpoints
            .iter()
            .map(|e| e.group)
            .collect();
        let call_state = self.calls.get_mut(&call).expect("a known call");
        assert!(
            call_state.answered.is_none(),
            "an attempt was sent after the final answer"
        );
        assert!(
            now < call_state.deadline,
            "an attempt was sent after the client's deadline"
        );
        assert!(
            (call_state.attempts.len() as u32) < call_state.max_attempts,
            "a call has more attempts than the file allows"
        );
        let outstanding = call_state
            .attempts
            .iter()
            .filter(|t| t.ended.is_none())
            .count();
        assert!(
            outstanding == 0 || call_state.hedged,
            "a call was hedged although the file does not allow it"
        );
        if let Some(first) = call_state.attempts.iter().find(|t| t.may_have_executed()) {
            match call_state.class.idempotency {
                Idempotency::Idempotent => {}
                Idempotency::NonIdempotent => {
                    panic!("an unsafe call that may have been executed was sent again")
                }
                Idempotency::Keyed { scope, window } => {
                    assert!(
                        now < first.sent_at + window,
                        "a keyed call was sent again after its dedup window"
                    );
                    let in_scope =
                        scope != DedupScope::Cell || groups[first.endpoint.0 as usize] == group;
                    assert!(
                        in_scope,
                        "a keyed call was sent again outside its dedup scope"
                    );
                }
            }
        }
        let until = until.unwrap_or(Micros::MAX).min(call_state.deadline);
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
        // Some attempts end fast, some slowly, and some only by their time-out.
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
        // A host that has executed the call and failed sends the response that the file misjudges, if there is one.
        let misjudged = outcome == Outcome::Error && call_state.takes_failure_for_proof;
        call_state.attempts.push(Attempt {
            endpoint,
            sent_at: now,
            ends_at: ends.max(now + 1),
            outcome: if misjudged {
                Outcome::Rejected
            } else {
                outcome
            },
            executed: misjudged,
            ended: None,
        });
    }

    /// Checks the final answer of a call and records it.
    fn answer(&mut self, call: CallId, answer: Answer) {
        let call_state = self.calls.get_mut(&call).expect("a known call");
        assert!(
            call_state.answered.is_none(),
            "a call has two final answers"
        );
        assert!(
            self.now <= call_state.deadline,
            "a call was answered after the client's deadline"
        );
        let may_have_executed = call_state.attempts.iter().any(Attempt::may_have_executed);
        let retry_is_harmless = matches!(
            call_state.class.idempotency,
            Idempotency::Idempotent
                | Idempotency::Keyed {
                    scope: DedupScope::All,
                    ..
                }
        );
        if answer == Answer::Refused {
            assert!(
                retry_is_harmless || !may_have_executed,
                "a call was refused although it may have been executed"
            );
        }
        call_state.answered = Some((answer, self.now));
    }

    /// The next attempt to end: its time, call and number.
    fn next_end(&self) -> Option<(Micros, CallId, usize)> {
        let all = self.calls.iter().flat_map(|(&id, call_state)| {
            let outstanding = call_state
                .attempts
                .iter()
                .enumerate()
                .filter(|(_, t)| t.ended.is_none());
            outstanding.map(move |(n, t)| (t.ends_at, id, n))
        });
        all.min()
    }

    /// Advances the virtual time to `end`.
    ///
    /// # Panics
    /// If an action violates the file or a call has no answer by its deadline.
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
                    let call_state = self.calls.get_mut(&call).expect("a known call");
                    let attempt_state = &mut call_state.attempts[number];
                    attempt_state.ended = Some(attempt_state.outcome);
                    let (outcome, elapsed) =
                        (attempt_state.outcome, self.now - attempt_state.sent_at);
                    if outcome == Outcome::Served && call_state.answered.is_none() {
                        call_state.answered = Some((Answer::Served, self.now));
                    }
                    let closed = call_state.answered.is_some();
                    let attempt = number as u32;
                    self.handle(Event::Outcome {
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
                    self.handle(Event::Timer);
                }
            }
            for call_state in self.calls.values().filter(|o| o.deadline < self.now) {
                assert!(
                    call_state.answered.is_some(),
                    "a call has no answer by the client's deadline"
                );
            }
        }
        self.now = end;
    }
}
