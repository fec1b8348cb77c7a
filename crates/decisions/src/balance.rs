//! All decisions of the balancer. Its interface (settings, events, actions) is `src/api.rs`; the mechanism
//! and the condition of each departure from it are in `docs/design.md`.
//!
//! A call goes to the less loaded of two random servers under budget, waits in the hold when all are full,
//! may pass one as the trial that can raise it, and is refused when no server is up.

use crate::api::*;
use crate::crowd::{self, turned_back, Crowd};
use crate::fleet::{Among, Domain, Fleet, Standing};
use crate::state::*;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, VecDeque};

/// Most steps of a budget: A105's default for `max_connections_per_subchannel`.
const STEP_CLAMP: u32 = 10;
/// Calls in flight at a server over all balancers, for a few cores: at first, and where mild strain leads.
const START_CONCURRENCY: f64 = 7.0;
const FLOOR_CONCURRENCY: f64 = 12.0;
/// What one round leaves of the concurrency at the least (TCP's cut), and what a refusal as full leaves.
const CUT_MOST: f64 = 0.5;
const CUT_FULL: f64 = 0.8;
/// An answer is strained beyond this many times its class's unloaded time: about two calls a core.
const STRAIN_TIMES: f64 = 3.0;
/// ... or beyond this share of its aim, whichever is shorter.
const STRAIN_AIM: f64 = 0.33;
/// Reported share of busy cores that is as much: above it waiting grows steeply.
const BUSY_FULL: f64 = 0.9;
/// Strain at which a group is used less: answers take about half their aim.
const STRAIN_DEEP: f64 = 1.5;
/// Weight of a new answer in what is learned of a server or a group: about ten are remembered.
const SMOOTHING: f64 = 0.1;
/// Weight of a new outcome in a server's share of failures, and the share that sets it aside: two in four.
const FAIL_WEIGHT: f64 = 0.2;
const FAIL_LIMIT: f64 = 0.3;
/// First backoff as a share of the longest aim, and the number of doublings up to its cap.
const BACKOFF_AIM: f64 = 0.25;
const BACKOFF_DOUBLINGS: u32 = 4;
/// Wait in the hold beyond which new calls are refused, as a share of their aim.
const WAIT_AIM: f64 = 0.1;
/// Times of the shortest aim that count at the most: patient calls must not fill the hold before brief ones.
const WAIT_LONGEST: f64 = 2.0;
/// Usual answer times that must be left before the aim for a second copy, and for a protected call to wait.
const SPARE_TIMES: f64 = 2.0;
/// Further attempts and second copies that each call earns, and the most that may be saved up.
const RETRY_EARNED: f64 = 0.2;
const RETRY_SAVED: f64 = 20.0;
/// Chance of a cold server to be drawn for a call, over its present share of the fleet's capacity.
const COLD_DUTY: f64 = 1.2;
/// Share of calls served that this chance goes by at the least: clients that try four times, at an offered
/// load of 1.4, then ask a cold server for no more than the least multiple that one is built to bear
/// (1.2 x 1.4 x 4 x 0.2 < 2).
const COLD_GOODPUT: f64 = 0.2;
/// Held calls looked at beyond the first, at an event: it bounds the CPU that a long hold costs.
const LOOK_PAST: usize = 16;
/// Share of the longest wait for a try that is taken for the same patience.
const PATIENCE_SAME: f64 = 0.95;

/// Servers set aside up to which any call may try one that is due.
const ASIDE_FEW: usize = 16;

/// Points of the result that asking servers for their load may cost, and the most servers asked for a call.
const ASK_POINTS: f64 = 0.02;
const ASK_MOST: usize = 4;
/// Servers that a balancer keeps to: enough for two rounds of asking.
const SUBSET: usize = 2 * ASK_MOST;
/// Share of its aim that a call waits for the answers.
const ASK_WAIT: f64 = 0.05;
/// Share of its aim that a call may be expected to take where it goes: more in hand there is a full budget.
const CROWD_AIM: f64 = 0.3;

/// Longest aims after which a server's own times count less than those of its kind.
const GROUP_AFTER: f64 = 8.0;

type Actions = Vec<Action>;

impl Budget {
    fn new(balancers: u32) -> Self {
        // Never under one call: among many balancers most are silent, and an even part starves the others.
        let of_all = |concurrency: f64| (concurrency / f64::from(balancers.max(1))).max(1.0);
        let (concurrency, floor) = (of_all(START_CONCURRENCY), of_all(FLOOR_CONCURRENCY));
        Budget {
            steps: 1,
            concurrency,
            floor,
            ..Budget::default()
        }
    }

    fn trial_served(&mut self) {
        self.doublings = 0;
        if self.steps < STEP_CLAMP {
            self.steps += 1;
        } else {
            // At the clamp the concurrency figure itself was learned too low: it takes the step instead.
            self.concurrency *= 1.0 + 1.0 / f64::from(STEP_CLAMP);
        }
    }

    fn back_off(&mut self, now: Micros, first: Micros) {
        self.backoff_end = now + (first << self.doublings);
        self.doublings = (self.doublings + 1).min(BACKOFF_DOUBLINGS);
    }

    fn cut(&mut self, to: f64, floor: f64) {
        let least = floor / f64::from(self.steps.max(1));
        self.concurrency = (self.concurrency * to.max(CUT_MOST)).max(least);
    }
}

impl Server {
    fn full(&self, now: Micros, rules: &EndpointRules) -> bool {
        let budget =
            f64::from(self.budget.steps) * self.budget.concurrency * self.warmth(now, rules);
        self.in_flight >= (budget + 0.5).max(1.0) as u32
    }

    /// Are enough answers in since its budget last changed to tell what the change did?
    fn settled(&self, now: Micros, usual: f64) -> bool {
        self.answers_since >= self.in_flight.max(1)
            && (self.answers_since as f64 * SMOOTHING >= 1.0
                || now.saturating_sub(self.changed) as f64 >= 2.0 * usual)
    }

