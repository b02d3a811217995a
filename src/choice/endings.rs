//! How attempts and requests end: what an outcome leads to, the final answers, and what is forgotten then. Changes
//! with how a request ends.

use crate::state::*;

/// Part of the aim that a refused client should stay away for.
const HOLD_OFF: f64 = 0.25;

impl Balancer {
    pub(crate) fn ended(&mut self, now: Micros, end: AttemptEnd, out: &mut Vec<Action>) {
        let id = end.request;
        let Some(Endpoint { flights, .. }) = self.endpoints.get_mut(end.endpoint) else {
            return;
        };
        let of_it = |f: &Flight| (f.request, f.attempt) == (id, end.attempt);
        let Some(flight) = flights
            .iter()
            .position(of_it)
            .map(|i| flights.swap_remove(i))
        else {
            return;
        };
        // What became of an attempt at a process that has been replaced says nothing of the new one.
        if self.endpoints[end.endpoint].started == flight.started {
            self.learn(now, end, &flight, out);
        }
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let ended = &mut request.attempts[end.attempt as usize];
        (ended.live, ended.may_have_run) = (false, !end.outcome.never_ran());
        if end.settled || end.outcome == Outcome::Ok {
            let good = end.outcome == Outcome::Ok && (now - request.arrived) as f64 <= request.aim;
            self.forget(now, id, f64::from(good), out);
        } else if request.state == State::Sent && request.live() == 0 {
            self.again(now, id, out);
        }
    }

    /// The only final answers: a refusal where repeating is provably harmless, else a failure.
    pub(crate) fn finish(
        &mut self,
        now: Micros,
        id: RequestId,
        why: GaveUp,
        out: &mut Vec<Action>,
    ) {
        self.log.gave_up(now, why, out);
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let effect = self.set.classes[request.class].effect;
        let clean = request.attempts.iter().all(|a| !a.may_have_run);
        if clean
            || matches!(
                effect,
                Effect::Safe
                    | Effect::Keyed {
                        scope: DedupScope::All,
                        ..
                    }
            )
        {
            // Its client is told when the circuits and queues that turned it away will have moved on.
            let most = if self.set.limits.retry_after {
                self.set.limits.max_retry_after
            } else {
                0
            };
            let hold_off = ((request.aim * HOLD_OFF) as Micros).min(most);
            out.push(Action::Refuse {
                request: id,
                hold_off,
            });
        } else {
            out.push(Action::Fail(id));
        }
        self.forget(now, id, 0.0, out);
    }

    /// Drops a request that is over, and calls back what is still out for it.
    pub(crate) fn forget(&mut self, now: Micros, id: RequestId, good: f64, out: &mut Vec<Action>) {
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        // What waited for a bulwark in vain is no sign that work sent comes to nothing.
        if !request.attempts.is_empty() {
            self.fleet.tried.add(now, 1.0, self.memory);
            self.fleet.good.add(now, good, self.memory);
        }
        self.queue.remove(&request.place(id));
        request.cancel_live(id, None, &self.set.limits, out);
    }

    /// The answer has begun: the attempt is the client's, no deadline runs, and other copies are called back.
    pub(crate) fn streaming(&mut self, id: RequestId, attempt: AttemptNo, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.state = State::Streaming;
        // How long it takes tells nothing from now on.
        let flights = self.endpoints.iter_mut().flat_map(|e| &mut e.flights);
        flights
            .filter(|f| (f.request, f.attempt) == (id, attempt))
            .for_each(|f| f.streaming = true);
        self.queue.remove(&request.place(id));
        request.cancel_live(id, Some(attempt), &self.set.limits, out);
    }

    pub(crate) fn wake(&mut self, now: Micros, token: u64, out: &mut Vec<Action>) {
        while let Some(wake) = self.timers.due(now, token) {
            let is =
                |id, holds: &dyn Fn(&Request) -> bool| self.requests.get(&id).is_some_and(holds);
            match wake {
                Wake::Due(id) | Wake::Expired(id) if is(id, &|r| r.over(now)) => {
                    self.finish(now, id, GaveUp::Waiting, out)
                }
                Wake::Retry(id) if is(id, &|r| r.state == State::Backoff) => {
                    self.place(now, id, out)
                }
                Wake::Discover => out.push(Action::Subscribe(true)),
                _ => {}
            }
        }
    }
}
