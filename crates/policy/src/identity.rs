//! The identity of a proxy process.

use serde::{Deserialize, Serialize};
use std::fmt;

/// A proxy process: its configured name, and an incarnation that is drawn anew at each start of the program.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Identity {
    /// The name in the operator's file.
    pub name: String,
    /// Tells restarts apart. Two processes of one name are two proxies.
    pub incarnation: u64,
}

impl fmt::Display for Identity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({:016x})", self.name, self.incarnation)
    }
}

/// Serde form of maps keyed by [`Identity`], for formats with string keys such as JSON: `name#incarnation`, the
/// incarnation in hexadecimal.
pub(crate) mod as_key {
    use super::Identity;
    use serde::de::Error;
    use serde::{Deserialize, Deserializer, Serialize, Serializer};
    use std::collections::BTreeMap;

    /// Serializes a map with string keys.
    pub(crate) fn serialize<V: Serialize, S: Serializer>(
        map: &BTreeMap<Identity, V>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.collect_map(
            map.iter()
                .map(|(identity, value)| (to_key(identity), value)),
        )
    }

    /// Deserializes a map with string keys; a malformed key is an error that shows it.
    pub(crate) fn deserialize<'de, V: Deserialize<'de>, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<BTreeMap<Identity, V>, D::Error> {
        let entries = BTreeMap::<String, V>::deserialize(deserializer)?;
        let parse_entry = |(key, value): (String, V)| match parse_key(&key) {
            Some(identity) => Ok((identity, value)),
            None => Err(D::Error::custom(format!(
                "found {key:?}, allowed is name#incarnation"
            ))),
        };
        entries.into_iter().map(parse_entry).collect()
    }

    fn to_key(identity: &Identity) -> String {
        format!("{}#{:016x}", identity.name, identity.incarnation)
    }

    fn parse_key(key: &str) -> Option<Identity> {
        // A name may contain '#', an incarnation cannot: the last one separates them.
        let (name, incarnation) = key.rsplit_once('#')?;
        let incarnation = u64::from_str_radix(incarnation, 16).ok()?;
        Some(Identity {
            name: name.to_owned(),
            incarnation,
        })
    }
}
