//! Real coordinators, with relays between them, to the sidecars' pages and to the platform.

mod asker;
mod faults;
mod process;

pub use asker::ask_for_windows;
pub use faults::trouble;

use crate::experiment::Coordinators as Asked;
use crate::links;
use crate::net::{Clock, Net};
use crate::page::ask;
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

/// How long a coordinator may take to answer the emulator.
const WITHIN: Duration = Duration::from_secs(1);
/// Pause between two looks.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How long an election may take at the beginning of a run.
const ELECTED_WITHIN: Duration = Duration::from_secs(30);

/// How long after their start a run with blackouts begins: the clocks' times of those are in their
/// configuration.
const BEGINS_AFTER: Duration = Duration::from_secs(10);
/// Of the time within which a death must be answered, this much is for seeing it and for acting:
/// two rounds of looks of a second, and half a second for each of two rounds of acts.
const ACTS_WITHIN: Us = 3 * SECOND;
/// How long a plan supposes a dead server to be away: a run lasts a minute, not a day.
const REPAIR_MS: u64 = 10_000;

/// All coordinators of a run.
pub struct Coordinators {
    all: Vec<Mutex<CoordinatorProcess>>,
    pages: Vec<SocketAddr>,
    /// These addresses stay the coordinators' own while they are down.
    _reserved: Vec<Reserved>,
    plan: Arc<Plan>,
    platform: Arc<Platform>,
    clock: Clock,
    record: Record,
    /// When the run is to begin, where its blackouts are told in the clocks of people.
    begins: Option<Instant>,
}

/// What coordinators meet.
pub struct Around<'a> {
    /// The network.
    pub net: &'a Net,
    /// The platform, and where it listens.
    pub platform: (Arc<Platform>, SocketAddr),
    /// Pages of the sidecars.
    pub sidecars: &'a [SocketAddr],
    /// A host of the loopback range by purpose: to listen on, to dial.
    pub host: fn(u8, usize) -> IpAddr,
    /// Where their files lie.
    pub folder: &'a Path,
}

