//! `status`: every node's version, state, load and refusals.

use std::time::Duration;

use super::console::Console;
use super::error::CliError;
use super::{StatusArgs, client};
use crate::model::load::ServerState;
use crate::model::names::ServiceName;
use crate::operators::status::{ClusterStatus, NodeStatus};

/// Time between two prints of `--watch`, in ms.
const WATCH_INTERVAL_MS: u64 = 1_000;

/// Runs the command.
pub async fn run(args: StatusArgs, console: &mut Console<'_>) -> Result<(), CliError> {
    let client = client(&args.admin)?;
    loop {
        let status: ClusterStatus = client.get("/v1/status").await?;
        if args.admin.json {
            console.json(&status)?;
        } else {
            console.line(&text(&status))?;
        }
        if !args.watch {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(WATCH_INTERVAL_MS)).await;
    }
}

fn text(status: &ClusterStatus) -> String {
    let mut lines = vec![head(status)];
    lines.push(format!(
        "{:<20} {:<12} {:<16} {:>7} {:>11} {:<8} {:>9} {:>7}  {}",
        "NODE", "SERVICE", "ZONE", "VERSION", "LOG READ", "STATE", "RUNNING", "WAITING", "REFUSED"
    ));
    lines.extend(status.nodes.iter().map(row));
    lines.join("\n")
}

fn head(status: &ClusterStatus) -> String {
    let version = status.version;
    let log = match status.log_age_ms {
        Some(age_ms) => format!("log read to its end {age_ms} ms ago"),
        None => "log never read to its end".to_owned(),
    };
    let missing: Vec<&str> = status
        .not_confirmed(version)
        .map(|node| node.node.as_str())
        .collect();
    let force = if missing.is_empty() {
        format!("in force on all {} nodes", status.nodes.len())
    } else {
        let names = missing.join(", ");
        format!(
            "not yet in force on {} of {} nodes: {names}",
            missing.len(),
            status.nodes.len()
        )
    };
    format!("version {version}, {force}; {log}")
}

fn row(node: &NodeStatus) -> String {
    let refused: Vec<String> = node
        .refusals
        .iter()
        .filter(|(_, count)| **count > 0)
        .map(|(reason, count)| format!("{}={count}", reason.as_str()))
        .collect();
    format!(
        "{:<20} {:<12} {:<16} {:>7} {:>11} {:<8} {:>9} {:>7}  {}",
        node.node.as_str(),
        node.service.as_ref().map_or("-", ServiceName::as_str),
        node.zone.as_str(),
        node.version.0,
        node.log_age_ms
            .map_or("never".to_owned(), |age_ms| format!("{age_ms} ms")),
        state(node.state),
        format!("{}/{}", node.in_flight, node.limit),
        node.queued,
        refused.join(" ")
    )
    .trim_end()
    .to_owned()
}

const fn state(state: ServerState) -> &'static str {
    match state {
        ServerState::Cold => "cold",
        ServerState::Warm => "warm",
        ServerState::Leaving => "leaving",
        ServerState::Out => "out",
        ServerState::Absent => "absent",
    }
}
