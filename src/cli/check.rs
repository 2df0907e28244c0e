//! `bronzelock check`: checks a settings file.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Args;

use super::EXIT_BAD_INPUT;
use crate::settings;

/// Arguments of `check`.
#[derive(Debug, Args)]
pub struct CheckArguments {
    /// Settings file in JSON.
    #[arg(long, value_name = "FILE")]
    pub settings: PathBuf,
}

/// Prints each problem, or that there is none.
pub fn run(arguments: &CheckArguments) -> ExitCode {
    match settings::load::read(&arguments.settings) {
        Ok(_settings) => {
            println!("{}: settings fit", arguments.settings.display());
            ExitCode::SUCCESS
        }
        Err(problems) => {
            eprint!("{problems}");
            ExitCode::from(EXIT_BAD_INPUT)
        }
    }
}
