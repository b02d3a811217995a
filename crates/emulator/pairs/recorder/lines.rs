//! A line protocol on standard input and output, by which a part of an earlier revision is driven.

use std::fmt::Write as _;
use std::io::{self, BufRead, Write};

/// Serves one part until the end of input: each line gets its answers and a line with a point.
///
/// # Errors
/// A line cannot be read, or a pipe broke.
#[allow(dead_code, reason = "the examples'; the lab asks the parts themselves")]
pub fn serve(mut part: impl FnMut(&str) -> Result<Vec<String>, String>) -> io::Result<()> {
    let mut output = io::stdout().lock();
    for line in io::stdin().lock().lines() {
        for answer in part(&line?).map_err(io::Error::other)? {
            writeln!(output, "{answer}")?;
        }
        writeln!(output, ".")?;
        output.flush()?;
    }
    Ok(())
}

/// A word as a value.
///
/// # Errors
/// It is none.
pub fn read<T: std::str::FromStr>(word: &str) -> Result<T, String> {
    word.parse().map_err(|_| format!("cannot read {word:?}"))
}

/// Bytes as text.
pub fn hex(bytes: &[u8]) -> String {
    bytes
        .iter()
        .fold(String::with_capacity(2 * bytes.len()), |mut text, byte| {
            // Writing to a string cannot fail.
            let _ = write!(text, "{byte:02x}");
            text
        })
}

/// Text as bytes.
///
/// # Errors
/// It is none.
pub fn bytes(hex: &str) -> Result<Vec<u8>, String> {
    let byte = |at: usize| {
        hex.get(at..at + 2)
            .and_then(|two| u8::from_str_radix(two, 16).ok())
    };
    let all = (0..hex.len())
        .step_by(2)
        .map(byte)
        .collect::<Option<Vec<u8>>>();
    all.ok_or_else(|| "not hexadecimal".to_owned())
}
