//! Replaces the product parts where they are not built in: nothing is configured, hosted or
//! counted.

use crate::clock::Clock;
use crate::config::Config;
use crate::exit_error::ExitError;
use crate::host_list::HostList;
use crate::messages::{Answer, Inputs, Outgoing};
use crate::product_file::{CONFIG_VARIABLE, EARLIER_CONFIG_VARIABLE};
use load_balancer::{AttemptIndex, EndpointId, ListedEndpoint, Micros, Outcome, SharingOptions};
use std::process::ExitCode;

/// No product parts.
pub struct Product;

impl Product {
    /// Goes on, unless something is asked for that is not there.
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

    /// Counts nothing.
    pub fn observer(&self, _: &[String]) -> Observer {
        Observer
    }

    /// Keeps nothing.
    pub fn recover(&self, _: &mut Config, _: Clock) -> Result<Option<SnapshotHost>, ExitError> {
        Ok(None)
    }

    /// Joins nothing.
    pub fn join(
        &self,
        _: &Config,
        _: &Inputs,
        _: Clock,
        _: Option<&SnapshotHost>,
    ) -> Result<Option<Fleet>, ExitError> {
        Ok(None)
    }

    /// Hosts nothing.
    pub fn host(
        &self,
        _: &Observer,
        _: &Inputs,
        _: Option<&Fleet>,
        _: Option<&SnapshotHost>,
    ) -> Result<(), ExitError> {
        Ok(())
    }

    /// Has nothing to take in.
    pub fn reload(&mut self) {}

    /// Holds nothing back.
    pub fn end(&self) {}
}

/// There is none.
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
    pub fn listed<'a>(
        &self,
        _: bool,
        _: &[ListedEndpoint],
        _: impl Fn(EndpointId) -> &'a str,
        _: impl Fn(usize) -> &'a str,
    ) {
        match *self {}
    }
    /// See `gossip.rs`.
    pub fn list_seen(&self) {
        match *self {}
    }
    /// See `gossip.rs`.
    pub fn report_health(&self, _: EndpointId, _: bool) {
        match *self {}
    }
    /// See `gossip.rs`.
    pub fn pick(&self, _: Option<u64>) -> Option<Pick> {
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

/// A request that was given an affinity entry; there is none.
pub struct Pick {
    /// Where it is to go, the best first.
    pub endpoints: Vec<EndpointId>,
}

/// There is none.
#[derive(Clone)]
pub enum SnapshotHost {}

impl SnapshotHost {
    /// See `snapshot.rs`.
    pub fn listed(&self, _: &HostList, _: bool) {
        match *self {}
    }
    /// See `snapshot.rs`.
    pub fn stop(&self, _: &Inputs) {
        match *self {}
    }
}

/// Sees nothing.
#[derive(Clone)]
pub struct Observer;

impl Observer {
    /// A request was taken.
    pub fn taken(&self, _: usize, _: &Outgoing) {}
    /// An attempt of it goes out.
    pub fn sent(&self, _: &Outgoing, _: AttemptIndex, _: &str) {}
    /// An attempt ended.
    pub fn ended(&self, _: Option<&Outgoing>, _: Outcome, _: Micros) {}
    /// A request got its answer, or its client has left.
    pub fn answered(&self, _: usize, _: &Outgoing, _: Option<&Answer>, _: Micros) {}
    /// Discovery answered.
    pub fn listed(&self) {}
}
