//! The lease state machine: which process holds a singleton task, and when its lease ends.

use crate::event::{Claimant, Event, MAX_LEASE_MS, MAX_NAME_BYTES, MIN_LEASE_MS, Outcome, Refusal};
use crate::task::{HeldLease, Task, Waiting};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Most tasks: one for each server group and each limit of a large fleet, with headroom.
pub const MAX_TASKS: usize = 4_096;
/// Most claimants that wait for one task: a few in each zone.
pub const MAX_WAITING: usize = 16;

/// All tasks. Its serialized form is the snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseTable {
    /// The last token that was granted, for any task.
    #[serde(rename = "token")]
    last_token: u64,
    /// The number of the last change of a holder.
    change: u64,
    tasks: BTreeMap<String, Task>,
}

impl LeaseTable {
    /// Applies the next event of the log.
    pub fn apply(&mut self, event: Event) -> Outcome {
        match event {
            Event::Ask { task, by } => self.claim(&task, by),
            Event::Renew { task, name, token } => self.renew(&task, &name, token),
            Event::Release { task, name, token } => self.release(&task, &name, token, None),
            Event::Transfer {
                task,
                name,
                token,
                successor,
            } => self.release(&task, &name, token, Some(&successor)),
            Event::Withdraw { task, name } => self.remove_waiting(&task, &name, |_| true),
            Event::Forget { task, name, asks } => {
                self.remove_waiting(&task, &name, |w| w.asks == asks)
            }
            Event::Expire {
                task,
                token,
                renewals,
            } => self.expire(&task, token, renewals),
        }
    }

    /// The tasks, by name.
    pub fn tasks(&self) -> &BTreeMap<String, Task> {
        &self.tasks
    }

    /// The last token that was granted.
    pub fn last_token(&self) -> u64 {
        self.last_token
    }

    /// The number of the last change of a holder.
    pub fn last_change(&self) -> u64 {
        self.change
    }

    /// Tasks whose holder changed after that change.
    pub fn changed_since(&self, change: u64) -> impl Iterator<Item = (&String, &Task)> {
        self.tasks
            .iter()
            .filter(move |(_, task)| task.changed > change)
    }

    fn claim(&mut self, name: &str, claimant: Claimant) -> Outcome {
        if let Err((key, reason)) = validate(name, &claimant) {
            return Outcome::Refused(Refusal::Invalid(key.to_owned(), reason));
        }
        if !self.tasks.contains_key(name)
            && self.tasks.len() >= MAX_TASKS
            && !self.remove_idle_tasks()
        {
            return Outcome::Refused(Refusal::Full);
        }
        let task = self.tasks.entry(name.to_owned()).or_default();
        let known_claimants = task
            .held
            .iter()
            .map(|h| &h.by)
            .chain(task.waiting.iter().map(|w| &w.by));
        if known_claimants
            .into_iter()
            .any(|known| known.name == claimant.name && known.incarnation > claimant.incarnation)
        {
            return Outcome::Refused(Refusal::OldLife);
        }
        if let Some(lease) = task
            .held
            .as_mut()
            .filter(|h| (&h.by.name, h.by.incarnation) == (&claimant.name, claimant.incarnation))
        {
            // The holder counts its lease from this message, so the holder monitor must as well.
            lease.renewals += 1;
            (lease.by.rank, lease.by.zone) = (claimant.rank, claimant.zone);
            return self.grant_outcome(name);
        }
        // A claimant whose rank changed goes to the end of its new rank.
        let asker = claimant.name.clone();
        match task
            .waiting
            .iter_mut()
            .find(|w| w.by.name == asker && w.by.rank == claimant.rank)
        {
            Some(waiting) => (waiting.by, waiting.asks) = (claimant, waiting.asks + 1),
            None => {
                let asks = task.remove_waiting(&asker).map_or(0, |known| known.asks) + 1;
                if task.waiting.len() >= MAX_WAITING {
                    return Outcome::Refused(Refusal::Full);
                }
                task.insert_waiting(Waiting { by: claimant, asks });
            }
        }
        self.grant_next(name);
        self.claim_outcome(name, &asker)
    }

    fn renew(&mut self, name: &str, holder: &str, token: u64) -> Outcome {
        match self
            .tasks
            .get_mut(name)
            .filter(|task| task.held_by(holder, token).is_some())
        {
            Some(Task {
                held: Some(held), ..
            }) => held.renewals += 1,
            _ => return Outcome::Refused(Refusal::NotYours),
        }
        self.grant_outcome(name)
    }

