//! HTTP answers for the replies of the coordinator.

use super::Pages;
use crate::serve::Answer;
use hyper::StatusCode;
use load_balancer_coordinator::core::Reply;
use load_balancer_coordinator::replicated_log::Admission;
use load_balancer_maintenance::{Outcome, Refusal};
use serde_json::json;

impl Pages {
    /// Returns the answer to a call.
    pub(super) fn reply_answer(&self, reply: Reply) -> Answer {
        let unavailable =
            |reason: &str| Answer::error(StatusCode::SERVICE_UNAVAILABLE, None, reason);
        match reply {
            Reply::Committed(outcome) => outcome_answer(outcome),
            Reply::Admission(Admission::Member) => {
                Answer::json(StatusCode::OK, json!({"admission": "member"}))
            }
            Reply::Admission(Admission::InProgress) => {
                Answer::json(StatusCode::OK, json!({"admission": "under_way"}))
            }
            Reply::Admission(Admission::NameTaken) => Answer::error(
                StatusCode::CONFLICT,
                Some("name"),
                "it is used by a running coordinator",
            ),
            Reply::Admission(Admission::NotLeader) | Reply::NotLeader => self.not_leader(),
            Reply::TooFewVoters => unavailable("too few coordinators have a vote yet"),
            Reply::NotPolled => {
                unavailable("the leader has not polled the platform and the fleet yet")
            }
            Reply::Busy => unavailable("too many proposals are pending"),
            Reply::OutcomeUnknown => {
                unavailable("it is not known whether the proposal was committed; retry")
            }
        }
    }

    /// Returns the address of the leader, if known, for requests that only the leader answers.
    fn not_leader(&self) -> Answer {
        let status = self.status.borrow();
        let leader = status
            .view
            .as_ref()
            .and_then(|view| view.replica_status.leader.clone());
        let leader = leader.filter(|leader| *leader != self.sections.coordinator.name);
        let address = leader
            .as_ref()
            .and_then(|name| self.sections.coordinators.get(name));
        let content = json!({"error": "this coordinator does not lead", "leader": leader, "address": address});
        Answer::json(StatusCode::SERVICE_UNAVAILABLE, content)
    }
}

fn outcome_answer(outcome: Outcome) -> Answer {
    match outcome {
        Outcome::Booked { .. } => Answer::json(StatusCode::OK, json!(outcome)),
        Outcome::Infeasible { .. } => Answer::json(StatusCode::CONFLICT, json!(outcome)),
        Outcome::Taken | Outcome::Ignored => {
            Answer::json(StatusCode::OK, json!({"outcome": outcome}))
        }
        Outcome::Refused(Refusal::Invalid(e)) => {
            Answer::error(StatusCode::BAD_REQUEST, Some(&e.key), e.reason)
        }
        Outcome::Refused(Refusal::Unknown(item)) => Answer::error(
            StatusCode::UNPROCESSABLE_ENTITY,
            None,
            format!("unknown {item}"),
        ),
        Outcome::Refused(Refusal::Full(reason)) => {
            Answer::error(StatusCode::TOO_MANY_REQUESTS, None, reason)
        }
        Outcome::Refused(Refusal::NoAgreement) => Answer::error(
            StatusCode::SERVICE_UNAVAILABLE,
            None,
            "there is no disruption budget yet",
        ),
    }
}
