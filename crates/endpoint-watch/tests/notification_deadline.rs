//! Drawn courses in virtual time: watches fall silent, connections hang, answers come late or are reset, the service
//! is down for a while and refuses once more at its return. No change is heard later than it counts as told and the grace;
//! questions stay within their bound.
#![expect(
    clippy::too_many_lines,
    reason = "a test plays one course of events from its start to its end"
)]

use badgerramp_endpoint_watch::{
    Input, Micros, Output, PollId, Source, TimeoutConfig, Timeouts, Watch, CONNECT_TIMEOUT,
    SERVICE_RESPONSE_TIMEOUT,
};
use proptest::prelude::*;
use std::collections::BTreeMap;

/// A question on its way.
#[derive(Clone, Copy, Debug)]
struct Way {
    asked: Micros,
    index: Option<u64>,
    wait: Micros,
    /// When the service has it: a fresh connection may hang.
    there: Micros,
    /// How long its answer waits in turn, where it has something to tell or begins a watch.
    turn: Micros,
    /// When its watch fell silent.
    silent: Option<Micros>,
    /// When it fails, if nothing answers it before.
    fails: Option<Micros>,
    /// It fails by a refusal of the service.
    refused: bool,
}

/// How questions fare while the service is down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Down {
    /// They are refused or reset at once.
    Refuses,
    /// Nothing comes back, and no connection comes up.
    Silent,
}

/// The service is down.
#[derive(Clone, Copy, Debug)]
struct Outage {
    from: Micros,
    until: Micros,
    down: Down,
    /// It refuses the first question after its return, as too many come.
    refuses_once: bool,
}

#[derive(Clone, Debug)]
struct Course {
    seed: u64,
    outages: Vec<Outage>,
    grace: Micros,
    wait: Option<Micros>,
    /// When hosts are announced as leaving.
    changes: Vec<Micros>,
    /// When all open watches fall silent.
    silences: Vec<Micros>,
    /// When all open connections are reset.
    resets: Vec<Micros>,
    /// Shares of the connection's and the answer's most time, in turn.
    lags: Vec<(f64, f64)>,
}

/// What came of a course.
#[derive(Debug, Default)]
struct Outcome {
    /// Most that a change was heard after it counted as told, in microseconds.
    latest: Micros,
    questions: u64,
    open_most: usize,
}

