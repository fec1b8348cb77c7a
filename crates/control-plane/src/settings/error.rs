//! Errors in the settings file of a replica.

use badgerramp_control_protocol::SecretError;
use badgerramp_policy::regions::InvalidRegion;
use std::io;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use thiserror::Error;

/// Why the settings of a replica cannot be loaded.
#[derive(Debug, Error)]
#[error("{}: {problem}", file.display())]
pub struct SettingsError {
    /// The settings file.
    pub file: PathBuf,
    /// The problem found in it.
    #[source]
    pub problem: SettingsProblem,
}

/// A problem in a settings file: the key, the value found and the allowed values.
#[derive(Debug, Error)]
pub enum SettingsProblem {
    /// The file cannot be read.
    #[error(transparent)]
    Unreadable(#[from] io::Error),
    /// The file is not valid TOML, a key is unknown or missing, or a value has the wrong type.
    #[error("{}", .0.to_string().trim_end())]
    Syntax(#[from] toml::de::Error),
    /// The value of a key is too small or too large.
    #[error("{key}: found {found}, allowed is {} to {}", allowed.start(), allowed.end())]
    OutOfRange {
        /// The key with the value.
        key: &'static str,
        /// The value found.
        found: u64,
        /// Allowed values of the key.
        allowed: RangeInclusive<u64>,
    },
    /// The name of a replica is not a positive whole number.
    #[error(
        "replicas: found {0:?}, allowed are whole numbers from 1, like 1 = \"127.0.0.1:7400\""
    )]
    ReplicaNumber(String),
    /// The number of replicas is not an allowed one.
    #[error("{key}: found {found}, allowed are 1, 3 or 5")]
    ReplicaCount {
        /// The key that lists the replicas.
        key: String,
        /// Number of replicas found.
        found: usize,
    },
    /// The replica of this file is not one of the listed replicas.
    #[error("replica: found {0}, allowed is a number listed in replicas")]
    UnknownReplica(u64),
    /// Two replicas have the same address.
    #[error("{key}: found {address}, which is already used by {other}")]
    DuplicateAddress {
        /// Key of the second replica.
        key: String,
        /// The duplicate address.
        address: SocketAddr,
        /// The replica that is listed first with this address.
        other: String,
    },
    /// The fleet's shared secret cannot be used.
    #[error("secret: {}: {source}", file.display())]
    Secret {
        /// File of the secret.
        file: PathBuf,
        /// Why the secret cannot be used.
        source: SecretError,
    },
    /// A region has an invalid name.
    #[error("{key}: found {source}")]
    RegionName {
        /// Key of the region.
        key: String,
        /// Why the name is invalid.
        source: InvalidRegion,
    },
    /// The file names the region of the replica but no other region.
    #[error("regions: found none, allowed is a table [regions.NAME] for each other region")]
    NoOtherRegion,
    /// The region of the replica is also listed as another region.
    #[error("{key}: found {name:?}, allowed are names of regions other than `region`")]
    OwnRegion {
        /// Key of the duplicate region.
        key: String,
        /// Name of the region.
        name: String,
    },
    /// The file has a key for regions but does not name the region of the replica.
    #[error(
        "{key}: found {found}, allowed only together with `region`, the name of this replica's region"
    )]
    RegionMissing {
        /// The key that requires `region`.
        key: String,
        /// Value of the key.
        found: String,
    },
}
