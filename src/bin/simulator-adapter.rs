//! Runs any number of balancer instances on the simulator's protocol, over standard input and
//! output.

use std::io::{BufWriter, stdin, stdout};
use std::process::ExitCode;

/// The balancer behind the simulator's protocol: reads events from standard input and writes
/// actions to standard output until its end.
#[cfg(feature = "product")]
#[derive(clap::Parser)]
#[command(name = "simulator-adapter")]
struct Call {}

fn main() -> ExitCode {
    #[cfg(feature = "product")]
    if let Err(exit) = load_balancer_common::cli::parse::<Call>() {
        return exit.into();
    }
    match load_balancer::simulator_wire::serve(
        stdin().lock(),
        BufWriter::with_capacity(1 << 16, stdout().lock()),
    ) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
