//! The list as discovery has answered it, and what calls change of it.

use super::call::CallFailure;
use crate::host_list::HostList;
use crate::messages::{Input, InputSender};
use crate::watch_schedule::CallTimes;
use std::cell::Cell;
use tokio::time::Instant;

/// What one address of discovery has answered.
pub(super) struct HeldList {
    /// The version that is held, if it came from this address.
    version: Cell<Option<u64>>,
    /// When a call was last answered.
    answered_at: Cell<Option<Instant>>,
}

impl HeldList {
    /// Holds that version, of which no call has told yet.
    pub(super) fn new(version: Option<u64>) -> Self {
        Self {
            version: Cell::new(version),
            answered_at: Cell::default(),
        }
    }

    /// The version that is held, if it came from this address.
    pub(super) fn version(&self) -> Option<u64> {
        self.version.get()
    }

    /// Forwards a failure, or the answer to a call for changes after that version.
    pub(super) fn report(
        &self,
        answer: Result<HostList, CallFailure>,
        asked_after: Option<u64>,
        times: CallTimes,
        inputs: &InputSender,
    ) {
        let list = match answer {
            Ok(list) => list,
            Err(failure) => {
                let message = self.describe(&failure, asked_after, times);
                return inputs.send(Input::ListFailed(message));
            }
        };
        self.answered_at.set(Some(Instant::now()));
        let current = self.version.get();
        if current != asked_after && current > Some(list.index) {
            // Another call has brought a newer version in the meantime.
            return;
        }
        // Changes up to an earlier version mean that discovery has started over: the versions they
        // are based on are not held here.
        let is_continuous = list.snapshot || asked_after.is_none_or(|after| after <= list.index);
        self.version.set(is_continuous.then_some(list.index));
        inputs.send(Input::EndpointList(list));
    }

    /// Describes a failed call, and for how long the list has not been confirmed.
    fn describe(
        &self,
        failure: &CallFailure,
        asked_after: Option<u64>,
        times: CallTimes,
    ) -> String {
        let call = match asked_after {
            Some(version) => format!(
                "changes after {version}, wait {} ms",
                times.wait.as_millis()
            ),
            None => "whole list".to_owned(),
        };
        let age = match self.answered_at.get() {
            Some(time) => format!("last answered {:.1} s ago", time.elapsed().as_secs_f64()),
            None => "not answered yet".to_owned(),
        };
        format!("{failure} ({call}; {age})")
    }
}
