//! Real coordinators, with relays between them, to the sidecars' pages and to the platform.

mod asker;
mod faults;
mod process;

pub use asker::request_windows;
pub use faults::inject_faults;

use crate::experiment::Coordinators as Asked;
use crate::links;
use crate::net::{Clock, Net};
use crate::page::request_json;
use crate::plan::{Kept, Plan};
use crate::platform::Platform;
use crate::record::Record;
use crate::reserved::Reserved;
use crate::site::ZONES;
use crate::supervisor::LaunchOptions;
use crate::{SECOND, Us};
use jiff::Timestamp;
use jiff::tz::TimeZone;
use process::CoordinatorProcess;
use serde_json::Value;
use std::fmt::Write;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep, sleep_until};

/// Timeout of the emulator's requests to a coordinator.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval of polls.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of the election at the start of a run.
const ELECTION_TIMEOUT: Duration = Duration::from_secs(30);

/// Delay from the coordinators' start to that of a run with blackouts, whose times are part of
/// their configuration.
const START_DELAY: Duration = Duration::from_secs(10);
/// The share of the time for reacting to a death that is used for detecting it and for acting: two
/// polls at one second, and half a second for each of two rounds of actions, in microseconds.
const REACTION_TIME_US: Us = 3 * SECOND;
/// How long a plan assumes a dead server to be away, in milliseconds: a run lasts a minute, not a
/// day.
const REPAIR_MS: u64 = 10_000;

/// All coordinators of a run.
pub struct Coordinators {
    all: Vec<Mutex<CoordinatorProcess>>,
    pages: Vec<SocketAddr>,
    /// Keeps the coordinators' addresses reserved while they are down.
    _reserved: Vec<Reserved>,
    plan: Arc<Plan>,
    platform: Arc<Platform>,
    clock: Clock,
    record: Record,
    /// When the run starts, if it has blackouts.
    starts_at: Option<Instant>,
}

/// The environment of coordinators.
pub struct Environment<'a> {
    /// The network.
    pub net: &'a Net,
    /// The platform, and its address.
    pub platform: (Arc<Platform>, SocketAddr),
    /// The addresses of the sidecars' pages.
    pub sidecars: &'a [SocketAddr],
    /// A host of the loopback range, by purpose and number.
    pub host: fn(u8, usize) -> IpAddr,
    /// The folder of their files.
    pub folder: &'a Path,
}

impl Coordinators {
    /// Starts the coordinators, with the experiment's configuration in addition to the required
    /// one. Links between processes stay open until the handles are aborted.
    ///
    /// # Errors
    /// Sockets or files can't be created, or the program can't be started.
    pub async fn start(
        settings: &Asked,
        launch_options: &LaunchOptions,
        environment: Environment<'_>,
        (plan, clock, record): (&Arc<Plan>, &Clock, &Record),
    ) -> io::Result<(Arc<Self>, Vec<AbortHandle>)> {
        let zone_of = |coordinator: usize| {
            coordinator
                % plan
                    .kept
                    .as_ref()
                    .map_or(1, |kept| kept.keep_zone.len())
                    .max(1)
        };
        let reserved =
            (0..settings.count).map(|coordinator| Reserved::on((environment.host)(6, coordinator)));
        let reserved: Vec<Reserved> = reserved.collect::<io::Result<_>>()?;
        let pages: Vec<SocketAddr> = reserved.iter().map(Reserved::address).collect();
        let has_blackouts = plan
            .kept
            .as_ref()
            .is_some_and(|kept| !kept.blackouts.is_empty());
        let starts_at = has_blackouts.then(|| Instant::now() + START_DELAY);
        let agreement_section = match &plan.kept {
            Some(kept) => agreement_text(kept, starts_at.map(|_| Timestamp::now() + START_DELAY))?,
            None => String::new(),
        };
        let (mut all, mut handles) = (Vec::new(), Vec::new());
        for own in 0..settings.count {
            let mut open_link = |to: usize, target| {
                let (address, handle) = links::open(
                    (environment.host)(7, own),
                    environment.net,
                    (zone_of(own), to),
                    target,
                )?;
                handles.push(handle);
                io::Result::Ok(address)
            };
            let mut text = format!(
                "[coordinator]\nname = \"s{own}\"\nlisten = \"{}\"\ndata = {:?}\n{}\n[coordinators]\n",
                pages[own],
                data_path(environment.folder, own),
                fault_settings(settings, own)
            );
            for (other, at) in pages.iter().enumerate() {
                let at = if other == own {
                    *at
                } else {
                    open_link(zone_of(other), *at)?
                };
                let _ = writeln!(text, "s{other} = \"{at}\"");
            }
            let _ = writeln!(
                text,
                "\n[platform]\naddress = \"{}\"\n\n[evidence.sidecars]",
                environment.platform.1
            );
            for (number, name) in ZONES.iter().enumerate() {
                let there = plan
                    .sidecars
                    .iter()
                    .enumerate()
                    .filter(|(_, spec)| spec.zone == number);
                let mut addresses = Vec::new();
                for (sidecar, _) in there {
                    addresses.push(open_link(number, environment.sidecars[sidecar])?.to_string());
                }
                if !addresses.is_empty() {
                    let _ = writeln!(text, "{name} = {addresses:?}");
                }
            }
            text += &agreement_section;
            text += &settings.config;
            let folder = environment.folder;
            all.push(Mutex::new(CoordinatorProcess::start(
                own,
                &text,
                launch_options.clone(),
                folder,
            )?));
        }
        let (plan, clock, record) = (Arc::clone(plan), clock.clone(), record.clone());
        let platform = environment.platform.0;
        let _reserved = reserved;
        Ok((
            Arc::new(Self {
                all,
                pages,
                _reserved,
                plan,
                platform,
                clock,
                record,
                starts_at,
            }),
            handles,
        ))
    }

