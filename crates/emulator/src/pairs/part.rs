//! A part that is driven by lines of text: today's, or an earlier revision's program.

use std::io::{self, BufRead, BufReader, Write};
use std::path::Path;
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};

/// What does a line, and hands over those that come of it.
type Here = Box<dyn FnMut(&str) -> Result<Vec<String>, String>>;

/// A part.
pub struct Part(Kind);

enum Kind {
    Here(Here),
    There {
        child: Child,
        into: ChildStdin,
        out: BufReader<ChildStdout>,
    },
}

impl Part {
    /// One of today.
    pub fn here(part: impl FnMut(&str) -> Result<Vec<String>, String> + 'static) -> Self {
        Self(Kind::Here(Box::new(part)))
    }

    /// One that a program runs, which ends with it.
    ///
    /// # Errors
    /// It cannot be started.
    pub fn of(program: &Path) -> io::Result<Self> {
        let mut command = Command::new(program);
        let mut child = command
            .env_clear()
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        match (child.stdin.take(), child.stdout.take()) {
            (Some(into), Some(out)) => Ok(Self(Kind::There {
                child,
                into,
                out: BufReader::new(out),
            })),
            _ => Err(io::Error::other("it has no pipes")),
        }
    }

    /// Tells it a line; what it answers.
    ///
    /// # Errors
    /// It cannot read the line, or has ended.
    pub fn ask(&mut self, line: &str) -> io::Result<Vec<String>> {
        match &mut self.0 {
            Kind::Here(part) => part(line).map_err(io::Error::other),
            Kind::There { into, out, .. } => {
                into.write_all(format!("{line}\n").as_bytes())?;
                let mut answers = Vec::new();
                loop {
                    let mut answer = String::new();
                    if out.read_line(&mut answer)? == 0 {
                        return Err(io::Error::other(format!("it ended at {line:?}")));
                    }
                    match answer.trim_end() {
                        "." => return Ok(answers),
                        answer => answers.push(answer.to_owned()),
                    }
                }
            }
        }
    }
}

impl Drop for Part {
    fn drop(&mut self) {
        if let Kind::There { child, .. } = &mut self.0 {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
