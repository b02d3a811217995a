//! The subcommands for people, which query a running coordinator.

mod tables;

use crate::fetch::fetch;
use clap::{Args, Subcommand};
use load_balancer_common::cli::Exit;
use load_balancer_common::units::Time;
use serde_json::{Value, json};
use std::io::Write;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::task::LocalSet;

/// How long an answer may take: a coordinator's own time and as much again.
const WITHIN: Duration = Duration::from_secs(10);

#[derive(Args)]
pub struct At {
    /// Where a coordinator listens.
    #[arg(long, value_name = "ADDRESS", default_value = "127.0.0.1:9480")]
    at: SocketAddr,
    /// Print the answer as it came, JSON.
    #[arg(long)]
    json: bool,
}

#[derive(Subcommand)]
pub enum Command {
    /// Shows where a coordinator stands.
    Status(At),
    /// Shows all windows, server by server.
    Windows(At),
    /// Shows what capacity is there, and what is not and why.
    Capacity(At),
    /// Shows the coordinators that a coordinator knows.
    Members(At),
    /// Asks for a window.
    Ask(WindowRequest),
    /// Takes a window back.
    Cancel {
        /// Its number.
        window: u64,
        #[command(flatten)]
        at: At,
    },
    /// Tells the leader to hand its lead over.
    StepDown(At),
}

#[derive(Args)]
pub struct WindowRequest {
    /// Name of the request; asked again under it, the answer is that of the first.
    name: String,
    /// A server that is to be away; again for each.
    #[arg(long, required_unless_present_any = ["group", "zone"])]
    server: Vec<String>,
    /// All servers of a group.
    #[arg(long, conflicts_with_all = ["server", "zone"])]
    group: Option<String>,
    /// A part of a zone.
    #[arg(long, conflicts_with = "server")]
    zone: Option<String>,
    /// The part, in thousandths.
    #[arg(long, default_value_t = 1000, requires = "zone")]
    permille: u32,
    /// How long each is away, from its drain until it serves warm.
    #[arg(long)]
    length: Time,
    /// How much longer it may take.
    #[arg(long, default_value = "0s")]
    overrun: Time,
    /// All must be over in this time.
    #[arg(long)]
    within: Time,
    /// None goes before this time has passed.
    #[arg(long, default_value = "0s")]
    after: Time,
    /// Higher goes first.
    #[arg(long, default_value_t = 0)]
    priority: u8,
    /// Servers may go in waves.
    #[arg(long)]
    split: bool,
    #[command(flatten)]
    at: At,
}

/// How an answer is shown: rows of cells.
type Table = fn(&Value) -> Vec<Vec<String>>;

/// Runs a command.
pub fn run(command: Command) -> Exit {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let Ok(runtime) = runtime else {
        return Exit::Unavailable;
    };
    let (at, method, path, body, table): (At, _, String, _, Table) = match command {
        Command::Status(at) => (at, "GET", "/status".into(), None, tables::status),
        Command::Members(at) => (at, "GET", "/status".into(), None, tables::members),
        Command::Windows(at) => (at, "GET", "/windows".into(), None, tables::windows),
        Command::Capacity(at) => (at, "GET", "/capacity".into(), None, tables::capacity),
        Command::Ask(wish) => {
            let body = wish.request();
            (
                wish.at,
                "POST",
                "/windows".into(),
                Some(body),
                tables::booked,
            )
        }
        Command::Cancel { window, at } => (
            at,
            "POST",
            format!("/windows/{window}/cancel"),
            None,
            tables::status,
        ),
        Command::StepDown(at) => (at, "POST", "/step-down".into(), None, tables::status),
    };
    let asked = async {
        let first = fetch(at.at, method, &path, body.as_ref(), WITHIN).await;
        // Who does not lead names who does.
        let leader = first.as_ref().ok().filter(|(code, _)| *code == 503);
        let leader = leader.and_then(|(_, answer)| answer["address"].as_str()?.parse().ok());
        match leader {
            Some(leader) => fetch(leader, method, &path, body.as_ref(), WITHIN).await,
            None => first,
        }
    };
    let (code, answer) = match LocalSet::new().block_on(&runtime, asked) {
        Ok(answer) => answer,
        Err(what) => {
            let _ = writeln!(std::io::stderr(), "{}: {}: {what}", crate::NAME, at.at);
            return Exit::Unavailable;
        }
    };
    let good = (200..300).contains(&code);
    let text = match at.json {
        true => answer.to_string(),
        false if good => tables::aligned(&table(&answer)),
        false => tables::aligned(&tables::status(&answer)),
    };
    let _ = writeln!(std::io::stdout(), "{}", text.trim_end());
    match code {
        200..300 => Exit::Done,
        503 => Exit::Unavailable,
        _ => Exit::Failed,
    }
}

impl WindowRequest {
    fn request(&self) -> Value {
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_millis();
        let target = match (&self.group, &self.zone) {
            (Some(group), _) => json!({"group": group}),
            (_, Some(zone)) => json!({"zone": {"zone": zone, "share_permille": self.permille}}),
            _ => json!({"servers": self.server}),
        };
        let ms = |time: Time| u64::try_from(time.0.as_millis()).unwrap_or(u64::MAX);
        let from_now = |time: Time| {
            u64::try_from(now)
                .unwrap_or(u64::MAX)
                .saturating_add(ms(time))
        };
        json!({"name": self.name, "target": target, "earliest_ms": from_now(self.after),
            "latest_ms": from_now(self.within), "length_ms": ms(self.length),
            "overrun_ms": ms(self.overrun), "priority": self.priority, "split": self.split})
    }
}
