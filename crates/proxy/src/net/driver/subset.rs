//! The subset of a large fleet: which hosts the balancer is told of, and how many proxies share them.

use super::{Core, Driver};
use badgerramp_decisions::{
    EndpointEntry, EndpointId, EndpointStatus, Event, ListUpdateKind, Micros, Settings,
};
use badgerramp_subset::{Health, MembershipChange, Subset};

/// The subset that the balancer is told of, and the settings that it was last told.
pub(super) struct SubsetView {
    pub(super) subset: Subset,
    pub(super) settings: Settings,
}

impl Driver {
    /// Checks whether the subset still has the right size, and whether the process was stalled; the next check comes
    /// in `next`.
    pub fn pulse(&self, next: Micros) {
        let mut core = self.core.borrow_mut();
        let now = self.clock.now();
        core.stall.tick(now, next);
        core.resize_subset(now);
        self.run_with(&mut core);
    }

    /// How many listed hosts the balancer is told of, and how many there are.
    pub fn chosen(&self) -> (usize, usize) {
        let core = self.core.borrow();
        let all = core
            .hosts
            .values()
            .filter(|h| h.state == EndpointStatus::Ready)
            .count();
        (
            core.subset
                .as_ref()
                .map_or(all, |view| view.subset.member_count()),
            all,
        )
    }
}

impl Core {
    /// A host was updated from the list: it is or is no longer a candidate for the subset.
    pub(super) fn update_subset_candidate(&mut self, name: &str, entry: &EndpointEntry) {
        let Some(view) = &mut self.subset else { return };
        match entry.status {
            EndpointStatus::Ready => {
                view.subset
                    .add(entry.endpoint.0, name, entry.zone == view.settings.zone)
            }
            _ => view.subset.remove(entry.endpoint.0),
        }
    }

    /// The list has changed: the balancer is told what that makes of the subset.
    pub(super) fn list_changed(&mut self, now: Micros, kind: ListUpdateKind, touched: &[u32]) {
        let Some(view) = &mut self.subset else { return };
        let changes = view.subset.apply_list_change(now, touched);
        if kind == ListUpdateKind::Delta {
            // A member may have changed and stayed one.
            let stay = touched
                .iter()
                .copied()
                .filter(|&id| view.subset.contains(id));
            let joined = changes.added.iter().copied().chain(stay).collect();
            self.announce(
                kind,
                &MembershipChange {
                    added: joined,
                    removed: changes.removed,
                },
            );
        } else {
            let joined = view.subset.members().collect();
            self.announce(
                kind,
                &MembershipChange {
                    added: joined,
                    removed: Vec::new(),
                },
            );
        }
    }

    /// Grows or shrinks the subset by the health of its members.
    pub(super) fn resize_subset(&mut self, now: Micros) {
        let Some(view) = &mut self.subset else { return };
        let endpoints = self.balancer.endpoint_counts();
        let calls = self.balancer.call_totals();
        let health = Health {
            usable: endpoints.listed - endpoints.outliers,
            in_flight: calls.open - calls.queued,
            queued: calls.queued,
        };
        let changes = view.subset.adjust_size(now, health);
        if !changes.is_empty() {
            self.announce(ListUpdateKind::Delta, &changes);
        }
    }

    /// Tells the balancer of changes to the subset, and of how many proxies share its members where that has changed
    /// notably.
    fn announce(&mut self, kind: ListUpdateKind, changes: &MembershipChange) {
        let gone = |&id: &u32| {
            let entry = self
                .hosts
                .get(&EndpointId(id))
                .and_then(|h| h.entry)
                .filter(|e| e.status != EndpointStatus::Ready);
            entry.unwrap_or(EndpointEntry {
                endpoint: EndpointId(id),
                status: EndpointStatus::Removed,
                ..EndpointEntry::default()
            })
        };
        let joined = changes
            .added
            .iter()
            .filter_map(|id| self.hosts.get(&EndpointId(*id))?.entry);
        let entries = changes.removed.iter().map(gone).chain(joined).collect();
        if let Some(view) = &mut self.subset {
            let (sharing, told) = (view.subset.sharing_proxies(), view.settings.balancers);
            if differs_notably(sharing, told) {
                view.settings.balancers = sharing;
                let settings = Box::new(view.settings.clone());
                self.events.push_back(Event::Reconfigure {
                    settings,
                    redefined_classes: Vec::new(),
                });
            }
        }
        self.events.push_back(Event::EndpointList { kind, entries });
    }
}

/// Is a number of sharing proxies more than a quarter off the one that the balancer was told? Smaller changes are not
/// worth a reconfiguration.
pub(super) fn differs_notably(sharing: u32, told: u32) -> bool {
    sharing.abs_diff(told) * 4 > told
}
