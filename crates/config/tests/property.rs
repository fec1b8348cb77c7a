//! For any file that is accepted and any course of outcomes: no unsafe call has two attempts that may have run, a
//! keyed one goes again only within its group and window, and each call has one final answer within its client's time.
//! The decisions are driven without sockets.

use badgerramp_config::{parse, Config};
use badgerramp_decisions::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::BTreeMap;

/// An attempt as the sockets know it.
struct Tried {
    server: ServerId,
    sent: Micros,
    /// When it ends, and how; what the sockets time out ends at its own time.
    ends: Micros,
    outcome: Outcome,
    over: Option<Outcome>,
}

struct Open {
    class: Class,
    hedged: bool,
    most: u32,
    deadline: Micros,
    tried: Vec<Tried>,
    answered: Option<Action>,
}

impl Tried {
    fn may_have_run(&self) -> bool {
        self.over.is_none_or(|outcome| !outcome.never_ran())
    }
}

struct World<'c> {
    config: &'c Config,
    balancer: Balancer,
    random: Pcg32,
    now: Micros,
    wake: Option<Micros>,
    calls: BTreeMap<CallId, Open>,
}

impl World<'_> {
    fn tell(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { call, server, until } => self.send(call, server, until),
                Action::Refuse { call, .. } | Action::Fail { call } => self.answer(call, action),
                Action::Cancel { call, attempt } => {
                    if let Some(tried) =
                        self.calls.get_mut(&call).and_then(|c| c.tried.get_mut(attempt as usize))
                    {
                        (tried.ends, tried.outcome) = (self.now, Outcome::CalledOff);
                    }
                }
                Action::Wake { after } => {
                    let at = self.now + after;
                    self.wake = Some(self.wake.map_or(at, |old| old.min(at)));
                }
                Action::Subscribe | Action::Probe { .. } | Action::Log { .. } => {}
            }
        }
    }

    fn group(&self, server: ServerId) -> u32 {
        self.config.upstream.endpoints[server.0 as usize].group
    }

    fn send(&mut self, call: CallId, server: ServerId, until: Option<Micros>) {
        let (group, now) = (self.group(server), self.now);
        let groups: Vec<u32> = self.config.upstream.endpoints.iter().map(|e| e.group).collect();
        let open = self.calls.get_mut(&call).expect("a call that came");
        assert!(open.answered.is_none(), "nothing goes out after the final answer");
        assert!(now < open.deadline, "nothing goes out after the client's time");
        assert!((open.tried.len() as u32) < open.most, "more attempts than the file allows");
        let out = open.tried.iter().filter(|t| t.over.is_none()).count();
        assert!(out == 0 || open.hedged, "a second copy where the file wants none");
        if let Some(first) = open.tried.iter().find(|t| t.may_have_run()) {
            match open.class.repeat {
                Repeat::Free => {}
                Repeat::SingleShot => panic!("an unsafe call would run twice"),
                Repeat::Guarded { scope, window } => {
                    assert!(now < first.sent + window, "a keyed call outside its window");
                    let inside = scope != Scope::Cell || groups[first.server.0 as usize] == group;
                    assert!(inside, "a keyed call outside its group");
                }
            }
        }
        let until = until.unwrap_or(Micros::MAX).min(open.deadline);
        let ends = now + self.random.gen_range(0..600_000);
        let outcome = match self.random.gen_range(0..9) {
            0..=2 => Outcome::Served,
            3 => Outcome::Error,
            4 => Outcome::TurnedAway,
            5 => Outcome::NoConnection,
            6 => Outcome::Reset,
            7 => Outcome::NotSent,
            _ => Outcome::Unknown,
        };
        // Fast and slow ends both, and some that never come.
        let ends = if self.random.gen_bool(0.3) { now + 1 + (ends - now) / 50 } else { ends };
        let (ends, outcome) = if ends >= until { (until, Outcome::TimedOut) } else { (ends, outcome) };
        open.tried.push(Tried { server, sent: now, ends: ends.max(now + 1), outcome, over: None });
    }

    fn answer(&mut self, call: CallId, action: Action) {
        let open = self.calls.get_mut(&call).expect("a call that came");
        assert!(open.answered.is_none(), "two final answers");
        assert!(self.now <= open.deadline, "answered after the client's time");
        let ran = open.tried.iter().any(Tried::may_have_run);
        let harmless = matches!(open.class.repeat, Repeat::Free | Repeat::Guarded { scope: Scope::All, .. });
        if matches!(action, Action::Refuse { .. }) {
            assert!(harmless || !ran, "refused though it may have run");
        }
        open.answered = Some(action);
    }

    /// The next attempt to end.
    fn next_end(&self) -> Option<(Micros, CallId, usize)> {
        let all = self.calls.iter().flat_map(|(&id, open)| {
            let out = open.tried.iter().enumerate().filter(|(_, t)| t.over.is_none());
            out.map(move |(n, t)| (t.ends, id, n))
        });
        all.min()
    }

    /// Lets time pass until `end`.
    fn run(&mut self, end: Micros) {
        loop {
            let ends = self.next_end();
            let at = ends.map_or(Micros::MAX, |e| e.0).min(self.wake.unwrap_or(Micros::MAX));
            if at > end {
                break;
            }
            self.now = self.now.max(at);
            match ends.filter(|e| e.0 <= at) {
                Some((_, call, number)) => {
                    let open = self.calls.get_mut(&call).expect("a call that came");
                    let tried = &mut open.tried[number];
                    tried.over = Some(tried.outcome);
                    let (outcome, elapsed) = (tried.outcome, self.now - tried.sent);
                    if outcome == Outcome::Served && open.answered.is_none() {
                        open.answered = Some(Action::Subscribe);
                    }
                    let closed = open.answered.is_some();
                    let attempt = number as u32;
                    self.tell(Event::Outcome {
                        call,
                        attempt,
                        outcome,
                        elapsed,
                        closed,
                        load: Load::default(),
                    });
                }
                None => {
                    self.wake = None;
                    self.tell(Event::Timer);
                }
            }
            for open in self.calls.values().filter(|o| o.deadline < self.now) {
                assert!(open.answered.is_some(), "no answer within the client's time");
            }
        }
        self.now = end;
    }
}

