//! The `tillerproxy-lab` program: reads the command line, runs one experiment, reports its exit code.
#![forbid(unsafe_code)]

use clap::Parser;
use std::process::ExitCode;
use tillerproxy_lab::cli::Arguments;

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    arguments.install_logging();
    match arguments.run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!("{error}");
            error.exit_code()
        }
    }
}
