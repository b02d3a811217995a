//! Attempts in simulated time, from a sidecar to a server and back.

use super::event::{ResultKind, SimEvent};
use super::instance::InFlight;
use super::{DIAL_TIMEOUT_US, MAX_IDLE_US, Simulation};
use crate::Us;
use crate::record::Seen;
use crate::servers::{arrival_of, try_number};
use crate::site::{CLASSES, Repeat};
use crate::world::{Admission, Done, Job};
use load_balancer::{AttemptIndex, Micros, Outcome, RequestId};

impl Simulation<'_> {
    pub(super) fn start_attempt(
        &mut self,
        instance: usize,
        request: RequestId,
        server: usize,
        timeout: Micros,
    ) {
        let (now, number) = (self.now, self.attempts);
        self.attempts += 1;
        let sender = &mut self.instances[instance];
        let sidecar = sender.sidecar;
        let sent_count = sender.attempt_counts.entry(request).or_default();
        let attempt = *sent_count;
        *sent_count += 1;
        sender.in_flight.insert(
            (request, attempt),
            InFlight {
                server,
                sent_at: now,
                number,
            },
        );
        let idle = sender.idle_connections.entry(server).or_default();
        idle.retain(|since| now - since < MAX_IDLE_US);
        let needs_dial = idle.pop().is_none();
        self.schedule(
            now + timeout.max(1) as Us,
            SimEvent::AttemptTimeout {
                instance,
                request,
                attempt,
            },
        );
        let (from_zone, to_zone) = (
            self.plan.sidecars[sidecar].zone,
            self.plan.servers[server].zone,
        );
        let can_connect =
            self.is_reachable(from_zone, to_zone) && self.is_reachable(to_zone, from_zone);
        if needs_dial && !can_connect {
            let outcome = ResultKind::ConnectFailed;
            return self.schedule(
                now + DIAL_TIMEOUT_US,
                SimEvent::AttemptResult {
                    instance,
                    request,
                    attempt,
                    outcome,
                },
            );
        }
        let handshake_delay = if needs_dial {
            self.delay(from_zone, to_zone) + self.delay(to_zone, from_zone)
        } else {
            0
        };
        if needs_dial && !self.world.is_up(server) {
            let outcome = ResultKind::ConnectFailed;
            return self.schedule(
                now + handshake_delay,
                SimEvent::AttemptResult {
                    instance,
                    request,
                    attempt,
                    outcome,
                },
            );
        }
        // What is sent into a partition is lost.
        if self.is_reachable(from_zone, to_zone) {
            let arrives = now + handshake_delay + self.delay(from_zone, to_zone);
            self.schedule(
                arrives,
                SimEvent::ServerArrival {
                    instance,
                    request,
                    attempt,
                    dialled: needs_dial,
                },
            );
        }
    }

    pub(super) fn arrive_at_server(
        &mut self,
        instance: usize,
        request: RequestId,
        attempt: AttemptIndex,
        dialled: bool,
    ) {
        let Some(out) = self.instances[instance].in_flight.get(&(request, attempt)) else {
            // It was given up in the meantime.
            return;
        };
        let (server, number, sent_at) = (out.server, out.number, out.sent_at);
        let sidecar = self.instances[instance].sidecar;
        let arrival = &self.plan.arrivals[arrival_of(request)];
        if dialled {
            self.record_event(Seen::Handshake { sidecar, server });
        }
        if self.reset_share > 0.0 && self.rng.f64() < self.reset_share {
            return self.send_result(instance, request, attempt, ResultKind::Reset);
        }
        if !self.world.is_up(server) {
            return self.send_result(instance, request, attempt, ResultKind::Reset);
        }
        self.record_event(Seen::Attempt {
            number,
            request: Some(request),
            sidecar,
            server,
            began: sent_at,
        });
        let is_keyed = CLASSES[arrival.class].repeat == Repeat::Keyed;
        let idempotency_key = is_keyed.then(|| try_number(arrival_of(request), 15));
        let (class, work, key) = (arrival.class, arrival.work, arrival.key);
        let job = Job {
            id: number,
            class,
            work,
            key,
            idempotency_key,
            is_new_connection: dialled,
        };
        let mut done = Vec::new();
        let admitted = self.world.submit(self.now, server, job, &mut done);
        self.complete_jobs(done);
        match admitted {
            Admission::Accepted => {
                self.at_servers.insert(number, (instance, request, attempt));
            }
            Admission::Swallowed => self.record_event(Seen::AttemptSwallowed { number }),
            Admission::Deduplicated => {
                self.record_event(Seen::AttemptAnswered {
                    number,
                    status: 200,
                    unprocessed: false,
                });
                self.send_result(instance, request, attempt, ResultKind::Ok);
            }
            Admission::Rejected => {
                self.record_event(Seen::AttemptAnswered {
                    number,
                    status: 503,
                    unprocessed: true,
                });
                self.send_result(instance, request, attempt, ResultKind::Rejected);
            }
        }
    }

    /// Sends the result of an attempt back, if the sidecar is reachable.
    pub(super) fn send_result(
        &mut self,
        instance: usize,
        request: RequestId,
        attempt: AttemptIndex,
        outcome: ResultKind,
    ) {
        let Some(out) = self.instances[instance].in_flight.get(&(request, attempt)) else {
            return;
        };
        let (from, to) = (
            self.plan.servers[out.server].zone,
            self.plan.sidecars[self.instances[instance].sidecar].zone,
        );
        if self.is_reachable(from, to) {
            let at = self.now + self.delay(from, to);
            self.schedule(
                at,
                SimEvent::AttemptResult {
                    instance,
                    request,
                    attempt,
                    outcome,
                },
            );
        }
    }

    pub(super) fn complete_jobs(&mut self, done: Vec<Done>) {
        for Done { job, served, .. } in done {
            let Some((instance, request, attempt)) = self.at_servers.remove(&job) else {
                continue;
            };
            let (status, outcome) = if served {
                (200, ResultKind::Ok)
            } else {
                (500, ResultKind::Error)
            };
            self.record_event(Seen::AttemptAnswered {
                number: job,
                status,
                unprocessed: false,
            });
            self.send_result(instance, request, attempt, outcome);
        }
    }

    pub(super) fn receive_result(
        &mut self,
        instance: usize,
        request: RequestId,
        attempt: AttemptIndex,
        outcome: ResultKind,
    ) {
        let Some(out) = self.instances[instance]
            .in_flight
            .remove(&(request, attempt))
        else {
            return;
        };
        let outcome = match outcome {
            ResultKind::Ok => Outcome::Ok,
            ResultKind::Error => Outcome::Error,
            ResultKind::Rejected => Outcome::Rejected,
            ResultKind::ConnectFailed => Outcome::ConnectFailed,
            ResultKind::Reset => Outcome::Reset,
        };
        if matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Rejected) {
            self.instances[instance]
                .idle_connections
                .entry(out.server)
                .or_default()
                .push(self.now);
        }
        if outcome == Outcome::Ok {
            self.answer_client(request, 200, 0);
        }
        let end = self.attempt_end(request, attempt, &out, outcome);
        self.notify(instance, end);
    }

    pub(super) fn time_out(&mut self, instance: usize, request: RequestId, attempt: AttemptIndex) {
        if let Some(out) = self.instances[instance]
            .in_flight
            .remove(&(request, attempt))
        {
            let end = self.attempt_end(request, attempt, &out, Outcome::TimedOut);
            self.notify(instance, end);
        }
    }
}
