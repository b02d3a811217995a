//! The stages of a graceful shutdown.

/// The stages, in their order.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownStage {
    /// Serving normally.
    Running,
    /// Connections close once their open requests are answered.
    Closing,
    /// New connections are no longer accepted.
    NotAccepting,
    /// Requests that are still open fail at once.
    Immediate,
}
