//! Model of regions, each with a leader, a record and a proxy, and of the messages between them.

use crate::mutant::Mutant;
mod events;
mod messages;
mod recovery;

use crate::properties::Violation;
use badgerramp_policy::regions::coordinator;
use badgerramp_policy::regions::participant::{self, OnCommit, OnPrepare};
use badgerramp_policy::regions::{
    AllRegions, ChangeId, ChangeRef, CrossRegionChange, Decision, OutcomeReply, OutcomeRequest,
    Prepare, Region, Regions, Request, Role, Vote, VoteReply,
};
use badgerramp_policy::{
    next_command, ChangeTimeouts, Command, Generation, GrantOutcome, GrantResult, Identity,
    LeaseConfig, LeaseGrant, LeaseHolder, LeaseHolderConfig, Leases, OnLeaseLoss, Outcome, Record,
};
use std::collections::BTreeSet;

/// Names of the regions in order. The first one coordinates.
const REGION_NAMES: [&str; 3] = ["norte", "oeste", "sur"];
/// Index of the coordinating region.
const COORDINATOR: usize = 0;
const LEASE_DURATION: u64 = 1;
const LEASE_CONFIG: LeaseConfig = LeaseConfig {
    duration: LEASE_DURATION,
    max_clock_drift: 0,
};
/// A change times out one tick after a leader has first seen it.
const TIMEOUTS: ChangeTimeouts = ChangeTimeouts {
    proxies: 0,
    regions: 0,
};
/// Number of rounds without faults within which every change has to end.
const RECOVERY_ROUNDS: usize = 8;

/// Bounds of a model.
#[derive(Clone, Debug)]
pub(crate) struct RegionsModel {
    /// Number of regions.
    pub regions: usize,
    /// Whether the regions have a policy in the initial state.
    pub has_policy: bool,
    /// Number of cross-region changes.
    pub publishes: u8,
    /// Number of local changes in each region.
    pub local_publishes: u8,
    /// Number of elections in each region.
    pub elections: u8,
    /// Number of aborts by operators in each region.
    pub aborts: u8,
    /// Number of lease renewals of the proxy in each region.
    pub renewals: u8,
    /// Number of grants that arrive late or never in each region.
    pub late_grants: u8,
    /// Number of clock ticks.
    pub ticks: u64,
    /// Whether commands are logged some time after the leader has decided on them.
    pub delayed_log: bool,
    /// The seeded defect.
    pub mutant: Option<Mutant>,
}

impl Default for RegionsModel {
    fn default() -> Self {
        RegionsModel {
            regions: 2,
            has_policy: true,
            publishes: 1,
            local_publishes: 0,
            elections: 0,
            aborts: 0,
            renewals: 2,
            late_grants: 0,
            ticks: 2,
            delayed_log: false,
            mutant: None,
        }
    }
}

/// An event. Regions are identified by their index.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Step {
    /// Time advances by one tick.
    Tick,
    /// A proxy renews its lease until it holds the current mode and has confirmed it.
    RenewLease(usize),
    /// A proxy sends a request; the grant is delayed.
    SendRequest(usize),
    /// The delayed grant arrives.
    DeliverGrant(usize),
    /// A cross-region change is published.
    PublishCrossRegion,
    /// A local change is published.
    PublishLocal(usize),
    /// An operator aborts the pending change.
    Abort(usize),
    /// The leader decides on its next command, which is logged at once unless logging is delayed.
    LogNextCommand(usize),
    /// The leader aborts a change that has timed out.
    TimeOut(usize),
    /// Another leader is elected.
    Elect(usize),
    /// A delayed command is logged.
    Log(usize, Command),
    /// A message arrives. It may arrive again.
    Deliver(Message),
}

/// A message between regions.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Message {
    from: usize,
    to: usize,
    body: Body,
}

/// The content of a message.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Body {
    Request(Request),
    Vote(VoteReply),
    OutcomeRequest(OutcomeRequest),
    Outcome(OutcomeReply),
}

/// Number of events of each kind that may still occur in a region.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Remaining {
    publishes: u8,
    elections: u8,
    aborts: u8,
    renewals: u8,
    late_grants: u8,
}

/// The state of a region.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct RegionState {
    /// The replicated state, which survives an election.
    pub record: Record,
    /// The proxy of the region.
    pub holder: LeaseHolder,
    leases: Leases,
    grant_in_flight: Option<LeaseGrant>,
    /// Commands that the leader has decided on but that are not logged yet.
    unlogged: BTreeSet<Command>,
    remaining: Remaining,
    /// The record as known to a deposed leader, for a mutant.
    deposed: Option<Record>,
    /// The change for which a vote was sent but not logged, for a mutant.
    unlogged_vote: Option<ChangeId>,
}

