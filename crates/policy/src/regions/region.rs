//! The names of regions, and the regions of a fleet as one of them sees them.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;
use thiserror::Error;

/// Longest name of a region, in bytes (as of a DNS label, RFC 1035).
const MAX_REGION_NAME_LEN: usize = 63;

/// The name of a region.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Region(String);

/// A text is not the name of a region.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error(
    "region {found:?}: allowed are 1 to {MAX_REGION_NAME_LEN} of a-z, 0-9, '-' and '_', the first one a letter"
)]
pub struct InvalidRegion {
    /// The text.
    pub found: String,
}

impl FromStr for Region {
    type Err = InvalidRegion;

    fn from_str(name: &str) -> Result<Self, InvalidRegion> {
        let allowed =
            |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-' || c == '_';
        let starts_with_letter = name.starts_with(|c: char| c.is_ascii_lowercase());
        if starts_with_letter && name.len() <= MAX_REGION_NAME_LEN && name.chars().all(allowed) {
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

/// The names of regions, for operators: `region a`, or `regions a, b`.
pub(crate) fn region_list(regions: &BTreeSet<Region>) -> String {
    let names: Vec<&str> = regions.iter().map(Region::as_str).collect();
    let noun = if names.len() == 1 {
        "region"
    } else {
        "regions"
    };
    format!("{noun} {}", names.join(", "))
}

/// The regions of a fleet, from the view of one of them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Regions {
    own: Region,
    others: BTreeSet<Region>,
}

impl Regions {
    /// The own region and the other ones. `others` may contain the own region too.
    pub fn new(own: Region, others: impl IntoIterator<Item = Region>) -> Self {
        let others = others.into_iter().filter(|other| *other != own).collect();
        Regions { own, others }
    }

    /// The own region.
    pub fn own(&self) -> &Region {
        &self.own
    }

    /// The other regions.
    pub fn others(&self) -> &BTreeSet<Region> {
        &self.others
    }

    /// The region that coordinates every cross-region change: the first by name.
    pub fn coordinator(&self) -> &Region {
        self.others
            .first()
            .map_or(&self.own, |first| first.min(&self.own))
    }

    /// Whether the own region coordinates cross-region changes.
    pub fn is_coordinator(&self) -> bool {
        self.coordinator() == &self.own
    }
}
