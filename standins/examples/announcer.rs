//! Announces one backend server stand-in to many nodes from a single process.
//!
//! Stands in for one announcing backend server beside each node where only the nodes are measured.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bytes::Bytes;
use clap::Parser;
use http_body_util::Full;
use hyper::Request;
use hyper::header::{CONTENT_TYPE, HOST};
use standins::backend_server::{AnnouncedState, Announcement, BootId};
use standins::http::client::{ClientError, HttpConnection};
use standins::runtime::{self, Threads};

/// Time between two announcements to one node.
const ANNOUNCE_INTERVAL_MS: u64 = 500;

/// Announces one backend server to many nodes
#[derive(Debug, Parser)]
struct Arguments {
    /// File with one node a line: service, announce address of the node, address of the server
    #[arg(long)]
    nodes: PathBuf,
    /// Threads of the runtime
    #[command(flatten)]
    threads: Threads,
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    env_logger::init();
    let arguments = Arguments::parse();
    let text = std::fs::read_to_string(&arguments.nodes)?;
    let targets = text.lines().zip(1..).map(Target::parse);
    let targets = targets.collect::<Result<Vec<_>, _>>()?;
    runtime::start(arguments.threads)?.block_on(announce_all(targets))?;
    Ok(())
}

/// One node and what is announced to it.
#[derive(Debug)]
struct Target {
    node: SocketAddr,
    announcement: Announcement,
}

impl Target {
    fn parse((line, number): (&str, u64)) -> Result<Self, Box<dyn std::error::Error>> {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let &[service, node, server] = fields.as_slice() else {
            return Err(format!("line {number}: not SERVICE NODE SERVER: {line}").into());
        };
        let announcement = Announcement {
            service: service.to_owned(),
            address: server.parse()?,
            boot_id: BootId(number),
            state: AnnouncedState::Up,
            echoes_request_id: true,
        };
        Ok(Self {
            node: node.parse()?,
            announcement,
        })
    }

    fn request(&self) -> Request<Full<Bytes>> {
        let body = serde_json::to_vec(&self.announcement).expect("an announcement is valid JSON");
        let request = Request::put("/announce").header(HOST, self.node.to_string());
        let request = request.header(CONTENT_TYPE, "application/json");
        request.body(Full::from(body)).expect("a valid request")
    }

    /// Announces over one connection until it breaks.
    async fn announce(&self) -> Result<(), ClientError> {
        let mut connection = HttpConnection::open(self.node).await?;
        loop {
            connection.send(self.request()).await?;
            tokio::time::sleep(Duration::from_millis(ANNOUNCE_INTERVAL_MS)).await;
        }
    }
}

async fn announce_all(targets: Vec<Target>) -> std::io::Result<()> {
    for target in targets {
        tokio::spawn(async move {
            loop {
                if let Err(error) = target.announce().await {
                    log::debug!("announcer: {error}");
                }
                tokio::time::sleep(Duration::from_millis(ANNOUNCE_INTERVAL_MS)).await;
            }
        });
    }
    println!("listening nowhere");
    standins::signals::stop_requested().await
}
