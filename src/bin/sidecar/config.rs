//! The platform's configuration: the file named by `LB_CONFIG`, and further environment variables.

use crate::config_error::{ConfigError, ContentError};
use crate::host_list::HostList;
use load_balancer::settings::{self, DecodedSettings};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

type OptionalAddress = Option<SocketAddr>;

/// The platform's configuration of a sidecar.
pub struct Config {
    /// Its name; empty if it has none.
    #[cfg(feature = "product")]
    pub name: String,
    /// The address that the application connects to.
    pub listen: SocketAddr,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// Seed for random numbers, different at each start.
    pub seed: u64,
    /// Most file descriptors that the process may use.
    pub max_descriptors: usize,
    /// Most memory that the process may use.
    pub max_memory_bytes: usize,
    /// The address that receives peers' datagrams.
    pub peer_listen: Option<SocketAddr>,
    /// One address for each sidecar of the tier, by index.
    pub peers: Vec<SocketAddr>,
    /// The address that reaches all peers.
    pub peer_broadcast: Option<SocketAddr>,
    /// The endpoint list as last known to the platform.
    pub cached_list: Option<HostList>,
    /// The decoded settings object.
    pub decoded: DecodedSettings,
    /// What can't be reloaded: the file without discovery's address, the cached list and the seed.
    pub startup_only: serde_json::Value,
}

#[derive(Deserialize)]
struct ConfigFile {
    #[cfg(feature = "product")]
    #[serde(default)]
    name: String,
    listen: Option<SocketAddr>,
    discovery: Option<SocketAddr>,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: LimitsSection,
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    peers_all: Option<SocketAddr>,
    known: Option<HostList>,
    settings: Box<RawValue>,
}

#[derive(Deserialize)]
#[serde(default)]
struct LimitsSection {
    sockets: usize,
    memory_mb: f64,
}

impl Default for LimitsSection {
    fn default() -> Self {
        Self {
            sockets: 1024,
            memory_mb: 192.0,
        }
    }
}

/// Bytes of a megabyte, as the platform counts it.
const MEGABYTE: f64 = 1_048_576.0;

/// Fewest descriptors with which requests can be served.
const MIN_DESCRIPTORS: usize = 32;

impl Config {
    /// Loads the configuration.
    pub fn from_env() -> Result<Self, ConfigError> {
        Self::load(|given, file| given.or(file))
    }

    /// Loads it again. The file's address of discovery takes precedence, as the variable still has
    /// the one of the start.
    pub fn reload() -> Result<Self, ConfigError> {
        Self::load(|given, file| file.or(given))
    }

    /// `choose` selects discovery's address from those of the variable and the file.
    fn load(
        choose: fn(OptionalAddress, OptionalAddress) -> OptionalAddress,
    ) -> Result<Self, ConfigError> {
        let path = std::env::var_os("LB_CONFIG").ok_or(ConfigError::NotSet)?;
        let path = PathBuf::from(path);
        let text = match std::fs::read_to_string(&path) {
            Ok(text) => text,
            Err(error) => return Err(ConfigError::Unreadable { path, error }),
        };
        let (listen, discovery) = (
            address_variable("LB_LISTEN")?,
            address_variable("LB_DISCOVERY")?,
        );
        Self::parse(&text, listen, |file| choose(discovery, file))
            .map_err(|error| ConfigError::Content { path, error })
    }

    /// Parses the text of the file; a listen address given by the environment takes precedence.
    fn parse(
        text: &str,
        listen: Option<SocketAddr>,
        discovery: impl Fn(OptionalAddress) -> OptionalAddress,
    ) -> Result<Self, ContentError> {
        let file: ConfigFile = serde_json::from_str(text)?;
        let mut startup_only: serde_json::Value = serde_json::from_str(text)?;
        if let Some(fields) = startup_only.as_object_mut() {
            fields.retain(|name, _| !matches!(name.as_str(), "discovery" | "known" | "seed"));
        }
        let decoded = settings::decode(file.settings.get())?;
        decoded.settings.check()?;
        if file.limits.sockets < MIN_DESCRIPTORS {
            return Err(ContentError::TooFewDescriptors(MIN_DESCRIPTORS));
        }
        Ok(Self {
            #[cfg(feature = "product")]
            name: std::env::var("LB_NAME").unwrap_or(file.name),
            listen: listen.or(file.listen).ok_or(ContentError::NoListen)?,
            discovery: discovery(file.discovery).ok_or(ContentError::NoDiscovery)?,
            seed: parse_seed(&file.seed),
            max_descriptors: file.limits.sockets,
            max_memory_bytes: (file.limits.memory_mb * MEGABYTE) as usize,
            peer_listen: file.peer_listen,
            peers: file.peers,
            peer_broadcast: file.peers_all,
            cached_list: file.known,
            decoded,
            startup_only,
        })
    }

    /// The longest deadline of any class.
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

/// The address in an environment variable, if it is set.
fn address_variable(variable: &'static str) -> Result<OptionalAddress, ConfigError> {
    let Ok(value) = std::env::var(variable) else {
        return Ok(None);
    };
    match value.parse() {
        Ok(address) => Ok(Some(address)),
        Err(_) => Err(ConfigError::NoAddress { variable, value }),
    }
}

/// Parses a seed of 16 hexadecimal digits; any other text is hashed.
fn parse_seed(text: &str) -> u64 {
    u64::from_str_radix(text, 16).unwrap_or_else(|_| {
        text.bytes()
            .fold(0, |sum, byte| sum.rotate_left(8) ^ u64::from(byte))
    })
}
