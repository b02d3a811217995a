//! What is learnt of the fleet as a whole. Changes with what is remembered beyond one endpoint or request.

use crate::api::*;
use std::collections::BTreeMap;

/// Answers at the usual pace that are counted in with those seen.
const USUAL_ANSWERS: f64 = 2.0;

/// The pace of some endpoints: the time that attempts took by answer, as is usual where some are cut off.
pub struct Group {
    /// Time that attempts took, in usual times, and answers.
    time: Fading,
    answers: Fading,
    /// What attempts in flight have taken so far, and how many times slower than usual all are.
    pub out: f64,
    pub pace: f64,
}

impl Default for Group {
    fn default() -> Self {
        Self {
            time: Fading::default(),
            answers: Fading::default(),
            out: 0.0,
            pace: 1.0,
        }
    }
}

impl Group {
    /// Counts an attempt that took this many usual times, with an answer or without.
    pub fn add(&mut self, now: Micros, time: f64, answered: bool, window: Micros) {
        self.time.add(now, time, window);
        self.answers.add(now, f64::from(answered), window);
    }

    /// Brings the pace up to date, with what is out counted anew until the next time.
    pub fn reckon(&mut self, now: Micros, window: Micros) {
        let [time, answers] = [&self.time, &self.answers].map(|sum| sum.now(now, window));
        self.pace =
            (USUAL_ANSWERS + time + std::mem::take(&mut self.out)) / (USUAL_ANSWERS + answers);
    }
}

/// What is learnt of the fleet and of this sidecar's own traffic.
#[derive(Default)]
pub struct Fleet {
    /// The endpoints in an order of this sidecar's own.
    pub ring: Vec<EndpointId>,
    pub subscribed: bool,
    /// Some request with a key came while keys have an affinity.
    pub keyed: bool,
    /// Further attempts that the budget still allows.
    pub retries: f64,
    pub trials: f64,
    pub ask_failures: u32,
    pub class_work: Vec<f64>,
    pub mean_work: f64,
    /// Mean part of its aim that a request's work is.
    pub aim_use: f64,
    pub slow: f64,
    /// Slowness of each kind of endpoint, and when it was last seen.
    pub kinds: BTreeMap<Option<KindId>, (f64, Micros)>,
    /// The pace of all endpoints against that in calm.
    pub crowd: Group,
    /// The pace of each group of endpoints.
    pub groups: BTreeMap<u64, Group>,
    /// Slowness with no crowding, and answers seen.
    pub answers: f64,
    pub bare: f64,
    /// Work served, and requests of each tenant.
    pub served: Fading,
    /// Requests sent that are over, and those of them answered in time.
    pub tried: Fading,
    pub good: Fading,
    /// First tries that came.
    pub asked: Fading,
    pub tenants: Vec<Fading>,
}

/// A sum whose older parts fade.
#[derive(Clone, Copy, Default)]
pub struct Fading {
    pub total: f64,
    at: Micros,
    since: Option<Micros>,
}

impl Fading {
    /// Adds to the sum; what is `window` old has faded to about a third.
    pub fn add(&mut self, now: Micros, amount: f64, window: Micros) {
        self.total = self.now(now, window) + amount;
        self.at = now;
        self.since.get_or_insert(now);
    }

    /// The sum as it has faded by now.
    pub fn now(&self, now: Micros, window: Micros) -> f64 {
        self.total * left_of(now, self.at, window)
    }

    /// What was added a microsecond, of late; one that has just begun counts as an eighth of the window old.
    pub fn rate(&self, now: Micros, window: Micros) -> f64 {
        let faded = 1.0 - left_of(now, self.since.unwrap_or(now), window);
        self.now(now, window) / (window.max(1) as f64 * faded.max(0.125))
    }
}

/// Part that is left now of what was seen `then`; after `window` about a third.
pub fn left_of(now: Micros, then: Micros, window: Micros) -> f64 {
    (-(now.saturating_sub(then).max(0) as f64) / window.max(1) as f64).exp()
}
