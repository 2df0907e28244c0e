//! Discovery of other nodes through a stream of the log.
//!
//! Each node appends a record with its addresses and reads the records of the others. The records
//! only provide contacts; the membership protocol decides which nodes are alive.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::decision::membership::{Member, MemberState};
use crate::edge::log_client::{LogClient, LogError};
use crate::kernel::metrics::Event;
use crate::kernel::{Kernel, StepError};
use crate::model::ids::Incarnation;
use crate::model::names::{ServerName, ServiceName, ZoneName};

/// Most records that one read requests.
const RECORDS_MAX: u32 = 1_024;

/// How often a node appends its record within the retention time of the log.
const APPENDS_PER_RETENTION: u64 = 3;

/// Longest random delay before the first append, in ms.
///
/// It keeps many nodes that start together from appending at the same time.
const APPEND_SPREAD_MS: u64 = 1_000;

/// JSON form of a node in the member stream.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct MemberWire {
    server: ServerName,
    incarnation: Incarnation,
    peer_address: SocketAddr,
    gossip_address: SocketAddr,
    region: Arc<str>,
    zone: ZoneName,
    service: Option<ServiceName>,
    revision: u32,
}

impl From<Member> for MemberWire {
    fn from(member: Member) -> Self {
        Self {
            server: member.server,
            incarnation: member.incarnation,
            peer_address: member.peer_address,
            gossip_address: member.gossip_address,
            region: member.region,
            zone: member.zone,
            service: member.service,
            revision: member.revision,
        }
    }
}

impl From<MemberWire> for Member {
    fn from(wire: MemberWire) -> Self {
        Self {
            server: wire.server,
            incarnation: wire.incarnation,
            peer_address: wire.peer_address,
            gossip_address: wire.gossip_address,
            region: wire.region,
            zone: wire.zone,
            service: wire.service,
            state: MemberState::Alive,
            revision: wire.revision,
        }
    }
}

/// Reads the records of other nodes, then keeps this node's record in the stream.
pub async fn run(kernel: Arc<Kernel>, log: LogClient, own: Member) {
    let exchange_contacts = async {
        let spread_ms = rand::random_range(0..=APPEND_SPREAD_MS);
        let read_to = AtomicU64::new(0);
        retry(&kernel, || read_members(&kernel, &log, &read_to)).await;
        tokio::time::sleep(Duration::from_millis(spread_ms)).await;
        loop {
            retry(&kernel, || append_own(&log, own.clone())).await;
            // Of two nodes that start together, the one that appends later finds the other here.
            retry(&kernel, || read_members(&kernel, &log, &read_to)).await;
            let period_ms = kernel.settings.log.retention_ms / APPENDS_PER_RETENTION;
            tokio::time::sleep(Duration::from_millis(period_ms)).await;
        }
    };
    tokio::select! {
        () = kernel.stop.stopped() => {}
        () = exchange_contacts => {}
    }
}

/// Repeats a step until it succeeds, with a random pause that spreads the nodes.
async fn retry<F, S>(kernel: &Kernel, step: F)
where
    F: Fn() -> S,
    S: Future<Output = Result<(), StepError>>,
{
    while let Err(error) = step().await {
        kernel.metrics.count(Event::LogFailed);
        log::debug!("members: {error}");
        let pause_ms = kernel.settings.log.retry_ms;
        let spread_ms = rand::random_range(pause_ms..=pause_ms * 10);
        tokio::time::sleep(Duration::from_millis(spread_ms)).await;
    }
}

/// Reads the stream from `read_to` to its end and reports the members found.
async fn read_members(
    kernel: &Kernel,
    log: &LogClient,
    read_to: &AtomicU64,
) -> Result<(), StepError> {
    loop {
        let mut from = read_to.load(Ordering::Relaxed);
        let page = log.read(from, RECORDS_MAX, 0).await.map_err(step_error)?;
        for record in &page.records {
            from = record.offset + 1;
            match serde_json::from_str::<MemberWire>(&record.text) {
                Ok(wire) => drop(kernel.state.learned_members.send(wire.into())),
                Err(error) => log::debug!("members: skipping an unreadable record: {error}"),
            }
        }
        read_to.store(from, Ordering::Relaxed);
        if page.records.is_empty() || from >= page.next {
            return Ok(());
        }
    }
}

async fn append_own(log: &LogClient, own: Member) -> Result<(), StepError> {
    let text = serde_json::to_string(&MemberWire::from(own))
        .map_err(|error| StepError::local("encode the member record", error))?;
    // A lost answer is harmless: a second record of the same incarnation adds nothing new.
    log.append(&text).await.map(drop).map_err(step_error)
}

fn step_error(error: LogError) -> StepError {
    StepError::with_peer("member stream", error.peer, error)
}