impl Coordinators {
    /// Starts so many, each with that text beside what it must be told. Ways between processes hold
    /// until the handles are ended.
    ///
    /// # Errors
    /// Sockets or files cannot be had, or the program cannot be started.
    pub async fn start(
        asked: &Asked,
        bringing: &LaunchOptions,
        around: Around<'_>,
        (plan, clock, record): (&Arc<Plan>, &Clock, &Record),
    ) -> io::Result<(Arc<Self>, Vec<AbortHandle>)> {
        let zone = |coordinator: usize| {
            coordinator
                % plan
                    .kept
                    .as_ref()
                    .map_or(1, |kept| kept.keep_zone.len())
                    .max(1)
        };
        let reserved =
            (0..asked.count).map(|coordinator| Reserved::on((around.host)(6, coordinator)));
        let reserved: Vec<Reserved> = reserved.collect::<io::Result<_>>()?;
        let pages: Vec<SocketAddr> = reserved.iter().map(Reserved::address).collect();
        let blacked_out = plan
            .kept
            .as_ref()
            .is_some_and(|kept| !kept.blackouts.is_empty());
        let begins = blacked_out.then(|| Instant::now() + BEGINS_AFTER);
        let agreed = match &plan.kept {
            Some(kept) => agreement(kept, begins.map(|_| Timestamp::now() + BEGINS_AFTER))?,
            None => String::new(),
        };
        let (mut all, mut handles) = (Vec::new(), Vec::new());
        for own in 0..asked.count {
            let mut way = |to: usize, target| {
                let (address, handle) =
                    links::open((around.host)(7, own), around.net, (zone(own), to), target)?;
                handles.push(handle);
                io::Result::Ok(address)
            };
            let mut text = format!(
                "[coordinator]\nname = \"s{own}\"\nlisten = \"{}\"\ndata = {:?}\n{}\n[coordinators]\n",
                pages[own],
                data(around.folder, own),
                troubles(asked, own)
            );
            for (other, at) in pages.iter().enumerate() {
                let at = if other == own {
                    *at
                } else {
                    way(zone(other), *at)?
                };
                let _ = writeln!(text, "s{other} = \"{at}\"");
            }
            let _ = writeln!(
                text,
                "\n[platform]\naddress = \"{}\"\n\n[evidence.sidecars]",
                around.platform.1
            );
            for (number, name) in ZONES.iter().enumerate() {
                let there = plan
                    .sidecars
                    .iter()
                    .enumerate()
                    .filter(|(_, spec)| spec.zone == number);
                let mut ways = Vec::new();
                for (sidecar, _) in there {
                    ways.push(way(number, around.sidecars[sidecar])?.to_string());
                }
                if !ways.is_empty() {
                    let _ = writeln!(text, "{name} = {ways:?}");
                }
            }
            text += &agreed;
            text += &asked.config;
            let folder = around.folder;
            all.push(Mutex::new(CoordinatorProcess::start(
                own,
                &text,
                bringing.clone(),
                folder,
            )?));
        }
        let (plan, clock, record) = (Arc::clone(plan), clock.clone(), record.clone());
        let platform = around.platform.0;
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
                begins,
            }),
            handles,
        ))
    }

    /// Waits until one leads.
    ///
    /// # Errors
    /// None does in time: the last words of each.
    pub async fn ready(&self) -> Result<(), String> {
        let until = Instant::now() + ELECTED_WITHIN;
        while self.leader().await.is_none() {
            if Instant::now() > until {
                let mut words = String::from("no coordinator leads");
                for coordinator in &self.all {
                    let _ = write!(words, "; {}", coordinator.lock().await.last_line());
                }
                return Err(words);
            }
            sleep(POLL_INTERVAL).await;
        }
        match self.begins {
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

    /// Who may act, by its own word.
    pub async fn leader(&self) -> Option<usize> {
        for (number, at) in self.pages.iter().enumerate() {
            let status = ask(*at, "GET", "/status", None, WITHIN).await;
            if status
                .is_some_and(|(code, status)| code == 200 && status["acts"] == Value::Bool(true))
            {
                return Some(number);
            }
        }
        None
    }

    /// Stops all of them. What is stopped goes on first.
    pub async fn end(&self) {
        for coordinator in &self.all {
            coordinator.lock().await.stop().await;
        }
    }
}

fn data(folder: &Path, coordinator: usize) -> PathBuf {
    folder.join(format!("s{coordinator}.data"))
}

/// What one coordinator's clock and disk are like, beside those of the others: keys for experiments
/// alone.
fn troubles(asked: &Asked, own: usize) -> String {
    let offset = asked.clock_offset_ms.get(own).filter(|ms| **ms != 0);
    let delay = asked.disk_delay.get(own).filter(|delay| !delay.0.is_zero());
    let offset = offset
        .map(|ms| format!("clock_offset_ms = {ms}\n"))
        .unwrap_or_default();
    offset
        + &delay
            .map(|delay| format!("disk_delay = \"{delay}\"\n"))
            .unwrap_or_default()
}

/// The `[agreement]` section of what was agreed, of a run that begins at that time.
fn agreement(kept: &Kept, begins: Option<Timestamp>) -> io::Result<String> {
    let bound = kept.answered_within.saturating_sub(ACTS_WITHIN) / 1000;
    let mut text = format!(
        "\n[agreement]\nkeep = {}\nmost_away = {}\nevidence_bound_ms = {bound}\nrepair_ms = {REPAIR_MS}\noverrun_may_enter_blackout = {}\n",
        kept.keep, kept.most_away, kept.overrun_may_enter
    );
    text += "\n[agreement.keep_zone]\n";
    for (zone, keep) in kept.keep_zone.iter().enumerate() {
        let _ = writeln!(text, "{} = {keep}", ZONES[zone]);
    }
    for (number, (from, until)) in kept.blackouts.iter().enumerate() {
        let moment = |at: Us| {
            let at = begins
                .unwrap_or_default()
                .checked_add(Duration::from_micros(at));
            at.map(|at| TimeZone::UTC.to_datetime(at))
                .map_err(io::Error::other)
        };
        let (from, until) = (moment(*from)?, moment(*until)?);
        let _ = writeln!(
            text,
            "\n[[agreement.blackouts]]\nname = \"b{number}\"\ntime_zone = \"UTC\"\nfrom = \"{from}\"\nuntil = \"{until}\""
        );
    }
    Ok(text)
}
