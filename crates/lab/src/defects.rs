//! Seeded defects: small changes of the program's sources that each break something, applied to a copy of the tree. They
//! show what a hunt can see; the standing code never has them.

use crate::play::Fault;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Instant;

/// A defect: the text that is replaced, in which file, and by what.
#[derive(Clone, Copy, Debug)]
pub struct Defect {
    /// Its name.
    pub name: &'static str,
    /// What it does.
    pub what: &'static str,
    /// The file, from the root of the tree.
    pub file: &'static str,
    /// What stands there, once.
    pub from: &'static str,
    /// What takes its place.
    pub to: &'static str,
    /// The play in which it shows.
    pub play: &'static str,
}

const MODULE: &str = "crates/decisions/src/balance.rs";
const STATE: &str = "crates/decisions/src/state.rs";
const API: &str = "crates/decisions/src/api.rs";

/// All defects.
pub const DEFECTS: &[Defect] = &[
    Defect {
        name: "resend-unsafe",
        what: "an unsafe call goes again without proof",
        file: MODULE,
        from: "(Some(_), Repeat::SingleShot) => false,",
        to: "(Some(_), Repeat::SingleShot) => true,",
        play: "virtual",
    },
    Defect {
        name: "resend-outside-group",
        what: "a keyed call goes again outside its group",
        file: MODULE,
        from: "let inside = scope == Scope::All || zone || scope == Scope::Cell && first.cell == server.cell;",
        to: "let inside = true;",
        play: "virtual",
    },
    Defect {
        name: "zone-for-cell",
        what: "the group of a keyed call is taken for its zone",
        file: MODULE,
        from: "scope == Scope::Cell && first.cell == server.cell;",
        to: "scope == Scope::Cell && first.zone == server.zone;",
        play: "virtual",
    },
    Defect {
        name: "last-outcome-alone",
        what: "proof is looked for in the last attempt alone",
        file: STATE,
        from: "self.attempts.iter().find(|a| a.effect != Effect::NeverRan)",
        to: "self.attempts.last().filter(|a| a.effect != Effect::NeverRan)",
        play: "virtual",
    },
    Defect {
        name: "reset-is-proof",
        what: "a broken connection is taken as proof that nothing ran",
        file: API,
        from: "matches!(self, Outcome::TurnedAway | Outcome::NoConnection | Outcome::NotSent)",
        to: "matches!(self, Outcome::TurnedAway | Outcome::NoConnection | Outcome::NotSent | Outcome::Reset)",
        play: "virtual",
    },
    Defect {
        name: "error-is-proof",
        what: "an error is taken as proof that nothing ran",
        file: MODULE,
        from: "tried.effect = if outcome.never_ran() {",
        to: "tried.effect = if outcome.never_ran() || outcome == Outcome::Error {",
        play: "virtual",
    },
    Defect {
        name: "refuse-what-may-have-run",
        what: "what may have run is refused, which says that trying again is harmless",
        file: MODULE,
        from: "harmless || self.binding().is_none()",
        to: "harmless || self.out() == 0",
        play: "virtual",
    },
    Defect {
        name: "answer-twice",
        what: "a call that has ended is given up again when its attempt ends",
        file: MODULE,
        from: "} else if self.calls.get(&id).is_some_and(|c| !c.ended && !c.held && !c.rests && c.out() == 0) {",
        to: "} else if self.calls.get(&id).is_some_and(|c| !c.held && !c.rests && c.out() == 0) {",
        play: "virtual",
    },
    Defect {
        name: "drain-ignored",
        what: "a host that drains still counts as ready",
        file: MODULE,
        from: "server.listed = entry.state == State::Ready;",
        to: "server.listed = entry.state != State::Gone;",
        play: "virtual",
    },
    Defect {
        name: "gone-stays",
        what: "what a whole list leaves out stays listed",
        file: MODULE,
        from: "self.servers.iter_mut().for_each(|s| s.listed = false);",
        to: "self.servers.iter_mut().for_each(|_| {});",
        play: "virtual",
    },
    Defect {
        name: "cold-as-warm",
        what: "a cold host is taken for a warm one",
        file: STATE,
        from: "if self.started == 0 || age >= rules.cold_time {",
        to: "if self.started == 0 || age >= rules.cold_time / 100 {",
        play: "virtual",
    },
    Defect {
        name: "restart-unseen",
        what: "a restart under the same name keeps what was learned",
        file: MODULE,
        from: "if found.is_err() || entry.started > self.servers[place].started {",
        to: "if found.is_err() {",
        play: "virtual",
    },
    Defect {
        name: "slot-leaked",
        what: "an attempt that was called off keeps its place",
        file: MODULE,
        from: "server.in_flight = server.in_flight.saturating_sub(1);",
        to: "if outcome != Outcome::CalledOff { server.in_flight = server.in_flight.saturating_sub(1); }",
        play: "virtual",
    },
    Defect {
        name: "slot-freed-twice",
        what: "a time-out frees two places",
        file: MODULE,
        from: "server.in_flight = server.in_flight.saturating_sub(1);",
        to: "server.in_flight = server.in_flight.saturating_sub(1 + u32::from(outcome == Outcome::TimedOut));",
        play: "virtual",
    },
    Defect {
        name: "place-lost-on-restart",
        what: "a restart forgets what is in flight",
        file: MODULE,
        from: "(server.in_flight, server.budget.trial_out) = (old.in_flight, old.budget.trial_out);",
        to: "server.budget.trial_out = old.budget.trial_out;",
        play: "virtual",
    },
    Defect {
        name: "trial-never-back",
        what: "a trial that was called off or never sent is out for good",
        file: MODULE,
        from: "server.budget.trial_out &= !trial;\n                return;",
        to: "return;",
        play: "virtual",
    },
    Defect {
        name: "lost-wake-up",
        what: "no timer is asked for while calls are held",
        file: MODULE,
        from: "if next < self.timer_at {",
        to: "if next < self.timer_at && self.hold.is_empty() {",
        play: "virtual",
    },
    Defect {
        name: "timer-edge",
        what: "a held call is woken at its deadline, in place of one step before",
        file: MODULE,
        from: "let last = self.calls[&id].deadline.saturating_sub(self.settings.tick).max(now);",
        to: "let last = self.calls[&id].deadline.saturating_add(self.settings.tick).max(now);",
        play: "virtual",
    },
    Defect {
        name: "one-attempt-more",
        what: "a call has one attempt more than its file allows",
        file: MODULE,
        from: "(self.attempts.len() as u32) < self.terms.attempts",
        to: "(self.attempts.len() as u32) <= self.terms.attempts",
        play: "virtual",
    },
    Defect {
        name: "copies-for-all",
        what: "a second copy goes out whatever the file says",
        file: MODULE,
        from: "let hedge = if limits.second_copies { terms.hedge } else { Hedge::Never };",
        to: "let hedge = if limits.second_copies { Hedge::Auto } else { Hedge::Auto };",
        play: "virtual",
    },
    Defect {
        name: "send-after-answer",
        what: "a call that was answered stays in the hold",
        file: MODULE,
        from: "if std::mem::take(&mut call.held) {",
        to: "if std::mem::take(&mut call.held) && call.attempts.len() > 1 {",
        play: "virtual",
    },
    Defect {
        name: "call-forgotten",
        what: "a call whose second copy ends first is forgotten",
        file: MODULE,
        from: "if self.calls.get(&id).is_some_and(|c| c.ended && c.out() == 0) {",
        to: "if self.calls.get(&id).is_some_and(|c| c.ended || c.attempts.len() > 1 && c.out() == 0) {",
        play: "virtual",
    },
    Defect {
        name: "call-never-forgotten",
        what: "calls that were answered while an attempt was out are kept for good",
        file: MODULE,
        from: "            self.cancel_others(id, None, actions);\n        } else if",
        to: "            self.cancel_others(id, None, actions);\n            return;\n        } else if",
        play: "virtual",
    },
    Defect {
        name: "window-doubled",
        what: "a keyed call goes again until twice its window",
        file: MODULE,
        from: "inside && now.saturating_add(tick) < first.sent.saturating_add(window)",
        to: "inside && now.saturating_add(tick) < first.sent.saturating_add(window * 2)",
        play: "virtual",
    },
    Defect {
        name: "list-asked-once",
        what: "after a failure the list is not asked for again",
        file: MODULE,
        from: "self.ask_failures += 1;\n            if self.settings.ask {",
        to: "self.ask_failures += 1;\n            if self.settings.ask && self.ask_failures == 0 {",
        play: "virtual",
    },
    Defect {
        name: "hold-skipped",
        what: "what comes in goes to the hold and nobody looks at it until something else happens",
        file: MODULE,
        from: "self.wake_calls(now, actions);\n        self.drain_hold(now, actions);",
        to: "self.wake_calls(now, actions);\n        if !self.calls.len().is_multiple_of(3) { self.drain_hold(now, actions); }",
        play: "virtual",
    },
    Defect {
        name: "set-aside-for-good",
        what: "a host that was set aside is never tried again",
        file: MODULE,
        from: "self.listed && self.budget.steps == 0 && rested && self.warmth(now, rules) >= 1.0",
        to: "self.listed && self.budget.steps == 0 && rested && self.warmth(now, rules) > 1.0",
        play: "virtual",
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
pub fn table(root: &Path, only: Option<&str>, seconds: u64) -> Result<bool, Fault> {
    let copy = std::env::temp_dir().join(format!("badgerramp-defects-{}", std::process::id()));
    copy_tree(root, &copy)?;
    println!("{:<26}{:<10}{:<22}{:>10}{:>9}  what it does", "defect", "play", "rule", "found in", "events");
    let chosen = || DEFECTS.iter().filter(|d| only.is_none_or(|o| d.name.contains(o)));
    let (mut found, mut short) = (0, 0);
    for defect in chosen() {
        let hunted = hunted(&copy, defect, seconds)?;
        let (rule, time) = match &hunted.found {
            Some((rule, time)) => (rule.as_str(), format!("{time:.1} s")),
            None => ("not found", String::new()),
        };
        let events = hunted.events.map_or_else(String::new, |e| e.to_string());
        println!("{:<26}{:<10}{rule:<22}{time:>10}{events:>9}  {}", defect.name, defect.play, defect.what);
        found += usize::from(hunted.found.is_some());
        short += usize::from(hunted.events.is_some_and(|e| e < SHORT));
    }
    let count = chosen().count();
    println!("{found} of {count} found; {short} cut down to under {SHORT} events");
    std::fs::remove_dir_all(&copy).map_err(|e| Fault::Other(format!("{}: {e}", copy.display())))?;
    Ok(found + 2 >= count)
}

fn hunted(copy: &Path, defect: &Defect, seconds: u64) -> Result<Hunted, Fault> {
    let path = copy.join(defect.file);
    let io = |e: std::io::Error| Fault::Other(format!("{}: {e}", path.display()));
    let sound = std::fs::read_to_string(&path).map_err(io)?;
    if sound.matches(defect.from).count() != 1 {
        return Err(Fault::Other(format!("{}: its place is not in {} once", defect.name, defect.file)));
    }
    std::fs::write(&path, sound.replacen(defect.from, defect.to, 1)).map_err(io)?;
    let hunted = build(copy).and_then(|program| hunt(&program, defect, seconds));
    std::fs::write(&path, sound).map_err(io)?;
    hunted
}

fn build(copy: &Path) -> Result<PathBuf, Fault> {
    let mut command = Command::new("cargo");
    command
        .args(["build", "--release", "--quiet", "--locked", "--package", "badgerramp-lab"])
        .current_dir(copy);
    // One place for all builds: only what a defect touches is built anew.
    command.env("CARGO_TARGET_DIR", copy.join("target"));
    let done = command.output().map_err(|e| Fault::Other(format!("cargo: {e}")))?;
    if !done.status.success() {
        return Err(Fault::Other(format!("it does not build: {}", String::from_utf8_lossy(&done.stderr))));
    }
    Ok(copy.join("target/release/badgerramp-lab"))
}

fn hunt(program: &Path, defect: &Defect, seconds: u64) -> Result<Hunted, Fault> {
    let out = program.with_file_name("finds");
    let _ = std::fs::remove_dir_all(&out);
    let began = Instant::now();
    let mut command = Command::new(program);
    command.args(["hunt", "--stop", "--play", defect.play, "--seconds", &seconds.to_string()]);
    command.args(["--count", "1000000", "--out"]).arg(&out);
    let done = command.output().map_err(|e| Fault::Other(format!("{}: {e}", program.display())))?;
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
    let hunted =
        text.lines().find_map(|l| number(l, " requests in ")).unwrap_or(began.elapsed().as_secs_f64());
    // A hunt that did not come to its end has found that the program fails.
    if !matches!(done.status.code(), Some(0 | 1)) {
        return Ok(Hunted { found: Some(("crashed".to_owned(), hunted)), events: None });
    }
    let kinds = text.lines().filter_map(|l| l.split_once(": ").filter(|(rule, _)| !rule.contains(' ')));
    let rules: Vec<String> =
        kinds.filter_map(|(r, _)| badgerramp_world::Rule::named(r)).map(|r| r.to_string()).collect();
    let events = text.lines().filter_map(|l| number(l, "cut down to ")).map(|e| e as u64).min();
    Ok(Hunted { found: rules.first().map(|r| (r.clone(), hunted)), events })
}

/// Copies what a build needs.
fn copy_tree(root: &Path, to: &Path) -> Result<(), Fault> {
    let io = |path: &Path, e: std::io::Error| Fault::Other(format!("{}: {e}", path.display()));
    let mut folders = vec![PathBuf::new()];
    while let Some(folder) = folders.pop() {
        std::fs::create_dir_all(to.join(&folder)).map_err(|e| io(&to.join(&folder), e))?;
        let from = root.join(&folder);
        for entry in std::fs::read_dir(&from).map_err(|e| io(&from, e))? {
            let entry = entry.map_err(|e| io(&from, e))?;
            let (name, place) = (entry.file_name(), folder.join(entry.file_name()));
            let left_out = ["target", ".git", "journal", "fuzz", "docs"].iter().any(|n| name == *n);
            match entry.file_type() {
                Ok(kind) if kind.is_dir() && !left_out => folders.push(place),
                Ok(kind) if kind.is_file() => {
                    std::fs::copy(root.join(&place), to.join(&place)).map_err(|e| io(&to.join(&place), e))?;
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
            let text = std::fs::read_to_string(root.join(defect.file)).expect("a source");
            assert_eq!(text.matches(defect.from).count(), 1, "{}", defect.name);
            assert_ne!(defect.from, defect.to);
        }
        let mut names: Vec<&str> = DEFECTS.iter().map(|d| d.name).collect();
        names.sort_unstable();
        names.dedup();
        assert_eq!(names.len(), DEFECTS.len());
    }
}
