//! A lab for fleets of sidecars: stand-ins for servers, discovery and applications, written from the public pages; a
//! network with faults between them; auditors that see the lab's own sockets only; experiments with reports.
//! [`sim`] plays the same experiments with the decision module in simulated time.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod agent;
pub mod apps;
pub mod audit;
pub mod catalogue;
pub mod comparison;
pub mod crew;
pub mod datagrams;
pub mod directory;
pub mod door;
pub mod draw;
pub mod dumps;
pub mod experiment;
pub mod fleetpages;
pub mod fronts;
pub mod leaving;
pub mod liar;
pub mod listing;
pub mod live;
pub mod net;
pub mod observer;
pub mod outcome;
pub mod page;
pub mod pairs;
pub mod plan;
pub mod platform;
pub mod play;
pub mod record;
pub mod relay;
pub mod report;
pub mod reserved;
pub mod servers;
pub mod sim;
pub mod site;
pub mod statistics;
pub mod stewards;
pub mod supervisor;
pub mod tally;
pub mod ways;
pub mod world;

/// Microseconds: a duration, or the time since a play began.
pub type Us = u64;
/// Microseconds in a second.
pub const SECOND: Us = 1_000_000;
