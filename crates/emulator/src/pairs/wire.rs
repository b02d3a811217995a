//! Records the events and actions of a decision module on the simulator's wire (WIRE), so that any
//! version of it can be given the same.

use crate::sim::SimulationObserver;
use crate::site::{CLASSES, KINDS, ZONES};
use load_balancer::{Action, EndpointStatus, Event, ListUpdate, ListedEndpoint, Micros, Outcome};
use std::fmt::Write as _;
use xxhash_rust::xxh3::xxh3_64;

/// A history as it was told and answered, a batch for each event.
#[derive(Clone, Debug, Default)]
pub struct Written {
    servers: Vec<String>,
    /// Everything that an adapter is told, on its standard input.
    pub told: String,
    /// Everything that today's module answers.
    pub answered: String,
    batches: u64,
}

impl Written {
    /// An empty one, with the servers' names in the order of their numbers.
    pub fn new(servers: Vec<String>) -> Self {
        Self {
            servers,
            ..Self::default()
        }
    }

    /// Hash (XXH3) of what was answered: two versions with the same have decided the same.
    pub fn digest(&self) -> u64 {
        xxh3_64(self.answered.as_bytes())
    }

    fn batch(&mut self, now: Micros, told: &str, answered: &str) {
        self.batches += 1;
        let batch = self.batches;
        // Writing to a string cannot fail.
        let _ = write!(self.told, "mark WallUs={now} batch={batch}\n{told}go\n");
        let _ = writeln!(self.answered, "{answered}next batch={batch}");
    }

    fn list(&self, instance: usize, update: &ListUpdate) -> String {
        let (kind, list): (u8, &[ListedEndpoint]) = match update {
            ListUpdate::Failed => (0, &[]),
            ListUpdate::Delta(list) => (1, list),
            ListUpdate::Cached(list) => (2, list),
            ListUpdate::Full(list) => (3, list),
        };
        let mut text = format!("catalog RosterId=0 Hosts={}\n", list.len());
        for l in list {
            let status = match l.status {
                EndpointStatus::Removed => 0,
                EndpointStatus::Ready => 1,
                EndpointStatus::Draining => 2,
            };
            let _ = write!(
                text,
                "m Endpoint={} Group={} Status={status}",
                self.servers[l.endpoint], l.cell
            );
            let _ = write!(
                text,
                " Size={} ReadyAtUs={}",
                l.size,
                l.started.unwrap_or(0)
            );
            if let Some(zone) = l.zone {
                let _ = write!(text, " Campus={}", ZONES[zone]);
            }
            if let Some(kind) = l.kind {
                let _ = write!(text, " Model={}", KINDS[kind].name);
            }
            text.push('\n');
        }
        let _ = writeln!(
            text,
            "endpoints I={instance} Epoch=1 Kind={kind} RosterId=0"
        );
        text
    }

    fn event(&self, i: usize, event: &Event) -> Option<String> {
        Some(match event {
            Event::Endpoints(update) => self.list(i, update),
            Event::Request(r) => {
                let mut text = format!(
                    "demand I={i} Ticket={} Profile={}",
                    r.id, CLASSES[r.class].name
                );
                let _ = write!(
                    text,
                    " DueUs={} Flags={}",
                    r.deadline,
                    2 * u8::from(r.is_retry)
                );
                if let Some(key) = r.key {
                    let _ = write!(text, " PartitionKey={key}");
                }
                text + "\n"
            }
            Event::AttemptEnded(end) => {
                let outcome = match end.outcome {
                    Outcome::Ok => "OK",
                    Outcome::Error => "INTERNAL",
                    Outcome::Rejected => "RESOURCE_EXHAUSTED",
                    Outcome::TimedOut => "DEADLINE_EXCEEDED",
                    Outcome::ConnectFailed => "UNAVAILABLE",
                    Outcome::Reset => "ABORTED",
                    Outcome::Cancelled => "CANCELLED",
                    Outcome::NotSent => "TOO_LATE",
                };
                format!(
                    "returned I={i} Ticket={} Disposition={outcome} Endpoint={} TookUs={} Go={} Settled={}\n",
                    end.request,
                    self.servers[end.endpoint],
                    end.elapsed,
                    end.attempt,
                    u8::from(end.request_answered)
                )
            }
            Event::Abandoned(request) => format!("withdrawn I={i} Ticket={request}\n"),
            Event::Timer(token) => format!("alarm I={i} Ctx={token}\n"),
            // Neither streams nor probes nor messages happen in simulated time, and what parts tell
            // does not as they are off.
            _ => return None,
        })
    }

    fn action(&self, i: usize, action: &Action) -> Option<String> {
        let server = |endpoint: &usize| &self.servers[*endpoint];
        Some(match action {
            Action::Send {
                request,
                endpoint,
                timeout,
                ..
            } => {
                format!(
                    "hand_off I={i} Ticket={request} Endpoint={} TimeoutUs={timeout}\n",
                    server(endpoint)
                )
            }
            Action::Reject {
                request,
                retry_after,
            } => {
                format!("not_now I={i} Ticket={request} HoldOffUs={retry_after}\n")
            }
            Action::Fail(request) => format!("error I={i} Ticket={request}\n"),
            Action::Cancel { request, attempt } => {
                format!("recall I={i} Ticket={request} Go={attempt}\n")
            }
            Action::Probe(endpoint) => {
                format!("health_check I={i} Endpoint={}\n", server(endpoint))
            }
            Action::SetTimer { after, token } => {
                format!("defer I={i} FromNowUs={after} Ctx={token}\n")
            }
            Action::Subscribe(on) => format!("tail I={i} Active={}\n", u8::from(*on)),
            Action::FetchList => format!("read_list I={i}\n"),
            Action::CloseIdle(endpoint) => {
                format!("free_links I={i} Endpoint={}\n", server(endpoint))
            }
            Action::Log(text) => {
                format!("say_log I={i} Text={}\n", text.replace(['\n', '\r'], " "))
            }
            // Instances of a history have no peers, and what is told to parts never crosses the
            // wire.
            _ => return None,
        })
    }
}

impl SimulationObserver for Written {
    fn started(&mut self, instance: usize, now: Micros, seed: u64, settings: &str) {
        self.batch(
            now,
            &format!("start I={instance} RandomSeed={seed} Conf={settings}\n"),
            "",
        );
    }

    fn handled(&mut self, instance: usize, now: Micros, event: &Event, actions: &[Action]) {
        if let Some(told) = self.event(instance, event) {
            let answered: String = actions
                .iter()
                .filter_map(|a| self.action(instance, a))
                .collect();
            self.batch(now, &told, &answered);
        }
    }
}
