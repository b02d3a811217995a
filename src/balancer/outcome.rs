//! Which estimates the outcome of an attempt updates, and in which order.

use super::Balancer;
use super::concurrency::Concurrency;
use super::decayed_sum::decay_factor;
use super::endpoint::InFlight;
use super::time::MAX_DURATION;
use crate::api::*;

impl Balancer {
    /// Updates the estimates with an attempt that ended at the process it was sent to: latency and
    /// limits with its duration, health with its outcome.
    pub(super) fn record_outcome(
        &mut self,
        now: Timestamp,
        end: AttemptEnd,
        attempt: &InFlight,
        out: &mut Vec<Action>,
    ) {
        if matches!(end.outcome, Outcome::Cancelled | Outcome::NotSent) {
            return;
        }
        // A stream lasts as long as it has data, which says nothing about latency.
        if !attempt.streaming {
            self.record_latency(now, &end, attempt);
        }
        self.peer_health.report(end.endpoint, end.outcome, out);
        self.record_health(now, &end, out);
    }

    fn record_latency(&mut self, now: Timestamp, end: &AttemptEnd, attempt: &InFlight) {
        let elapsed = end.elapsed.clamp(1, MAX_DURATION) as f64;
        match end.outcome {
            Outcome::Ok => self.record_answer(now, end.endpoint, attempt, elapsed),
            Outcome::TimedOut => {
                let endpoint = &self.endpoints[end.endpoint];
                let sample = self.latency_estimator.sample(elapsed, attempt.work);
                self.latency_estimator.record_timeout(now, endpoint, sample);
            }
            _ => {}
        }
    }

    /// Updates latency, load, work and the endpoint's limit with an answer. Each is computed from
    /// the others as they were before this answer, except for the work, which is measured in the
    /// updated latency of the fleet.
    fn record_answer(&mut self, now: Timestamp, id: EndpointId, attempt: &InFlight, elapsed: f64) {
        let objective_use = self.work_estimate.objective_use();
        let unloaded = self.latency_estimator.unloaded(objective_use);
        let target = self.latency_estimator.target(objective_use);
        let limits_in_use = Concurrency::of(&self.endpoints).limits_in_use();
        let previous = self
            .latency_estimator
            .for_endpoint(now, &self.endpoints[id]);
        let sample = self.latency_estimator.sample(elapsed, attempt.work);

        let endpoint = &mut self.endpoints[id];
        let slowdown = self
            .latency_estimator
            .record_answer(now, endpoint, previous, sample);
        let load_ratio = slowdown * self.latency_estimator.fleet() / unloaded;
        self.load_estimate.record_answer(now, load_ratio);
        self.latency_estimator.record_fleet_answer(sample);

        let objective = self.settings.classes[attempt.class].latency_objective;
        let implied_work = elapsed / self.latency_estimator.fleet();
        self.work_estimate
            .record_answer(attempt.class, implied_work, objective);
        self.slow_start.record_served(now, attempt.work);
        endpoint.bulkhead.adapt(
            endpoint.latency.per_work,
            target,
            limits_in_use,
            self.initial_limit,
        );
    }

    /// Updates the endpoint's circuit with an outcome.
    fn record_health(&mut self, now: Timestamp, end: &AttemptEnd, out: &mut Vec<Action>) {
        let failed = end.outcome != Outcome::Ok;
        let endpoint = &mut self.endpoints[end.endpoint];
        let decayed_fraction =
            1.0 - decay_factor(now, endpoint.last_outcome_at, self.time_constant);
        endpoint.last_outcome_at = now;
        let circuit = &mut endpoint.circuit;
        circuit.record_outcome(failed, decayed_fraction);
        if !failed && !circuit.is_closed() {
            return self.close_circuit(now, end.endpoint, out);
        }
        circuit.record_connect(end.outcome == Outcome::ConnectFailed);
        if failed && circuit.should_open() {
            self.open_circuit(now, end.endpoint, out);
        }
    }
}
