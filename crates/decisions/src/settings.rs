//! The reader of the platform's settings object, shared by the adapter (its first message) and the
//! proxy (its configuration).
//!
//! Unknown keys are ignored, and absent ones get harmless values: what is not granted is taken to
//! be forbidden, a call that is not known to be idempotent to be not, and the endpoint list to be
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

/// Why a settings object can't be read.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// A key that has to be there is missing, or a value has the wrong type.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    /// The key `discovery` holds a word that is not known.
    #[error("discovery: found {found:?}, allowed are \"ask\" and \"push\"")]
    UnknownDiscovery {
        /// The word.
        found: String,
    },
}

/// What the settings say of connections; the balancer decides nothing by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Transport {
    /// Most requests that may be open at once.
    pub max_open: usize,
    /// Endpoints close a connection that has been idle for this long.
    pub conn_idle: Micros,
    /// A connection that is not established by then has failed.
    pub connect_timeout: Micros,
}

/// All that is read from the settings object.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformSettings {
    /// What the balancer is told.
    pub settings: Settings,
    /// Names of the classes, in the order of their [`crate::ClassId`]s.
    pub classes: Vec<String>,
    /// Names of the tenants, in the order of their [`crate::TenantId`]s.
    pub tenants: Vec<String>,
    /// What the proxy's connections go by.
    pub transport: Transport,
}

/// A number for a name (FNV-1a), the same in every process.
fn name_hash(name: &str) -> u32 {
    name.bytes().fold(FNV_OFFSET_BASIS, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(FNV_PRIME)
    })
}

/// The number of a zone by its name.
#[must_use]
pub fn zone_id(name: &str) -> ZoneId {
    ZoneId(name_hash(name))
}

/// The number of a machine kind by its name.
#[must_use]
pub fn kind_id(name: &str) -> KindId {
    KindId(name_hash(name))
}

/// Reads the settings object.
///
/// # Errors
/// If a key that has to be there is missing, a value has the wrong type, or the way in which the
/// endpoint list is had is not known.
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
