//! Region names, and the texts of rejections that name awaited regions.

use crate::fixture::*;
use badgerramp_policy::regions::{ChangeId, Region, Regions};
use badgerramp_policy::{Generation, Rejection};
use std::collections::BTreeSet;

#[test]
fn coordinator_is_the_first_region_by_name() {
    let regions = Regions::new(sur(), [norte(), sur()]);
    assert_eq!(
        (regions.coordinator(), regions.is_coordinator()),
        (&norte(), false)
    );
    assert_eq!(regions.others(), &BTreeSet::from([norte()]));
    assert!(Regions::new(norte(), [sur()]).is_coordinator());
    assert!(Regions::new(sur(), []).is_coordinator());
}

#[test]
fn invalid_region_names_are_rejected_when_parsed() {
    for name in ["norte", "eu-west_1", &"a".repeat(63)] {
        assert_eq!(
            name.parse::<Region>().map(String::from),
            Ok(name.to_owned())
        );
    }
    for name in ["", "1a", "-a", "Norte", "a b", "ñ", &"a".repeat(64)] {
        let error = name.parse::<Region>().expect_err(name).to_string();
        assert!(error.contains(&format!("{name:?}: allowed are")), "{error}");
        assert!(serde_json::from_str::<Region>(&format!("{name:?}")).is_err());
    }
}

#[test]
fn rejection_names_the_awaited_regions() {
    let pending = |awaited_regions: &[Region]| Rejection::CrossRegionPending {
        generation: Generation(7),
        id: ChangeId(255),
        awaited_regions: awaited_regions.iter().cloned().collect(),
    };
    let prefix =
        "the change of all regions 00000000000000ff (generation 7 in this region) has not ended: ";
    assert_eq!(
        pending(&[sur()]).to_string(),
        format!("{prefix}it waits for region sur")
    );
    assert_eq!(
        pending(&[sur(), norte()]).to_string(),
        format!("{prefix}it waits for regions norte, sur")
    );
    assert_eq!(
        pending(&[]).to_string(),
        format!("{prefix}it waits for proxies of this region")
    );
    let awaits_decision = Rejection::AwaitsDecision {
        coordinator: norte(),
    }
    .to_string();
    assert_eq!(
        awaits_decision,
        "this region has voted for a change of all regions: only the coordinating region norte can end it"
    );
}
