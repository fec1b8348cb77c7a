//! Seeded defects that the model check has to find.

/// A seeded defect in the use of the crate's decisions. The model check has to find each of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mutant {
    /// The old generation is replaced by the new one in one step.
    NoTransition,
    /// A lease counts from when its grant arrived.
    LeaseFromReceipt,
    /// The transition ends before every proxy has confirmed it.
    AdvanceEarly,
    /// After a restart, a proxy uses the lease on disk instead of a newly granted one.
    DiskReplacesLease,
    /// A new leader does not wait for the leases of its predecessors.
    NoWaitAfterElection,
    /// A deposed leader still grants leases.
    DeposedAnswers,
    /// The leader makes no allowance for slow clocks in the expiry of leases.
    NoDriftAllowance,
    /// A grant for an older request is accepted for the pending one.
    AnyGrantAccepted,
    /// A proxy confirms a transition before it serves under it.
    ConfirmsEarly,
    /// A change is aborted after it was reported as committed.
    AbortAfterCommit,
    /// The generation of an aborted change is reused.
    GenerationReused,
    /// A request of one process clears the leases of other processes, as if they had the same name.
    SameNameClearsLease,
    /// A grant is recorded only when the proxy confirms it.
    GrantRecordedLate,
    /// The transition does not wait for proxies that serve without a lease.
    LeaselessForgotten,
}

/// All seeded defects.
pub(crate) const ALL: [Mutant; 14] = [
    Mutant::NoTransition,
    Mutant::LeaseFromReceipt,
    Mutant::AdvanceEarly,
    Mutant::DiskReplacesLease,
    Mutant::NoWaitAfterElection,
    Mutant::DeposedAnswers,
    Mutant::NoDriftAllowance,
    Mutant::AnyGrantAccepted,
    Mutant::ConfirmsEarly,
    Mutant::AbortAfterCommit,
    Mutant::GenerationReused,
    Mutant::SameNameClearsLease,
    Mutant::GrantRecordedLate,
    Mutant::LeaselessForgotten,
];
