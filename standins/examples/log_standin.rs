//! Runs the stand-in for the platform's log until a signal stops it.

use std::net::SocketAddr;

use clap::Parser;
use standins::log_service::{Faults, LogService};

/// Stand-in for the platform's append-only log
#[derive(Debug, Parser)]
struct Arguments {
    /// Address to listen on; port 0 takes a free one
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Faults in force from the start
    #[command(flatten)]
    faults: Faults,
}

#[tokio::main]
async fn main() -> std::io::Result<()> {
    env_logger::init();
    let arguments = Arguments::parse();
    let service = LogService::start(arguments.listen, arguments.faults).await?;
    println!("listening {}", service.address());
    standins::signals::stop_requested().await?;
    service.stop().await;
    Ok(())
}
