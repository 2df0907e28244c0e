//! Runs the stand-in for the platform's log until a signal stops it.

use std::net::SocketAddr;

use clap::Parser;
use standins::log_service::{Faults, LogService};
use standins::runtime::{self, Threads};

/// Stand-in for the platform's append-only log
#[derive(Debug, Parser)]
struct Arguments {
    /// Address to listen on; port 0 takes a free one
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Faults in force from the start
    #[command(flatten)]
    faults: Faults,
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
    let service = LogService::start(arguments.listen, arguments.faults).await?;
    println!("listening {}", service.address());
    standins::signals::stop_requested().await?;
    service.stop().await;
    Ok(())
}
