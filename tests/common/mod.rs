//! A simulated sidecar around the decision module: it advances the clock, fires timers and tracks
//! the attempts in flight.
#![allow(dead_code)]

use load_balancer::*;
use std::collections::BTreeMap;

pub const IDEMPOTENT: ClassId = 0;
pub const IDEMPOTENT_BY_KEY: ClassId = 1;
pub const NON_IDEMPOTENT: ClassId = 2;
pub const MS: Micros = 1000;
pub const START: Micros = 50_000 * MS;

pub fn default_settings() -> Settings {
    let class = |effect| Class {
        latency_objective: 1000 * MS,
        objective_per_work: 0.0,
        deadline: 4000 * MS,
        late_value: 0.0,
        priority_weight: 1.0,
        effect,
        streaming: false,
    };
    let keyed = Effect::IdempotentByKey {
        scope: DedupScope::Cell,
        ttl: 1200 * MS,
    };
    Settings {
        classes: vec![
            class(Effect::Idempotent),
            class(keyed),
            class(Effect::NonIdempotent),
        ],
        tenants: Vec::new(),
        instances: 1,
        index: 0,
        zone: Some(0),
        discovery: Discovery::Pushed,
        weights: WeightSource::Size,
        reports: ReportSource::Disabled,
        limits: Limits {
            max_attempts: 3,
            max_retry_after: 2000 * MS,
            retry_after: true,
            may_cancel: true,
            may_duplicate: true,
            probes: false,
            peers: false,
            dial_timeout: 250 * MS,
        },
        rules: Rules {
            answer_slack: 20 * MS,
            poll_interval: 10_000 * MS,
            cold_capacity: 0.3,
            warmup_time: 9000 * MS,
            overload_factor: 3.0,
            overload_window: 1500 * MS,
        },
        prices: Prices::default(),
        goal: Goal::default(),
        over_quota_weight: 0.1,
        weight_by_work: false,
        marks_retries: false,
        clock_granularity: 5 * MS,
    }
}

/// A listed endpoint; each cell and each zone has two.
pub fn listing(endpoint: EndpointId) -> ListedEndpoint {
    let (zone, cell) = (Some(endpoint / 2), endpoint as u64 / 2);
    ListedEndpoint {
        endpoint,
        zone,
        cell,
        kind: None,
        status: EndpointStatus::Ready,
        size: 1.0,
        started: None,
        alias: endpoint as u64,
    }
}

#[derive(Clone, Copy, Debug)]
pub struct InFlightAttempt {
    pub endpoint: EndpointId,
    pub sent_at: Micros,
    pub timeout: Micros,
}

pub struct Harness {
    pub balancer: Balancer,
    pub now: Micros,
    pub settings: Settings,
    pub timers: Vec<(Micros, u64)>,
    pub in_flight: BTreeMap<(RequestId, AttemptIndex), InFlightAttempt>,
    pub attempts_sent: BTreeMap<RequestId, AttemptIndex>,
    pub next_id: RequestId,
}

