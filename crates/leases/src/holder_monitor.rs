//! The leader's failure detector of lease holders.

use crate::event::Event;
use crate::machine::LeaseTable;
use std::collections::BTreeMap;

/// What a leader keeps in mind of when it saw whom, by its own monotonic clock. It is made at the
/// start of each leadership and dropped at its end: nobody is held for gone who was not silent for
/// a whole lease before this leader's own eyes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct HolderMonitor {
    /// Holders by task: token, renewals, since when those stand.
    held: BTreeMap<String, (u64, u64, u64)>,
    /// Those who wait, by task and name: incarnation, asks, since when those stand.
    waiting: BTreeMap<(String, String), (u64, u64, u64)>,
}

impl HolderMonitor {
    /// Events that the leader should propose, of which each says itself what it rests on: the order
    /// in which events are agreed on decides whether it still holds. At most `most` of them,
    /// holders first.
    pub fn due(&mut self, now_ms: u64, tasks: &LeaseTable, most: usize) -> Vec<Event> {
        let mut due = Vec::new();
        self.held.retain(|name, _| {
            tasks
                .tasks()
                .get(name)
                .is_some_and(|task| task.held.is_some())
        });
        self.waiting.retain(|(name, who), _| {
            tasks
                .tasks()
                .get(name)
                .is_some_and(|task| task.waiting.iter().any(|w| &w.by.name == who))
        });
        for (name, task) in tasks.tasks() {
            if let Some(held) = &task.held {
                let seen = (held.token, held.renewals);
                if silent(&mut self.held, name.clone(), seen, now_ms) >= held.by.lease_ms {
                    let (token, renewals) = seen;
                    due.push(Event::Expire {
                        task: name.clone(),
                        token,
                        renewals,
                    });
                }
            }
        }
        for (name, task) in tasks.tasks() {
            for w in &task.waiting {
                let key = (name.clone(), w.by.name.clone());
                if silent(&mut self.waiting, key, (w.by.incarnation, w.asks), now_ms)
                    >= w.by.lease_ms
                {
                    due.push(Event::Forget {
                        task: name.clone(),
                        name: w.by.name.clone(),
                        asks: w.asks,
                    });
                }
            }
        }
        due.truncate(most);
        due
    }
}

/// For how long `seen` has stood.
fn silent<K: Ord>(
    all: &mut BTreeMap<K, (u64, u64, u64)>,
    key: K,
    seen: (u64, u64),
    now_ms: u64,
) -> u64 {
    let entry = all.entry(key).or_insert((seen.0, seen.1, now_ms));
    if (entry.0, entry.1) != seen {
        *entry = (seen.0, seen.1, now_ms);
    }
    now_ms.saturating_sub(entry.2)
}
