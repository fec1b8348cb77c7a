//! Ways to distribute a policy without the control plane, tested under the same faults: configuration files pushed with
//! a signal, two-phase distribution, and gradual distribution. There are no leases; each proxy uses the file that it
//! read last.

use crate::checker::StartRecord;
use crate::clients::{Ended, Try};
use crate::process::LogLine;
use badgerramp_policy::{Generation, Micros, Mode};
use std::time::Duration;

/// How a policy is distributed to the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Distribution {
    /// By the control plane: the policy is in force everywhere or nowhere.
    Control,
    /// The file of each proxy is replaced and the proxy gets a SIGHUP; an unreachable proxy is retried for
    /// [`RETRY_DURATION`].
    Files,
    /// All proxies must be reachable before the file of any is replaced; one that becomes unreachable in between gets
    /// its file when it is reachable again.
    TwoPhase,
    /// Each proxy gets the file at its own time, when it is reachable.
    Spread,
}

impl Distribution {
    /// The command-line names of all variants, in order.
    pub const NAMES: [&'static str; 4] = ["control", "files", "two-phase", "spread"];

    /// The variant with this command-line name.
    pub fn from_name(name: &str) -> Option<Self> {
        let all = [
            Distribution::Control,
            Distribution::Files,
            Distribution::TwoPhase,
            Distribution::Spread,
        ];
        Self::NAMES
            .iter()
            .position(|n| *n == name)
            .map(|index| all[index])
    }
}

/// How long an unreachable proxy is retried, and how long gradual distribution takes without faults.
pub const RETRY_DURATION: Duration = Duration::from_secs(2);

/// A configuration file that was written: the time, the proxy and the generation.
pub type WrittenFile = (Micros, usize, u64);

/// Derives the calls that started, and under which generation, for proxies that do not log their generation: an attempt
/// that was not rejected ran under the file that the proxy had last read.
pub fn started_calls(
    attempts: &[Try],
    logs: &[Vec<LogLine>],
    written: &[WrittenFile],
) -> Vec<StartRecord> {
    let files_read = |proxy: usize| -> Vec<(Micros, u64)> {
        let reads = |line: &&LogLine| {
            line.1.contains("listening on") || line.1.contains("the new configuration holds")
        };
        let generation_at = |at: Micros| {
            let before = written
                .iter()
                .filter(|w| w.1 == proxy && w.0 <= at)
                .map(|w| w.2);
            before.fold(1, |_, generation| generation)
        };
        logs[proxy]
            .iter()
            .filter(reads)
            .map(|(at, _)| (*at, generation_at(*at)))
            .collect()
    };
    let read_by_proxy: Vec<_> = (0..logs.len()).map(files_read).collect();
    let answered = |t: &&Try| matches!(t.ended, Ended::Status(status) if status != 503);
    let line = |t: &Try| {
        let file = read_by_proxy[t.proxy]
            .iter()
            .take_while(|(at, _)| *at <= t.from)
            .last()?;
        let mode = Mode::stable(0, Generation(file.1));
        Some(StartRecord {
            at: t.from,
            proxy: t.proxy,
            mode,
            floor: false,
            request: t.key.clone(),
        })
    };
    attempts.iter().filter(answered).filter_map(line).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_call_runs_under_the_file_that_the_proxy_read_last() {
        let line = |at, text: &str| (at, text.to_owned());
        let logs = vec![vec![
            line(1, "listening on x"),
            line(30, "the new configuration holds"),
        ]];
        let written = [(20, 0, 2), (40, 0, 3)];
        let call = |from, status| Try {
            key: String::new(),
            proxy: 0,
            from,
            until: from + 1,
            ended: Ended::Status(status),
        };
        let attempts = [
            call(10, 200),
            call(25, 200),
            call(35, 200),
            call(50, 200),
            call(60, 503),
        ];
        let generations: Vec<u64> = started_calls(&attempts, &logs, &written)
            .iter()
            .map(|l| l.mode.new.0)
            .collect();
        assert_eq!(generations, [1, 1, 2, 2]);
    }
}
