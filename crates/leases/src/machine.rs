//! The lease state machine: who gets a singleton task, and when a lease ends.

use crate::event::{Claimant, Event, MAX_LEASE_MS, MAX_NAME_BYTES, MIN_LEASE_MS, Outcome, Refusal};
use crate::task::{HeldLease, Task, Waiting};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Most tasks: one for each server group and each limit of a large fleet, and some to spare.
pub const MAX_TASKS: usize = 4_096;
/// Most who wait for one task: a few in each zone.
pub const MAX_WAITING: usize = 16;

/// All tasks. Serialized, it is the snapshot of them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseTable {
    /// The last token that was given, of any task.
    token: u64,
    /// The number of the last change of a holder.
    change: u64,
    tasks: BTreeMap<String, Task>,
}

impl LeaseTable {
    /// Takes the next agreed event.
    pub fn apply(&mut self, event: Event) -> Outcome {
        match event {
            Event::Ask { task, by } => self.ask(&task, by),
            Event::Renew { task, name, token } => self.renew(&task, &name, token),
            Event::Release { task, name, token } => self.release(&task, &name, token, None),
            Event::Transfer {
                task,
                name,
                token,
                heir,
            } => self.release(&task, &name, token, Some(&heir)),
            Event::Withdraw { task, name } => self.leave(&task, &name, |_| true),
            Event::Forget { task, name, asks } => self.leave(&task, &name, |w| w.asks == asks),
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

    /// The last token that was given.
    pub fn last_token(&self) -> u64 {
        self.token
    }

    /// The number of the last change of a holder.
    pub fn last_change(&self) -> u64 {
        self.change
    }

    /// Duties whose holder changed after that change.
    pub fn changed_since(&self, change: u64) -> impl Iterator<Item = (&String, &Task)> {
        self.tasks
            .iter()
            .filter(move |(_, task)| task.changed > change)
    }

    fn ask(&mut self, name: &str, by: Claimant) -> Outcome {
        if let Err((key, why)) = check(name, &by) {
            return Outcome::Refused(Refusal::Invalid(key.to_owned(), why));
        }
        if !self.tasks.contains_key(name) && self.tasks.len() >= MAX_TASKS && !self.drop_idle() {
            return Outcome::Refused(Refusal::Full);
        }
        let task = self.tasks.entry(name.to_owned()).or_default();
        let lives = task
            .held
            .iter()
            .map(|h| &h.by)
            .chain(task.waiting.iter().map(|w| &w.by));
        if lives
            .into_iter()
            .any(|known| known.name == by.name && known.incarnation > by.incarnation)
        {
            return Outcome::Refused(Refusal::OldLife);
        }
        if let Some(held) = task
            .held
            .as_mut()
            .filter(|h| (&h.by.name, h.by.incarnation) == (&by.name, by.incarnation))
        {
            // It counts the lease from this very asking, so who watches must do so too.
            held.renewals += 1;
            (held.by.rank, held.by.zone) = (by.rank, by.zone);
            return self.granted(name);
        }
        // Whoever asks with a new rank stands at the end of that rank.
        let asker = by.name.clone();
        match task
            .waiting
            .iter_mut()
            .find(|w| w.by.name == asker && w.by.rank == by.rank)
        {
            Some(known) => (known.by, known.asks) = (by, known.asks + 1),
            None => {
                let asks = task.take(&asker).map_or(0, |known| known.asks) + 1;
                if task.waiting.len() >= MAX_WAITING {
                    return Outcome::Refused(Refusal::Full);
                }
                task.wait(Waiting { by, asks });
            }
        }
        self.fill(name);
        self.answer(name, &asker)
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
        self.granted(name)
    }

    /// Gives a task back, to the heir if one is named.
    fn release(&mut self, name: &str, holder: &str, token: u64, heir: Option<&str>) -> Outcome {
        let Some(task) = self
            .tasks
            .get_mut(name)
            .filter(|task| task.held_by(holder, token).is_some())
        else {
            return Outcome::Refused(Refusal::NotYours);
        };
        if let Some(heir) = heir {
            let Some(next) = task.take(heir) else {
                return Outcome::Refused(Refusal::NotWaiting);
            };
            // However many of a higher rank wait: this one was named.
            task.waiting.insert(0, next);
        }
        task.held = None;
        self.fill(name);
        Outcome::Taken
    }

    fn expire(&mut self, name: &str, token: u64, renewals: u64) -> Outcome {
        let ended = |held: &HeldLease| (held.token, held.renewals) == (token, renewals);
        let Some(task) = self
            .tasks
            .get_mut(name)
            .filter(|d| d.held.as_ref().is_some_and(ended))
        else {
            return Outcome::Ignored;
        };
        task.held = None;
        self.fill(name);
        Outcome::Taken
    }

    fn leave(&mut self, name: &str, who: &str, is: impl Fn(&Waiting) -> bool) -> Outcome {
        let Some(task) = self.tasks.get_mut(name) else {
            return Outcome::Ignored;
        };
        let before = task.waiting.len();
        task.waiting.retain(|w| w.by.name != who || !is(w));
        if task.waiting.len() < before {
            Outcome::Taken
        } else {
            Outcome::Ignored
        }
    }

    /// Gives a task that nobody holds to the first who waits.
    fn fill(&mut self, name: &str) {
        let Some(task) = self.tasks.get_mut(name).filter(|task| task.held.is_none()) else {
            return;
        };
        self.change += 1;
        task.changed = self.change;
        if !task.waiting.is_empty() {
            self.token += 1;
            let Waiting { by, .. } = task.waiting.remove(0);
            task.held = Some(HeldLease {
                by,
                token: self.token,
                renewals: 0,
            });
        }
    }

    /// Makes room where nobody holds a task and nobody waits for it. The token is common to all, so
    /// nothing is lost.
    fn drop_idle(&mut self) -> bool {
        let before = self.tasks.len();
        self.tasks
            .retain(|_, task| task.held.is_some() || !task.waiting.is_empty());
        self.tasks.len() < before
    }

    fn granted(&self, name: &str) -> Outcome {
        let Some((task, held)) = self
            .tasks
            .get(name)
            .and_then(|d| Some((d, d.held.as_ref()?)))
        else {
            return Outcome::Ignored;
        };
        let (token, lease_ms) = (held.token, held.by.lease_ms);
        Outcome::Granted {
            token,
            lease_ms,
            wanted_by: task.wanted_by(),
        }
    }

    fn answer(&self, name: &str, asker: &str) -> Outcome {
        let Some(Task {
            held: Some(held),
            waiting,
            ..
        }) = self.tasks.get(name)
        else {
            return Outcome::Ignored;
        };
        if held.by.name == asker && !waiting.iter().any(|w| w.by.name == asker) {
            return self.granted(name);
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

/// Whether names and lease are within bounds; else the key and why.
fn check(task: &str, by: &Claimant) -> Result<(), (&'static str, String)> {
    let fits =
        |name: &str| (1..=MAX_NAME_BYTES).contains(&name.len()) && !name.contains(char::is_control);
    for (key, name) in [("duty", task), ("name", &by.name)] {
        if !fits(name) {
            return Err((
                key,
                format!("must have 1 to {MAX_NAME_BYTES} bytes and no control characters"),
            ));
        }
    }
    if !by.zone.is_empty() && !fits(&by.zone) {
        return Err((
            "zone",
            format!("must have at most {MAX_NAME_BYTES} bytes and no control characters"),
        ));
    }
    if !(MIN_LEASE_MS..=MAX_LEASE_MS).contains(&by.lease_ms) {
        return Err((
            "lease_ms",
            format!("must be {MIN_LEASE_MS} to {MAX_LEASE_MS}"),
        ));
    }
    Ok(())
}
