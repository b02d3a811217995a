//! Command line conventions that all programs share.

use std::process::ExitCode;

/// How a program ends. The numbers are those of `sysexits.h` (4.3BSD), so that supervisors and
/// scripts can tell a wrong call from a wrong file and both from trouble that may pass.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// It did what was asked.
    Done = 0,
    /// It failed, or what it checked does not hold.
    Failed = 1,
    /// It was called in a way that it does not understand.
    Usage = 64,
    /// Data that it was given is not in the form it needs.
    Data = 65,
    /// Something that it needs cannot be had now: an address in use, a service that does not
    /// answer.
    Unavailable = 69,
    /// A fault of its own.
    Software = 70,
    /// A file could not be read or written.
    Io = 74,
    /// Its configuration cannot be used.
    Config = 78,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

/// The end of every `--help`.
pub const EXIT_CODES: &str = "Exit codes:
  0   done
  1   failed, or what was checked does not hold
  64  wrong call
  65  data in a wrong form
  69  something needed is not available now
  70  a fault of the program
  74  a file cannot be read or written
  78  the configuration cannot be used";

/// Version of the programs; they are released together.
pub const VERSION: &str = env!("CARGO_PKG_VERSION");
/// The commit they were built from, where that was known.
pub const COMMIT: Option<&str> = option_env!("LOAD_BALANCER_COMMIT");

/// Reads the command line. Where the program is not to go on, the code to end with comes back: help
/// and version have then been printed to standard output, or what is wrong with the call to
/// standard error.
pub fn parse<T: clap::Parser>() -> Result<T, Exit> {
    parse_from(std::env::args_os())
}

/// The same with the words of `args`, of which the first is the program's name.
pub fn parse_from<T: clap::Parser>(
    args: impl IntoIterator<Item = impl Into<std::ffi::OsString> + Clone>,
) -> Result<T, Exit> {
    let version = format!("{VERSION} (commit {})", COMMIT.unwrap_or("unknown"));
    let command = T::command().version(version).after_help(EXIT_CODES);
    let matches = command
        .try_get_matches_from(args)
        .and_then(|matches| T::from_arg_matches(&matches));
    matches.map_err(|error| {
        // A closed standard output is no reason to say more.
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
