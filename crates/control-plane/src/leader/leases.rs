//! Lease requests, answered while this replica leads.

use super::not_leader::NotLeaderReason;
use super::{Leader, NotLeader};
use badgerramp_control_protocol::clock;
use badgerramp_policy::{Blocker, Command, GrantOutcome, Identity, LeaseRequest};
use std::collections::BTreeMap;
use tokio::sync::{mpsc, oneshot};
use tracing::info;

/// Maximum number of lease requests that are answered after one confirmation of leadership.
pub(super) const LEASE_BATCH: usize = 512;

/// A queued lease request.
pub(crate) struct PendingLeaseRequest {
    request: LeaseRequest,
    reply: oneshot::Sender<Result<GrantOutcome, NotLeader>>,
}

/// Queue of lease requests, oldest first.
pub(crate) type PendingLeaseRequests = mpsc::Receiver<PendingLeaseRequest>;

/// The leader's view of the proxies.
#[derive(Default)]
pub(crate) struct ProxyView {
    /// Proxies that block the pending change.
    pub(crate) blockers: Vec<Blocker>,
    /// The revision that each proxy with a lease has confirmed.
    pub(crate) sessions: BTreeMap<Identity, u64>,
}

impl Leader {
    /// Queues a lease request and waits for its outcome.
    pub(crate) async fn request_lease(
        &self,
        request: LeaseRequest,
    ) -> Result<GrantOutcome, NotLeader> {
        let (reply, outcome) = oneshot::channel();
        self.lease_requests
            .try_send(PendingLeaseRequest { request, reply })
            .map_err(|_| NotLeaderReason::Overloaded)?;
        outcome.await.map_err(|_| NotLeaderReason::Overloaded)?
    }

    /// Answers lease requests, as long as this replica runs. Leadership is confirmed once for each batch.
    pub(crate) async fn answer_lease_requests(&self, mut pending: PendingLeaseRequests) {
        let mut batch = Vec::new();
        while pending.recv_many(&mut batch, LEASE_BATCH).await > 0 {
            let confirmed = self.confirm().await;
            for PendingLeaseRequest { request, reply } in batch.drain(..) {
                let outcome = match &confirmed {
                    Ok(()) => self.grant_lease(request).await,
                    Err(error) => Err(error.clone()),
                };
                // The receiver may have stopped waiting for the outcome.
                let _ = reply.send(outcome);
            }
            self.wake.notify_one();
        }
    }

    /// Grants a lease. A proxy that may serve without one is registered first.
    async fn grant_lease(&self, request: LeaseRequest) -> Result<GrantOutcome, NotLeader> {
        let outcome = self.try_grant(&request)?;
        if outcome != GrantOutcome::RegisterFirst {
            return Ok(outcome);
        }
        let identity = request.identity.clone();
        info!(%identity, "registering proxy that may serve without a lease");
        let on_lease_loss = request.on_lease_loss;
        self.propose(Command::Register {
            identity,
            on_lease_loss,
        })
        .await?;
        self.try_grant(&request)
    }

    fn try_grant(&self, request: &LeaseRequest) -> Result<GrantOutcome, NotLeader> {
        let mut state = self.state();
        let state = self
            .refresh(&mut state)
            .ok_or(NotLeaderReason::LostLeadership)?;
        // Reads the clock only after the refresh, so that no lease is granted before the start of this term.
        let now = clock::now();
        Ok(self
            .store
            .read(|record| state.leases.grant(now, record, request)))
    }

    /// Removes a proxy that has shut down.
    pub(crate) async fn unregister(&self, identity: Identity) -> Result<(), NotLeader> {
        self.confirm().await?;
        let is_registered = self
            .store
            .read(|record| record.leaseless_proxies().contains_key(&identity));
        if is_registered {
            self.propose(Command::Unregister {
                identity: identity.clone(),
            })
            .await?;
        }
        if let Some(state) = self.state().as_mut() {
            state.leases.unregister(&identity);
        }
        self.wake.notify_one();
        Ok(())
    }

    /// Returns the proxies that block the pending change and the proxies with a lease. Empty if this replica does not
    /// lead.
    pub(crate) fn proxy_view(&self) -> ProxyView {
        let mut state = self.state();
        let Some(state) = self.refresh(&mut state) else {
            return ProxyView::default();
        };
        let blockers = self.store.read(|record| match record.transition() {
            Some(_) => state.leases.blockers(clock::now(), record),
            None => Vec::new(),
        });
        let sessions = state.leases.sessions();
        ProxyView {
            blockers,
            sessions: sessions
                .map(|session| (session.identity.clone(), session.active_revision))
                .collect(),
        }
    }
}
