//! `bronzelock node`: runs a node.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Args;

use super::{EXIT_BAD_INPUT, EXIT_FAILED};
use crate::kernel::StepError;
use crate::kernel::node::{Node, StopSignals};
use crate::settings::{self, NodeSettings};

/// Filter of logs when `RUST_LOG` is not set.
const LOG_DEFAULT: &str = "info";

/// Arguments of `node`.
#[derive(Debug, Args)]
pub struct NodeArguments {
    /// Settings file in JSON.
    #[arg(long, value_name = "FILE")]
    pub settings: PathBuf,
}

/// Checks the settings, then runs the node until a signal.
pub fn run(arguments: &NodeArguments) -> ExitCode {
    env_logger::init_from_env(env_logger::Env::default().default_filter_or(LOG_DEFAULT));
    let settings = match settings::load::read(&arguments.settings) {
        Ok(settings) => settings,
        Err(problems) => {
            eprint!("{problems}");
            return ExitCode::from(EXIT_BAD_INPUT);
        }
    };
    match run_node(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("node: {error}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

fn run_node(settings: NodeSettings) -> Result<(), StepError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.node.threads)
        .enable_all()
        .build()
        .map_err(|error| StepError::local("start the runtime", error))?;
    runtime.block_on(async {
        let signals = StopSignals::listen()?;
        let node = Node::start(settings).await?;
        node.run_until(signals).await;
        Ok(())
    })
}
