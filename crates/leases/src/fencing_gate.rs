//! The check of fencing tokens at the resource that is acted on.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The highest token seen for each task, kept by the resource that is acted on. If its actions
/// outlive the process, the gate must be kept on disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FencingGate {
    #[serde(rename = "seen")]
    highest_tokens: BTreeMap<String, u64>,
}

/// The action may be performed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GatePass {
    /// Its token was seen before.
    Seen,
    /// Its token is the highest so far: a gate that is kept on disk must be written before the
    /// action is performed.
    New,
}

/// The action must not be performed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateRejection {
    /// A higher token was seen.
    StaleToken(u64),
    /// The gate already stores its maximum number of tasks.
    Full,
}

impl FencingGate {
    /// Checks whether an action on a task with that token may be performed, and remembers a token
    /// that is higher than any before. Stores at most `max_tasks` tasks.
    ///
    /// # Errors
    /// The token is stale, or the gate is full.
    pub fn check(
        &mut self,
        task: &str,
        token: u64,
        max_tasks: usize,
    ) -> Result<GatePass, GateRejection> {
        let full = self.highest_tokens.len() >= max_tasks;
        match self.highest_tokens.get_mut(task) {
            Some(seen) if token < *seen => Err(GateRejection::StaleToken(*seen)),
            Some(highest) if token == *highest => Ok(GatePass::Seen),
            Some(highest) => {
                *highest = token;
                Ok(GatePass::New)
            }
            None if full => Err(GateRejection::Full),
            None => {
                self.highest_tokens.insert(task.to_owned(), token);
                Ok(GatePass::New)
            }
        }
    }

    /// The highest token seen for a task.
    pub fn highest_token(&self, task: &str) -> Option<u64> {
        self.highest_tokens.get(task).copied()
    }
}
