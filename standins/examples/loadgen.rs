//! Sends requests at set times and prints what was answered and how fast.

use std::error::Error;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use standins::backend_server::fetch_settled_witnesses;
use standins::load::{LoadArguments, LoadReport, LoadSettings, run};
use standins::oracle::violations;
use standins::runtime::{self, Threads};

/// Exit code of a run that could not be measured.
const EXIT_NOT_MEASURED: u8 = 2;

/// Open-loop load generator; fails on a wrong answer or a broken promise
#[derive(Debug, Parser)]
struct Arguments {
    /// What is sent where, when and how often
    #[command(flatten)]
    load: LoadArguments,
    /// All backend server stand-ins, separated by commas, whose runs are checked afterwards
    #[arg(long, value_delimiter = ',')]
    witnesses: Vec<SocketAddr>,
    /// File that the report is written to as JSON
    #[arg(long)]
    json: Option<PathBuf>,
    /// Threads of the runtime
    #[command(flatten)]
    threads: Threads,
}

fn main() -> ExitCode {
    env_logger::init();
    let arguments = Arguments::parse();
    match start(arguments) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("loadgen: {error}");
            ExitCode::from(EXIT_NOT_MEASURED)
        }
    }
}

fn start(arguments: Arguments) -> Result<ExitCode, Box<dyn Error>> {
    runtime::start(arguments.threads)?.block_on(measure(arguments))
}

async fn measure(arguments: Arguments) -> Result<ExitCode, Box<dyn Error>> {
    let mut settings = LoadSettings::try_from(arguments.load)?;
    settings.records_claims |= !arguments.witnesses.is_empty();
    let report = run(&settings).await?;
    print!("{report}");
    if let Some(file) = arguments.json {
        std::fs::write(file, serde_json::to_vec_pretty(&report)?)?;
    }
    let broken = count_broken_promises(&report, &arguments.witnesses).await?;
    let is_right = broken == 0 && report.overall.wrong_answers == 0;
    Ok(if is_right {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

async fn count_broken_promises(
    report: &LoadReport,
    servers: &[SocketAddr],
) -> Result<usize, Box<dyn Error>> {
    if servers.is_empty() {
        return Ok(0);
    }
    let witnesses = fetch_settled_witnesses(servers).await?;
    for witness in &witnesses {
        println!("{} ran {} requests", witness.server, witness.runs);
    }
    let broken = violations(&report.claims, &witnesses);
    for violation in &broken {
        println!("broken: {violation}");
    }
    println!("broken promises: {}", broken.len());
    Ok(broken.len())
}
