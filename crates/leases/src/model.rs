//! An exhaustive model: two processes claim one task, leaders change, and messages arrive at any
//! time, any number of times, or never.

mod explore;
mod scope;

use crate::{
    Claimant, Event, FencingGate, Holder, HolderMonitor, LeaseMessage, LeaseTable, LeaseTerms,
    Outcome, Refusal,
};
use scope::{PlantedFault, Scope};
use stateright::{Model, Property};
use std::collections::BTreeSet;

const NAMES: [&str; 2] = ["a", "b"];
const TASK: &str = "d";
/// The length of a lease, in milliseconds, and the time that passes in one step.
const LEASE_MS: u64 = 300;
const STEP_MS: u64 = 100;
/// A third of a lease: the one step by which a holder's clock may fall behind.
const RATE_PERMILLE: u64 = 334;

struct Lease(PlantedFault, Scope);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ModelState {
    tasks: LeaseTable,
    /// The state that coordinators fall back to if they lose their last event in a crash.
    before_last_event: Option<LeaseTable>,
    holder_monitor: HolderMonitor,
    now: u64,
    /// Steps by which each holder's clock is behind, and whether the holder is suspended.
    clock_lag_steps: [u64; 2],
    suspended: [bool; 2],
    holders: [Holder; 2],
    incarnations: [u64; 2],
    /// Sender, its incarnation and the message's number.
    messages: BTreeSet<(usize, u64, u64, Event)>,
    answers: BTreeSet<(usize, u64, Outcome)>,
    /// Actions in transit: token and sender.
    actions_in_transit: BTreeSet<(u64, usize)>,
    fencing_gate: FencingGate,
    /// The highest token by which an action took effect, and its sender.
    last_effect: (u64, usize),
    /// An action took effect by a lower token than before, or by the same token of another process.
    order_violated: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    AdvanceTime,
    /// Time passes, but not by this holder's clock.
    AdvanceTimeSlowClock(usize),
    Tick(usize),
    ToggleSuspended(usize),
    Crash(usize),
    Release(usize),
    Act(usize),
    LeaseMessage(usize, u64, u64, Event),
    Answer(usize, u64, Outcome),
    Effect(u64, usize),
    HolderMonitor,
    ChangeLeader,
    LoseLastEvent,
}

fn claimant(index: usize, incarnation: u64) -> Claimant {
    let (name, zone) = (NAMES[index].to_owned(), String::new());
    Claimant {
        name,
        incarnation,
        zone,
        rank: 0,
        lease_ms: LEASE_MS,
    }
}

fn holder(index: usize, incarnation: u64) -> Holder {
    // Pauses are effectively unlimited, so that in the model only the clock and the fencing gate
    // end a holder's right to act.
    Holder::new(
        TASK,
        claimant(index, incarnation),
        LeaseTerms {
            clock_drift_permille: RATE_PERMILLE,
            max_pause_ms: 100 * LEASE_MS,
        },
    )
}

impl ModelState {
    fn clock(&self, index: usize) -> u64 {
        self.now - self.clock_lag_steps[index] * STEP_MS
    }

    fn may_act(&self, index: usize) -> Option<u64> {
        let grant = self.holders[index]
            .may_act(self.clock(index))
            .filter(|_| !self.suspended[index])?;
        Some(grant.token)
    }

    fn apply(&mut self, fault: PlantedFault, event: Event) -> Outcome {
        self.before_last_event = fault.loses_events.then(|| self.tasks.clone());
        self.tasks.apply(event)
    }
}

impl Model for Lease {
    type State = ModelState;
    type Action = Step;

    fn init_states(&self) -> Vec<ModelState> {
        let mut moment = ModelState {
            tasks: LeaseTable::default(),
            before_last_event: None,
            holder_monitor: HolderMonitor::default(),
            now: STEP_MS,
            clock_lag_steps: [0; 2],
            suspended: [false; 2],
            holders: [holder(0, 1), holder(1, 1)],
            incarnations: [1; 2],
            messages: BTreeSet::new(),
            answers: BTreeSet::new(),
            actions_in_transit: BTreeSet::new(),
            fencing_gate: FencingGate::default(),
            last_effect: (0, 0),
            order_violated: false,
        };
        for who in (0..2).filter(|_| self.1.starts_held) {
            if let Some(LeaseMessage { number, event }) = moment.holders[who].tick(moment.now) {
                let outcome = moment.apply(self.0, event);
                if self.1.grant_received {
                    moment.holders[who].receive(moment.now, number, &outcome);
                } else {
                    moment.answers.insert((who, number, outcome));
                }
            }
        }
        if self.1.starts_held {
            moment.holder_monitor.due(moment.now, &moment.tasks, 0);
        }
        vec![moment]
    }

