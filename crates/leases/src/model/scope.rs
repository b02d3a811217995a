//! The scope of the model: which rules and faults an exploration leaves out.

/// Rules that a run may leave out, to see that it would find what they are for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct PlantedFault {
    /// What is acted on checks no token.
    pub(super) no_gate: bool,
    /// Those who agree forget their last event in a crash, as where votes are not kept.
    pub(super) forgets: bool,
    /// A new leader takes the last one's word for how long somebody was silent.
    pub(super) no_wait: bool,
    /// A holder counts its lease from the answer, not from its message.
    pub(super) from_answer: bool,
}

/// What may happen.
#[derive(Clone, Copy, Debug)]
pub(super) struct Scope {
    /// It begins with the task held by the first, while the second waits.
    pub(super) held: bool,
    /// The first has heard that it holds the task.
    pub(super) receive: bool,
    /// A message, answer or act arrives at most once.
    pub(super) once: bool,
    /// Processes crash, are stopped, have slow clocks.
    pub(super) faults: bool,
}

impl Scope {
    pub(in crate::model) const ALL: Scope = Scope {
        held: false,
        receive: false,
        once: false,
        faults: true,
    };
    pub(in crate::model) const HELD: Scope = Scope {
        held: true,
        receive: true,
        once: false,
        faults: true,
    };
    /// Enough to see a planted fault far from the beginning.
    pub(in crate::model) const NARROW: Scope = Scope {
        held: true,
        receive: true,
        once: true,
        faults: false,
    };
    pub(in crate::model) const UNHEARD: Scope = Scope {
        receive: false,
        ..Scope::NARROW
    };
    pub(in crate::model) const EARLY: Scope = Scope {
        held: false,
        ..Scope::UNHEARD
    };
}
