//! Invariant checker of policy runs. It reads the records of publishers, proxies, clients and hosts, ordered by one
//! clock, and returns a verdict.

use crate::clients::{Ended, Try};
use badgerramp_policy::{
    Generation, Identity, InvariantChecker, Micros, Mode, StartedCall, Violation,
};
use serde::Serialize;
use std::collections::HashMap;

/// The outcome of a publish, as its publisher saw it.
#[derive(Clone, Debug, Serialize)]
pub struct PublishRecord {
    /// Generation of the change.
    pub generation: u64,
    /// When the publisher got the outcome.
    pub at: Micros,
    /// Whether the change is in force; otherwise it never was and never will be.
    pub in_force: bool,
    /// Time from the request to its outcome.
    pub took_ms: u64,
    /// Why the change is not in force.
    pub why: String,
}

/// The start of a call, as logged by a proxy.
#[derive(Clone, Debug)]
pub struct StartRecord {
    /// When the call started.
    pub at: Micros,
    /// Index of the proxy.
    pub proxy: usize,
    /// The mode under which the call started.
    pub mode: Mode,
    /// Whether the call started under the fallback policy, which all policies have in common while it may be used.
    pub floor: bool,
    /// The request id of the call.
    pub request: String,
}

impl StartRecord {
    /// Parses a log line; `None` if the line does not record the start of a call.
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

/// The violations found in a run, and its totals.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Verdict {
    /// Attempts of clients at proxies.
    pub calls: usize,
    /// Calls that started.
    pub begun: usize,
    /// Invariant P1: calls that started under a generation older than one under which a call had already started.
    pub begun_mixed: usize,
    /// Longest time between the first call under a generation and the last call under an older one, in milliseconds.
    pub mixed_ms: u64,
    /// Invariant P2: calls that started under a generation that was not in force, or no longer.
    pub begun_wrong: usize,
    /// Idempotency keys that were executed more than once.
    pub executed_twice: usize,
    /// Attempts that got no answer from a healthy proxy.
    pub lost: usize,
    /// Attempts that were rejected.
    pub refused: usize,
    /// Attempts rejected while both the proxy and the control plane were healthy. Only the policy change can have
    /// caused these.
    pub refused_well: usize,
    /// Description of the first violation.
    pub first: Option<String>,
}

impl Verdict {
    /// Adds the verdict on another part of the fleet.
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

    /// Whether no invariant was violated.
    pub fn held(&self) -> bool {
        self.begun_mixed + self.begun_wrong + self.executed_twice + self.lost == 0
    }
}

/// Checks one run. `proxy_healthy` tells whether a proxy was healthy during a whole time span, `all_healthy` whether
/// its connection to the control plane and the control plane were, too.
pub fn check(
    mut begun: Vec<StartRecord>,
    publishes: &[PublishRecord],
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
    // Calls of the same microsecond have no order. The older mode is taken first, which is not a violation.
    begun.sort_by_key(|record| (record.at, record.mode.old, record.mode.new));
    let mut checker = InvariantChecker::default();
    let mut committed: Vec<&PublishRecord> = publishes.iter().filter(|h| h.in_force).collect();
    committed.sort_by_key(|h| h.at);
    let mut committed = committed.into_iter().peekable();
    let (mut newest, mut since) = (Generation(0), 0);
    for record in begun.iter().filter(|record| !record.floor) {
        if record.mode.old > newest {
            (newest, since) = (record.mode.old, record.at);
        }
        while let Some(publish) = committed.next_if(|h| h.at < record.at) {
            checker.record_committed(Generation(publish.generation));
        }
        let identity = Identity {
            name: record.proxy.to_string(),
            incarnation: 0,
        };
        if record.mode.new < newest {
            verdict.mixed_ms = verdict.mixed_ms.max((record.at - since) / 1_000);
        }
        let Some(violation) = checker.record_start(&StartedCall {
            identity,
            mode: record.mode,
        }) else {
            continue;
        };
        match violation {
            Violation::MixedGenerations { .. } => verdict.begun_mixed += 1,
            Violation::AbortedGeneration(_) | Violation::BehindCommitted { .. } => {
                verdict.begun_wrong += 1;
            }
        }
        first.get_or_insert_with(|| format!("{} at {}: {violation:?}", record.request, record.at));
    }
    for publish in publishes.iter().filter(|h| !h.in_force) {
        let count = begun
            .iter()
            .filter(|l| l.mode.old == Generation(publish.generation))
            .count();
        verdict.begun_wrong += count;
        if count > 0 {
            first.get_or_insert_with(|| {
                format!(
                    "{count} calls started under generation {}, which never was in force",
                    publish.generation
                )
            });
        }
    }
    for (key, count) in executed.iter().filter(|(_, &count)| count > 1) {
        verdict.executed_twice += 1;
        first.get_or_insert_with(|| format!("idempotency key {key} was executed {count} times"));
    }
    for attempt in attempts {
        let unanswered = matches!(attempt.ended, Ended::Silence | Ended::Cut | Ended::Nobody);
        if unanswered && proxy_healthy(attempt.proxy, attempt.from, attempt.until) {
            verdict.lost += 1;
            first.get_or_insert_with(|| format!("{attempt:?}: no answer from a healthy proxy"));
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
        StartRecord::parse(0, &text).expect("a start record")
    }

    fn verdict(begun: Vec<StartRecord>, publishes: &[PublishRecord]) -> Verdict {
        check(
            begun,
            publishes,
            &[],
            &HashMap::new(),
            |_, _, _| true,
            |_, _, _| true,
        )
    }

    #[test]
    fn each_violation_is_counted() {
        let good = vec![line(5, 1, 2), line(1, 1, 1), line(9, 2, 2), line(7, 1, 1)];
        assert!(verdict(good.clone(), &[]).held());
        let mut mixed = good.clone();
        mixed.push(line(4_009, 1, 1));
        let checked = verdict(mixed, &[]);
        assert_eq!((checked.begun_mixed, checked.mixed_ms), (1, 4));
        let publish = |generation, at, in_force| PublishRecord {
            generation,
            at,
            in_force,
            took_ms: 0,
            why: String::new(),
        };
        assert_eq!(verdict(good.clone(), &[publish(2, 6, true)]).begun_wrong, 1);
        assert_eq!(verdict(good, &[publish(2, 20, false)]).begun_wrong, 1);
        let executed = HashMap::from([("k".to_owned(), 2)]);
        let unanswered = Try {
            key: "k".to_owned(),
            proxy: 0,
            from: 1,
            until: 2,
            ended: Ended::Silence,
        };
        let checked = check(
            Vec::new(),
            &[],
            &[unanswered],
            &executed,
            |_, _, _| true,
            |_, _, _| true,
        );
        assert_eq!((checked.executed_twice, checked.lost), (1, 1));
        assert!(!checked.held());
    }
}