    /// Where it stands at `now`, where answers usually take no longer than `usual`.
    fn standing(&self, now: Micros, rules: &EndpointRules, usual: f64) -> Standing {
        let (aside, paused) = (self.listed && self.budget.steps == 0, now < self.not_before);
        let warm_at = if self.started == 0 {
            0
        } else {
            self.started.saturating_add(rules.slow_start_duration)
        };
        let (warm, backing_off) = (now >= warm_at, now < self.budget.backoff_end);
        let up = self.usable(now) && warm;
        let full = up && self.full(now, rules);
        let settled = self.changed == 0 || self.settled(now, usual);
        let may_be_tried = full && !self.budget.trial_out && self.strain <= 1.0;
        // Times at which it stands elsewhere though nothing happened to it.
        let settles_at = self.changed.saturating_add((2.0 * usual) as Micros + 1);
        let times = [
            (paused, self.not_before),
            (!warm, warm_at),
            (
                (may_be_tried || aside) && backing_off,
                self.budget.backoff_end,
            ),
            (
                may_be_tried && !settled && self.answers_since >= self.in_flight.max(1),
                settles_at.max(now + 1),
            ),
        ];
        let due = times
            .iter()
            .filter(|t| self.listed && t.0)
            .map(|t| t.1)
            .min();
        Standing {
            listed: self.listed,
            up,
            room: up && !full,
            trial: may_be_tried && !backing_off && settled,
            troubled: self.listed && (aside || self.failing > FAIL_LIMIT),
            aside,
            tested: self.budget.trial_out,
            // All balancers' trials together could push a cold server over.
            back_at: self.budget.backoff_end.max(self.not_before).max(warm_at),
            cold_since: (self.listed && !warm).then_some(self.started.min(now)),
            due: due.unwrap_or(Micros::MAX),
        }
    }
}

impl Call {
    /// May it have another attempt, by their number?
    fn more(&self) -> bool {
        (self.attempts.len() as u32) < self.terms.max_attempts
    }

    fn may_be_refused(&self) -> bool {
        let harmless = matches!(
            self.class.idempotency,
            Idempotency::Idempotent
                | Idempotency::Keyed {
                    scope: DedupScope::All,
                    ..
                }
        );
        harmless || self.binding().is_none()
    }
}

/// Where a call goes.
enum Route {
    Send {
        server: usize,
        trial: bool,
    },
    Ask {
        servers: Vec<usize>,
    },
    Hold,
    Refuse {
        retry_after: Micros,
    },
    /// Refused, as the servers are crowded.
    TurnBack {
        retry_after: Micros,
    },
}

/// Decides for one client proxy.
#[derive(Clone, Debug)]
pub struct Balancer {
    settings: Settings,
    random: Pcg32,
    fleet: Fleet,
    calls: FxHashMap<CallId, Call>,
    hold: VecDeque<CallId>,
    /// Calls that wait for the load of servers.
    asking: Vec<CallId>,
    /// Answer times of late, and what their servers held then for their size: all servers' together.
    told: (f64, f64),
    /// Loads told of late over what servers bear: asking pays where this is high.
    pressure: f64,
    /// Strain of late of each machine kind in each zone.
    groups: BTreeMap<(ZoneId, KindId), Group>,
    /// Crowding that servers told of with their answers.
    crowd: Crowd,
    wakes: Timetable,
    paces: Vec<Pace>,
    /// Share of the calls of late that were served.
    goodput: f64,
    retries: f64,
    timer_at: Micros,
    ask_at: Micros,
    ask_failures: u32,
    refusing: bool,
}

impl Balancer {
    /// A balancer that draws all its random numbers from `seed`.
    pub fn new(seed: u64, settings: Settings) -> Self {
        Balancer {
            random: Pcg32::seed_from_u64(seed),
            paces: settings.classes.iter().map(Pace::of).collect(),
            fleet: Fleet::default(),
            settings,
            calls: FxHashMap::default(),
            hold: VecDeque::new(),
            asking: Vec::new(),
            told: (0.0, 0.0),
            pressure: 1.0,
            groups: BTreeMap::new(),
            crowd: Crowd::default(),
            wakes: Timetable::default(),
            goodput: 1.0,
            retries: RETRY_SAVED,
            timer_at: Micros::MAX,
            ask_at: Micros::MAX,
            ask_failures: 0,
            refusing: false,
        }
    }

