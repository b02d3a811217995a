//! Turns the faults of an experiment into steps of a run.

use super::{server, us};
use crate::directory::{Change, State};
use crate::experiment::{Fault, FaultKind, Way};
use crate::plan::{Mood, Returns, ServerSpec, SidecarSpec, Step};
use crate::{SECOND, Us};
use fastrand::Rng;

/// Faults as they are added one by one.
pub(super) struct Faults<'a> {
    pub(super) steps: Vec<(Us, Step)>,
    pub(super) changes: Vec<Change>,
    pub(super) rng: Rng,
    pub(super) servers: &'a mut Vec<ServerSpec>,
    pub(super) sidecars: &'a mut [SidecarSpec],
    pub(super) list_lag: Us,
}

/// How long a server that has left the list's active ones goes on with what it has: past the last
/// time at which the rules allow it something new, and the longest deadline.
pub(crate) const DRAINS_FOR: Us = 6 * SECOND;

impl Faults<'_> {
    pub(super) fn add(&mut self, fault: &Fault) {
        let (at, until) = (us(fault.at), us(fault.at).saturating_add(us(fault.lasts)));
        let size = fault.size.unwrap_or(1.0);
        let chosen = self.chosen(fault);
        let count = chosen.len().max(1) as Us;
        // One after the other where they roll, else all together.
        let turn = |n: usize| at + (until - at) * n as Us / count;
        for (n, i) in chosen.into_iter().enumerate() {
            let (from, to) = match fault.kind {
                FaultKind::ServersDie => (Step::ServerDown(i), Step::ServerUp(i)),
                FaultKind::ServersSilent => {
                    (Step::ServerSilent(i, true), Step::ServerSilent(i, false))
                }
                FaultKind::ServersSlow => (Step::ServerSlow(i, size), Step::ServerSlow(i, 1.0)),
                FaultKind::ServersFail => (Step::ServerFails(i, size), Step::ServerFails(i, 0.0)),
                FaultKind::SidecarsKill => (Step::SidecarKill(i), Step::SidecarStart(i)),
                FaultKind::ReturnsNever => (
                    Step::Returns(i, Returns::Never),
                    Step::Returns(i, Returns::Well),
                ),
                FaultKind::ReturnsTwice => (
                    Step::Returns(i, Returns::Twice),
                    Step::Returns(i, Returns::Well),
                ),
                FaultKind::ReturnsLate => (
                    Step::Returns(i, Returns::Late((size * 1000.0) as Us)),
                    Step::Returns(i, Returns::Well),
                ),
                FaultKind::SidecarsPause => {
                    (Step::SidecarPause(i, true), Step::SidecarPause(i, false))
                }
                FaultKind::SidecarsClock => {
                    self.sidecars[i].clock_offset_ms = size as i64;
                    continue;
                }
                FaultKind::SidecarsRoll => {
                    self.steps.push((turn(n), Step::SidecarRestart(i)));
                    continue;
                }
                FaultKind::ServersLeave => {
                    let gone = until + self.list_lag + DRAINS_FOR;
                    self.steps
                        .extend([(at, Step::ServerLeaves(i)), (gone, Step::ServerDown(i))]);
                    self.changes.push(Change {
                        at: until,
                        server: i,
                        state: State::Leaving,
                    });
                    self.changes.push(Change {
                        at: gone,
                        server: i,
                        state: State::Left,
                    });
                    continue;
                }
                FaultKind::ServersReplace => {
                    self.replace(i, turn(n));
                    continue;
                }
                _ => break,
            };
            self.steps.extend([(at, from), (until, to)]);
            if fault.kind == FaultKind::ServersDie {
                self.changes.push(Change {
                    at,
                    server: i,
                    state: State::Left,
                });
                self.changes.push(Change {
                    at: until,
                    server: i,
                    state: State::Active { since: Some(until) },
                });
            }
        }
        let (from, to) = match fault.kind {
            FaultKind::ZoneCut => {
                let (zone, way) = (fault.zone.unwrap_or(0), fault.way.unwrap_or(Way::Both));
                (Step::Cut(zone, way, true), Step::Cut(zone, way, false))
            }
            FaultKind::NetworkSlow => (Step::Slow((size * 1000.0) as Us), Step::Slow(0)),
            FaultKind::NetworkResets => (Step::Resets(size), Step::Resets(0.0)),
            kind @ (FaultKind::DatagramsLost
            | FaultKind::DatagramsRepeated
            | FaultKind::DatagramsLate) => {
                (Step::Datagrams(kind, size), Step::Datagrams(kind, 0.0))
            }
            FaultKind::MemberLies => (Step::Lies(true), Step::Lies(false)),
            FaultKind::DiscoverySilent => (Step::Agents(Mood::Silent), Step::Agents(Mood::Well)),
            FaultKind::DiscoveryGarbled => (Step::Agents(Mood::Garbled), Step::Agents(Mood::Well)),
            FaultKind::DiscoveryEmpty => (Step::Agents(Mood::Empty), Step::Agents(Mood::Well)),
            _ => return,
        };
        self.steps.extend([(at, from), (until, to)]);
    }

    /// Who is concerned: a part, drawn anew for each fault, of all or of those in the zone.
    fn chosen(&mut self, fault: &Fault) -> Vec<usize> {
        let there = |zone: usize| fault.zone.is_none_or(|z| z == zone);
        let mut all: Vec<usize> = match fault.kind.concerns_sidecars() {
            true => (0..self.sidecars.len())
                .filter(|i| there(self.sidecars[*i].zone))
                .collect(),
            false => {
                let first = self
                    .servers
                    .iter()
                    .enumerate()
                    .filter(|(_, s)| s.first && there(s.zone));
                first.map(|(i, _)| i).collect()
            }
        };
        self.rng.shuffle(&mut all);
        let part = fault.part.unwrap_or(1.0);
        all.truncate(
            (all.len() as f64 * part)
                .round()
                .max(f64::from(u8::from(part > 0.0))) as usize,
        );
        all
    }

    fn replace(&mut self, old: usize, at: Us) {
        let new = self.servers.len();
        let (zone, group, kind) = (
            self.servers[old].zone,
            self.servers[old].group,
            self.servers[old].kind,
        );
        let spec = ServerSpec {
            first: false,
            ..server(&mut self.rng, zone, group, kind)
        };
        self.servers.push(spec);
        let gone = at + self.list_lag + DRAINS_FOR;
        self.steps
            .extend([(at, Step::ServerUp(new)), (gone, Step::ServerDown(old))]);
        self.changes.extend([
            Change {
                at,
                server: new,
                state: State::Active { since: Some(at) },
            },
            Change {
                at,
                server: old,
                state: State::Leaving,
            },
            Change {
                at: gone,
                server: old,
                state: State::Left,
            },
        ]);
    }
}
