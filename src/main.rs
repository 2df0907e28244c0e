//! Command line of bronzelock.

use std::process::ExitCode;

use clap::Parser;

/// Keeps allocation from adding to the tail of request times.
#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    bronzelock::cli::Cli::parse().run()
}