fn play(course: &Course, until: Micros) -> Outcome {
    let terms = TimeoutConfig {
        source: Source::Service,
        drain_grace: course.grace,
        wait: course.wait,
    };
    let mut watch = Watch::new(Timeouts::derive(terms), Some(0), None, course.seed);
    let mut out = Vec::new();
    watch.handle(0, Input::Start, false, &mut out);
    let mut ways: BTreeMap<PollId, Way> = BTreeMap::new();
    let mut lags = course.lags.iter().cycle();
    let (mut outcome, mut now, mut begin) = (Outcome::default(), 0, None);
    let mut cut = false;
    let mut refused: Vec<bool> = course
        .outages
        .iter()
        .map(|outage| !outage.refuses_once)
        .collect();
    // Told, and not heard yet: when each change counts as told.
    let mut told: BTreeMap<u64, Micros> = BTreeMap::new();
    loop {
        for output in std::mem::take(&mut out) {
            match output {
                Output::Send {
                    poll,
                    index,
                    wait,
                    fresh_connection,
                } => {
                    let &(connect, answer) = lags.next().expect("a cycle");
                    // After a failure there is no connection to go on with.
                    let fresh_connection = fresh_connection || std::mem::take(&mut cut);
                    let part = |share: f64, most: Micros| (share * most as f64) as Micros;
                    let there = now
                        + if fresh_connection {
                            part(connect, CONNECT_TIMEOUT)
                        } else {
                            0
                        };
                    let turn = if fresh_connection {
                        part(answer, SERVICE_RESPONSE_TIMEOUT)
                    } else {
                        0
                    };
                    let mut way = Way {
                        asked: now,
                        index,
                        wait,
                        there,
                        turn,
                        silent: None,
                        fails: None,
                        refused: false,
                    };
                    for (outage, refused) in course.outages.iter().zip(&mut refused) {
                        if (outage.from..outage.until).contains(&now) {
                            match outage.down {
                                Down::Refuses => {
                                    (way.fails, way.refused) = (Some(now + 1_000), true);
                                }
                                // A connection that is there stays silent; another one is given up.
                                Down::Silent if fresh_connection => {
                                    way.fails = Some(now + CONNECT_TIMEOUT)
                                }
                                Down::Silent => way.silent = Some(now),
                            }
                        } else if now >= outage.until && !std::mem::replace(refused, true) {
                            (way.fails, way.refused) = (Some(now + 1_000), true);
                        }
                    }
                    ways.insert(poll, way);
                    outcome.questions += 1;
                }
                Output::Cancel(poll) => {
                    ways.remove(&poll);
                }
                Output::Failed => {
                    // The decisions wish for it as well, which changes nothing.
                    begin = Some(now + 1);
                    cut = true;
                }
                _ => {}
            }
        }
        outcome.open_most = outcome.open_most.max(ways.len());
        // When each answer comes.
        let answer = |way: &Way| {
            let news = course
                .changes
                .iter()
                .enumerate()
                .find(|(n, _)| *n as u64 >= way.index.unwrap_or(0));
            let ready = news.map_or(Micros::MAX, |(_, &at)| at.max(way.there) + way.turn);
            let at = ready.min(way.there + way.wait);
            let in_time = way.silent.is_none_or(|silent| at <= silent)
                && way.fails.is_none_or(|fails| at < fails);
            in_time.then_some(at)
        };
        let fails = ways
            .iter()
            .filter_map(|(q, way)| Some((way.fails?.max(now), *q)))
            .min();
        let next_answer = ways
            .iter()
            .filter_map(|(q, way)| Some((answer(way)?.max(now), *q)))
            .min();
        let later = |times: &[Micros]| times.iter().copied().find(|&t| t > now);
        let moments = [
            next_answer.map(|a| a.0),
            fails.map(|f| f.0),
            course.outages.iter().map(|o| o.from).find(|&t| t > now),
            watch.next_deadline(),
            begin,
            later(&course.silences),
            later(&course.resets),
            later(&course.changes),
        ];
        let Some(next) = moments.into_iter().flatten().min().filter(|&t| t <= until) else {
            break;
        };
        now = now.max(next);
        for (n, &at) in course
            .changes
            .iter()
            .enumerate()
            .filter(|(_, &at)| at == now)
        {
            // With a silent watch open it counts as told later, whether or not it arrives.
            // One that goes down before the news is out could not be reached for it.
            let down = course
                .outages
                .iter()
                .find(|o| o.from < at + 6_000_000 && at < o.until);
            let silent = ways
                .values()
                .filter_map(|w| Some((w.silent?, w.asked + w.wait)))
                .min();
            let counts = silent.map_or(Micros::MAX, |(silent, end)| {
                (silent + 6_000_000).max(end + 2_000_000)
            });
            // Whatever failed: so long after the service had it and could be reached.
            let counts = match down {
                Some(outage) => outage.until + 6_000_000,
                None if !course.outages.is_empty() => at + 6_000_000,
                None => counts,
            };
            if (n as u64) >= watch.index().unwrap_or(0) {
                told.insert(n as u64 + 1, counts.max(at));
            }
        }
        if course.silences.contains(&now) {
            ways.values_mut()
                .filter(|w| w.there <= now)
                .for_each(|w| w.silent = w.silent.or(Some(now)));
        }
        for outage in course.outages.iter().filter(|o| o.from == now) {
            // What is open then is reset, or falls silent.
            for way in ways.values_mut() {
                match outage.down {
                    Down::Refuses => way.fails = Some(now),
                    Down::Silent => way.silent = way.silent.or(Some(now)),
                }
            }
        }
        let failed = ways
            .iter()
            .find(|(_, way)| way.fails.is_some_and(|at| at <= now))
            .map(|(q, _)| *q);
        let input = if let Some(poll) = failed {
            let refused = ways.remove(&poll).is_some_and(|way| way.refused);
            if refused {
                Input::Rejected { poll }
            } else {
                Input::Failed { poll }
            }
        } else if course.resets.contains(&now) && ways.values().any(|w| w.there < now) {
            let (&poll, _) = ways.iter().find(|(_, w)| w.there < now).expect("just seen");
            ways.remove(&poll);
            Input::Failed { poll }
        } else if begin.is_some_and(|at| at <= now) {
            begin = None;
            Input::Start
        } else if let Some((_, poll)) = next_answer.filter(|a| a.0 <= now) {
            let way = ways.remove(&poll).expect("it is out");
            let index = course.changes.iter().filter(|&&at| at <= now).count() as u64;
            Input::Response {
                poll,
                index: index.max(way.index.unwrap_or(0)),
                complete: false,
            }
        } else {
            Input::Timer
        };
        watch.handle(now, input, false, &mut out);
        let heard = watch.index().unwrap_or(0);
        while let Some(entry) = told.first_entry().filter(|e| *e.key() <= heard) {
            outcome.latest = outcome.latest.max(now.saturating_sub(entry.remove()));
        }
    }
    // What was never heard.
    let unheard = told
        .values()
        .map(|&at| until.saturating_sub(at))
        .max()
        .unwrap_or(0);
    outcome.latest = outcome.latest.max(unheard);
    outcome
}

