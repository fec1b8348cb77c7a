//! Seeded defects: small changes of the program's sources that each break something, applied to a copy of the tree. They
//! show what a hunt can see; the standing code never has them.

mod source_match;

use crate::simulation::SimulationError;
use source_match::find_all;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Instant;

/// A change: in which file, what stands there once, and what takes its place.
pub type Edit = (&'static str, &'static str, &'static str);

/// A defect.
#[derive(Clone, Copy, Debug)]
pub struct Defect {
    /// Its name.
    pub name: &'static str,
    /// What it does.
    pub what: &'static str,
    /// The play in which it shows.
    pub play: &'static str,
    /// What is changed. Files are named from the root of the tree.
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
        what: "an unsafe call goes again without proof",
        play: "virtual",
        edits: &[
            (RETRY, "(Some(_), Idempotency::NonIdempotent) => None", "(Some(_), Idempotency::NonIdempotent) => Some(AllowedEndpoints::All)"),
            // The file's own word stands guard as well.
            (RETRY, "call.policy.retry_on == RetryOn::AnyFailure || call.first_maybe_executed().is_none();", "true;"),
        ],
    },
    Defect {
        name: "resend-outside-group",
        what: "a keyed call goes again outside its group",
        play: "virtual",
        edits: &[(RETRY, "let dedup_group = (scope, first.zone, first.cell);", "let dedup_group = (DedupScope::All, first.zone, first.cell);")],
    },
    Defect {
        name: "zone-for-cell",
        what: "the group of a keyed call is taken for its zone",
        play: "virtual",
        edits: &[(ENDPOINT_INDEX, "DedupScope::Cell => self.cells.get(cell.0)", "DedupScope::Cell => self.zones.get(zone.0)")],
    },
    Defect {
        name: "last-outcome-alone",
        what: "proof is looked for in the last attempt alone",
        play: "virtual",
        edits: &[(CALL, "self.attempts.iter().find(|a| a.execution != Execution::NotExecuted)", "self.attempts.last().filter(|a| a.execution != Execution::NotExecuted)")],
    },
    Defect {
        name: "reset-is-proof",
        what: "a broken connection is taken as proof that nothing ran",
        play: "virtual",
        edits: &[(API_EVENT, "matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)", "matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent | Outcome::Reset)")],
    },
    Defect {
        name: "error-is-proof",
        what: "an error is taken as proof that nothing ran",
        play: "virtual",
        edits: &[(FEEDBACK, "tried.execution = if outcome.proves_not_executed() {", "tried.execution = if outcome.proves_not_executed() || outcome == Outcome::Error {")],
    },
    Defect {
        name: "refuse-what-may-have-run",
        what: "what may have run is refused, which says that trying again is harmless",
        play: "virtual",
        edits: &[(ADMISSION, "harmless || self.first_maybe_executed().is_none()", "harmless || self.attempts_in_flight() == 0")],
    },
    Defect {
        name: "answer-twice",
        what: "a call that has ended is given up again when its last attempt ends",
        play: "virtual",
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
        what: "a host that drains still counts as ready",
        play: "virtual",
        edits: &[(MEMBERSHIP, "self.set_listed(now, slot, entry.status == EndpointStatus::Ready);", "self.set_listed(now, slot, entry.status != EndpointStatus::Removed);")],
    },
    Defect {
        name: "gone-stays",
        what: "what a whole list leaves out stays listed",
        play: "virtual",
        edits: &[(MEMBERSHIP, "for slot in self.endpoints.missing_from_full_list() {", "for slot in self.endpoints.missing_from_full_list().into_iter().take(0) {")],
    },
    Defect {
        name: "cold-as-warm",
        what: "a cold host is taken for a warm one",
        play: "virtual",
        edits: &[(SLOW_START, "if self.started_at == 0 || age >= rules.slow_start_duration {", "if self.started_at == 0 || age >= rules.slow_start_duration / 100 {")],
    },
    Defect {
        name: "restart-unseen",
        what: "a restart under the same name keeps what was learned",
        play: "virtual",
        edits: &[(MEMBERSHIP, "existing.filter(|&slot| entry.started <= self.endpoints[slot].started_at);", "existing;")],
    },
    Defect {
        name: "slot-leaked",
        what: "an attempt that was called off keeps its place",
        play: "virtual",
        edits: &[(FEEDBACK, "endpoint.in_flight = endpoint.in_flight.saturating_sub(1);", "if outcome != Outcome::Cancelled { endpoint.in_flight = endpoint.in_flight.saturating_sub(1); }")],
    },
    Defect {
        name: "slot-freed-twice",
        what: "a time-out frees two places",
        play: "virtual",
        edits: &[(FEEDBACK, "endpoint.in_flight = endpoint.in_flight.saturating_sub(1);", "endpoint.in_flight = endpoint.in_flight.saturating_sub(1 + u32::from(outcome == Outcome::TimedOut));")],
    },
    Defect {
        name: "place-lost-on-restart",
        what: "a restart forgets what is in flight",
        play: "virtual",
        edits: &[(MEMBERSHIP, "endpoint.in_flight = old.in_flight;\n        endpoint.limit.trial_in_flight", "endpoint.limit.trial_in_flight")],
    },
    Defect {
        name: "trial-never-back",
        what: "a trial that was called off or never sent is out for good",
        play: "virtual",
        edits: &[(FEEDBACK, "endpoint.limit.trial_in_flight &= !is_trial;\n            return;", "return;")],
    },
    Defect {
        name: "lost-wake-up",
        what: "no timer is asked for while calls are held",
        play: "virtual",
        edits: &[(TIMERS, "if next < self.timer_at {", "if next < self.timer_at && self.wait_queue.is_empty() {")],
    },
    Defect {
        name: "timer-edge",
        what: "a held call is woken at its deadline, in place of one step before",
        play: "virtual",
        edits: &[(WAIT_QUEUE, "let last = call.deadline.saturating_sub(self.settings.tick).max(now);", "let last = call.deadline.saturating_add(self.settings.tick).max(now);")],
    },
    Defect {
        name: "one-attempt-more",
        what: "a call has one attempt more than its file allows",
        play: "virtual",
        edits: &[(RETRY, "(self.attempts.len() as u32) < self.policy.max_attempts", "(self.attempts.len() as u32) <= self.policy.max_attempts")],
    },
    Defect {
        name: "copies-for-all",
        what: "a second copy goes out whatever the file says",
        play: "virtual",
        edits: &[(ADMISSION, "let hedge = if limits.hedging { policy.hedge } else { Hedge::Never };", "let hedge = if limits.hedging { Hedge::Auto } else { Hedge::Auto };")],
    },
    Defect {
        name: "send-after-answer",
        what: "a call that was answered stays in the hold",
        play: "virtual",
        edits: &[(ATTEMPTS, "if std::mem::take(&mut call.queued) {", "if std::mem::take(&mut call.queued) && call.attempts.len() > 1 {")],
    },
    Defect {
        name: "call-forgotten",
        what: "a call whose second copy ends first is forgotten",
        play: "virtual",
        edits: &[(ATTEMPTS, "if call.is_some_and(|c| c.ended && c.attempts_in_flight() == 0) {", "if call.is_some_and(|c| c.ended || c.attempts.len() > 1 && c.attempts_in_flight() == 0) {")],
    },
    Defect {
        name: "call-never-forgotten",
        what: "calls that were answered while an attempt was out are kept for good",
        play: "virtual",
        edits: &[(RETRY, "            self.cancel_attempts(id, None, actions);\n        } else if", "            self.cancel_attempts(id, None, actions);\n            return;\n        } else if")],
    },
    Defect {
        name: "window-doubled",
        what: "a keyed call goes again until twice its window",
        play: "virtual",
        edits: &[(RETRY, "if now.saturating_add(self.settings.tick) < first.sent_at.saturating_add(window) =>", "if now.saturating_add(self.settings.tick) < first.sent_at.saturating_add(window * 2) =>")],
    },
    Defect {
        name: "list-asked-once",
        what: "after a failure the list is not asked for again",
        play: "virtual",
        edits: &[(MEMBERSHIP, "self.list_poll_failures += 1;\n            if self.settings.poll_endpoint_list {", "self.list_poll_failures += 1;\n            if self.settings.poll_endpoint_list && self.list_poll_failures == 0 {")],
    },
    Defect {
        name: "hold-skipped",
        what: "what comes in goes to the hold and nobody looks at it until something else happens",
        play: "virtual",
        edits: &[(BALANCER, "self.run_call_timers(now, actions);\n        self.dispatch_queue(now, actions);", "self.run_call_timers(now, actions);\n        if !self.calls.len().is_multiple_of(3) { self.dispatch_queue(now, actions); }")],
    },
    Defect {
        name: "set-aside-for-good",
        what: "a host that was set aside is never tried again",
        play: "virtual",
        edits: &[(MEMBERSHIP, "recovery_at: self.limit.backoff_until.max(self.paused_until).max(slow_start_end)", "recovery_at: Micros::MAX")],
    },
    Defect {
        name: "start-unasked",
        what: "a request is written without asking whether it may still start",
        play: "sockets",
        edits: &[
            (UPSTREAM_ATTEMPT, "if !may_start() {", "if !may_start() && target.generation == u64::MAX {"),
        ],
    },
    Defect {
        name: "used-with-noise",
        what: "a connection is used again whatever has come in on it",
        play: "sockets",
        edits: &[
            (UPSTREAM_POOL, "if !current || state != ConnectionState::Ready {", "if !current {"),
            (UPSTREAM_POOL, "&& connection.generation == target.generation && self.is_ready(&mut connection).await {", "&& connection.generation == target.generation {"),
        ],
    },
    Defect {
        name: "time-out-is-proof",
        what: "an attempt that timed out is taken as one that was never written",
        play: "sockets",
        edits: &[
            (DRIVER_TIMERS, "Some(Attempt { started: false, .. }) => Outcome::ConnectFailed", "Some(_) => Outcome::ConnectFailed"),
        ],
    },
    Defect {
        name: "break-is-proof",
        what: "a connection that broke under a request is told as one that never was",
        play: "sockets",
        edits: &[
            (UPSTREAM_ATTEMPT, "Err(ExchangeError::ConnectionLost) if connection.all_written.get() => {\n            return Outcome::Reset.into()", "Err(ExchangeError::ConnectionLost) if connection.all_written.get() => {\n            return Outcome::ConnectFailed.into()"),
        ],
    },
    Defect {
        name: "spoilt-is-proof",
        what: "an answer that can't be read is told as one of a host that turned the call away",
        play: "sockets",
        edits: &[
            (UPSTREAM_ATTEMPT, "Err(ExchangeError::InvalidResponse) => return Outcome::Error.into()", "Err(ExchangeError::InvalidResponse) => return Outcome::Rejected.into()"),
        ],
    },
    Defect {
        name: "cut-body-served",
        what: "a body that ends with its connection is served",
        play: "sockets",
        edits: &[
            (UPSTREAM_BODY, "_ => return Err(ExchangeError::InvalidResponse),\n    };", "_ => body_most,\n    };"),
        ],
    },
    Defect {
        name: "open-not-counted",
        what: "calls that end unserved stay counted as open",
        play: "sockets",
        edits: &[
            (DRIVER_CALLS, "if let Some(sender) = call.answer.take() {\n            self.open_calls -= 1;\n            self.timers", "if let Some(sender) = call.answer.take() {\n            self.timers"),
        ],
    },
    Defect {
        name: "calls-kept",
        what: "calls that have ended are kept",
        play: "sockets",
        edits: &[
            (DRIVER_CALLS, "is_some_and(|call| !call.is_open() && !call.has_attempt_in_flight())", "is_some_and(|call| !call.is_open() && call.attempts.is_empty())"),
        ],
    },
    Defect {
        name: "timer-not-moved",
        what: "an earlier timer does not wake the one who waits for the next",
        play: "sockets",
        edits: &[
            (DRIVER, "if core.timers.first().copied() != first_timer {", "if core.timers.first().copied() != first_timer && core.timers.is_empty() {"),
        ],
    },
    Defect {
        name: "descriptor-kept",
        what: "sockets are never counted out",
        play: "sockets",
        edits: &[
            (DESCRIPTORS, "self.0.open.set(self.0.open.get() - 1);", "self.0.open.set(self.0.open.get());"),
        ],
    },
    Defect {
        name: "no-linger",
        what: "a connection is closed on what still comes in after an early answer",
        play: "sockets",
        edits: &[
            (CLIENT_CONNECTION, "while left > 0 {", "while left > MAX_LINGER_LEN {"),
        ],
    },
    Defect {
        name: "gone-untold",
        what: "the decisions are not told of a client that has left",
        play: "sockets",
        edits: &[
            (DRIVER_CALLS, "self.core.borrow_mut().finish_call(call, None);\n        self.event(Event::ClientDisconnected { call });", "self.core.borrow_mut().finish_call(call, None);"),
        ],
    },
];

