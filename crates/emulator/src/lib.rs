//! An emulator for fleets of sidecars: stand-ins for servers, discovery and applications, written
//! from the public pages; a network with faults between them; auditors that see the emulator's own
//! sockets only; experiments with reports. [`sim`] runs the same experiments with the decision
//! module in simulated time.
#![forbid(unsafe_code)]
#![warn(missing_docs, clippy::too_many_lines, clippy::cognitive_complexity)]

pub mod affinity_dump;
pub mod affinity_dumps;
pub mod agent;
pub mod apps;
pub mod audit;
pub mod byzantine_member;
pub mod catalogue;
pub mod comparison;
pub mod coordinators;
pub mod datagrams;
pub mod directory;
pub mod drain_queries;
pub mod draw;
pub mod experiment;
pub mod health_pages;
pub mod links;
pub mod listing;
pub mod live;
pub mod member_addresses;
pub mod net;
pub mod observer;
pub mod outcome;
pub mod page;
pub mod pairs;
pub mod plan;
pub mod platform;
pub mod record;
pub mod relay;
pub mod report;
pub mod reserved;
pub mod run;
pub mod server_listener;
pub mod servers;
pub mod sim;
pub mod site;
pub mod statistics;
pub mod supervisor;
pub mod tally;
pub mod uncoordinated;
pub mod world;

/// Microseconds: a duration, or the time since a run began.
pub type Us = u64;
/// Microseconds in a second.
pub const SECOND: Us = 1_000_000;
