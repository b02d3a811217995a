//! An exhaustive model: the state machine, two servers, and actions that may be delivered at any
//! time, any number of times, or never, as old leaders and networks do.

mod explore;

use std::collections::BTreeSet;

use stateright::{Model, Property};

use crate::planted_faults::PlantedFault;
use crate::window::{State as Where, Window};
use crate::{
    Action, Answer, DisruptionBudget, Event, Health, Machine, Request, Server, ServerObservation,
    Step, Target,
};

const NAMES: [&str; 2] = ["s0", "s1"];
/// Time that one passing takes, in milliseconds; observations live two of them, a window four.
const STEP_MS: i64 = 1_000;

struct Maintenance {
    planted: PlantedFault,
    /// Whether the thing acted on checks tokens.
    checks: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Real {
    dead: bool,
    drained: bool,
    taken: bool,
    started: u64,
    seen: u64,
    drain: u64,
    cleared: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Moment {
    machine: Machine,
    now: i64,
    real: [Real; 2],
    soup: BTreeSet<(usize, Step, u64, u64)>,
    /// A server was taken that was not clear.
    unclear: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Move {
    /// The leader, whichever, sends what is due.
    Send,
    /// A message on its way arrives; its answer is agreed on, or lost.
    Deliver(usize, Step, u64, u64, bool),
    /// Time passes, with observations or without.
    Pass(bool),
    Die(usize),
    /// No affinity entry points to the server any more.
    Clear(usize),
    Finish(usize),
}

fn index(name: &str) -> usize {
    usize::from(name == NAMES[1])
}

impl Moment {
    fn apply(&mut self, event: Event) {
        self.machine.apply(self.now, event);
    }

    fn observe(&mut self) {
        let observations = NAMES
            .iter()
            .zip(self.real)
            .map(|(name, real)| ServerObservation {
                server: (*name).into(),
                state: if real.dead || real.taken {
                    Health::Unhealthy
                } else {
                    Health::Healthy
                },
                warm: true,
                started: real.started,
                age_ms: 0,
                enough: true,
            });
        let observations = observations.collect();
        self.apply(Event::Observations(observations));
    }

    fn window_of(&self, server: usize, state: Where) -> Option<(u64, u64)> {
        let slots = self
            .machine
            .windows
            .values()
            .flat_map(|w| w.slots.iter().map(move |s| (w.id, s)));
        let mut found = slots.filter(|(_, s)| s.server == NAMES[server] && s.state == state);
        found.next().map(|(id, slot)| (id, slot.token))
    }

    fn deliver(&mut self, server: usize, step: Step, token: u64, checks: bool) -> Answer {
        let real = &mut self.real[server];
        if checks && token < real.seen {
            return Answer::Refused { seen: real.seen };
        }
        real.seen = real.seen.max(token);
        match step {
            Step::Drain if !real.drained && !real.taken => {
                (real.drained, real.drain, real.cleared) = (true, token, false);
            }
            Step::Drain => {}
            Step::Take => {
                let clear = real.drained && real.cleared && real.drain == token;
                self.unclear |= !(real.taken || clear);
                real.taken = true;
            }
            Step::CallBack if real.taken => return Answer::Taken,
            Step::CallBack => real.drained = false,
            Step::Return => {
                real.started += u64::from(real.taken);
                (real.taken, real.drained) = (false, false);
                return Answer::Done {
                    started: Some(real.started),
                };
            }
        }
        Answer::Done { started: None }
    }
}

impl Model for Maintenance {
    type State = Moment;
    type Action = Move;

    fn init_states(&self) -> Vec<Moment> {
        let mut machine = Machine::new();
        machine.planted = self.planted;
        let real = [Real {
            started: 1,
            ..Real::default()
        }; 2];
        let mut moment = Moment {
            machine,
            now: STEP_MS,
            real,
            soup: BTreeSet::new(),
            unclear: false,
        };
        let budget: DisruptionBudget = serde_json::from_str(
            r#"{"keep": 1, "most_away": 1, "evidence_bound_ms": 2000, "clear_most_ms": 3000, "repair_ms": 3000}"#,
        )
        .expect("an agreement");
        moment.apply(Event::DisruptionBudget(budget));
        let server = |name: &str| Server {
            name: name.into(),
            zone: name.into(),
            group: "g".into(),
            weight: 1,
            started: 1,
        };
        moment.apply(Event::Servers(NAMES.map(server).into()));
        for name in NAMES {
            moment.apply(Event::Ask(Request {
                name: name.into(),
                target: Target::Servers(vec![name.into()]),
                earliest_ms: 0,
                latest_ms: 100 * STEP_MS,
                length_ms: 4 * STEP_MS,
                overrun_ms: 0,
                priority: 0,
                split: true,
            }));
        }
        moment.observe();
        vec![moment]
    }

    fn actions(&self, moment: &Moment, actions: &mut Vec<Move>) {
        actions.push(Move::Send);
        for (server, step, window, token) in &moment.soup {
            for answered in [true, false] {
                actions.push(Move::Deliver(*server, *step, *window, *token, answered));
            }
        }
        actions.extend([Move::Pass(true), Move::Pass(false)]);
        for server in 0..2 {
            let real = moment.real[server];
            if !moment.real[0].dead && !moment.real[1].dead {
                actions.push(Move::Die(server));
            }
            if real.drained && !real.cleared {
                actions.push(Move::Clear(server));
            }
            if moment.window_of(server, Where::Away).is_some() {
                actions.push(Move::Finish(server));
            }
        }
    }

    fn next_state(&self, last: &Moment, action: Move) -> Option<Moment> {
        let mut moment = last.clone();
        match action {
            Move::Send => {
                for Action {
                    window,
                    server,
                    step,
                    token,
                } in last.machine.due(last.now)
                {
                    moment.soup.insert((index(&server), step, window, token));
                }
            }
            Move::Deliver(server, step, window, token, answered) => {
                let result = moment.deliver(server, step, token, self.checks);
                if answered {
                    moment.apply(Event::Acted {
                        window,
                        server: NAMES[server].into(),
                        step,
                        token,
                        result,
                    });
                }
            }
            Move::Pass(heard) => {
                moment.now += STEP_MS;
                moment.apply(Event::Tick);
                if heard {
                    moment.observe();
                }
            }
            Move::Die(server) => moment.real[server].dead = true,
            Move::Clear(server) => {
                moment.real[server].cleared = true;
                if let Some((window, _)) = moment.window_of(server, Where::Draining) {
                    let epoch = moment.real[server].drain;
                    moment.apply(Event::Clear {
                        window,
                        server: NAMES[server].into(),
                        epoch,
                    });
                }
            }
            Move::Finish(server) => {
                let (window, _) = moment.window_of(server, Where::Away)?;
                moment.apply(Event::Finished {
                    window,
                    server: NAMES[server].into(),
                });
            }
        }
        (moment != *last).then_some(moment)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("capacity", |_, m: &Moment| {
                !m.real.iter().all(|r| r.drained || r.taken)
            }),
            Property::always("granted", |_, m: &Moment| {
                let open = m.machine.admissions();
                let away = (0..2).filter(|i| m.real[*i].drained || m.real[*i].taken);
                away.into_iter().all(|i| open.contains_key(NAMES[i]))
            }),
            Property::always("clear", |_, m: &Moment| !m.unclear),
            Property::sometimes("called back", |_, m: &Moment| {
                m.machine
                    .windows
                    .values()
                    .any(|w| w.slots[0].called_back > 0)
            }),
            Property::sometimes("taken", |_, m: &Moment| m.real.iter().any(|r| r.taken)),
            Property::sometimes("second granted", |_, m: &Moment| {
                let mut windows = m.machine.windows.values();
                windows.any(Window::closed) && !m.machine.admissions().is_empty()
            }),
        ]
    }
}
