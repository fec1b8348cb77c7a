//! Publishes one policy after the other, and notes what became of each.

use super::files;
use super::fleet::Fleet;
use crate::checker::PublishRecord;
use crate::now;
use badgerramp_config_tool::fleet::{Outcome, Scope};
use std::collections::HashMap;
use tokio::time::Instant;

/// The region that coordinates changes of all regions: the first one by name.
pub const COORDINATOR: usize = 0;
/// What a region that has voted for a change of all regions says to a change of its own.
const AWAITS_DECISION: &str = "change of all regions";

/// For whom a policy is published.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum For {
    /// All regions, or the only one.
    All,
    /// One of several regions.
    Region(usize),
}

/// A change, and what its publisher heard of it.
#[derive(Clone, Debug)]
pub struct Published {
    /// For whom.
    pub scope: For,
    /// What was heard.
    pub heard: PublishRecord,
    /// How it ended.
    pub outcome: Outcome,
}

impl Published {
    /// A change of one region that did not come into force, though no change of all regions stood in its way.
    pub fn failed_in_its_region(&self) -> bool {
        let own = matches!(self.scope, For::Region(_));
        own && self.outcome != Outcome::InForce && !self.heard.why.contains(AWAITS_DECISION)
    }
}

/// A publisher with a way to the control of each region.
#[derive(Default)]
pub struct Publisher {
    number: usize,
    /// All that was published.
    pub published: Vec<Published>,
}

impl Publisher {
    /// Publishes the next policy and follows it to its end. Control that can't be asked is no fault of the trial's.
    ///
    /// # Errors
    /// If there is no secret.
    pub async fn publish(&mut self, fleet: &Fleet, scope: For) -> Result<Outcome, String> {
        self.number += 1;
        let begun = Instant::now();
        let (region, asked) = match scope {
            For::All if fleet.size.regions > 1 => (COORDINATOR, Scope::All),
            For::All => (COORDINATOR, Scope::Region),
            For::Region(region) => (region, Scope::Region),
        };
        let mut control = fleet.publisher(region)?;
        let (outcome, generation, why) = match control.standing().await {
            Ok(standing) => {
                let policy = files::policy(self.number);
                let files = HashMap::from([(files::APPLICATION.to_owned(), policy)]);
                let done = control
                    .publish_for(asked, &files, standing.revision, |_| {})
                    .await;
                (done.outcome, done.generation.unwrap_or(0), done.why)
            }
            Err(fault) => (Outcome::NotKnown, 0, fault.to_string()),
        };
        let heard = PublishRecord {
            generation,
            at: now(),
            in_force: outcome == Outcome::InForce,
            took_ms: u64::try_from(begun.elapsed().as_millis()).unwrap_or(u64::MAX),
            why,
        };
        self.published.push(Published {
            scope,
            heard,
            outcome,
        });
        Ok(outcome)
    }

    /// What was heard of the changes whose end is known and whose generations are those of a region.
    pub fn heard_in(&self, region: usize) -> Vec<PublishRecord> {
        let numbered_here = |scope: For| match scope {
            For::All => region == COORDINATOR,
            For::Region(own) => own == region,
        };
        let known = |p: &&Published| p.outcome != Outcome::NotKnown && p.heard.generation > 0;
        let here = self
            .published
            .iter()
            .filter(|p| numbered_here(p.scope))
            .filter(known);
        here.map(|p| p.heard.clone()).collect()
    }
}
