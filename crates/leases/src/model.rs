//! An exhaustive model: two processes that want one task, leaders that change, and messages that
//! may arrive at any time, any number of times, or never.

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
/// A lease, in milliseconds, and how much time passes in a step.
const LEASE_MS: u64 = 300;
const STEP_MS: u64 = 100;
/// A third of a lease: one step that a holder's clock may fall behind.
const RATE_PERMILLE: u64 = 334;

struct Lease(PlantedFault, Scope);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Moment {
    tasks: LeaseTable,
    /// What a crash of those who agree goes back to, where they forget.
    last: Option<LeaseTable>,
    holder_monitor: HolderMonitor,
    now: u64,
    /// Steps by which each holder's clock is behind, and whether it is stopped.
    behind: [u64; 2],
    stopped: [bool; 2],
    holders: [Holder; 2],
    lives: [u64; 2],
    /// Who said it in which incarnation, its number.
    messages: BTreeSet<(usize, u64, u64, Event)>,
    answers: BTreeSet<(usize, u64, Outcome)>,
    /// Acts on their way: token and who.
    acts: BTreeSet<(u64, usize)>,
    fencing_gate: FencingGate,
    /// The highest token by which something was done, and by whom.
    done: (u64, usize),
    /// Something was done by an older token than before, or by one token of two processes.
    broken: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Move {
    Pass,
    /// Time passes, and this one's clock does not see it.
    PassSlow(usize),
    Beat(usize),
    Stop(usize),
    Crash(usize),
    GiveBack(usize),
    Act(usize),
    LeaseMessage(usize, u64, u64, Event),
    Answer(usize, u64, Outcome),
    Effect(u64, usize),
    HolderMonitor,
    NewLeader,
    Forget,
}

fn claimant(who: usize, incarnation: u64) -> Claimant {
    let (name, zone) = (NAMES[who].to_owned(), String::new());
    Claimant {
        name,
        incarnation,
        zone,
        rank: 0,
        lease_ms: LEASE_MS,
    }
}

fn holder(who: usize, incarnation: u64) -> Holder {
    // A stop ends a holder's right in the model only by its clock and the gate, so that these are
    // what is tried.
    Holder::new(
        TASK,
        claimant(who, incarnation),
        LeaseTerms {
            rate_permille: RATE_PERMILLE,
            pause_ms: 100 * LEASE_MS,
        },
    )
}

impl Moment {
    fn clock(&self, who: usize) -> u64 {
        self.now - self.behind[who] * STEP_MS
    }

    fn may_act(&self, who: usize) -> Option<u64> {
        let right = self.holders[who]
            .may_act(self.clock(who))
            .filter(|_| !self.stopped[who])?;
        Some(right.token)
    }

    fn agree(&mut self, planted: PlantedFault, event: Event) -> Outcome {
        self.last = planted.forgets.then(|| self.tasks.clone());
        self.tasks.apply(event)
    }
}

impl Model for Lease {
    type State = Moment;
    type Action = Move;

    fn init_states(&self) -> Vec<Moment> {
        let mut moment = Moment {
            tasks: LeaseTable::default(),
            last: None,
            holder_monitor: HolderMonitor::default(),
            now: STEP_MS,
            behind: [0; 2],
            stopped: [false; 2],
            holders: [holder(0, 1), holder(1, 1)],
            lives: [1; 2],
            messages: BTreeSet::new(),
            answers: BTreeSet::new(),
            acts: BTreeSet::new(),
            fencing_gate: FencingGate::default(),
            done: (0, 0),
            broken: false,
        };
        for who in (0..2).filter(|_| self.1.held) {
            if let Some(LeaseMessage { number, event }) = moment.holders[who].tick(moment.now) {
                let outcome = moment.agree(self.0, event);
                if self.1.receive {
                    moment.holders[who].receive(moment.now, number, &outcome);
                } else {
                    moment.answers.insert((who, number, outcome));
                }
            }
        }
        if self.1.held {
            moment.holder_monitor.due(moment.now, &moment.tasks, 0);
        }
        vec![moment]
    }

