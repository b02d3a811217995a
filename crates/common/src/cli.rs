//! Command line conventions shared by all programs.

use std::process::ExitCode;

/// Exit codes of the programs, as in `sysexits.h` (4.3BSD), so that supervisors and scripts can
/// distinguish invalid arguments, invalid files and temporary failures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// Success.
    Done = 0,
    /// It failed, or a check did not pass.
    Failed = 1,
    /// Its arguments are invalid.
    Usage = 64,
    /// Its input has the wrong format.
    Data = 65,
    /// Something it needs is unavailable: an address in use, a service that does not answer.
    Unavailable = 69,
    /// An internal error.
    Software = 70,
    /// A file could not be read or written.
    Io = 74,
    /// Its configuration is invalid.
    Config = 78,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

/// The text at the end of every `--help`.
pub const EXIT_CODES: &str = "Exit codes:
  0   done
  1   failed, or what was checked does not hold
  64  wrong call
  65  data in a wrong form
  69  something needed is not available now
  70  a fault of the program
  74  a file cannot be read or written
  78  the configuration cannot be used";

/// Version of the programs, which are released together.
pub const VERSION: &str = env!("CARGO_PKG_VERSION");
/// The commit they were built from, if known.
pub const COMMIT: Option<&str> = option_env!("LOAD_BALANCER_COMMIT");

/// Parses the command line. An error is the exit code to end with: help and version have been
/// printed to standard output, or the error in the arguments to standard error.
pub fn parse<T: clap::Parser>() -> Result<T, Exit> {
    parse_from(std::env::args_os())
}

/// As above, from `args`, the first of which is the program's name.
pub fn parse_from<T: clap::Parser>(
    args: impl IntoIterator<Item = impl Into<std::ffi::OsString> + Clone>,
) -> Result<T, Exit> {
    let version = format!("{VERSION} (commit {})", COMMIT.unwrap_or("unknown"));
    let command = T::command().version(version).after_help(EXIT_CODES);
    let matches = command
        .try_get_matches_from(args)
        .and_then(|matches| T::from_arg_matches(&matches));
    matches.map_err(|error| {
        // A closed standard output needs no further message.
        let _ = error.print();
        if error.use_stderr() {
            Exit::Usage
        } else {
            Exit::Done
        }
    })
}

#[cfg(test)]
mod tests;
