//! The `tillerproxy-lab` program: reads the command line, runs one experiment, reports its exit code.
#![forbid(unsafe_code)]

use clap::Parser;
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};
use std::alloc::System;
use std::process::ExitCode;
use tillerproxy_lab::cli::Arguments;

/// Counts allocated bytes, so that `slopes` can tell what the decisions hold.
#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

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
