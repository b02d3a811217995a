//! The simulator's protocol: reads lines, passes each event to its instance, and writes the
//! actions. It only translates. Each instance has its own names.

mod error;
mod instance;
mod line;

use crate::api::{Action, Micros};
pub use error::{LineError, WireError};
use instance::{CatalogEntry, Instance};
use line::Line;
use std::collections::HashMap;
use std::fmt::Write as _;
use std::io::{BufRead, Write};

/// Serves the protocol until the end of input, with one reply per batch.
///
/// # Errors
/// Returns the first line that cannot be read, or an I/O error.
pub fn serve(mut input: impl BufRead, mut output: impl Write) -> Result<(), WireError> {
    let mut adapter = Adapter::default();
    let (mut bytes, mut number) = (Vec::new(), 0);
    loop {
        bytes.clear();
        number += 1;
        if input.read_until(b'\n', &mut bytes)? == 0 {
            let inside_batch = adapter.batch.is_some();
            return if inside_batch {
                Err(WireError::Line {
                    number,
                    error: LineError::UnfinishedBatch,
                })
            } else {
                Ok(())
            };
        }
        let text = std::str::from_utf8(&bytes).map_err(|_| WireError::Line {
            number,
            error: LineError::NotText,
        })?;
        let text = text.trim_end_matches(['\n', '\r']);
        if adapter
            .line(text)
            .map_err(|error| WireError::Line { number, error })?
        {
            output.write_all(adapter.reply.as_bytes())?;
            output.flush()?;
            adapter.reply.clear();
        }
    }
}

#[derive(Default)]
struct Adapter {
    instances: HashMap<u64, Instance>,
    catalogs: HashMap<u64, Vec<CatalogEntry>>,
    /// Clock and number of the current batch.
    batch: Option<(Micros, u64)>,
    /// The catalog being read, and the number of entries still missing.
    open_catalog: Option<(u64, usize)>,
    actions: Vec<Action>,
    reply: String,
}

impl Adapter {
    /// Handles one line. Returns true once a reply is complete.
    fn line(&mut self, text: &str) -> Result<bool, LineError> {
        let line = Line::new(text);
        if let Some((catalog, left)) = self.open_catalog {
            if line.name != "m" {
                return Err(LineError::CatalogTooShort {
                    catalog,
                    missing: left,
                });
            }
            self.catalogs
                .entry(catalog)
                .or_default()
                .push(CatalogEntry::read(&line)?);
            self.open_catalog = Some((catalog, left - 1)).filter(|(_, left)| *left > 0);
            return Ok(false);
        }
        let Some((now, number)) = self.batch else {
            if line.name == "mark" {
                self.batch = Some((line.get("WallUs")?, line.get("batch")?));
                return Ok(false);
            }
            return if text.is_empty() {
                Ok(false)
            } else {
                Err(LineError::OutsideBatch(line.name.to_owned()))
            };
        };
        match line.name {
            "mark" => return Err(LineError::BatchInsideBatch),
            "go" => {
                self.batch = None;
                let _ = writeln!(self.reply, "next batch={number}");
                return Ok(true);
            }
            "m" => return Err(LineError::EntryOutsideCatalog),
            "catalog" => {
                let (catalog, hosts) = (line.get("RosterId")?, line.get("Hosts")?);
                self.catalogs.insert(catalog, Vec::new());
                self.open_catalog = Some((catalog, hosts)).filter(|(_, left)| *left > 0);
            }
            "start" => {
                self.instances
                    .insert(line.get("I")?, Instance::start(&line)?);
            }
            "kill" => {
                self.instances.remove(&line.get("I")?);
            }
            "endpoints" | "demand" | "under_way" | "returned" | "health_result" | "withdrawn"
            | "peer_data" | "alarm" => {
                let id: u64 = line.get("I")?;
                let Some(instance) = self.instances.get_mut(&id) else {
                    return Ok(false);
                };
                let Some(event) = instance.event(&line, &self.catalogs)? else {
                    return Ok(false);
                };
                instance.balancer.handle(now, event, &mut self.actions);
                for action in self.actions.drain(..) {
                    instance.write_action(id, &action, &mut self.reply);
                }
            }
            _ => {}
        }
        Ok(false)
    }
}
