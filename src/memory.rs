//! What an instance tells of what it holds, to whoever measures or keeps it: reading changes nothing and decides
//! nothing. Changes with what is to be read there.

use crate::state::*;

impl Balancer {
    /// What there is to tell to whoever measures.
    pub fn census(&self) -> Census {
        let listed = self.endpoints.iter().filter(|e| e.listed);
        let count = |holds: fn(&Endpoint) -> bool| listed.clone().filter(|e| holds(e)).count();
        Census {
            listed: count(|_| true),
            ready: count(|e| e.ready),
            circuits_open: count(|e| e.circuit != Circuit::Closed),
            resting: count(|e| e.word.is_some()),
            queued: self.queue.len(),
            given_up: self.log.given_up_in_all,
        }
    }

    /// Whether anything is remembered of this endpoint. The number of one that is gone and not known any more
    /// may be given to another.
    pub fn knows(&self, endpoint: EndpointId) -> bool {
        self.endpoints.get(endpoint).is_some_and(|e| e.held)
    }

    /// What it knows of listed endpoints, for a next life: those that it sent something, in this life or one before.
    /// The time is that of the last outcome, so that what is handed on from life to life grows no younger.
    pub fn memory(&self) -> Vec<Recalled> {
        let known = |e: &Endpoint| e.listed && e.last_sent > 0;
        let all = self.endpoints.iter().enumerate().filter(|(_, e)| known(e));
        all.map(|(endpoint, e)| Recalled {
            endpoint,
            started: e.started,
            seen: e.heard,
            open: e.circuit != Circuit::Closed,
            openings: e.openings,
            slow: e.slow,
            cap: e.cap,
        })
        .collect()
    }
}