    fn actions(&self, moment: &ModelState, actions: &mut Vec<Step>) {
        actions.extend([Step::AdvanceTime, Step::HolderMonitor, Step::ChangeLeader]);
        for who in 0..2 {
            if self.1.faults && moment.clock_lag_steps[who] == 0 {
                actions.push(Step::AdvanceTimeSlowClock(who));
            }
            if !moment.suspended[who] {
                actions.extend([Step::Tick(who), Step::Release(who)]);
            }
            if self.1.faults {
                actions.extend([Step::ToggleSuspended(who), Step::Crash(who)]);
            }
            if moment.may_act(who).is_some() {
                actions.push(Step::Act(who));
            }
        }
        actions.extend(
            moment
                .messages
                .iter()
                .cloned()
                .map(|(who, incarnation, number, event)| {
                    Step::LeaseMessage(who, incarnation, number, event)
                }),
        );
        let receive = moment
            .answers
            .iter()
            .filter(|(who, ..)| !moment.suspended[*who])
            .cloned();
        actions.extend(receive.map(|(who, number, outcome)| Step::Answer(who, number, outcome)));
        actions.extend(
            moment
                .actions_in_transit
                .iter()
                .map(|(token, who)| Step::Effect(*token, *who)),
        );
        if self.0.loses_events {
            actions.push(Step::LoseLastEvent);
        }
    }

    fn next_state(&self, before: &ModelState, action: Step) -> Option<ModelState> {
        let mut moment = before.clone();
        match action {
            Step::AdvanceTime => moment.now += STEP_MS,
            Step::AdvanceTimeSlowClock(who) => {
                moment.now += STEP_MS;
                moment.clock_lag_steps[who] += 1;
            }
            Step::Tick(who) => {
                let LeaseMessage { number, event } = moment.holders[who].tick(before.clock(who))?;
                moment
                    .messages
                    .insert((who, before.incarnations[who], number, event));
            }
            Step::ToggleSuspended(who) => moment.suspended[who] = !moment.suspended[who],
            Step::Crash(who) => {
                moment.incarnations[who] += 1;
                moment.holders[who] = holder(who, moment.incarnations[who]);
                moment.suspended[who] = false;
                // Answers to the previous incarnation reach no one.
                moment.answers.retain(|(to, ..)| *to != who);
            }
            Step::Release(who) => moment.holders[who].release(before.clock(who), None, true),
            Step::Act(who) => {
                moment
                    .actions_in_transit
                    .insert((before.may_act(who)?, who));
            }
            Step::LeaseMessage(who, incarnation, number, event) => {
                if self.1.deliver_once {
                    moment
                        .messages
                        .remove(&(who, incarnation, number, event.clone()));
                }
                let outcome = moment.apply(self.0, event);
                if incarnation == moment.incarnations[who] {
                    moment.answers.insert((who, number, outcome));
                }
            }
            Step::Answer(who, number, outcome) => {
                let now = before.clock(who);
                if self.0.counts_from_answer && matches!(outcome, Outcome::Granted { .. }) {
                    // As if its message had been sent only now.
                    moment.holders[who].restamp_message(now, number);
                }
                moment.holders[who].receive(now, number, &outcome);
                if self.1.deliver_once {
                    moment.answers.remove(&(who, number, outcome));
                }
            }
            Step::Effect(token, who) => {
                moment.actions_in_transit.remove(&(token, who));
                if self.0.no_fencing_gate || moment.fencing_gate.check(TASK, token, 1).is_ok() {
                    moment.order_violated |= token < moment.last_effect.0
                        || (token == moment.last_effect.0 && who != moment.last_effect.1);
                    moment.last_effect = moment.last_effect.max((token, who));
                }
            }
            Step::HolderMonitor => {
                let now = if self.0.no_observation_period {
                    u64::MAX
                } else {
                    moment.now
                };
                for event in moment.holder_monitor.due(now, &before.tasks, 1) {
                    moment.apply(self.0, event);
                }
                if self.0.no_observation_period {
                    moment.holder_monitor = HolderMonitor::default();
                    moment.holder_monitor.due(0, &moment.tasks, 0);
                }
            }
            Step::ChangeLeader => moment.holder_monitor = HolderMonitor::default(),
            Step::LoseLastEvent => moment.tasks = moment.before_last_event.take()?,
        }
        (moment != *before).then_some(moment)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one holder", |_, m: &ModelState| {
                m.may_act(0).is_none() || m.may_act(1).is_none()
            }),
            Property::always("in order", |_, m: &ModelState| !m.order_violated),
            Property::always("tokens grow", |_, m: &ModelState| {
                m.fencing_gate
                    .highest_token(TASK)
                    .is_none_or(|seen| seen >= m.last_effect.0)
            }),
            Property::sometimes("taken again", |_, m: &ModelState| m.last_effect.0 >= 2),
            Property::sometimes("refused", |_, m: &ModelState| {
                let refused = |(.., outcome): &(usize, u64, Outcome)| {
                    *outcome == Outcome::Refused(Refusal::NotYours)
                };
                m.answers.iter().any(refused)
            }),
        ]
    }
}
