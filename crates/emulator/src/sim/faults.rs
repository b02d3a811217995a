//! Faults in simulated time.

use super::event::{ResultKind, SimEvent};
use super::{RESTART_TIME_US, Simulation};
use crate::plan::Step;
use crate::record::{Seen, Try};
use load_balancer_gossip::core::Core;

impl Simulation<'_> {
    pub(super) fn apply_fault(&mut self, step: Step) {
        match step {
            Step::ServerDown(server) => {
                self.world.stop(server);
                self.lose_jobs(server, true);
            }
            Step::ServerUp(server) => {
                self.world.start(server);
                self.record_event(Seen::ServerUp { server });
            }
            Step::ServerSilent(server, on) => {
                self.world.set_silent(server, on);
                if on {
                    self.lose_jobs(server, false);
                }
            }
            Step::ServerSlow(server, times) => self.world.set_slowdown(server, times),
            Step::ServerFails(server, share) => self.world.set_error_share(server, share),
            Step::Cut(zone, way, on) => {
                self.partitions.retain(|cut| *cut != (zone, way));
                if on {
                    self.partitions.push((zone, way));
                }
            }
            Step::Slow(more) => self.extra_delay = more,
            Step::Resets(share) => self.reset_share = share,
            Step::Datagrams(kind, share) => self.datagram_faults.set(kind, share),
            // Lists are generated in advance here, failed calls have no effect, and there are no
            // Byzantine members.
            Step::Returns(..) | Step::Agents(_) | Step::Lies(_) | Step::ServerLeaves(_) => {}
            Step::SidecarKill(sidecar) => {
                let Some(instance) = self.current[sidecar].take() else {
                    return;
                };
                self.instances[instance].dead = true;
                self.record_event(Seen::SidecarDown {
                    sidecar,
                    killed: true,
                });
                let lost_requests: Vec<Try> = self
                    .open
                    .iter()
                    .filter(|(_, o)| o.instance == instance)
                    .map(|(request, _)| *request)
                    .collect();
                for request in lost_requests {
                    if let Some(open) = self.open.remove(&request) {
                        self.record_event(Seen::Lost { request });
                        self.retry_after_failure(&open, false, 0);
                    }
                }
            }
            Step::SidecarStart(sidecar) => self.schedule(self.now, SimEvent::SidecarStart(sidecar)),
            Step::SidecarRestart(sidecar) => {
                // Its open requests are still answered.
                if let Some(instance) = self.current[sidecar].take() {
                    self.update_member(instance, Core::leave);
                    self.instances[instance].member = None;
                }
                self.record_event(Seen::SidecarTold { sidecar });
                self.schedule(self.now + RESTART_TIME_US, SimEvent::SidecarStart(sidecar));
            }
            Step::SidecarPause(sidecar, on) => {
                let Some(instance) = self.current[sidecar] else {
                    return;
                };
                let frozen = &mut self.instances[instance].deferred;
                if on {
                    frozen.get_or_insert_default();
                } else if let Some(waiting) = frozen.take() {
                    waiting.into_iter().for_each(|event| self.handle(event));
                }
            }
        }
    }

    /// Drops what a server had in progress; a process that ended resets its connections.
    pub(super) fn lose_jobs(&mut self, server: usize, resets_connections: bool) {
        let world = &self.world;
        let lost_jobs: Vec<u64> = self
            .at_servers
            .keys()
            .copied()
            .filter(|job| !world.contains_job(*job))
            .collect();
        for number in lost_jobs {
            let Some((instance, request, attempt)) = self.at_servers.remove(&number) else {
                continue;
            };
            self.record_event(Seen::AttemptSwallowed { number });
            if resets_connections {
                self.send_result(instance, request, attempt, ResultKind::Reset);
            }
        }
        if resets_connections {
            self.instances
                .iter_mut()
                .for_each(|i| drop(i.idle_connections.remove(&server)));
        }
    }
}
