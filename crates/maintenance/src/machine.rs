//! The maintenance state machine: its state, and the dispatch of events.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::calendar::{Span, merged_spans};
use crate::disruption_budget::{DisruptionBudget, MAX_RULES};
use crate::event::{Event, Outcome, Refusal};
use crate::invalid::Invalid;
use crate::known_server::ServerState;
use crate::request::MAX_HORIZON_MS;
use crate::window::Window;

/// Windows, servers and the last token. Its serialized form is the snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Machine {
    /// Time of the last event; never decreases.
    pub(crate) at_ms: i64,
    /// The last token that was issued.
    pub(crate) token: u64,
    /// The last window's number.
    pub(crate) last_window: u64,
    #[serde(rename = "agreement")]
    pub(crate) budget: Option<DisruptionBudget>,
    /// How many disruption budgets there have been.
    #[serde(rename = "agreements")]
    pub(crate) budgets: u64,
    pub(crate) calendar: Calendar,
    pub(crate) servers: BTreeMap<String, ServerState>,
    pub(crate) windows: BTreeMap<u64, Window>,
    /// The token of each zone's last admission.
    pub(crate) turns: BTreeMap<String, u64>,
    /// Listed servers that observations did not show in service after the last event.
    pub(crate) down: BTreeSet<String>,
    /// Whether anything that may change the plan has happened since the last one.
    pub(crate) changed: bool,
    #[cfg(test)]
    pub(crate) planted: crate::planted_faults::PlantedFault,
}

/// The blackouts' spans, as far as they are known.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct Calendar {
    pub(crate) until_ms: i64,
    pub(crate) spans: Vec<Span>,
}

impl Machine {
    /// An empty machine, which admits nothing.
    pub fn new() -> Self {
        Machine::default()
    }

    /// Applies the next event of the log. `at_ms` is its proposer's clock, in milliseconds of Unix
    /// time; a time before the last event's counts as that. If it is earlier by more than
    /// observations remain valid, one of the two clocks was wrong, and all observations are dropped
    /// until time advances.
    pub fn apply(&mut self, at_ms: i64, event: Event) -> Outcome {
        let max_staleness_ms = self
            .budget
            .as_ref()
            .map_or(i64::MAX, |budget| budget.evidence_bound_ms);
        let event = if self.at_ms.saturating_sub(at_ms) > max_staleness_ms {
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
        self.at_ms = self.at_ms.max(at_ms.clamp(0, MAX_TIME_MS));
        let outcome = match event {
            Event::Ask(request) => self.request_window(request),
            Event::Cancel { window } => self.cancel(window),
            Event::Servers(list) => self.set_servers(list),
            Event::Observations(observations) => self.record_observations(observations),
            Event::Clear {
                window,
                server,
                epoch,
            } => self.record_clear(window, &server, epoch),
            Event::Finished { window, server } => self.record_finished(window, &server),
            Event::Acted {
                window,
                server,
                step,
                token,
                result,
            } => self.record_result(window, &server, step, token, result),
            Event::Tick => Outcome::Taken,
            Event::DisruptionBudget(budget) => self.set_budget(budget),
            Event::Calendar {
                budget,
                until_ms,
                spans,
            } => self.set_calendar(budget, until_ms, spans),
        };
        self.advance();
        outcome
    }

    fn set_budget(&mut self, budget: DisruptionBudget) -> Outcome {
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

    fn set_calendar(&mut self, budget: u64, until_ms: i64, spans: Vec<Span>) -> Outcome {
        // Proposed before a later disruption budget was committed.
        if budget != self.budgets {
            return Outcome::Ignored;
        }
        let is_ordered = spans
            .windows(2)
            .all(|pair| pair[0].until_ms <= pair[1].from_ms);
        if spans.len() > MAX_SPANS
            || !is_ordered
            || spans.iter().any(|span| span.until_ms <= span.from_ms)
        {
            let reason = format!("must be in order, apart, and at most {MAX_SPANS}");
            return Outcome::Refused(Refusal::Invalid(Invalid::new("spans", reason)));
        }
        self.calendar = Calendar { until_ms, spans };
        self.changed = true;
        Outcome::Taken
    }

    /// The calendar that the leader should propose if the current one ends too soon.
    pub fn calendar_due(&self, now_ms: i64) -> Option<Event> {
        let budget = self
            .budget
            .as_ref()
            .filter(|budget| !budget.blackouts.is_empty())?;
        let now = now_ms.max(self.at_ms);
        if self.calendar.until_ms >= now.saturating_add(MAX_HORIZON_MS) {
            return None;
        }
        let until_ms = now
            .saturating_add(MAX_HORIZON_MS)
            .saturating_add(CALENDAR_RENEWAL_MS);
        let spans = merged_spans(
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

/// How far a new calendar extends beyond the latest possible request, in milliseconds: one is
/// proposed every 30 days.
const CALENDAR_RENEWAL_MS: i64 = 30 * 86_400_000;
/// The latest time that an event may have, in milliseconds of Unix time: the end of the year 9999.
const MAX_TIME_MS: i64 = 253_402_300_799_999;
/// Most spans in a calendar: each blackout of a disruption budget once a month, over the time that
/// a calendar covers.
const MAX_SPANS: usize = 16 * MAX_RULES;
