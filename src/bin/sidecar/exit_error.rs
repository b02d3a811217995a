//! Why the process ends.

use std::fmt;
use std::process::ExitCode;

/// Why the process ends, in one plain line, and the code that it ends with.
#[derive(Debug)]
pub struct ExitError {
    message: String,
    code: ExitCode,
}

impl ExitError {
    /// Ends with that code.
    pub fn new(message: impl fmt::Display, code: impl Into<ExitCode>) -> Self {
        Self {
            message: message.to_string(),
            code: code.into(),
        }
    }

    /// Ends with the code of an ordinary failure.
    pub fn failure(message: impl fmt::Display) -> Self {
        Self::new(message, ExitCode::FAILURE)
    }

    /// The code.
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
