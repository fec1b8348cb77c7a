//! What broke, judged from what the processes and the hosts did, in the order of the one clock.

use crate::clients::{Ended, Try};
use badgerramp_policy::{
    Generation, Identity, InvariantChecker, Micros, Mode, StartedCall, Violation,
};
use serde::Serialize;
use std::collections::HashMap;

/// What a publisher heard, and when.
#[derive(Clone, Debug, Serialize)]
pub struct PublishRecord {
    /// The change.
    pub generation: u64,
    /// When.
    pub at: Micros,
    /// In force, or not and never.
    pub in_force: bool,
    /// From the first question to its end.
    pub took_ms: u64,
    /// Why not.
    pub why: String,
}

/// A call that began, out of a proxy's log.
#[derive(Clone, Debug)]
pub struct StartRecord {
    /// When.
    pub at: Micros,
    /// Where.
    pub proxy: usize,
    /// Under what.
    pub mode: Mode,
    /// Under the floor alone, which all policies have alike while it may be acted under.
    pub floor: bool,
    /// Its request's id.
    pub request: String,
}

impl StartRecord {
    /// Reads a line of a log; `None` if it tells of something else.
    pub fn parse(proxy: usize, line: &str) -> Option<StartRecord> {
        if !line.contains("badgerramp::begun") {
            return None;
        }
        let value: serde_json::Value = serde_json::from_str(line).ok()?;
        let number = |name: &str| value.get(name)?.as_u64();
        let mode = Mode {
            revision: 0,
            old: Generation(number("old")?),
            new: Generation(number("new")?),
        };
        Some(StartRecord {
            at: number("at")?,
            proxy,
            mode,
            floor: value.get("floor")?.as_bool()?,
            request: value.get("request")?.as_str()?.to_owned(),
        })
    }
}

/// What broke in a course, and its sums.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Verdict {
    /// Tries at proxies.
    pub calls: usize,
    /// Calls that began.
    pub begun: usize,
    /// P1: calls that began under what was past.
    pub begun_mixed: usize,
    /// From the first call under a generation to the last under an older one, in milliseconds: the longest.
    pub mixed_ms: u64,
    /// P2: calls that began under what was not in force, or no more.
    pub begun_wrong: usize,
    /// Keys executed more than once.
    pub executed_twice: usize,
    /// Tries at a proxy that was well and gave no answer.
    pub lost: usize,
    /// Refusals.
    pub refused: usize,
    /// Refusals of proxies that were well, beside control that was: they are the change's.
    pub refused_well: usize,
    /// What broke first, in words.
    pub first: Option<String>,
}

impl Verdict {
    /// Adds what another part of the fleet came to.
    pub fn add(&mut self, other: Verdict) {
        self.calls += other.calls;
        self.begun += other.begun;
        self.begun_mixed += other.begun_mixed;
        self.mixed_ms = self.mixed_ms.max(other.mixed_ms);
        self.begun_wrong += other.begun_wrong;
        self.executed_twice += other.executed_twice;
        self.lost += other.lost;
        self.refused += other.refused;
        self.refused_well += other.refused_well;
        self.first = self.first.take().or(other.first);
    }

    /// Did all hold?
    pub fn held(&self) -> bool {
        self.begun_mixed + self.begun_wrong + self.executed_twice + self.lost == 0
    }
}

