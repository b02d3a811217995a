//! The product parts of the sidecar: its command line, its product configuration, and what that
//! switches on. Without a product configuration nothing is hosted and nothing is counted.

pub use crate::affinity::Pick;
use crate::clock::Clock;
use crate::config::Config;
use crate::exit_error::ExitError;
pub use crate::gossip::Fleet;
use crate::messages::Inputs;
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
use load_balancer_common::metering::Figures;
use load_balancer_common::pages::{self, Bounds};
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
struct Call {
    /// The product configuration: a TOML file, see docs/configuration.md.
    #[arg(long, value_name = "FILE", env = CONFIG_VARIABLE)]
    config: Option<PathBuf>,
    /// Read the product configuration and, where LB_CONFIG is set, the platform's; print what would
    /// hold, defaults included, and exit.
    #[arg(long)]
    check: bool,
}

/// Longest name of a member and of a zone on the wire, in bytes.
const MAX_NAME_BYTES: usize = 32;

/// The product parts of this process.
pub struct Product {
    file: Option<PathBuf>,
    /// What holds now.
    holds: Sections,
    log: Rc<Log>,
    bounds: Bounds,
}

impl Product {
    /// Reads the command line and the product configuration, and starts the log. Where the process
    /// is not to go on, the code to end with comes back; what there was to say has been said.
    pub fn begin() -> Result<Self, ExitCode> {
        let call: Call = cli::parse()?;
        let file = call
            .config
            .or_else(|| std::env::var_os(EARLIER_CONFIG_VARIABLE).map(PathBuf::from))
            .filter(|file| !file.as_os_str().is_empty());
        let plain = |what: &dyn std::fmt::Display, exit: Exit| {
            let _ = writeln!(std::io::stderr(), "sidecar: {what}");
            ExitCode::from(exit)
        };
        let holds: Sections = match &file {
            Some(file) => Sections::load(file).map_err(|problem| plain(&problem, Exit::Config))?,
            None => Sections::default(),
        };
        if call.check {
            return Err(match product_sections::print(&holds) {
                Ok(()) => Exit::Done.into(),
                Err(what) => plain(&what, Exit::Config),
            });
        }
        let log = Rc::new(logging::start(&holds.log, "sidecar"));
        Ok(Self {
            file,
            bounds: Bounds::of(&holds.metrics),
            holds,
            log,
        })
    }

    /// What sees the engine's doings, by these classes.
    pub fn observer(&self, classes: &[String]) -> Observer {
        match self.holds.metrics.enabled {
            true => Observer::counting(Rc::new(Figures::new()), classes),
            false => Observer::blind(),
        }
    }

    /// Begins an incarnation in the state directory, where one is configured.
    pub fn recover(
        &self,
        config: &mut Config,
        clock: Clock,
    ) -> Result<Option<SnapshotHost>, ExitError> {
        SnapshotHost::begin(
            &self.holds.snapshot,
            &self.holds.fleet.cluster,
            config,
            clock,
        )
    }

    /// Joins the fleet, where one is configured.
    pub fn join(
        &self,
        config: &Config,
        inputs: &Inputs,
        clock: Clock,
        state: Option<&SnapshotHost>,
    ) -> Result<Option<Fleet>, ExitError> {
        let section = &self.holds.fleet;
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
            state.and_then(SnapshotHost::incarnation),
        ) {
            Ok(fleet) => Ok(Some(fleet)),
            Err(e) => {
                let what = format!("cannot listen on fleet.listen {}: {e}", section.listen);
                Err(ExitError::new(what, Exit::Unavailable))
            }
        }
    }

    /// Starts what is configured.
    pub fn host(
        &self,
        observer: &Observer,
        inputs: &Inputs,
        fleet: Option<&Fleet>,
        state: Option<&SnapshotHost>,
    ) -> Result<(), ExitError> {
        if let Some(state) = state {
            state.host(inputs, config::written(&self.holds));
        }
        let Some(figures) = observer.figures() else {
            return Ok(());
        };
        let at = self.holds.metrics.address;
        let listener = std::net::TcpListener::bind(at)
            .and_then(|listener| listener.set_nonblocking(true).map(|()| listener))
            .and_then(TcpListener::from_std)
            .map_err(|e| {
                let what = format!("cannot listen on metrics.address {at}: {e}");
                ExitError::new(what, Exit::Unavailable)
            })?;
        // Where the system was to pick the port, nobody could know it otherwise.
        if let Some(at) = listener.local_addr().ok().filter(|_| at.port() == 0) {
            say!(info, "sidecar", "metrics are read at {at}");
        }
        spawn_local(Rc::clone(&figures).upkeep());
        let pages = Pages {
            observer: observer.clone(),
            inputs: inputs.clone(),
            log: Rc::clone(&self.log),
            fleet: fleet.cloned(),
            state: state.cloned(),
        };
        spawn_local(pages::serve(listener, self.bounds.clone(), move |ask| {
            pages.clone().page(ask)
        }));
        Ok(())
    }

    /// SIGHUP came: takes in what may change, all of it or nothing, and names what waits for a
    /// restart.
    pub fn reload(&mut self) {
        let Some(file) = &self.file else { return };
        let new = match Sections::load(file) {
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
        let before = self.holds.clone();
        self.holds.follow(new.clone());
        self.log.set_levels(&self.holds.log);
        self.bounds.set(&self.holds.metrics);
        let list = |keys: Vec<String>| {
            if keys.is_empty() {
                "nothing".to_owned()
            } else {
                keys.join(", ")
            }
        };
        let waiting = config::changed(&self.holds, &new);
        let rest = if waiting.is_empty() {
            String::new()
        } else {
            format!("; {} for a restart", wait(&waiting))
        };
        let taken = list(config::changed(&before, &self.holds));
        say!(
            info,
            "sidecar",
            "product configuration reloaded: {taken} changed{rest}"
        );
    }

    /// The process ends: writes what still waits.
    pub fn end(&self) {
        self.log.flush();
    }
}

fn wait(keys: &[String]) -> String {
    format!(
        "{} {}",
        keys.join(", "),
        if keys.len() == 1 { "waits" } else { "wait" }
    )
}
