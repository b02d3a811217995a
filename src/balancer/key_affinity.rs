//! Key affinity: which endpoint a request with a key prefers among those whose pick is near.

use super::endpoint::Endpoint;
use super::request::Request;
use crate::api::*;

/// How many picks an endpoint may be behind, as a multiple of those it may be ahead.
const MAX_BEHIND_PER_SLACK: f64 = 8.0;

/// Preference of an endpoint that is picked before all others.
const PREFERRED: f64 = -1.0;
/// Preference of an endpoint that is picked after all others.
const AVOIDED: f64 = f64::MAX;
/// Preference of every endpoint when affinity does not apply.
const NO_PREFERENCE: f64 = 0.0;

/// How far keys may move endpoints ahead of or behind their fair share of picks.
#[derive(Default)]
pub struct KeyAffinity {
    /// Picks by which an endpoint may be ahead of its weight; 0 disables affinity.
    slack: f64,
    /// A request with a key has arrived.
    in_use: bool,
}

impl KeyAffinity {
    /// Sets the slack, in picks.
    pub fn set_slack(&mut self, slack: f64) {
        self.slack = slack;
    }

    /// Records that a request arrived.
    pub fn record_request(&mut self, has_key: bool) {
        self.in_use |= has_key && self.slack > 0.0;
    }

    /// Returns whether any request may have been picked for by its key, out of rotation order.
    pub fn is_in_use(&self) -> bool {
        self.in_use
    }

    /// Returns the lower bound of deficits, which limits how far an endpoint may be behind.
    pub fn min_deficit(&self) -> f64 {
        -MAX_BEHIND_PER_SLACK * self.slack - 1.0
    }

    /// Returns the preference of a request for an endpoint; the lowest is picked.
    ///
    /// The order of preference for a key is the same on every instance, in proportion to weights
    /// (highest random weight: Thaler and Ravishankar, IEEE/ACM Transactions on Networking 6, 1998,
    /// p. 1), and skips endpoints that are ahead of their share (consistent hashing with bounded
    /// loads: Mirrokni, Thorup and Zadimoghaddam, SODA 2018, p. 587). An endpoint that is due a
    /// trial request or is far behind comes first, then the endpoints where the key is cached.
    /// Without a key all endpoints are equal.
    pub fn preference(
        &self,
        request: &Request,
        id: EndpointId,
        endpoint: &Endpoint,
        weight: f64,
    ) -> f64 {
        if endpoint.is_trial_due() {
            return PREFERRED;
        }
        let Some(key) = request.key.filter(|_| self.slack > 0.0) else {
            return NO_PREFERENCE;
        };
        if endpoint.deficit >= self.slack {
            return AVOIDED;
        }
        if endpoint.deficit <= -MAX_BEHIND_PER_SLACK * self.slack {
            return PREFERRED;
        }
        let cached = request.affinity_endpoints.iter().position(|e| *e == id);
        match cached {
            Some(rank) => -1.0 / (rank as f64 + 2.0),
            None => {
                let hash = key ^ endpoint.alias.rotate_left(32);
                let random = fastrand::Rng::with_seed(hash).f64();
                -(1.0 - random).ln() / weight
            }
        }
    }
}
