//! What the rules allow, kept apart from the module under test.

use crate::common::*;
use load_balancer::*;
use std::collections::{BTreeMap, BTreeSet};

pub struct Sent {
    /// As it was listed then.
    pub to: Listing,
    pub at: Micros,
    pub outcome: Option<Outcome>,
}

pub struct Open {
    pub class: ClassId,
    pub deadline: Micros,
    pub attempts: Vec<Sent>,
    /// The attempt whose answer has begun.
    pub streaming: Option<AttemptNo>,
}

/// What the rules allow, kept apart from the module under test.
pub struct Judge {
    pub set: Settings,
    pub open: BTreeMap<RequestId, Open>,
    pub ended: BTreeSet<RequestId>,
    pub status: Vec<Listing>,
    pub answered: usize,
}

impl Judge {
    fn ran(open: &Open) -> impl Iterator<Item = &Sent> {
        open.attempts
            .iter()
            .filter(|a| a.outcome.is_none_or(|o| !o.never_ran()))
    }

    pub fn look(&mut self, now: Micros, actions: &[Action]) {
        for action in actions {
            match *action {
                Action::Send {
                    request,
                    endpoint,
                    timeout,
                    write_by,
                } => {
                    let open = self
                        .open
                        .get_mut(&request)
                        .expect("a send for an open request");
                    let to = &self.status[endpoint];
                    assert_eq!(to.status, Status::Ready, "drains are kept");
                    assert!(timeout > 0 && now < open.deadline && open.streaming.is_none());
                    assert!(now < write_by && write_by <= now + timeout);
                    assert!((open.attempts.len() as u32) < self.set.limits.max_attempts);
                    let live = open.attempts.iter().filter(|a| a.outcome.is_none()).count();
                    assert!(
                        live == 0 || self.set.limits.may_duplicate,
                        "one attempt at a time"
                    );
                    for earlier in Self::ran(open) {
                        match self.set.classes[open.class].effect {
                            Effect::Safe => {}
                            Effect::Unsafe => panic!("an unsafe request sent twice"),
                            Effect::Keyed { scope, ttl } => {
                                let from = &earlier.to;
                                let same = match scope {
                                    DedupScope::All => true,
                                    DedupScope::Zone => from.zone == to.zone,
                                    DedupScope::Cell => from.cell == to.cell,
                                };
                                assert!(
                                    same && now - earlier.at < ttl,
                                    "inside the group and its time"
                                );
                                assert!(write_by - earlier.at < ttl, "written inside that time");
                            }
                        }
                    }
                    open.attempts.push(Sent {
                        to: to.clone(),
                        at: now,
                        outcome: None,
                    });
                }
                Action::Reject { request, .. } => {
                    let open = self
                        .open
                        .remove(&request)
                        .expect("a refusal of an open request");
                    let harmless = match self.set.classes[open.class].effect {
                        Effect::Safe
                        | Effect::Keyed {
                            scope: DedupScope::All,
                            ..
                        } => true,
                        _ => Self::ran(&open).next().is_none(),
                    };
                    assert!(harmless, "refused though it may have run");
                    self.close(request);
                }
                Action::Fail(request) => {
                    self.open
                        .remove(&request)
                        .expect("a failure of an open request");
                    self.close(request);
                }
                Action::Cancel { .. } => assert!(self.set.limits.may_cancel),
                Action::Probe(_) => assert!(self.set.limits.probes),
                Action::SendToPeer { .. } => assert!(self.set.limits.peers),
                Action::SetTimer { after, .. } => assert!((0..=71 * 60_000 * MS).contains(&after)),
                _ => {}
            }
        }
        for (id, open) in &self.open {
            let end = open.deadline + self.set.rules.answer_slack;
            assert!(
                open.streaming.is_some() || now <= end,
                "request {id} is unanswered after its deadline"
            );
        }
    }

    pub fn close(&mut self, request: RequestId) {
        assert!(self.ended.insert(request), "a second final answer");
        self.answered += 1;
    }
}
