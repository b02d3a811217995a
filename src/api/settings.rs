//! The settings of an instance.

use super::ids::*;

/// Which endpoints drop a repeat of a request with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// Every endpoint.
    All,
    /// Those in the zone of the endpoint that may have run it.
    Zone,
    /// Those in its cell.
    Cell,
}

/// Effect of running a request twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// None: it may be repeated freely.
    Idempotent,
    /// Endpoints in `scope` drop repeats for `ttl` after the earliest attempt that may have run.
    IdempotentByKey {
        /// Which endpoints drop repeats.
        scope: DedupScope,
        /// For how long they do.
        ttl: Micros,
    },
    /// Harmful: it must never run twice.
    NonIdempotent,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// Latency objective: an answer within this time earns the full priority weight.
    pub latency_objective: Micros,
    /// The objective grows by this multiple of the request's work.
    pub objective_per_work: f64,
    /// How long a client waits over all attempts.
    pub deadline: Micros,
    /// Fraction of the priority weight that an answer after the objective still earns.
    pub late_value: f64,
    /// Priority weight of one request.
    pub priority_weight: f64,
    /// Effect of a repeat.
    pub effect: Effect,
    /// Answers arrive as a stream.
    pub streaming: bool,
}

impl Class {
    /// Returns the latency objective of a request with this work, in microseconds. It does not
    /// exceed the deadline, unless the objective of the class does.
    pub(crate) fn objective_for(&self, work: f64) -> f64 {
        let stretched = self.latency_objective as f64 + self.objective_per_work * work;
        stretched.min(self.deadline.max(self.latency_objective) as f64)
    }
}

/// A tenant and its quota of the service.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Quota in requests per second, over all sidecars.
    pub quota_per_s: f64,
    /// Its share of the service.
    pub share: f64,
}

/// How an instance receives the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Changes are pushed.
    Pushed,
    /// Only after [`Action::Subscribe`](crate::Action::Subscribe) or
    /// [`Action::FetchList`](crate::Action::FetchList).
    OnRequest,
}

/// Meaning of the `size` of a listed endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightSource {
    /// Always 1.
    Uniform,
    /// The registered size, at least approximately.
    Size,
    /// Size relative to load, measured some time ago.
    Live,
}

/// Source of load reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportSource {
    /// Attempts and health checks.
    Piggyback,
    /// Health checks only.
    Probe,
    /// None.
    Disabled,
}

/// Limits on the actions of an instance.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// Maximum Retry-After that clients honour.
    pub max_retry_after: Micros,
    /// Whether rejections carry a Retry-After.
    pub retry_after: bool,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// Whether two attempts of a request may be in flight at once.
    pub may_duplicate: bool,
    /// Whether health checks may be sent.
    pub probes: bool,
    /// Whether messages to peers may be sent.
    pub peers: bool,
    /// Time after which a connection attempt counts as failed.
    pub dial_timeout: Micros,
}

/// Parameters of the rules that every instance must follow.
#[derive(Clone, Debug)]
pub struct Rules {
    /// How long after the deadline a final answer still counts.
    pub answer_slack: Micros,
    /// Interval within which an instance without a subscription must poll discovery.
    pub poll_interval: Micros,
    /// Minimum capacity of an endpoint at its start, as a fraction of its full capacity.
    pub cold_capacity: f64,
    /// Time after its start at which an endpoint is warm at the latest.
    pub warmup_time: Micros,
    /// A warming endpoint that receives more than this multiple of its current capacity ...
    pub overload_factor: f64,
    /// ... for this long is overloaded and fails.
    pub overload_window: Micros,
}

/// Prices, in points of the score.
#[derive(Clone, Debug, Default)]
pub struct Prices {
    /// Attempts that cross zones.
    pub cross_zone: f64,
    /// Work that produced no answer.
    pub waste: f64,
    /// Priority weight not served within its objective.
    pub late_fail: f64,
    /// Health checks.
    pub probe: f64,
    /// New connections.
    pub handshake: f64,
}

/// Weights of the parts of the score.
#[derive(Clone, Debug, Default)]
pub struct Goal {
    /// The whole period.
    pub overall: f64,
    /// The class with the lowest score.
    pub worst_class: f64,
    /// The tenant with the lowest score.
    pub worst_tenant: f64,
    /// The period with the lowest score.
    pub worst_window: f64,
}

/// All settings of an instance.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Request classes; at least one.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Total number of instances.
    pub instances: u32,
    /// Index of this instance.
    pub index: u32,
    /// Zone of this instance.
    pub zone: Option<ZoneId>,
    /// How the endpoint list is received.
    pub discovery: Discovery,
    /// Meaning of listed sizes.
    pub weights: WeightSource,
    /// Source of load reports.
    pub reports: ReportSource,
    /// Limits on actions.
    pub limits: Limits,
    /// Parameters of the rules.
    pub rules: Rules,
    /// Prices.
    pub prices: Prices,
    /// Weights of the score.
    pub goal: Goal,
    /// Priority weight of traffic over a tenant's quota, as a fraction.
    pub over_quota_weight: f64,
    /// Whether priority weight is counted per unit of work instead of per request.
    pub weight_by_work: bool,
    /// Whether clients mark their retries.
    pub marks_retries: bool,
    /// Minimum time between two events at different instants.
    pub clock_granularity: Micros,
}

impl Settings {
    /// Returns the longest latency objective of any class.
    pub fn longest_objective(&self) -> Micros {
        let objectives = self.classes.iter().map(|class| class.latency_objective);
        objectives.max().unwrap_or(1)
    }
}
