//! Seeded defects: small changes to the program's sources, each of which introduces a bug. They are applied only to a copy
//! of the source tree, to measure which bugs the search for violations detects.

mod source_match;

use crate::simulation::SimulationError;
use source_match::find_all;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Instant;

/// A replacement in a source file: the file, an excerpt that occurs there exactly once, and its replacement.
pub type Edit = (&'static str, &'static str, &'static str);

/// A seeded defect.
#[derive(Clone, Copy, Debug)]
pub struct Defect {
    /// Unique name.
    pub name: &'static str,
    /// What the changed program does wrong.
    pub description: &'static str,
    /// Name of the backend whose runs can show the defect.
    pub backend: &'static str,
    /// The changes. File names are relative to the root of the source tree.
    pub edits: &'static [Edit],
}

const ADMISSION: &str = "crates/decisions/src/balancer/admission.rs";
const API_EVENT: &str = "crates/decisions/src/api/event.rs";
const ATTEMPTS: &str = "crates/decisions/src/balancer/attempts.rs";
const BALANCER: &str = "crates/decisions/src/balancer/mod.rs";
const CALL: &str = "crates/decisions/src/call.rs";
const ENDPOINT_INDEX: &str = "crates/decisions/src/endpoint_index/mod.rs";
const FEEDBACK: &str = "crates/decisions/src/balancer/feedback.rs";
const MEMBERSHIP: &str = "crates/decisions/src/balancer/membership.rs";
const RETRY: &str = "crates/decisions/src/balancer/retry.rs";
const SLOW_START: &str = "crates/decisions/src/balancer/slow_start.rs";
const TIMERS: &str = "crates/decisions/src/balancer/timers.rs";
const WAIT_QUEUE: &str = "crates/decisions/src/balancer/wait_queue.rs";
const DRIVER: &str = "crates/proxy/src/net/driver/mod.rs";
const DRIVER_CALLS: &str = "crates/proxy/src/net/driver/calls.rs";
const DRIVER_TIMERS: &str = "crates/proxy/src/net/driver/timers.rs";
const UPSTREAM_ATTEMPT: &str = "crates/proxy/src/net/upstream/attempt.rs";
const UPSTREAM_BODY: &str = "crates/proxy/src/net/upstream/body.rs";
const UPSTREAM_POOL: &str = "crates/proxy/src/net/upstream/pool.rs";
const CLIENT_CONNECTION: &str = "crates/proxy/src/net/client_connection/mod.rs";
const DESCRIPTORS: &str = "crates/proxy/src/net/descriptors.rs";

/// All defects.
pub const DEFECTS: &[Defect] = &[
    Defect {
        name: "resend-unsafe",
        description: "retries a non-idempotent call without proof that it was not executed",
        backend: "virtual",
        edits: &[
            (RETRY, "(Some(_), Idempotency::NonIdempotent) => None", "(Some(_), Idempotency::NonIdempotent) => Some(AllowedEndpoints::All)"),
            // The configured `retry_on` prevents such a retry as well.
            (RETRY, "call.policy.retry_on == RetryOn::AnyFailure || call.first_maybe_executed().is_none();", "true;"),
        ],
    },
    Defect {
        name: "resend-outside-group",
        description: "retries a keyed call outside its dedup group",
        backend: "virtual",
        edits: &[(RETRY, "let dedup_group = (scope, first.zone, first.cell);", "let dedup_group = (DedupScope::All, first.zone, first.cell);")],
    },
    Defect {
        name: "zone-for-cell",
        description: "uses the zone in place of the cell as the dedup group of a keyed call",
        backend: "virtual",
        edits: &[(ENDPOINT_INDEX, "DedupScope::Cell => self.cells.get(cell.0)", "DedupScope::Cell => self.zones.get(zone.0)")],
    },
    Defect {
        name: "last-outcome-alone",
        description: "checks only the last attempt for a possible execution",
        backend: "virtual",
        edits: &[(CALL, "self.attempts.iter().find(|a| a.execution != Execution::NotExecuted)", "self.attempts.last().filter(|a| a.execution != Execution::NotExecuted)")],
    },
    Defect {
        name: "reset-is-proof",
        description: "treats a reset connection as proof that the request was not executed",
        backend: "virtual",
        edits: &[(API_EVENT, "matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)", "matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent | Outcome::Reset)")],
    },
    Defect {
        name: "error-is-proof",
        description: "treats an error response as proof that the request was not executed",
        backend: "virtual",
        edits: &[(FEEDBACK, "tried.execution = if outcome.proves_not_executed() {", "tried.execution = if outcome.proves_not_executed() || outcome == Outcome::Error {")],
    },
    Defect {
        name: "refuse-what-may-have-run",
        description: "rejects calls that may have been executed, which tells clients that a retry is safe",
        backend: "virtual",
        edits: &[(ADMISSION, "harmless || self.first_maybe_executed().is_none()", "harmless || self.attempts_in_flight() == 0")],
    },
    Defect {
        name: "answer-twice",
        description: "fails a call that has ended a second time when its last attempt ends",
        backend: "virtual",
        edits: &[
            (
                RETRY,
                "} else if self.calls.get(&id).is_some_and(|c| !c.ended && !c.queued && !c.backing_off && c.attempts_in_flight() == 0) {",
                "} else if self.calls.get(&id).is_some_and(|c| !c.queued && !c.backing_off && c.attempts_in_flight() == 0) {",
            ),
            (RETRY, "if closed || outcome == Outcome::Served {", "if outcome == Outcome::Served {"),
        ],
    },
    Defect {
        name: "drain-ignored",
        description: "treats a draining endpoint as ready",
        backend: "virtual",
        edits: &[(MEMBERSHIP, "self.set_listed(now, slot, entry.status == EndpointStatus::Ready);", "self.set_listed(now, slot, entry.status != EndpointStatus::Removed);")],
    },
    Defect {
        name: "gone-stays",
        description: "keeps endpoints that a full endpoint list no longer contains",
        backend: "virtual",
        edits: &[(MEMBERSHIP, "for slot in self.endpoints.missing_from_full_list() {", "for slot in self.endpoints.missing_from_full_list().into_iter().take(0) {")],
    },
    Defect {
        name: "cold-as-warm",
        description: "treats a cold endpoint as a warm one",
        backend: "virtual",
        edits: &[(SLOW_START, "if self.started_at == 0 || age >= rules.slow_start_duration {", "if self.started_at == 0 || age >= rules.slow_start_duration / 100 {")],
    },
    Defect {
        name: "restart-unseen",
        description: "keeps the learned state of an endpoint that restarts under the same name",
        backend: "virtual",
        edits: &[(MEMBERSHIP, "existing.filter(|&slot| entry.started <= self.endpoints[slot].started_at);", "existing;")],
    },
    Defect {
        name: "slot-leaked",
        description: "does not release the slot of a cancelled attempt",
        backend: "virtual",
        edits: &[(FEEDBACK, "endpoint.in_flight = endpoint.in_flight.saturating_sub(1);", "if outcome != Outcome::Cancelled { endpoint.in_flight = endpoint.in_flight.saturating_sub(1); }")],
    },
    Defect {
        name: "slot-freed-twice",
        description: "releases two slots for a timed-out attempt",
        backend: "virtual",
        edits: &[(FEEDBACK, "endpoint.in_flight = endpoint.in_flight.saturating_sub(1);", "endpoint.in_flight = endpoint.in_flight.saturating_sub(1 + u32::from(outcome == Outcome::TimedOut));")],
    },
    Defect {
        name: "place-lost-on-restart",
        description: "loses the count of attempts in flight when an endpoint restarts",
        backend: "virtual",
        edits: &[(MEMBERSHIP, "endpoint.in_flight = old.in_flight;\n        endpoint.limit.trial_in_flight", "endpoint.limit.trial_in_flight")],
    },
    Defect {
        name: "trial-never-back",
        description: "never ends a trial of the concurrency limit whose attempt was cancelled or not sent",
        backend: "virtual",
        edits: &[(FEEDBACK, "endpoint.limit.trial_in_flight &= !is_trial;\n            return;", "return;")],
    },
    Defect {
        name: "lost-wake-up",
        description: "sets no timer while calls are in the wait queue",
        backend: "virtual",
        edits: &[(TIMERS, "if next < self.timer_at {", "if next < self.timer_at && self.wait_queue.is_empty() {")],
    },
    Defect {
        name: "timer-edge",
        description: "wakes a queued call after its deadline, not one tick before it",
        backend: "virtual",
        edits: &[(WAIT_QUEUE, "let last = call.deadline.saturating_sub(self.settings.tick).max(now);", "let last = call.deadline.saturating_add(self.settings.tick).max(now);")],
    },
    Defect {
        name: "one-attempt-more",
        description: "allows one attempt more than the configured maximum",
        backend: "virtual",
        edits: &[(RETRY, "(self.attempts.len() as u32) < self.policy.max_attempts", "(self.attempts.len() as u32) <= self.policy.max_attempts")],
    },
    Defect {
        name: "copies-for-all",
        description: "sends hedged requests even if they are disabled",
        backend: "virtual",
        edits: &[(ADMISSION, "let hedge = if limits.hedging { policy.hedge } else { Hedge::Never };", "let hedge = if limits.hedging { Hedge::Auto } else { Hedge::Auto };")],
    },
    Defect {
        name: "send-after-answer",
        description: "leaves an answered call in the wait queue",
        backend: "virtual",
        edits: &[(ATTEMPTS, "if std::mem::take(&mut call.queued) {", "if std::mem::take(&mut call.queued) && call.attempts.len() > 1 {")],
    },
    Defect {
        name: "call-forgotten",
        description: "forgets a call whose hedged request ends first",
        backend: "virtual",
        edits: &[(ATTEMPTS, "if call.is_some_and(|c| c.ended && c.attempts_in_flight() == 0) {", "if call.is_some_and(|c| c.ended || c.attempts.len() > 1 && c.attempts_in_flight() == 0) {")],
    },
    Defect {
        name: "call-never-forgotten",
        description: "never drops calls that were answered while an attempt was in flight",
        backend: "virtual",
        edits: &[(RETRY, "            self.cancel_attempts(id, None, actions);\n        } else if", "            self.cancel_attempts(id, None, actions);\n            return;\n        } else if")],
    },
    Defect {
        name: "window-doubled",
        description: "retries a keyed call until twice its deduplication window has passed",
        backend: "virtual",
        edits: &[(RETRY, "if now.saturating_add(self.settings.tick) < first.sent_at.saturating_add(window) =>", "if now.saturating_add(self.settings.tick) < first.sent_at.saturating_add(window * 2) =>")],
    },
    Defect {
        name: "list-asked-once",
        description: "does not poll the endpoint list again after a failed poll",
        backend: "virtual",
        edits: &[(MEMBERSHIP, "self.list_poll_failures += 1;\n            if self.settings.poll_endpoint_list {", "self.list_poll_failures += 1;\n            if self.settings.poll_endpoint_list && self.list_poll_failures == 0 {")],
    },
    Defect {
        name: "hold-skipped",
        description: "leaves some calls in the wait queue until another event dispatches it",
        backend: "virtual",
        edits: &[(BALANCER, "self.run_call_timers(now, actions);\n        self.dispatch_queue(now, actions);", "self.run_call_timers(now, actions);\n        if !self.calls.len().is_multiple_of(3) { self.dispatch_queue(now, actions); }")],
    },
    Defect {
        name: "set-aside-for-good",
        description: "never tries an ejected endpoint again",
        backend: "virtual",
        edits: &[(MEMBERSHIP, "recovery_at: self.limit.backoff_until.max(self.paused_until).max(slow_start_end)", "recovery_at: Micros::MAX")],
    },
    Defect {
        name: "start-unasked",
        description: "writes a request without checking whether the attempt may still start",
        backend: "sockets",
        edits: &[
            (UPSTREAM_ATTEMPT, "if !may_start() {", "if !may_start() && target.generation == u64::MAX {"),
        ],
    },
    Defect {
        name: "used-with-noise",
        description: "reuses a connection even if unexpected bytes have arrived on it",
        backend: "sockets",
        edits: &[
            (UPSTREAM_ATTEMPT, "if connection.is_idle().await {", "if connection.is_idle().await || !has_long_head {"),
            (UPSTREAM_POOL, "&& connection.generation == target.generation && self.is_ready(&mut connection).await {", "&& connection.generation == target.generation {"),
        ],
    },
    Defect {
        name: "truncated-served",
        description: "serves a response that other data follows, as if its framing were right",
        backend: "sockets",
        edits: &[
            (UPSTREAM_ATTEMPT, "let TrailingData::Other(length) = trailing_data else {", "let Some(length) = None::<usize> else {"),
        ],
    },
    Defect {
        name: "time-out-is-proof",
        description: "reports a timed-out attempt as a failed connect",
        backend: "sockets",
        edits: &[
            (DRIVER_TIMERS, "Some(Attempt { started: false, .. }) => Outcome::ConnectFailed", "Some(_) => Outcome::ConnectFailed"),
        ],
    },
    Defect {
        name: "break-is-proof",
        description: "reports a connection lost during a request as a failed connect",
        backend: "sockets",
        edits: &[
            (UPSTREAM_ATTEMPT, "Err(ExchangeError::ConnectionLost) if connection.all_written.get() => {\n            return Outcome::Reset.into()", "Err(ExchangeError::ConnectionLost) if connection.all_written.get() => {\n            return Outcome::ConnectFailed.into()"),
        ],
    },
    Defect {
        name: "spoilt-is-proof",
        description: "reports an invalid response as a rejection by the endpoint",
        backend: "sockets",
        edits: &[
            (UPSTREAM_ATTEMPT, "Err(ExchangeError::InvalidResponse) => return Outcome::Error.into()", "Err(ExchangeError::InvalidResponse) => return Outcome::Rejected.into()"),
        ],
    },
    Defect {
        name: "cut-body-served",
        description: "serves a response body that is cut off by the end of the connection",
        backend: "sockets",
        edits: &[
            (UPSTREAM_BODY, "_ => return Err(ExchangeError::InvalidResponse),\n    };", "_ => max_body_len,\n    };"),
        ],
    },
    Defect {
        name: "open-not-counted",
        description: "does not decrement the count of open calls when a call ends unserved",
        backend: "sockets",
        edits: &[
            (DRIVER_CALLS, "if let Some(sender) = call.answer.take() {\n            self.open_calls -= 1;\n            self.timers", "if let Some(sender) = call.answer.take() {\n            self.timers"),
        ],
    },
    Defect {
        name: "calls-kept",
        description: "keeps calls after they have ended",
        backend: "sockets",
        edits: &[
            (DRIVER_CALLS, "is_some_and(|call| !call.is_open() && !call.has_attempt_in_flight())", "is_some_and(|call| !call.is_open() && call.attempts.is_empty())"),
        ],
    },
    Defect {
        name: "timer-not-moved",
        description: "does not wake the timer task when an earlier timer is set",
        backend: "sockets",
        edits: &[
            (DRIVER, "if core.timers.first().copied() != first_timer {", "if core.timers.first().copied() != first_timer && core.timers.is_empty() {"),
        ],
    },
    Defect {
        name: "descriptor-kept",
        description: "does not decrement the count of open descriptors when a socket closes",
        backend: "sockets",
        edits: &[
            (DESCRIPTORS, "self.0.open.set(self.0.open.get() - 1);", "self.0.open.set(self.0.open.get());"),
        ],
    },
    Defect {
        name: "no-linger",
        description: "closes a connection while request bytes still arrive after an early response",
        backend: "sockets",
        edits: &[
            (CLIENT_CONNECTION, "while left > 0 {", "while left > MAX_LINGER_LEN {"),
        ],
    },
    Defect {
        name: "gone-untold",
        description: "does not report a client disconnect to the balancer",
        backend: "sockets",
        edits: &[
            (DRIVER_CALLS, "self.core.borrow_mut().finish_call(call, None);\n        self.handle_event(Event::ClientDisconnected { call });", "self.core.borrow_mut().finish_call(call, None);"),
        ],
    },
];

/// Result of the search for one defect.
#[derive(Clone, Debug)]
struct Detection {
    /// The violated invariant and the duration of the search in seconds; None if no violation was found.
    found: Option<(String, f64)>,
    /// Number of events of the smallest shrunk scenario that shows the violation.
    events: Option<u64>,
}

/// Shrunk scenarios with fewer events count as short.
const SHORT_SCENARIO_EVENTS: u64 = 20;

/// Builds the program with each defect in a copy of the source tree, searches for violations, shrinks what it finds, and
/// prints a table. Only defects whose name contains `name_filter` are built. Returns whether at most two were not found.
///
/// # Errors
/// If the tree can't be copied or does not build.
pub fn table(
    root: &Path,
    name_filter: Option<&str>,
    seconds: u64,
) -> Result<bool, SimulationError> {
    let copy = std::env::temp_dir().join(format!("badgerramp-defects-{}", std::process::id()));
    copy_tree(root, &copy)?;
    println!(
        "{:<26}{:<10}{:<22}{:>10}{:>9}  what it does",
        "defect", "play", "rule", "found in", "events"
    );
    let selected = || {
        DEFECTS
            .iter()
            .filter(|d| name_filter.is_none_or(|text| d.name.contains(text)))
    };
    let (mut found, mut short) = (0, 0);
    for defect in selected() {
        let detection = detect(&copy, defect, seconds)?;
        let (invariant, time) = match &detection.found {
            Some((invariant, time)) => (invariant.as_str(), format!("{time:.1} s")),
            None => ("not found", String::new()),
        };
        let events = detection.events.map_or_else(String::new, |e| e.to_string());
        println!(
            "{:<26}{:<10}{invariant:<22}{time:>10}{events:>9}  {}",
            defect.name, defect.backend, defect.description
        );
        found += usize::from(detection.found.is_some());
        short += usize::from(detection.events.is_some_and(|e| e < SHORT_SCENARIO_EVENTS));
    }
    let count = selected().count();
    println!("{found} of {count} found; {short} cut down to under {SHORT_SCENARIO_EVENTS} events");
    std::fs::remove_dir_all(&copy)
        .map_err(|e| SimulationError::Other(format!("{}: {e}", copy.display())))?;
    Ok(found + 2 >= count)
}

/// Applies the defect to the copy of the source tree, builds it and searches for violations. Afterwards the changed files are
/// restored.
fn detect(copy: &Path, defect: &Defect, seconds: u64) -> Result<Detection, SimulationError> {
    let mut originals = Vec::new();
    for (file, from, to) in defect.edits {
        let path = copy.join(file);
        let io = |e: std::io::Error| SimulationError::Other(format!("{}: {e}", path.display()));
        let text = std::fs::read_to_string(&path).map_err(io)?;
        let matches = find_all(&text, from);
        let [range] = matches.as_slice() else {
            return Err(SimulationError::Other(format!(
                "{}: the excerpt does not occur exactly once in {file}",
                defect.name
            )));
        };
        let changed = [&text[..range.start], to, &text[range.end..]].concat();
        std::fs::write(&path, changed).map_err(io)?;
        originals.push((path, text));
    }
    let detection = build(copy).and_then(|program| hunt(&program, defect, seconds));
    // In reverse order, as a file may have been changed more than once.
    for (path, text) in originals.into_iter().rev() {
        std::fs::write(&path, text)
            .map_err(|e| SimulationError::Other(format!("{}: {e}", path.display())))?;
    }
    detection
}

/// Builds the program in the copy of the source tree. Returns its path.
fn build(copy: &Path) -> Result<PathBuf, SimulationError> {
    let mut command = Command::new("cargo");
    command
        .args([
            "build",
            "--release",
            "--quiet",
            "--locked",
            "--package",
            "badgerramp-simulator",
        ])
        .current_dir(copy);
    // All builds share a target directory and are incremental. Short build times matter more than a fast program.
    command
        .env("CARGO_INCREMENTAL", "1")
        .env("CARGO_PROFILE_RELEASE_OPT_LEVEL", "1");
    command.env("CARGO_PROFILE_RELEASE_CODEGEN_UNITS", "64");
    command.env("CARGO_TARGET_DIR", copy.join("target"));
    let done = command
        .output()
        .map_err(|e| SimulationError::Other(format!("cargo: {e}")))?;
    if !done.status.success() {
        return Err(SimulationError::Other(format!(
            "the build failed: {}",
            String::from_utf8_lossy(&done.stderr)
        )));
    }
    Ok(copy.join("target/release/badgerramp-sim"))
}

/// Runs the program's `hunt` command and parses its output.
fn hunt(program: &Path, defect: &Defect, seconds: u64) -> Result<Detection, SimulationError> {
    let out = program.with_file_name("finds");
    let _ = std::fs::remove_dir_all(&out);
    let started = Instant::now();
    let mut command = Command::new(program);
    command.args([
        "hunt",
        "--stop",
        "--play",
        defect.backend,
        "--seconds",
        &seconds.to_string(),
    ]);
    command.args(["--count", "1000000", "--out"]).arg(&out);
    let done = command
        .output()
        .map_err(|e| SimulationError::Other(format!("{}: {e}", program.display())))?;
    let text = String::from_utf8_lossy(&done.stdout);
    let number = |line: &str, after: &str| -> Option<f64> {
        line.split_once(after)?
            .1
            .split_whitespace()
            .next()?
            .trim_end_matches(|c: char| !c.is_ascii_digit())
            .parse()
            .ok()
    };
    let duration = text
        .lines()
        .find_map(|l| number(l, " requests in "))
        .unwrap_or(started.elapsed().as_secs_f64());
    // Any other exit status means that the program itself crashed, which counts as found.
    if !matches!(done.status.code(), Some(0 | 1)) {
        return Ok(Detection {
            found: Some(("crashed".to_owned(), duration)),
            events: None,
        });
    }
    let signatures = text.lines().filter_map(|l| {
        l.split_once(": ")
            .filter(|(invariant, _)| !invariant.contains(' '))
    });
    let invariants: Vec<String> = signatures
        .filter_map(|(name, _)| badgerramp_sim_model::Invariant::from_name(name))
        .map(|invariant| invariant.to_string())
        .collect();
    let events = text
        .lines()
        .filter_map(|l| number(l, "cut down to "))
        .map(|e| e as u64)
        .min();
    Ok(Detection {
        found: invariants
            .first()
            .map(|invariant| (invariant.clone(), duration)),
        events,
    })
}

/// Copies the source tree, without directories that a build does not need.
fn copy_tree(root: &Path, to: &Path) -> Result<(), SimulationError> {
    let io =
        |path: &Path, e: std::io::Error| SimulationError::Other(format!("{}: {e}", path.display()));
    let mut directories = vec![PathBuf::new()];
    while let Some(directory) = directories.pop() {
        std::fs::create_dir_all(to.join(&directory)).map_err(|e| io(&to.join(&directory), e))?;
        let from = root.join(&directory);
        for entry in std::fs::read_dir(&from).map_err(|e| io(&from, e))? {
            let entry = entry.map_err(|e| io(&from, e))?;
            let (name, path) = (entry.file_name(), directory.join(entry.file_name()));
            let excluded = ["target", ".git", "journal", "fuzz", "docs"]
                .iter()
                .any(|n| name == *n);
            match entry.file_type() {
                Ok(kind) if kind.is_dir() && !excluded => directories.push(path),
                Ok(kind) if kind.is_file() => {
                    std::fs::copy(root.join(&path), to.join(&path))
                        .map_err(|e| io(&to.join(&path), e))?;
                }
                _ => {}
            }
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    /// An excerpt that no longer occurs exactly once in the sources would keep its defect from being tested.
    #[test]
    fn excerpt_of_each_defect_occurs_exactly_once() {
        let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
        for defect in DEFECTS {
            for (file, from, to) in defect.edits {
                let text =
                    std::fs::read_to_string(root.join(file)).expect("the source file is readable");
                assert_eq!(find_all(&text, from).len(), 1, "{}", defect.name);
                assert_ne!(from, to);
            }
        }
        let mut names: Vec<&str> = DEFECTS.iter().map(|d| d.name).collect();
        names.sort_unstable();
        names.dedup();
        assert_eq!(names.len(), DEFECTS.len());
    }
}