/// What came of a hunt for a defect.
#[derive(Clone, Debug)]
struct Hunted {
    /// The rule that broke first, and after how many seconds of hunting; None: nothing was found.
    found: Option<(String, f64)>,
    /// Events of the shortest schedule that still shows it.
    events: Option<u64>,
}

/// Events that a schedule may have which is worth the name of short.
const SHORT: u64 = 20;

/// Builds the program with each defect in a copy of the tree, hunts, cuts down, and prints the table. True if at most
/// two were not found.
///
/// # Errors
/// If the copy can't be made, or the tree does not build.
pub fn table(root: &Path, only: Option<&str>, seconds: u64) -> Result<bool, SimulationError> {
    let copy = std::env::temp_dir().join(format!("badgerramp-defects-{}", std::process::id()));
    copy_tree(root, &copy)?;
    println!(
        "{:<26}{:<10}{:<22}{:>10}{:>9}  what it does",
        "defect", "play", "rule", "found in", "events"
    );
    let chosen = || {
        DEFECTS
            .iter()
            .filter(|d| only.is_none_or(|o| d.name.contains(o)))
    };
    let (mut found, mut short) = (0, 0);
    for defect in chosen() {
        let hunted = hunted(&copy, defect, seconds)?;
        let (rule, time) = match &hunted.found {
            Some((rule, time)) => (rule.as_str(), format!("{time:.1} s")),
            None => ("not found", String::new()),
        };
        let events = hunted.events.map_or_else(String::new, |e| e.to_string());
        println!(
            "{:<26}{:<10}{rule:<22}{time:>10}{events:>9}  {}",
            defect.name, defect.play, defect.what
        );
        found += usize::from(hunted.found.is_some());
        short += usize::from(hunted.events.is_some_and(|e| e < SHORT));
    }
    let count = chosen().count();
    println!("{found} of {count} found; {short} cut down to under {SHORT} events");
    std::fs::remove_dir_all(&copy)
        .map_err(|e| SimulationError::Other(format!("{}: {e}", copy.display())))?;
    Ok(found + 2 >= count)
}

