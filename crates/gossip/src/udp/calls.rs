//! Calls from other tasks of the thread.

use super::{FragmentHandler, GossipHandle, NoteHandler};
use crate::core::{Core, MembershipSummary, ObservedEndpoint};
use crate::fragments::FragmentError;
use crate::observation_table::ObservedHealth;
use crate::summary::ServerReports;

impl GossipHandle {
    /// Sets the handler of received fragments; until then they are dropped.
    pub fn set_fragment_handler(&self, handler: FragmentHandler) {
        *self.fragment_handler.borrow_mut() = Some(handler);
    }

    /// Sets the handler of events for on-call engineers.
    pub fn set_note_handler(&self, handler: NoteHandler) {
        *self.note_handler.borrow_mut() = Some(handler);
    }

    /// Sets the program version that other members see.
    pub fn set_version(&self, version: &str) {
        self.core.borrow_mut().set_version(version);
    }

    /// Broadcasts a fragment; see [`Core::broadcast_fragment`].
    ///
    /// # Errors
    /// Returns the reason why it was not accepted.
    pub fn broadcast_fragment(&self, kind: u8, bytes: &[u8]) -> Result<(), FragmentError> {
        self.with(|core, now| core.broadcast_fragment(now, kind, bytes))
    }

    /// Sends a fragment to one member; see [`Core::send_fragment`].
    ///
    /// # Errors
    /// Returns the reason why it was not sent.
    pub fn send_fragment(
        &self,
        recipient: u64,
        kind: u8,
        bytes: &[u8],
    ) -> Result<(), FragmentError> {
        self.with(|core, now| core.send_fragment(now, recipient, kind, bytes))
    }

    /// Returns random members; see [`Core::random_members`].
    pub fn random_members(&self, max_members: usize) -> Vec<u64> {
        self.with(|core, _| core.random_members(max_members))
    }

    /// Replaces the endpoint list.
    pub fn set_endpoints(&self, list: Vec<ObservedEndpoint>) {
        self.with(|core, now| core.set_endpoints(now, list));
    }

    /// Records that discovery confirmed the endpoint list.
    pub fn confirm_list(&self) {
        self.with(Core::confirm_list);
    }

    /// Sets the zone of each endpoint.
    pub fn set_endpoint_zones<'a>(&self, zones: impl Iterator<Item = (usize, &'a str)>) {
        self.core.borrow_mut().set_endpoint_zones(zones);
    }

    /// Records whether an endpoint served this member.
    pub fn observe(&self, endpoint: usize, health: ObservedHealth) {
        self.with(|core, now| core.observe(now, endpoint, health));
    }

    /// Announces the departure of this member.
    pub fn leave(&self) {
        self.with(Core::leave);
    }

    /// Returns the reports for the coordinator.
    pub fn server_reports(&self) -> ServerReports {
        self.with(|core, now| core.server_reports(now))
    }

    /// Returns the summary for status pages.
    pub fn summary(&self) -> MembershipSummary {
        self.with(|core, now| core.summary(now))
    }
}
