//! The list of endpoints as discovery tells it. Changes with how a list is followed.

use crate::state::*;
use std::collections::BTreeSet;

/// Longest wait (us) before a broken push is asked for anew; the first is an eighth of it or less.
const PUSH_WAIT: f64 = 200_000.0;
/// The same where lists are asked for: with it two calls may be lost before a change counts as told.
const ASK_WAIT: f64 = 400_000.0;

impl Balancer {
    /// Follows the list. Draining, gone and missing endpoints get nothing from now on.
    pub(crate) fn listed(&mut self, now: Micros, update: ListUpdate) {
        let entries = match update {
            ListUpdate::Failed => {
                self.fleet.ask_failures += 1;
                // Where changes are pushed, what is missed counts as told, and asking costs nobody anything.
                let (pushed, asked) = (
                    self.set.discovery == Discovery::Pushed,
                    self.set.rules.ask_within,
                );
                let most = if pushed {
                    PUSH_WAIT
                } else {
                    (asked as f64 / 2.0).clamp(PUSH_WAIT, ASK_WAIT)
                };
                let grown =
                    (most / 16.0 * f64::from(1u32 << self.fleet.ask_failures.min(8))).min(most);
                let delay = grown * (0.5 + 0.5 * self.rng.f64());
                return self.timers.at(later(now, delay), Wake::Discover);
            }
            ListUpdate::Delta(entries) => entries,
            ListUpdate::Full(entries) | ListUpdate::Cached(entries) => {
                self.endpoints
                    .iter_mut()
                    .for_each(|e| (e.listed, e.ready) = (false, false));
                entries
            }
        };
        self.fleet.ask_failures = 0;
        for l in entries.into_iter().filter(|l| l.endpoint < MOST_ENDPOINTS) {
            let i = l.endpoint;
            self.endpoints
                .resize_with(self.endpoints.len().max(i + 1), Endpoint::default);
            if !self.endpoints[i].held {
                let (left, cap, slow) = (self.rng.f64(), self.first_cap(), self.fleet.slow);
                self.fleet
                    .ring
                    .insert(self.rng.usize(..=self.fleet.ring.len()), i);
                self.endpoints[i] = Endpoint {
                    held: true,
                    slow,
                    heard: now,
                    left,
                    cap,
                    ..Endpoint::default()
                };
            }
            let e = &mut self.endpoints[i];
            (e.listed, e.ready) = (l.status != Status::Gone, l.status == Status::Ready);
            (e.zone, e.cell, e.kind, e.alias) = (l.zone, l.cell, l.kind, l.alias);
            e.size = if l.size > 0.0 {
                l.size.clamp(1e-3, 1e6)
            } else {
                1.0
            };
            if l.started > e.started {
                // A new process: what was known of the old one is void, its circuit too. What it gets while
                // cold is bounded, and by rationed trials a whole site would take half a minute to come back.
                (e.errors, e.slow, e.unreached) = (0.0, self.fleet.slow, 0);
                (e.circuit, e.openings, e.word) = (Circuit::Closed, 0, None);
                self.chill(now, i, l.started.unwrap_or(now));
            }
        }
        self.drop_gone();
    }

    /// Drops endpoints that are gone, once no open request has been there: who is replaced over and over must
    /// cost neither memory nor time at each pick.
    pub(crate) fn drop_gone(&mut self) {
        let tried: BTreeSet<_> = self
            .requests
            .values()
            .flat_map(|r| &r.attempts)
            .map(|a| a.endpoint)
            .collect();
        for (i, e) in self.endpoints.iter_mut().enumerate() {
            if e.held && !e.listed && e.flights.is_empty() && !tried.contains(&i) {
                *e = Endpoint::default();
            }
        }
        let endpoints = &self.endpoints;
        self.fleet.ring.retain(|i| endpoints[*i].held);
        let cells: BTreeSet<_> = endpoints
            .iter()
            .filter(|e| e.held)
            .map(|e| e.cell)
            .collect();
        self.fleet.groups.retain(|cell, _| cells.contains(cell));
    }
}
