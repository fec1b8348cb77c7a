//! Changes of all regions: two-phase commit between regions that each have a replica group, and a [`crate::Record`], of
//! their own.
//!
//! - **Prepare.** The coordinator (the first region by name) begins a middle of its own and sends [`Prepare`] to each
//!   participant, again and again until it has a final [`Vote`]. A participant takes it into its log as a middle of the
//!   same policy.
//! - **Vote.** The prepared state is the existing middle state under leases: a participant is prepared when no proxy of
//!   its region can act under a mode older than the middle. It writes that to its log before it answers
//!   [`Vote::Prepared`]. From then on it neither aborts nor advances by itself.
//! - **Decide.** The coordinator logs each vote. With all votes, and its own region prepared, it advances: that log entry
//!   commits the change everywhere. A refusal, a time-out or an operator aborts it, as long as it has not advanced.
//! - **Commit and acknowledge.** The coordinator sends [`Commit`] until each participant has answered [`Vote::Committed`],
//!   and remembers the decision until then; the next change of all regions has to wait for that.
//! - **Presumed abort.** A participant that waits sends [`OutcomeRequest`]. The coordinator answers
//!   [`Decision::Aborted`] for a change that it does not know, so an abort need not be remembered. The answer has to be
//!   linearizable: a deposed leader may not know yet of a change that its successor has begun.
//!
//! All that the protocol relies on after a restart is in the record. [`coordinator`] and [`participant`] say what follows
//! from it: what to send, what to log, what to answer. They have no I/O and no clock.

pub mod coordinator;
pub mod participant;

use crate::Generation;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;

/// Longest name of a region, in bytes.
const REGION_NAME_MOST: usize = 63;

/// The name of a region.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Region(String);

/// Why a text is not the name of a region.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidRegion {
    /// What was found.
    pub found: String,
}

impl fmt::Display for InvalidRegion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "region {:?}: allowed are 1 to {REGION_NAME_MOST} of a-z, 0-9, '-' and '_', the first one a letter",
            self.found
        )
    }
}

impl std::error::Error for InvalidRegion {}

impl FromStr for Region {
    type Err = InvalidRegion;

    fn from_str(name: &str) -> Result<Self, InvalidRegion> {
        let allowed =
            |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-' || c == '_';
        let begins = name.starts_with(|c: char| c.is_ascii_lowercase());
        if begins && name.len() <= REGION_NAME_MOST && name.chars().all(allowed) {
            Ok(Region(name.to_owned()))
        } else {
            Err(InvalidRegion {
                found: name.to_owned(),
            })
        }
    }
}

impl TryFrom<String> for Region {
    type Error = InvalidRegion;

    fn try_from(name: String) -> Result<Self, InvalidRegion> {
        name.parse()
    }
}

impl From<Region> for String {
    fn from(region: Region) -> Self {
        region.0
    }
}

impl Region {
    /// The name.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Region {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Regions for people.
pub(crate) fn listed(regions: &BTreeSet<Region>) -> String {
    let names: Vec<&str> = regions.iter().map(Region::as_str).collect();
    let noun = if names.len() == 1 {
        "region"
    } else {
        "regions"
    };
    format!("{noun} {}", names.join(", "))
}

/// The regions of a fleet, as one of them sees them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Regions {
    own: Region,
    others: BTreeSet<Region>,
}

impl Regions {
    /// The own region and the other ones. The own region among `others` is left out of them.
    pub fn new(own: Region, others: impl IntoIterator<Item = Region>) -> Self {
        let others = others.into_iter().filter(|other| *other != own).collect();
        Regions { own, others }
    }

    /// The region that this is.
    pub fn own(&self) -> &Region {
        &self.own
    }

    /// The other regions.
    pub fn others(&self) -> &BTreeSet<Region> {
        &self.others
    }

    /// The region that coordinates every change of all regions: the first by name.
    pub fn coordinator(&self) -> &Region {
        self.others
            .first()
            .map_or(&self.own, |first| first.min(&self.own))
    }

    /// Does this region coordinate the changes of all regions?
    pub fn is_coordinator(&self) -> bool {
        self.coordinator() == &self.own
    }
}

/// Identifies a change of all regions: a random number, drawn where it is published.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ChangeId(pub u64);

