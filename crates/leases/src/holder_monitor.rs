//! The leader's failure detector of lease holders.

use crate::event::Event;
use crate::machine::LeaseTable;
use std::collections::BTreeMap;

/// When the leader last saw each holder and waiting claimant change, by its own monotonic clock.
/// Created at the start of each leadership and dropped at its end, so that no process is expired
/// unless this leader itself has seen it silent for a whole lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct HolderMonitor {
    /// Holders by task: token, renewals, and since when these are unchanged.
    holders: BTreeMap<String, (u64, u64, u64)>,
    /// Waiting claimants by task and name: incarnation, claims, and since when these are unchanged.
    waiting: BTreeMap<(String, String), (u64, u64, u64)>,
}

impl HolderMonitor {
    /// The expirations that the leader should propose, at most `max_events`, holders first. Each
    /// names the state it was derived from; it is ignored if that has changed by the time it is
    /// applied.
    pub fn due(&mut self, now_ms: u64, table: &LeaseTable, max_events: usize) -> Vec<Event> {
        let mut due = Vec::new();
        self.holders.retain(|name, _| {
            table
                .tasks()
                .get(name)
                .is_some_and(|task| task.held.is_some())
        });
        self.waiting.retain(|(name, who), _| {
            table
                .tasks()
                .get(name)
                .is_some_and(|task| task.waiting.iter().any(|w| &w.by.name == who))
        });
        for (name, task) in table.tasks() {
            if let Some(lease) = &task.held {
                let observed = (lease.token, lease.renewals);
                if unchanged_for_ms(&mut self.holders, name.clone(), observed, now_ms)
                    >= lease.by.lease_ms
                {
                    let (token, renewals) = observed;
                    due.push(Event::Expire {
                        task: name.clone(),
                        token,
                        renewals,
                    });
                }
            }
        }
        for (name, task) in table.tasks() {
            for waiting in &task.waiting {
                let key = (name.clone(), waiting.by.name.clone());
                if unchanged_for_ms(
                    &mut self.waiting,
                    key,
                    (waiting.by.incarnation, waiting.asks),
                    now_ms,
                ) >= waiting.by.lease_ms
                {
                    due.push(Event::Forget {
                        task: name.clone(),
                        name: waiting.by.name.clone(),
                        asks: waiting.asks,
                    });
                }
            }
        }
        due.truncate(max_events);
        due
    }
}

/// How long `observed` has been unchanged, in milliseconds.
fn unchanged_for_ms<K: Ord>(
    observations: &mut BTreeMap<K, (u64, u64, u64)>,
    key: K,
    observed: (u64, u64),
    now_ms: u64,
) -> u64 {
    let entry = observations
        .entry(key)
        .or_insert((observed.0, observed.1, now_ms));
    if (entry.0, entry.1) != observed {
        *entry = (observed.0, observed.1, now_ms);
    }
    now_ms.saturating_sub(entry.2)
}
