//! The subcommands that query a running coordinator.

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

/// Time limit of an answer: twice the coordinator's own.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

#[derive(Args)]
pub struct CoordinatorAddress {
    /// Address of a coordinator.
    #[arg(long, value_name = "ADDRESS", default_value = "127.0.0.1:9480")]
    at: SocketAddr,
    /// Print the answer as JSON.
    #[arg(long)]
    json: bool,
}

#[derive(Subcommand)]
pub enum Command {
    /// Show the status of a coordinator.
    Status(CoordinatorAddress),
    /// Show all windows by server.
    Windows(CoordinatorAddress),
    /// Show the available capacity, and what is unavailable and why.
    Capacity(CoordinatorAddress),
    /// Show the coordinators that a coordinator knows.
    Members(CoordinatorAddress),
    /// Request a window.
    Ask(WindowRequest),
    /// Cancel a window.
    Cancel {
        /// Number of the window.
        window: u64,
        #[command(flatten)]
        at: CoordinatorAddress,
    },
    /// Make the leader transfer its leadership.
    StepDown(CoordinatorAddress),
}

#[derive(Args)]
pub struct WindowRequest {
    /// Name of the request; a repeated request with the same name gets the first answer.
    name: String,
    /// A server to take out of service; may be repeated.
    #[arg(long, required_unless_present_any = ["group", "zone"])]
    server: Vec<String>,
    /// Take out all servers of a group.
    #[arg(long, conflicts_with_all = ["server", "zone"])]
    group: Option<String>,
    /// Take out a part of a zone.
    #[arg(long, conflicts_with = "server")]
    zone: Option<String>,
    /// Part of the zone, in thousandths.
    #[arg(long, default_value_t = 1000, requires = "zone")]
    permille: u32,
    /// How long each server is out of service, from its drain until it is warm again.
    #[arg(long)]
    length: Time,
    /// How much longer it may take.
    #[arg(long, default_value = "0s")]
    overrun: Time,
    /// Time within which the whole window must be over.
    #[arg(long)]
    within: Time,
    /// Time before which no server may be drained.
    #[arg(long, default_value = "0s")]
    after: Time,
    /// Priority; higher goes first.
    #[arg(long, default_value_t = 0)]
    priority: u8,
    /// Allow the servers to go in several waves.
    #[arg(long)]
    split: bool,
    #[command(flatten)]
    at: CoordinatorAddress,
}

/// Renders an answer as rows of cells.
type Table = fn(&Value) -> Vec<Vec<String>>;

/// Runs a subcommand.
pub fn run(command: Command) -> Exit {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let Ok(runtime) = runtime else {
        return Exit::Unavailable;
    };
    let (at, method, path, body, table): (CoordinatorAddress, _, String, _, Table) = match command {
        Command::Status(at) => (at, "GET", "/status".into(), None, tables::status),
        Command::Members(at) => (at, "GET", "/status".into(), None, tables::members),
        Command::Windows(at) => (at, "GET", "/windows".into(), None, tables::windows),
        Command::Capacity(at) => (at, "GET", "/capacity".into(), None, tables::capacity),
        Command::Ask(request) => {
            let body = request.request();
            (
                request.at,
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
    let exchange = async {
        let first = fetch(at.at, method, &path, body.as_ref(), ANSWER_TIMEOUT).await;
        // A follower answers with the address of the leader.
        let leader = first.as_ref().ok().filter(|(code, _)| *code == 503);
        let leader = leader.and_then(|(_, answer)| answer["address"].as_str()?.parse().ok());
        match leader {
            Some(leader) => fetch(leader, method, &path, body.as_ref(), ANSWER_TIMEOUT).await,
            None => first,
        }
    };
    let (code, answer) = match LocalSet::new().block_on(&runtime, exchange) {
        Ok(answer) => answer,
        Err(error) => {
            let _ = writeln!(std::io::stderr(), "{}: {}: {error}", crate::NAME, at.at);
            return Exit::Unavailable;
        }
    };
    let is_success = (200..300).contains(&code);
    let text = match at.json {
        true => answer.to_string(),
        false if is_success => tables::aligned(&table(&answer)),
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
