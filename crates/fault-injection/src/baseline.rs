//! Other ways to bring a policy to a fleet, under the same faults: files that are pushed and a signal, two phases, a spread
//! in its own time. No control, no leases: a proxy goes by the file that it read last.

use crate::checker::StartRecord;
use crate::clients::{Ended, Try};
use crate::process::LogLine;
use badgerramp_policy::{Generation, Micros, Mode};
use std::time::Duration;

/// How a policy comes to the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Distribution {
    /// By control: everywhere or nowhere.
    Control,
    /// The file of each proxy is written and it gets a signal; one that can't be reached is tried again for a while.
    Files,
    /// First all must be there, then all are told; one that is lost in between is told when it is back.
    TwoPhase,
    /// Each proxy fetches it in its own time, when it can.
    Spread,
}

impl Distribution {
    /// Its name.
    pub const NAMES: [&'static str; 4] = ["control", "files", "two-phase", "spread"];

    /// The way of this name.
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

/// How long the pusher tries to reach one that it can't, and a spread takes when all is well.
pub const RETRY_DURATION: Duration = Duration::from_secs(2);

/// A file that was written: when, for which proxy, of which generation.
pub type WrittenFile = (Micros, usize, u64);

/// The calls that began, where no proxy tells its generation: a proxy goes by the file that it had last read when a try
/// came that was not refused.
pub fn started_calls(
    attempts: &[Try],
    logs: &[Vec<LogLine>],
    written: &[WrittenFile],
) -> Vec<StartRecord> {
    let read = |proxy: usize| -> Vec<(Micros, u64)> {
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
    let read: Vec<_> = (0..logs.len()).map(read).collect();
    let answered = |t: &&Try| matches!(t.ended, Ended::Status(status) if status != 503);
    let line = |t: &Try| {
        let held = read[t.proxy]
            .iter()
            .take_while(|(at, _)| *at <= t.from)
            .last()?;
        let mode = Mode::stable(0, Generation(held.1));
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
    fn a_call_is_of_the_file_that_was_read_last() {
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
        let held: Vec<u64> = started_calls(&attempts, &logs, &written)
            .iter()
            .map(|l| l.mode.new.0)
            .collect();
        assert_eq!(held, [1, 1, 2, 2]);
    }
}