    /// Waits until one coordinator is the active leader.
    ///
    /// # Errors
    /// None is in time; the message has the last log line of each.
    pub async fn ready(&self) -> Result<(), String> {
        let until = Instant::now() + ELECTION_TIMEOUT;
        while self.leader().await.is_none() {
            if Instant::now() > until {
                let mut message = String::from("no coordinator leads");
                for coordinator in &self.all {
                    let _ = write!(message, "; {}", coordinator.lock().await.last_line());
                }
                return Err(message);
            }
            sleep(POLL_INTERVAL).await;
        }
        match self.starts_at {
            Some(at) if Instant::now() > at => {
                Err("the coordinators led too late for the blackouts' times".into())
            }
            Some(at) => {
                sleep_until(at).await;
                Ok(())
            }
            None => Ok(()),
        }
    }

    /// The active leader, by its own status.
    pub async fn leader(&self) -> Option<usize> {
        for (number, at) in self.pages.iter().enumerate() {
            let status = request_json(*at, "GET", "/status", None, REQUEST_TIMEOUT).await;
            if status
                .is_some_and(|(code, status)| code == 200 && status["acts"] == Value::Bool(true))
            {
                return Some(number);
            }
        }
        None
    }

    /// Shuts all coordinators down; suspended ones are resumed first.
    pub async fn end(&self) {
        for coordinator in &self.all {
            coordinator.lock().await.stop().await;
        }
    }
}

fn data_path(folder: &Path, coordinator: usize) -> PathBuf {
    folder.join(format!("s{coordinator}.data"))
}

/// The clock offset and disk delay of a coordinator: settings for experiments only.
fn fault_settings(settings: &Asked, own: usize) -> String {
    let offset = settings.clock_offset_ms.get(own).filter(|ms| **ms != 0);
    let delay = settings
        .disk_delay
        .get(own)
        .filter(|delay| !delay.0.is_zero());
    let offset = offset
        .map(|ms| format!("clock_offset_ms = {ms}\n"))
        .unwrap_or_default();
    offset
        + &delay
            .map(|delay| format!("disk_delay = \"{delay}\"\n"))
            .unwrap_or_default()
}

/// The `[agreement]` section of the disruption budget, for a run that starts at that time.
fn agreement_text(kept: &Kept, starts_at: Option<Timestamp>) -> io::Result<String> {
    let max_staleness_ms = kept.answered_within.saturating_sub(REACTION_TIME_US) / 1000;
    let mut text = format!(
        "\n[agreement]\nkeep = {}\nmost_away = {}\nevidence_bound_ms = {max_staleness_ms}\nrepair_ms = {REPAIR_MS}\noverrun_may_enter_blackout = {}\n",
        kept.keep, kept.most_away, kept.overrun_may_enter
    );
    text += "\n[agreement.keep_zone]\n";
    for (zone, keep) in kept.keep_zone.iter().enumerate() {
        let _ = writeln!(text, "{} = {keep}", ZONES[zone]);
    }
    for (number, (from, until)) in kept.blackouts.iter().enumerate() {
        let date_time = |at: Us| {
            let at = starts_at
                .unwrap_or_default()
                .checked_add(Duration::from_micros(at));
            at.map(|at| TimeZone::UTC.to_datetime(at))
                .map_err(io::Error::other)
        };
        let (from, until) = (date_time(*from)?, date_time(*until)?);
        let _ = writeln!(
            text,
            "\n[[agreement.blackouts]]\nname = \"b{number}\"\ntime_zone = \"UTC\"\nfrom = \"{from}\"\nuntil = \"{until}\""
        );
    }
    Ok(text)
}
