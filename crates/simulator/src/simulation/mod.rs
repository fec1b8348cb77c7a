//! Ways to play a scenario.

mod event_queue;
mod gossip;
mod proxy;
mod virtual_time;

pub use proxy::zone as proxy_zone;
pub use virtual_time::run as run_in_virtual_time;

use crate::run_result::RunResult;
use badgerramp_config::Diagnostics;
use badgerramp_sim_model::{Invariant, InvariantChecker, Micros, OpId, Scenario};
use std::fmt;
use std::sync::Arc;

/// How a course is played.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunOptions {
    /// All chance is drawn from it.
    pub seed: u64,
    /// A call whose course is written down.
    pub trace: Option<OpId>,
    /// What happens at one instant comes in a drawn order, in place of the order in which it was caused.
    pub shuffle: bool,
    /// Stop at the first broken rule.
    pub stop_at_violation: bool,
}

/// How a scenario is played.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Backend {
    /// The decisions, routes and operator's files in virtual time.
    Virtual,
    /// The program's own socket code over a network in memory, under paused time.
    Sockets,
    /// The built program as processes on loopback, in real time.
    Real,
}

impl Backend {
    /// Its name on the command line and in results.
    pub fn name(self) -> &'static str {
        match self {
            Backend::Virtual => "virtual",
            Backend::Sockets => "sockets",
            Backend::Real => "real",
        }
    }

    /// Does it want the machine to itself?
    pub fn needs_idle_machine(self) -> bool {
        match self {
            Backend::Virtual | Backend::Sockets => false,
            Backend::Real => true,
        }
    }

    /// The play itself.
    pub fn run_function(
        self,
    ) -> fn(&Arc<Scenario>, RunOptions) -> Result<RunResult, SimulationError> {
        match self {
            Backend::Virtual => run_in_virtual_time,
            Backend::Sockets => crate::sockets::run_in_memory,
            Backend::Real => crate::sockets::run_on_loopback,
        }
    }

    /// Plays a scenario.
    ///
    /// # Errors
    /// If it can't be played.
    pub fn run(
        self,
        scenario: &Arc<Scenario>,
        options: RunOptions,
    ) -> Result<RunResult, SimulationError> {
        self.run_function()(scenario, options)
    }
}

/// Why a scenario can't be played.
#[derive(Debug)]
pub enum SimulationError {
    /// The operator's file that it makes is not good.
    OperatorFile(Diagnostics),
    /// Anything else.
    Other(String),
}

impl fmt::Display for SimulationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SimulationError::OperatorFile(mistakes) => write!(f, "{mistakes}"),
            SimulationError::Other(text) => f.write_str(text),
        }
    }
}

impl std::error::Error for SimulationError {}

impl From<Diagnostics> for SimulationError {
    fn from(mistakes: Diagnostics) -> Self {
        SimulationError::OperatorFile(mistakes)
    }
}

/// Fewer things wanted than that say nothing of recovery.
const RECOVERY_TOLD: u64 = 30;

/// The liveness judge: after the last fault goodput is back within the stated time.
pub fn check_recovery(scenario: &Scenario, course: &RunResult, judge: &mut InvariantChecker) {
    let Some(within) = scenario.criteria.recovery_time else {
        return;
    };
    let from = scenario.last_fault_end() + within;
    let (goodput, wanted) = course.goodput_between(from, scenario.duration);
    if wanted >= RECOVERY_TOLD && goodput < scenario.criteria.recovered_share {
        let text = format!(
            "goodput {goodput:.3} from {:.1} s on, {:.1} s after the last fault; {:.3} is asked",
            to_seconds(from),
            to_seconds(within),
            scenario.criteria.recovered_share
        );
        judge.record(Invariant::NotRecovered, from, None, text);
    }
}

/// Microseconds in seconds.
pub fn to_seconds(at: Micros) -> f64 {
    at as f64 / 1e6
}
