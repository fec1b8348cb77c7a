//! Errors for messages that decode but have invalid contents.

use badgerramp_policy::regions::InvalidRegion;
use thiserror::Error;

/// Why a message of the schema cannot be converted to one of [`badgerramp_policy`]. Fields are named as in the schema.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum InvalidMessage {
    /// A required field is missing or empty.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// An enumeration has no value, or one that this version does not know.
    #[error("{0} is unspecified or has a value unknown to this version")]
    UnknownValue(&'static str),
    /// A mode is a transition from a newer generation to an older one.
    #[error("the mode is a transition from generation {old} to the older generation {new}")]
    BackwardMode {
        /// The old generation of the mode.
        old: u64,
        /// The new generation of the mode.
        new: u64,
    },
    /// A field does not contain a valid region name.
    #[error(transparent)]
    Region(#[from] InvalidRegion),
}
