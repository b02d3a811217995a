//! The maintenance state machine: its state, and which part handles which event.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::calendar::{Span, merged};
use crate::disruption_budget::{DisruptionBudget, MAX_RULES};
use crate::event::{Event, Outcome, Refusal};
use crate::invalid::Invalid;
use crate::known_server::Known;
use crate::request::MAX_HORIZON_MS;
use crate::window::Window;

/// The windows, what is known of the servers, and the last token. Serialized, it is the snapshot of
/// all that.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Machine {
    /// Time of the last event; never goes back.
    pub(crate) at_ms: i64,
    /// The last token that was given.
    pub(crate) token: u64,
    /// The last window's number.
    pub(crate) last_window: u64,
    #[serde(rename = "agreement")]
    pub(crate) budget: Option<DisruptionBudget>,
    /// How many disruption budgets there have been.
    #[serde(rename = "agreements")]
    pub(crate) budgets: u64,
    pub(crate) calendar: Calendar,
    pub(crate) servers: BTreeMap<String, Known>,
    pub(crate) windows: BTreeMap<u64, Window>,
    /// The token of each zone's last grant.
    pub(crate) turns: BTreeMap<String, u64>,
    /// Listed servers that observations did not hold for there after the last event.
    pub(crate) down: BTreeSet<String>,
    /// Whether something happened since the last plan that may change it.
    pub(crate) changed: bool,
    #[cfg(test)]
    pub(crate) planted: crate::planted_faults::PlantedFault,
}

/// The blackouts' times, as far as they are known.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct Calendar {
    pub(crate) until_ms: i64,
    pub(crate) spans: Vec<Span>,
}

impl Machine {
    /// A machine that knows nothing and grants nothing.
    pub fn new() -> Self {
        Machine::default()
    }

    /// Takes the next agreed event. `at_ms` is its proposer's clock, in milliseconds of Unix time;
    /// one that lies before the last event's counts as that. If it lies before it by more than
    /// observations live, one of the two clocks was wrong, and no observations are believed before
    /// time goes on.
    pub fn apply(&mut self, at_ms: i64, event: Event) -> Outcome {
        let bound_ms = self
            .budget
            .as_ref()
            .map_or(i64::MAX, |budget| budget.evidence_bound_ms);
        let event = if self.at_ms.saturating_sub(at_ms) > bound_ms {
            self.servers
                .values_mut()
                .for_each(|known| known.seen = None);
            if let Event::Observations(_) = event {
                Event::Tick
            } else {
                event
            }
        } else {
            event
        };
        self.at_ms = self.at_ms.max(at_ms.clamp(0, LAST_MS));
        let outcome = match event {
            Event::Ask(request) => self.ask(request),
            Event::Cancel { window } => self.cancel(window),
            Event::Servers(list) => self.list(list),
            Event::Observations(observations) => self.observe(observations),
            Event::Clear {
                window,
                server,
                epoch,
            } => self.clear(window, &server, epoch),
            Event::Finished { window, server } => self.finished(window, &server),
            Event::Acted {
                window,
                server,
                step,
                token,
                result,
            } => self.record_result(window, &server, step, token, result),
            Event::Tick => Outcome::Taken,
            Event::DisruptionBudget(budget) => self.agree(budget),
            Event::Calendar {
                budget,
                until_ms,
                spans,
            } => self.dates(budget, until_ms, spans),
        };
        self.advance();
        outcome
    }

    fn agree(&mut self, budget: DisruptionBudget) -> Outcome {
        if let Err(invalid) = budget.check() {
            return Outcome::Refused(Refusal::Invalid(invalid));
        }
        if self.budget.as_ref() == Some(&budget) {
            return Outcome::Ignored;
        }
        if self
            .budget
            .as_ref()
            .is_none_or(|last| last.blackouts != budget.blackouts)
        {
            self.calendar = Calendar::default();
        }
        self.budget = Some(budget);
        self.budgets += 1;
        self.changed = true;
        Outcome::Taken
    }

    fn dates(&mut self, budget: u64, until_ms: i64, spans: Vec<Span>) -> Outcome {
        // Proposed before another disruption budget was agreed on.
        if budget != self.budgets {
            return Outcome::Ignored;
        }
        let ordered = spans
            .windows(2)
            .all(|pair| pair[0].until_ms <= pair[1].from_ms);
        if spans.len() > MAX_SPANS
            || !ordered
            || spans.iter().any(|span| span.until_ms <= span.from_ms)
        {
            let reason = format!("must be in order, apart, and at most {MAX_SPANS}");
            return Outcome::Refused(Refusal::Invalid(Invalid::new("spans", reason)));
        }
        self.calendar = Calendar { until_ms, spans };
        self.changed = true;
        Outcome::Taken
    }

    /// The calendar that the leader should propose, if the one it has ends too soon.
    pub fn calendar_due(&self, now_ms: i64) -> Option<Event> {
        let budget = self
            .budget
            .as_ref()
            .filter(|budget| !budget.blackouts.is_empty())?;
        let now = now_ms.max(self.at_ms);
        if self.calendar.until_ms >= now.saturating_add(MAX_HORIZON_MS) {
            return None;
        }
        let until_ms = now.saturating_add(MAX_HORIZON_MS).saturating_add(RENEW_MS);
        let spans = merged(
            &budget.blackouts,
            Span {
                from_ms: now,
                until_ms,
            },
        );
        Some(Event::Calendar {
            budget: self.budgets,
            until_ms,
            spans,
        })
    }
}

/// How far a new calendar reaches beyond the farthest request, in milliseconds: one is proposed
/// each 30 days.
const RENEW_MS: i64 = 30 * 86_400_000;
/// The last moment that an event may have, in milliseconds of Unix time: the end of the year 9999.
const LAST_MS: i64 = 253_402_300_799_999;
/// Most times in a calendar: each blackout of a disruption budget once a month, in the time that a
/// calendar reaches.
const MAX_SPANS: usize = 16 * MAX_RULES;
