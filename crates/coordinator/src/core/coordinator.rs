//! The coordinator's core: takes inputs, returns outputs.

use super::interface::{Input, Now, Output, Reply, Settings, View};
use super::leadership_state::{LeaderProposal, Leadership, Proposer};
use super::replica::{self, Replica};
use crate::replicated_log::{HaltReason, LogStore, Message, Node, Options, Refused, ReplicaStatus};
use load_balancer_maintenance::Event;
use std::collections::BTreeMap;

/// One coordinator.
pub struct CoordinatorCore {
    pub(super) node: Node<Replica>,
    pub(super) settings: Settings,
    pub(super) leadership: Leadership,
    pub(super) output: Output,
    /// Names by disks' numbers, from those who have sent something.
    places: BTreeMap<u64, String>,
    tickets: BTreeMap<u64, Proposer>,
    last_ticket: u64,
}

impl CoordinatorCore {
    /// A coordinator on what its shelf holds; `found` makes a blank one the first of a new
    /// agreement, and must be given to one coordinator, once, where no other has any part of one.
    ///
    /// # Errors
    /// The disk fails, or holds what this program does not know.
    pub fn new(
        log_store: LogStore,
        options: Options,
        settings: Settings,
        found: bool,
    ) -> Result<Self, HaltReason> {
        Ok(Self {
            node: Node::new(log_store, Replica::default(), options, found)?,
            settings,
            leadership: Leadership::default(),
            output: Output::default(),
            places: BTreeMap::new(),
            tickets: BTreeMap::new(),
            last_ticket: 0,
        })
    }

    /// Takes something in. What it comes to is given by [`CoordinatorCore::drive`], which must
    /// follow; several may be taken in before.
    pub fn take(&mut self, now: Now, input: Input) {
        match input {
            Input::Tick => {
                self.node.tick();
                self.propose_due(now);
            }
            Input::Message(from, message) => self.receive(from, message),
            Input::Bring(caller, event) => {
                let refused = match &event {
                    Event::Ask(_) if self.node.acts() && !self.leadership.looked => {
                        Err(Reply::Looking)
                    }
                    _ => {
                        self.propose(now, Proposer::Caller(caller), &event)
                            .map_err(|why| match why {
                                Refused::NotLeader => Reply::NotLeader,
                                Refused::Founding => Reply::Founding,
                                Refused::Busy => Reply::Busy,
                            })
                    }
                };
                self.output
                    .replies
                    .extend(refused.err().map(|reply| (caller, reply)));
            }
            Input::Admit(caller, id, name) => {
                let known = self.settings.names.contains(&name) && id != 0;
                let reply = if known {
                    Reply::Admission(self.node.admit(id, &name))
                } else {
                    Reply::Busy
                };
                self.output.replies.push((caller, reply));
            }
            Input::Listed(list) => self.listed(now, list),
            Input::Observations(at_ms, mut words) => {
                let waited_ms = now.mono_ms.saturating_sub(at_ms);
                words
                    .iter_mut()
                    .for_each(|word| word.age_ms = word.age_ms.saturating_add(waited_ms));
                self.own(
                    now,
                    LeaderProposal::Observations,
                    &Event::Observations(words),
                );
            }
            Input::Acted(act, answer) => self.acted(now, act, answer),
            Input::Cleared(question, clear) => self.cleared(now, question, clear),
            Input::StepDown => {
                if self.node.hand_over() {
                    self.output.notes.push("hands the lead over".to_owned());
                }
            }
        }
    }

    fn receive(&mut self, from: String, message: Message) {
        if !self.settings.names.contains(&from) {
            return;
        }
        if self.places.get(&message.from) != Some(&from) {
            // One disk a name: the last that spoke.
            self.places.retain(|_, name| *name != from);
            self.places.insert(message.from, from);
        }
        self.node.step(message);
    }

    /// Proposes an event; whose the answer is.
    pub(super) fn propose(
        &mut self,
        now: Now,
        proposer: Proposer,
        event: &Event,
    ) -> Result<(), Refused> {
        self.last_ticket += 1;
        self.node
            .propose(now.unix_ms, self.last_ticket, replica::event(event))?;
        self.tickets.insert(self.last_ticket, proposer);
        Ok(())
    }

    /// Asks a majority whether this coordinator leads.
    pub(super) fn ask_majority(&mut self) -> u64 {
        self.last_ticket += 1;
        self.node.confirm(self.last_ticket);
        self.last_ticket
    }

    /// Keeps and applies what the steps so far came to; what is to be done about it.
    ///
    /// # Errors
    /// The coordinator must stop, and nothing of it may be sent. Its callers are not answered:
    /// [`CoordinatorCore::callers`].
    pub fn drive(&mut self, now: Now) -> Result<Output, HaltReason> {
        let effects = self.node.drive()?;
        for message in effects.messages {
            let name = self
                .node
                .members()
                .get(&message.to)
                .or_else(|| self.places.get(&message.to));
            if let Some(name) = name {
                self.output.messages.push((name.clone(), message));
            }
        }
        for (ticket, answer) in effects.answers {
            match (self.tickets.remove(&ticket), replica::outcome(&answer)) {
                (Some(Proposer::Caller(caller)), outcome) => {
                    let reply = outcome.map_or(Reply::Lost, Reply::Agreed);
                    self.output.replies.push((caller, reply));
                }
                (Some(Proposer::Leader(own)), outcome) => self.answered(&own, outcome),
                (None, _) => {}
            }
        }
        for ticket in effects.lost {
            match self.tickets.remove(&ticket) {
                Some(Proposer::Caller(caller)) => self.output.replies.push((caller, Reply::Lost)),
                Some(Proposer::Leader(own)) => self.leadership.waits.retain(|waits| *waits != own),
                None => {}
            }
        }
        for ticket in effects.confirmed {
            self.confirmed(now, ticket);
        }
        Ok(std::mem::take(&mut self.output))
    }

    /// Callers who wait for an answer.
    pub fn callers(&self) -> Vec<u64> {
        let callers = self.tickets.values().filter_map(|proposer| match proposer {
            Proposer::Caller(caller) => Some(*caller),
            Proposer::Leader(_) => None,
        });
        callers.collect()
    }

    /// Its status in the replicated log.
    pub fn replica_status(&self) -> ReplicaStatus {
        self.node.replica_status()
    }

    /// Where it stands and what it knows.
    pub fn view(&self, now: Now) -> View {
        let machine = &self.node.machine().0;
        let replica_status = self.node.replica_status();
        View {
            looked: replica_status.acts && self.leadership.looked,
            windows: machine.windows(),
            capacity: machine.capacity(now.unix_ms),
            servers: machine.servers().len(),
            token: machine.last_token(),
            due: machine.due(now.unix_ms).len(),
            replica_status,
        }
    }

    /// The machine of windows.
    pub fn machine(&self) -> &load_balancer_maintenance::Machine {
        &self.node.machine().0
    }
}
