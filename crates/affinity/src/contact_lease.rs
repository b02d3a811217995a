//! Decides whether this member may still be in contact with the others, and so may use its entries.
//!
//! The host determines when this member is in contact, by its connectivity and never from delayed
//! messages. From then on its affinity entries are valid for the contact timeout, by its own
//! monotonic clock, which continues while the process is suspended.

use crate::Micros;

/// The validity of the last known contact.
#[derive(Clone, Copy, Debug)]
pub struct ContactLease {
    contact_timeout: Micros,
    expires: Option<Micros>,
    is_trusted: bool,
}

impl ContactLease {
    /// Starts without contact. A member that founds the fleet is trusted from the start, any other
    /// only after its first contact, as it does not know the drains from before it joined.
    pub fn new(contact_timeout: Micros, is_trusted: bool) -> Self {
        Self {
            contact_timeout,
            expires: None,
            is_trusted,
        }
    }

    /// Records that the member was in contact at that time of its monotonic clock.
    pub fn renew(&mut self, monotonic_now: Micros) {
        self.expires = self.expires.max(Some(monotonic_now + self.contact_timeout));
        self.is_trusted = true;
    }

    /// Trusts this member as a founder of the fleet: most members it met have also just started,
    /// and know no more about drains.
    pub fn trust_as_founder(&mut self, is_founder: bool) {
        self.is_trusted |= is_founder;
    }

    /// Ends the lease, as the member knows that it is out of contact.
    pub fn lose_contact(&mut self) {
        self.expires = None;
    }

    /// Whether affinity entries may be used at that time.
    pub fn is_valid(&self, monotonic_now: Micros) -> bool {
        self.is_trusted && self.expires.is_some_and(|until| monotonic_now < until)
    }

    /// Whether this member's messages count as contact for others.
    pub fn is_trusted(&self) -> bool {
        self.is_trusted
    }
}

#[cfg(test)]
mod tests;
