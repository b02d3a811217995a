//! The platform's configuration of a sidecar.

use crate::site;
use serde_json::json;
use std::net::SocketAddr;

/// File descriptors and megabytes in the configuration: the middle of the platform's range.
const MAX_DESCRIPTORS: usize = 640;
/// See [`SOCKETS`].
const MEMORY_MB: usize = 96;

/// The configuration of a sidecar at its start.
#[derive(Clone, Debug)]
pub struct PlatformConfig {
    /// The sidecar's index.
    pub sidecar: usize,
    /// The address it listens on.
    pub listen: SocketAddr,
    /// The address of its discovery agent.
    pub discovery: SocketAddr,
    /// The content of the platform's file.
    pub platform: serde_json::Value,
}

impl PlatformConfig {
    /// The configuration of one of `sidecars` sidecars, in that zone.
    pub fn new(
        (sidecar, sidecars): (usize, usize),
        zone: usize,
        listen: SocketAddr,
        discovery: SocketAddr,
        cached_list: serde_json::Value,
    ) -> Self {
        let platform = json!({
            "name": format!("n{sidecar}"), "listen": listen.to_string(), "discovery": discovery.to_string(),
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": MAX_DESCRIPTORS}, "known": cached_list,
            "settings": site::settings(sidecars, sidecar, zone)});
        Self {
            sidecar,
            listen,
            discovery,
            platform,
        }
    }
}
