//! Checks cross-region changes: each has the same outcome in all regions, and no call starts under the old policy in one
//! region once a call has started under the new policy in another.

use super::fleet::Fleet;
use super::layout::Size;
use super::publisher::{Publisher, COORDINATOR};
use crate::checker::{check, PublishRecord, StartRecord, Verdict};
use crate::clients::Try;
use badgerramp_config_tool::fleet::Change;
use badgerramp_policy::{Generation, Micros};
use serde::Serialize;
use std::collections::HashMap;

/// The outcome that the control plane reports for a change that is in force.
const IN_FORCE: &str = "in force";
/// The outcome that the control plane reports for a change that never was in force and never will be.
const NOT_IN_FORCE: &str = "not in force";

/// The outcomes of cross-region changes.
#[derive(Clone, Debug, Default, Serialize)]
pub struct CrossRegionOutcomes {
    /// Cross-region changes that are in force.
    pub all_regions_in_force: usize,
    /// Cross-region changes that are not in force.
    pub all_regions_not_in_force: usize,
    /// Changes with different outcomes in two regions, or without an outcome in one.
    #[serde(rename = "ended_apart")]
    pub diverged: usize,
    /// Changes for which a call started under the old policy in one region after a call had started under the new policy in
    /// another.
    pub mixed_across: usize,
}

/// A cross-region change as recorded by one region, under the region's own generation number.
struct RegionalChange<'a> {
    region: usize,
    change: &'a Change,
}

impl RegionalChange<'_> {
    fn generation(&self) -> Generation {
        Generation(self.change.generation)
    }
}

/// Queries the history of changes of each region.
///
/// # Errors
/// If the control plane can't be queried.
pub async fn histories(fleet: &Fleet) -> Result<Vec<Vec<Change>>, String> {
    let mut all = Vec::new();
    for region in 0..fleet.size.regions {
        let standing = fleet
            .control_client(region)?
            .status()
            .await
            .map_err(|e| e.to_string())?;
        all.push(standing.changes);
    }
    Ok(all)
}

impl CrossRegionOutcomes {
    /// Compares the regions' histories with each other, and with the calls that started.
    pub fn of(
        size: &Size,
        histories: &[Vec<Change>],
        starts: &[StartRecord],
    ) -> CrossRegionOutcomes {
        let mut outcomes = CrossRegionOutcomes::default();
        let mut by_id: HashMap<&str, Vec<RegionalChange<'_>>> = HashMap::new();
        for (region, history) in histories.iter().enumerate() {
            for change in history {
                let Some(id) = &change.all_regions else {
                    continue;
                };
                by_id
                    .entry(id)
                    .or_default()
                    .push(RegionalChange { region, change });
            }
        }
        for regional_changes in by_id.values() {
            let count = |outcome: &str| {
                regional_changes
                    .iter()
                    .filter(|s| s.change.outcome == outcome)
                    .count()
            };
            let (in_force, not_in_force) = (count(IN_FORCE), count(NOT_IN_FORCE));
            // A change that is unknown to a region is not in force there.
            let consistent = in_force == histories.len() || not_in_force == regional_changes.len();
            outcomes.diverged += usize::from(!consistent);
            outcomes.all_regions_in_force += usize::from(in_force > 0);
            outcomes.all_regions_not_in_force += usize::from(in_force == 0);
            outcomes.mixed_across += usize::from(has_mixed_calls(size, regional_changes, starts));
        }
        outcomes
    }
}

/// Whether a call started under only the old policy in one region after a call had started under only the new policy in
/// another.
fn has_mixed_calls(
    size: &Size,
    regional_changes: &[RegionalChange<'_>],
    starts: &[StartRecord],
) -> bool {
    let in_region = |region: usize| {
        starts
            .iter()
            .filter(move |start| !start.floor && size.proxy(start.proxy).region == region)
    };
    let first_new = |change: &RegionalChange<'_>| -> Option<Micros> {
        in_region(change.region)
            .filter(|start| start.mode.old >= change.generation())
            .map(|start| start.at)
            .min()
    };
    let last_old = |change: &RegionalChange<'_>| -> Option<Micros> {
        in_region(change.region)
            .filter(|start| start.mode.new < change.generation())
            .map(|start| start.at)
            .max()
    };
    let ordering_violated = |new: &RegionalChange<'_>, old: &RegionalChange<'_>| match (
        first_new(new),
        last_old(old),
    ) {
        (Some(first), Some(last)) => new.region != old.region && first < last,
        _ => false,
    };
    regional_changes.iter().any(|new| {
        new.change.outcome == IN_FORCE
            && regional_changes
                .iter()
                .any(|old| ordering_violated(new, old))
    })
}

/// The outcomes of a region's changes: those that its own publisher received, and from the region's history the
/// cross-region changes that never came into force.
fn publish_records(publisher: &Publisher, region: usize, history: &[Change]) -> Vec<PublishRecord> {
    let mut publish_records = publisher.records_of(region);
    if region == COORDINATOR {
        return publish_records;
    }
    let aborted = history
        .iter()
        .filter(|c| c.all_regions.is_some() && c.outcome == NOT_IN_FORCE);
    publish_records.extend(aborted.map(|change| PublishRecord {
        generation: change.generation,
        at: 0,
        in_force: false,
        took_ms: 0,
        why: change.reason.clone(),
    }));
    publish_records
}

/// Checks the invariants in each region by the region's own generations, and returns the sum of the verdicts.
pub fn check_regions(
    size: &Size,
    (publisher, histories): (&Publisher, &[Vec<Change>]),
    (starts, attempts): (&[StartRecord], &[Try]),
    executed: &HashMap<String, u32>,
    is_healthy: impl Fn(usize, Micros, Micros) -> bool,
) -> Verdict {
    let mut sum = Verdict::default();
    for (region, history) in histories.iter().enumerate() {
        let in_this_region = |proxy: usize| size.proxy(proxy).region == region;
        let starts = starts
            .iter()
            .filter(|start| in_this_region(start.proxy))
            .cloned()
            .collect();
        let attempts: Vec<Try> = attempts
            .iter()
            .filter(|attempt| in_this_region(attempt.proxy))
            .cloned()
            .collect();
        // Executions are recorded for all regions together, so they are checked once.
        let executed = if region == COORDINATOR {
            executed.clone()
        } else {
            HashMap::new()
        };
        let publish_records = publish_records(publisher, region, history);
        sum.add(check(
            starts,
            &publish_records,
            &attempts,
            &executed,
            &is_healthy,
            &is_healthy,
        ));
    }
    sum
}