    /// Takes one event at time `now` and appends what is to be done.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        while let Some(place) = self.fleet.overdue(now) {
            self.refile(now, place);
        }
        match event {
            Event::Start => actions.extend(
                self.settings
                    .poll_endpoint_list
                    .then_some(Action::Subscribe),
            ),
            Event::ProbeCompleted {
                endpoint: server,
                outcome,
                load,
                ..
            } => self.probed(now, server, outcome, load, actions),
            Event::EndpointList { kind, entries } => self.members(now, kind, &entries),
            Event::Request {
                call,
                class,
                time_left,
                is_retry: resent,
                policy: terms,
                ..
            } if !self.calls.contains_key(&call) => {
                self.request(now, call, (class, time_left, !resent), terms, actions);
            }
            Event::Request { .. } => {}
            Event::Outcome {
                call,
                attempt,
                outcome,
                elapsed,
                closed,
                load,
            } => {
                self.report(now, call, attempt, load);
                if let Some((mut tried, class_id)) = self.outcome(call, attempt, outcome) {
                    tried.sent = tried.sent.min(now.saturating_sub(elapsed));
                    self.learn(now, tried, class_id, outcome, actions);
                    if let Some(place) = self.fleet.place(tried.server) {
                        self.refile(now, place);
                    }
                    self.proceed(now, call, outcome, closed, actions);
                }
            }
            Event::Streaming { call, attempt } => {
                if let Some(c) = self.calls.get_mut(&call).filter(|c| !c.ended) {
                    c.streaming = true;
                    self.cancel_others(call, Some(attempt), actions);
                    self.wakes.set(call, None);
                }
            }
            Event::ClientGone { call } => {
                self.end(call);
                self.cancel_others(call, None, actions);
                self.forget(call);
            }
            Event::Reconfigure {
                settings,
                redefined_classes: fresh,
            } => self.reconfigure(now, *settings, &fresh),
            Event::Timer => self.timer_at = Micros::MAX,
        }
        self.wake_calls(now, actions);
        self.drain_hold(now, actions);
        if now >= self.ask_at {
            self.ask_at = Micros::MAX;
            actions.push(Action::Subscribe);
        }
        self.set_timer(now, actions);
    }

    /// What is known of a server; None: nothing.
    pub fn view(&self, now: Micros, server: EndpointId) -> Option<EndpointView> {
        let server = &self.fleet[self.fleet.place(server)?];
        let Server {
            in_flight,
            strain,
            failing,
            ref budget,
            ..
        } = *server;
        let concurrency = f64::from(budget.steps) * budget.concurrency;
        let (warmth, set_aside) = (server.warmth(now, &self.settings.rules), budget.steps == 0);
        Some(EndpointView {
            listed: server.listed,
            in_flight,
            concurrency_limit: concurrency,
            latency_ratio: strain,
            failure_rate: failing,
            slow_start_capacity: warmth,
            ejected: set_aside,
        })
    }

    /// Servers that the list names ready, and how many of these are set aside or fail. Never more than half
    /// are set aside, so that alone would not tell of a fleet that fails as a whole.
    pub fn listed(&self) -> (usize, usize) {
        (self.fleet.listed(), self.fleet.troubled())
    }

    /// Calls that are known, those in the hold, and the trials, second copies and resends that are saved up.
    pub fn totals(&self) -> (usize, usize, f64) {
        (self.calls.len(), self.hold.len(), self.retries)
    }

    fn members(&mut self, now: Micros, kind: ListUpdateKind, entries: &[EndpointEntry]) {
        if kind == ListUpdateKind::Failed {
            // Jitter keeps balancers that lost the list together from asking together again.
            let wait = (self.settings.rules.list_poll_interval / 32) << self.ask_failures.min(3);
            self.ask_failures += 1;
            if self.settings.poll_endpoint_list {
                self.ask_at = now + wait / 2 + (self.unit() * wait as f64) as Micros;
            }
            return;
        }
        if kind != ListUpdateKind::Cached {
            self.ask_failures = 0;
        }
        if kind != ListUpdateKind::Delta {
            self.fleet.begin_list();
        }
        for entry in entries {
            let found = self.fleet.place(entry.endpoint);
            // A restart under the same number is a new, cold process: nothing learned of the old one holds.
            let same = found.filter(|&place| entry.started <= self.fleet[place].started);
            let place = same.unwrap_or_else(|| {
                let budget = Budget::new(self.settings.balancers);
                let mut server = Server::new(entry, self.settings.weight_source, budget);
                if let Some(old) = found.map(|place| &self.fleet[place]) {
                    (server.in_flight, server.budget.trial_out) =
                        (old.in_flight, old.budget.trial_out);
                }
                server.rank = self.random.gen();
                self.fleet.insert(server)
            });
            self.fleet.named(place);
            self.fleet.place_in(place, entry.zone, entry.cell);
            self.list(now, place, entry.status == EndpointStatus::Ready);
        }
        if kind != ListUpdateKind::Delta {
            for place in self.fleet.unnamed() {
                self.list(now, place, false);
            }
        }
        self.fleet.forget_left();
    }

    /// Whether a server takes calls, by the list.
    fn list(&mut self, now: Micros, place: usize, listed: bool) {
        self.fleet[place].listed = listed;
        if !listed {
            self.fleet.leaves(place);
        }
        self.refile(now, place);
    }

    /// Notes where a server stands after a change to it.
    fn refile(&mut self, now: Micros, place: usize) {
        let standing = self.fleet[place].standing(now, &self.settings.rules, self.longest_usual());
        self.fleet.file(place, standing);
    }

    /// Classes that stay keep what was learned of them. Open calls carry their own class and terms with them.
    fn reconfigure(&mut self, now: Micros, settings: Settings, fresh: &[ClassId]) {
        let known = self.paces.len();
        self.paces
            .extend(settings.classes.iter().skip(known).map(Pace::of));
        for &ClassId(place) in fresh {
            if let (Some(pace), Some(class)) =
                (self.paces.get_mut(place), settings.classes.get(place))
            {
                *pace = Pace::of(class);
            }
        }
        self.settings = settings;
        for place in self.fleet.slots() {
            self.refile(now, place);
        }
    }

    // Calls.

    fn request(
        &mut self,
        now: Micros,
        id: CallId,
        (class, left, lot): (ClassId, Micros, bool),
        terms: CallPolicy,
        actions: &mut Actions,
    ) {
        // A class that the settings do not name is unsafe.
        let unknown = Class {
            latency_objective: left,
            deadline: left,
            ..Class::default()
        };
        let mut spec = self
            .settings
            .classes
            .get(class.0)
            .copied()
            .unwrap_or(unknown);
        if terms.non_idempotent {
            spec.idempotency = Idempotency::NonIdempotent;
        }
        // Settings may change while it is open: what they allow now is its own from here on.
        let limits = &self.settings.limits;
        let hedge = if limits.hedging {
            terms.hedge
        } else {
            Hedge::Never
        };
        let terms = CallPolicy {
            max_attempts: terms.max_attempts.min(limits.max_attempts),
            hedge,
            ..terms
        };
        let call = Call {
            class: spec,
            class_id: class.0,
            terms,
            arrived: now,
            asked: now.saturating_sub(self.spent(class.0, &spec, left)),
            deadline: now.saturating_add(left),
            lot,
            chance: self.unit(),
            ..Call::default()
        };
        self.calls.insert(id, call);
        self.retries = (self.retries + RETRY_EARNED).min(RETRY_SAVED);
        self.paces
            .iter_mut()
            .skip(class.0)
            .take(1)
            .for_each(|p| p.asked += 1.0);
        let waited = self
            .hold
            .front()
            .map_or(0, |head| now.saturating_sub(self.calls[head].arrived));
        if waited > self.wait_limit(id) {
            self.give_up(id, waited, actions);
        } else {
            self.enqueue(now, id, false);
        }
    }

    /// How long ago did the client first ask? One that waits less for this try than others do has used up the
    /// rest. Only as many are taken to have tried before as were turned back: patience may be unequal.
    fn spent(&mut self, class_id: usize, class: &Class, left: Micros) -> Micros {
        let Some(pace) = self.paces.get_mut(class_id) else {
            return 0;
        };
        pace.patience = pace.patience.max(left);
        if left as f64 >= pace.patience as f64 * PATIENCE_SAME || pace.turned_back == 0 {
            return 0;
        }
        pace.turned_back -= 1;
        class.deadline.saturating_sub(left)
    }

    /// How long may the hold's head have waited for this call to join? Without a bound all would be served
    /// late. Classes of much worth for their work wait longest.
    fn wait_limit(&self, id: CallId) -> Micros {
        let call = &self.calls[&id];
        let usual = self.usual(call.class_id, call.class.latency_objective);
        let aim = call.aim_at().saturating_sub(call.arrived) as f64;
        let shortest = self
            .settings
            .classes
            .iter()
            .map(|c| c.latency_objective)
            .min()
            .unwrap_or(0) as f64;
        let limit = aim.min(WAIT_LONGEST * shortest) * WAIT_AIM;
        let protected = if self.protected(call) {
            aim - SPARE_TIMES * usual
        } else {
            0.0
        };
        limit.max(protected).min(aim - usual).max(0.0) as Micros
    }

    fn protected(&self, call: &Call) -> bool {
        let all = self.paces.iter().zip(&self.settings.classes);
        let (worth, work) = all.fold((0.0, 0.0), |(w, t), (p, c)| {
            (w + p.asked * c.priority_weight, t + p.asked * p.base)
        });
        let base = self.paces.get(call.class_id).map_or(f64::MAX, |p| p.base);
        let density = call.class.priority_weight / base * work / worth.max(f64::MIN_POSITIVE);
        let goal = &self.settings.goal;
        goal.overall * density > goal.overall + goal.worst_class
    }

    fn usual(&self, class_id: usize, aim: Micros) -> f64 {
        self.paces
            .get(class_id)
            .map_or(aim as f64 / 4.0, |p| p.mean)
    }

    /// Puts a call into the hold; one that goes again is older than those waiting and goes to the front.
    fn enqueue(&mut self, now: Micros, id: CallId, again: bool) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.held = true;
        call.asks.clear();
        let (class_id, aim, end) = (call.class_id, call.class.latency_objective, call.aim_at());
        // Its way out: when a usual answer could not come in time, and always before the client gives up.
        let wake = end
            .saturating_sub(self.usual(class_id, aim) as Micros)
            .max(now + 1);
        let shed = self.sparse() && self.calls[&id].found_full == 0;
        let wake = if shed {
            wake.min(now + self.wait_limit(id))
        } else {
            wake
        };
        let last = self.calls[&id]
            .deadline
            .saturating_sub(self.settings.tick)
            .max(now);
        self.wakes.set(id, Some(wake.min(last)));
        if again {
            self.hold.push_front(id);
        } else {
            self.hold.push_back(id);
        }
    }

    /// Notes an attempt's end; late, double and unknown ones change nothing.
    fn outcome(&mut self, id: CallId, attempt: u32, outcome: Outcome) -> Option<(Attempt, usize)> {
        let call = self.calls.get_mut(&id)?;
        let tried = call
            .attempts
            .get_mut(attempt as usize)
            .filter(|a| a.effect == Effect::Out)?;
        tried.effect = if outcome.proves_not_executed() {
            Effect::NeverRan
        } else {
            Effect::MayHaveRan
        };
        Some((*tried, call.class_id))
    }

    /// After an attempt's end: the call's end, another attempt, or nothing while a copy is out.
    fn proceed(
        &mut self,
        now: Micros,
        id: CallId,
        outcome: Outcome,
        closed: bool,
        actions: &mut Actions,
    ) {
        if closed || outcome == Outcome::Served {
            self.goodput += (1.0 - self.goodput) * SMOOTHING;
            self.end(id);
            self.cancel_others(id, None, actions);
        } else if self
            .calls
            .get(&id)
            .is_some_and(|c| !c.ended && !c.held && !c.rests && c.out() == 0)
        {
            self.again(now, id, outcome, actions);
        }
        self.forget(id);
    }

    /// As many waiting as in work, or nearly all cores busy, is as much as an answer at its limit.
    fn report(&mut self, now: Micros, id: CallId, attempt: u32, load: LoadReport) {
        let Some(tried) = self
            .calls
            .get(&id)
            .and_then(|c| c.attempts.get(attempt as usize))
        else {
            return;
        };
        let Some(place) = self.fleet.place(tried.server) else {
            return;
        };
        let crowding = match load {
            LoadReport {
                in_flight: Some(all),
                queued: Some(waiting),
                ..
            } => waiting / (all - waiting).max(1.0),
            LoadReport {
                cpu_utilization: Some(busy),
                ..
            } => busy / BUSY_FULL,
            _ => return,
        };
        let crowding = if crowding.is_finite() {
            crowding.clamp(0.0, crowd::MOST)
        } else {
            0.0
        };
        self.fleet[place].crowding = crowding;
        // How busy cores are tells of no crowd: they are all busy long before one waits.
        if load.queued.is_some() && self.sparse() {
            self.crowd.told(now, &mut self.fleet[place].word, crowding);
        }
    }

    /// What a server's answer, or its absence, teaches.
    fn learn(
        &mut self,
        now: Micros,
        tried: Attempt,
        class_id: usize,
        outcome: Outcome,
        actions: &mut Actions,
    ) {
        let Attempt {
            server: id,
            sent,
            trial,
            ..
        } = tried;
        let elapsed = now.saturating_sub(sent);
        let (first, longest, longest_aim) = (
            self.first_backoff(),
            self.longest_usual(),
            self.longest_aim(),
        );
        let (may_set_aside, sparse) = (self.may_set_aside(), self.sparse());
        let Some(place) = self.fleet.place(id) else {
            return;
        };
        let pace = self.paces.get_mut(class_id);
        let aim = self
            .settings
            .classes
            .get(class_id)
            .map_or(f64::MAX, |c| c.latency_objective as f64);
        let limit = pace.as_ref().map_or(f64::MAX, |p| {
            (p.base * STRAIN_TIMES).min(aim * STRAIN_AIM).max(p.base)
        });
        let server = &mut self.fleet[place];
        server.in_flight = server.in_flight.saturating_sub(1);
        let late = if outcome == Outcome::TimedOut && server.answered > sent {
            2.0
        } else {
            0.0
        };
        let mut strain = (elapsed as f64 / limit).clamp(late, 4.0);
        let failed = match outcome {
            Outcome::Served => false,
            // Late while others are answered: the server is slow, not gone, and is sent less, not nothing.
            Outcome::TimedOut if server.answered > sent => false,
            Outcome::Cancelled | Outcome::NotSent => {
                // A loser called off was at least this slow.
                server.strain += (strain - server.strain).max(0.0) * SMOOTHING;
                server.budget.trial_out &= !trial;
                return;
            }
            _ => true,
        };
        // A time-out proves less than an error: a crowded server may owe a lone call for that long. So does a
        // reset, which tells of one connection: those of a server that is gone come in numbers.
        let unclear = matches!(outcome, Outcome::TimedOut | Outcome::Reset);
        let weight = if unclear {
            FAIL_WEIGHT / 2.0
        } else {
            FAIL_WEIGHT
        };
        server.failing += (f64::from(u8::from(failed)) - server.failing) * weight;
        let group = self
            .groups
            .entry((server.zone, server.kind))
            .or_insert(Group { strain, share: 1.0 });
        let seen = if failed { STRAIN_DEEP * 2.0 } else { strain };
        group.strain += (seen - group.strain) * SMOOTHING;
        let change = (STRAIN_DEEP - seen).max(-STRAIN_DEEP) * SMOOTHING;
        group.share = (group.share * change.exp()).clamp(SMOOTHING / 2.0, 1.0);
        // Few answers a second must not make the strain a memory of long ago.
        let gap = now.saturating_sub(server.heard) as f64 / longest_aim;
        let weight = SMOOTHING.max(1.0 - (-gap).exp());
        server.heard = now;
        if !failed {
            strain = strain.max(server.crowding);
            server.strain += (strain - server.strain) * weight;
            server.answers_since += 1;
        }
        // Answers alone would make the mean that of the lucky: late ones count for what was waited.
        if let Some(pace) = pace.filter(|_| !failed) {
            pace.answered(now, elapsed as f64);
        }
        if tried.crowd > 0.0 && matches!(outcome, Outcome::Served | Outcome::TimedOut) {
            let faded = 1.0 - SMOOTHING / 2.0;
            self.told = (
                self.told.0 * faded + elapsed as f64,
                self.told.1 * faded + tried.crowd,
            );
        }
        if outcome == Outcome::Served {
            server.answered = now;
        }
        // What is crowded most tells nothing: it answers nothing in time, or turns away unseen.
        if sparse && matches!(outcome, Outcome::TimedOut | Outcome::Rejected) {
            self.crowd.silent(now, &mut server.word);
        }
        // Latency well above an unloaded server's is the sign, beside refusals, of too much in flight.
        if outcome == Outcome::Rejected {
            server.budget.cut(CUT_FULL, 0.0);
            // Fast refusals leave it looking idle: without a pause it would draw in call after call.
            server.not_before = server.not_before.max(now + longest as Micros);
        } else if server.strain > 1.0 && server.settled(now, longest) {
            let floor = server.budget.floor
                * if server.strain > STRAIN_DEEP {
                    CUT_MOST / 2.0
                } else {
                    1.0
                };
            server.budget.cut(1.0 / server.strain, floor);
            // The cut answers for part of it: else one jam would be cut for again and again.
            server.strain = server.strain.sqrt();
            (server.answers_since, server.changed) = (0, now);
        }
        let was_up = server.budget.steps > 0;
        // A broken connection is not the end of a server that answers: its failures are counted.
        let (refused, broke) = (outcome == Outcome::ConnectFailed, outcome == Outcome::Reset);
        if refused || broke {
            let in_row = server.answered <= std::mem::replace(&mut server.broke, now);
            let last = may_set_aside && in_row && (refused || server.answered == 0);
            if (refused || in_row) && (server.budget.steps > 1 || last) {
                server.budget.steps = server.budget.steps.saturating_sub(1);
            }
        }
        server.budget.trial_out &= !trial;
        if trial {
            if outcome != Outcome::Served {
                server.budget.back_off(now, first);
            } else if was_up && server.strain > 1.0 {
                server.budget.backoff_end = now + first;
            } else if was_up || server.failing < FAIL_LIMIT / 2.0 {
                server.budget.trial_served();
                (server.answers_since, server.changed) = (0, now);
                if !was_up {
                    actions.push(Action::Log {
                        text: format!("server {} taken back", server.id.0),
                    });
                }
            } else {
                // One good answer of a server that fails most does not bring it back: several in a row do.
                server.budget.doublings = 0;
            }
        }
        // Fast errors and refusals make a server look idle.
        if was_up && server.failing > FAIL_LIMIT && may_set_aside {
            server.budget.steps = 0;
        }
        if was_up && server.budget.steps == 0 {
            server.budget.back_off(now, first);
            server.strain = 1.0;
            actions.push(Action::Log {
                text: format!("server {} set aside", server.id.0),
            });
        }
    }

    /// Never most of the fleet: trouble seen everywhere is not the servers' own.
    fn may_set_aside(&self) -> bool {
        (self.fleet.aside() + 1) * 2 <= self.fleet.listed()
    }

    /// After an attempt that did not serve: again, or the end.
    fn again(&mut self, now: Micros, id: CallId, outcome: Outcome, actions: &mut Actions) {
        let next = now.saturating_add(self.calls[&id].terms.backoff);
        let some = match self.domain(next, id) {
            Some(Domain::All) => self.fleet.listed() > 0,
            Some(Domain::Only(places)) => !places.is_empty(),
            None => false,
        };
        let call = &self.calls[&id];
        let in_time = next as f64 + self.usual(call.class_id, call.class.latency_objective)
            < call.aim_at() as f64;
        let allowed = call.terms.retry_on == RetryOn::AnyFailure || call.binding().is_none();
        let paid = self.retries >= 1.0 || outcome == Outcome::ConnectFailed;
        if !(in_time && some && allowed && call.more() && paid && !call.streaming) {
            self.give_up(id, 0, actions);
            return;
        }
        self.retries = (self.retries - 1.0).max(0.0);
        match self.calls.get_mut(&id) {
            Some(call) if call.terms.backoff > 0 => {
                call.rests = true;
                self.wakes.set(id, Some(next));
            }
            _ => self.enqueue(now, id, true),
        }
    }

    fn give_up(&mut self, id: CallId, retry_after: Micros, actions: &mut Actions) {
        let class_id = self.calls[&id].class_id;
        self.paces
            .iter_mut()
            .skip(class_id)
            .take(1)
            .for_each(|p| p.turned_back += 1);
        self.goodput -= self.goodput * SMOOTHING;
        if self.calls[&id].may_be_refused() {
            let retry_after = retry_after.min(self.settings.limits.max_retry_after);
            actions.push(Action::Reject {
                call: id,
                retry_after,
            });
        } else {
            actions.push(Action::Fail { call: id });
        }
        self.end(id);
        self.cancel_others(id, None, actions);
        self.forget(id);
    }

    fn end(&mut self, id: CallId) {
        self.wakes.set(id, None);
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.ended = true;
        call.asks.clear();
        if std::mem::take(&mut call.held) {
            if let Some(index) = self.hold.iter().position(|&held| held == id) {
                self.hold.remove(index);
            }
        }
    }

    fn cancel_others(&mut self, id: CallId, but: Option<u32>, actions: &mut Actions) {
        let Some(call) = self.calls.get(&id).filter(|_| self.settings.limits.cancel) else {
            return;
        };
        let out = (0..)
            .zip(&call.attempts)
            .filter(|(n, a)| a.effect == Effect::Out && Some(*n) != but);
        actions.extend(out.map(|(attempt, _)| Action::Cancel { call: id, attempt }));
    }

    fn forget(&mut self, id: CallId) {
        if self.calls.get(&id).is_some_and(|c| c.ended && c.out() == 0) {
            self.calls.remove(&id);
        }
    }

    /// Where a call may go by what it has run: anywhere, to those that drop its repeats, or nowhere. Proof
    /// over all its attempts decides, never the last outcome alone.
    fn domain(&mut self, now: Micros, id: CallId) -> Option<Domain> {
        let call = &self.calls[&id];
        match (call.binding(), call.class.idempotency) {
            (None, _) | (_, Idempotency::Idempotent) => Some(Domain::All),
            (Some(_), Idempotency::NonIdempotent) => None,
            (Some(first), Idempotency::Keyed { scope, window })
                if now.saturating_add(self.settings.tick) < first.sent.saturating_add(window) =>
            {
                let place = (scope, first.zone, first.cell);
                Some(self.fleet.sharing(&mut self.random, place))
            }
            _ => None,
        }
    }

    /// Are there servers among these that none of the call's attempts went to?
    fn any_untried(&self, call: &Call, among: Among, domain: &Domain) -> bool {
        let in_set = |place: usize| self.fleet.contains(among, place);
        if call.attempts.is_empty() {
            return true;
        }
        match domain {
            Domain::Only(places) => places
                .iter()
                .any(|&p| in_set(p) && call.untried(&self.fleet[p])),
            Domain::All => {
                let tried = call.attempts.iter().enumerate().filter(|(n, a)| {
                    let first = call.attempts[..*n].iter().all(|b| b.server != a.server);
                    first && self.fleet.place(a.server).is_some_and(in_set)
                });
                tried.count() < self.fleet.count(among)
            }
        }
    }

    fn route(&mut self, now: Micros, id: CallId) -> Route {
        let rules = self.settings.rules;
        let listed = self.fleet.listed();
        if listed > 0 && self.fleet.aside() == listed {
            let wait = self.fleet.first_back().saturating_sub(now);
            return Route::Refuse {
                retry_after: wait.max(self.first_backoff()),
            };
        }
        let open = self.fleet.count(Among::Room)
            + self.fleet.count(Among::Trial)
            + self.fleet.count(Among::Cold);
        if open == 0 {
            return Route::Hold;
        }
        if let Some(server) = self.cold_draw(now, id) {
            return Route::Send {
                server,
                trial: false,
            };
        }
        let Some(domain) = self.domain(now, id) else {
            return Route::Hold;
        };
        // Cold ones only if no other is listed. That the others fail or are full for now is no reason: all
        // proxies find so together, and what the whole fleet bears would go to the few that bear least.
        let (up, room) = match self.fleet.count(Among::Cold) {
            cold if cold == listed => (Among::Cold, Among::Cold),
            _ => (Among::Up, Among::Room),
        };
        let fresh = self.any_untried(&self.calls[&id], up, &domain);
        let sparse = self.sparse();
        let Balancer {
            fleet,
            calls,
            groups,
            random,
            ..
        } = self;
        let call = &calls[&id];
        let fits = |s: &Server| {
            let group = || {
                groups
                    .get(&(s.zone, s.kind))
                    .is_none_or(|g| g.share >= call.chance)
            };
            s.usable(now) && (!fresh || call.untried(s)) && (!sparse || group())
        };
        let with_room = |s: &Server| fits(s) && !s.full(now, &rules);
        // A stable few, more when they were full: they bound connections, and what they show is fresh.
        let few = SUBSET << call.found_full.min(BACKOFF_DOUBLINGS);
        // Not the own zone first: what a zone's proxies ask for is no measure of what its servers bear, no
        // proxy sees the others', and full servers cost more than crossing does.
        let stable = if sparse {
            fleet.preferred((room, &domain), few, with_room)
        } else {
            Vec::new()
        };
        let first = if sparse {
            if let Some(servers) = (!stable.is_empty())
                .then(|| self.ask(now, id, &stable))
                .flatten()
            {
                return if servers.is_empty() {
                    Route::Hold
                } else {
                    Route::Ask { servers }
                };
            }
            self.two_choices(now, &stable)
        } else {
            // Two of all that are up; one that is full is redrawn among those with room.
            let pair = fleet.draw(random, (up, &domain), 2, fits);
            let first = self
                .best(now, &pair)
                .filter(|&server| !self.fleet[server].full(now, &rules));
            first.or_else(|| {
                let Balancer {
                    fleet,
                    calls,
                    random,
                    ..
                } = self;
                let call = &calls[&id];
                let fits = |s: &Server| {
                    s.usable(now) && (!fresh || call.untried(s)) && !s.full(now, &rules)
                };
                let pair = fleet.draw(random, (room, &domain), 2, fits);
                self.best(now, &pair)
            })
        };
        if let Some(server) = first {
            let (place, call) = (&self.fleet[server], &self.calls[&id]);
            let crowding = self.crowd.expected(now, place.word);
            if sparse && call.attempts.is_empty() && call.chance < turned_back(crowding) {
                return Route::TurnBack {
                    retry_after: self.first_backoff(),
                };
            }
            return Route::Send {
                server,
                trial: false,
            };
        }
        let Balancer {
            fleet,
            calls,
            groups,
            random,
            ..
        } = self;
        let call = &calls[&id];
        let fits = |s: &Server| {
            let group = || {
                groups
                    .get(&(s.zone, s.kind))
                    .is_none_or(|g| g.share >= call.chance)
            };
            (!fresh || call.untried(s)) && (!sparse || group())
        };
        let pair = fleet.draw(random, (Among::Trial, &domain), 2, fits);
        self.best(now, &pair)
            .map_or(Route::Hold, |server| Route::Send {
                server,
                trial: true,
            })
    }

    /// Servers to ask before this call goes: a balancer of little traffic knows nothing fresh of nearly all.
    fn ask(&mut self, now: Micros, id: CallId, room: &[usize]) -> Option<Vec<usize>> {
        let (limits, reports) = (self.settings.limits, self.settings.load_reporting);
        let told =
            limits.probes && reports.mode == ReportMode::OnProbe && reports.includes_in_flight;
        let most = (ASK_POINTS / self.settings.costs.probe.max(f64::MIN_POSITIVE)) as usize;
        let call = &self.calls[&id];
        let usual = self.usual(call.class_id, call.class.latency_objective);
        let in_time = (now + self.ask_wait(call)) as f64 + usual < call.aim_at() as f64;
        if !told || !self.sparse() || most < 2 || !in_time {
            // What has found all full does not go blindly in the end.
            return (call.found_full > 0).then(Vec::new);
        }
        // Half full, all calls ask. An idle fleet needs less; some ask all the same, to learn when that ends.
        if call.found_full == 0 && call.chance > (self.pressure * 2.0).powi(2).max(SMOOTHING) {
            return None;
        }
        Some(self.draw(
            room,
            if call.ask_next > now {
                0
            } else {
                most.min(ASK_MOST)
            },
        ))
    }

    /// Is an even part of a server's calls under one? Then own calls in flight tell little.
    fn sparse(&self) -> bool {
        let balancers = f64::from(self.settings.balancers);
        balancers > START_CONCURRENCY && balancers > self.fleet.listed() as f64
    }

    fn ask_wait(&self, call: &Call) -> Micros {
        ((call.class.latency_objective as f64 * ASK_WAIT) as Micros).max(self.settings.tick)
    }

    fn start_asking(&mut self, now: Micros, id: CallId, servers: &[usize], actions: &mut Actions) {
        let wake = now + self.ask_wait(&self.calls[&id]);
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        (call.asks, call.asks_at) = (servers.iter().map(|&i| self.fleet[i].id).collect(), now);
        actions.extend(
            call.asks
                .iter()
                .map(|&server| Action::Probe { endpoint: server }),
        );
        self.asking.push(id);
        self.wakes.set(id, Some(wake));
    }

    /// A server told its load, or did not answer: then it is taken for the most loaded.
    fn probed(
        &mut self,
        now: Micros,
        id: EndpointId,
        outcome: Outcome,
        load: LoadReport,
        actions: &mut Actions,
    ) {
        let Some(place) = self.fleet.place(id) else {
            return;
        };
        let told = load
            .in_flight
            .filter(|l| outcome == Outcome::Served && l.is_finite());
        let server = &mut self.fleet[place];
        (server.in_hand, server.asked) = (told.map_or(f64::MAX, |l| l.max(0.0)), now);
        for call in std::mem::take(&mut self.asking) {
            let Some(c) = self.calls.get(&call).filter(|c| !c.asks.is_empty()) else {
                continue;
            };
            let waits = |&id: &EndpointId| {
                self.fleet
                    .place(id)
                    .is_some_and(|p| self.fleet[p].asked < c.asks_at)
            };
            if c.asks.iter().any(waits) {
                self.asking.push(call);
            } else {
                self.decide(now, call, actions);
            }
        }
    }

    /// The servers asked have told their load, or time is up: the call goes to the less loaded.
    fn decide(&mut self, now: Micros, id: CallId, actions: &mut Actions) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let (asked, since) = (std::mem::take(&mut call.asks), call.asks_at);
        let (rules, most, domain) = (
            self.settings.rules,
            self.crowd_limit(id),
            self.domain(now, id),
        );
        // One that has started anew meanwhile is cold: it gets lots, and no more.
        let cold_only = self.fleet.count(Among::Cold) == self.fleet.listed();
        let mut places = Vec::new();
        for server in asked {
            let Some(place) = self.fleet.place(server) else {
                continue;
            };
            let server = &mut self.fleet[place];
            if server.asked < since {
                (server.in_hand, server.asked) = (f64::MAX, now);
            }
            let (server, load) = (&self.fleet[place], self.fleet[place].load(now, &rules));
            let held = server.in_hand / (server.in_hand + 1.0);
            self.pressure += ((held * load / most).min(1.0) - self.pressure) * SMOOTHING;
            // What all balancers hold there counts against the budget of all: else each adds its one call.
            let room = !server.full(now, &rules) && (load <= most || server.in_hand < 1.0);
            let warm = cold_only || server.warmth(now, &rules) >= 1.0;
            if warm && room && server.usable(now) && domain.as_ref().is_some_and(|d| d.holds(place))
            {
                places.push(place);
            }
        }
        match self.best(now, &places) {
            Some(server) => self.send(now, id, server, false, actions),
            None if self.calls[&id].out() > 0 => {}
            None => {
                let wait = self.ask_wait(&self.calls[&id]);
                if let Some(call) = self.calls.get_mut(&id) {
                    call.ask_next = now + (wait << call.found_full.min(BACKOFF_DOUBLINGS));
                    call.found_full += 1;
                }
                self.enqueue(now, id, true);
            }
        }
    }

    /// Calls in hand for a server's size at which this call would take too long, learned from all servers'
    /// answers as one. It starts as if some had shown the start figure: all come before it is learned.
    fn crowd_limit(&self, id: CallId) -> f64 {
        let start = START_CONCURRENCY * self.fleet.listed() as f64
            / self.fleet.size().max(f64::MIN_POSITIVE);
        let aim = self.calls[&id].class.latency_objective as f64 * CROWD_AIM;
        let (time, crowd) = (
            self.told.0 + aim / SMOOTHING,
            self.told.1 + start / SMOOTHING,
        );
        aim * crowd / time.max(1.0)
    }

    /// All balancers hear of a cold server together, and each finds it idle. It gets calls by lot,
    /// with the chance of its present share of the capacity. Repeats draw none: they come in storms. Where
    /// they are not marked, or balancers are many, the share of calls that are served bounds it: all together
    /// serve no more than all servers can do, so that the lots of all balancers stay within a cold server's
    /// part of that, however often clients ask (`tests/cold.rs`).
    fn cold_draw(&mut self, now: Micros, id: CallId) -> Option<usize> {
        let call = self
            .calls
            .get_mut(&id)
            .filter(|c| c.lot && c.attempts.is_empty())?;
        call.lot = false;
        if self.fleet.count(Among::Cold) == 0 {
            return None;
        }
        let (lot, rules) = (self.unit(), self.settings.rules);
        let cold = self.fleet.cold_size(now, &rules);
        let all = self.fleet.size() - self.fleet.cold_full_size() + cold;
        // First tries alone draw lots where repeats are marked: a few balancers' stay within bounds by that.
        let first_alone = self.settings.clients_mark_retries && !self.sparse();
        let goodput = if first_alone {
            1.0
        } else {
            self.goodput.max(COLD_GOODPUT)
        };
        if lot * all >= cold * COLD_DUTY * goodput {
            return None;
        }
        let Balancer { fleet, random, .. } = self;
        let place = fleet.draw_cold(random, |s| s.warmth(now, &rules))?;
        let server = &self.fleet[place];
        (server.usable(now) && !server.full(now, &rules)).then_some(place)
    }

    fn two_choices(&mut self, now: Micros, among: &[usize]) -> Option<usize> {
        let pair = self.draw(among, 2);
        self.best(now, &pair)
    }

    /// Random servers, each with a chance in proportion to its size.
    fn draw(&mut self, among: &[usize], count: usize) -> Vec<usize> {
        let Balancer { fleet, random, .. } = self;
        let drawn = among.choose_multiple_weighted(random, count, |&i| fleet[i].size);
        drawn
            .map(|places| places.copied().collect())
            .unwrap_or_default()
    }

    /// The less loaded by own calls in flight; what servers told, then the strain expected break ties.
    fn best(&self, now: Micros, among: &[usize]) -> Option<usize> {
        let rules = &self.settings.rules;
        let load = |i: usize| {
            let server = &self.fleet[i];
            (
                server.in_flight,
                server.load(now, rules),
                self.expected(now, server),
            )
        };
        among
            .iter()
            .copied()
            .reduce(|a, b| if load(b) < load(a) { b } else { a })
    }

    /// The strain to expect: a server's own of late, its group's the longer ago that was.
    fn expected(&self, now: Micros, server: &Server) -> f64 {
        let known =
            (-(now.saturating_sub(server.heard) as f64) / (GROUP_AFTER * self.longest_aim())).exp();
        let group = self
            .groups
            .get(&(server.zone, server.kind))
            .map_or(0.0, |g| g.strain);
        server.strain * known + group * (1.0 - known)
    }

    fn send(&mut self, now: Micros, id: CallId, place: usize, trial: bool, actions: &mut Actions) {
        let fresh_for = self.ask_wait(&self.calls[&id]);
        let server = &mut self.fleet[place];
        let fresh =
            server.asked != 0 && server.in_hand < f64::MAX && server.asked + fresh_for > now;
        let crowd = if fresh {
            server.load(now, &self.settings.rules)
        } else {
            0.0
        };
        server.in_flight += 1;
        server.in_hand += 1.0;
        server.budget.trial_out |= trial;
        self.refile(now, place);
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let &Server {
            id: server,
            zone,
            cell,
            ..
        } = &self.fleet[place];
        let effect = Effect::Out;
        let start_by = match (call.binding(), call.class.idempotency) {
            (Some(first), Idempotency::Keyed { window, .. }) => {
                Some(first.sent.saturating_add(window))
            }
            _ => None,
        };
        call.attempts.push(Attempt {
            server,
            zone,
            cell,
            sent: now,
            trial,
            crowd,
            effect,
        });
        let (copies, class_id, terms) = (call.attempts.len(), call.class_id, call.terms);
        // An answer after the aim is worth little: its server is better used by others.
        let (aim, arrived) = (call.aim_at(), call.arrived);
        let (deadline, usual) = (
            call.deadline,
            self.usual(class_id, self.calls[&id].class.latency_objective),
        );
        let until = (aim < deadline && aim as f64 > now as f64 + usual).then_some(aim);
        let most = Some(now.saturating_add(terms.attempt_timeout)).filter(|&at| at < deadline);
        let until = until.into_iter().chain(most).min();
        actions.push(Action::Send {
            call: id,
            endpoint: server,
            attempt_deadline: until,
            start_by,
        });
        // A second copy as late as can be in time, but not before the first is slow.
        let copy_at = (aim as f64 - SPARE_TIMES * usual).max(arrived as f64 + 1.5 * usual);
        let auto = (!self.sparse() && copy_at + usual <= aim as f64).then_some(copy_at as Micros);
        let share = |share| self.paces.get(class_id).and_then(|p| p.within(share));
        let copy_at = match terms.hedge {
            Hedge::Never => None,
            Hedge::Auto => auto,
            Hedge::After(wait) => Some(now.saturating_add(wait)),
            Hedge::Quantile(part) => {
                share(part).map_or(auto, |wait| Some(now.saturating_add(wait as Micros)))
            }
        };
        let copy = copy_at.filter(|&at| copies == 1 && at < deadline);
        self.wakes.set(id, copy.map(|at| at.max(now + 1)));
    }

    fn drain_hold(&mut self, now: Micros, actions: &mut Actions) {
        while let Some(place) = self.fleet.returning(now).filter(|_| !self.hold.is_empty()) {
            let mut held = self.hold.iter().take(LOOK_PAST);
            let Some(index) = held.position(|id| self.may_test(&self.calls[id])) else {
                break;
            };
            let id = self.hold[index];
            self.take(index);
            self.send(now, id, place, true, actions);
        }
        let mut index = 0;
        while let Some(&id) = self.hold.get(index) {
            match self.route(now, id) {
                Route::Send { server, trial } => {
                    self.take(index);
                    self.send(now, id, server, trial, actions);
                    self.refusing = false;
                }
                Route::Ask { servers } => {
                    self.take(index);
                    self.start_asking(now, id, &servers, actions);
                }
                Route::TurnBack { retry_after } => self.give_up(id, retry_after, actions),
                Route::Refuse { retry_after } => {
                    if !std::mem::replace(&mut self.refusing, true) {
                        actions.push(Action::Log {
                            text: "no server is up: refusing".to_owned(),
                        });
                    }
                    self.give_up(id, retry_after, actions);
                }
                // Arrival order: the first that stays keeps the rest, unless bound to some servers.
                Route::Hold if self.calls[&id].binding().is_some() && index < LOOK_PAST => {
                    index += 1;
                }
                Route::Hold => break,
            }
        }
    }

    /// A set-aside server is tried by a call that can go again, where the site has such calls.
    fn may_test(&self, call: &Call) -> bool {
        let repeats = |c: &Class| c.idempotency != Idempotency::NonIdempotent;
        // Else trials of many servers set aside would take most calls, or those of a quiet balancer.
        let few = !self.sparse() && self.fleet.aside() <= ASIDE_FEW || call.chance < SMOOTHING;
        few && call.attempts.is_empty()
            && (repeats(&call.class) || !self.settings.classes.iter().any(repeats))
    }

    fn take(&mut self, index: usize) {
        if let Some(call) = self
            .hold
            .remove(index)
            .and_then(|id| self.calls.get_mut(&id))
        {
            call.held = false;
        }
    }

    fn wake_calls(&mut self, now: Micros, actions: &mut Actions) {
        while let Some(id) = self.wakes.pop(now) {
            if self.calls[&id].held {
                self.give_up(id, 0, actions);
            } else if !self.calls[&id].asks.is_empty() {
                self.decide(now, id, actions);
            } else if self
                .calls
                .get_mut(&id)
                .is_some_and(|c| std::mem::take(&mut c.rests))
            {
                self.enqueue(now, id, true);
            } else {
                self.second_copy(now, id, actions);
            }
        }
    }

    /// A second copy for a call that is late on a server that may have stalled.
    fn second_copy(&mut self, now: Micros, id: CallId, actions: &mut Actions) {
        let call = &self.calls[&id];
        let more = call.more() && call.out() == 1;
        let spare = self.retries >= 1.0 && self.hold.is_empty() && !call.streaming;
        if !more || !spare {
            return;
        }
        match self.route(now, id) {
            Route::Send {
                server,
                trial: false,
            } => self.send(now, id, server, false, actions),
            _ => return,
        }
        self.retries -= 1.0;
    }

    fn set_timer(&mut self, now: Micros, actions: &mut Actions) {
        let mut next = self.ask_at.min(self.wakes.next().unwrap_or(Micros::MAX));
        if !self.hold.is_empty() {
            let due = self.fleet.next_due().into_iter();
            let asks = self
                .hold
                .front()
                .map(|id| self.calls[id].ask_next)
                .filter(|&at| at > now);
            next = due.chain(asks).fold(next, Micros::min);
        }
        if next < self.timer_at {
            self.timer_at = next;
            actions.push(Action::Wake {
                after: next.saturating_sub(now).max(1),
            });
        }
    }

    fn first_backoff(&self) -> Micros {
        ((self.longest_aim() * BACKOFF_AIM) as Micros).max(1_000)
    }

    fn longest_aim(&self) -> f64 {
        self.settings
            .classes
            .iter()
            .map(|c| c.latency_objective)
            .max()
            .unwrap_or(0)
            .max(1) as f64
    }

    fn longest_usual(&self) -> f64 {
        self.paces.iter().map(|p| p.mean).fold(1.0, f64::max)
    }

    /// A random number from 0 to 1.
    fn unit(&mut self) -> f64 {
        self.random.gen()
    }
}
