//! The rules that no attempt may break, whatever chose it. Changes with the rules of the protocol alone.

use crate::state::*;

impl Balancer {
    /// Whether an attempt may go there now: the request is open, attempts are left, copies are allowed, the
    /// endpoint is listed ready, and the class may run again there.
    pub(crate) fn may_send(&self, now: Micros, request: &Request, endpoint: EndpointId) -> bool {
        let limits = &self.set.limits;
        self.endpoints[endpoint].ready
            && now < request.due
            && request.state != State::Streaming
            && (request.attempts.len() as u32) < limits.max_attempts
            && (limits.may_duplicate || request.live() == 0)
            && self.may_run(now, request, endpoint)
    }

    /// No effect twice: what may have run runs again only if safe, or inside its dedup group and time.
    pub(crate) fn may_run(&self, now: Micros, request: &Request, endpoint: EndpointId) -> bool {
        let e = &self.endpoints[endpoint];
        let mut ran = request.attempts.iter().filter(|a| a.may_have_run);
        match self.set.classes[request.class].effect {
            Effect::Safe => true,
            Effect::Unsafe => ran.next().is_none(),
            Effect::Keyed { scope, .. } => ran.all(|a| {
                let drops = match scope {
                    DedupScope::All => true,
                    DedupScope::Zone => a.zone == e.zone,
                    DedupScope::Cell => a.cell == e.cell,
                };
                drops && now < self.repeat_by(request)
            }),
        }
    }

    /// Until when a repeat is dropped where the request may have run, by the earliest such attempt.
    pub(crate) fn repeat_by(&self, request: &Request) -> Micros {
        let Effect::Keyed { ttl, .. } = self.set.classes[request.class].effect else {
            return FAR;
        };
        let first = request.attempts.iter().find(|a| a.may_have_run);
        first.map_or(FAR, |a| a.sent + ttl.clamp(0, FAR) - self.set.tick)
    }
}
