//! Logging as configured in the `[log]` section: text for people, JSON for machines.

use crate::config::InvalidSetting;
use crate::stderr::{LineBuffer, SharedLines, Stderr};
use crate::units::Size;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::io;
use tracing::{Event, Subscriber};
use tracing_subscriber::filter::{LevelFilter, Targets};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields, MakeWriter};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::registry::LookupSpan;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{Layer, Registry, reload};

/// The `[log]` section.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSection {
    /// Text for people, or JSON, one object per line.
    pub format: Format,
    /// The lowest level that is written.
    pub level: Level,
    /// The same for single targets, which the reference lists, such as `"sidecar::request" =
    /// "debug"`.
    pub targets: BTreeMap<String, Level>,
    /// Most bytes that wait for a blocked standard error.
    pub buffer: Size,
}

/// The format of a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// `program: text`.
    Text,
    /// One JSON object per line.
    Json,
}

/// The severity of a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Nothing is written.
    Off,
    /// The program ends.
    Error,
    /// An operator should take a look.
    Warn,
    /// Changes of state.
    Info,
    /// Details of every request.
    Debug,
}

/// Smallest buffer: one line of ordinary length must fit.
const MIN_BUFFER: Size = Size(1024);

impl Default for LogSection {
    fn default() -> Self {
        Self {
            format: Format::Text,
            level: Level::Info,
            targets: BTreeMap::new(),
            buffer: Size(64 << 10),
        }
    }
}

impl LogSection {
    /// Rejects settings that can't work.
    ///
    /// # Errors
    /// The buffer is too small for a line.
    pub fn check(&self) -> Result<(), InvalidSetting> {
        if self.buffer < MIN_BUFFER {
            return Err(InvalidSetting::new(
                "log.buffer",
                format!("below {MIN_BUFFER}, which a line may need"),
            ));
        }
        Ok(())
    }

    /// Renames targets with a program's earlier name to its current one. A target given under both
    /// names keeps the level of the current one.
    pub fn rename_targets(&mut self, old_name: &str, current_name: &str) {
        for (target, level) in std::mem::take(&mut self.targets) {
            match target.strip_prefix(old_name) {
                Some(suffix) if suffix.is_empty() || suffix.starts_with("::") => {
                    self.targets
                        .entry(format!("{current_name}{suffix}"))
                        .or_insert(level);
                }
                _ => {
                    self.targets.insert(target, level);
                }
            }
        }
    }

    fn filter(&self) -> Targets {
        let targets = self
            .targets
            .iter()
            .map(|(target, level)| (target.as_str(), level.filter()));
        Targets::new()
            .with_default(self.level.filter())
            .with_targets(targets)
    }
}

impl Level {
    fn filter(self) -> LevelFilter {
        match self {
            Self::Off => LevelFilter::OFF,
            Self::Error => LevelFilter::ERROR,
            Self::Warn => LevelFilter::WARN,
            Self::Info => LevelFilter::INFO,
            Self::Debug => LevelFilter::DEBUG,
        }
    }
}

/// The log of this process; its levels can be changed at runtime.
pub struct Log {
    filter: reload::Handle<Targets, Registry>,
    lines: SharedLines<Stderr>,
}

impl Log {
    /// Sets other levels. Format and buffer stay as they were at the start.
    pub fn set_levels(&self, section: &LogSection) {
        // Fails only once the log itself is gone, with the process.
        let _ = self.filter.reload(section.filter());
    }

    /// Number of lines dropped so far because standard error was blocked.
    pub fn dropped(&self) -> u64 {
        self.lines.with(|lines| lines.dropped())
    }

    /// Writes buffered lines, as far as possible without blocking.
    pub fn flush(&self) {
        self.lines.with(LineBuffer::flush);
    }
}

/// Starts the log of the process; text lines begin with `program`. Must be called once, before
/// anything is logged.
pub fn start(section: &LogSection, program: &'static str) -> Log {
    let max_bytes = usize::try_from(section.buffer.0).unwrap_or(usize::MAX);
    let lines = SharedLines::new(LineBuffer::new(Stderr, program, max_bytes));
    let (filter, handle) = reload::Layer::new(section.filter());
    let writer = MakeLine(lines.clone());
    let layer: Box<dyn Layer<Registry> + Send + Sync> = match section.format {
        Format::Text => {
            let format = Text { program };
            tracing_subscriber::fmt::layer()
                .with_ansi(false)
                .event_format(format)
                .with_writer(writer)
                .boxed()
        }
        Format::Json => {
            let format = tracing_subscriber::fmt::format()
                .json()
                .flatten_event(true)
                .with_current_span(false);
            let fields = tracing_subscriber::fmt::format::JsonFields::new();
            tracing_subscriber::fmt::layer()
                .event_format(format.with_span_list(false))
                .fmt_fields(fields)
                .with_writer(writer)
                .boxed()
        }
    };
    // Fails only if the process already has a log, which then stays.
    let _ = tracing_subscriber::registry()
        .with(layer.with_filter(filter))
        .try_init();
    Log {
        filter: handle,
        lines,
    }
}

/// `program: text key=value`, with the level before the text if it is debug.
struct Text {
    program: &'static str,
}

impl<S, N> FormatEvent<S, N> for Text
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(
        &self,
        ctx: &FmtContext<'_, S, N>,
        mut to: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        write!(to, "{}: ", self.program)?;
        if *event.metadata().level() >= tracing::Level::DEBUG {
            write!(to, "debug: ")?;
        }
        ctx.format_fields(to.by_ref(), event)?;
        writeln!(to)
    }
}

/// Creates a writer for each line, which is buffered completely or not at all.
struct MakeLine(SharedLines<Stderr>);

struct Line<'a> {
    to: &'a SharedLines<Stderr>,
    bytes: Vec<u8>,
}

impl<'a> MakeWriter<'a> for MakeLine {
    type Writer = Line<'a>;

    fn make_writer(&'a self) -> Line<'a> {
        Line {
            to: &self.0,
            bytes: Vec::new(),
        }
    }
}

impl io::Write for Line<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.bytes.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Drop for Line<'_> {
    fn drop(&mut self) {
        if !self.bytes.is_empty() {
            self.to.with(|lines| lines.write_line(&self.bytes));
        }
    }
}

#[cfg(test)]
mod tests;
