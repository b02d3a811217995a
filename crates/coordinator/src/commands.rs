//! The subcommands for people, which query a running coordinator.

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
        Command::Status(at) => (at, "GET", "/status".into(), None, status),
        Command::Members(at) => (at, "GET", "/status".into(), None, members),
        Command::Windows(at) => (at, "GET", "/windows".into(), None, windows),
        Command::Capacity(at) => (at, "GET", "/capacity".into(), None, capacity),
        Command::Ask(wish) => {
            let body = wish.request();
            (wish.at, "POST", "/windows".into(), Some(body), booked)
        }
        Command::Cancel { window, at } => (
            at,
            "POST",
            format!("/windows/{window}/cancel"),
            None,
            status,
        ),
        Command::StepDown(at) => (at, "POST", "/step-down".into(), None, status),
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
        false if good => aligned(&table(&answer)),
        false => aligned(&status(&answer)),
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

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        other => other.to_string(),
    }
}

/// Rows with columns of one width.
fn aligned(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |column: usize| {
        rows.iter()
            .filter_map(|r| r.get(column))
            .map(String::len)
            .max()
            .unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns).map(width).collect();
    let line = |row: &Vec<String>| {
        let cells = row
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:width$}"));
        cells.collect::<Vec<_>>().join("  ").trim_end().to_owned()
    };
    rows.iter().map(line).collect::<Vec<_>>().join("\n")
}

fn head(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

fn rows<'a>(list: &'a Value, keys: &'a [&str]) -> impl Iterator<Item = Vec<String>> + 'a {
    let all = list.as_array().into_iter().flatten();
    all.map(move |one| keys.iter().map(|key| plain(&one[*key])).collect())
}

fn status(answer: &Value) -> Vec<Vec<String>> {
    let pairs = answer.as_object().into_iter().flatten();
    pairs
        .map(|(key, value)| vec![key.clone(), plain(value)])
        .collect()
}

fn members(answer: &Value) -> Vec<Vec<String>> {
    let voters = answer["voters"].as_array().into_iter().flatten();
    let leadership = |name: &Value| {
        if *name == answer["leader"] {
            "leads"
        } else {
            ""
        }
    };
    let all = voters.map(|name| vec![plain(name), leadership(name).to_owned()]);
    std::iter::once(head(&["voice", ""])).chain(all).collect()
}

fn windows(answer: &Value) -> Vec<Vec<String>> {
    let keys = [
        "server",
        "state",
        "late",
        "start_ms",
        "end_ms",
        "token",
        "called_back",
        "reason",
    ];
    let mut table = vec![[vec!["window".to_owned(), "name".to_owned()], head(&keys)].concat()];
    for window in answer.as_array().into_iter().flatten() {
        let of = [plain(&window["window"]), plain(&window["name"])];
        table.extend(rows(&window["seats"], &keys).map(|row| [of.to_vec(), row].concat()));
    }
    table
}

fn capacity(answer: &Value) -> Vec<Vec<String>> {
    let keys = ["name", "listed", "present", "keep"];
    let mut table = vec![head(&keys)];
    table.extend(rows(&answer["rooms"], &keys));
    let debits = ["server", "weight", "why", "window"];
    table.push(Vec::new());
    table.push(head(&debits));
    table.extend(rows(&answer["debits"], &debits));
    table
}

fn booked(answer: &Value) -> Vec<Vec<String>> {
    let (booked, keys) = (&answer["booked"], ["server", "wave", "start_ms", "end_ms"]);
    let mut table = vec![
        vec!["window".to_owned(), plain(&booked["window"])],
        head(&keys),
    ];
    table.extend(rows(&booked["times"], &keys));
    table
}