fn course() -> impl Strategy<Value = Course> {
    let times = |most| prop::collection::btree_set(1_000u64..40_000_000, 0..most);
    let lags = prop::collection::vec((0.0f64..1.0, 0.0f64..1.0), 1..9);
    // Silence a second time before the first is mended would be another fault: they are far apart.
    (
        300_000u64..2_000_000,
        times(4),
        1_000u64..9_000_000,
        times(3),
        lags,
    )
        .prop_map(|(grace, changes, silence, resets, lags)| Course {
            seed: silence,
            outages: Vec::new(),
            grace,
            wait: None,
            changes: changes.into_iter().collect(),
            silences: vec![silence, silence + 20_000_000],
            resets: resets.into_iter().collect(),
            lags,
        })
}

/// The service is down twice, for up to a quarter of a minute.
fn outages() -> impl Strategy<Value = Vec<Outage>> {
    let one = (
        1_000_000u64..9_000_000,
        100_000u64..15_000_000,
        any::<bool>(),
        any::<bool>(),
    );
    prop::collection::vec(one, 1..3).prop_map(|drawn| {
        let mut at = 0;
        let outage = |(after, long, silent, refuses_once)| {
            let from = at + after;
            at = from + long + 15_000_000;
            let down = if silent { Down::Silent } else { Down::Refuses };
            Outage {
                from,
                until: from + long,
                down,
                refuses_once,
            }
        };
        drawn.into_iter().map(outage).collect()
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4_000, ..ProptestConfig::default() })]

    #[test]
    fn no_change_is_heard_later_than_told_and_the_grace(course in course()) {
        // A reset beside a silence leaves no budget for a second connection that hangs.
        let course = Course { resets: Vec::new(), ..course };
        let outcome = play(&course, 60_000_000);
        prop_assert!(outcome.latest <= course.grace, "{outcome:?}");
    }

    /// Whatever failed before: refused, reset, given up as silent, again and again, and once more at the return.
    #[test]
    fn after_a_failure_no_change_is_heard_later_than_told_and_the_grace(course in course(), outages in outages()) {
        let course = Course { silences: Vec::new(), resets: Vec::new(), outages, ..course };
        let outcome = play(&course, 90_000_000);
        prop_assert!(outcome.latest <= course.grace, "{outcome:?}");
        // While it is down each proxy asks about once a second: no storm meets the service at its return.
        let down: Micros = course.outages.iter().map(|o| o.until - o.from).sum();
        let bound = 2 * 90_000_000 / 1_500_000 + 4 * down / 1_000_000 + 8 * course.outages.len() as u64;
        prop_assert!(outcome.questions <= bound + 2 * course.changes.len() as u64, "{outcome:?} of {bound}");
    }

    #[test]
    fn questions_stay_within_their_bound(course in course()) {
        let outcome = play(&course, 60_000_000);
        prop_assert!(outcome.open_most <= 2);
        // One for each wait of 1.5 s at the least, one beside each, one for each change and each reset.
        let bound = 2 * 60_000_000 / 1_500_000 + 2 * (course.changes.len() + course.resets.len()) as u64 + 4;
        prop_assert!(outcome.questions <= bound, "{outcome:?}");
    }
}

/// What the first property would say of the ten seconds that a watch waited before.
#[test]
fn a_watch_of_ten_seconds_hears_too_late() {
    let course = Course {
        seed: 1,
        outages: Vec::new(),
        grace: 1_000_000,
        wait: Some(10_000_000),
        changes: vec![1_700_000],
        silences: vec![1_000_000],
        resets: Vec::new(),
        lags: vec![(0.9, 0.9)],
    };
    let long = play(&course, 60_000_000);
    assert!(long.latest > course.grace, "{long:?}");
    let short = play(
        &Course {
            wait: None,
            ..course.clone()
        },
        60_000_000,
    );
    assert!(short.latest <= course.grace, "{short:?}");
}
