//! A planned run: topology, every request, every fault.

use crate::Us;
use crate::directory::Directory;
use crate::experiment::{FaultKind, Way};
use crate::site;

/// A server as it truly is.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerSpec {
    /// Its name in the list.
    pub name: String,
    /// Its zone.
    pub zone: usize,
    /// Its group.
    pub group: usize,
    /// Its kind, a place in [`site::KINDS`].
    pub kind: usize,
    /// Its cores.
    pub cores: u32,
    /// Speed of a core.
    pub speed: f64,
    /// Requests that may wait.
    pub queue: usize,
    /// How long it remembers a key, how many, and the part of the work that this saves.
    pub memory: Us,
    /// See `memory`.
    pub keys: usize,
    /// See `memory`.
    pub saves: f64,
    /// How many times slower it turns when overdriven.
    pub slowed: f64,
    /// Crowded for so long, it is overdriven.
    pub crowded_for: Us,
    /// Mostly idle for so long, it is no more.
    pub idle_for: Us,
    /// Work that a new connection costs it, in microseconds on a core of speed 1.
    pub handshake: f64,
    /// Present from the beginning, rather than started in the place of another.
    pub first: bool,
}

/// A sidecar and its application.
#[derive(Clone, Debug, PartialEq)]
pub struct SidecarSpec {
    /// Its zone.
    pub zone: usize,
    /// Its part of the traffic, as a multiple of the mean.
    pub share: f64,
    /// How late the list reaches it.
    pub list_lag: Us,
    /// How far its clock is off, in milliseconds.
    pub clock_offset_ms: i64,
}

/// A client's request.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// When it comes.
    pub at: Us,
    /// At which sidecar.
    pub sidecar: usize,
    /// Its class, a place in [`site::CLASSES`].
    pub class: usize,
    /// What it concerns.
    pub key: u64,
    /// Its work, in microseconds on a core of speed 1.
    pub work: f64,
    /// How long its client waits for each try.
    pub patience: Us,
    /// How long its client waits before each further try, unless it is told for how long to stay
    /// away.
    pub waits: [Us; site::CLIENT_RETRIES as usize],
}

/// Something that changes in the world.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    /// A server's process ends: its connections are reset.
    ServerDown(usize),
    /// It starts, cold.
    ServerUp(usize),
    /// It takes requests and answers none, or no longer so.
    ServerSilent(usize, bool),
    /// It is so many times slower.
    ServerSlow(usize, f64),
    /// It answers so many with an error.
    ServerFails(usize, f64),
    /// Nothing passes there that way, or everything again.
    Cut(usize, Way, bool),
    /// Everything takes so much longer.
    Slow(Us),
    /// So many fragments break their connection.
    Resets(f64),
    /// A sidecar is killed.
    SidecarKill(usize),
    /// A sidecar that was killed starts.
    SidecarStart(usize),
    /// A sidecar is told to stop, and starts again once it has ended.
    SidecarRestart(usize),
    /// It is stopped, or continued.
    SidecarPause(usize, bool),
    /// What happens to datagrams between sidecars: that kind of fault, and the share that it
    /// concerns.
    Datagrams(FaultKind, f64),
    /// A member that is no sidecar lies, or no longer so.
    Lies(bool),
    /// Sidecars are told that a server leaves.
    ServerLeaves(usize),
    /// What discovery's agents do.
    Agents(Mood),
    /// How a server comes back that the platform returns.
    Returns(usize, Returns),
}

/// How a server comes back that was taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Returns {
    /// At once, cold.
    #[default]
    Well,
    /// So much later.
    Late(Us),
    /// Not at all.
    Never,
    /// At once, and a moment later once more, under another start.
    Twice,
}

/// How discovery's agents answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mood {
    /// As they should.
    #[default]
    Well,
    /// Not at all.
    Silent,
    /// With nonsense.
    Garbled,
    /// With an empty whole list.
    Empty,
}

/// Servers that are to be away for maintenance.
#[derive(Clone, Debug, PartialEq)]
pub struct WindowSpec {
    /// When it is asked for, and its earliest start.
    pub at: Us,
    /// Which.
    pub servers: Vec<usize>,
    /// How long each is away, from its drain to its return, and how much longer it may be.
    pub length: Us,
    /// See `length`.
    pub overrun: Us,
    /// Latest end.
    pub latest: Us,
    /// Higher goes first.
    pub priority: u8,
    /// Whether its servers may go in waves.
    pub split: bool,
}

/// The capacity that was agreed to stay, as [`capacity`](crate::listing::capacity) counts it.
#[derive(Clone, Debug, PartialEq)]
pub struct Kept {
    /// Of all zones together.
    pub keep: u64,
    /// Of each zone by itself.
    pub keep_zone: Vec<u64>,
    /// Servers away at once.
    pub most_away: usize,
    /// How soon a death must be known and answered.
    pub answered_within: Us,
    /// Times in which nothing may be away by grant: first moment, and first moment after it.
    pub blackouts: Vec<(Us, Us)>,
    /// Whether the overrun of a window may reach into one.
    pub overrun_may_enter: bool,
}

/// A whole run, as it will be.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Its seed.
    pub seed: u64,
    /// Servers, those that come later too.
    pub servers: Vec<ServerSpec>,
    /// Sidecars.
    pub sidecars: Vec<SidecarSpec>,
    /// To which part of its capacity each group is limited; 1 is not at all.
    pub limits: Vec<f64>,
    /// Requests by time.
    pub arrivals: Vec<Arrival>,
    /// Faults by time.
    pub steps: Vec<(Us, Step)>,
    /// Maintenance that is wanted.
    pub windows: Vec<WindowSpec>,
    /// What was agreed on, if anything was.
    pub kept: Option<Kept>,
    /// What the list tells of, by time.
    pub directory: Directory,
    /// When the last request has come.
    pub lasts: Us,
    /// Requests before this count for nothing.
    pub warmup: Us,
}
