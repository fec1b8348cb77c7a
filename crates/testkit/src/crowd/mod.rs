//! Crowds of clients that use up memory and descriptors in several ways, beside a few usual clients, and the hosts that
//! answer them. All of it runs on loopback, in a thread of its own, for a bounded time.
//!
//! - `behavior`: what one client of a crowd does.
//! - `usual`: clients that send one small request at a time, and what became of their requests.
//! - `gate`: what the clients have to know of the signals that the program gets.
//! - `hosts`: hosts whose responses are as long as the request asks, with a record of all executions.
//! - `http`: reading of responses.

mod behavior;
mod gate;
mod hosts;
mod http;
mod usual;

pub use behavior::Behavior;
pub use gate::Gate;
pub use hosts::{ExecutionRecord, SizedHosts};
pub use usual::{Loss, UsualClients, UsualTotals};

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

/// A crowd: how many clients do what.
#[derive(Clone, Debug)]
pub struct Crowd {
    /// The proxy that the clients connect to.
    pub target: SocketAddr,
    /// Each behavior with its number of clients.
    pub members: Vec<(Behavior, usize)>,
    /// Number of usual clients beside them.
    pub usual_clients: usize,
    /// How long the crowd stays.
    pub duration: Duration,
    /// Seeds the pauses of the clients.
    pub seed: u64,
    /// When the clients may open connections.
    pub gate: Gate,
}

impl Crowd {
    /// Runs the crowd in a thread of its own, which returns the totals of the usual clients.
    ///
    /// # Panics
    /// If the target is not a loopback address.
    pub fn start(self) -> thread::JoinHandle<UsualTotals> {
        assert!(
            self.target.ip().is_loopback(),
            "the target must be a loopback address"
        );
        thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("a runtime");
            runtime.block_on(self.run())
        })
    }

    /// Runs the crowd and returns the totals of the usual clients.
    pub async fn run(self) -> UsualTotals {
        let usual = UsualClients {
            target: self.target,
            count: self.usual_clients,
            seed: self.seed,
            gate: self.gate.clone(),
        };
        let mut members = tokio::task::JoinSet::new();
        let mut number = 0;
        for (behavior, count) in self.members {
            for _ in 0..count {
                members.spawn(behavior.run(self.target, self.gate.clone(), self.seed, number));
                number += 1;
            }
        }
        // The members end when the set is dropped.
        usual.run(self.duration).await
    }
}
