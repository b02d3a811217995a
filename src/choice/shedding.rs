//! Which requests are turned away or set back at once. Changes with how load is shed and quotas are kept.

use crate::state::*;

/// Load shedding: the pace against that in calm from which some requests are turned away and at which
/// nearly all are, the part taken even then, to see when the crowd is over, and the part of repeats.
pub(crate) const CROWDED: (f64, f64) = (1.6, 2.4);
pub(crate) const SHED_LEAST: f64 = 0.02;
pub(crate) const SHED_OTHERS: f64 = 0.75;
/// A tenant this far above the mean use of quotas waits behind the others.
pub(crate) const OVER_SHARE: f64 = 1.2;

impl Balancer {
    /// Load shedding, before waits grow past all aims and crowded servers tip: the slower answers of late
    /// and what is still out are against calm, the fewer requests are taken. Failures alone shed nothing:
    /// they may be a few servers' own, and what the breaker is for.
    pub(crate) fn sheds(&mut self, over_share: bool) -> bool {
        let (some, most) = CROWDED;
        let taken = ((most - self.fleet.crowd.pace) / (most - some)).max(SHED_LEAST);
        let part = if over_share { SHED_OTHERS } else { 1.0 };
        taken < 1.0 && self.rng.f64() > taken * part
    }

    /// Whether the tenant uses clearly more of its quota than the tenants do on the whole.
    pub(crate) fn over_share(&mut self, now: Micros, tenant: Option<TenantId>) -> bool {
        let Some(tenant) = tenant.filter(|t| *t < self.set.tenants.len()) else {
            return false;
        };
        let window = 2 * self.set.longest_aim();
        self.fleet
            .tenants
            .iter_mut()
            .for_each(|t| t.add(now, 0.0, window));
        self.fleet.tenants[tenant].total += 1.0;
        let quotas: f64 = self.set.tenants.iter().map(|t| t.quota_per_s).sum();
        let asked: f64 = self.fleet.tenants.iter().map(|t| t.total).sum();
        self.fleet.tenants[tenant].total * quotas
            > OVER_SHARE * asked * self.set.tenants[tenant].quota_per_s
    }
}
