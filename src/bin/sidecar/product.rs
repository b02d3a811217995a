//! The product parts of the sidecar: its command line, its product configuration, and the
//! components these enable. Without a product configuration none of them is active.

pub use crate::affinity::AffinityPick;
use crate::clock::Clock;
use crate::config::Config;
use crate::exit_error::ExitError;
pub use crate::gossip::Fleet;
use crate::messages::InputSender;
pub use crate::observer::Observer;
use crate::pages::Pages;
use crate::product_file::{CONFIG_VARIABLE, EARLIER_CONFIG_VARIABLE};
use crate::product_sections::{self, Sections};
use crate::report::say;
pub use crate::snapshot::SnapshotHost;
use clap::Parser;
use load_balancer_common::cli::{self, Exit};
use load_balancer_common::config;
use load_balancer_common::logging::{self, Log};
use load_balancer_common::metering::MetricsRegistry;
use load_balancer_common::pages::{self, Limits};
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

/// A sidecar load balancer. The platform's LB_CONFIG, LB_LISTEN and LB_DISCOVERY say where it
/// stands and what it balances; without a product configuration it does nothing else. SIGHUP makes
/// it read both again, SIGTERM stops it once what it has taken is answered.
#[derive(Parser)]
#[command(name = "sidecar")]
struct Arguments {
    /// The product configuration: a TOML file, see docs/configuration.md.
    #[arg(long, value_name = "FILE", env = CONFIG_VARIABLE)]
    config: Option<PathBuf>,
    /// Read the product configuration and, where LB_CONFIG is set, the platform's; print what would
    /// hold, defaults included, and exit.
    #[arg(long)]
    check: bool,
}

/// Longest name of a member or a zone on the wire, in bytes.
const MAX_NAME_BYTES: usize = 32;

/// The product parts of this process.
pub struct Product {
    file: Option<PathBuf>,
    /// The configuration in effect.
    sections: Sections,
    log: Rc<Log>,
    bounds: Limits,
}

impl Product {
    /// Parses the command line, loads the product configuration, and starts the log. An error is
    /// the exit code; its message has already been written.
    pub fn begin() -> Result<Self, ExitCode> {
        let call: Arguments = cli::parse()?;
        let file = call
            .config
            .or_else(|| std::env::var_os(EARLIER_CONFIG_VARIABLE).map(PathBuf::from))
            .filter(|file| !file.as_os_str().is_empty());
        let report = |what: &dyn std::fmt::Display, exit: Exit| {
            let _ = writeln!(std::io::stderr(), "sidecar: {what}");
            ExitCode::from(exit)
        };
        let sections: Sections = match &file {
            Some(file) => Sections::load(file).map_err(|problem| report(&problem, Exit::Config))?,
            None => Sections::default(),
        };
        if call.check {
            return Err(match product_sections::print_effective(&sections) {
                Ok(()) => Exit::Done.into(),
                Err(what) => report(&what, Exit::Config),
            });
        }
        let log = Rc::new(logging::start(&sections.log, "sidecar"));
        Ok(Self {
            file,
            bounds: Limits::new(&sections.metrics),
            sections,
            log,
        })
    }

    /// The observer of the engine, by class.
    pub fn observer(&self, classes: &[String]) -> Observer {
        match self.sections.metrics.enabled {
            true => Observer::enabled(Rc::new(MetricsRegistry::new()), classes),
            false => Observer::disabled(),
        }
    }

    /// Starts an incarnation in the snapshot directory, if one is configured.
    pub fn recover(
        &self,
        config: &mut Config,
        clock: Clock,
    ) -> Result<Option<SnapshotHost>, ExitError> {
        SnapshotHost::begin(
            &self.sections.snapshot,
            &self.sections.fleet.cluster,
            config,
            clock,
        )
    }

