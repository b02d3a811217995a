//! An exhaustive model: the state machine, two servers, and actions that are delivered at any time,
//! any number of times, or never, as former leaders and networks may cause.

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
/// Time that passes in one step, in milliseconds; an observation is valid for two, a window lasts
/// four.
const STEP_MS: i64 = 1_000;

struct Maintenance {
    planted: PlantedFault,
    /// Whether the target of the actions checks tokens.
    checks_tokens: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct ModelServer {
    dead: bool,
    drained: bool,
    taken: bool,
    started: u64,
    seen: u64,
    drain: u64,
    cleared: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ModelState {
    machine: Machine,
    now: i64,
    servers: [ModelServer; 2],
    in_transit: BTreeSet<(usize, Step, u64, u64)>,
    /// A server was taken before it was clear.
    taken_before_clear: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum ModelAction {
    /// A leader, current or former, sends the actions that are due.
    Send,
    /// A message in transit is delivered; its answer is committed, or lost.
    Deliver(usize, Step, u64, u64, bool),
    /// Time passes, with or without observations.
    AdvanceTime(bool),
    Fail(usize),
    /// No affinity entry refers to the server any more.
    Clear(usize),
    Finish(usize),
}

fn index(name: &str) -> usize {
    usize::from(name == NAMES[1])
}

impl ModelState {
    fn apply(&mut self, event: Event) {
        self.machine.apply(self.now, event);
    }

    fn observe(&mut self) {
        let observations = NAMES
            .iter()
            .zip(self.servers)
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

    fn slot_in_state(&self, server: usize, state: Where) -> Option<(u64, u64)> {
        let slots = self
            .machine
            .windows
            .values()
            .flat_map(|w| w.slots.iter().map(move |s| (w.id, s)));
        let mut found = slots.filter(|(_, s)| s.server == NAMES[server] && s.state == state);
        found.next().map(|(id, slot)| (id, slot.token))
    }

    fn deliver(&mut self, server: usize, step: Step, token: u64, checks_tokens: bool) -> Answer {
        let real = &mut self.servers[server];
        if checks_tokens && token < real.seen {
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
                self.taken_before_clear |= !(real.taken || clear);
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
    type State = ModelState;
    type Action = ModelAction;

    fn init_states(&self) -> Vec<ModelState> {
        let mut machine = Machine::new();
        machine.planted = self.planted;
        let real = [ModelServer {
            started: 1,
            ..ModelServer::default()
        }; 2];
        let mut moment = ModelState {
            machine,
            now: STEP_MS,
            servers: real,
            in_transit: BTreeSet::new(),
            taken_before_clear: false,
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

    fn actions(&self, moment: &ModelState, actions: &mut Vec<ModelAction>) {
        actions.push(ModelAction::Send);
        for (server, step, window, token) in &moment.in_transit {
            for answered in [true, false] {
                actions.push(ModelAction::Deliver(
                    *server, *step, *window, *token, answered,
                ));
            }
        }
        actions.extend([
            ModelAction::AdvanceTime(true),
            ModelAction::AdvanceTime(false),
        ]);
        for server in 0..2 {
            let real = moment.servers[server];
            if !moment.servers[0].dead && !moment.servers[1].dead {
                actions.push(ModelAction::Fail(server));
            }
            if real.drained && !real.cleared {
                actions.push(ModelAction::Clear(server));
            }
            if moment.slot_in_state(server, Where::Away).is_some() {
                actions.push(ModelAction::Finish(server));
            }
        }
    }

    fn next_state(&self, last: &ModelState, action: ModelAction) -> Option<ModelState> {
        let mut moment = last.clone();
        match action {
            ModelAction::Send => {
                for Action {
                    window,
                    server,
                    step,
                    token,
                } in last.machine.due(last.now)
                {
                    moment
                        .in_transit
                        .insert((index(&server), step, window, token));
                }
            }
            ModelAction::Deliver(server, step, window, token, answered) => {
                let result = moment.deliver(server, step, token, self.checks_tokens);
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
            ModelAction::AdvanceTime(with_observations) => {
                moment.now += STEP_MS;
                moment.apply(Event::Tick);
                if with_observations {
                    moment.observe();
                }
            }
            ModelAction::Fail(server) => moment.servers[server].dead = true,
            ModelAction::Clear(server) => {
                moment.servers[server].cleared = true;
                if let Some((window, _)) = moment.slot_in_state(server, Where::Draining) {
                    let epoch = moment.servers[server].drain;
                    moment.apply(Event::Clear {
                        window,
                        server: NAMES[server].into(),
                        epoch,
                    });
                }
            }
            ModelAction::Finish(server) => {
                let (window, _) = moment.slot_in_state(server, Where::Away)?;
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
            Property::always("capacity", |_, m: &ModelState| {
                !m.servers.iter().all(|r| r.drained || r.taken)
            }),
            Property::always("granted", |_, m: &ModelState| {
                let open = m.machine.admissions();
                let away = (0..2).filter(|i| m.servers[*i].drained || m.servers[*i].taken);
                away.into_iter().all(|i| open.contains_key(NAMES[i]))
            }),
            Property::always("clear", |_, m: &ModelState| !m.taken_before_clear),
            Property::sometimes("called back", |_, m: &ModelState| {
                m.machine
                    .windows
                    .values()
                    .any(|w| w.slots[0].called_back > 0)
            }),
            Property::sometimes("taken", |_, m: &ModelState| {
                m.servers.iter().any(|r| r.taken)
            }),
            Property::sometimes("second granted", |_, m: &ModelState| {
                let mut windows = m.machine.windows.values();
                windows.any(Window::is_closed) && !m.machine.admissions().is_empty()
            }),
        ]
    }
}
