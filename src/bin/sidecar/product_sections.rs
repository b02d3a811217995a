//! The sections of the product configuration, and which of their keys can be reloaded.

use crate::config::Config;
use crate::config_error::ConfigError;
use load_balancer_common::config::{self, Configuration, InvalidConfig, InvalidSetting};
use load_balancer_common::logging::LogSection;
use load_balancer_common::metering::MetricsSection;
use load_balancer_gossip::section::FleetSection;
use load_balancer_snapshot::SnapshotSection;
use serde::{Deserialize, Serialize};
use std::io::Write;
use std::path::Path;

/// The program's name before it was called `sidecar`, used as a log target in older product
/// configurations.
const EARLIER_PROGRAM: &str = "tinflow";

/// The product configuration, section by section.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Sections {
    /// Logging.
    pub log: LogSection,
    /// Metrics, and the pages at their address.
    pub metrics: MetricsSection,
    /// Membership in a fleet of sidecars.
    pub fleet: FleetSection,
    /// State stored across restarts.
    #[serde(alias = "state")]
    pub snapshot: SnapshotSection,
}

impl Configuration for Sections {
    fn check(&self) -> Result<(), InvalidSetting> {
        self.log.check()?;
        self.metrics.check()?;
        self.fleet.check()?;
        self.snapshot.check()
    }
}

impl Sections {
    /// Loads a product configuration; log targets may use the program's earlier name.
    pub fn load(file: &Path) -> Result<Self, InvalidConfig> {
        let mut sections: Self = config::load(file)?;
        sections
            .log
            .rename_targets(EARLIER_PROGRAM, env!("CARGO_BIN_NAME"));
        Ok(sections)
    }

    /// Takes the reloadable keys from another configuration.
    pub fn update_reloadable(&mut self, new: Self) {
        (self.log.level, self.log.targets) = (new.log.level, new.log.targets);
        (self.metrics.readers, self.metrics.timeout) = (new.metrics.readers, new.metrics.timeout);
    }
}

/// Prints the effective configuration.
pub fn print_effective(sections: &Sections) -> Result<(), ConfigError> {
    let mut text = format!(
        "# The product configuration that would hold.\n{}",
        config::to_toml(sections)
    );
    if std::env::var_os("LB_CONFIG").is_some() {
        let platform = Config::from_env()?;
        text += &format!(
            "\n# The platform's configuration can be used: listen {}, discovery {}, {} classes, {} descriptors.\n",
            platform.listen,
            platform.discovery,
            platform.decoded.classes.len(),
            platform.max_descriptors
        );
    }
    // A closed standard output is not a fault of the configuration.
    let _ = std::io::stdout().write_all(text.as_bytes());
    Ok(())
}
