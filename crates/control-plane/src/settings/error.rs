//! What is wrong with the file of a replica.

use badgerramp_control_protocol::SecretError;
use badgerramp_policy::regions::InvalidRegion;
use std::io;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use thiserror::Error;

/// Why a replica can't run by a file.
#[derive(Debug, Error)]
#[error("{}: {problem}", file.display())]
pub struct SettingsError {
    /// The file.
    pub file: PathBuf,
    /// What is wrong with it.
    #[source]
    pub problem: SettingsProblem,
}

/// What is wrong with a file of settings: the key, what was found and what is allowed.
#[derive(Debug, Error)]
pub enum SettingsProblem {
    /// It can't be read.
    #[error(transparent)]
    Unreadable(#[from] io::Error),
    /// It is no TOML, a key is unknown or missing, or a value has the wrong type.
    #[error("{}", .0.to_string().trim_end())]
    Syntax(#[from] toml::de::Error),
    /// A number is too small or too large.
    #[error("{key}: found {found}, allowed is {} to {}", allowed.start(), allowed.end())]
    OutOfRange {
        /// The key.
        key: &'static str,
        /// Its value.
        found: u64,
        /// The values that it may have.
        allowed: RangeInclusive<u64>,
    },
    /// A replica's number is none.
    #[error(
        "replicas: found {0:?}, allowed are whole numbers from 1, like 1 = \"127.0.0.1:7400\""
    )]
    ReplicaNumber(String),
    /// There is another number of replicas than can agree.
    #[error("{key}: found {found}, allowed are 1, 3 or 5")]
    ReplicaCount {
        /// The key.
        key: String,
        /// The number of replicas.
        found: usize,
    },
    /// The replica that the file is for is not among the replicas.
    #[error("replica: found {0}, allowed is a number out of replicas")]
    UnknownReplica(u64),
    /// Two replicas have the same address.
    #[error("{key}: found {address}, which is that of {other} already")]
    DuplicateAddress {
        /// The key of the second one.
        key: String,
        /// The address.
        address: SocketAddr,
        /// The first one.
        other: String,
    },
    /// The fleet's secret can't be used.
    #[error("secret: {}: {source}", file.display())]
    Secret {
        /// The file that should hold it.
        file: PathBuf,
        /// Why it can't be used.
        source: SecretError,
    },
    /// A region has an invalid name.
    #[error("{key}: found {source}")]
    RegionName {
        /// The key.
        key: String,
        /// What is wrong with the name.
        source: InvalidRegion,
    },
    /// The file names its own region and no other one.
    #[error("regions: found none, allowed is a table [regions.NAME] for each other region")]
    NoOtherRegion,
    /// The own region is also among the other ones.
    #[error("{key}: found {name:?}, allowed are names of regions other than `region`")]
    OwnRegion {
        /// The key.
        key: String,
        /// The name.
        name: String,
    },
    /// A key of regions stands in a file that does not name its own region.
    #[error(
        "{key}: found {found}, allowed only beside `region`, the name of this replica's region"
    )]
    RegionMissing {
        /// The key.
        key: String,
        /// What it holds.
        found: String,
    },
}