/// Judges a course. `well` tells whether a proxy was well all through a span, `calm` whether control was too.
pub fn check(
    mut begun: Vec<StartRecord>,
    heard: &[PublishRecord],
    attempts: &[Try],
    executed: &HashMap<String, u32>,
    proxy_healthy: impl Fn(usize, Micros, Micros) -> bool,
    all_healthy: impl Fn(usize, Micros, Micros) -> bool,
) -> Verdict {
    let mut verdict = Verdict {
        calls: attempts.len(),
        begun: begun.len(),
        ..Verdict::default()
    };
    let mut first = None;
    // What falls on one microsecond has no order: the older first.
    begun.sort_by_key(|line| (line.at, line.mode.old, line.mode.new));
    let mut checker = InvariantChecker::default();
    let mut committed: Vec<&PublishRecord> = heard.iter().filter(|h| h.in_force).collect();
    committed.sort_by_key(|h| h.at);
    let mut committed = committed.into_iter().peekable();
    let (mut newest, mut since) = (Generation(0), 0);
    for line in begun.iter().filter(|line| !line.floor) {
        if line.mode.old > newest {
            (newest, since) = (line.mode.old, line.at);
        }
        while let Some(heard) = committed.next_if(|h| h.at < line.at) {
            checker.record_committed(Generation(heard.generation));
        }
        let identity = Identity {
            name: line.proxy.to_string(),
            incarnation: 0,
        };
        if line.mode.new < newest {
            verdict.mixed_ms = verdict.mixed_ms.max((line.at - since) / 1_000);
        }
        let Some(violation) = checker.record_start(&StartedCall {
            identity,
            mode: line.mode,
        }) else {
            continue;
        };
        match violation {
            Violation::MixedGenerations { .. } => verdict.begun_mixed += 1,
            Violation::AbortedGeneration(_) | Violation::BehindCommitted { .. } => {
                verdict.begun_wrong += 1;
            }
        }
        first.get_or_insert_with(|| format!("{} at {}: {violation:?}", line.request, line.at));
    }
    for heard in heard.iter().filter(|h| !h.in_force) {
        let count = begun
            .iter()
            .filter(|l| l.mode.old == Generation(heard.generation))
            .count();
        verdict.begun_wrong += count;
        if count > 0 {
            first.get_or_insert_with(|| {
                format!(
                    "{count} began under {}, which never was in force",
                    heard.generation
                )
            });
        }
    }
    for (key, count) in executed.iter().filter(|(_, &count)| count > 1) {
        verdict.executed_twice += 1;
        first.get_or_insert_with(|| format!("{key} was executed {count} times"));
    }
    for attempt in attempts {
        let unanswered = matches!(attempt.ended, Ended::Silence | Ended::Cut | Ended::Nobody);
        if unanswered && proxy_healthy(attempt.proxy, attempt.from, attempt.until) {
            verdict.lost += 1;
            first.get_or_insert_with(|| format!("{attempt:?}: no answer of a proxy that was well"));
        }
        if attempt.ended == Ended::Status(503) {
            verdict.refused += 1;
            verdict.refused_well +=
                usize::from(all_healthy(attempt.proxy, attempt.from, attempt.until));
        }
    }
    verdict.first = first;
    verdict
}

#[cfg(test)]
mod tests {
    use super::*;

    fn line(at: Micros, old: u64, new: u64) -> StartRecord {
        let text = format!(
            "{{\"level\":\"DEBUG\",\"message\":\"begun\",\"at\":{at},\"old\":{old},\"new\":{new},\
             \"floor\":false,\"request\":\"r\",\"target\":\"badgerramp::begun\"}}"
        );
        StartRecord::parse(0, &text).expect("a line")
    }

    fn verdict(begun: Vec<StartRecord>, heard: &[PublishRecord]) -> Verdict {
        check(
            begun,
            heard,
            &[],
            &HashMap::new(),
            |_, _, _| true,
            |_, _, _| true,
        )
    }

    #[test]
    fn each_break_is_seen() {
        let good = vec![line(5, 1, 2), line(1, 1, 1), line(9, 2, 2), line(7, 1, 1)];
        assert!(verdict(good.clone(), &[]).held());
        let mut mixed = good.clone();
        mixed.push(line(4_009, 1, 1));
        let judged = verdict(mixed, &[]);
        assert_eq!((judged.begun_mixed, judged.mixed_ms), (1, 4));
        let heard = |generation, at, in_force| PublishRecord {
            generation,
            at,
            in_force,
            took_ms: 0,
            why: String::new(),
        };
        assert_eq!(verdict(good.clone(), &[heard(2, 6, true)]).begun_wrong, 1);
        assert_eq!(verdict(good, &[heard(2, 20, false)]).begun_wrong, 1);
        let executed = HashMap::from([("k".to_owned(), 2)]);
        let unanswered = Try {
            key: "k".to_owned(),
            proxy: 0,
            from: 1,
            until: 2,
            ended: Ended::Silence,
        };
        let judged = check(
            Vec::new(),
            &[],
            &[unanswered],
            &executed,
            |_, _, _| true,
            |_, _, _| true,
        );
        assert_eq!((judged.executed_twice, judged.lost), (1, 1));
        assert!(!judged.held());
    }
}
