//! What the outcome of an attempt updates, and in which order.

use super::Balancer;
use super::concurrency::Concurrency;
use super::decayed_sum::part_left;
use super::endpoint::InFlight;
use super::time::MAX_DURATION;
use crate::api::*;

impl Balancer {
    /// Learns from an attempt that ended at the process it was sent to: latency and limits from its
    /// time, health from its outcome.
    pub(super) fn learn(
        &mut self,
        now: Timestamp,
        end: AttemptEnd,
        attempt: &InFlight,
        out: &mut Vec<Action>,
    ) {
        if matches!(end.outcome, Outcome::Cancelled | Outcome::NotSent) {
            return;
        }
        // A stream lasts as long as it has something to say: that tells nothing of latency.
        if !attempt.streaming {
            self.learn_latency(now, &end, attempt);
        }
        self.peer_health.report(end.endpoint, end.outcome, out);
        self.learn_health(now, &end, out);
    }

    fn learn_latency(&mut self, now: Timestamp, end: &AttemptEnd, attempt: &InFlight) {
        let took = end.took.clamp(1, MAX_DURATION) as f64;
        match end.outcome {
            Outcome::Ok => self.learn_from_answer(now, end.endpoint, attempt, took),
            Outcome::TimedOut => {
                let endpoint = &self.endpoints[end.endpoint];
                let sample = self.latency.sample(took, attempt.work);
                self.latency.record_timeout(now, endpoint, sample);
            }
            _ => {}
        }
    }

    /// Takes an answer into latency, load, work and the endpoint's limit. Each is measured against
    /// the others as they were before this answer, but for the work, whose measure is the fleet's
    /// latency with it.
    fn learn_from_answer(&mut self, now: Timestamp, id: EndpointId, attempt: &InFlight, took: f64) {
        let objective_use = self.work.objective_use();
        let unloaded = self.latency.unloaded(objective_use);
        let target = self.latency.target(objective_use);
        let limits_press = Concurrency::of(&self.endpoints).presses();
        let before = self.latency.of_endpoint(now, &self.endpoints[id]);
        let sample = self.latency.sample(took, attempt.work);

        let endpoint = &mut self.endpoints[id];
        let slowdown = self.latency.record_answer(now, endpoint, before, sample);
        let load_ratio = slowdown * self.latency.fleet() / unloaded;
        self.load.record_answer(now, load_ratio);
        self.latency.record_fleet_answer(sample);

        let objective = self.settings.classes[attempt.class].latency_objective;
        let shown_work = took / self.latency.fleet();
        self.work
            .record_answer(attempt.class, shown_work, objective);
        self.slow_start.record_served(now, attempt.work);
        endpoint.bulkhead.adapt(
            endpoint.latency.per_work,
            target,
            limits_press,
            self.initial_limit,
        );
    }

    /// Takes an outcome into the endpoint's circuit.
    fn learn_health(&mut self, now: Timestamp, end: &AttemptEnd, out: &mut Vec<Action>) {
        let failed = end.outcome != Outcome::Ok;
        let endpoint = &mut self.endpoints[end.endpoint];
        let freshness = 1.0 - part_left(now, endpoint.last_heard, self.memory);
        endpoint.last_heard = now;
        let circuit = &mut endpoint.circuit;
        circuit.record_outcome(failed, freshness);
        if !failed && !circuit.is_closed() {
            return self.close_circuit(now, end.endpoint, out);
        }
        circuit.record_connect(end.outcome == Outcome::ConnectFailed);
        if failed && circuit.should_open() {
            self.open_circuit(now, end.endpoint, out);
        }
    }
}
