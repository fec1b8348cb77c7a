//! Identities of proxy processes.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Identity of a proxy process: its configured name, and a random incarnation drawn at each start of the process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Identity {
    /// Name of the proxy, from the operator's file.
    pub name: String,
    /// Distinguishes processes of the same name, for example after a restart. Each of them counts as a separate proxy.
    pub incarnation: u64,
}

impl fmt::Display for Identity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({:016x})", self.name, self.incarnation)
    }
}

/// Serializes maps keyed by [`Identity`] for formats that require string keys, such as JSON. The key is
/// `name#incarnation`, with the incarnation in hexadecimal.
pub(crate) mod as_key {
    use super::Identity;
    use serde::de::Error;
    use serde::{Deserialize, Deserializer, Serialize, Serializer};
    use std::collections::BTreeMap;

    /// Serializes a map with its identities as string keys.
    pub(crate) fn serialize<V: Serialize, S: Serializer>(
        map: &BTreeMap<Identity, V>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.collect_map(
            map.iter()
                .map(|(identity, value)| (to_key(identity), value)),
        )
    }

    /// Deserializes a map with identities as string keys. The error for a malformed key contains that key.
    pub(crate) fn deserialize<'de, V: Deserialize<'de>, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<BTreeMap<Identity, V>, D::Error> {
        let entries = BTreeMap::<String, V>::deserialize(deserializer)?;
        let parse_entry = |(key, value): (String, V)| match parse_key(&key) {
            Some(identity) => Ok((identity, value)),
            None => Err(D::Error::custom(format!(
                "invalid proxy identity {key:?}, expected name#incarnation"
            ))),
        };
        entries.into_iter().map(parse_entry).collect()
    }

    fn to_key(identity: &Identity) -> String {
        format!("{}#{:016x}", identity.name, identity.incarnation)
    }

    fn parse_key(key: &str) -> Option<Identity> {
        // A name may contain '#' but an incarnation cannot, so the last '#' is the separator.
        let (name, incarnation) = key.rsplit_once('#')?;
        let incarnation = u64::from_str_radix(incarnation, 16).ok()?;
        Some(Identity {
            name: name.to_owned(),
            incarnation,
        })
    }
}