impl fmt::Display for ChangeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Which regions a change is for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Scope {
    /// The region where it is published.
    #[default]
    Region,
    /// All regions: in force in each of them, or in none.
    All,
}

impl fmt::Display for Scope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Scope::Region => "region",
            Scope::All => "all",
        })
    }
}

/// Names a change of all regions in messages and in records.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ChangeRef {
    /// Its identifier.
    pub id: ChangeId,
    /// The region that coordinates it.
    pub coordinator: Region,
    /// Its generation in the coordinator's record. It grows from one change of all regions to the next.
    #[serde(rename = "number")]
    pub generation: Generation,
}

/// What a publish of all regions says beside the policy.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AllRegions {
    /// Identifies the change.
    pub id: ChangeId,
    /// The region that coordinates it: the one whose record takes the command.
    pub coordinator: Region,
    /// The other regions.
    pub participants: BTreeSet<Region>,
}

/// The part of a region in a change of all regions that is under way.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Role {
    /// It decides.
    Coordinator {
        /// The other regions.
        participants: BTreeSet<Region>,
        /// Those of them that have voted.
        prepared: BTreeSet<Region>,
    },
    /// It follows the coordinator's decision.
    Participant {
        /// It has voted that it is prepared, and may not end the change by itself any more.
        voted: bool,
    },
}

/// A change of all regions that is under way in a region.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CrossRegionChange {
    /// The change.
    pub change: ChangeRef,
    /// This region's part in it.
    pub role: Role,
}

impl CrossRegionChange {
    /// The regions whose word this region waits for.
    pub fn awaited_regions(&self) -> BTreeSet<Region> {
        match &self.role {
            Role::Coordinator {
                participants,
                prepared,
            } => participants.difference(prepared).cloned().collect(),
            Role::Participant { .. } => BTreeSet::from([self.change.coordinator.clone()]),
        }
    }
}

/// A change of all regions that is in force here, and of which the coordinator does not know yet whether all participants
/// have taken it in.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct UnacknowledgedCommit {
    /// The change.
    pub change: ChangeRef,
    /// The participants that have not acknowledged it; never empty.
    pub regions: BTreeSet<Region>,
}

/// The last change of all regions in which a region took part under one coordinator.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Participation {
    /// The change.
    pub change: ChangeRef,
    /// How it stands here.
    pub decision: Decision,
}

/// What the coordinator has decided about a change of all regions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Decision {
    /// Nothing yet.
    #[serde(rename = "Open")]
    Pending,
    /// It is in force in all regions.
    #[serde(rename = "InForce")]
    Committed,
    /// It never was in force in any region, and never will be.
    #[serde(rename = "NotInForce")]
    Aborted,
}

/// From the coordinator to a participant: take part in this change, and tell whether you are prepared.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Prepare {
    /// The change.
    pub change: ChangeRef,
    /// The policy, as it stands in the coordinator's record.
    pub text: String,
}

/// From the coordinator to a participant: this change is in force; tell when it is so with you.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Commit {
    /// The change.
    pub change: ChangeRef,
}

/// What a coordinator sends to a participant. The answer to either is a [`VoteReply`].
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Request {
    /// See [`Prepare`].
    Prepare(Prepare),
    /// See [`Commit`].
    Commit(Commit),
}

/// How a change of all regions stands in a participant.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Vote {
    /// It is under way, and proxies may still act under an older mode.
    Preparing,
    /// It is prepared, and waits for the decision.
    Prepared,
    /// It was not taken in.
    #[serde(rename = "Refused")]
    Rejected {
        /// Why, for people.
        #[serde(rename = "why")]
        reason: String,
    },
    /// The commit is in its log. This acknowledges it.
    #[serde(rename = "InForce")]
    Committed,
    /// It has ended here as not in force.
    #[serde(rename = "NotInForce")]
    Aborted,
}

/// From a participant to the coordinator.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VoteReply {
    /// The change.
    pub id: ChangeId,
    /// How it stands.
    pub vote: Vote,
}

/// From a participant to the coordinator: how did this change end? The answer is an [`OutcomeReply`].
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OutcomeRequest {
    /// The change.
    pub id: ChangeId,
    /// The region that asks.
    pub region: Region,
}

/// From the coordinator to a participant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OutcomeReply {
    /// The change.
    pub id: ChangeId,
    /// What is decided.
    pub decision: Decision,
}
