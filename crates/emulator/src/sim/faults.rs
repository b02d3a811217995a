//! Faults in simulated time.

use super::event::{Came, What};
use super::{AWAY, Sim};
use crate::plan::Step;
use crate::record::{Seen, Try};
use load_balancer_gossip::core::Core;

impl Sim<'_> {
    pub(super) fn fault(&mut self, step: Step) {
        match step {
            Step::ServerDown(server) => {
                self.world.stop(server);
                self.lose(server, true);
            }
            Step::ServerUp(server) => {
                self.world.start(server);
                self.note(Seen::ServerUp { server });
            }
            Step::ServerSilent(server, on) => {
                self.world.silence(server, on);
                if on {
                    self.lose(server, false);
                }
            }
            Step::ServerSlow(server, times) => self.world.slow_down(server, times),
            Step::ServerFails(server, share) => self.world.fail(server, share),
            Step::Cut(zone, way, on) => {
                self.cuts.retain(|cut| *cut != (zone, way));
                if on {
                    self.cuts.push((zone, way));
                }
            }
            Step::Slow(more) => self.slow = more,
            Step::Resets(share) => self.resets = share,
            Step::Datagrams(kind, share) => self.faults.set(kind, share),
            // Its list is drawn ahead here, and a call that fails changes nothing; nobody lies.
            Step::Returns(..) | Step::Agents(_) | Step::Lies(_) | Step::ServerLeaves(_) => {}
            Step::SidecarKill(sidecar) => {
                let Some(instance) = self.current[sidecar].take() else {
                    return;
                };
                self.instances[instance].dead = true;
                self.note(Seen::SidecarDown {
                    sidecar,
                    killed: true,
                });
                let lost: Vec<Try> = self
                    .open
                    .iter()
                    .filter(|(_, o)| o.instance == instance)
                    .map(|(request, _)| *request)
                    .collect();
                for request in lost {
                    if let Some(open) = self.open.remove(&request) {
                        self.note(Seen::Lost { request });
                        self.client_again(&open, false, 0);
                    }
                }
            }
            Step::SidecarStart(sidecar) => self.at(self.now, What::Return(sidecar)),
            Step::SidecarRestart(sidecar) => {
                // What it has it still answers.
                if let Some(instance) = self.current[sidecar].take() {
                    self.member(instance, Core::leave);
                    self.instances[instance].member = None;
                }
                self.note(Seen::SidecarTold { sidecar });
                self.at(self.now + AWAY, What::Return(sidecar));
            }
            Step::SidecarPause(sidecar, on) => {
                let Some(instance) = self.current[sidecar] else {
                    return;
                };
                let frozen = &mut self.instances[instance].frozen;
                if on {
                    frozen.get_or_insert_default();
                } else if let Some(waiting) = frozen.take() {
                    waiting.into_iter().for_each(|what| self.happen(what));
                }
            }
        }
    }

    /// What a server held comes to nothing; a process that ended resets its connections.
    pub(super) fn lose(&mut self, server: usize, resets: bool) {
        let world = &self.world;
        let lost: Vec<u64> = self
            .held
            .keys()
            .copied()
            .filter(|job| !world.holds(*job))
            .collect();
        for number in lost {
            let Some((instance, request, attempt)) = self.held.remove(&number) else {
                continue;
            };
            self.note(Seen::AttemptSwallowed { number });
            if resets {
                self.reply(instance, request, attempt, Came::Reset);
            }
        }
        if resets {
            self.instances
                .iter_mut()
                .for_each(|i| drop(i.idle.remove(&server)));
        }
    }
}
