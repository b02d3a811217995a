//! HTTP answers for what the coordinator replies.

use super::Pages;
use crate::serve::Answer;
use hyper::StatusCode;
use load_balancer_coordinator::core::Reply;
use load_balancer_coordinator::replicated_log::Admission;
use load_balancer_maintenance::{Outcome, Refusal};
use serde_json::json;

impl Pages {
    /// The answer to a call.
    pub(super) fn replied(&self, reply: Reply) -> Answer {
        let later = |what: &str| Answer::wrong(StatusCode::SERVICE_UNAVAILABLE, None, what);
        match reply {
            Reply::Agreed(outcome) => outcome_answer(outcome),
            Reply::Admission(Admission::Member) => {
                Answer::of(StatusCode::OK, json!({"admission": "member"}))
            }
            Reply::Admission(Admission::UnderWay) => {
                Answer::of(StatusCode::OK, json!({"admission": "under_way"}))
            }
            Reply::Admission(Admission::NameTaken) => Answer::wrong(
                StatusCode::CONFLICT,
                Some("name"),
                "a living coordinator has it",
            ),
            Reply::Admission(Admission::NotLeader) | Reply::NotLeader => self.not_leader(),
            Reply::Founding => later("too few coordinators have a vote yet"),
            Reply::Looking => later("the leader has not looked at servers and fleet yet"),
            Reply::Busy => later("too much waits"),
            Reply::Lost => later("whether it is agreed on is not known; ask again"),
        }
    }

    /// Names the leader, where it is known, to whoever asked this coordinator in its place.
    fn not_leader(&self) -> Answer {
        let seen = self.seen.borrow();
        let leader = seen
            .view
            .as_ref()
            .and_then(|view| view.replica_status.leader.clone());
        let leader = leader.filter(|leader| *leader != self.sections.coordinator.name);
        let at = leader
            .as_ref()
            .and_then(|name| self.sections.coordinators.get(name));
        let content =
            json!({"error": "this coordinator does not lead", "leader": leader, "address": at});
        Answer::of(StatusCode::SERVICE_UNAVAILABLE, content)
    }
}

fn outcome_answer(outcome: Outcome) -> Answer {
    match outcome {
        Outcome::Booked { .. } => Answer::of(StatusCode::OK, json!(outcome)),
        Outcome::Infeasible { .. } => Answer::of(StatusCode::CONFLICT, json!(outcome)),
        Outcome::Taken | Outcome::Ignored => {
            Answer::of(StatusCode::OK, json!({"outcome": outcome}))
        }
        Outcome::Refused(Refusal::Invalid(e)) => {
            Answer::wrong(StatusCode::BAD_REQUEST, Some(&e.key), e.reason)
        }
        Outcome::Refused(Refusal::Unknown(what)) => Answer::wrong(
            StatusCode::UNPROCESSABLE_ENTITY,
            None,
            format!("there is no {what}"),
        ),
        Outcome::Refused(Refusal::Full(what)) => {
            Answer::wrong(StatusCode::TOO_MANY_REQUESTS, None, what)
        }
        Outcome::Refused(Refusal::NoAgreement) => Answer::wrong(
            StatusCode::SERVICE_UNAVAILABLE,
            None,
            "there is no agreement yet",
        ),
    }
}
