//! The events of simulated time.

use crate::record::Try;
use load_balancer::{AttemptIndex, RequestId};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum What {
    /// A client's try begins.
    Ask(usize, u32),
    /// Its client's patience is over.
    Impatient(Try),
    /// An attempt reaches its server, or finds that it cannot.
    Reach {
        instance: usize,
        request: RequestId,
        attempt: AttemptIndex,
        dialled: bool,
    },
    /// Its end comes back.
    Back {
        instance: usize,
        request: RequestId,
        attempt: AttemptIndex,
        outcome: Came,
    },
    /// The sidecar stops waiting for it.
    TimeOut {
        instance: usize,
        request: RequestId,
        attempt: AttemptIndex,
    },
    /// A timer of the module's.
    Timer { instance: usize, token: u64 },
    /// A datagram from another member has come.
    Mail { instance: usize, number: u64 },
    /// A member's clock beats.
    Beat { instance: usize },
    /// The list has news for a sidecar.
    List(usize),
    /// A fault.
    Fault(usize),
    /// A sidecar is there again.
    Return(usize),
}

/// How an attempt came back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Came {
    Ok,
    Error,
    Rejected,
    ConnectFailed,
    Reset,
}
