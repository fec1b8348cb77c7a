//! Publishes policies and records the outcome of each change.

use super::files;
use super::fleet::Fleet;
use crate::checker::PublishRecord;
use crate::now;
use badgerramp_config_tool::fleet::{Outcome, Scope};
use std::collections::HashMap;
use tokio::time::Instant;

/// The region that coordinates cross-region changes: the first one by name.
pub const COORDINATOR: usize = 0;
/// Part of the message with which a region that awaits the decision on a cross-region change rejects a change of its own.
const AWAITS_DECISION: &str = "change of all regions";

/// The regions that a policy is published for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PublishScope {
    /// All regions.
    All,
    /// The region with this index, in a fleet with several regions.
    Region(usize),
}

/// A published change.
#[derive(Clone, Debug)]
pub struct Published {
    /// The regions of the change.
    pub scope: PublishScope,
    /// The outcome as recorded for the invariant checker.
    pub record: PublishRecord,
    /// The outcome.
    pub outcome: Outcome,
}

impl Published {
    /// Whether this is a change of one region that did not come into force although no cross-region change was pending.
    pub fn failed_in_its_region(&self) -> bool {
        let is_regional = matches!(self.scope, PublishScope::Region(_));
        is_regional
            && self.outcome != Outcome::InForce
            && !self.record.why.contains(AWAITS_DECISION)
    }
}

/// Publishes policies to the control planes of all regions.
#[derive(Default)]
pub struct Publisher {
    number: usize,
    /// All published changes.
    pub published: Vec<Published>,
}

impl Publisher {
    /// Publishes the next policy and waits for its outcome. A control plane that can't be queried is not an error of the
    /// test: the outcome is then unknown.
    ///
    /// # Errors
    /// If the secret can't be read.
    pub async fn publish(&mut self, fleet: &Fleet, scope: PublishScope) -> Result<Outcome, String> {
        self.number += 1;
        let started_at = Instant::now();
        let (region, requested_scope) = match scope {
            PublishScope::All if fleet.size.regions > 1 => (COORDINATOR, Scope::All),
            PublishScope::All => (COORDINATOR, Scope::Region),
            PublishScope::Region(region) => (region, Scope::Region),
        };
        let mut control = fleet.control_client(region)?;
        let (outcome, generation, why) = match control.status().await {
            Ok(standing) => {
                let policy = files::policy(self.number);
                let files = HashMap::from([(files::APPLICATION.to_owned(), policy)]);
                let completed = control
                    .publish_for(requested_scope, &files, standing.revision, |_| {})
                    .await;
                (
                    completed.outcome,
                    completed.generation.unwrap_or(0),
                    completed.reason,
                )
            }
            Err(error) => (Outcome::NotKnown, 0, error.to_string()),
        };
        let record = PublishRecord {
            generation,
            at: now(),
            in_force: outcome == Outcome::InForce,
            took_ms: u64::try_from(started_at.elapsed().as_millis()).unwrap_or(u64::MAX),
            why,
        };
        self.published.push(Published {
            scope,
            record,
            outcome,
        });
        Ok(outcome)
    }

    /// The changes with a known outcome whose generations are numbered by this region.
    pub fn records_of(&self, region: usize) -> Vec<PublishRecord> {
        let numbered_in_region = |scope: PublishScope| match scope {
            PublishScope::All => region == COORDINATOR,
            PublishScope::Region(published_for) => published_for == region,
        };
        let known = |p: &&Published| p.outcome != Outcome::NotKnown && p.record.generation > 0;
        let in_region = self
            .published
            .iter()
            .filter(|p| numbered_in_region(p.scope))
            .filter(known);
        in_region.map(|p| p.record.clone()).collect()
    }
}
