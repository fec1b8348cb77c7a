//! Errors of the adapter.

/// An error in handling a line of input. The program exits on it, because the state of this side may
/// no longer match that of the peer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum AdapterError {
    /// Standard input could not be read.
    #[error("cannot read standard input: {0}")]
    ReadInput(#[source] std::io::Error),
    /// The line is not a valid batch of events.
    #[error("malformed batch of events: {0}")]
    MalformedBatch(#[source] serde_json::Error),
    /// The reply could not be encoded as JSON.
    #[error("cannot encode the reply: {0}")]
    EncodeReply(#[source] serde_json::Error),
    /// An event lacks a field that its verb requires.
    #[error("{verb}: missing field {field}")]
    MissingField {
        /// The event's verb.
        verb: String,
        /// The field's name on the wire.
        field: &'static str,
    },
    /// An event names an instance that was never created.
    #[error("{verb}: unknown proxy {proxy}")]
    UnknownInstance {
        /// The event's verb.
        verb: String,
        /// The number of the proxy, as given in the event.
        proxy: i64,
    },
    /// The settings of a new instance could not be read.
    #[error("invalid facts: {0}")]
    Settings(#[source] badgerramp_decisions::settings::SettingsError),
    /// An endpoint list update has an unknown scope.
    #[error("MEMBERS: unknown scope {0}")]
    UnknownScope(i64),
    /// An endpoint list update refers to an unknown list.
    #[error("MEMBERS: unknown list {0}")]
    UnknownList(i64),
    /// An endpoint has an unknown status.
    #[error("host {host}: unknown state {state}")]
    UnknownStatus {
        /// The endpoint.
        host: u32,
        /// The status value on the wire.
        state: u32,
    },
    /// An event has an unknown verb.
    #[error("unknown verb {0}")]
    UnknownVerb(String),
}
