//! Stands in for the product parts in builds without them: nothing is configured, hosted or
//! counted.

use crate::clock::Clock;
use crate::config::Config;
use crate::exit_error::ExitError;
use crate::host_list::HostList;
use crate::messages::{Answer, InputSender, OutgoingRequest};
use crate::occupancy::Occupancy;
use crate::product_file::{CONFIG_VARIABLE, EARLIER_CONFIG_VARIABLE};
use crate::refusal::Refusal;
use load_balancer::{AttemptIndex, EndpointId, ListedEndpoint, Micros, Outcome, SharingOptions};
use std::process::ExitCode;

/// The absent product parts.
pub struct Product;

impl Product {
    /// Continues, unless product parts are requested that this build does not have.
    pub fn begin() -> Result<Self, ExitCode> {
        let configured = [CONFIG_VARIABLE, EARLIER_CONFIG_VARIABLE]
            .iter()
            .any(|variable| std::env::var_os(variable).is_some_and(|file| !file.is_empty()));
        if configured || std::env::args_os().len() > 1 {
            crate::report::line(format_args!(
                "this build takes neither arguments nor a product configuration: build it with --features product"
            ));
            return Err(ExitCode::from(64));
        }
        Ok(Self)
    }

    /// Records nothing.
    pub fn observer(&self, _: &[String]) -> Observer {
        Observer::disabled()
    }

    /// Stores nothing.
    pub fn recover(&self, _: &mut Config, _: Clock) -> Result<Option<SnapshotHost>, ExitError> {
        Ok(None)
    }

    /// Joins nothing.
    pub fn join(
        &self,
        _: &Config,
        _: &InputSender,
        _: Clock,
        _: Option<&SnapshotHost>,
    ) -> Result<Option<Fleet>, ExitError> {
        Ok(None)
    }

    /// Starts nothing.
    pub fn start_components(
        &self,
        _: &Observer,
        _: &InputSender,
        _: Option<&Fleet>,
        _: Option<&SnapshotHost>,
    ) -> Result<(), ExitError> {
        Ok(())
    }

    /// Has nothing to reload.
    pub fn reload(&mut self) {}

    /// Has nothing to flush.
    pub fn end(&self) {}
}

/// Absent in this build.
#[derive(Clone)]
pub enum Fleet {}

impl Fleet {
    /// See `gossip.rs`.
    pub fn sharing(&self) -> SharingOptions {
        match *self {}
    }
    /// See `gossip.rs`.
    pub fn alias(&self, _: &str) -> u64 {
        match *self {}
    }
    /// See `gossip.rs`.
    pub fn set_endpoints<'a>(
        &self,
        _: bool,
        _: &[ListedEndpoint],
        _: impl Fn(EndpointId) -> &'a str,
        _: impl Fn(usize) -> &'a str,
    ) {
        match *self {}
    }
    /// See `gossip.rs`.
    pub fn confirm_list(&self) {
        match *self {}
    }
    /// See `gossip.rs`.
    pub fn report_health(&self, _: EndpointId, _: bool) {
        match *self {}
    }
    /// See `gossip.rs`.
    pub fn affinity_pick(&self, _: Option<u64>) -> Option<AffinityPick> {
        match *self {}
    }
    /// See `gossip.rs`.
    pub fn record_use(&self, _: Option<u64>, _: EndpointId) {
        match *self {}
    }
    /// See `gossip.rs`.
    pub fn leave(&self) {
        match *self {}
    }
}

/// Absent in this build; see `affinity.rs`.
pub struct AffinityPick {
    /// The endpoints to try, best first.
    pub endpoints: Vec<EndpointId>,
}

/// Absent in this build.
#[derive(Clone)]
pub enum SnapshotHost {}

impl SnapshotHost {
    /// See `snapshot.rs`.
    pub fn update_list(&self, _: &HostList, _: bool) {
        match *self {}
    }
    /// See `snapshot.rs`.
    pub fn stop(&self, _: &InputSender) {
        match *self {}
    }
}

/// Records nothing.
#[derive(Clone)]
pub struct Observer;

impl Observer {
    /// The only one.
    pub fn disabled() -> Self {
        Self
    }
    /// Ignores a new request.
    pub fn request_accepted(&self, _: usize, _: &OutgoingRequest) {}
    /// Ignores a request that came again.
    pub fn request_repeated(&self, _: &OutgoingRequest) {}
    /// Ignores the start of an attempt.
    pub fn attempt_sent(&self, _: &OutgoingRequest, _: AttemptIndex, _: &str) {}
    /// Ignores the end of an attempt.
    pub fn attempt_ended(&self, _: Option<&OutgoingRequest>, _: Outcome, _: Micros) {}
    /// Ignores the answer to a request.
    pub fn request_answered(&self, _: usize, _: &OutgoingRequest, _: Option<&Answer>, _: Micros) {}
    /// Ignores a request that is answered without having been taken.
    pub fn request_refused(&self, _: Refusal) {}
    /// Ignores a connection that was closed for another one.
    pub fn client_connection_evicted(&self, _: Occupancy) {}
    /// Ignores an answer of discovery.
    pub fn list_received(&self) {}
}
