//! The state of the network between zones, and the clock of a run.

use crate::Us;
use crate::experiment::{Network, Way};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::sync::watch;
use tokio::time::{Duration, Instant, sleep_until};

/// Time since a run began; 0 until it has.
#[derive(Clone, Debug)]
pub struct Clock(Arc<watch::Sender<Option<(Instant, u64)>>>);

impl Default for Clock {
    fn default() -> Self {
        Self(Arc::new(watch::channel(None).0))
    }
}

impl Clock {
    /// The run begins now.
    pub fn begin(&self) {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let began = (Instant::now(), u64::try_from(unix.as_millis()).unwrap_or(0));
        self.0.send_replace(Some(began));
    }

    /// Microseconds since it began.
    pub fn now(&self) -> Us {
        self.0.borrow().map_or(0, |(start, _)| {
            Us::try_from(start.elapsed().as_micros()).unwrap_or(Us::MAX)
        })
    }

    /// Unix time in milliseconds at which it began; 0 until it has.
    pub fn began_ms(&self) -> u64 {
        self.0.borrow().map_or(0, |(_, unix)| unix)
    }

    /// Waits for its beginning, and then until so long after that.
    pub async fn until(&self, at: Us) {
        let began = self
            .0
            .subscribe()
            .wait_for(Option::is_some)
            .await
            .ok()
            .and_then(|began| *began);
        match began {
            // Further than the timer's reach is never.
            Some((start, _)) => match start.checked_add(Duration::from_micros(at)) {
                Some(at) => sleep_until(at).await,
                None => std::future::pending().await,
            },
            None => std::future::pending().await,
        }
    }
}

#[derive(Debug, Default)]
struct Faults {
    cuts: Vec<(usize, Way)>,
    slow: Us,
    resets: f64,
}

/// The network: what passes between two zones, and how late.
#[derive(Clone, Debug)]
pub struct Net {
    calm: Arc<Network>,
    faults: Arc<Mutex<Faults>>,
    changes: Arc<watch::Sender<u64>>,
}

impl Net {
    /// With nothing wrong.
    pub fn new(calm: &Network) -> Self {
        let changes = Arc::new(watch::channel(0).0);
        Self {
            calm: Arc::new(calm.clone()),
            faults: Arc::default(),
            changes,
        }
    }

    fn with<T>(&self, what: impl FnOnce(&mut Faults) -> T) -> T {
        what(&mut self.faults.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn changed(&self) {
        self.changes.send_modify(|epoch| *epoch += 1);
    }

    /// Cuts a zone off from the others, or heals that.
    pub fn cut(&self, zone: usize, way: Way, on: bool) {
        self.with(|faults| {
            faults.cuts.retain(|cut| *cut != (zone, way));
            if on {
                faults.cuts.push((zone, way));
            }
        });
        self.changed();
    }

    /// Everything takes so much longer.
    pub fn slow(&self, more: Us) {
        self.with(|faults| faults.slow = more);
    }

    /// So many fragments break their connection.
    pub fn resets(&self, share: f64) {
        self.with(|faults| faults.resets = share);
    }

    /// Told of each cut and each healing.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Whether anything passes that way.
    pub fn passes(&self, from: usize, to: usize) -> bool {
        self.with(|faults| {
            !faults.cuts.iter().any(|(zone, way)| {
                let (out, into) = (*zone == from && *zone != to, *zone == to && *zone != from);
                (out && *way != Way::In) || (into && *way != Way::Out)
            })
        })
    }

    /// How long a fragment takes that way.
    pub fn delay(&self, from: usize, to: usize) -> Us {
        let calm = &self.calm;
        let base = if from == to {
            calm.inside
        } else {
            calm.between
        };
        let jitter = Us::try_from(calm.jitter.0.as_micros()).unwrap_or(0);
        let base = Us::try_from(base.0.as_micros()).unwrap_or(0);
        base + fastrand::u64(0..=jitter) + self.with(|faults| faults.slow)
    }

    /// Whether a fragment breaks its connection.
    pub fn breaks(&self) -> bool {
        let share = self.with(|faults| faults.resets);
        share > 0.0 && fastrand::f64() < share
    }
}

#[cfg(test)]
mod tests;
