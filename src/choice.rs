//! The way of a request through every decision of the balancer (drawn in docs/architecture.md). Changes with
//! that way alone; each concept it calls on is a file beside it. The interface is `api.rs`.

mod breaker;
mod bulwark;
mod cold;
mod endings;
mod hearsay;
mod list;
mod outcomes;
mod pace;
mod retries;
mod rules;
mod shedding;
mod turns;

use crate::state::*;
use breaker::TRIALS;
use outcomes::NEWEST_FLEET;
use retries::RETRIES;
use turns::ROUNDS_COUNTED;

/// Work of a class before any is seen, as a part of its aim.
const FIRST_WORK: f64 = 1.0 / 8.0;
/// Time in which what is learnt fades, in longest aims: a site with short aims has short troubles too.
const MEMORY: Micros = 4;

impl Balancer {
    /// A fresh instance; fails on settings under which no request could be decided.
    pub fn new(set: Settings, seed: u64) -> Result<Self, SettingsError> {
        set.check()?;
        // Before anything is seen: each class's work is a part of its aim, on standard servers in calm.
        let class_work: Vec<_> = set
            .classes
            .iter()
            .map(|c| c.aim as f64 * FIRST_WORK)
            .collect();
        let mean_work = class_work.iter().sum::<f64>() / class_work.len().max(1) as f64;
        let tenants = vec![Fading::default(); set.tenants.len()];
        let mut fleet = Fleet {
            mean_work,
            class_work,
            tenants,
            retries: RETRIES.1,
            ..Fleet::default()
        };
        (fleet.trials, fleet.slow, fleet.bare, fleet.aim_use) = (1.0, 1.0, 1.0, FIRST_WORK);
        let (endpoints, requests, queue, timers, log, sharing) = Default::default();
        let (rng, memory) = (
            fastrand::Rng::with_seed(seed),
            MEMORY * set.longest_aim().min(HOUR),
        );
        Ok(Self {
            set,
            memory,
            rng,
            endpoints,
            requests,
            queue,
            timers,
            fleet,
            log,
            sharing,
        })
    }

    /// Takes one event that happens at `now` and appends what is to be done.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        let now = now.clamp(-FAR, FAR);
        let asks = self.set.discovery == Discovery::OnRequest;
        if asks && !std::mem::replace(&mut self.fleet.subscribed, true) {
            out.push(Action::Subscribe(true));
        }
        self.keep_words(now, out);
        self.pace_groups(now);
        match event {
            Event::Words(words) => self.heed(now, words, out),
            Event::Recalled(known) => self.recall(now, known),
            Event::Endpoints(update) => self.listed(now, update),
            Event::Request(new) => self.admit(now, new, out),
            Event::StreamStarted { request, attempt } => self.streaming(request, attempt, out),
            Event::AttemptEnded(end) => self.ended(now, end, out),
            Event::Abandoned(id) => self.forget(now, id, 0.0, out),
            Event::Timer(token) => self.wake(now, token, out),
            Event::ProbeEnded { .. } | Event::PeerMessage { .. } => {}
        }
        self.serve_queue(now, out);
        self.timers.arm(now, out);
    }

    fn admit(&mut self, now: Micros, new: NewRequest, out: &mut Vec<Action>) {
        if self.requests.contains_key(&new.id) || new.class >= self.set.classes.len() {
            return;
        }
        let class = &self.set.classes[new.class];
        let own = new.work.map_or(self.fleet.class_work[new.class], |w| {
            w.clamp(1, HOUR) as f64
        });
        let aim =
            (class.aim as f64 + class.aim_stretch * own).min(class.deadline.max(class.aim) as f64);
        // A refused client's repeats are no new traffic: they would lead on to ever more of the fleet.
        self.fleet.asked.add(
            now,
            f64::from(!new.repeat),
            (self.round() * ROUNDS_COUNTED) as Micros,
        );
        self.fleet.trials = (self.fleet.trials + TRIALS).min(1.0);
        self.fleet.retries = (self.fleet.retries + RETRIES.0).min(RETRIES.1);
        // Half of what a request waits for is others' work: else any server looks slow to tiny requests.
        self.fleet.mean_work += NEWEST_FLEET * (own - self.fleet.mean_work);
        let work = (own + self.fleet.mean_work) / 2.0;
        self.fleet.aim_use += NEWEST_FLEET * (work / aim - self.fleet.aim_use);
        // A repeat, which has spent part of its client's aim already, waits behind first tries.
        let over_share = self.over_share(now, new.tenant) || new.repeat;
        let shed = self.sheds(over_share);
        self.fleet.keyed |= new.key.is_some() && self.sharing.ahead > 0.0;
        let request = Request {
            class: new.class,
            aim,
            arrived: now,
            key: new.key,
            bound: new.bound,
            due: new.due.clamp(now, now + HOUR) - 2 * self.set.tick,
            work,
            over_share,
            ..Request::default()
        };
        self.timers.at(request.due, Wake::Due(new.id));
        self.requests.insert(new.id, request);
        if shed {
            self.finish(now, new.id, GaveUp::Shed, out)
        } else {
            self.place(now, new.id, out)
        }
    }

    /// Sends the request where its turn falls, lets it wait while all are capped, or counts a failed try.
    pub(crate) fn place(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        match self.choose(now, request) {
            Choice::At(endpoint) => self.send(now, id, endpoint, out),
            Choice::AllOpen => self.again(now, id, out),
            Choice::Capped => self.wait_for_room(now, id),
        }
    }

    /// The only way out for an attempt; what the rules forbid does not pass.
    fn send(&mut self, now: Micros, id: RequestId, endpoint: EndpointId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if !self.may_send(now, request, endpoint) {
            return;
        }
        let timeout = self.timeout(now, request, endpoint);
        let credit = self.cold_credit(now, &self.endpoints[endpoint]);
        let write_by = now.saturating_add(timeout).min(self.repeat_by(request));
        self.turn_to(now, endpoint);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let (e, attempt) = (
            &mut self.endpoints[endpoint],
            request.attempts.len() as AttemptNo,
        );
        let (class, work, started) = (request.class, request.work, e.started);
        e.flights.push(Flight {
            request: id,
            attempt,
            class,
            work,
            sent: now,
            started,
            ..Flight::default()
        });
        (e.last_sent, e.cold_at, e.cold_credit) = (now, now, credit - work);
        self.fleet.retries -= f64::from(attempt > 0);
        self.fleet.trials -= f64::from(e.gate() != Circuit::Closed);
        self.queue.remove(&request.place(id));
        let (zone, cell) = (e.zone, e.cell);
        request.attempts.push(Attempt {
            endpoint,
            zone,
            cell,
            sent: now,
            live: true,
            may_have_run: true,
        });
        request.state = State::Sent;
        out.push(Action::Send {
            request: id,
            endpoint,
            timeout,
            write_by,
        });
    }
}
