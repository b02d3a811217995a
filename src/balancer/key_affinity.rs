//! Key affinity: which endpoint a request with a key prefers among those whose turn is near.

use super::endpoint::Endpoint;
use super::request::Request;
use crate::api::*;

/// Picks that an endpoint may be owed, as a multiple of those by which it may be ahead.
const OWED_PER_AHEAD: f64 = 8.0;

/// A preference that comes before all others.
const FIRST: f64 = -1.0;
/// A preference that comes behind all others.
const LAST: f64 = f64::MAX;
/// The preference without an affinity.
const NEUTRAL: f64 = 0.0;

/// How far keys may set endpoints ahead of and behind their turns.
#[derive(Default)]
pub struct KeyAffinity {
    /// Picks by which an endpoint may be ahead of its weight; 0 is no affinity.
    slack: f64,
    /// A request with a key has come.
    in_use: bool,
}

impl KeyAffinity {
    /// Sets the slack, in picks.
    pub fn set_slack(&mut self, slack: f64) {
        self.slack = slack;
    }

    /// A request came.
    pub fn record_request(&mut self, has_key: bool) {
        self.in_use |= has_key && self.slack > 0.0;
    }

    /// Whether any request has been picked for by its key, so that picks may be out of turn.
    pub fn is_in_use(&self) -> bool {
        self.in_use
    }

    /// The least deficit: what an endpoint may be owed.
    pub fn min_deficit(&self) -> f64 {
        -OWED_PER_AHEAD * self.slack - 1.0
    }

    /// How far down its list of endpoints a request has this one, the least first.
    ///
    /// The list of a key is the same at every instance, in proportion to weights (highest random
    /// weight: Thaler and Ravishankar, IEEE/ACM Transactions on Networking 6, 1998, p. 1), past
    /// endpoints that are ahead of their turns (consistent hashing with bounded loads: Mirrokni,
    /// Thorup and Zadimoghaddam, SODA 2018, p. 587). An endpoint that is due a trial, or is owed
    /// picks, comes before all; then come those where the key is cached. Without a key all are
    /// alike.
    pub fn preference(
        &self,
        request: &Request,
        id: EndpointId,
        endpoint: &Endpoint,
        weight: f64,
    ) -> f64 {
        if endpoint.is_trial_due() {
            return FIRST;
        }
        let Some(key) = request.key.filter(|_| self.slack > 0.0) else {
            return NEUTRAL;
        };
        if endpoint.deficit >= self.slack {
            return LAST;
        }
        if endpoint.deficit <= -OWED_PER_AHEAD * self.slack {
            return FIRST;
        }
        let cached = request.affinity_endpoints.iter().position(|e| *e == id);
        match cached {
            Some(rank) => -1.0 / (rank as f64 + 2.0),
            None => {
                let hash = key ^ endpoint.alias.rotate_left(32);
                let drawn = fastrand::Rng::with_seed(hash).f64();
                -(1.0 - drawn).ln() / weight
            }
        }
    }
}
