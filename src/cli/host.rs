//! `bronzelock host`: runs a node on a host of the users' platform.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Args;

use super::{EXIT_BAD_INPUT, EXIT_FAILED};
use crate::host::node;
use crate::kernel::StepError;
use crate::kernel::blocked_signals::BlockedSignals;
use crate::platform::names::SETTINGS_VARIABLE;
use crate::settings::host::{self, HostSettings};

/// Filter of diagnostic logs when `RUST_LOG` is not set; they go to standard error.
const LOG_DEFAULT: &str = "warn";

/// Arguments of `host`.
#[derive(Debug, Args)]
pub struct HostArguments {
    /// Settings file in JSON; by default the one that the platform names.
    #[arg(long, value_name = "FILE", env = SETTINGS_VARIABLE)]
    pub settings: PathBuf,
    /// Check the settings and start nothing.
    #[arg(long)]
    pub check: bool,
}

/// Checks the settings, then runs the node until a signal.
pub fn run(arguments: &HostArguments) -> ExitCode {
    let blocked = match BlockedSignals::block() {
        Ok(blocked) => blocked,
        Err(error) => {
            eprintln!("host: failed to block signals: {error}");
            return ExitCode::from(EXIT_FAILED);
        }
    };
    env_logger::init_from_env(env_logger::Env::default().default_filter_or(LOG_DEFAULT));
    let settings = match host::read(&arguments.settings) {
        Ok(settings) => settings,
        Err(problems) => {
            eprint!("{problems}");
            return ExitCode::from(EXIT_BAD_INPUT);
        }
    };
    if arguments.check {
        return ExitCode::SUCCESS;
    }
    match run_node(settings, blocked) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("host: {error}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

/// One thread serves a host: its share of a processor is less than one core.
fn run_node(settings: HostSettings, blocked: BlockedSignals) -> Result<(), StepError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| StepError::local("start the runtime", error))?;
    runtime.block_on(node::run(settings, blocked))
}
