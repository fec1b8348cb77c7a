//! Regions with a leader, a record and a proxy each, and the messages between them.

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

/// Names of regions in their order; the first one coordinates.
const REGION_NAMES: [&str; 3] = ["norte", "oeste", "sur"];
/// Index of the coordinator.
const COORDINATOR: usize = 0;
const LEASE_DURATION: u64 = 1;
const LEASE_CONFIG: LeaseConfig = LeaseConfig {
    duration: LEASE_DURATION,
    max_clock_drift: 0,
};
/// A change that a leader has seen for one tick has timed out.
const TIMEOUTS: ChangeTimeouts = ChangeTimeouts {
    proxies: 0,
    regions: 0,
};
/// Rounds without faults in which every change has to end.
const ROUNDS: usize = 8;

/// The bounds of a model.
#[derive(Clone, Debug)]
pub(crate) struct RegionsModel {
    /// Number of regions.
    pub regions: usize,
    /// Whether the regions have a policy in the initial state.
    pub has_policy: bool,
    /// Cross-region changes.
    pub publishes: u8,
    /// Local changes, in each region.
    pub local_publishes: u8,
    /// Elections, in each region.
    pub elections: u8,
    /// Aborts by operators, in each region.
    pub aborts: u8,
    /// Lease renewals of the proxy, in each region.
    pub renewals: u8,
    /// Grants that arrive late or never, in each region.
    pub late_grants: u8,
    /// Ticks of the clock.
    pub ticks: u64,
    /// Whether commands are logged some time after the leader decided on them.
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

/// An event. Regions go by their index.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Step {
    /// Time passes.
    Tick,
    /// A proxy renews its lease until it has the present mode and has confirmed it.
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
    /// The leader logs its next command.
    Lead(usize),
    /// The leader aborts a change that has timed out.
    TimeOut(usize),
    /// Another leader is elected.
    Elect(usize),
    /// A delayed command is logged.
    Log(usize, Command),
    /// A message arrives; it may arrive again.
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

/// How many events of each kind may still happen in a region.
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
    /// The replicated state: it survives an election.
    pub record: Record,
    /// Its proxy.
    pub holder: LeaseHolder,
    leases: Leases,
    grant_in_flight: Option<LeaseGrant>,
    /// Commands that the leader has decided on and that are not logged yet.
    unlogged: BTreeSet<Command>,
    remaining: Remaining,
    /// For a mutant: the record as a deposed leader knows it.
    deposed: Option<Record>,
    /// For a mutant: a vote that was sent and not logged.
    unlogged_vote: Option<ChangeId>,
}

/// A state of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct State {
    /// The time.
    pub now: u64,
    /// The regions.
    pub regions: Vec<RegionState>,
    /// Cross-region changes so far; their identifiers count from 1.
    pub published: u8,
    /// Changes under whose new policy a call has started.
    pub started_new: BTreeSet<ChangeId>,
    /// The violated properties.
    pub violations: BTreeSet<Violation>,
    messages: BTreeSet<Message>,
}

fn region(index: usize) -> Region {
    REGION_NAMES[index].parse().expect("a name of a region")
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

    /// Whether its vote for the pending change is logged.
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

    fn next(&self, now: u64, started_at: u64) -> Option<Command> {
        next_command(&self.record, &self.leases, now, started_at, TIMEOUTS)
    }

    fn is_idle(&self) -> bool {
        self.record.transition().is_none() && self.record.unacknowledged_commit().is_none()
    }
}

impl RegionsModel {
    fn is(&self, mutant: Mutant) -> bool {
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

    fn region_state(&self, number: usize) -> RegionState {
        let mut record = Record::default();
        if self.has_policy {
            record.apply(&publish(&record, None));
        }
        let has = (0..8).map(Generation).collect();
        let identity = Identity {
            name: format!("p{number}"),
            incarnation: 1,
        };
        let terms = LeaseHolderConfig {
            on_lease_loss: OnLeaseLoss::Reject,
            request_timeout: 1,
            retry_delay: 1,
        };
        let mut region_state = RegionState {
            record,
            holder: LeaseHolder::new(identity, terms, has),
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

    /// All regions serve, if they have a policy; each has one of its own.
    pub(crate) fn initial_state(&self) -> State {
        State {
            now: LEASE_DURATION,
            regions: (0..self.regions)
                .map(|number| self.region_state(number))
                .collect(),
            published: 0,
            started_new: BTreeSet::new(),
            violations: BTreeSet::new(),
            messages: BTreeSet::new(),
        }
    }
}
