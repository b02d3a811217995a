//! Log lines for on-call engineers.

/// Writes one line to standard error in a single call, with control characters in quoted input
/// replaced. A closed standard error must not end a serving sidecar.
#[cfg(not(feature = "product"))]
pub fn line(what: std::fmt::Arguments<'_>) {
    use std::io::Write;
    let line = format!("sidecar: {what}").replace(char::is_control, " ") + "\n";
    let _ = std::io::stderr().write_all(line.as_bytes());
}

/// Writes a log line: `say!(info, "target", "text {}", value)`. Level and target are used in builds
/// with the product parts.
macro_rules! say {
    ($level:ident, $target:literal, $($words:tt)*) => {{
        #[cfg(feature = "product")]
        tracing::$level!(target: $target, $($words)*);
        #[cfg(not(feature = "product"))]
        $crate::report::line(format_args!($($words)*));
    }};
}

pub(crate) use say;
