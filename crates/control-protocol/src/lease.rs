//! Conversions between the lease messages of the schema and those of [`badgerramp_policy`].

use crate::wire;
use crate::InvalidMessage;
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
    /// The request of a proxy that runs this application.
    pub fn new(own: Ask, application: &str) -> Self {
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

    /// The same request, to be answered by the control of this region only; `None`: by that of any.
    #[must_use]
    pub fn in_region(self, region: Option<&Region>) -> Self {
        wire::LeaseRequest {
            region: region.map(Region::to_string).unwrap_or_default(),
            ..self
        }
    }
}

impl TryFrom<&wire::LeaseRequest> for Ask {
    type Error = InvalidMessage;

    fn try_from(wire: &wire::LeaseRequest) -> Result<Self, InvalidMessage> {
        let identity = wire.identity.clone().filter(|i| !i.name.is_empty());
        let cut_off = match wire.on_lease_loss() {
            wire::OnLeaseLoss::Unspecified => {
                return Err(InvalidMessage::UnknownValue("on_lease_loss"))
            }
            wire::OnLeaseLoss::Refuse => CutOff::Refuse,
            wire::OnLeaseLoss::Narrow => CutOff::Narrow,
            wire::OnLeaseLoss::Keep => CutOff::Keep,
        };
        let unread = wire.rejected_generation.as_ref().map(|rejected| Unread {
            generation: Generation(rejected.generation),
            reason: rejected.reason.clone(),
        });
        Ok(Ask {
            identity: identity.ok_or(InvalidMessage::Missing("identity"))?.into(),
            number: wire.sequence,
            acting: wire.active_revision,
            has: wire
                .loaded_generations
                .iter()
                .copied()
                .map(Generation)
                .collect(),
            unread,
            cut_off,
        })
    }
}

impl TryFrom<&wire::LeaseGrant> for Grant {
    type Error = InvalidMessage;

    fn try_from(wire: &wire::LeaseGrant) -> Result<Self, InvalidMessage> {
        let mode = Mode::from(wire.mode.ok_or(InvalidMessage::Missing("mode"))?);
        if mode.old > mode.new {
            return Err(InvalidMessage::BackwardMode {
                old: mode.old.0,
                new: mode.new.0,
            });
        }
        Ok(Grant {
            number: wire.sequence,
            mode,
            lease: wire.lease,
        })
    }
}
