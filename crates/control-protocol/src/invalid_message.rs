//! What is wrong with a message that decodes, but says nothing that can be acted on.

use badgerramp_policy::regions::InvalidRegion;
use thiserror::Error;

/// Why a message of the schema has no counterpart in [`badgerramp_policy`]. Fields are named as in the schema.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum InvalidMessage {
    /// A field that is needed is missing or empty.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// An enumeration has no value, or one that this version does not know.
    #[error("{0} has no value that this version knows")]
    UnknownValue(&'static str),
    /// A transition leads from a newer generation to an older one.
    #[error("mode leads from generation {old} to the older generation {new}")]
    BackwardMode {
        /// The generation that it starts from.
        old: u64,
        /// The generation that it leads to.
        new: u64,
    },
    /// A field does not hold the name of a region.
    #[error(transparent)]
    Region(#[from] InvalidRegion),
}
