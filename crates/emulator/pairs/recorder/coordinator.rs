//! A coordinator's replicated log on lines of text, without sockets and clock, over a store in a
//! file: what an earlier revision's replica says, keeps and reads. Built as an example of the
//! coordinator package of a pinned revision, and as a part of today's emulator. The names come from
//! `coordinator_interface`, which is another file for each form of that package.
//!
//! Told, a line each: `start NAME ID RUN FOUNDS FILE`, `tick`, `step HEX`, `propose AT_MS ORDER`,
//! `admit ID NAME`, `stop`, `state`. Answered: any of `message TO HEX`, `agreed ORDER`, `admitted`,
//! `aside WHY`, `passed BOOL`, `state ID ACTS LINES` (the applied orders with their times), then
//! `.`.

use super::coordinator_interface::{
    self as interface, Admission, Node, Replicated, decode, encode, open_store,
};
use super::lines::{bytes, hex, read};
use std::fmt::Write as _;
use std::path::Path;

/// A machine that remembers all orders.
#[derive(Default)]
struct Book(Vec<(i64, u64)>);

impl Replicated for Book {
    fn apply(&mut self, at_ms: i64, event: &[u8]) -> Result<Vec<u8>, String> {
        let order = event.try_into().map_err(|_| "no order".to_owned())?;
        self.0.push((at_ms, u64::from_le_bytes(order)));
        Ok(event.to_vec())
    }

    fn snapshot(&self) -> Vec<u8> {
        self.0
            .iter()
            .flat_map(|(at, order)| [at.to_le_bytes(), order.to_le_bytes()])
            .flatten()
            .collect()
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), String> {
        let line = |both: &[u8]| {
            let (at, order) = both.split_at_checked(8)?;
            Some((
                i64::from_le_bytes(at.try_into().ok()?),
                u64::from_le_bytes(order.try_into().ok()?),
            ))
        };
        let lines = snapshot.chunks(16).map(line).collect::<Option<_>>();
        self.0 = lines.ok_or_else(|| "no book".to_owned())?;
        Ok(())
    }
}

/// A coordinator, while it runs.
#[derive(Default)]
pub struct Session {
    node: Option<Node<Book>>,
}

/// Ticks that a leader may miss.
const ELECTION_TICKS: usize = 10;
/// Voters below which nothing is proposed.
const MIN_VOTERS: usize = 3;

impl Session {
    /// Does what a line says; the lines that come of it.
    ///
    /// # Errors
    /// The line is none of those above, or the coordinator cannot go on.
    pub fn line(&mut self, line: &str) -> Result<Vec<String>, String> {
        let words: Vec<&str> = line.split(' ').collect();
        let mut answers = Vec::new();
        match words[..] {
            ["start", name, id, run, founds, file] => {
                let (store, quarantined) = open_store(Path::new(file), name)?;
                answers.extend(quarantined.map(|why| format!("aside {why}")));
                let log_store = interface::open_log_store(store, read(id)?)?;
                let options = interface::options(name, read(run)?, ELECTION_TICKS, MIN_VOTERS);
                let node = Node::new(log_store, Book::default(), options, founds == "1");
                self.node = Some(node.map_err(|e| e.to_string())?);
                return Ok(answers);
            }
            ["stop"] => {
                self.node = None;
                return Ok(answers);
            }
            _ => {}
        }
        let node = self.node.as_mut().ok_or("it does not run")?;
        match words[..] {
            ["tick"] => node.tick(),
            ["step", hex] => {
                let message = decode(&bytes(hex)?)?;
                answers.push(format!("passed {}", node.step(message)));
            }
            ["propose", at_ms, order] => {
                let number: u64 = read(order)?;
                // Who does not lead refuses, and is asked again.
                let _ = node.propose(read(at_ms)?, number, number.to_le_bytes().to_vec());
            }
            ["admit", id, name] => {
                if node.admit(read(id)?, name) == Admission::Member {
                    answers.push("admitted".to_owned());
                }
            }
            ["state"] => {
                let lines = node
                    .machine()
                    .0
                    .iter()
                    .fold(String::new(), |mut text, (at, order)| {
                        let _ = write!(text, "{at}:{order},");
                        text
                    });
                return Ok(vec![format!(
                    "state {} {} {lines}-",
                    node.id(),
                    interface::is_active_leader(node)
                )]);
            }
            _ => return Err(format!("cannot read {line:?}")),
        }
        let (messages, answered_tickets) = interface::process_ready(node)?;
        for message in &messages {
            let bytes = encode(message).ok_or("a message without form")?;
            answers.push(format!("message {} {}", message.to, hex(&bytes)));
        }
        answers.extend(
            answered_tickets
                .iter()
                .map(|ticket| format!("agreed {ticket}")),
        );
        Ok(answers)
    }
}
