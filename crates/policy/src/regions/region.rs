//! Region names, and the regions of a fleet from the view of one of them.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;
use thiserror::Error;

/// Longest region name, in bytes; the same limit as for a DNS label (RFC 1035).
const MAX_REGION_NAME_LEN: usize = 63;

/// Name of a region.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Region(String);

/// Error for a text that is not a valid region name.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error(
    "region {found:?}: allowed are 1 to {MAX_REGION_NAME_LEN} of a-z, 0-9, '-' and '_', the first one a letter"
)]
pub struct InvalidRegion {
    /// The invalid text.
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
    /// Returns the name as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Region {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Formats region names for operators: `region a`, or `regions a, b`.
pub(crate) fn region_list(regions: &BTreeSet<Region>) -> String {
    let names: Vec<&str> = regions.iter().map(Region::as_str).collect();
    let noun = if names.len() == 1 {
        "region"
    } else {
        "regions"
    };
    format!("{noun} {}", names.join(", "))
}

/// Regions of a fleet, from the view of one of them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Regions {
    own: Region,
    others: BTreeSet<Region>,
}

impl Regions {
    /// Creates the view of the region `own`. `others` may contain `own`, which is ignored.
    pub fn new(own: Region, others: impl IntoIterator<Item = Region>) -> Self {
        let others = others.into_iter().filter(|other| *other != own).collect();
        Regions { own, others }
    }

    /// Returns the region whose view this is.
    pub fn own(&self) -> &Region {
        &self.own
    }

    /// Returns all other regions.
    pub fn others(&self) -> &BTreeSet<Region> {
        &self.others
    }

    /// Returns the region that coordinates every cross-region change: the first by name.
    pub fn coordinator(&self) -> &Region {
        self.others
            .first()
            .map_or(&self.own, |first| first.min(&self.own))
    }

    /// Returns whether the region whose view this is coordinates cross-region changes.
    pub fn is_coordinator(&self) -> bool {
        self.coordinator() == &self.own
    }
}
