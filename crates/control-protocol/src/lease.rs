//! Between what travels and what the decisions know.

use crate::wire;
use badgerramp_policy::regions::Region;
use badgerramp_policy::{Ask, CutOff, Generation, Grant, Identity, Mode, Unread};

impl From<Identity> for wire::Identity {
    fn from(own: Identity) -> Self {
        wire::Identity {
            name: own.name,
            incarnation: own.incarnation,
        }
    }
}

impl From<wire::Identity> for Identity {
    fn from(wire: wire::Identity) -> Self {
        Identity {
            name: wire.name,
            incarnation: wire.incarnation,
        }
    }
}

impl From<Mode> for wire::Mode {
    fn from(own: Mode) -> Self {
        wire::Mode {
            revision: own.revision,
            old: own.old.0,
            new: own.new.0,
        }
    }
}

impl From<wire::Mode> for Mode {
    fn from(wire: wire::Mode) -> Self {
        Mode {
            revision: wire.revision,
            old: Generation(wire.old),
            new: Generation(wire.new),
        }
    }
}

impl From<CutOff> for wire::OnLeaseLoss {
    fn from(own: CutOff) -> Self {
        match own {
            CutOff::Refuse => wire::OnLeaseLoss::Refuse,
            CutOff::Narrow => wire::OnLeaseLoss::Narrow,
            CutOff::Keep => wire::OnLeaseLoss::Keep,
        }
    }
}

impl wire::LeaseRequest {
    /// The question of a proxy that takes this application's file.
    pub fn of(own: Ask, application: &str) -> Self {
        wire::LeaseRequest {
            identity: Some(own.identity.into()),
            sequence: own.number,
            active_revision: own.acting,
            loaded_generations: own.has.into_iter().map(|g| g.0).collect(),
            rejected_generation: own.unread.map(|u| wire::RejectedGeneration {
                generation: u.generation.0,
                reason: u.reason,
            }),
            on_lease_loss: wire::OnLeaseLoss::from(own.cut_off).into(),
            application: application.to_owned(),
            region: String::new(),
        }
    }

    /// The same question, for the control of this region only.
    #[must_use]
    pub fn in_region(self, region: Option<&Region>) -> Self {
        wire::LeaseRequest {
            region: region.map(Region::to_string).unwrap_or_default(),
            ..self
        }
    }

    /// What the decisions take; `None` if a part is missing or out of its range.
    pub fn read(&self) -> Option<Ask> {
        let cut_off = match self.on_lease_loss() {
            wire::OnLeaseLoss::Unspecified => return None,
            wire::OnLeaseLoss::Refuse => CutOff::Refuse,
            wire::OnLeaseLoss::Narrow => CutOff::Narrow,
            wire::OnLeaseLoss::Keep => CutOff::Keep,
        };
        let unread = self.rejected_generation.as_ref().map(|u| Unread {
            generation: Generation(u.generation),
            reason: u.reason.clone(),
        });
        Some(Ask {
            identity: self.identity.clone().filter(|i| !i.name.is_empty())?.into(),
            number: self.sequence,
            acting: self.active_revision,
            has: self
                .loaded_generations
                .iter()
                .map(|&g| Generation(g))
                .collect(),
            unread,
            cut_off,
        })
    }
}

impl wire::LeaseGrant {
    /// What the decisions take; `None` if it names no mode.
    pub fn read(&self) -> Option<Grant> {
        let mode = Mode::from(self.mode?);
        (mode.old <= mode.new).then_some(Grant {
            number: self.sequence,
            mode,
            lease: self.lease,
        })
    }
}