/// Plays some calls of each route.
fn play(config: &Config, seed: u64) {
    let mut world = World {
        config,
        balancer: Balancer::new(seed, config.settings()),
        random: Pcg32::seed_from_u64(seed),
        now: 1_000_000,
        wake: None,
        calls: BTreeMap::new(),
    };
    world.tell(Event::Start);
    let entries = config.upstream.endpoints.iter().zip(0..).map(|(e, n)| e.entry(ServerId(n))).collect();
    world.tell(Event::Members { kind: ListKind::Full, entries });
    for number in 0..60 {
        let routes = config.routes.routes();
        let route = &routes[world.random.gen_range(0..routes.len())];
        let once = world.random.gen_bool(0.2);
        let mut class = config.classes[route.class].class;
        if once {
            class.repeat = Repeat::SingleShot;
        }
        // A client may wait less than its class does.
        let waits = if world.random.gen_bool(0.3) { class.deadline / 2 } else { class.deadline };
        let time_left = route.timing.total.min(waits);
        let terms = route.timing.terms(once);
        let open = Open {
            class,
            hedged: terms.hedge != Hedge::Never,
            most: terms.attempts,
            deadline: world.now + time_left,
            tried: Vec::new(),
            answered: None,
        };
        assert!(time_left <= class.deadline, "longer than the client waits");
        let call = CallId(number);
        world.calls.insert(call, open);
        let class = ClassId(route.class);
        world.tell(Event::Request { call, class, tenant: None, time_left, resent: false, terms });
        let pause = world.random.gen_range(0..150_000);
        let until = world.now + pause;
        world.run(until);
    }
    let end = world.now + 700_000_000;
    world.run(end);
    assert!(world.calls.values().all(|open| open.answered.is_some()), "a call without its answer");
}

fn duration() -> impl Strategy<Value = u64> {
    prop_oneof![Just(20), Just(80), Just(150), Just(300), Just(600), Just(1_100)]
}

