//! Why a line of the wire cannot be handled.

/// Why a line of the wire cannot be handled. The program ends with it: the peer and this side no longer agree.
#[derive(Debug, thiserror::Error)]
pub(crate) enum AdapterError {
    /// Standard input cannot be read.
    #[error("unreadable: {0}")]
    Unreadable(#[source] std::io::Error),
    /// The line is not a batch of events.
    #[error("not a batch: {0}")]
    NotABatch(#[source] serde_json::Error),
    /// The reply cannot be written as JSON.
    #[error("no reply: {0}")]
    Unwritable(#[source] serde_json::Error),
    /// An event lacks a field that its verb needs.
    #[error("{verb} without {field}")]
    MissingField {
        /// The event's verb.
        verb: String,
        /// The field's name on the wire.
        field: &'static str,
    },
    /// An event names an instance that was never created.
    #[error("{verb} for unknown proxy {proxy}")]
    UnknownInstance {
        /// The event's verb.
        verb: String,
        /// The instance.
        proxy: i64,
    },
    /// The settings of a new instance are malformed.
    #[error("facts: {0}")]
    Settings(#[source] badgerramp_decisions::settings::SettingsError),
    /// An endpoint list update is of no known kind.
    #[error("MEMBERS with unknown scope {0}")]
    UnknownScope(i64),
    /// An endpoint list update names a list that was never sent.
    #[error("MEMBERS of unknown list {0}")]
    UnknownList(i64),
    /// An endpoint has no known status.
    #[error("host {host} in unknown state {state}")]
    UnknownStatus {
        /// The endpoint.
        host: u32,
        /// The status on the wire.
        state: u32,
    },
    /// No event has this verb.
    #[error("unknown verb {0}")]
    UnknownVerb(String),
}
