//! Parser for the platform's settings object, used by the adapter (in its first message) and by the
//! proxy (in its configuration).
//!
//! Unknown keys are ignored, and missing ones get safe defaults: a permission that is not granted
//! is denied, a call without a known idempotency is not idempotent, and the endpoint list is
//! pushed.
//!
//! ```
//! use badgerramp_decisions::settings;
//!
//! let object = serde_json::json!({
//!     "balancers": 2,
//!     "classes": [{
//!         "name": "read", "objective_us": 300_000, "deadline_us": 900_000, "idempotency": "free",
//!     }],
//!     "limits": {},
//!     "invariants": { "cold_from": 0.1, "cold_us": 20_000_000, "tip_after_us": 2_000_000 },
//! });
//! let platform = settings::read(&object)?;
//! assert_eq!(platform.classes, ["read"]);
//! # Ok::<(), settings::SettingsError>(())
//! ```

mod raw;

use crate::api::{KindId, Micros, Settings, ZoneId};
use raw::RawSettings;
use serde::Deserialize;
use serde_json::Value;
use thiserror::Error;

/// Offset basis and prime of the 32-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u32 = 0x811c_9dc5;
const FNV_PRIME: u32 = 0x0100_0193;

/// An error while reading a settings object.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// A required key is missing, or a value has the wrong type.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    /// The key `discovery` has an unknown value.
    #[error("discovery: found {found:?}, allowed are \"ask\" and \"push\"")]
    UnknownDiscovery {
        /// The value found.
        found: String,
    },
}

/// Connection settings, which the balancer itself does not use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Transport {
    /// Maximum number of concurrently open requests.
    pub max_open: usize,
    /// Idle time after which endpoints close a connection, in microseconds.
    pub conn_idle: Micros,
    /// Timeout for establishing a connection, in microseconds.
    pub connect_timeout: Micros,
}

/// The contents of a settings object.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformSettings {
    /// The settings of the balancer.
    pub settings: Settings,
    /// Names of the classes, indexed by [`crate::ClassId`].
    pub classes: Vec<String>,
    /// Names of the tenants, indexed by [`crate::TenantId`].
    pub tenants: Vec<String>,
    /// The connection settings of the proxy.
    pub transport: Transport,
}

/// The FNV-1a hash of a name, which is the same in every process.
fn name_hash(name: &str) -> u32 {
    name.bytes().fold(FNV_OFFSET_BASIS, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(FNV_PRIME)
    })
}

/// Returns the id of the zone with this name.
#[must_use]
pub fn zone_id(name: &str) -> ZoneId {
    ZoneId(name_hash(name))
}

/// Returns the id of the machine kind with this name.
#[must_use]
pub fn kind_id(name: &str) -> KindId {
    KindId(name_hash(name))
}

/// Reads a settings object.
///
/// # Errors
///
/// Fails if a required key is missing, a value has the wrong type, or the value of `discovery` is
/// unknown.
pub fn read(object: &Value) -> Result<PlatformSettings, SettingsError> {
    let raw = RawSettings::deserialize(object)?;
    let settings = raw.settings()?;
    let transport = Transport {
        max_open: raw.limits.max_open,
        conn_idle: raw.limits.conn_idle_us,
        connect_timeout: raw.limits.connect_timeout_us,
    };
    Ok(PlatformSettings {
        settings,
        classes: raw.classes.into_iter().map(|class| class.name).collect(),
        tenants: raw.tenants.into_iter().map(|tenant| tenant.name).collect(),
        transport,
    })
}
