//! The figures by which runs are compared.

use serde::{Deserialize, Serialize};

/// A figure of one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Measure {
    /// Worth answered within its latency objective over the worth asked for.
    Served,
    /// The same for the class that is served worst.
    ServedWorstClass,
    /// The same for the worst second.
    ServedWorstSecond,
    /// Requests answered at all, over all.
    Answered,
    /// Tries refused, over all tries.
    Refused,
    /// Tries failed, given up or lost, over all tries.
    Failed,
    /// Attempts at servers for each request.
    Attempts,
    /// Attempts that servers rejected, for each request.
    TurnedAway,
    /// Attempts of which nothing came, as the server was silent or had ended, for each request.
    Swallowed,
    /// Attempts at servers that have been silent for 3 s or more, for each of them and second.
    Trials,
    /// Connections made to servers, for each request.
    Handshakes,
    /// Probes for each request.
    Probes,
    /// Attempts to another zone, over all attempts.
    Crossing,
    /// Work that warm keys have saved, over the work that would else have been done.
    WorkSaved,
    /// The same had each request gone to the server, of all, that knew its key best.
    WorkSavable,
    /// Bytes of datagrams that a sidecar sends to others a second.
    FleetBytes,
    /// Processor time of the sidecars for each request, in milliseconds; 0 in simulated time.
    ProcessorMs,
    /// Resident memory of a sidecar at its end, in megabytes; 0 in simulated time.
    MemoryMb,
    /// Most attempts at one server at once, over the cores and places to wait that it has; the
    /// fullest of all.
    Deepest,
    /// Servers that were told to leave and were clear in the end, over all of them; 1 where none
    /// was.
    Cleared,
    /// Servers pushed over while cold.
    Fallen,
    /// Median time from a request's first try to its answer, in milliseconds.
    P50Ms,
    /// The time under which 99 in 100 lie, in milliseconds.
    P99Ms,
    /// Servers that were taken for a window and came back, over those that windows were asked for.
    Maintained,
    /// Time from the first window that was asked for until the last server is back, in seconds.
    MaintenanceS,
    /// Times that a server went away against the agreement, or a death was not answered in time.
    CapacityBreaches,
    /// The least part of the capacity that was there at any time, deaths included; 1 where nothing
    /// was agreed.
    LeastCapacity,
    /// Acts that the platform refused as their token was too low.
    TokensRefused,
    /// Faults of coordinators that happened.
    #[serde(alias = "steward_faults")]
    CoordinatorFaults,
    /// Time until the last sidecar found that there was a cut, in seconds; the longest of all cuts.
    CutFoundS,
    /// Part of the sidecars that did not find a cut before it was over, over all cuts.
    CutMissed,
    /// Time from the end of a cut until the last sidecar no longer found one, in seconds.
    CutEndsS,
    /// Times that a sidecar found itself cut off or alone where nothing was cut.
    CutFalse,
    /// Time from the start of a sidecar that was killed to its first answer of 200, in seconds; the
    /// mean.
    FirstAnswerS,
    /// Time from the start of sidecars that were killed until requests are worth 95 % of before
    /// again, in seconds.
    BackS,
    /// Attempts of a sidecar that was killed, in the 5 s after its start, at servers that were
    /// known to be bad before.
    Wasted,
    /// How late the emulator itself was, one request in a hundred, in milliseconds.
    LatenessMs,
    /// Broken rules.
    BrokenRules,
}

impl Measure {
    /// All of them.
    pub const ALL: [Self; 38] = [
        Self::Served,
        Self::ServedWorstClass,
        Self::ServedWorstSecond,
        Self::Answered,
        Self::Refused,
        Self::Failed,
        Self::Attempts,
        Self::TurnedAway,
        Self::Swallowed,
        Self::Trials,
        Self::Handshakes,
        Self::Probes,
        Self::Crossing,
        Self::WorkSaved,
        Self::WorkSavable,
        Self::FleetBytes,
        Self::ProcessorMs,
        Self::MemoryMb,
        Self::Deepest,
        Self::Cleared,
        Self::Fallen,
        Self::P50Ms,
        Self::P99Ms,
        Self::Maintained,
        Self::MaintenanceS,
        Self::CapacityBreaches,
        Self::LeastCapacity,
        Self::TokensRefused,
        Self::CoordinatorFaults,
        Self::CutFoundS,
        Self::CutMissed,
        Self::CutEndsS,
        Self::CutFalse,
        Self::FirstAnswerS,
        Self::BackS,
        Self::Wasted,
        Self::LatenessMs,
        Self::BrokenRules,
    ];

    /// Its name in files.
    pub fn name(self) -> String {
        serde_json::to_value(self)
            .ok()
            .and_then(|v| v.as_str().map(str::to_owned))
            .unwrap_or_default()
    }
}

#[cfg(test)]
mod tests;
