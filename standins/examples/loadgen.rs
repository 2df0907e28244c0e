//! Sends requests at set times and prints what was answered and how fast.

use std::error::Error;
use std::path::PathBuf;

use clap::Parser;
use standins::load::{LoadArguments, LoadSettings, run};

/// Open-loop load generator
#[derive(Debug, Parser)]
struct Arguments {
    /// What is sent where, when and how often
    #[command(flatten)]
    load: LoadArguments,
    /// File that the report is written to as JSON
    #[arg(long)]
    json: Option<PathBuf>,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    env_logger::init();
    let arguments = Arguments::parse();
    let settings = LoadSettings::try_from(arguments.load)?;
    let report = run(&settings).await?;
    print!("{report}");
    if let Some(file) = arguments.json {
        std::fs::write(file, serde_json::to_vec_pretty(&report)?)?;
    }
    Ok(())
}