    fn actions(&self, moment: &Moment, actions: &mut Vec<Move>) {
        actions.extend([Move::Pass, Move::HolderMonitor, Move::NewLeader]);
        for who in 0..2 {
            if self.1.faults && moment.behind[who] == 0 {
                actions.push(Move::PassSlow(who));
            }
            if !moment.stopped[who] {
                actions.extend([Move::Beat(who), Move::GiveBack(who)]);
            }
            if self.1.faults {
                actions.extend([Move::Stop(who), Move::Crash(who)]);
            }
            if moment.may_act(who).is_some() {
                actions.push(Move::Act(who));
            }
        }
        actions.extend(
            moment
                .messages
                .iter()
                .cloned()
                .map(|(who, incarnation, number, event)| {
                    Move::LeaseMessage(who, incarnation, number, event)
                }),
        );
        let receive = moment
            .answers
            .iter()
            .filter(|(who, ..)| !moment.stopped[*who])
            .cloned();
        actions.extend(receive.map(|(who, number, outcome)| Move::Answer(who, number, outcome)));
        actions.extend(
            moment
                .acts
                .iter()
                .map(|(token, who)| Move::Effect(*token, *who)),
        );
        if self.0.forgets {
            actions.push(Move::Forget);
        }
    }

    fn next_state(&self, before: &Moment, action: Move) -> Option<Moment> {
        let mut moment = before.clone();
        match action {
            Move::Pass => moment.now += STEP_MS,
            Move::PassSlow(who) => {
                moment.now += STEP_MS;
                moment.behind[who] += 1;
            }
            Move::Beat(who) => {
                let LeaseMessage { number, event } = moment.holders[who].tick(before.clock(who))?;
                moment
                    .messages
                    .insert((who, before.lives[who], number, event));
            }
            Move::Stop(who) => moment.stopped[who] = !moment.stopped[who],
            Move::Crash(who) => {
                moment.lives[who] += 1;
                moment.holders[who] = holder(who, moment.lives[who]);
                moment.stopped[who] = false;
                // The answers of the last incarnation find nobody.
                moment.answers.retain(|(to, ..)| *to != who);
            }
            Move::GiveBack(who) => moment.holders[who].release(before.clock(who), None, true),
            Move::Act(who) => {
                moment.acts.insert((before.may_act(who)?, who));
            }
            Move::LeaseMessage(who, incarnation, number, event) => {
                if self.1.once {
                    moment
                        .messages
                        .remove(&(who, incarnation, number, event.clone()));
                }
                let outcome = moment.agree(self.0, event);
                if incarnation == moment.lives[who] {
                    moment.answers.insert((who, number, outcome));
                }
            }
            Move::Answer(who, number, outcome) => {
                let now = before.clock(who);
                if self.0.from_answer && matches!(outcome, Outcome::Granted { .. }) {
                    // As if its message had been sent only now.
                    moment.holders[who].sent_now(now, number);
                }
                moment.holders[who].receive(now, number, &outcome);
                if self.1.once {
                    moment.answers.remove(&(who, number, outcome));
                }
            }
            Move::Effect(token, who) => {
                moment.acts.remove(&(token, who));
                if self.0.no_gate || moment.fencing_gate.pass(TASK, token, 1).is_ok() {
                    moment.broken |=
                        token < moment.done.0 || (token == moment.done.0 && who != moment.done.1);
                    moment.done = moment.done.max((token, who));
                }
            }
            Move::HolderMonitor => {
                let now = if self.0.no_wait { u64::MAX } else { moment.now };
                for event in moment.holder_monitor.due(now, &before.tasks, 1) {
                    moment.agree(self.0, event);
                }
                if self.0.no_wait {
                    moment.holder_monitor = HolderMonitor::default();
                    moment.holder_monitor.due(0, &moment.tasks, 0);
                }
            }
            Move::NewLeader => moment.holder_monitor = HolderMonitor::default(),
            Move::Forget => moment.tasks = moment.last.take()?,
        }
        (moment != *before).then_some(moment)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one holder", |_, m: &Moment| {
                m.may_act(0).is_none() || m.may_act(1).is_none()
            }),
            Property::always("in order", |_, m: &Moment| !m.broken),
            Property::always("tokens grow", |_, m: &Moment| {
                m.fencing_gate
                    .seen(TASK)
                    .is_none_or(|seen| seen >= m.done.0)
            }),
            Property::sometimes("taken again", |_, m: &Moment| m.done.0 >= 2),
            Property::sometimes("refused", |_, m: &Moment| {
                let refused = |(.., outcome): &(usize, u64, Outcome)| {
                    *outcome == Outcome::Refused(Refusal::NotYours)
                };
                m.answers.iter().any(refused)
            }),
        ]
    }
}
