//! Simulation runs of a scenario, and the backends that they run on.

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

/// Options of a simulation run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunOptions {
    /// Seed of all random streams.
    pub seed: u64,
    /// The operation whose events are traced.
    pub trace: Option<OpId>,
    /// Whether events that are due at the same time happen in random order instead of the order in which they were caused.
    pub shuffle: bool,
    /// Whether the run stops at the first violation of an invariant.
    pub stop_at_violation: bool,
}

/// What a scenario runs on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Backend {
    /// The proxy's decisions, routes and operator's file on modelled hosts, in virtual time.
    Virtual,
    /// The proxy's socket code on an in-memory network, under paused time.
    Sockets,
    /// The built program as processes on the loopback interface, in real time.
    Real,
}

impl Backend {
    /// The backend's name on the command line and in results.
    pub fn name(self) -> &'static str {
        match self {
            Backend::Virtual => "virtual",
            Backend::Sockets => "sockets",
            Backend::Real => "real",
        }
    }

    /// Whether other load on the machine would distort a run.
    pub fn needs_idle_machine(self) -> bool {
        match self {
            Backend::Virtual | Backend::Sockets => false,
            Backend::Real => true,
        }
    }

    /// The function that runs a scenario on this backend.
    pub fn run_function(
        self,
    ) -> fn(&Arc<Scenario>, RunOptions) -> Result<RunResult, SimulationError> {
        match self {
            Backend::Virtual => run_in_virtual_time,
            Backend::Sockets => crate::sockets::run_in_memory,
            Backend::Real => crate::sockets::run_on_loopback,
        }
    }

    /// Runs a scenario on this backend.
    ///
    /// # Errors
    /// If the scenario can't be run.
    pub fn run(
        self,
        scenario: &Arc<Scenario>,
        options: RunOptions,
    ) -> Result<RunResult, SimulationError> {
        self.run_function()(scenario, options)
    }
}

/// Why a scenario can't be run.
#[derive(Debug)]
pub enum SimulationError {
    /// The scenario's file, or the operator's file generated from it, is invalid.
    InvalidFile(Diagnostics),
    /// Any other reason.
    Other(String),
}

impl fmt::Display for SimulationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SimulationError::InvalidFile(diagnostics) => write!(f, "{diagnostics}"),
            SimulationError::Other(text) => f.write_str(text),
        }
    }
}

impl std::error::Error for SimulationError {}

impl From<Diagnostics> for SimulationError {
    fn from(diagnostics: Diagnostics) -> Self {
        SimulationError::InvalidFile(diagnostics)
    }
}

/// Minimum number of operations from which recovery is judged.
const MIN_RECOVERY_OPERATIONS: u64 = 30;

/// Checks the liveness invariant: goodput recovers within the scenario's recovery time after the last fault.
pub fn check_recovery(scenario: &Scenario, result: &RunResult, invariants: &mut InvariantChecker) {
    let Some(within) = scenario.criteria.recovery_time else {
        return;
    };
    let from = scenario.last_fault_end() + within;
    let (goodput, operations) = result.goodput_between(from, scenario.duration);
    if operations >= MIN_RECOVERY_OPERATIONS && goodput < scenario.criteria.recovered_share {
        let text = format!(
            "goodput {goodput:.3} from {:.1} s on, {:.1} s after the last fault; required {:.3}",
            to_seconds(from),
            to_seconds(within),
            scenario.criteria.recovered_share
        );
        invariants.record(Invariant::NotRecovered, from, None, text);
    }
}

/// Converts microseconds to seconds.
pub fn to_seconds(time: Micros) -> f64 {
    time as f64 / 1e6
}
