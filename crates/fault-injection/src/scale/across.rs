//! Judges changes of all regions: each ends alike in all of them, and no call begins under the old policy anywhere once one
//! has begun under the new policy elsewhere.

use super::fleet::Fleet;
use super::layout::Size;
use super::publisher::{Publisher, COORDINATOR};
use crate::checker::{check, PublishRecord, StartRecord, Verdict};
use crate::clients::Try;
use badgerramp_config_tool::fleet::Change;
use badgerramp_policy::{Generation, Micros};
use serde::Serialize;
use std::collections::HashMap;

/// The outcome, as control tells it, of a change that is in force.
const IN_FORCE: &str = "in force";
/// ... and of one that is not, and never was.
const NOT_IN_FORCE: &str = "not in force";

/// What became of the changes of all regions.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Across {
    /// Changes of all regions that are in force.
    pub all_regions_in_force: usize,
    /// Those that are not.
    pub all_regions_not_in_force: usize,
    /// Changes that ended differently in two regions, or not in one.
    pub ended_apart: usize,
    /// Changes under whose old policy a call began in one region, after one had begun under the new one in another.
    pub mixed_across: usize,
}

/// A change of all regions as one region numbers it.
struct Seen<'a> {
    region: usize,
    change: &'a Change,
}

impl Seen<'_> {
    fn generation(&self) -> Generation {
        Generation(self.change.generation)
    }
}

/// The changes that each region remembers.
///
/// # Errors
/// If control can't be asked.
pub async fn histories(fleet: &Fleet) -> Result<Vec<Vec<Change>>, String> {
    let mut all = Vec::new();
    for region in 0..fleet.size.regions {
        let standing = fleet
            .publisher(region)?
            .standing()
            .await
            .map_err(|e| e.to_string())?;
        all.push(standing.changes);
    }
    Ok(all)
}

impl Across {
    /// Holds the regions' histories against each other, and the calls that began against both.
    pub fn of(size: &Size, histories: &[Vec<Change>], lines: &[StartRecord]) -> Across {
        let mut across = Across::default();
        let mut by_id: HashMap<&str, Vec<Seen<'_>>> = HashMap::new();
        for (region, history) in histories.iter().enumerate() {
            for change in history {
                let Some(id) = &change.all_regions else {
                    continue;
                };
                by_id.entry(id).or_default().push(Seen { region, change });
            }
        }
        for seen in by_id.values() {
            let ended = |outcome: &str| seen.iter().filter(|s| s.change.outcome == outcome).count();
            let (in_force, not_in_force) = (ended(IN_FORCE), ended(NOT_IN_FORCE));
            // A region that never heard of a change has not got it in force.
            let alike = in_force == histories.len() || not_in_force == seen.len();
            across.ended_apart += usize::from(!alike);
            across.all_regions_in_force += usize::from(in_force > 0);
            across.all_regions_not_in_force += usize::from(in_force == 0);
            across.mixed_across += usize::from(mixed(size, seen, lines));
        }
        across
    }
}

/// Did a call begin under the old policy alone in one region after one had begun under the new one alone in another?
fn mixed(size: &Size, seen: &[Seen<'_>], lines: &[StartRecord]) -> bool {
    let in_region = |region: usize| {
        lines
            .iter()
            .filter(move |line| !line.floor && size.proxy(line.proxy).region == region)
    };
    let first_new = |seen: &Seen<'_>| -> Option<Micros> {
        in_region(seen.region)
            .filter(|line| line.mode.old >= seen.generation())
            .map(|line| line.at)
            .min()
    };
    let last_old = |seen: &Seen<'_>| -> Option<Micros> {
        in_region(seen.region)
            .filter(|line| line.mode.new < seen.generation())
            .map(|line| line.at)
            .max()
    };
    let apart = |new: &Seen<'_>, old: &Seen<'_>| match (first_new(new), last_old(old)) {
        (Some(first), Some(last)) => new.region != old.region && first < last,
        _ => false,
    };
    seen.iter()
        .any(|new| new.change.outcome == IN_FORCE && seen.iter().any(|old| apart(new, old)))
}

/// What was heard of a region's changes: what its own publisher was told, and what its control says of changes of all
/// regions that never came into force.
fn heard(publisher: &Publisher, region: usize, history: &[Change]) -> Vec<PublishRecord> {
    let mut heard = publisher.heard_in(region);
    if region == COORDINATOR {
        return heard;
    }
    let never = history
        .iter()
        .filter(|c| c.all_regions.is_some() && c.outcome == NOT_IN_FORCE);
    heard.extend(never.map(|change| PublishRecord {
        generation: change.generation,
        at: 0,
        in_force: false,
        took_ms: 0,
        why: change.why.clone(),
    }));
    heard
}

/// Judges each region by its own generations, and sums it up.
pub fn judge_regions(
    size: &Size,
    (publisher, histories): (&Publisher, &[Vec<Change>]),
    (lines, tries): (&[StartRecord], &[Try]),
    executed: &HashMap<String, u32>,
    well: impl Fn(usize, Micros, Micros) -> bool,
) -> Verdict {
    let mut sum = Verdict::default();
    for (region, history) in histories.iter().enumerate() {
        let here = |proxy: usize| size.proxy(proxy).region == region;
        let lines = lines
            .iter()
            .filter(|line| here(line.proxy))
            .cloned()
            .collect();
        let tries: Vec<Try> = tries
            .iter()
            .filter(|tried| here(tried.proxy))
            .cloned()
            .collect();
        // What was executed is known for all regions together.
        let executed = if region == COORDINATOR {
            executed.clone()
        } else {
            HashMap::new()
        };
        let heard = heard(publisher, region, history);
        sum.add(check(lines, &heard, &tries, &executed, &well, &well));
    }
    sum
}
