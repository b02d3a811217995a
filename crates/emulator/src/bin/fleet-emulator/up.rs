//! The command `up`: a small fleet with load, shown live.

use crate::call::Up;
use crate::{REFRESH, kept, program, say};
use load_balancer_common::cli::Exit;
use load_balancer_common::config;
use load_balancer_common::units::Time;
use load_balancer_emulator::draw::draw;
use load_balancer_emulator::experiment::{Experiment, Variant};
use load_balancer_emulator::live::Live;
use load_balancer_emulator::outcome::Measure;
use load_balancer_emulator::record::Record;
use load_balancer_emulator::report::figure;
use load_balancer_emulator::run::{Progress, run};
use load_balancer_emulator::supervisor::START_TIMEOUT;
use std::io::{IsTerminal, Write};
use std::sync::Arc;
use std::time::Instant;
use tokio::sync::watch;
use tokio::time::sleep;

/// Brings it up until it is told to end.
pub async fn bring_up(up: Up) -> Result<Exit, Exit> {
    let mut experiment = Experiment {
        name: "up".to_owned(),
        ..Experiment::default()
    };
    (experiment.topology.sidecars, experiment.topology.servers) = (up.sidecars, up.servers);
    (experiment.load.rate, experiment.load.lasts) = (up.rate, up.lasts);
    let config = match &up.config {
        Some(file) => std::fs::read_to_string(file)
            .map_err(|e| say(&format!("cannot read {}: {e}", file.display()), Exit::Io))?,
        None => String::new(),
    };
    experiment.variant = vec![Variant {
        name: "up".to_owned(),
        config,
        ..Variant::default()
    }];
    config::Configuration::check(&experiment)
        .map_err(|c| say(&format!("{}: {}", c.key, c.reason), Exit::Usage))?;
    let launch = kept(program(up.program)?, Time(START_TIMEOUT));
    let folder =
        tempfile::tempdir().map_err(|e| say(&format!("cannot make a folder: {e}"), Exit::Io))?;
    let plan = Arc::new(draw(&experiment, fastrand::u64(..)));
    let (sender, _progress) = watch::channel(Progress::default());
    let record = Record::default();
    let played = run(
        &experiment,
        &plan,
        &experiment.variant[0],
        &launch,
        folder.path(),
        &sender,
        &record,
    );
    let mut live = Live::new(&plan, record.clone());
    let show = async {
        loop {
            let since = Instant::now();
            sleep(REFRESH).await;
            let home = if std::io::stdout().is_terminal() {
                "\x1b[H\x1b[J"
            } else {
                ""
            };
            let head = format!(
                "{} sidecars, {} servers, logs in {}; Ctrl-C ends all\n\n",
                up.sidecars,
                up.servers,
                folder.path().display()
            );
            let table = live.table(since.elapsed().as_secs_f64());
            if writeln!(std::io::stdout(), "{home}{head}{table}").is_err() {
                return;
            }
        }
    };
    tokio::select! {
        tally = played => {
            let tally = tally.map_err(|e| say(&e, Exit::Unavailable))?;
            let served = tally.measures[&Measure::Served];
            let _ = writeln!(std::io::stdout(), "served {} of the worth; {} rules broken", figure(served), tally.findings.len());
            Ok(if tally.findings.is_empty() { Exit::Done } else { Exit::Failed })
        }
        () = show => Ok(Exit::Done),
    }
}
