//! Logging by the `[log]` section: text for people, JSON for machines.

use crate::config::Contradiction;
use crate::stderr::{Lines, Shared, Stderr};
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
    /// Text for people, or JSON, one object a line.
    pub format: Format,
    /// The least level that is written.
    pub level: Level,
    /// The same for single targets, which are named in the reference, such as `"sidecar::request" =
    /// "debug"`.
    pub targets: BTreeMap<String, Level>,
    /// How much may wait for a standard error that takes nothing.
    pub buffer: Size,
}

/// What a line looks like.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// `program: text`, as on-call engineers know it.
    Text,
    /// One JSON object a line.
    Json,
}

/// How much it matters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Nothing is written.
    Off,
    /// What ends the program.
    Error,
    /// What somebody should look at.
    Warn,
    /// Changes of state.
    Info,
    /// Every request.
    Debug,
}

/// Least buffer: one line of ordinary length must fit.
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
    /// Finds what nothing could work with.
    ///
    /// # Errors
    /// The buffer holds no line.
    pub fn check(&self) -> Result<(), Contradiction> {
        if self.buffer < MIN_BUFFER {
            return Err(Contradiction::new(
                "log.buffer",
                format!("below {MIN_BUFFER}, which a line may need"),
            ));
        }
        Ok(())
    }

    /// Takes targets under a program's earlier name as those under its name of today. One that is
    /// named both ways keeps today's level.
    pub fn rename_targets(&mut self, earlier: &str, today: &str) {
        for (target, level) in std::mem::take(&mut self.targets) {
            match target.strip_prefix(earlier) {
                Some(rest) if rest.is_empty() || rest.starts_with("::") => {
                    self.targets
                        .entry(format!("{today}{rest}"))
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

/// The log of this process, to change levels while it runs.
pub struct Log {
    filter: reload::Handle<Targets, Registry>,
    lines: Shared<Stderr>,
}

impl Log {
    /// Takes in other levels. Format and buffer stay as they were at the start.
    pub fn set_levels(&self, section: &LogSection) {
        // Fails only once the log itself is gone, with the process.
        let _ = self.filter.reload(section.filter());
    }

    /// Lines dropped so far as standard error did not take them.
    pub fn dropped(&self) -> u64 {
        self.lines.with(|lines| lines.dropped())
    }

    /// Writes what still waits, as far as it is taken without a wait.
    pub fn flush(&self) {
        self.lines.with(Lines::flush);
    }
}

/// Starts the log of the process; `program` stands before each line of text. Called once, first of
/// all.
pub fn start(section: &LogSection, program: &'static str) -> Log {
    let most = usize::try_from(section.buffer.0).unwrap_or(usize::MAX);
    let lines = Shared::new(Lines::new(Stderr, program, most));
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
    // Only a second start in one process finds a log there; the first one stays.
    let _ = tracing_subscriber::registry()
        .with(layer.with_filter(filter))
        .try_init();
    Log {
        filter: handle,
        lines,
    }
}

/// `program: text key=value`, and the level before the text where it is not one of every day.
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

/// Hands out a writer for each line, which is kept in whole or not at all.
struct MakeLine(Shared<Stderr>);

struct Line<'a> {
    to: &'a Shared<Stderr>,
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
            self.to.with(|lines| lines.line(&self.bytes));
        }
    }
}

#[cfg(test)]
mod tests;