fn hunted(copy: &Path, defect: &Defect, seconds: u64) -> Result<Hunted, SimulationError> {
    let mut sound = Vec::new();
    for (file, from, to) in defect.edits {
        let path = copy.join(file);
        let io = |e: std::io::Error| SimulationError::Other(format!("{}: {e}", path.display()));
        let text = std::fs::read_to_string(&path).map_err(io)?;
        let places = find_all(&text, from);
        let [place] = places.as_slice() else {
            return Err(SimulationError::Other(format!(
                "{}: its place is not in {file} once",
                defect.name
            )));
        };
        let changed = [&text[..place.start], to, &text[place.end..]].concat();
        std::fs::write(&path, changed).map_err(io)?;
        sound.push((path, text));
    }
    let hunted = build(copy).and_then(|program| hunt(&program, defect, seconds));
    // In reverse: a file may have been changed twice.
    for (path, text) in sound.into_iter().rev() {
        std::fs::write(&path, text)
            .map_err(|e| SimulationError::Other(format!("{}: {e}", path.display())))?;
    }
    hunted
}

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
    // One place for all builds, and quick ones: only what a defect touches is built anew, and it need not run fast.
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
            "it does not build: {}",
            String::from_utf8_lossy(&done.stderr)
        )));
    }
    Ok(copy.join("target/release/badgerramp-sim"))
}

