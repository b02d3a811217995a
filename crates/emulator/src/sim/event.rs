//! The events of simulated time.

use crate::record::Try;
use load_balancer::{AttemptIndex, RequestId};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum SimEvent {
    /// A client sends a request or a retry: arrival and attempt.
    ClientRequest(usize, u32),
    /// A client's timeout.
    ClientTimeout(Try),
    /// An attempt arrives at its server, or finds that it can't.
    ServerArrival {
        instance: usize,
        request: RequestId,
        attempt: AttemptIndex,
        dialled: bool,
    },
    /// The result of an attempt arrives at the sidecar.
    AttemptResult {
        instance: usize,
        request: RequestId,
        attempt: AttemptIndex,
        outcome: ResultKind,
    },
    /// A sidecar's timeout of an attempt.
    AttemptTimeout {
        instance: usize,
        request: RequestId,
        attempt: AttemptIndex,
    },
    /// A timer of the decision module.
    Timer { instance: usize, token: u64 },
    /// A datagram from another member arrives.
    Datagram { instance: usize, number: u64 },
    /// A member's periodic tick.
    MemberTick { instance: usize },
    /// Changes of the list reach a sidecar.
    ListUpdate(usize),
    /// A fault, by index.
    Fault(usize),
    /// A sidecar starts again.
    SidecarStart(usize),
}

/// The result of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ResultKind {
    Ok,
    Error,
    Rejected,
    ConnectFailed,
    Reset,
}
