//! The platform's configuration: the file that `LB_CONFIG` names, and the variables beside it.

use crate::config_error::{ConfigError, ContentError};
use crate::host_list::HostList;
use load_balancer::settings::{self, DecodedSettings};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

type Address = Option<SocketAddr>;

/// Everything that a sidecar is told.
pub struct Config {
    /// Its name; empty where it has none.
    #[cfg(feature = "product")]
    pub name: String,
    /// Where the application connects.
    pub listen: SocketAddr,
    /// Discovery.
    pub discovery: SocketAddr,
    /// Seed for random numbers, new with each start.
    pub seed: u64,
    /// File descriptors that the process may hold.
    pub sockets: usize,
    /// Where peers' datagrams arrive.
    pub peer_listen: Option<SocketAddr>,
    /// One address for each sidecar of the tier, in the order of their numbers.
    pub peers: Vec<SocketAddr>,
    /// The address that reaches all of them.
    pub peers_all: Option<SocketAddr>,
    /// The endpoints as last known.
    pub known: Option<HostList>,
    /// The settings object.
    pub decoded: DecodedSettings,
    /// What only a start takes in: the file less discovery's address, the known list and the seed.
    pub fixed: serde_json::Value,
}

#[derive(Deserialize)]
struct File {
    #[cfg(feature = "product")]
    #[serde(default)]
    name: String,
    listen: Option<SocketAddr>,
    discovery: Option<SocketAddr>,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: LimitsPart,
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    peers_all: Option<SocketAddr>,
    known: Option<HostList>,
    settings: Box<RawValue>,
}

#[derive(Deserialize)]
#[serde(default)]
struct LimitsPart {
    sockets: usize,
}

impl Default for LimitsPart {
    fn default() -> Self {
        Self { sockets: 1024 }
    }
}

/// Fewest descriptors with which requests can be served at all.
const MIN_SOCKETS: usize = 32;

impl Config {
    /// Reads the configuration.
    pub fn from_env() -> Result<Self, ConfigError> {
        Self::load(|given, file| given.or(file))
    }

    /// Reads it once more. Discovery is where the file says now: a variable still says where it was
    /// at the start.
    pub fn reload() -> Result<Self, ConfigError> {
        Self::load(|given, file| file.or(given))
    }

    /// `which` picks discovery's address from that of the variable and that of the file.
    fn load(which: fn(Address, Address) -> Address) -> Result<Self, ConfigError> {
        let path = std::env::var_os("LB_CONFIG").ok_or(ConfigError::NotSet)?;
        let path = PathBuf::from(path);
        let text = match std::fs::read_to_string(&path) {
            Ok(text) => text,
            Err(error) => return Err(ConfigError::Unreadable { path, error }),
        };
        let (listen, discovery) = (address("LB_LISTEN")?, address("LB_DISCOVERY")?);
        Self::read(&text, listen, |file| which(discovery, file))
            .map_err(|error| ConfigError::Content { path, error })
    }

    /// Reads the text of the file; an address to listen on that is given beside it holds.
    fn read(
        text: &str,
        listen: Option<SocketAddr>,
        discovery: impl Fn(Address) -> Address,
    ) -> Result<Self, ContentError> {
        let file: File = serde_json::from_str(text)?;
        let mut fixed: serde_json::Value = serde_json::from_str(text)?;
        if let Some(fields) = fixed.as_object_mut() {
            fields.retain(|name, _| !matches!(name.as_str(), "discovery" | "known" | "seed"));
        }
        let decoded = settings::decode(file.settings.get())?;
        decoded.settings.check()?;
        if file.limits.sockets < MIN_SOCKETS {
            return Err(ContentError::TooFewSockets(MIN_SOCKETS));
        }
        Ok(Self {
            #[cfg(feature = "product")]
            name: std::env::var("LB_NAME").unwrap_or(file.name),
            listen: listen.or(file.listen).ok_or(ContentError::NoListen)?,
            discovery: discovery(file.discovery).ok_or(ContentError::NoDiscovery)?,
            seed: seed(&file.seed),
            sockets: file.limits.sockets,
            peer_listen: file.peer_listen,
            peers: file.peers,
            peers_all: file.peers_all,
            known: file.known,
            decoded,
            fixed,
        })
    }

    /// The longest that a client waits.
    pub fn longest_deadline(&self) -> Duration {
        let longest = self
            .decoded
            .settings
            .classes
            .iter()
            .map(|c| c.deadline)
            .max()
            .unwrap_or(0);
        Duration::from_micros(longest.unsigned_abs())
    }
}

/// The address in a variable, where that is set.
fn address(variable: &'static str) -> Result<Address, ConfigError> {
    let Ok(value) = std::env::var(variable) else {
        return Ok(None);
    };
    match value.parse() {
        Ok(address) => Ok(Some(address)),
        Err(_) => Err(ConfigError::NoAddress { variable, value }),
    }
}

/// The seed is 16 hexadecimal digits; any other text is a seed as well.
fn seed(text: &str) -> u64 {
    u64::from_str_radix(text, 16).unwrap_or_else(|_| {
        text.bytes()
            .fold(0, |sum, byte| sum.rotate_left(8) ^ u64::from(byte))
    })
}
