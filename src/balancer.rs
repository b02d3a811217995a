//! The decision module of one sidecar: takes events, returns actions. Its interface is `api.rs`.
//!
//! [`Balancer`] combines the policies in the order in which a request is processed: admission,
//! endpoint selection, sending, outcome, then a retry or the final answer. Each policy is a type
//! that owns its state, in a file of its own under `src/balancer/`.

mod admission;
mod attempt_timeout;
mod backoff;
mod bulkhead;
mod circuit_breaker;
mod completion;
mod concurrency;
mod decayed_sum;
mod dispatch;
mod endpoint;
mod endpoint_latency;
mod endpoint_list;
mod event_log;
mod goodput;
mod key_affinity;
mod latency;
mod latency_group;
mod load_estimate;
mod load_shedder;
mod outcome;
mod peer_health;
mod request;
mod retry_budget;
mod retry_policy;
mod round_robin;
mod selection;
mod send_rules;
mod slow_start;
mod slow_start_credit;
mod subset;
mod summary;
mod tenant_quotas;
mod time;
mod timers;
mod token_bucket;
mod trial_budget;
mod wait_queue;
mod warm_restart;
mod work_estimate;

use crate::api::*;
use bulkhead::InitialLimit;
use endpoint::Endpoint;
use endpoint_list::ListFollower;
use event_log::EventLog;
use goodput::Goodput;
use key_affinity::KeyAffinity;
use latency::LatencyEstimator;
use load_estimate::LoadEstimate;
use peer_health::PeerHealth;
use request::Request;
use retry_budget::RetryBudget;
use round_robin::WeightedRoundRobin;
use slow_start::SlowStart;
use std::collections::BTreeMap;
use subset::EndpointSubset;
use tenant_quotas::TenantQuotas;
use time::{END_OF_TIME, MAX_DURATION};
use timers::Timers;
use trial_budget::TrialBudget;
use wait_queue::WaitQueue;
use work_estimate::WorkEstimate;

/// Time constant of all estimates, in longest latency objectives: deployments with short objectives
/// also have short faults.
const TIME_CONSTANT_IN_LONGEST_OBJECTIVES: Micros = 4;

/// The decision module of one sidecar. Events must be passed in the order in which they happen.
pub struct Balancer {
    settings: Settings,
    rng: fastrand::Rng,
    /// Time constant of all estimates: after this time without new observations the weight of an
    /// estimate has decayed to about a third.
    time_constant: Micros,
    endpoints: Vec<Endpoint>,
    requests: BTreeMap<RequestId, Request>,
    timers: Timers,
    log: EventLog,

    list_follower: ListFollower,
    quotas: TenantQuotas,
    subset: EndpointSubset,
    rotation: WeightedRoundRobin,
    affinity: KeyAffinity,
    peer_health: PeerHealth,
    initial_limit: InitialLimit,
    queue: WaitQueue,
    slow_start: SlowStart,
    retry_budget: RetryBudget,
    trial_budget: TrialBudget,

    work_estimate: WorkEstimate,
    latency_estimator: LatencyEstimator,
    load_estimate: LoadEstimate,
    goodput: Goodput,
}

impl Balancer {
    /// Creates an instance without endpoints or requests.
    ///
    /// # Errors
    /// Returns an error if no request could be handled under these settings.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let objective = settings.longest_objective();
        let time_constant = TIME_CONSTANT_IN_LONGEST_OBJECTIVES * objective.min(MAX_DURATION);
        Ok(Self {
            rng: fastrand::Rng::with_seed(seed),
            time_constant,
            endpoints: Vec::new(),
            requests: BTreeMap::new(),
            timers: Timers::default(),
            log: EventLog::default(),
            list_follower: ListFollower::default(),
            quotas: TenantQuotas::new(&settings.tenants, objective),
            subset: EndpointSubset::new(time_constant),
            rotation: WeightedRoundRobin::default(),
            affinity: KeyAffinity::default(),
            peer_health: PeerHealth::default(),
            initial_limit: InitialLimit::new(settings.instances),
            queue: WaitQueue::default(),
            slow_start: SlowStart::new(&settings.rules, settings.instances),
            retry_budget: RetryBudget::full(),
            trial_budget: TrialBudget::full(),
            work_estimate: WorkEstimate::new(&settings.classes),
            latency_estimator: LatencyEstimator::new(time_constant),
            load_estimate: LoadEstimate::new(objective),
            goodput: Goodput::new(time_constant),
            settings,
        })
    }

    /// Sets what this instance shares with other members. Nothing is shared until this is called.
    pub fn set_sharing(&mut self, options: SharingOptions) {
        self.peer_health = PeerHealth::new(options.peer_health);
        self.affinity.set_slack(options.affinity_slack);
    }

    /// Handles an event that happened at `now` and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Timestamp, event: Event, out: &mut Vec<Action>) {
        let now = now.clamp(-END_OF_TIME, END_OF_TIME);
        self.subscribe_once(out);
        self.expire_peer_health(now, out);
        self.refresh_estimates(now);
        match event {
            Event::Ejections(updates) => self.apply_ejections(now, updates, out),
            Event::Restored(known) => self.restore(now, known),
            Event::Endpoints(update) => self.apply_list_update(now, update),
            Event::Request(new) => self.admit(now, new, out),
            Event::StreamStarted { request, attempt } => {
                self.stream_started(request, attempt, out);
            }
            Event::AttemptEnded(end) => self.attempt_ended(now, end, out),
            Event::Abandoned(id) => self.abandon(now, id, out),
            Event::Timer(token) => self.run_due_timers(now, token, out),
            Event::ProbeEnded { .. } | Event::PeerMessage { .. } => {}
        }
        self.dispatch_queued(now, out);
        let requests = &self.requests;
        self.timers
            .forget_ended(requests.len(), |id| requests.contains_key(&id));
        self.timers.arm(now, out);
    }
}
