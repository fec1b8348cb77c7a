//! What control answers to a question that it does not take.

use crate::leader::NotLeader;
use badgerramp_control_protocol::wire::{refusal, reply, Refusal};
use badgerramp_control_protocol::SealFault;
use badgerramp_policy::regions::Region;
use badgerramp_policy::Rejection;
use std::net::SocketAddr;
use tonic::{Code, Status};

/// A refusal with this code.
pub(crate) fn refuse(code: refusal::Code, text: impl Into<String>) -> reply::What {
    reply::What::Refusal(Refusal {
        code: code.into(),
        text: text.into(),
        ..Refusal::default()
    })
}

/// Another replica may lead, and this one does not.
pub(crate) fn elsewhere(fault: NotLeader) -> reply::What {
    reply::What::Refusal(Refusal {
        code: refusal::Code::NotLeader.into(),
        text: fault.why,
        leader: fault.leader.unwrap_or_default(),
        ..Refusal::default()
    })
}

/// What is told of a message whose seal does not pass.
pub(crate) fn denied(fault: &SealFault) -> Status {
    let code = match fault {
        SealFault::Version(_) => Code::FailedPrecondition,
        SealFault::Forged => Code::PermissionDenied,
        SealFault::TooLarge(_) | SealFault::Malformed(_) => Code::InvalidArgument,
    };
    Status::new(code, fault.to_string())
}

/// What is told of a command that had no effect.
pub(crate) fn not_logged(refused: &Rejection) -> reply::What {
    let code = match refused {
        Rejection::ChangePending(_)
        | Rejection::CrossRegionPending { .. }
        | Rejection::AwaitsDecision { .. } => refusal::Code::UnderWay,
        Rejection::Evicted => refusal::Code::Evicted,
        Rejection::NotPrepared { .. } | Rejection::Conflict => refusal::Code::Moved,
    };
    refuse(code, refused.to_string())
}

/// Only the coordinator takes a change of all regions: where it is.
pub(crate) fn not_coordinator(coordinator: &Region, replicas: &[SocketAddr]) -> reply::What {
    reply::What::Refusal(Refusal {
        code: refusal::Code::NotCoordinator.into(),
        text: format!("region {coordinator} coordinates changes of all regions: publish there"),
        replicas: replicas.iter().map(ToString::to_string).collect(),
        ..Refusal::default()
    })
}
