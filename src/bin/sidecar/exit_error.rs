//! Why the process exits.

use std::fmt;
use std::process::ExitCode;

/// Why the process exits, as a one-line message with an exit code.
#[derive(Debug)]
pub struct ExitError {
    message: String,
    code: ExitCode,
}

impl ExitError {
    /// An error with that exit code.
    pub fn new(message: impl fmt::Display, code: impl Into<ExitCode>) -> Self {
        Self {
            message: message.to_string(),
            code: code.into(),
        }
    }

    /// An error with the exit code of an ordinary failure.
    pub fn failure(message: impl fmt::Display) -> Self {
        Self::new(message, ExitCode::FAILURE)
    }

    /// The exit code.
    pub fn code(&self) -> ExitCode {
        self.code
    }
}

impl fmt::Display for ExitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for ExitError {}
