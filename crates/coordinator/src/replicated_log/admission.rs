//! Membership of the replicated log: how a replica with a new or an emptied disk joins.
//!
//! A vote belongs to a disk, not to a name: an emptied disk gets a new number, so what its old
//! number promised is never taken for kept. It listens first; once it has what the leader has, one
//! agreed step gives it the vote of the old number of its name and takes that one's away.

use super::entry::{self, Newcomer};
use super::interface::Replicated;
use super::node::Node;
use raft::eraftpb::{ConfChangeSingle, ConfChangeType, ConfChangeV2};

/// What a request for a vote came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It has one.
    Member,
    /// A step towards it was proposed, or is under way: ask again.
    UnderWay,
    /// Only the leader admits, once an entry of its own time is applied.
    NotLeader,
    /// A living coordinator has that name.
    NameTaken,
}

impl<M: Replicated> Node<M> {
    /// A coordinator with this name and disk asks to come in. To be repeated until it is a member.
    pub fn admit(&mut self, id: u64, name: &str) -> Admission {
        if !self.acts() {
            return Admission::NotLeader;
        }
        let raft = &self.raw().raft;
        let voters = raft.prs().conf().voters().ids();
        if voters.contains(id) {
            return Admission::Member;
        }
        let of_name: Vec<u64> = self
            .members()
            .iter()
            .filter(|(n, m)| **n != id && *m == name)
            .map(|(n, _)| *n)
            .collect();
        let lives =
            |n: &u64| *n == self.id() || raft.prs().get(*n).is_some_and(|p| p.recent_active);
        if id == self.id() || of_name.iter().any(lives) {
            return Admission::NameTaken;
        }
        if raft.has_pending_conf() {
            return Admission::UnderWay;
        }
        let last = raft.raft_log.last_index();
        let mut changes = Vec::new();
        match raft.prs().get(id) {
            None => {
                // Earlier disks of that name which never got a vote make room.
                let deaf = of_name.iter().filter(|n| !voters.contains(**n));
                changes.extend(deaf.map(|n| change(ConfChangeType::RemoveNode, *n)));
                changes.push(change(ConfChangeType::AddLearnerNode, id));
            }
            Some(progress) if progress.matched >= last => {
                changes.extend(
                    of_name
                        .iter()
                        .map(|n| change(ConfChangeType::RemoveNode, *n)),
                );
                changes.push(change(ConfChangeType::AddNode, id));
            }
            Some(_) => return Admission::UnderWay,
        }
        let mut all = ConfChangeV2::default();
        all.set_changes(changes.into());
        let context = entry::write(&Newcomer {
            id,
            name: name.to_owned(),
        });
        self.change_members(context, all);
        Admission::UnderWay
    }
}

fn change(kind: ConfChangeType, id: u64) -> ConfChangeSingle {
    let mut single = ConfChangeSingle::default();
    (single.change_type, single.node_id) = (kind, id);
    single
}
