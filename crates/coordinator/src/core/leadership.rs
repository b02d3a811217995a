//! The work of the leader: it proposes policy, calendar and time, and orders actions on servers.
//!
//! All of it follows from what is agreed, so a successor goes on at the very step. Nothing is done
//! before an entry of the leader's own term is applied, and no act is begun but on a majority's
//! word, asked for just before, that it leads.

use super::coordinator::CoordinatorCore;
use super::interface::{Input, Now, Order};
use super::leadership_state::{ActionKey, LeaderProposal, Leadership, Proposer};
use load_balancer_maintenance::{Action, Answer, Event, Outcome, Server, Unclear};

impl CoordinatorCore {
    /// Whether it may bring events; what it remembers is that of its own term then.
    fn leads(&mut self) -> bool {
        let replica_status = self.node.replica_status();
        if self.leadership.term != replica_status.term || !replica_status.acts {
            self.leadership = Leadership {
                term: replica_status.term,
                ..Leadership::default()
            };
        }
        replica_status.acts
    }

    /// Brings an event of its own, unless one of its kind waits.
    pub(super) fn own(&mut self, now: Now, own: LeaderProposal, event: &Event) {
        if self.leads()
            && !self.leadership.waits.contains(&own)
            && self
                .propose(now, Proposer::Leader(own.clone()), event)
                .is_ok()
        {
            self.leadership.waits.push(own);
        }
    }

    /// Time passed.
    pub(super) fn propose_due(&mut self, now: Now) {
        if !self.leads() {
            return;
        }
        let machine = &self.node.machine().0;
        let budget = &self.settings.budget;
        if machine.budget() != Some(budget) {
            let event = Event::DisruptionBudget(budget.clone());
            self.own(now, LeaderProposal::DisruptionBudget, &event);
        } else if let Some(calendar) = machine.calendar_due(now.unix_ms) {
            self.own(now, LeaderProposal::Calendar, &calendar);
        } else if machine
            .next_wake(now.unix_ms)
            .is_some_and(|wake| wake <= now.unix_ms)
        {
            self.own(now, LeaderProposal::Time, &Event::Tick);
        }
        // A confirmation that did not come in time never comes.
        let confirmation_ms = self.settings.confirmation_ms;
        self.leadership.asked = self
            .leadership
            .asked
            .filter(|(_, at)| now.mono_ms.saturating_sub(*at) < confirmation_ms);
        if self.leadership.asked.is_none() && !self.to_begin(now).is_empty() {
            self.leadership.asked = Some((self.ask_majority(), now.mono_ms));
        }
    }

    /// What is due and not under way.
    fn to_begin(&self, now: Now) -> Vec<(ActionKey, Input)> {
        let machine = &self.node.machine().0;
        let acts = machine
            .due(now.unix_ms)
            .into_iter()
            .map(|act| (ActionKey::of(&act), Input::Acted(act, None)));
        let questions = machine.unclear().into_iter();
        let questions = questions.map(|q| (ActionKey::of_question(&q), Input::Cleared(q, false)));
        let free = |(key, _): &(ActionKey, Input)| {
            self.leadership
                .in_progress
                .get(key)
                .is_none_or(|until| *until <= now.mono_ms)
                && !self
                    .leadership
                    .waits
                    .contains(&LeaderProposal::Result(key.clone()))
        };
        acts.chain(questions).filter(free).collect()
    }

    /// A majority says that this coordinator leads.
    pub(super) fn confirmed(&mut self, now: Now, ticket: u64) {
        let Some((_, at)) = self.leadership.asked.filter(|(asked, _)| *asked == ticket) else {
            return;
        };
        self.leadership.asked = None;
        let until_ms = at + self.settings.confirmation_ms;
        if !self.leads() || until_ms <= now.mono_ms {
            return;
        }
        self.leadership
            .in_progress
            .retain(|_, until| *until > now.mono_ms);
        for (key, what) in self.to_begin(now) {
            self.leadership
                .in_progress
                .insert(key, now.mono_ms + self.settings.lost_ms);
            match what {
                Input::Acted(what, _) => self.output.acts.push(Order { what, until_ms }),
                Input::Cleared(what, _) => self.output.questions.push(Order { what, until_ms }),
                _ => {}
            }
        }
    }

    /// An act came to something.
    pub(super) fn acted(&mut self, now: Now, act: Action, answer: Option<Answer>) {
        if !self.leads() {
            return;
        }
        let key = ActionKey::of(&act);
        self.leadership
            .in_progress
            .insert(key.clone(), now.mono_ms + self.settings.again_ms);
        if let Some(result) = answer.filter(|answer| *answer != Answer::Failed) {
            let Action {
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
            self.own(now, LeaderProposal::Result(key), &event);
        }
    }

    /// A question came to something.
    pub(super) fn cleared(&mut self, now: Now, question: Unclear, clear: bool) {
        if !self.leads() {
            return;
        }
        let key = ActionKey::of_question(&question);
        self.leadership
            .in_progress
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
                LeaderProposal::Result(key),
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
            && self.leadership.list.as_ref() != Some(&list)
            && !self.leadership.waits.contains(&LeaderProposal::List)
        {
            self.leadership.offered = Some(list.clone());
            self.own(now, LeaderProposal::List, &Event::Servers(list));
        }
    }

    /// An event of its own was agreed on.
    pub(super) fn answered(&mut self, own: &LeaderProposal, outcome: Option<Outcome>) {
        self.leadership.waits.retain(|waits| waits != own);
        match (own, outcome) {
            (_, Some(Outcome::Refused(refusal))) => {
                let what = match own {
                    LeaderProposal::List => "the platform's list",
                    LeaderProposal::DisruptionBudget => "the agreement",
                    LeaderProposal::Calendar => "the calendar",
                    _ => return,
                };
                self.output
                    .notes
                    .push(format!("{what} cannot be taken: {refusal:?}"));
            }
            (LeaderProposal::List, Some(_)) => {
                self.leadership.list = self.leadership.offered.take()
            }
            (LeaderProposal::Observations, Some(_)) if self.leadership.list.is_some() => {
                self.leadership.looked = true
            }
            _ => {}
        }
    }
}
