//! Who a proxy is.

use serde::{Deserialize, Serialize};
use std::fmt;

/// A process of a proxy: its name in the operator's file, and a number that is new at each start of the program.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Identity {
    /// Its name.
    pub name: String,
    /// This start of it. Two processes of one name are two proxies.
    pub incarnation: u64,
}

impl fmt::Display for Identity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({:016x})", self.name, self.incarnation)
    }
}

/// Maps by [`Identity`] in formats whose keys have to be strings, as in JSON: `name#incarnation`.
pub(crate) mod as_key {
    use super::Identity;
    use serde::de::Error;
    use serde::{Deserialize, Deserializer, Serialize, Serializer};
    use std::collections::BTreeMap;

    /// Writes a map.
    pub(crate) fn serialize<V: Serialize, S: Serializer>(
        map: &BTreeMap<Identity, V>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.collect_map(
            map.iter()
                .map(|(identity, value)| (written(identity), value)),
        )
    }

    /// Reads a map.
    pub(crate) fn deserialize<'de, V: Deserialize<'de>, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<BTreeMap<Identity, V>, D::Error> {
        let entries = BTreeMap::<String, V>::deserialize(deserializer)?;
        let read_entry = |(key, value): (String, V)| match read(&key) {
            Some(identity) => Ok((identity, value)),
            None => Err(D::Error::custom(format!(
                "found {key:?}, allowed is name#incarnation"
            ))),
        };
        entries.into_iter().map(read_entry).collect()
    }

    fn written(identity: &Identity) -> String {
        format!("{}#{:016x}", identity.name, identity.incarnation)
    }

    fn read(key: &str) -> Option<Identity> {
        // A name may have the sign in it, a number may not.
        let (name, incarnation) = key.rsplit_once('#')?;
        let incarnation = u64::from_str_radix(incarnation, 16).ok()?;
        Some(Identity {
            name: name.to_owned(),
            incarnation,
        })
    }
}
