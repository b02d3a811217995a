//! Which tenants use more than their quota of the service.

use super::decayed_sum::DecayedSum;
use crate::api::{Micros, Tenant, TenantId, Timestamp};

/// Window over which requests are counted, in longest latency objectives.
const WINDOW_IN_OBJECTIVES: Micros = 2;
/// A tenant this far above the mean use of quotas is over its own.
const TOLERATED_USE: f64 = 1.2;

/// Requests of each tenant against its quota.
pub struct TenantQuotas {
    window: Micros,
    /// Requests a second within the quota, by tenant.
    quotas: Vec<f64>,
    requests: Vec<DecayedSum>,
}

impl TenantQuotas {
    /// Quotas of these tenants.
    pub fn new(tenants: &[Tenant], longest_objective: Micros) -> Self {
        Self {
            window: WINDOW_IN_OBJECTIVES * longest_objective,
            quotas: tenants.iter().map(|tenant| tenant.quota_per_s).collect(),
            requests: vec![DecayedSum::default(); tenants.len()],
        }
    }

    /// Counts a request. Returns whether its tenant uses clearly more of its quota than the tenants
    /// do on the whole.
    pub fn record(&mut self, now: Timestamp, tenant: Option<TenantId>) -> bool {
        let Some(tenant) = tenant.filter(|tenant| *tenant < self.quotas.len()) else {
            return false;
        };
        for requests in &mut self.requests {
            requests.add(now, 0.0, self.window);
        }
        self.requests[tenant].add_undecayed(1.0);
        let all_quotas: f64 = self.quotas.iter().sum();
        let all_requests: f64 = self.requests.iter().map(DecayedSum::last).sum();
        let own = self.requests[tenant].last() * all_quotas;
        own > TOLERATED_USE * all_requests * self.quotas[tenant]
    }
}
