//! The record of a run: everything seen on the emulator's own sockets, in order of time.

use crate::Us;
use crate::affinity_dump::Dump;
use crate::directory::State;
use crate::experiment::CoordinatorFaultKind;
use std::sync::{Arc, Mutex, PoisonError};

/// A client's try, by the number in its correlation id.
pub type Try = u64;

/// What the platform is asked to do to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Act {
    /// List it as leaving.
    Drain,
    /// End its process.
    Take,
    /// Start it again, or list it as active again where it was not taken.
    Return,
    /// List it as active again, unless it was taken.
    CallBack,
}

/// What a sidecar concludes of its own place in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectivityReport {
    /// It hears all.
    Whole,
    /// Views differ.
    Disputed,
    /// A zone is cut off, or its own is.
    Cut,
    /// It hears nobody.
    Alone,
    /// It doubts itself.
    Unwell,
}

/// Something seen.
#[derive(Clone, Debug, PartialEq)]
pub enum Seen {
    /// A try was written to a connection that the sidecar had accepted.
    Taken {
        /// The try.
        request: Try,
        /// Its request, a place in the plan's arrivals.
        arrival: usize,
        /// The sidecar.
        sidecar: usize,
        /// When its client stops waiting.
        until: Us,
    },
    /// It was answered, wholly.
    Answered {
        /// The try.
        request: Try,
        /// The status.
        status: u16,
        /// A 200 carries what a server made for this very try.
        genuine: bool,
    },
    /// Its connection ended, not by the client, without a whole answer.
    Lost {
        /// The try.
        request: Try,
    },
    /// Its client stopped waiting.
    GaveUp {
        /// The try.
        request: Try,
    },
    /// A client found no sidecar.
    Unreached {
        /// The sidecar.
        sidecar: usize,
    },
    /// An attempt has come to a server in whole.
    Attempt {
        /// Its own number.
        number: u64,
        /// The try that it names, if any.
        request: Option<Try>,
        /// From which sidecar.
        sidecar: usize,
        /// At which server.
        server: usize,
        /// When its first byte came.
        began: Us,
    },
    /// The server has answered it.
    AttemptAnswered {
        /// Its number.
        number: u64,
        /// The status.
        status: u16,
        /// It was rejected and has surely not run.
        unprocessed: bool,
    },
    /// Nothing will come of it: the server is silent, or has ended.
    AttemptSwallowed {
        /// Its number.
        number: u64,
    },
    /// A connection to a server was made.
    Handshake {
        /// By which sidecar.
        sidecar: usize,
        /// To which server.
        server: usize,
    },
    /// A server was probed.
    Probe {
        /// The server.
        server: usize,
    },
    /// A sidecar's agent has told it of a server.
    PlatformConfig {
        /// The sidecar.
        sidecar: usize,
        /// The server.
        server: usize,
        /// Its state.
        state: State,
    },
    /// A server's process has started, cold.
    ServerUp {
        /// The server.
        server: usize,
    },
    /// Its process has ended.
    ServerDown {
        /// The server.
        server: usize,
    },
    /// It answers nothing any more, or again.
    ServerSilent {
        /// The server.
        server: usize,
        /// It falls silent.
        on: bool,
    },
    /// The platform was asked for something.
    Acted {
        /// For what.
        act: Act,
        /// At which server.
        server: usize,
        /// For which window.
        window: u64,
        /// With which token.
        token: u64,
        /// It was done, or was done already.
        accepted: bool,
    },
    /// The coordinators answered to the wish for a window.
    Window {
        /// Which, a place in the plan.
        window: usize,
        /// It is booked.
        booked: bool,
        /// Status and words.
        what: String,
    },
    /// Something happened to coordinators.
    CoordinatorFault {
        /// What.
        kind: CoordinatorFaultKind,
        /// To how many.
        count: usize,
    },
    /// A coordinator, or the emulator with it, did not do what it must.
    CoordinatorFaultFailed {
        /// What.
        what: String,
    },
    /// A sidecar tells where it stands.
    Standing {
        /// The sidecar.
        sidecar: usize,
        /// Where.
        stands: ConnectivityReport,
    },
    /// A sidecar tells which keys are bound where.
    Dump(Box<Dump>),
    /// A sidecar answered that a server's process is clear.
    Cleared {
        /// The server.
        server: usize,
        /// The token by which it leaves.
        token: u64,
    },
    /// Sidecars were told that it stays after all.
    Stays {
        /// The server.
        server: usize,
    },
    /// A sidecar's process is ready.
    SidecarUp {
        /// The sidecar.
        sidecar: usize,
    },
    /// It has ended, or is gone in any case.
    SidecarDown {
        /// The sidecar.
        sidecar: usize,
        /// The emulator killed it, rather than that it ended by itself.
        killed: bool,
    },
    /// It was told to stop.
    SidecarTold {
        /// The sidecar.
        sidecar: usize,
    },
    /// It did something that a sidecar must not do, whatever the rules on requests say.
    SidecarFault {
        /// The sidecar.
        sidecar: usize,
        /// What.
        what: String,
    },
}

/// When it was seen, and what.
pub type Entry = (Us, Seen);

/// A record that many tasks write.
#[derive(Clone, Debug, Default)]
pub struct Record(Arc<Mutex<Vec<Entry>>>);

impl Record {
    /// Notes something.
    pub fn note(&self, at: Us, seen: Seen) {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push((at, seen));
    }

    /// What was noted after the first so many, in the order of noting.
    pub fn after(&self, count: usize) -> Vec<Entry> {
        let entries = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        entries.get(count..).unwrap_or_default().to_vec()
    }

    /// Takes all that was noted, in the order of time.
    pub fn take(&self) -> Vec<Entry> {
        let mut entries =
            std::mem::take(&mut *self.0.lock().unwrap_or_else(PoisonError::into_inner));
        entries.sort_by_key(|(at, _)| *at);
        entries
    }
}
