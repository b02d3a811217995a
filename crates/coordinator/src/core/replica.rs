//! The maintenance state machine as the replicated log applies it, with its event and snapshot
//! encoding.
//!
//! Both are JSON behind a byte with the version: whatever a coordinator does not know, it stops at.

use crate::replicated_log::{DecodeError, Replicated, content};
use load_balancer_maintenance::{Event, Machine, Outcome};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The version that is written.
const FORMAT: u8 = 1;

/// The machine of windows.
#[derive(Debug, Default)]
pub struct Replica(pub Machine);

/// Writes a form.
pub(crate) fn write<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = vec![FORMAT];
    // Plain data whose keys are names and numbers always has a form.
    bytes.extend(serde_json::to_vec(value).unwrap_or_default());
    bytes
}

/// Reads one.
pub(crate) fn read<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    Ok(serde_json::from_slice(content(bytes, FORMAT)?)?)
}

/// An event as it is agreed on.
pub(crate) fn event(event: &Event) -> Vec<u8> {
    write(event)
}

/// The answer to an event, as a node gives it.
pub(crate) fn outcome(bytes: &[u8]) -> Option<Outcome> {
    read(bytes).ok()
}

impl Replicated for Replica {
    fn apply(&mut self, at_ms: i64, event: &[u8]) -> Result<Vec<u8>, String> {
        let event: Event = read(event).map_err(|error| error.to_string())?;
        Ok(write(&self.0.apply(at_ms, event)))
    }

    fn snapshot(&self) -> Vec<u8> {
        write(&self.0)
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), String> {
        self.0 = read(snapshot).map_err(|error| error.to_string())?;
        Ok(())
    }
}
