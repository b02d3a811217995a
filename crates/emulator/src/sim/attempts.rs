//! Attempts in simulated time, from a sidecar to a server and back.

use super::event::{Came, What};
use super::instance::Out;
use super::{DIAL_TIMEOUT, IDLE, Sim};
use crate::Us;
use crate::record::Seen;
use crate::servers::{arrival_of, try_number};
use crate::site::{CLASSES, Repeat};
use crate::world::{Admission, Done, Job};
use load_balancer::{AttemptIndex, Micros, Outcome, RequestId};

impl Sim<'_> {
    pub(super) fn send(
        &mut self,
        instance: usize,
        request: RequestId,
        server: usize,
        timeout: Micros,
    ) {
        let (now, number) = (self.now, self.attempts);
        self.attempts += 1;
        let i = &mut self.instances[instance];
        let sidecar = i.sidecar;
        let sends = i.sends.entry(request).or_default();
        let attempt = *sends;
        *sends += 1;
        i.out.insert(
            (request, attempt),
            Out {
                server,
                sent: now,
                number,
            },
        );
        let idle = i.idle.entry(server).or_default();
        idle.retain(|since| now - since < IDLE);
        let dialled = idle.pop().is_none();
        self.at(
            now + timeout.max(1) as Us,
            What::TimeOut {
                instance,
                request,
                attempt,
            },
        );
        let (from, to) = (
            self.plan.sidecars[sidecar].zone,
            self.plan.servers[server].zone,
        );
        let opens = self.passes(from, to) && self.passes(to, from);
        if dialled && !opens {
            let outcome = Came::ConnectFailed;
            return self.at(
                now + DIAL_TIMEOUT,
                What::Back {
                    instance,
                    request,
                    attempt,
                    outcome,
                },
            );
        }
        let there_and_back = if dialled {
            self.delay(from, to) + self.delay(to, from)
        } else {
            0
        };
        if dialled && !self.world.up(server) {
            let outcome = Came::ConnectFailed;
            return self.at(
                now + there_and_back,
                What::Back {
                    instance,
                    request,
                    attempt,
                    outcome,
                },
            );
        }
        // What is written into a cut goes nowhere.
        if self.passes(from, to) {
            let arrives = now + there_and_back + self.delay(from, to);
            self.at(
                arrives,
                What::Reach {
                    instance,
                    request,
                    attempt,
                    dialled,
                },
            );
        }
    }

    pub(super) fn reach(
        &mut self,
        instance: usize,
        request: RequestId,
        attempt: AttemptIndex,
        dialled: bool,
    ) {
        let Some(out) = self.instances[instance].out.get(&(request, attempt)) else {
            // It was given up on the way.
            return;
        };
        let (server, number, sent) = (out.server, out.number, out.sent);
        let sidecar = self.instances[instance].sidecar;
        let arrival = &self.plan.arrivals[arrival_of(request)];
        if dialled {
            self.note(Seen::Handshake { sidecar, server });
        }
        if self.resets > 0.0 && self.rng.f64() < self.resets {
            return self.reply(instance, request, attempt, Came::Reset);
        }
        if !self.world.up(server) {
            return self.reply(instance, request, attempt, Came::Reset);
        }
        self.note(Seen::Attempt {
            number,
            request: Some(request),
            sidecar,
            server,
            began: sent,
        });
        let keyed = CLASSES[arrival.class].repeat == Repeat::Keyed;
        let once = keyed.then(|| try_number(arrival_of(request), 15));
        let (class, work, key) = (arrival.class, arrival.work, arrival.key);
        let job = Job {
            id: number,
            class,
            work,
            key,
            once,
            fresh: dialled,
        };
        let mut done = Vec::new();
        let admitted = self.world.submit(self.now, server, job, &mut done);
        self.served(done);
        match admitted {
            Admission::Taken => drop(self.held.insert(number, (instance, request, attempt))),
            Admission::Swallowed => self.note(Seen::AttemptSwallowed { number }),
            Admission::Repeated => {
                self.note(Seen::AttemptAnswered {
                    number,
                    status: 200,
                    unprocessed: false,
                });
                self.reply(instance, request, attempt, Came::Ok);
            }
            Admission::Refused => {
                self.note(Seen::AttemptAnswered {
                    number,
                    status: 503,
                    unprocessed: true,
                });
                self.reply(instance, request, attempt, Came::Rejected);
            }
        }
    }

    /// Sends back how an attempt ended, where anything passes that way.
    pub(super) fn reply(
        &mut self,
        instance: usize,
        request: RequestId,
        attempt: AttemptIndex,
        outcome: Came,
    ) {
        let Some(out) = self.instances[instance].out.get(&(request, attempt)) else {
            return;
        };
        let (from, to) = (
            self.plan.servers[out.server].zone,
            self.plan.sidecars[self.instances[instance].sidecar].zone,
        );
        if self.passes(from, to) {
            let at = self.now + self.delay(from, to);
            self.at(
                at,
                What::Back {
                    instance,
                    request,
                    attempt,
                    outcome,
                },
            );
        }
    }

    pub(super) fn served(&mut self, done: Vec<Done>) {
        for Done { job, served, .. } in done {
            let Some((instance, request, attempt)) = self.held.remove(&job) else {
                continue;
            };
            let (status, outcome) = if served {
                (200, Came::Ok)
            } else {
                (500, Came::Error)
            };
            self.note(Seen::AttemptAnswered {
                number: job,
                status,
                unprocessed: false,
            });
            self.reply(instance, request, attempt, outcome);
        }
    }

    pub(super) fn back(
        &mut self,
        instance: usize,
        request: RequestId,
        attempt: AttemptIndex,
        outcome: Came,
    ) {
        let Some(out) = self.instances[instance].out.remove(&(request, attempt)) else {
            return;
        };
        let outcome = match outcome {
            Came::Ok => Outcome::Ok,
            Came::Error => Outcome::Error,
            Came::Rejected => Outcome::Rejected,
            Came::ConnectFailed => Outcome::ConnectFailed,
            Came::Reset => Outcome::Reset,
        };
        if matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Rejected) {
            self.instances[instance]
                .idle
                .entry(out.server)
                .or_default()
                .push(self.now);
        }
        if outcome == Outcome::Ok {
            self.answer(request, 200, 0);
        }
        let end = self.end(request, attempt, &out, outcome);
        self.tell(instance, end);
    }

    pub(super) fn timed_out(&mut self, instance: usize, request: RequestId, attempt: AttemptIndex) {
        if let Some(out) = self.instances[instance].out.remove(&(request, attempt)) {
            let end = self.end(request, attempt, &out, Outcome::TimedOut);
            self.tell(instance, end);
        }
    }
}
