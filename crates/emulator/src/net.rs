//! The state of the network between zones, and the clock of a run.

use crate::Us;
use crate::experiment::{Network, Way};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::sync::watch;
use tokio::time::{Duration, Instant, sleep_until};

/// The time since the start of a run; 0 before that.
#[derive(Clone, Debug)]
pub struct Clock(Arc<watch::Sender<Option<(Instant, u64)>>>);

impl Default for Clock {
    fn default() -> Self {
        Self(Arc::new(watch::channel(None).0))
    }
}

impl Clock {
    /// Starts the run now.
    pub fn begin(&self) {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let began = (Instant::now(), u64::try_from(unix.as_millis()).unwrap_or(0));
        self.0.send_replace(Some(began));
    }

    /// Microseconds since the start.
    pub fn now(&self) -> Us {
        self.0.borrow().map_or(0, |(start, _)| {
            Us::try_from(start.elapsed().as_micros()).unwrap_or(Us::MAX)
        })
    }

    /// Unix time of the start in milliseconds; 0 before that.
    pub fn began_ms(&self) -> u64 {
        self.0.borrow().map_or(0, |(_, unix)| unix)
    }

    /// Waits for the start, and then until that long after it.
    pub async fn until(&self, at: Us) {
        let began = self
            .0
            .subscribe()
            .wait_for(Option::is_some)
            .await
            .ok()
            .and_then(|began| *began);
        match began {
            // Beyond the range of timers.
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
    partitions: Vec<(usize, Way)>,
    extra_delay: Us,
    reset_share: f64,
}

/// The network: reachability and delay between zones.
#[derive(Clone, Debug)]
pub struct Net {
    base: Arc<Network>,
    faults: Arc<Mutex<Faults>>,
    changes: Arc<watch::Sender<u64>>,
}

impl Net {
    /// A network without faults.
    pub fn new(base: &Network) -> Self {
        let changes = Arc::new(watch::channel(0).0);
        Self {
            base: Arc::new(base.clone()),
            faults: Arc::default(),
            changes,
        }
    }

    fn with<T>(&self, operation: impl FnOnce(&mut Faults) -> T) -> T {
        operation(&mut self.faults.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn notify_change(&self) {
        self.changes.send_modify(|epoch| *epoch += 1);
    }

    /// Partitions a zone from the others, or heals the partition.
    pub fn set_partition(&self, zone: usize, way: Way, active: bool) {
        self.with(|faults| {
            faults.partitions.retain(|cut| *cut != (zone, way));
            if active {
                faults.partitions.push((zone, way));
            }
        });
        self.notify_change();
    }

    /// Sets the additional delay.
    pub fn set_extra_delay(&self, extra_delay: Us) {
        self.with(|faults| faults.extra_delay = extra_delay);
    }

    /// Sets the share of segments that reset their connection.
    pub fn set_reset_share(&self, share: f64) {
        self.with(|faults| faults.reset_share = share);
    }

    /// Notifies of each change of a partition.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Whether one zone can reach another.
    pub fn is_reachable(&self, from: usize, to: usize) -> bool {
        self.with(|faults| {
            !faults.partitions.iter().any(|(zone, way)| {
                let (out, into) = (*zone == from && *zone != to, *zone == to && *zone != from);
                (out && *way != Way::In) || (into && *way != Way::Out)
            })
        })
    }

    /// The delay of a segment or datagram.
    pub fn delay(&self, from: usize, to: usize) -> Us {
        let base_network = &self.base;
        let base = if from == to {
            base_network.inside
        } else {
            base_network.between
        };
        let jitter = Us::try_from(base_network.jitter.0.as_micros()).unwrap_or(0);
        let base = Us::try_from(base.0.as_micros()).unwrap_or(0);
        base + fastrand::u64(0..=jitter) + self.with(|faults| faults.extra_delay)
    }

    /// Whether a segment resets its connection, at random.
    pub fn draw_reset(&self) -> bool {
        let share = self.with(|faults| faults.reset_share);
        share > 0.0 && fastrand::f64() < share
    }
}

#[cfg(test)]
mod tests;
