//! Log lines for on-call engineers.

/// Writes one line to standard error, at once and whole, also where what it quotes from outside
/// holds line breaks. One that is closed must not end a sidecar that serves.
#[cfg(not(feature = "product"))]
pub fn line(what: std::fmt::Arguments<'_>) {
    use std::io::Write;
    let line = format!("sidecar: {what}").replace(char::is_control, " ") + "\n";
    let _ = std::io::stderr().write_all(line.as_bytes());
}

/// Writes a line: `say!(info, "target", "words {}", value)`. Level and target count in builds with
/// the product parts.
macro_rules! say {
    ($level:ident, $target:literal, $($words:tt)*) => {{
        #[cfg(feature = "product")]
        tracing::$level!(target: $target, $($words)*);
        #[cfg(not(feature = "product"))]
        $crate::report::line(format_args!($($words)*));
    }};
}

pub(crate) use say;
