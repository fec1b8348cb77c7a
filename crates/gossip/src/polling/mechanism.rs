//! Parts of the protocol that can be switched off for measurements.

/// A part of the protocol that a simulation can switch off, to measure its effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mechanism {
    /// Takeover delays are biased towards long ones; without it they are distributed evenly.
    BiasedDelay,
    /// A seed becomes a poller sooner than other proxies.
    SeedPriority,
    /// A new list is sent to some peers at once.
    EagerPush,
    /// A significant change of a poller's status is forwarded at once.
    StatusForwarding,
}

impl Mechanism {
    /// The names of all mechanisms on the command line.
    pub const NAMES: [&'static str; 4] = ["law", "seeds", "push", "words"];

    const ALL: [Self; 4] = [
        Self::BiasedDelay,
        Self::SeedPriority,
        Self::EagerPush,
        Self::StatusForwarding,
    ];

    /// The mechanism with this name of [`Mechanism::NAMES`].
    pub fn from_name(name: &str) -> Option<Self> {
        let position = Self::NAMES.iter().position(|known| *known == name)?;
        Some(Self::ALL[position])
    }
}
