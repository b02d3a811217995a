//! What other instances say of endpoints, what an earlier life knew, and what is told to others. Changes with
//! what their word does here.
//!
//! Their word stands above the own circuit and leaves it as it is: once it is taken back or past its bound,
//! the instance decides as one that has never heard it.

use super::bulwark::CAP_BOUNDS;
use crate::state::*;

/// Turns that an endpoint may be owed, as a multiple of those by which it may be ahead.
pub(crate) const MOST_OWED: f64 = 8.0;
/// Expected times after which an attempt that others' word is against is called back.
const OVERDUE: f64 = 2.0;
/// Expected times after which it is told of: by its work alone one in four hundred takes six times the mean.
const FAR_LATER: f64 = 6.0;

impl Balancer {
    /// Shares with other instances from now on what is said here.
    pub fn share(&mut self, sharing: Sharing) {
        self.sharing = sharing;
    }

    /// Follows others' words. Where they were served again its circuit need not be tried by this one too.
    pub(crate) fn heed(&mut self, now: Micros, words: Vec<Word>, out: &mut Vec<Action>) {
        for word in words {
            let Some(e) = self.endpoints.get_mut(word.endpoint).filter(|e| e.held) else {
                continue;
            };
            let word = Word {
                rest: if now < word.until {
                    word.rest
                } else {
                    Rest::No
                },
                ..word
            };
            e.word = Some(word).filter(|w| matches!(w.rest, Rest::Yes | Rest::Trial));
            if word.rest == Rest::Over && e.circuit != Circuit::Closed {
                self.close(now, word.endpoint, out);
            } else if word.rest == Rest::Yes && self.set.limits.may_cancel {
                self.call_back(now, word.endpoint, out);
            }
        }
    }

    /// Takes in what was known before a restart, as evidence of its age, of processes that are still the same
    /// and were sent nothing since. An open circuit is to be tried, the pace fades as any does.
    pub(crate) fn recall(&mut self, now: Micros, known: Vec<Recalled>) {
        let (mut well, first_cap) = (0.0, self.first_cap());
        for k in known
            .into_iter()
            .filter(|k| k.seen <= now && k.slow > 0.0 && (k.slow + k.cap).is_finite())
        {
            let same = |e: &&mut Endpoint| e.held && e.started == k.started && e.last_sent < k.seen;
            let Some(e) = self.endpoints.get_mut(k.endpoint).filter(same) else {
                continue;
            };
            let cap = first_cap + left_of(now, k.seen, self.memory) * (k.cap - first_cap);
            e.cap = cap.clamp(CAP_BOUNDS.0, CAP_BOUNDS.1);
            (e.slow, e.heard, e.last_sent) = (k.slow, k.seen, k.seen);
            if k.open {
                (e.circuit, e.openings) = (Circuit::Open(now), k.openings);
            } else if self.fleet.answers == 0.0 {
                well += 1.0;
                self.fleet.slow += (k.slow - self.fleet.slow) / well;
                self.fleet.bare = self.fleet.slow;
            }
        }
    }

    /// Others get no answer there: what has waited for longer than usual, and may run again, waits no more.
    fn call_back(&self, now: Micros, i: EndpointId, out: &mut Vec<Action>) {
        let e = &self.endpoints[i];
        let late = OVERDUE * self.fleet.slow.max(e.slow);
        for f in e
            .flights
            .iter()
            .filter(|f| !f.streaming && (now - f.sent) as f64 > late * f.work)
        {
            if self.set.classes[f.class].effect != Effect::Unsafe && self.fleet.retries >= 1.0 {
                out.push(Action::Cancel {
                    request: f.request,
                    attempt: f.attempt,
                });
            }
        }
    }

    /// Past its bound a word counts as never said. Tells of attempts that are far later than any answer, and
    /// before their time is out.
    pub(crate) fn keep_words(&mut self, now: Micros, out: &mut Vec<Action>) {
        if !self.sharing.words {
            return;
        }
        for (endpoint, e) in self.endpoints.iter_mut().enumerate() {
            e.word = e.word.filter(|w| now < w.until);
            let late = FAR_LATER * self.fleet.slow.max(e.slow);
            for f in e
                .flights
                .iter_mut()
                .filter(|f| !f.told && !f.streaming && e.heard <= f.sent)
            {
                f.told = (now - f.sent) as f64 > late * f.work;
                out.extend(f.told.then_some(Action::Witness {
                    endpoint,
                    served: false,
                }));
            }
        }
    }

    /// How far down its list of endpoints a key has this one, the least first: the same at every instance, in
    /// proportion to weights (highest random weight: Thaler and Ravishankar, IEEE/ACM Transactions on
    /// Networking 6, 1998, p. 1), past those that are ahead of their turns (consistent hashing with bounded
    /// loads: Mirrokni, Thorup and Zadimoghaddam, SODA 2018, p. 587). One that is to be tried, or is owed
    /// turns, comes before all, then those where the key is bound; without a key all are alike.
    pub(crate) fn liking(&self, now: Micros, request: &Request, i: EndpointId) -> f64 {
        let (e, ahead) = (&self.endpoints[i], self.sharing.ahead);
        match request.key.filter(|_| ahead > 0.0) {
            _ if e.called() => -1.0,
            None => 0.0,
            Some(_) if e.left >= ahead => f64::MAX,
            Some(_) if e.left <= -MOST_OWED * ahead => -1.0,
            Some(key) => {
                let drawn = fastrand::Rng::with_seed(key ^ e.alias.rotate_left(32)).f64();
                let place = request.bound.iter().position(|b| *b == i);
                place.map_or(-(1.0 - drawn).ln() / self.weight(now, e), |p| {
                    -1.0 / (p as f64 + 2.0)
                })
            }
        }
    }
}
