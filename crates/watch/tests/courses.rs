//! Drawn courses in virtual time: watches fall silent, connections hang, answers come late or are reset, the service
//! starts anew. No change is heard later than it counts as told and the grace; questions stay within their bound.

use badgerramp_watch::{
    Budget, Input, Micros, Output, QuestionId, Source, Terms, Watch, CONNECT, SERVICE_ANSWERS,
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
}

#[derive(Clone, Debug)]
struct Course {
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
    let terms = Terms { source: Source::Service, grace: course.grace, wait: course.wait };
    let mut watch = Watch::new(Budget::of(terms), Some(0), None);
    let mut out = Vec::new();
    watch.handle(0, Input::Begin, false, &mut out);
    let mut ways: BTreeMap<QuestionId, Way> = BTreeMap::new();
    let mut lags = course.lags.iter().cycle();
    let (mut outcome, mut now, mut begin) = (Outcome::default(), 0, None);
    // Told, and not heard yet: when each change counts as told.
    let mut told: BTreeMap<u64, Micros> = BTreeMap::new();
    loop {
        for output in std::mem::take(&mut out) {
            match output {
                Output::Ask { question, index, wait, fresh } => {
                    let &(connect, answer) = lags.next().expect("a cycle");
                    let part = |share: f64, most: Micros| (share * most as f64) as Micros;
                    let there = now + if fresh { part(connect, CONNECT) } else { 0 };
                    let turn = if fresh { part(answer, SERVICE_ANSWERS) } else { 0 };
                    ways.insert(question, Way { asked: now, index, wait, there, turn, silent: None });
                    outcome.questions += 1;
                }
                Output::Drop(question) => {
                    ways.remove(&question);
                }
                // Between an eighth and three quarters of a second, as the decisions have it.
                Output::Failed => begin = Some(now + 300_000),
                _ => {}
            }
        }
        outcome.open_most = outcome.open_most.max(ways.len());
        // When each answer comes.
        let answer = |way: &Way| {
            let news = course.changes.iter().enumerate().find(|(n, _)| *n as u64 >= way.index.unwrap_or(0));
            let ready = news.map_or(Micros::MAX, |(_, &at)| at.max(way.there) + way.turn);
            let at = ready.min(way.there + way.wait);
            way.silent.is_none_or(|silent| at <= silent).then_some(at)
        };
        let next_answer = ways.iter().filter_map(|(q, way)| Some((answer(way)?.max(now), *q))).min();
        let later = |times: &[Micros]| times.iter().copied().find(|&t| t > now);
        let moments = [
            next_answer.map(|a| a.0),
            watch.due(),
            begin,
            later(&course.silences),
            later(&course.resets),
            later(&course.changes),
        ];
        let Some(next) = moments.into_iter().flatten().min().filter(|&t| t <= until) else { break };
        now = now.max(next);
        for (n, &at) in course.changes.iter().enumerate().filter(|(_, &at)| at == now) {
            // With a silent watch open it counts as told later, whether or not it arrives.
            let silent = ways.values().filter_map(|w| Some((w.silent?, w.asked + w.wait))).min();
            let counts =
                silent.map_or(Micros::MAX, |(silent, end)| (silent + 6_000_000).max(end + 2_000_000));
            if (n as u64) >= watch.index().unwrap_or(0) {
                told.insert(n as u64 + 1, counts.max(at));
            }
        }
        if course.silences.contains(&now) {
            ways.values_mut().filter(|w| w.there <= now).for_each(|w| w.silent = w.silent.or(Some(now)));
        }
        let input = if course.resets.contains(&now) && ways.values().any(|w| w.there < now) {
            let (&question, _) = ways.iter().find(|(_, w)| w.there < now).expect("just seen");
            ways.remove(&question);
            Input::Failed { question }
        } else if begin.is_some_and(|at| at <= now) {
            begin = None;
            Input::Begin
        } else if let Some((_, question)) = next_answer.filter(|a| a.0 <= now) {
            let way = ways.remove(&question).expect("it is out");
            let index = course.changes.iter().filter(|&&at| at <= now).count() as u64;
            Input::Answered { question, index: index.max(way.index.unwrap_or(0)), whole: false }
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
    let unheard = told.values().map(|&at| until.saturating_sub(at)).max().unwrap_or(0);
    outcome.latest = outcome.latest.max(unheard);
    outcome
}

fn course() -> impl Strategy<Value = Course> {
    let times = |most| prop::collection::btree_set(1_000u64..40_000_000, 0..most);
    let lags = prop::collection::vec((0.0f64..1.0, 0.0f64..1.0), 1..9);
    // Silence a second time before the first is mended would be another fault: they are far apart.
    (300_000u64..2_000_000, times(4), 1_000u64..9_000_000, times(3), lags).prop_map(
        |(grace, changes, silence, resets, lags)| Course {
            grace,
            wait: None,
            changes: changes.into_iter().collect(),
            silences: vec![silence, silence + 20_000_000],
            resets: resets.into_iter().collect(),
            lags,
        },
    )
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
        grace: 1_000_000,
        wait: Some(10_000_000),
        changes: vec![1_700_000],
        silences: vec![1_000_000],
        resets: Vec::new(),
        lags: vec![(0.9, 0.9)],
    };
    let long = play(&course, 60_000_000);
    assert!(long.latest > course.grace, "{long:?}");
    let short = play(&Course { wait: None, ..course.clone() }, 60_000_000);
    assert!(short.latest <= course.grace, "{short:?}");
}
