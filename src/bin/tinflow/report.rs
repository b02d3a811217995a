//! Lines for the people on call. Changes with how a line leaves the program.

/// Writes one line to standard error.
#[cfg(not(feature = "product"))]
pub fn line(what: std::fmt::Arguments<'_>) {
    eprintln!("tinflow: {what}");
}

/// Writes a line: `say!(info, "target", "words {}", value)`. Level and target count in builds with the product parts.
macro_rules! say {
    ($level:ident, $target:literal, $($words:tt)*) => {{
        #[cfg(feature = "product")]
        tracing::$level!(target: $target, $($words)*);
        #[cfg(not(feature = "product"))]
        $crate::report::line(format_args!($($words)*));
    }};
}

pub(crate) use say;
