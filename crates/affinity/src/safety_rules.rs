//! Safety rules that tests switch off one at a time, to see the property that each of them keeps
//! fail.

/// Which rules hold. Outside of tests all do.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SafetyRules {
    /// An entry counts from the use that it tells of, not from when it came (property a).
    pub ages_from_use: bool,
    /// An entry on a process of an epoch that ended is refused (properties a and d).
    pub refuses_ended: bool,
    /// Uses are told before others age them out (property b).
    pub renews: bool,
    /// A full table drops by what all members share (property c).
    pub drops_alike: bool,
    /// A member that may not hear the others uses nothing, by its own clock (property d).
    pub falls_silent: bool,
    /// A clear is given only after whoever is not heard has fallen silent (property d).
    pub waits_for_silence: bool,
    /// Tells only what others would else age out (property e).
    pub tells_sparsely: bool,
}

impl SafetyRules {
    /// As it is outside of tests.
    pub(crate) const ALL: Self = Self {
        ages_from_use: true,
        refuses_ended: true,
        renews: true,
        drops_alike: true,
        falls_silent: true,
        waits_for_silence: true,
        tells_sparsely: true,
    };
}
