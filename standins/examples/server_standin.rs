//! Runs a backend server stand-in until a signal stops it.

use std::time::Duration;

use clap::Parser;
use standins::backend_server::{BackendServer, BackendServerSettings, BehaviourChange};
use standins::runtime::{self, Threads};

/// Stand-in for a backend server
#[derive(Debug, Parser)]
struct Arguments {
    /// What it is and what it bears
    #[command(flatten)]
    server: BackendServerSettings,
    /// Time between announcing that it leaves and its stop, in ms
    #[arg(long, default_value_t = 0)]
    leaving_ms: u64,
    /// Threads of the runtime
    #[command(flatten)]
    threads: Threads,
}

fn main() -> std::io::Result<()> {
    env_logger::init();
    let arguments = Arguments::parse();
    runtime::start(arguments.threads)?.block_on(serve(arguments))
}

async fn serve(arguments: Arguments) -> std::io::Result<()> {
    let server = BackendServer::start(arguments.server).await?;
    println!("listening {}", server.address());
    standins::signals::stop_requested().await?;
    server.change_behaviour(BehaviourChange {
        drain: Some(true),
        ..BehaviourChange::default()
    });
    tokio::time::sleep(Duration::from_millis(arguments.leaving_ms)).await;
    server.stop().await;
    Ok(())
}
