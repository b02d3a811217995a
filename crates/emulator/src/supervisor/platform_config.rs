//! What the platform tells a sidecar at its start.

use crate::site;
use serde_json::json;
use std::net::SocketAddr;

/// Descriptors and megabytes that a sidecar is told of: the middle of what the platform gives.
const SOCKETS: usize = 640;
/// See [`SOCKETS`].
const MEMORY_MB: usize = 96;

/// What a sidecar is told at its start.
#[derive(Clone, Debug)]
pub struct PlatformConfig {
    /// Its number.
    pub sidecar: usize,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Its agent.
    pub discovery: SocketAddr,
    /// The platform's configuration.
    pub platform: serde_json::Value,
}

impl PlatformConfig {
    /// The platform's configuration for a sidecar of so many, in that zone.
    pub fn new(
        (sidecar, sidecars): (usize, usize),
        zone: usize,
        listen: SocketAddr,
        discovery: SocketAddr,
        known: serde_json::Value,
    ) -> Self {
        let platform = json!({
            "name": format!("n{sidecar}"), "listen": listen.to_string(), "discovery": discovery.to_string(),
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS}, "known": known,
            "settings": site::settings(sidecars, sidecar, zone)});
        Self {
            sidecar,
            listen,
            discovery,
            platform,
        }
    }
}