/// Lines of timing, some of them against the rules.
fn timing() -> impl Strategy<Value = String> {
    let line = prop_oneof![
        duration().prop_map(|d| format!("attempt = '{d}ms'")),
        duration().prop_map(|d| format!("total = '{d}ms'")),
        (1u64..6).prop_map(|n| format!("attempts = {n}")),
        duration().prop_map(|d| format!("backoff = '{}ms'", d / 4)),
        prop_oneof![
            Just("second_copy = 'off'".to_owned()),
            Just("second_copy = 'auto'".to_owned()),
            Just("second_copy = 'at 90%'".to_owned()),
            duration().prop_map(|d| format!("second_copy = 'after {d}ms'")),
        ],
        prop_oneof![Just("retry = 'failed'".to_owned()), Just("retry = 'never-ran'".to_owned())],
    ];
    prop::collection::vec(line, 0..4).prop_map(|lines| {
        let mut by_key: BTreeMap<String, String> = BTreeMap::new();
        for line in lines {
            by_key.insert(line.split(' ').next().unwrap_or_default().to_owned(), line);
        }
        by_key.into_values().collect::<Vec<_>>().join("\n")
    })
}

fn effect() -> impl Strategy<Value = String> {
    prop_oneof![
        Just("effect = 'safe'".to_owned()),
        Just("effect = 'unsafe'".to_owned()),
        Just("effect = 'unsafe'".to_owned()),
        (prop_oneof![Just("all"), Just("group")], duration()).prop_map(|(group, window)| format!(
            "effect = 'keyed'\ngroup = '{group}'\nwindow = '{window}ms'"
        )),
    ]
}

/// A whole file: two classes, a route or two for each, two groups of endpoints.
fn file() -> impl Strategy<Value = String> {
    let class = |name: &'static str| {
        (effect(), timing(), timing(), any::<bool>()).prop_map(move |(effect, own, route, late)| {
            let late = if late { "late_worth = 0" } else { "" };
            let class =
                format!("[class.{name}]\naim = '500ms'\ndeadline = '1200ms'\n{late}\n{effect}\n{own}\n");
            let routes = format!(
                "[[route]]\nname = '{name}-own'\npath = '/{name}/own'\nclass = '{name}'\n{route}\n\
                 [[route]]\nname = '{name}'\nprefix = '/{name}'\nclass = '{name}'\n"
            );
            (class, routes)
        })
    };
    (timing(), class("one"), class("two")).prop_map(|(defaults, one, two)| {
        let endpoint = |n: u32| format!("{{ address = '127.0.0.1:{}', group = {} }}", 9_000 + n, 1 + n % 2);
        let endpoints: Vec<String> = (0..5).map(endpoint).collect();
        format!(
            "listen = '127.0.0.1:0'\n[upstream]\nendpoints = [{}]\n[defaults]\n{defaults}\n{}{}{}{}",
            endpoints.join(", "),
            one.0,
            two.0,
            one.1,
            two.1
        )
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, max_global_rejects: 1_000_000, rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn no_accepted_file_breaks_a_rule(text in file(), seed in any::<u64>()) {
        let config = parse("generated.toml", &text);
        prop_assume!(config.is_ok());
        play(&config.expect("checked"), seed);
    }
}

/// The generator makes files that are accepted and that have what the rules are about; else the test above is empty.
#[test]
fn generated_files_have_what_the_rules_are_about() {
    use proptest::strategy::ValueTree;
    use proptest::test_runner::TestRunner;
    let mut runner = TestRunner::deterministic();
    let (mut accepted, mut hedged, mut keyed, mut single, mut refused) = (0, 0, 0, 0, 0);
    for _ in 0..2_000 {
        let text = file().new_tree(&mut runner).expect("a file").current();
        let Ok(config) = parse("generated.toml", &text) else {
            refused += 1;
            continue;
        };
        accepted += 1;
        let any = |of: fn(Repeat) -> bool| u32::from(config.classes.iter().any(|c| of(c.class.repeat)));
        hedged += u32::from(config.settings().limits.second_copies);
        keyed += any(|r| matches!(r, Repeat::Guarded { .. }));
        single += any(|r| r == Repeat::SingleShot);
    }
    assert!(
        accepted > 300 && hedged > 30 && keyed > 60 && single > 60 && refused > 300,
        "{accepted} accepted, {hedged} with second copies, {keyed} keyed, {single} unsafe, {refused} refused"
    );
}
