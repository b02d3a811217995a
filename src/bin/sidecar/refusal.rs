//! Why a request is answered without having been given to the decision module.

use hyper::StatusCode;

/// The reason of a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It is no request of the protocol.
    Improper,
    /// Its body is longer than allowed.
    TooLong,
    /// It did not arrive completely in time.
    Incomplete,
    /// There is no memory for it.
    NoMemory,
    /// Others need the place of its connection.
    NoPlace,
    /// Its client may have left unnoticed.
    ClientMayHaveLeft,
    /// The process is about to exit.
    ShutDown,
}

impl Refusal {
    /// The names in logs and metrics, in the order of [`Self::index`].
    pub const LABELS: [&str; 7] = [
        "improper",
        "too_long",
        "incomplete",
        "no_memory",
        "no_place",
        "client_may_have_left",
        "shut_down",
    ];

    /// The index of its name among [`Self::LABELS`].
    pub fn index(self) -> usize {
        self as usize
    }

    /// The status of the answer. Nothing was forwarded, so that 503 promises the truth; an improper
    /// request is not to be repeated.
    pub fn status(self) -> StatusCode {
        match self {
            Self::Improper => StatusCode::BAD_REQUEST,
            Self::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Incomplete => StatusCode::REQUEST_TIMEOUT,
            Self::NoMemory | Self::NoPlace | Self::ClientMayHaveLeft | Self::ShutDown => {
                StatusCode::SERVICE_UNAVAILABLE
            }
        }
    }

    /// The answer as it is sent where the HTTP library has no request to answer, since its head is
    /// not complete. The connection is closed behind it.
    pub fn response(self) -> String {
        format!(
            "HTTP/1.1 {}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n",
            self.status()
        )
    }

    /// Whether the connection stays open: all of the request has been read, and others may follow.
    pub fn keeps_connection(self) -> bool {
        self == Self::ClientMayHaveLeft
    }
}