    /// Releases a task, to the successor if one is named.
    fn release(
        &mut self,
        name: &str,
        holder: &str,
        token: u64,
        successor: Option<&str>,
    ) -> Outcome {
        let Some(task) = self
            .tasks
            .get_mut(name)
            .filter(|task| task.held_by(holder, token).is_some())
        else {
            return Outcome::Refused(Refusal::NotYours);
        };
        if let Some(successor) = successor {
            let Some(next) = task.remove_waiting(successor) else {
                return Outcome::Refused(Refusal::NotWaiting);
            };
            // The named successor goes ahead of claimants of a higher rank.
            task.waiting.insert(0, next);
        }
        task.held = None;
        self.grant_next(name);
        Outcome::Taken
    }

    fn expire(&mut self, name: &str, token: u64, renewals: u64) -> Outcome {
        let matches = |held: &HeldLease| (held.token, held.renewals) == (token, renewals);
        let Some(task) = self
            .tasks
            .get_mut(name)
            .filter(|task| task.held.as_ref().is_some_and(matches))
        else {
            return Outcome::Ignored;
        };
        task.held = None;
        self.grant_next(name);
        Outcome::Taken
    }

    fn remove_waiting(
        &mut self,
        name: &str,
        waiting_name: &str,
        matches: impl Fn(&Waiting) -> bool,
    ) -> Outcome {
        let Some(task) = self.tasks.get_mut(name) else {
            return Outcome::Ignored;
        };
        let previous_length = task.waiting.len();
        task.waiting
            .retain(|w| w.by.name != waiting_name || !matches(w));
        if task.waiting.len() < previous_length {
            Outcome::Taken
        } else {
            Outcome::Ignored
        }
    }

    /// Grants a task without a holder to the first waiting claimant.
    fn grant_next(&mut self, name: &str) {
        let Some(task) = self.tasks.get_mut(name).filter(|task| task.held.is_none()) else {
            return;
        };
        self.change += 1;
        task.changed = self.change;
        if !task.waiting.is_empty() {
            self.last_token += 1;
            let Waiting { by, .. } = task.waiting.remove(0);
            task.held = Some(HeldLease {
                by,
                token: self.last_token,
                renewals: 0,
            });
        }
    }

    /// Removes the tasks that have neither a holder nor a claimant. Tokens are numbered across all
    /// tasks, so no token is ever granted again.
    fn remove_idle_tasks(&mut self) -> bool {
        let previous_length = self.tasks.len();
        self.tasks
            .retain(|_, task| task.held.is_some() || !task.waiting.is_empty());
        self.tasks.len() < previous_length
    }

    fn grant_outcome(&self, name: &str) -> Outcome {
        let Some((task, held)) = self
            .tasks
            .get(name)
            .and_then(|task| Some((task, task.held.as_ref()?)))
        else {
            return Outcome::Ignored;
        };
        let (token, lease_ms) = (held.token, held.by.lease_ms);
        Outcome::Granted {
            token,
            lease_ms,
            wanted_by: task.requested_by(),
        }
    }

    fn claim_outcome(&self, name: &str, asker: &str) -> Outcome {
        let Some(Task {
            held: Some(held),
            waiting,
            ..
        }) = self.tasks.get(name)
        else {
            return Outcome::Ignored;
        };
        if held.by.name == asker && !waiting.iter().any(|w| w.by.name == asker) {
            return self.grant_outcome(name);
        }
        let before = waiting
            .iter()
            .position(|w| w.by.name == asker)
            .unwrap_or(waiting.len());
        Outcome::Waits {
            holder: held.by.name.clone(),
            before,
        }
    }
}

/// Checks the names and the length of the lease; an error names the field and the reason.
fn validate(task: &str, claimant: &Claimant) -> Result<(), (&'static str, String)> {
    let is_valid_name =
        |name: &str| (1..=MAX_NAME_BYTES).contains(&name.len()) && !name.contains(char::is_control);
    for (key, name) in [("duty", task), ("name", &claimant.name)] {
        if !is_valid_name(name) {
            return Err((
                key,
                format!("must have 1 to {MAX_NAME_BYTES} bytes and no control characters"),
            ));
        }
    }
    if !claimant.zone.is_empty() && !is_valid_name(&claimant.zone) {
        return Err((
            "zone",
            format!("must have at most {MAX_NAME_BYTES} bytes and no control characters"),
        ));
    }
    if !(MIN_LEASE_MS..=MAX_LEASE_MS).contains(&claimant.lease_ms) {
        return Err((
            "lease_ms",
            format!("must be {MIN_LEASE_MS} to {MAX_LEASE_MS}"),
        ));
    }
    Ok(())
}
