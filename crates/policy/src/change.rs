//! Published policy changes and their status.

use crate::regions::{ChangeId, Scope};
use crate::Generation;
use serde::{Deserialize, Serialize};

/// Status of a policy change.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ChangeStatus {
    /// The transition to the new generation is in progress.
    #[serde(rename = "Open")]
    Pending,
    /// The change came into force. A later change may have replaced it since.
    #[serde(rename = "InForce")]
    Committed,
    /// The change was aborted: it was never in force and never will be.
    #[serde(rename = "NotInForce")]
    Aborted {
        /// Why the change was aborted, as shown to operators.
        #[serde(rename = "why")]
        reason: String,
    },
}

/// A policy change.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Change {
    /// The generation that was in force when the change was published.
    pub from: Generation,
    /// Status of the change.
    #[serde(rename = "ended")]
    pub status: ChangeStatus,
    /// Identifies a cross-region change in all regions; `None` for a change of a single region.
    #[serde(default)]
    pub id: Option<ChangeId>,
}

impl Change {
    /// Returns which regions the change applies to.
    pub fn scope(&self) -> Scope {
        match self.id {
            Some(_) => Scope::All,
            None => Scope::Region,
        }
    }
}
