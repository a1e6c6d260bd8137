//! The `tillerproxy-lab` program: parses the command line, runs one experiment and returns its exit code.
#![forbid(unsafe_code)]

use clap::Parser;
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};
use std::alloc::System;
use std::process::ExitCode;
use tillerproxy_lab::cli::Arguments;

/// Global allocator that counts allocated bytes; `slopes` uses the counts to measure heap.
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
