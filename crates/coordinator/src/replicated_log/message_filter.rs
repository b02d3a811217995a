//! Validates messages of other replicas before the consensus engine handles them, because it panics
//! at some invalid ones.

use super::decode_error::DecodeError;
use protobuf::Message as _;
use raft::eraftpb::{Entry, Message, MessageType};
use raft::{RaftLog, Storage};

/// Encodes a message. Returns `None` for a message that cannot be encoded, which the engine does
/// not create.
#[must_use]
pub fn encode(message: &Message) -> Option<Vec<u8>> {
    message.write_to_bytes().ok()
}

/// Decodes a message.
///
/// # Errors
/// Returns an error if the bytes are malformed.
pub fn decode(bytes: &[u8]) -> Result<Message, DecodeError> {
    Ok(Message::parse_from_bytes(bytes)?)
}

/// Returns whether the engine of disk `id`, led by `leader`, with this log can handle a message.
pub(crate) fn is_acceptable<S: Storage>(
    message: &Message,
    id: u64,
    leader: u64,
    log: &RaftLog<S>,
) -> bool {
    use MessageType::*;
    if message.to != id || message.from == id || message.from == 0 {
        return false;
    }
    // Term 0 marks messages within an engine; terms near the maximum do not occur.
    if message.term == 0 || message.term > u64::MAX / 2 {
        return false;
    }
    match message.msg_type {
        MsgAppend => is_acceptable_append(message, log),
        // A leader never announces more than this disk has confirmed, unless it means another disk.
        MsgHeartbeat => message.commit <= log.last_index(),
        MsgSnapshot => {
            let metadata = message.get_snapshot().get_metadata();
            let members = metadata.get_conf_state();
            let ids = members
                .voters
                .iter()
                .chain(&members.learners)
                .chain(&members.voters_outgoing);
            metadata.index > 0
                && metadata.term > 0
                && metadata.term <= message.term
                && !members.voters.is_empty()
                && ids.clone().all(|member| *member != 0)
                && members.learners.iter().all(|l| !members.voters.contains(l))
        }
        MsgAppendResponse | MsgHeartbeatResponse => message.index <= log.last_index(),
        MsgRequestVote | MsgRequestVoteResponse | MsgRequestPreVote | MsgRequestPreVoteResponse => {
            true
        }
        // The leader transfers its leadership.
        MsgTimeoutNow => message.from == leader,
        // Proposals, reads and transfers are never forwarded between coordinators.
        _ => false,
    }
}

/// Returns whether the entries are consecutive and do not contradict committed ones.
fn is_acceptable_append<S: Storage>(message: &Message, log: &RaftLog<S>) -> bool {
    // The position before the first entry has index 0 and term 0; no other position has.
    if (message.index == 0) != (message.log_term == 0) || message.log_term > message.term {
        return false;
    }
    let mut previous = (message.index, message.log_term);
    for entry in message.entries.iter() {
        let Entry { index, term, .. } = entry;
        let follows_previous = previous.0.checked_add(1) == Some(*index)
            && *term >= previous.1
            && *term <= message.term;
        let is_committed = *index <= log.committed && *index >= log.first_index();
        if !follows_previous
            || (is_committed
                && log
                    .term(*index)
                    .is_ok_and(|committed_term| committed_term != *term))
        {
            return false;
        }
        previous = (*index, *term);
    }
    true
}