impl Harness {
    pub fn new(settings: Settings, endpoints: usize, seed: u64) -> Self {
        let balancer = Balancer::new(settings.clone(), seed).expect("usable settings");
        let (timers, in_flight, attempts_sent) = (Vec::new(), BTreeMap::new(), BTreeMap::new());
        let mut harness = Self {
            balancer,
            now: START,
            settings,
            timers,
            in_flight,
            attempts_sent,
            next_id: 1,
        };
        harness.handle(Event::Endpoints(ListUpdate::Cached(
            (0..endpoints).map(listing).collect(),
        )));
        harness
    }

    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in &actions {
            match *action {
                Action::Send {
                    request,
                    endpoint,
                    timeout,
                    ..
                } => {
                    let index = self.attempts_sent.entry(request).or_default();
                    self.in_flight.insert(
                        (request, *index),
                        InFlightAttempt {
                            endpoint,
                            sent_at: self.now,
                            timeout,
                        },
                    );
                    *index += 1;
                }
                Action::SetTimer { after, token } => self.timers.push((self.now + after, token)),
                _ => {}
            }
        }
        actions
    }

    /// Advances the clock and fires the timers and timeouts that become due.
    pub fn advance_to(&mut self, to: Micros) -> Vec<Action> {
        let mut actions = Vec::new();
        loop {
            let timer = (0..self.timers.len()).min_by_key(|i| self.timers[*i].0);
            let timer = timer
                .map(|i| (self.timers[i].0, i))
                .filter(|(at, _)| *at <= to);
            let timed_out = self
                .in_flight
                .iter()
                .map(|(key, attempt)| (attempt.sent_at + attempt.timeout, *key))
                .min();
            if let Some((at, (id, index))) =
                timed_out.filter(|(at, _)| *at <= timer.map_or(to, |t| t.0))
            {
                self.now = self.now.max(at);
                actions.extend(self.finish(id, index, Outcome::TimedOut));
            } else if let Some((at, i)) = timer {
                self.now = self.now.max(at);
                let (_, token) = self.timers.swap_remove(i);
                actions.extend(self.handle(Event::Timer(token)));
            } else {
                self.now = to;
                return actions;
            }
        }
    }

    pub fn advance(&mut self, time: Micros) -> Vec<Action> {
        self.advance_to(self.now + time)
    }

    pub fn request(&mut self, class: ClassId) -> (RequestId, Vec<Action>) {
        self.request_with(class, 3000 * MS, None, None)
    }

    pub fn request_with(
        &mut self,
        class: ClassId,
        time_left: Micros,
        tenant: Option<TenantId>,
        work: Option<Micros>,
    ) -> (RequestId, Vec<Action>) {
        let id = self.next_id;
        self.next_id += 1;
        let deadline = self.now + time_left;
        let new = NewRequest {
            id,
            class,
            tenant,
            key: Some(7),
            affinity_endpoints: Vec::new(),
            deadline,
            work,
            is_retry: false,
        };
        (id, self.handle(Event::Request(new)))
    }

    pub fn finish(
        &mut self,
        request: RequestId,
        attempt: AttemptIndex,
        outcome: Outcome,
    ) -> Vec<Action> {
        let in_flight = self
            .in_flight
            .remove(&(request, attempt))
            .expect("an attempt in flight");
        self.handle(Event::AttemptEnded(AttemptEnd {
            request,
            attempt,
            endpoint: in_flight.endpoint,
            outcome,
            elapsed: self.now - in_flight.sent_at,
            request_answered: outcome == Outcome::Ok,
            load: LoadReport::default(),
        }))
    }

    /// Answers all attempts in flight, and those sent in response, after `time` each.
    pub fn serve_all(&mut self, time: Micros) {
        while !self.in_flight.is_empty() {
            self.advance(time);
            for (request, attempt) in self.in_flight.keys().copied().collect::<Vec<_>>() {
                self.finish(request, attempt, Outcome::Ok);
            }
        }
    }
}

pub fn endpoints_sent_to(actions: &[Action]) -> Vec<EndpointId> {
    let endpoint_of = |action: &Action| {
        if let Action::Send { endpoint, .. } = action {
            Some(*endpoint)
        } else {
            None
        }
    };
    actions.iter().filter_map(endpoint_of).collect()
}

/// Sends a number of requests that are all served. Returns the endpoints that they were sent to.
pub fn endpoints_used(harness: &mut Harness, requests: usize) -> Vec<EndpointId> {
    let mut all = Vec::new();
    for _ in 0..requests {
        all.extend(endpoints_sent_to(&harness.request(IDEMPOTENT).1));
        harness.serve_all(20 * MS);
    }
    all
}

pub fn is_rejected(actions: &[Action], id: RequestId) -> bool {
    actions
        .iter()
        .any(|a| matches!(a, Action::Reject { request, .. } if *request == id))
}

pub fn is_failed(actions: &[Action], id: RequestId) -> bool {
    actions.contains(&Action::Fail(id))
}
