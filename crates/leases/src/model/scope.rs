//! The scope of an exploration: which protections are removed and which faults may happen.

/// Protections to remove, to see that their absence is detected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct PlantedFault {
    /// The resource does not check fencing tokens.
    pub(super) no_fencing_gate: bool,
    /// The coordinators lose their last event in a crash, as if votes were not persisted.
    pub(super) loses_events: bool,
    /// A new leader takes over its predecessor's observations of silence.
    pub(super) no_observation_period: bool,
    /// A holder counts its lease from the answer instead of from its message.
    pub(super) counts_from_answer: bool,
}

/// What may happen in an exploration.
#[derive(Clone, Copy, Debug)]
pub(super) struct Scope {
    /// The first process holds the task at the start, while the second waits.
    pub(super) starts_held: bool,
    /// The first process has received its grant.
    pub(super) grant_received: bool,
    /// A message, answer or action is delivered at most once.
    pub(super) deliver_once: bool,
    /// Processes crash, are suspended or have slow clocks.
    pub(super) faults: bool,
}

impl Scope {
    pub(in crate::model) const ALL: Scope = Scope {
        starts_held: false,
        grant_received: false,
        deliver_once: false,
        faults: true,
    };
    pub(in crate::model) const HELD: Scope = Scope {
        starts_held: true,
        grant_received: true,
        deliver_once: false,
        faults: true,
    };
    /// Small enough to reach a planted fault at a great depth.
    pub(in crate::model) const NARROW: Scope = Scope {
        starts_held: true,
        grant_received: true,
        deliver_once: true,
        faults: false,
    };
    pub(in crate::model) const GRANT_UNRECEIVED: Scope = Scope {
        grant_received: false,
        ..Scope::NARROW
    };
    pub(in crate::model) const FROM_START: Scope = Scope {
        starts_held: false,
        ..Scope::GRANT_UNRECEIVED
    };
}
