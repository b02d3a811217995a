//! A few servers that a test drives step by step.

use load_balancer_maintenance::{
    Action, DisruptionBudget, Event, Machine, Outcome, Request, ServerSlotView, Step, Target,
};

use super::World;

/// 2027-01-15T08:00Z, 09:00 in Ljubljana.
pub const START_MS: i64 = 1_800_000_000_000;

pub struct Scenario {
    pub world: World,
    pub machine: Machine,
}

impl Scenario {
    /// Four servers of weight 1 in zones a and b.
    pub fn new(budget: DisruptionBudget) -> Self {
        let mut world = World {
            now: START_MS,
            ..World::default()
        };
        for (name, zone) in [("s0", "a"), ("s1", "b"), ("s2", "a"), ("s3", "b")] {
            world.add(name, zone, "g", 1);
        }
        let mut stage = Scenario {
            machine: Machine::new(),
            world,
        };
        assert_eq!(stage.apply(Event::DisruptionBudget(budget)), Outcome::Taken);
        if let Some(calendar) = stage.machine.calendar_due(START_MS) {
            stage.apply(calendar);
        }
        stage.apply(stage.world.list());
        stage.observe();
        stage
    }

    pub fn apply(&mut self, event: Event) -> Outcome {
        self.machine.apply(self.world.now, event)
    }

    pub fn observe(&mut self) {
        let observations = self
            .world
            .servers
            .keys()
            .map(|name| self.world.observation(name, 0))
            .collect();
        self.apply(Event::Observations(observations));
    }

    pub fn advance(&mut self, ms: i64) {
        self.world.advance(ms);
        self.observe();
    }

    pub fn request_window(
        &mut self,
        name: &str,
        servers: &[&str],
        change: impl FnOnce(&mut Request),
    ) -> Outcome {
        let mut request = Request {
            name: name.into(),
            target: Target::Servers(servers.iter().map(|name| name.to_string()).collect()),
            earliest_ms: self.world.now,
            latest_ms: self.world.now + 3_600_000,
            length_ms: 60_000,
            overrun_ms: 30_000,
            priority: 0,
            split: true,
        };
        change(&mut request);
        self.apply(Event::Ask(request))
    }

    pub fn slot(&self, server: &str) -> ServerSlotView {
        let mut slots = self.machine.windows().into_iter().flat_map(|w| w.slots);
        slots
            .rfind(|slot| slot.server == server)
            .expect("a slot of that server")
    }

    /// Performs the actions that are due, except those of the steps in `stop`.
    pub fn perform_due(&mut self, except: &[Step]) {
        for act in self.machine.due(self.world.now) {
            if except.contains(&act.step) {
                continue;
            }
            let result = self.world.perform(&act, 0, true);
            let Action {
                window,
                server,
                step,
                token,
            } = act;
            self.world
                .cleared
                .extend((step == Step::Drain).then_some(token));
            self.apply(Event::Acted {
                window,
                server,
                step,
                token,
                result,
            });
        }
    }

    pub fn clear_drain(&mut self, server: &str) {
        let (window, epoch) = (self.machine.windows()[0].window, self.slot(server).token);
        self.apply(Event::Clear {
            window,
            server: server.into(),
            epoch,
        });
    }
}
