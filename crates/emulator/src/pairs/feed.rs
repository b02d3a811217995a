//! Runs a history to another build's simulator adapter, and finds the first difference to today's
//! answers.

use super::wire::Written;
use std::io::{self, Read, Write};
use std::path::Path;
use std::process::{Command, Stdio};
use std::thread;

/// Where two versions first decide differently in a history.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Parting {
    /// Line of the answers, counted from 1.
    pub line: usize,
    /// What the other version says there; nothing where its answers have ended.
    pub theirs: String,
    /// What today's says.
    pub ours: String,
    /// The batch that is answered there, as it was told.
    pub told: String,
}

impl std::fmt::Display for Parting {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self {
            line,
            theirs,
            ours,
            told,
        } = self;
        write!(
            f,
            "line {line}: theirs {theirs:?}, ours {ours:?}, told {told:?}"
        )
    }
}

/// What an adapter's program answers to what a history tells.
///
/// # Errors
/// It cannot be started, or ends with a failure.
pub fn answers(program: &Path, told: &str) -> io::Result<String> {
    let mut child = Command::new(program)
        .env_clear()
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()?;
    let (Some(mut into), Some(mut out)) = (child.stdin.take(), child.stdout.take()) else {
        return Err(io::Error::other("it has no pipes"));
    };
    let mut text = String::new();
    // Both ways at once: neither pipe may fill up while nobody reads.
    let (written, read) = thread::scope(|scope| {
        let writer = scope.spawn(move || into.write_all(told.as_bytes()));
        let read = out.read_to_string(&mut text);
        (
            writer
                .join()
                .unwrap_or_else(|_| Err(io::Error::other("the writer panicked"))),
            read,
        )
    });
    let status = child.wait()?;
    written?;
    read?;
    match status.success() {
        true => Ok(text),
        false => Err(io::Error::other(format!("it ended with {status}"))),
    }
}

/// Where the answers of another version first differ, if they do.
pub fn parting(history: &Written, theirs: &str) -> Option<Parting> {
    if history.answered == theirs {
        return None;
    }
    let (mut ours, mut others) = (history.answered.lines(), theirs.lines());
    let (mut line, mut batch) = (0, 0);
    loop {
        line += 1;
        let (own, other) = (ours.next(), others.next());
        if own != other || own.is_none() {
            let told = history
                .told
                .split("\ngo\n")
                .nth(batch)
                .unwrap_or_default()
                .to_owned();
            let text = |line: Option<&str>| line.unwrap_or_default().to_owned();
            return Some(Parting {
                line,
                theirs: text(other),
                ours: text(own),
                told,
            });
        }
        batch += usize::from(own.is_some_and(|line| line.starts_with("next ")));
    }
}
