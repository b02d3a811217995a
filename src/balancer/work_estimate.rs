//! Expected work of requests, in microseconds on a standard server without load.

use super::time::MAX_DURATION;
use crate::api::*;

/// Work of a class without observations, as a fraction of its latency objective.
const INITIAL_FRACTION_OF_OBJECTIVE: f64 = 1.0 / 8.0;
/// Weight of the newest request in the mean over all requests.
const REQUEST_SAMPLE_WEIGHT: f64 = 0.02;
/// Weight of the newest answer in the work of its class.
const ANSWER_SAMPLE_WEIGHT: f64 = 0.002;

/// Expected work of each class, and the mean over all requests.
pub struct WorkEstimate {
    classes: Vec<f64>,
    mean: f64,
    objective_use: f64,
}

impl WorkEstimate {
    /// Creates an estimate without observations.
    pub fn new(classes: &[Class]) -> Self {
        let initial =
            |class: &Class| class.latency_objective as f64 * INITIAL_FRACTION_OF_OBJECTIVE;
        let classes: Vec<f64> = classes.iter().map(initial).collect();
        let mean = classes.iter().sum::<f64>() / classes.len().max(1) as f64;
        Self {
            classes,
            mean,
            objective_use: INITIAL_FRACTION_OF_OBJECTIVE,
        }
    }

    /// Returns the mean work of a request.
    pub fn mean(&self) -> f64 {
        self.mean
    }

    /// Returns the mean work of a request as a fraction of its latency objective.
    pub fn objective_use(&self) -> f64 {
        self.objective_use
    }

    /// Returns the work of a request: its own hint, or the estimate of its class.
    pub fn for_request(&self, class: ClassId, hint: Option<Micros>) -> f64 {
        let bounded = |work: Micros| work.clamp(1, MAX_DURATION) as f64;
        hint.map_or(self.classes[class], bounded)
    }

    /// Records a request and returns the work to expect of its attempts. Half of it is the mean of
    /// all requests, because a request also waits for others; otherwise every endpoint would look
    /// slow to tiny requests.
    pub fn record_request(&mut self, work: f64, objective: f64) -> f64 {
        self.mean += REQUEST_SAMPLE_WEIGHT * (work - self.mean);
        let expected = (work + self.mean) / 2.0;
        self.objective_use += REQUEST_SAMPLE_WEIGHT * (expected / objective - self.objective_use);
        expected
    }

    /// Updates the work of a class with the work that an answer implies, bounded by the latency
    /// objective of the class.
    pub fn record_answer(&mut self, class: ClassId, observed: f64, objective: Micros) {
        let work = &mut self.classes[class];
        *work += ANSWER_SAMPLE_WEIGHT * (observed.min(objective as f64) - *work);
    }
}
