//! An independent model of the send rules.

use crate::common::*;
use load_balancer::*;
use std::collections::{BTreeMap, BTreeSet};

pub struct SentAttempt {
    /// The endpoint as listed when the attempt was sent.
    pub to: ListedEndpoint,
    pub at: Micros,
    pub outcome: Option<Outcome>,
}

pub struct OpenRequest {
    pub class: ClassId,
    pub deadline: Micros,
    pub attempts: Vec<SentAttempt>,
    /// The attempt whose answer has begun.
    pub streaming: Option<AttemptIndex>,
}

/// Checks actions against an independent model of the send rules.
pub struct RuleChecker {
    pub settings: Settings,
    pub open: BTreeMap<RequestId, OpenRequest>,
    pub ended: BTreeSet<RequestId>,
    pub listed: Vec<ListedEndpoint>,
    pub answered: usize,
}

impl RuleChecker {
    fn attempts_that_may_have_run(open: &OpenRequest) -> impl Iterator<Item = &SentAttempt> {
        open.attempts
            .iter()
            .filter(|a| a.outcome.is_none_or(|o| !o.never_ran()))
    }

    pub fn check(&mut self, now: Micros, actions: &[Action]) {
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
                    let to = &self.listed[endpoint];
                    assert_eq!(
                        to.status,
                        EndpointStatus::Ready,
                        "draining endpoints get nothing"
                    );
                    assert!(timeout > 0 && now < open.deadline && open.streaming.is_none());
                    assert!(now < write_by && write_by <= now + timeout);
                    assert!((open.attempts.len() as u32) < self.settings.limits.max_attempts);
                    let in_flight = open.attempts.iter().filter(|a| a.outcome.is_none()).count();
                    assert!(
                        in_flight == 0 || self.settings.limits.may_duplicate,
                        "one attempt at a time"
                    );
                    for earlier in Self::attempts_that_may_have_run(open) {
                        match self.settings.classes[open.class].effect {
                            Effect::Idempotent => {}
                            Effect::NonIdempotent => {
                                panic!("a non-idempotent request was sent twice")
                            }
                            Effect::IdempotentByKey { scope, ttl } => {
                                let from = &earlier.to;
                                let same = match scope {
                                    DedupScope::All => true,
                                    DedupScope::Zone => from.zone == to.zone,
                                    DedupScope::Cell => from.cell == to.cell,
                                };
                                assert!(
                                    same && now - earlier.at < ttl,
                                    "repeats only within the deduplication scope and time"
                                );
                                assert!(write_by - earlier.at < ttl, "written within that time");
                            }
                        }
                    }
                    open.attempts.push(SentAttempt {
                        to: to.clone(),
                        at: now,
                        outcome: None,
                    });
                }
                Action::Reject { request, .. } => {
                    let open = self
                        .open
                        .remove(&request)
                        .expect("a rejection of an open request");
                    let harmless = match self.settings.classes[open.class].effect {
                        Effect::Idempotent
                        | Effect::IdempotentByKey {
                            scope: DedupScope::All,
                            ..
                        } => true,
                        _ => Self::attempts_that_may_have_run(&open).next().is_none(),
                    };
                    assert!(harmless, "rejected although it may have run");
                    self.close(request);
                }
                Action::Fail(request) => {
                    self.open
                        .remove(&request)
                        .expect("a failure of an open request");
                    self.close(request);
                }
                Action::Cancel { .. } => assert!(self.settings.limits.may_cancel),
                Action::Probe(_) => assert!(self.settings.limits.probes),
                Action::SendToPeer { .. } => assert!(self.settings.limits.peers),
                Action::SetTimer { after, .. } => assert!((0..=71 * 60_000 * MS).contains(&after)),
                _ => {}
            }
        }
        for (id, open) in &self.open {
            let end = open.deadline + self.settings.rules.answer_slack;
            assert!(
                open.streaming.is_some() || now <= end,
                "request {id} has no answer after its deadline"
            );
        }
    }

    pub fn close(&mut self, request: RequestId) {
        assert!(self.ended.insert(request), "a second final answer");
        self.answered += 1;
    }
}
