//! Validates messages of other replicas before the consensus engine sees them, as it panics at some
//! that make no sense.

use super::decode_error::DecodeError;
use protobuf::Message as _;
use raft::eraftpb::{Entry, Message, MessageType};
use raft::{RaftLog, Storage};

/// A message as bytes; none for one that has no form, which the engine does not make.
#[must_use]
pub fn encode(message: &Message) -> Option<Vec<u8>> {
    message.write_to_bytes().ok()
}

/// The message that bytes hold.
///
/// # Errors
/// They hold none.
pub fn decode(bytes: &[u8]) -> Result<Message, DecodeError> {
    Ok(Message::parse_from_bytes(bytes)?)
}

/// Whether the engine of `id`, led by `leader`, with this log may be given a message.
pub(crate) fn passes<S: Storage>(
    message: &Message,
    id: u64,
    leader: u64,
    log: &RaftLog<S>,
) -> bool {
    use MessageType::*;
    if message.to != id || message.from == id || message.from == 0 {
        return false;
    }
    // A term of 0 would make it one of the engine's own; those near the end of the numbers are
    // nobody's.
    if message.term == 0 || message.term > u64::MAX / 2 {
        return false;
    }
    match message.msg_type {
        MsgAppend => appends(message, log),
        // A leader never says more than what this disk once confirmed: the disk it means was
        // another one.
        MsgHeartbeat => message.commit <= log.last_index(),
        MsgSnapshot => {
            let metadata = message.get_snapshot().get_metadata();
            let members = metadata.get_conf_state();
            let all = members
                .voters
                .iter()
                .chain(&members.learners)
                .chain(&members.voters_outgoing);
            metadata.index > 0
                && metadata.term > 0
                && metadata.term <= message.term
                && !members.voters.is_empty()
                && all.clone().all(|member| *member != 0)
                && members.learners.iter().all(|l| !members.voters.contains(l))
        }
        MsgAppendResponse | MsgHeartbeatResponse => message.index <= log.last_index(),
        MsgRequestVote | MsgRequestVoteResponse | MsgRequestPreVote | MsgRequestPreVoteResponse => {
            true
        }
        // The leader hands its lead over.
        MsgTimeoutNow => message.from == leader,
        // Nobody proposes, reads or hands over for another one.
        _ => false,
    }
}

/// Whether the entries follow each other, and contradict nothing that is agreed.
fn appends<S: Storage>(message: &Message, log: &RaftLog<S>) -> bool {
    // What lies past a log has the term 0 there, as has nothing that anybody appends to.
    if (message.index == 0) != (message.log_term == 0) || message.log_term > message.term {
        return false;
    }
    let mut before = (message.index, message.log_term);
    for entry in message.entries.iter() {
        let Entry { index, term, .. } = entry;
        let follows =
            before.0.checked_add(1) == Some(*index) && *term >= before.1 && *term <= message.term;
        let known = *index <= log.committed && *index >= log.first_index();
        if !follows || (known && log.term(*index).is_ok_and(|agreed| agreed != *term)) {
            return false;
        }
        before = (*index, *term);
    }
    true
}
