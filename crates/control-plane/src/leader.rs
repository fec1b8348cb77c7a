//! What a replica does while it leads: it grants leases, and drives each change from step to step.
//!
//! Leases live in the leader's memory, with the term that they were granted in. They are dropped when the replica no
//! longer leads; the next leader waits for all of them to expire.

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

/// How many batches of lease requests may wait.
const QUEUED_BATCHES: usize = 4;

/// What a replica knows while it leads.
struct LeaderState {
    term: u64,
    leases: Leases,
    /// The present revision, and when this leader first saw it.
    revision_since: Option<(u64, Micros)>,
}

/// The part of a replica that acts while it leads. Every replica has one.
pub(crate) struct Leader {
    raft: Raft<RaftTypes>,
    store: Store,
    lease_config: LeaseConfig,
    timeouts: ChangeTimeouts,
    other_regions: BTreeSet<Region>,
    /// `None`: this replica does not lead.
    state: Mutex<Option<LeaderState>>,
    lease_requests: mpsc::Sender<PendingLeaseRequest>,
    /// Wakes [`Leader::run_changes`] when something has happened that may let a change take its next step.
    wake: Notify,
}

fn micros(time: Duration) -> Micros {
    Micros::try_from(time.as_micros()).unwrap_or(Micros::MAX)
}

impl Leader {
    /// The part of this replica. [`Leader::run_changes`] and [`Leader::answer_lease_requests`] must run beside it.
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

    /// The term that this replica leads in, as far as it knows.
    fn leading_term(&self) -> Option<u64> {
        let metrics = self.raft.metrics().borrow().clone();
        (metrics.state == ServerState::Leader).then_some(metrics.current_term)
    }

    /// Drops the leases of a term that has ended, and starts with none in a new one.
    fn refresh<'s>(&self, state: &'s mut Option<LeaderState>) -> Option<&'s mut LeaderState> {
        let Some(term) = self.leading_term() else {
            *state = None;
            return None;
        };
        if state.as_ref().is_none_or(|known| known.term != term) {
            info!(term, "became leader");
            *state = Some(LeaderState {
                term,
                leases: Leases::after_election(self.lease_config, clock::now()),
                revision_since: None,
            });
        }
        state.as_mut()
    }

    /// Whether this replica leads, as far as it knows.
    pub(crate) fn is_leading(&self) -> bool {
        self.leading_term().is_some()
    }

    /// Confirms with a quorum that this replica still leads, and waits until it has applied all that was agreed on
    /// before the call.
    pub(crate) async fn confirm(&self) -> Result<(), NotLeader> {
        self.raft.ensure_linearizable().await?;
        Ok(())
    }

    /// Has the replicas agree on a command.
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
