//! Registration of proxies that may serve without a lease.

use super::{LeaselessProxy, Record};
use crate::{Identity, Mode, OnLeaseLoss, Outcome, Rejection};
use std::collections::BTreeSet;

impl Record {
    pub(super) fn register(
        &mut self,
        identity: &Identity,
        on_lease_loss: OnLeaseLoss,
    ) -> Result<Outcome, Rejection> {
        if self.evicted.contains(identity) {
            return Err(Rejection::Evicted);
        }
        let Mode { revision, old, .. } = self.mode;
        self.leaseless_proxies
            .entry(identity.clone())
            .or_insert(LeaselessProxy {
                on_lease_loss,
                revision,
                fallback_generation: old,
            });
        Ok(Outcome::Applied)
    }

    pub(super) fn record_active(
        &mut self,
        revision: u64,
        proxies: &BTreeSet<Identity>,
    ) -> Result<Outcome, Rejection> {
        if revision != self.mode.revision {
            return Err(Rejection::Conflict);
        }
        let fallback_generation = self.mode.old;
        for (identity, proxy) in &mut self.leaseless_proxies {
            if proxies.contains(identity) {
                proxy.revision = revision;
                proxy.fallback_generation = fallback_generation;
            }
        }
        self.prune();
        Ok(Outcome::Applied)
    }

    pub(super) fn unregister(&mut self, identity: &Identity) -> Result<Outcome, Rejection> {
        self.leaseless_proxies.remove(identity);
        self.prune();
        Ok(Outcome::Applied)
    }
}
