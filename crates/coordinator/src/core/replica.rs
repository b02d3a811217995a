//! The maintenance state machine as applied by the replicated log, with the encoding of events and
//! snapshots.
//!
//! Both are JSON after a version byte. A coordinator stops at a version that it does not know.

use crate::replicated_log::{DecodeError, Replicated, content};
use load_balancer_maintenance::{Event, Machine, Outcome};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The version that is written.
const FORMAT: u8 = 1;

/// The replicated maintenance state machine.
#[derive(Debug, Default)]
pub struct Replica(pub Machine);

/// Encodes a value.
pub(crate) fn write<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = vec![FORMAT];
    // Serialization cannot fail: all map keys are strings or numbers.
    bytes.extend(serde_json::to_vec(value).unwrap_or_default());
    bytes
}

/// Decodes a value.
pub(crate) fn read<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    Ok(serde_json::from_slice(content(bytes, FORMAT)?)?)
}

/// Encodes an event for the log.
pub(crate) fn encode_event(event: &Event) -> Vec<u8> {
    write(event)
}

/// Decodes the outcome of an event.
pub(crate) fn decode_outcome(bytes: &[u8]) -> Option<Outcome> {
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