/// A state of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct State {
    /// Current time.
    pub now: u64,
    /// States of the regions, by index.
    pub regions: Vec<RegionState>,
    /// Number of cross-region changes published so far. Their identifiers start at 1.
    pub published: u8,
    /// Changes under whose new policy a call may have started.
    pub started_new: BTreeSet<ChangeId>,
    /// Properties that are violated.
    pub violations: BTreeSet<Violation>,
    messages: BTreeSet<Message>,
}

fn region(index: usize) -> Region {
    REGION_NAMES[index].parse().expect("a valid region name")
}

fn index(region: &Region) -> usize {
    REGION_NAMES
        .iter()
        .position(|name| *name == region.as_str())
        .expect("a region of this model")
}

fn publish(record: &Record, all_regions: Option<AllRegions>) -> Command {
    let (revision, fallback_generations) = (record.revision(), record.fallback_generations());
    Command::Publish {
        revision,
        text: String::new(),
        fallback_generations,
        all_regions,
    }
}

impl RegionState {
    fn renew_lease(&mut self, now: u64) {
        loop {
            let request = self.holder.request(now);
            let GrantOutcome::Granted(grant) = self.leases.grant(now, &self.record, &request)
            else {
                return;
            };
            if self.holder.on_grant(now, grant) != (GrantResult::Accepted { renew_now: true }) {
                return;
            }
        }
    }

    fn request(&mut self, now: u64) {
        let request = self.holder.request(now);
        if let GrantOutcome::Granted(grant) = self.leases.grant(now, &self.record, &request) {
            self.grant_in_flight = Some(grant);
        }
    }

    /// Returns whether this region's vote for the pending change is logged.
    pub(crate) fn has_voted(&self) -> bool {
        matches!(
            self.record.cross_region(),
            Some(CrossRegionChange {
                role: Role::Participant { voted: true },
                ..
            })
        )
    }

    fn awaits_vote(&self) -> bool {
        matches!(
            self.record.cross_region(),
            Some(CrossRegionChange {
                role: Role::Participant { voted: false },
                ..
            })
        )
    }

    fn pending_change(&self) -> Option<ChangeId> {
        self.record.cross_region().map(|cross| cross.change.id)
    }

    fn next_command(&self, now: u64, revision_seen_at: u64) -> Option<Command> {
        next_command(&self.record, &self.leases, now, revision_seen_at, TIMEOUTS)
    }

    fn is_idle(&self) -> bool {
        self.record.transition().is_none() && self.record.unacknowledged_commit().is_none()
    }
}

impl RegionsModel {
    fn has_defect(&self, mutant: Mutant) -> bool {
        self.mutant == Some(mutant)
    }

    fn regions(&self, own: usize) -> Regions {
        Regions::new(region(own), (0..self.regions).map(region))
    }

    fn all_regions(&self, state: &State) -> AllRegions {
        AllRegions {
            id: ChangeId(u64::from(state.published) + 1),
            coordinator: region(COORDINATOR),
            participants: self.regions(COORDINATOR).others().clone(),
        }
    }

    fn region_state(&self, index: usize) -> RegionState {
        let mut record = Record::default();
        if self.has_policy {
            record.apply(&publish(&record, None));
        }
        let loaded_generations = (0..8).map(Generation).collect();
        let identity = Identity {
            name: format!("p{index}"),
            incarnation: 1,
        };
        let config = LeaseHolderConfig {
            on_lease_loss: OnLeaseLoss::Reject,
            request_timeout: 1,
            retry_delay: 1,
        };
        let mut region_state = RegionState {
            record,
            holder: LeaseHolder::new(identity, config, loaded_generations),
            leases: Leases::after_election(LEASE_CONFIG, 0),
            grant_in_flight: None,
            unlogged: BTreeSet::new(),
            remaining: Remaining {
                publishes: self.local_publishes,
                elections: self.elections,
                aborts: self.aborts,
                renewals: self.renewals,
                late_grants: self.late_grants,
            },
            deposed: None,
            unlogged_vote: None,
        };
        region_state.renew_lease(LEASE_DURATION);
        region_state
    }

    /// Returns the initial state. Each region has its own policy, if any, and its proxy has a lease for it.
    pub(crate) fn initial_state(&self) -> State {
        State {
            now: LEASE_DURATION,
            regions: (0..self.regions)
                .map(|index| self.region_state(index))
                .collect(),
            published: 0,
            started_new: BTreeSet::new(),
            violations: BTreeSet::new(),
            messages: BTreeSet::new(),
        }
    }
}
