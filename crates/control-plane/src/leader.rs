//! Functions of a replica while it leads: it grants leases and carries out the steps of each change.
//!
//! Leases are kept in the leader's memory for the term in which they were granted. They are dropped when the replica no
//! longer leads; the next leader waits until all of them have expired.

mod changes;
mod leases;
mod not_leader;

pub(crate) use leases::{PendingLeaseRequests, ProxyView};
pub(crate) use not_leader::NotLeader;

use crate::progress::{self, ChangeBefore};
use crate::settings::Settings;
use crate::store::{RaftTypes, Store};
use badgerramp_control_protocol::clock;
use badgerramp_policy::regions::Region;
use badgerramp_policy::{ChangeTimeouts, Command, LeaseConfig, Leases, Micros, Outcome};
use leases::{PendingLeaseRequest, LEASE_BATCH};
use openraft::{Raft, ServerState};
use std::collections::BTreeSet;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{mpsc, Notify};
use tracing::info;

/// Number of batches of lease requests that may be queued.
const QUEUED_BATCHES: usize = 4;

/// State of a replica while it leads.
struct LeaderState {
    term: u64,
    leases: Leases,
    /// The current revision, and when this leader first saw it.
    revision_since: Option<(u64, Micros)>,
}

/// The leader functions of a replica. Every replica has them, and uses them while it leads.
pub(crate) struct Leader {
    raft: Raft<RaftTypes>,
    store: Store,
    lease_config: LeaseConfig,
    timeouts: ChangeTimeouts,
    other_regions: BTreeSet<Region>,
    /// `None` while this replica does not lead.
    state: Mutex<Option<LeaderState>>,
    lease_requests: mpsc::Sender<PendingLeaseRequest>,
    /// Wakes [`Leader::run_changes`] after an event that may allow the next step of a change.
    wake: Notify,
}

fn micros(time: Duration) -> Micros {
    Micros::try_from(time.as_micros()).unwrap_or(Micros::MAX)
}

impl Leader {
    /// Creates the leader functions of a replica. The caller must run [`Leader::run_changes`] and
    /// [`Leader::answer_lease_requests`] as tasks.
    pub(crate) fn new(
        raft: Raft<RaftTypes>,
        store: Store,
        settings: &Settings,
    ) -> (Self, PendingLeaseRequests) {
        let (lease_requests, pending) = mpsc::channel(QUEUED_BATCHES * LEASE_BATCH);
        let (other_regions, vote_timeout) = match &settings.regions {
            Some(regions) => (regions.regions.others().clone(), regions.vote_timeout),
            None => (BTreeSet::new(), settings.change_timeout),
        };
        let leader = Leader {
            raft,
            store,
            lease_config: LeaseConfig {
                duration: micros(settings.lease_duration),
                max_clock_drift: micros(settings.max_clock_drift),
            },
            timeouts: ChangeTimeouts {
                proxies: micros(settings.change_timeout),
                regions: micros(vote_timeout),
            },
            other_regions,
            state: Mutex::default(),
            lease_requests,
            wake: Notify::new(),
        };
        (leader, pending)
    }

    fn state(&self) -> MutexGuard<'_, Option<LeaderState>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the term in which this replica leads, as far as it knows.
    fn leading_term(&self) -> Option<u64> {
        let metrics = self.raft.metrics().borrow().clone();
        (metrics.state == ServerState::Leader).then_some(metrics.current_term)
    }

    /// Drops the state of a term that has ended, and creates new state, without leases, for a new term.
    fn refresh<'s>(&self, state: &'s mut Option<LeaderState>) -> Option<&'s mut LeaderState> {
        let Some(term) = self.leading_term() else {
            *state = None;
            return None;
        };
        if state.as_ref().is_none_or(|current| current.term != term) {
            info!(term, "became leader");
            *state = Some(LeaderState {
                term,
                leases: Leases::after_election(self.lease_config, clock::now()),
                revision_since: None,
            });
        }
        state.as_mut()
    }

    /// Returns whether this replica leads, as far as it knows.
    pub(crate) fn is_leading(&self) -> bool {
        self.leading_term().is_some()
    }

    /// Confirms with a quorum that this replica still leads, and waits until it has applied all commands committed before
    /// the call.
    pub(crate) async fn confirm(&self) -> Result<(), NotLeader> {
        self.raft.ensure_linearizable().await?;
        Ok(())
    }

    /// Proposes a command to the replicas and returns its outcome once it is committed and applied.
    pub(crate) async fn propose(&self, command: Command) -> Result<Outcome, NotLeader> {
        let before = self.store.read(ChangeBefore::new);
        let written = self.raft.client_write(command.clone()).await;
        self.wake.notify_one();
        let outcome = written?.data;
        self.store
            .read(|after| progress::log_step(&before, &command, &outcome, after));
        Ok(outcome)
    }
}
