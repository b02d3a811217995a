//! Membership of the replicated log: how a replica with a new or emptied disk joins.
//!
//! Votes belong to disks, not to names. An emptied disk gets a new id, so the promises of the old
//! id never count as kept by it. The new id joins as a learner; once it has the leader's log, a
//! single membership change gives it the vote and removes the old ids of the same name.

use super::entry::{self, NewMember};
use super::interface::Replicated;
use super::node::Node;
use raft::eraftpb::{ConfChangeSingle, ConfChangeType, ConfChangeV2};

/// State of a request for a vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The disk has a vote.
    Member,
    /// A membership change was proposed or is in progress; the request is to be repeated.
    InProgress,
    /// Only the leader admits, once it has applied an entry of its own term.
    NotLeader,
    /// A running coordinator uses that name.
    NameTaken,
}

impl<M: Replicated> Node<M> {
    /// Handles the request of a coordinator to join with this disk. To be repeated until it is a
    /// member.
    pub fn admit(&mut self, id: u64, name: &str) -> Admission {
        if !self.is_active_leader() {
            return Admission::NotLeader;
        }
        let raft = &self.raw_node().raft;
        let voters = raft.prs().conf().voters().ids();
        if voters.contains(id) {
            return Admission::Member;
        }
        let ids_of_name: Vec<u64> = self
            .members()
            .iter()
            .filter(|(n, m)| **n != id && *m == name)
            .map(|(n, _)| *n)
            .collect();
        let is_alive =
            |n: &u64| *n == self.id() || raft.prs().get(*n).is_some_and(|p| p.recent_active);
        if id == self.id() || ids_of_name.iter().any(is_alive) {
            return Admission::NameTaken;
        }
        if raft.has_pending_conf() {
            return Admission::InProgress;
        }
        let last = raft.raft_log.last_index();
        let mut changes = Vec::new();
        match raft.prs().get(id) {
            None => {
                // Earlier disks of the same name that never got a vote are removed.
                let former_learners = ids_of_name.iter().filter(|n| !voters.contains(**n));
                changes
                    .extend(former_learners.map(|n| single_change(ConfChangeType::RemoveNode, *n)));
                changes.push(single_change(ConfChangeType::AddLearnerNode, id));
            }
            Some(progress) if progress.matched >= last => {
                changes.extend(
                    ids_of_name
                        .iter()
                        .map(|n| single_change(ConfChangeType::RemoveNode, *n)),
                );
                changes.push(single_change(ConfChangeType::AddNode, id));
            }
            Some(_) => return Admission::InProgress,
        }
        let mut change = ConfChangeV2::default();
        change.set_changes(changes.into());
        let context = entry::write(&NewMember {
            id,
            name: name.to_owned(),
        });
        self.change_members(context, change);
        Admission::InProgress
    }
}

fn single_change(kind: ConfChangeType, id: u64) -> ConfChangeSingle {
    let mut single = ConfChangeSingle::default();
    (single.change_type, single.node_id) = (kind, id);
    single
}
