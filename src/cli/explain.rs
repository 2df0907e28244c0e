//! `bronzelock explain`: tells one request's path from the nodes' logs.

use std::io::Read;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Args;

use super::EXIT_BAD_INPUT;
use crate::operators::explain::Trails;

/// Arguments of `explain`.
#[derive(Debug, Args)]
pub struct ExplainArguments {
    /// Identifier of the request.
    #[arg(long)]
    pub id: String,
    /// Logs of nodes; standard input when none is named.
    #[arg(value_name = "FILE")]
    pub files: Vec<PathBuf>,
}

/// Reads the logs and prints the path.
pub fn run(arguments: &ExplainArguments) -> ExitCode {
    let mut trails = Trails::default();
    if arguments.files.is_empty() {
        let mut bytes = Vec::new();
        if let Err(error) = std::io::stdin().read_to_end(&mut bytes) {
            eprintln!("standard input cannot be read: {error}");
            return ExitCode::from(EXIT_BAD_INPUT);
        }
        trails.read(&String::from_utf8_lossy(&bytes));
    }
    for file in &arguments.files {
        match std::fs::read(file) {
            Ok(bytes) => trails.read(&String::from_utf8_lossy(&bytes)),
            Err(error) => {
                eprintln!("{} cannot be read: {error}", file.display());
                return ExitCode::from(EXIT_BAD_INPUT);
            }
        }
    }
    print!("{}", trails.explain(&arguments.id));
    ExitCode::SUCCESS
}
