//! The work of the leader: it proposes policy, calendar and time, and orders actions on servers.
//!
//! All of it follows from committed state, so a new leader continues at the same step. Nothing is
//! done before an entry of the leader's own term is applied, and no action starts without a
//! majority's confirmation, requested just before, that this coordinator leads.

use super::coordinator::CoordinatorCore;
use super::interface::{Input, Now, Order};
use super::leadership_state::{ActionKey, LeaderProposal, Leadership, Proposer};
use load_balancer_maintenance::{Action, Answer, DrainCheck, Event, Outcome, Server};

impl CoordinatorCore {
    /// Returns whether it may propose events. Resets the state of the leadership in a new term.
    fn is_leading(&mut self) -> bool {
        let replica_status = self.node.replica_status();
        if self.leadership.term != replica_status.term || !replica_status.acts {
            self.leadership = Leadership {
                term: replica_status.term,
                ..Leadership::default()
            };
        }
        replica_status.acts
    }

    /// Proposes an event of its own, unless one of the same kind is pending.
    pub(super) fn propose_as_leader(&mut self, now: Now, proposal: LeaderProposal, event: &Event) {
        if self.is_leading()
            && !self.leadership.pending.contains(&proposal)
            && self
                .propose(now, Proposer::Leader(proposal.clone()), event)
                .is_ok()
        {
            self.leadership.pending.push(proposal);
        }
    }

    /// Proposes what is due by the clock.
    pub(super) fn propose_due_events(&mut self, now: Now) {
        if !self.is_leading() {
            return;
        }
        let machine = &self.node.machine().0;
        let budget = &self.settings.budget;
        if machine.budget() != Some(budget) {
            let event = Event::DisruptionBudget(budget.clone());
            self.propose_as_leader(now, LeaderProposal::DisruptionBudget, &event);
        } else if let Some(calendar) = machine.calendar_due(now.unix_ms) {
            self.propose_as_leader(now, LeaderProposal::Calendar, &calendar);
        } else if machine
            .next_wake(now.unix_ms)
            .is_some_and(|wake| wake <= now.unix_ms)
        {
            self.propose_as_leader(now, LeaderProposal::Time, &Event::Tick);
        }
        // A confirmation that is not received in time never arrives.
        let confirmation_ms = self.settings.confirmation_validity_ms;
        self.leadership.confirmation = self
            .leadership
            .confirmation
            .filter(|(_, at)| now.mono_ms.saturating_sub(*at) < confirmation_ms);
        if self.leadership.confirmation.is_none() && !self.pending_work(now).is_empty() {
            self.leadership.confirmation = Some((self.request_confirmation(), now.mono_ms));
        }
    }

    /// Returns the due actions and drain checks that are not in progress.
    fn pending_work(&self, now: Now) -> Vec<(ActionKey, Input)> {
        let machine = &self.node.machine().0;
        let actions = machine
            .due(now.unix_ms)
            .into_iter()
            .map(|action| (ActionKey::of(&action), Input::ActionResult(action, None)));
        let drain_checks = machine.drain_checks().into_iter();
        let questions = drain_checks.map(|check| {
            (
                ActionKey::of_drain_check(&check),
                Input::DrainResult(check, false),
            )
        });
        let is_free = |(key, _): &(ActionKey, Input)| {
            self.leadership
                .in_progress
                .get(key)
                .is_none_or(|expires_ms| *expires_ms <= now.mono_ms)
                && !self
                    .leadership
                    .pending
                    .contains(&LeaderProposal::Result(key.clone()))
        };
        actions.chain(questions).filter(is_free).collect()
    }

    /// Handles a majority's confirmation that this coordinator leads.
    pub(super) fn handle_confirmation(&mut self, now: Now, ticket: u64) {
        let Some((_, requested_ms)) = self
            .leadership
            .confirmation
            .filter(|(asked, _)| *asked == ticket)
        else {
            return;
        };
        self.leadership.confirmation = None;
        let until_ms = requested_ms + self.settings.confirmation_validity_ms;
        if !self.is_leading() || until_ms <= now.mono_ms {
            return;
        }
        self.leadership
            .in_progress
            .retain(|_, expires_ms| *expires_ms > now.mono_ms);
        for (key, work) in self.pending_work(now) {
            self.leadership
                .in_progress
                .insert(key, now.mono_ms + self.settings.action_timeout_ms);
            match work {
                Input::ActionResult(action, _) => self.output.actions.push(Order {
                    item: action,
                    deadline_ms: until_ms,
                }),
                Input::DrainResult(check, _) => self.output.drain_checks.push(Order {
                    item: check,
                    deadline_ms: until_ms,
                }),
                _ => {}
            }
        }
    }

    /// Handles the result of an action.
    pub(super) fn handle_action_result(
        &mut self,
        now: Now,
        action: Action,
        answer: Option<Answer>,
    ) {
        if !self.is_leading() {
            return;
        }
        let key = ActionKey::of(&action);
        self.leadership
            .in_progress
            .insert(key.clone(), now.mono_ms + self.settings.retry_delay_ms);
        if let Some(result) = answer.filter(|answer| *answer != Answer::Failed) {
            let Action {
                window,
                server,
                step,
                token,
            } = action;
            let event = Event::Acted {
                window,
                server,
                step,
                token,
                result,
            };
            self.propose_as_leader(now, LeaderProposal::Result(key), &event);
        }
    }

    /// Handles the result of a drain check.
    pub(super) fn handle_drain_result(&mut self, now: Now, check: DrainCheck, is_clear: bool) {
        if !self.is_leading() {
            return;
        }
        let key = ActionKey::of_drain_check(&check);
        self.leadership
            .in_progress
            .insert(key.clone(), now.mono_ms + self.settings.retry_delay_ms);
        if is_clear {
            let DrainCheck {
                window,
                server,
                epoch,
                ..
            } = check;
            self.propose_as_leader(
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

    /// Handles the server list of the platform.
    pub(super) fn handle_server_list(&mut self, now: Now, list: Vec<Server>) {
        if self.is_leading()
            && self.leadership.committed_list.as_ref() != Some(&list)
            && !self.leadership.pending.contains(&LeaderProposal::List)
        {
            self.leadership.proposed_list = Some(list.clone());
            self.propose_as_leader(now, LeaderProposal::List, &Event::Servers(list));
        }
    }

    /// Handles the outcome of an event of its own.
    pub(super) fn handle_own_outcome(
        &mut self,
        proposal: &LeaderProposal,
        outcome: Option<Outcome>,
    ) {
        self.leadership
            .pending
            .retain(|pending| pending != proposal);
        match (proposal, outcome) {
            (_, Some(Outcome::Refused(refusal))) => {
                let subject = match proposal {
                    LeaderProposal::List => "server list of the platform",
                    LeaderProposal::DisruptionBudget => "disruption budget",
                    LeaderProposal::Calendar => "calendar",
                    _ => return,
                };
                self.output
                    .notes
                    .push(format!("{subject} was rejected: {refusal:?}"));
            }
            (LeaderProposal::List, Some(_)) => {
                self.leadership.committed_list = self.leadership.proposed_list.take()
            }
            (LeaderProposal::Observations, Some(_)) if self.leadership.committed_list.is_some() => {
                self.leadership.has_polled = true
            }
            _ => {}
        }
    }
}
