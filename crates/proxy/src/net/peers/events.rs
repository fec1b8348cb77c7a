//! What the log tells of a peer.

use badgerramp_gossip::peer::PeerEvent;

/// Writes an event to the log.
pub(super) fn log(event: &PeerEvent) {
    match event {
        PeerEvent::ListReceived {
            source,
            version,
            endpoints,
            elapsed,
        } => {
            let from = source.map_or_else(|| "the list service".to_owned(), |a| a.to_string());
            let ms = elapsed / 1_000;
            tracing::info!(
                "peers: list {} of {from} with {endpoints} hosts, {ms} ms after the start",
                version.index
            );
        }
        PeerEvent::PollingStarted => {
            tracing::info!("peers: this proxy asks the list service for others");
        }
        PeerEvent::PollingStopped => tracing::info!("peers: others ask the list service"),
        PeerEvent::ListQuarantined { index } => {
            tracing::warn!(
                "peers: list {index} of the service is doubted: older than the one held, or half of it"
            );
        }
        PeerEvent::IncarnationStarted { incarnation } => {
            tracing::warn!("peers: the list service was restored or changed: life {incarnation}");
        }
        PeerEvent::Converged { alive } => {
            tracing::info!("peers: the start is over, {alive} proxies");
        }
        PeerEvent::MembershipLost { alive } => {
            tracing::warn!("peers: most proxies have gone, {alive} are left");
        }
    }
}
