//! Detects tenants that use more than their quota.

use super::decayed_sum::DecayedSum;
use crate::api::{Micros, Tenant, TenantId, Timestamp};

/// Window over which requests are counted, in longest latency objectives.
const WINDOW_IN_OBJECTIVES: Micros = 2;
/// A tenant is over its quota when its use exceeds the mean use of quotas by this factor.
const MAX_RELATIVE_QUOTA_USE: f64 = 1.2;

/// Recent requests of each tenant, compared with its quota.
pub struct TenantQuotas {
    window: Micros,
    /// Quota of each tenant in requests per second.
    quotas: Vec<f64>,
    requests: Vec<DecayedSum>,
}

impl TenantQuotas {
    /// Creates the counters of these tenants.
    pub fn new(tenants: &[Tenant], longest_objective: Micros) -> Self {
        Self {
            window: WINDOW_IN_OBJECTIVES * longest_objective,
            quotas: tenants.iter().map(|tenant| tenant.quota_per_s).collect(),
            requests: vec![DecayedSum::default(); tenants.len()],
        }
    }

    /// Records a request. Returns whether its tenant uses significantly more of its quota than the
    /// tenants do on average.
    pub fn record(&mut self, now: Timestamp, tenant: Option<TenantId>) -> bool {
        let Some(tenant) = tenant.filter(|tenant| *tenant < self.quotas.len()) else {
            return false;
        };
        for counts in &mut self.requests {
            counts.add(now, 0.0, self.window);
        }
        self.requests[tenant].add_undecayed(1.0);
        let total_quota: f64 = self.quotas.iter().sum();
        let total_requests: f64 = self.requests.iter().map(DecayedSum::last_value).sum();
        let weighted_requests = self.requests[tenant].last_value() * total_quota;
        weighted_requests > MAX_RELATIVE_QUOTA_USE * total_requests * self.quotas[tenant]
    }
}
