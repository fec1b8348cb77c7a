//! A published change of the policy and its status.

use crate::regions::{ChangeId, Scope};
use crate::Generation;
use serde::{Deserialize, Serialize};

/// The status of a change.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ChangeStatus {
    /// In transition.
    #[serde(rename = "Open")]
    Pending,
    /// In force, now or until a later change.
    #[serde(rename = "InForce")]
    Committed,
    /// Never in force, and never will be.
    #[serde(rename = "NotInForce")]
    Aborted {
        /// The reason, for operators.
        #[serde(rename = "why")]
        reason: String,
    },
}

/// A change of the policy.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Change {
    /// The generation in force before.
    pub from: Generation,
    /// Its status.
    #[serde(rename = "ended")]
    pub status: ChangeStatus,
    /// Identifies a cross-region change among the regions; `None` for a change of one region.
    #[serde(default)]
    pub id: Option<ChangeId>,
}

impl Change {
    /// Which regions the change is for.
    pub fn scope(&self) -> Scope {
        match self.id {
            Some(_) => Scope::All,
            None => Scope::Region,
        }
    }
}
