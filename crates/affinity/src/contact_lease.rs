//! Decides whether this member may still be hearing the others, and so may use its entries.
//!
//! The host says when this member is in contact: by its connectivity state in the fleet, and never
//! on what came late. From then on its affinity entries hold for the silence, on its own monotonic
//! clock, which runs on while the process is stopped.

use crate::Micros;

/// When contact was last known.
#[derive(Clone, Copy, Debug)]
pub struct ContactLease {
    contact_timeout: Micros,
    until: Option<Micros>,
    sound: bool,
}

impl ContactLease {
    /// One that starts. It is `sound` where it founds the fleet; else only after its first contact,
    /// as it does not know which processes left before it came.
    pub fn new(contact_timeout: Micros, sound: bool) -> Self {
        Self {
            contact_timeout,
            until: None,
            sound,
        }
    }

    /// It is in contact with the others at that instant of its monotonic clock.
    pub fn contact(&mut self, mono: Micros) {
        self.until = self.until.max(Some(mono + self.contact_timeout));
        self.sound = true;
    }

    /// Most of those that it met know as little as it does who left, as all have just started:
    /// together they found the fleet.
    pub fn founds(&mut self, they_do: bool) {
        self.sound |= they_do;
    }

    /// It knows that it is out of contact.
    pub fn lose_contact(&mut self) {
        self.until = None;
    }

    /// Whether affinity entries may be used at that instant.
    pub fn hears(&self, mono: Micros) -> bool {
        self.sound && self.until.is_some_and(|until| mono < until)
    }

    /// Whether what this member says is a sign of contact to others.
    pub fn sound(&self) -> bool {
        self.sound
    }
}

#[cfg(test)]
mod tests;
