//! Changes with what the machine keeps, and with which part answers which event.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::act::Act;
use crate::agreement::Agreement;
use crate::calendar::{Span, merged};
use crate::event::{Event, Outcome, Refusal};
use crate::request::FARTHEST_MS;
use crate::view::{CapacityView, WindowView};
use crate::window::Window;

/// The windows, what is known of the servers, and the last token. Serialized, it is the snapshot of all that.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Machine {
    /// Time of the last event; never goes back.
    pub(crate) at_ms: i64,
    /// The last token that was given.
    pub(crate) token: u64,
    /// The last window's number.
    pub(crate) last_window: u64,
    pub(crate) agreement: Option<Agreement>,
    pub(crate) calendar: Calendar,
    pub(crate) windows: BTreeMap<u64, Window>,
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

    /// Takes the next agreed event. `at_ms` is its proposer's clock, in milliseconds of Unix time; one that lies
    /// before the last event's counts as that.
    pub fn apply(&mut self, at_ms: i64, event: Event) -> Outcome {
        self.at_ms = self.at_ms.max(at_ms);
        match event {
            Event::Agreement(agreement) => match agreement.check() {
                Ok(()) => {
                    self.agreement = Some(agreement);
                    Outcome::Taken
                }
                Err(invalid) => Outcome::Refused(Refusal::Invalid(invalid)),
            },
            _ => Outcome::Refused(Refusal::NoAgreement),
        }
    }

    /// What the leader is to do now, most urgent first. `now_ms` is its own clock: a drain or take is named only
    /// while evidence of that moment holds the agreement, so a leader that was deposed unknowing stops by itself.
    pub fn due(&self, now_ms: i64) -> Vec<Act> {
        let _ = now_ms;
        Vec::new()
    }

    /// When the leader should propose [`Event::Tick`] at the latest, in milliseconds of Unix time; none if nothing
    /// waits for time to pass.
    pub fn next_wake(&self, now_ms: i64) -> Option<i64> {
        let _ = now_ms;
        None
    }

    /// The calendar that the leader should propose, if the one it has ends too soon.
    pub fn calendar_due(&self, now_ms: i64) -> Option<Event> {
        let agreement = self.agreement.as_ref()?;
        let now = now_ms.max(self.at_ms);
        if self.calendar.until_ms >= now.saturating_add(FARTHEST_MS) {
            return None;
        }
        let until_ms = now.saturating_add(FARTHEST_MS).saturating_add(RENEW_MS);
        let spans = merged(&agreement.blackouts, Span { from_ms: now, until_ms });
        Some(Event::Calendar { until_ms, spans })
    }

    /// All windows, closed ones as long as they are kept, by number.
    pub fn windows(&self) -> Vec<WindowView> {
        Vec::new()
    }

    /// What is there at a moment, and what is debited and why.
    pub fn capacity(&self, now_ms: i64) -> CapacityView {
        let _ = now_ms;
        CapacityView { rooms: Vec::new(), away: 0, most_away: 0, holds: false, debits: Vec::new() }
    }
}

/// How far a new calendar reaches beyond the farthest request, in milliseconds: one is proposed each 30 days.
const RENEW_MS: i64 = 30 * 86_400_000;
