//! Ways to play a scenario.

mod among;
mod events;
mod shell;
mod virtually;

pub use shell::zone as proxy_zone;
pub use virtually::play as virtually;

use crate::course::Course;
use badgerramp_config::Diagnostics;
use badgerramp_sim_model::{Invariant, InvariantChecker, Micros, OpId, Scenario};
use std::fmt;
use std::sync::Arc;

/// How a course is played.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Options {
    /// All chance is drawn from it.
    pub seed: u64,
    /// A call whose course is written down.
    pub trace: Option<OpId>,
    /// What happens at one instant comes in a drawn order, in place of the order in which it was caused.
    pub shuffle: bool,
    /// Stop at the first broken rule.
    pub stop: bool,
}

/// How a scenario is played.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Way {
    /// The decisions, routes and operator's files in virtual time.
    Virtual,
    /// The program's own socket code over a network in memory, under paused time.
    Sockets,
    /// The built program as processes on loopback, in real time.
    Real,
}

impl Way {
    /// Its name on the command line and in results.
    pub fn name(self) -> &'static str {
        match self {
            Way::Virtual => "virtual",
            Way::Sockets => "sockets",
            Way::Real => "real",
        }
    }

    /// Does it want the machine to itself?
    pub fn alone(self) -> bool {
        match self {
            Way::Virtual | Way::Sockets => false,
            Way::Real => true,
        }
    }

    /// The play itself.
    pub fn function(self) -> fn(&Arc<Scenario>, Options) -> Result<Course, Fault> {
        match self {
            Way::Virtual => virtually,
            Way::Sockets => crate::sockets::play,
            Way::Real => crate::sockets::really,
        }
    }

    /// Plays a scenario.
    ///
    /// # Errors
    /// If it can't be played.
    pub fn play(self, scenario: &Arc<Scenario>, options: Options) -> Result<Course, Fault> {
        self.function()(scenario, options)
    }
}

/// Why a scenario can't be played.
#[derive(Debug)]
pub enum Fault {
    /// The operator's file that it makes is not good.
    Operator(Diagnostics),
    /// Anything else.
    Other(String),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Operator(mistakes) => write!(f, "{mistakes}"),
            Fault::Other(text) => f.write_str(text),
        }
    }
}

impl std::error::Error for Fault {}

impl From<Diagnostics> for Fault {
    fn from(mistakes: Diagnostics) -> Self {
        Fault::Operator(mistakes)
    }
}

/// Fewer things wanted than that say nothing of recovery.
const RECOVERY_TOLD: u64 = 30;

/// The liveness judge: after the last fault goodput is back within the stated time.
pub fn judge_recovery(scenario: &Scenario, course: &Course, judge: &mut InvariantChecker) {
    let Some(within) = scenario.criteria.recovery_time else {
        return;
    };
    let from = scenario.last_fault_end() + within;
    let (goodput, wanted) = course.goodput_between(from, scenario.duration);
    if wanted >= RECOVERY_TOLD && goodput < scenario.criteria.recovered_share {
        let text = format!(
            "goodput {goodput:.3} from {:.1} s on, {:.1} s after the last fault; {:.3} is asked",
            seconds(from),
            seconds(within),
            scenario.criteria.recovered_share
        );
        judge.record(Invariant::NotRecovered, from, None, text);
    }
}

/// Microseconds in seconds.
pub fn seconds(at: Micros) -> f64 {
    at as f64 / 1e6
}
