//! Admission: updates the estimates with a new request and decides whether it is rejected at once.

use super::event_log::GiveUpReason;
use super::load_shedder;
use super::request::Request;
use super::time::MAX_DURATION;
use super::timers::Wake;
use crate::api::*;

/// Clock steps before the request's deadline at which its final answer is due.
const ANSWER_MARGIN_IN_CLOCK_STEPS: Micros = 2;

impl super::Balancer {
    /// Admits a new request and dispatches it, or rejects it if load is shed.
    pub(super) fn admit(&mut self, now: Timestamp, new: NewRequest, out: &mut Vec<Action>) {
        let is_duplicate = self.requests.contains_key(&new.id);
        if is_duplicate || new.class >= self.settings.classes.len() {
            return;
        }
        self.subset.record_request(now, new.is_retry);
        self.trial_budget.deposit();
        self.retry_budget.deposit();
        let id = new.id;
        let request = self.open_request(now, new);
        let should_shed = load_shedder::should_shed(
            self.load_estimate.ratio(),
            request.low_priority,
            &mut self.rng,
        );
        self.affinity.record_request(request.key.is_some());
        self.timers.set(request.deadline, Wake::Deadline(id));
        self.requests.insert(id, request);
        if should_shed {
            self.give_up(now, id, GiveUpReason::Shed, out);
        } else {
            self.dispatch(now, id, out);
        }
    }

    fn open_request(&mut self, now: Timestamp, new: NewRequest) -> Request {
        let work = self.work_estimate.for_request(new.class, new.work);
        let objective = self.settings.classes[new.class].objective_for(work);
        let expected_work = self.work_estimate.record_request(work, objective);
        // A client's retry has already used part of its time, so it queues behind first attempts.
        let low_priority = self.quotas.record(now, new.tenant) || new.is_retry;
        let margin = ANSWER_MARGIN_IN_CLOCK_STEPS * self.settings.clock_granularity;
        Request {
            class: new.class,
            objective,
            arrived: now,
            key: new.key,
            affinity_endpoints: new.affinity_endpoints,
            deadline: new.deadline.clamp(now, now + MAX_DURATION) - margin,
            work: expected_work,
            low_priority,
            ..Request::default()
        }
    }
}
