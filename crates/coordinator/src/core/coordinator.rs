//! The core of a coordinator: takes inputs and returns outputs.

use super::interface::{Input, Now, Output, Reply, Settings, View};
use super::leadership_state::{LeaderProposal, Leadership, Proposer};
use super::replica::{self, Replica};
use crate::replicated_log::{
    HaltReason, LogStore, Message, Node, Options, ProposeError, ReplicaStatus,
};
use load_balancer_maintenance::Event;
use std::collections::BTreeMap;

/// The core of one coordinator.
pub struct CoordinatorCore {
    pub(super) node: Node<Replica>,
    pub(super) settings: Settings,
    pub(super) leadership: Leadership,
    pub(super) output: Output,
    /// Names of the coordinators by the ids of their disks, as observed in messages.
    names_by_disk: BTreeMap<u64, String>,
    tickets: BTreeMap<u64, Proposer>,
    last_ticket: u64,
}

impl CoordinatorCore {
    /// Creates a coordinator on a log store. `is_founder` makes an empty one the first member of a
    /// new log; that must be set for only one coordinator, once, while no other has any part of a
    /// log.
    ///
    /// # Errors
    /// Returns an error if the disk fails, or holds a format that this program does not know.
    pub fn new(
        log_store: LogStore,
        options: Options,
        settings: Settings,
        is_founder: bool,
    ) -> Result<Self, HaltReason> {
        Ok(Self {
            node: Node::new(log_store, Replica::default(), options, is_founder)?,
            settings,
            leadership: Leadership::default(),
            output: Output::default(),
            names_by_disk: BTreeMap::new(),
            tickets: BTreeMap::new(),
            last_ticket: 0,
        })
    }

    /// Handles an input. [`CoordinatorCore::process`] must follow to obtain the outputs; several
    /// inputs may be handled before it.
    pub fn handle_input(&mut self, now: Now, input: Input) {
        match input {
            Input::Tick => {
                self.node.tick();
                self.propose_due_events(now);
            }
            Input::Message(from, message) => self.handle_message(from, message),
            Input::Propose(caller, event) => {
                let rejection = match &event {
                    Event::Ask(_)
                        if self.node.is_active_leader() && !self.leadership.has_polled =>
                    {
                        Err(Reply::NotPolled)
                    }
                    _ => self
                        .propose(now, Proposer::Caller(caller), &event)
                        .map_err(|error| match error {
                            ProposeError::NotLeader => Reply::NotLeader,
                            ProposeError::TooFewVoters => Reply::TooFewVoters,
                            ProposeError::Busy => Reply::Busy,
                        }),
                };
                self.output
                    .replies
                    .extend(rejection.err().map(|reply| (caller, reply)));
            }
            Input::RequestVote(caller, id, name) => {
                let is_known = self.settings.names.contains(&name) && id != 0;
                let reply = if is_known {
                    Reply::Admission(self.node.admit(id, &name))
                } else {
                    Reply::Busy
                };
                self.output.replies.push((caller, reply));
            }
            Input::ServerList(list) => self.handle_server_list(now, list),
            Input::Observations(at_ms, mut observations) => {
                let waited_ms = now.mono_ms.saturating_sub(at_ms);
                observations.iter_mut().for_each(|observation| {
                    observation.age_ms = observation.age_ms.saturating_add(waited_ms)
                });
                self.propose_as_leader(
                    now,
                    LeaderProposal::Observations,
                    &Event::Observations(observations),
                );
            }
            Input::ActionResult(act, answer) => self.handle_action_result(now, act, answer),
            Input::DrainResult(question, clear) => self.handle_drain_result(now, question, clear),
            Input::StepDown => {
                if self.node.transfer_leadership() {
                    self.output.notes.push("transferring leadership".to_owned());
                }
            }
        }
    }

    fn handle_message(&mut self, from: String, message: Message) {
        if !self.settings.names.contains(&from) {
            return;
        }
        if self.names_by_disk.get(&message.from) != Some(&from) {
            // Each name has one disk: the one that sent a message last.
            self.names_by_disk.retain(|_, name| *name != from);
            self.names_by_disk.insert(message.from, from);
        }
        self.node.step(message);
    }

    /// Proposes an event on behalf of a proposer.
    pub(super) fn propose(
        &mut self,
        now: Now,
        proposer: Proposer,
        event: &Event,
    ) -> Result<(), ProposeError> {
        self.last_ticket += 1;
        self.node
            .propose(now.unix_ms, self.last_ticket, replica::encode_event(event))?;
        self.tickets.insert(self.last_ticket, proposer);
        Ok(())
    }

    /// Asks a majority to confirm that this coordinator leads. Returns the ticket of the request.
    pub(super) fn request_confirmation(&mut self) -> u64 {
        self.last_ticket += 1;
        self.node.request_confirmation(self.last_ticket);
        self.last_ticket
    }

    /// Persists and applies what the inputs so far led to, and returns the outputs.
    ///
    /// # Errors
    /// Returns the reason why the coordinator must stop. Nothing may be sent then, and the callers
    /// listed by [`CoordinatorCore::pending_callers`] have no answer.
    pub fn process(&mut self, now: Now) -> Result<Output, HaltReason> {
        let effects = self.node.process_ready()?;
        for message in effects.messages {
            let name = self
                .node
                .members()
                .get(&message.to)
                .or_else(|| self.names_by_disk.get(&message.to));
            if let Some(name) = name {
                self.output.messages.push((name.clone(), message));
            }
        }
        for (ticket, answer) in effects.answers {
            match (
                self.tickets.remove(&ticket),
                replica::decode_outcome(&answer),
            ) {
                (Some(Proposer::Caller(caller)), outcome) => {
                    let reply = outcome.map_or(Reply::OutcomeUnknown, Reply::Committed);
                    self.output.replies.push((caller, reply));
                }
                (Some(Proposer::Leader(proposal)), outcome) => {
                    self.handle_own_outcome(&proposal, outcome)
                }
                (None, _) => {}
            }
        }
        for ticket in effects.unknown_outcomes {
            match self.tickets.remove(&ticket) {
                Some(Proposer::Caller(caller)) => {
                    self.output.replies.push((caller, Reply::OutcomeUnknown))
                }
                Some(Proposer::Leader(proposal)) => self
                    .leadership
                    .pending
                    .retain(|pending| *pending != proposal),
                None => {}
            }
        }
        for ticket in effects.confirmed {
            self.handle_confirmation(now, ticket);
        }
        Ok(std::mem::take(&mut self.output))
    }

    /// Returns the callers that wait for an answer.
    pub fn pending_callers(&self) -> Vec<u64> {
        let callers = self.tickets.values().filter_map(|proposer| match proposer {
            Proposer::Caller(caller) => Some(*caller),
            Proposer::Leader(_) => None,
        });
        callers.collect()
    }

    /// Returns the status of this replica of the log.
    pub fn replica_status(&self) -> ReplicaStatus {
        self.node.replica_status()
    }

    /// Returns what status pages show.
    pub fn view(&self, now: Now) -> View {
        let machine = &self.node.machine().0;
        let replica_status = self.node.replica_status();
        View {
            looked: replica_status.acts && self.leadership.has_polled,
            windows: machine.windows(),
            capacity: machine.capacity(now.unix_ms),
            servers: machine.servers().len(),
            token: machine.last_token(),
            due: machine.due(now.unix_ms).len(),
            replica_status,
        }
    }

    /// Returns the maintenance state machine.
    pub fn machine(&self) -> &load_balancer_maintenance::Machine {
        &self.node.machine().0
    }
}
