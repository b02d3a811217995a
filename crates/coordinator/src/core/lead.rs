//! The work of the leader: it proposes policy, calendar and time, and orders actions on servers.
//!
//! All of it follows from what is agreed, so a successor goes on at the very step. Nothing is done before an entry of
//! the leader's own term is applied, and no act is begun but on a majority's word, asked for just before, that it leads.

use super::contract::{Input, Now, Order};
use super::steward::{Steward, Whose};
use load_balancer_maintenance::{Act, Answer, Event, Outcome, Server, Step, Unclear};
use std::collections::BTreeMap;

/// An event that the leader brings itself. One of each waits for agreement at a time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Own {
    Agreement,
    Calendar,
    Time,
    List,
    Evidence,
    /// The answer to an act, or a clear.
    Result(Key),
}

/// An act or a question: window, server, step (none for a question) and token.
pub(super) type Key = (u64, String, Option<Step>, u64);

/// What one leadership remembers. Nothing of it must be kept: it only spares repetition.
#[derive(Debug, Default)]
pub(super) struct Lead {
    term: u64,
    /// What waits for agreement.
    pub(super) waits: Vec<Own>,
    /// The list that was taken last in this term.
    list: Option<Vec<Server>>,
    offered: Option<Vec<Server>>,
    /// Whether a list and a round of evidence were taken in this term.
    pub(super) looked: bool,
    /// Begun, not to be begun again before that moment.
    under_way: BTreeMap<Key, u64>,
    /// A majority was asked: the ticket, and when.
    asked: Option<(u64, u64)>,
}

fn key_of(act: &Act) -> Key {
    (act.window, act.server.clone(), Some(act.step), act.token)
}

fn key_of_question(question: &Unclear) -> Key {
    (
        question.window,
        question.server.clone(),
        None,
        question.epoch,
    )
}

impl Steward {
    /// Whether it may bring events; what it remembers is that of its own term then.
    fn leads(&mut self) -> bool {
        let standing = self.node.standing();
        if self.lead.term != standing.term || !standing.acts {
            self.lead = Lead {
                term: standing.term,
                ..Lead::default()
            };
        }
        standing.acts
    }

    /// Brings an event of its own, unless one of its kind waits.
    pub(super) fn own(&mut self, now: Now, own: Own, event: &Event) {
        if self.leads()
            && !self.lead.waits.contains(&own)
            && self.propose(now, Whose::Own(own.clone()), event).is_ok()
        {
            self.lead.waits.push(own);
        }
    }

    /// Time passed.
    pub(super) fn duties(&mut self, now: Now) {
        if !self.leads() {
            return;
        }
        let machine = &self.node.machine().0;
        let agreement = &self.settings.agreement;
        if machine.agreement() != Some(agreement) {
            let event = Event::Agreement(agreement.clone());
            self.own(now, Own::Agreement, &event);
        } else if let Some(calendar) = machine.calendar_due(now.unix_ms) {
            self.own(now, Own::Calendar, &calendar);
        } else if machine
            .next_wake(now.unix_ms)
            .is_some_and(|wake| wake <= now.unix_ms)
        {
            self.own(now, Own::Time, &Event::Tick);
        }
        // A word that did not come in time never comes.
        let word_ms = self.settings.word_ms;
        self.lead.asked = self
            .lead
            .asked
            .filter(|(_, at)| now.mono_ms.saturating_sub(*at) < word_ms);
        if self.lead.asked.is_none() && !self.to_begin(now).is_empty() {
            self.lead.asked = Some((self.ask_majority(), now.mono_ms));
        }
    }

    /// What is due and not under way.
    fn to_begin(&self, now: Now) -> Vec<(Key, Input)> {
        let machine = &self.node.machine().0;
        let acts = machine
            .due(now.unix_ms)
            .into_iter()
            .map(|act| (key_of(&act), Input::Acted(act, None)));
        let questions = machine.unclear().into_iter();
        let questions = questions.map(|q| (key_of_question(&q), Input::Cleared(q, false)));
        let free = |(key, _): &(Key, Input)| {
            self.lead
                .under_way
                .get(key)
                .is_none_or(|until| *until <= now.mono_ms)
                && !self.lead.waits.contains(&Own::Result(key.clone()))
        };
        acts.chain(questions).filter(free).collect()
    }

    /// A majority says that this steward leads.
    pub(super) fn confirmed(&mut self, now: Now, ticket: u64) {
        let Some((_, at)) = self.lead.asked.filter(|(asked, _)| *asked == ticket) else {
            return;
        };
        self.lead.asked = None;
        let until_ms = at + self.settings.word_ms;
        if !self.leads() || until_ms <= now.mono_ms {
            return;
        }
        self.lead.under_way.retain(|_, until| *until > now.mono_ms);
        for (key, what) in self.to_begin(now) {
            self.lead
                .under_way
                .insert(key, now.mono_ms + self.settings.lost_ms);
            match what {
                Input::Acted(what, _) => self.output.acts.push(Order { what, until_ms }),
                Input::Cleared(what, _) => self.output.questions.push(Order { what, until_ms }),
                _ => {}
            }
        }
    }

    /// An act came to something.
    pub(super) fn acted(&mut self, now: Now, act: Act, answer: Option<Answer>) {
        if !self.leads() {
            return;
        }
        let key = key_of(&act);
        self.lead
            .under_way
            .insert(key.clone(), now.mono_ms + self.settings.again_ms);
        if let Some(result) = answer.filter(|answer| *answer != Answer::Failed) {
            let Act {
                window,
                server,
                step,
                token,
            } = act;
            let event = Event::Acted {
                window,
                server,
                step,
                token,
                result,
            };
            self.own(now, Own::Result(key), &event);
        }
    }

    /// A question came to something.
    pub(super) fn cleared(&mut self, now: Now, question: Unclear, clear: bool) {
        if !self.leads() {
            return;
        }
        let key = key_of_question(&question);
        self.lead
            .under_way
            .insert(key.clone(), now.mono_ms + self.settings.again_ms);
        if clear {
            let Unclear {
                window,
                server,
                epoch,
                ..
            } = question;
            self.own(
                now,
                Own::Result(key),
                &Event::Clear {
                    window,
                    server,
                    epoch,
                },
            );
        }
    }

    /// The platform's list came.
    pub(super) fn listed(&mut self, now: Now, list: Vec<Server>) {
        if self.leads()
            && self.lead.list.as_ref() != Some(&list)
            && !self.lead.waits.contains(&Own::List)
        {
            self.lead.offered = Some(list.clone());
            self.own(now, Own::List, &Event::Servers(list));
        }
    }

    /// An event of its own was agreed on.
    pub(super) fn answered(&mut self, own: &Own, outcome: Option<Outcome>) {
        self.lead.waits.retain(|waits| waits != own);
        match (own, outcome) {
            (_, Some(Outcome::Refused(refusal))) => {
                let what = match own {
                    Own::List => "the platform's list",
                    Own::Agreement => "the agreement",
                    Own::Calendar => "the calendar",
                    _ => return,
                };
                self.output
                    .notes
                    .push(format!("{what} cannot be taken: {refusal:?}"));
            }
            (Own::List, Some(_)) => self.lead.list = self.lead.offered.take(),
            (Own::Evidence, Some(_)) if self.lead.list.is_some() => self.lead.looked = true,
            _ => {}
        }
    }
}
