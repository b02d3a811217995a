//! How much work requests are, in microseconds on a standard server without load.

use super::time::MAX_DURATION;
use crate::api::*;

/// Work of a class before any is seen, as a part of its latency objective.
const INITIAL_PART_OF_OBJECTIVE: f64 = 1.0 / 8.0;
/// Weight of the newest request in the mean over all.
const NEWEST_REQUEST: f64 = 0.02;
/// Weight of the newest answer in the work of its class.
const NEWEST_ANSWER: f64 = 0.002;

/// Expected work by class, and what it comes to on the whole.
pub struct WorkEstimate {
    classes: Vec<f64>,
    mean: f64,
    objective_use: f64,
}

impl WorkEstimate {
    /// Before anything is seen.
    pub fn new(classes: &[Class]) -> Self {
        let initial = |class: &Class| class.latency_objective as f64 * INITIAL_PART_OF_OBJECTIVE;
        let classes: Vec<f64> = classes.iter().map(initial).collect();
        let mean = classes.iter().sum::<f64>() / classes.len().max(1) as f64;
        Self {
            classes,
            mean,
            objective_use: INITIAL_PART_OF_OBJECTIVE,
        }
    }

    /// Mean work of a request.
    pub fn mean(&self) -> f64 {
        self.mean
    }

    /// Mean part of its latency objective that a request's work is.
    pub fn objective_use(&self) -> f64 {
        self.objective_use
    }

    /// Work of a request by its own hint, or as is usual in its class.
    pub fn of_request(&self, class: ClassId, hint: Option<Micros>) -> f64 {
        let bounded = |work: Micros| work.clamp(1, MAX_DURATION) as f64;
        hint.map_or(self.classes[class], bounded)
    }

    /// Takes in a request. Returns the work to expect of its attempts: half of what a request waits
    /// for is others' work, or any endpoint would look slow to tiny requests.
    pub fn record_request(&mut self, own: f64, objective: f64) -> f64 {
        self.mean += NEWEST_REQUEST * (own - self.mean);
        let expected = (own + self.mean) / 2.0;
        self.objective_use += NEWEST_REQUEST * (expected / objective - self.objective_use);
        expected
    }

    /// Takes in an answer: the work that it shows, at most its class's latency objective.
    pub fn record_answer(&mut self, class: ClassId, shown: f64, objective: Micros) {
        let work = &mut self.classes[class];
        *work += NEWEST_ANSWER * (shown.min(objective as f64) - *work);
    }
}