    /// Joins the fleet, if one is configured.
    pub fn join(
        &self,
        config: &Config,
        inputs: &InputSender,
        clock: Clock,
        snapshot: Option<&SnapshotHost>,
    ) -> Result<Option<Fleet>, ExitError> {
        let section = &self.sections.fleet;
        if !section.enabled {
            return Ok(None);
        }
        if config.name.is_empty() || config.name.len() > MAX_NAME_BYTES {
            let what = "fleet.enabled needs a name of 1 to 32 bytes: LB_NAME, or name in the platform's file";
            return Err(ExitError::new(what, Exit::Config));
        }
        let zone = config
            .decoded
            .settings
            .zone
            .map_or("", |zone| config.decoded.zones.name(zone));
        let zone = zone.get(..MAX_NAME_BYTES).unwrap_or(zone);
        match Fleet::join(
            section,
            &config.name,
            zone,
            inputs,
            clock,
            snapshot.and_then(SnapshotHost::incarnation),
        ) {
            Ok(fleet) => Ok(Some(fleet)),
            Err(e) => {
                let what = format!("cannot listen on fleet.listen {}: {e}", section.listen);
                Err(ExitError::new(what, Exit::Unavailable))
            }
        }
    }

    /// Starts the configured components.
    pub fn start_components(
        &self,
        observer: &Observer,
        inputs: &InputSender,
        fleet: Option<&Fleet>,
        snapshot: Option<&SnapshotHost>,
    ) -> Result<(), ExitError> {
        if let Some(state) = snapshot {
            state.start_storing(inputs, config::to_toml(&self.sections));
        }
        let Some(figures) = observer.figures() else {
            return Ok(());
        };
        let address = self.sections.metrics.address;
        let listener = std::net::TcpListener::bind(address)
            .and_then(|listener| listener.set_nonblocking(true).map(|()| listener))
            .and_then(TcpListener::from_std)
            .map_err(|e| {
                let what = format!("cannot listen on metrics.address {address}: {e}");
                ExitError::new(what, Exit::Unavailable)
            })?;
        // If the system chose the port, nothing else tells which one.
        if let Some(bound) = listener.local_addr().ok().filter(|_| address.port() == 0) {
            say!(info, "sidecar", "metrics are read at {bound}");
        }
        spawn_local(Rc::clone(&figures).upkeep());
        let pages = Pages {
            observer: observer.clone(),
            inputs: inputs.clone(),
            log: Rc::clone(&self.log),
            fleet: fleet.cloned(),
            snapshot: snapshot.cloned(),
        };
        spawn_local(pages::serve(listener, self.bounds.clone(), move |ask| {
            pages.clone().render(ask)
        }));
        Ok(())
    }

    /// Handles SIGHUP: reloads what may change, all of it or nothing, and logs what needs a
    /// restart.
    pub fn reload(&mut self) {
        let Some(file) = &self.file else { return };
        let new_sections = match Sections::load(file) {
            Ok(new) => new,
            Err(problem) => {
                say!(
                    warn,
                    "sidecar",
                    "reload failed, the old product configuration stays: {problem}"
                );
                return;
            }
        };
        let previous = self.sections.clone();
        self.sections.update_reloadable(new_sections.clone());
        self.log.set_levels(&self.sections.log);
        self.bounds.set(&self.sections.metrics);
        let join_keys = |keys: Vec<String>| {
            if keys.is_empty() {
                "nothing".to_owned()
            } else {
                keys.join(", ")
            }
        };
        let waiting = config::changed_keys(&self.sections, &new_sections);
        let note = if waiting.is_empty() {
            String::new()
        } else {
            format!("; {} for a restart", waiting_keys(&waiting))
        };
        let taken = join_keys(config::changed_keys(&previous, &self.sections));
        say!(
            info,
            "sidecar",
            "product configuration reloaded: {taken} changed{note}"
        );
    }

    /// Flushes the log at the end of the process.
    pub fn end(&self) {
        self.log.flush();
    }
}

fn waiting_keys(keys: &[String]) -> String {
    format!(
        "{} {}",
        keys.join(", "),
        if keys.len() == 1 { "waits" } else { "wait" }
    )
}
