//! Admission: what is learnt of a new request, and whether it is rejected at once.

use super::event_log::GiveUpReason;
use super::load_shedder;
use super::request::Request;
use super::time::MAX_DURATION;
use super::timers::Wake;
use crate::api::*;

/// Steps of the clock that a final answer is due before the request's deadline.
const ANSWER_AHEAD_IN_CLOCK_STEPS: Micros = 2;

impl super::Balancer {
    /// Takes a new request in, and dispatches it unless load is shed.
    pub(super) fn admit(&mut self, now: Timestamp, new: NewRequest, out: &mut Vec<Action>) {
        let known = self.requests.contains_key(&new.id);
        if known || new.class >= self.settings.classes.len() {
            return;
        }
        self.subset.record_request(now, new.is_retry);
        self.trial_budget.deposit();
        self.retry_budget.deposit();
        let id = new.id;
        let request = self.open_request(now, new);
        let shed = load_shedder::sheds(self.load.ratio(), request.low_priority, &mut self.rng);
        self.affinity.record_request(request.key.is_some());
        self.timers.set(request.deadline, Wake::Deadline(id));
        self.requests.insert(id, request);
        if shed {
            self.give_up(now, id, GiveUpReason::Shed, out);
        } else {
            self.dispatch(now, id, out);
        }
    }

    fn open_request(&mut self, now: Timestamp, new: NewRequest) -> Request {
        let work = self.work.of_request(new.class, new.work);
        let objective = self.settings.classes[new.class].objective_for(work);
        let expected_work = self.work.record_request(work, objective);
        // A retry, which has spent part of its client's time already, waits behind first attempts.
        let low_priority = self.quotas.record(now, new.tenant) || new.is_retry;
        let margin = ANSWER_AHEAD_IN_CLOCK_STEPS * self.settings.clock_granularity;
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