fn hunt(program: &Path, defect: &Defect, seconds: u64) -> Result<Hunted, SimulationError> {
    let out = program.with_file_name("finds");
    let _ = std::fs::remove_dir_all(&out);
    let began = Instant::now();
    let mut command = Command::new(program);
    command.args([
        "hunt",
        "--stop",
        "--play",
        defect.play,
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
    let hunted = text
        .lines()
        .find_map(|l| number(l, " requests in "))
        .unwrap_or(began.elapsed().as_secs_f64());
    // A hunt that did not come to its end has found that the program fails.
    if !matches!(done.status.code(), Some(0 | 1)) {
        return Ok(Hunted {
            found: Some(("crashed".to_owned(), hunted)),
            events: None,
        });
    }
    let kinds = text
        .lines()
        .filter_map(|l| l.split_once(": ").filter(|(rule, _)| !rule.contains(' ')));
    let rules: Vec<String> = kinds
        .filter_map(|(r, _)| badgerramp_sim_model::Invariant::from_name(r))
        .map(|r| r.to_string())
        .collect();
    let events = text
        .lines()
        .filter_map(|l| number(l, "cut down to "))
        .map(|e| e as u64)
        .min();
    Ok(Hunted {
        found: rules.first().map(|r| (r.clone(), hunted)),
        events,
    })
}

/// Copies what a build needs.
fn copy_tree(root: &Path, to: &Path) -> Result<(), SimulationError> {
    let io =
        |path: &Path, e: std::io::Error| SimulationError::Other(format!("{}: {e}", path.display()));
    let mut folders = vec![PathBuf::new()];
    while let Some(folder) = folders.pop() {
        std::fs::create_dir_all(to.join(&folder)).map_err(|e| io(&to.join(&folder), e))?;
        let from = root.join(&folder);
        for entry in std::fs::read_dir(&from).map_err(|e| io(&from, e))? {
            let entry = entry.map_err(|e| io(&from, e))?;
            let (name, place) = (entry.file_name(), folder.join(entry.file_name()));
            let left_out = ["target", ".git", "journal", "fuzz", "docs"]
                .iter()
                .any(|n| name == *n);
            match entry.file_type() {
                Ok(kind) if kind.is_dir() && !left_out => folders.push(place),
                Ok(kind) if kind.is_file() => {
                    std::fs::copy(root.join(&place), to.join(&place))
                        .map_err(|e| io(&to.join(&place), e))?;
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

    /// A defect whose place has moved would be none: the table would count what was never tried.
    #[test]
    fn each_defect_has_its_one_place_in_the_sources() {
        let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
        for defect in DEFECTS {
            for (file, from, to) in defect.edits {
                let text = std::fs::read_to_string(root.join(file)).expect("a source");
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
