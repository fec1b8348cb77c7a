//! Logging of gossip events.

use badgerramp_gossip::peer::PeerEvent;

/// Logs an event of the peer.
pub(super) fn log(event: &PeerEvent) {
    match event {
        PeerEvent::ListReceived {
            source,
            version,
            endpoints,
            elapsed,
        } => {
            let source = source.map(tracing::field::display);
            tracing::info!(
                index = version.index,
                source,
                endpoints,
                elapsed_ms = elapsed / 1_000,
                "endpoint list received"
            );
        }
        PeerEvent::PollingStarted => tracing::info!("became poller"),
        PeerEvent::PollingStopped => tracing::info!("stopped polling"),
        PeerEvent::ListQuarantined { index } => {
            tracing::warn!(index, "endpoint list quarantined");
        }
        PeerEvent::IncarnationStarted { incarnation } => {
            tracing::warn!(incarnation, "endpoint list incarnation started");
        }
        PeerEvent::Converged { alive } => tracing::info!(alive, "gossip converged"),
        PeerEvent::MembershipLost { alive } => {
            tracing::warn!(alive, "gossip membership lost");
        }
    }
}
