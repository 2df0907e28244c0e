//! Gets the records of the operators' log that this node misses from nodes that have them.
//!
//! Large values come compressed and in pieces. A transfer has no time limit as a whole: it goes on as
//! long as pieces arrive, and continues at another node where it ended at one that fell silent.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;

use crate::decision::host::keyed_state::Snapshot;
use crate::decision::host::peers::RelayProtocol;
use crate::decision::host::relay_sources::{NextSource, RelaySource, RelaySources, RelayTimeouts};
use crate::host::context::Host;
use crate::host::jitter::with_jitter;
use crate::host::log_service::operator_log::apply_snapshot;
use crate::host::peers::peer_client::PeerError;
use crate::host::peers::relay_connection::RelayConnection;
use crate::host::peers::relayed_values::{ValueDigest, digest_of};
use crate::host::peers::relayed_values::{WireDeferred, WirePiece};
use crate::kernel::shards::lock;
use crate::model::log_position::LogPosition;
use crate::model::units::US_PER_MS;

/// Pause before nodes that were busy or failed are asked again, in ms.
const RETRY_PAUSE_MS: u64 = 60;

/// Delay that lets this node's own read come before a request to a peer.
const PEER_QUERY_DELAY: Duration = Duration::from_millis(250);

/// Maximum size of a value, in bytes.
const VALUE_BYTES_MAX: u64 = 64 << 20;

/// Why a node did not relay the records.
#[derive(Debug, Display)]
enum RelayError {
    /// {0}
    Peer(PeerError),
    /// it relays to as many others as it may
    Busy,
    /// it does not have a value that its index names
    UnknownValue,
    /// a value does not match its digest
    BrokenValue,
    /// its index takes a record for known that this node does not have
    MissingRecord,
}

impl From<PeerError> for RelayError {
    fn from(error: PeerError) -> Self {
        Self::Peer(error)
    }
}

/// Received part of a compressed value.
#[derive(Debug, Default)]
struct PartialValue {
    digest: ValueDigest,
    compressed: Vec<u8>,
}

/// Gets the records that this node misses until the node stops.
pub async fn receive(host: Arc<Host>) {
    tokio::select! {
        () = host.stop.stopped() => {}
        () = receive_records(&host) => {}
    }
}

/// Gets records whenever other nodes know more of the log.
///
/// A node that follows the log first waits for [`PEER_QUERY_DELAY`], in which its own read may
/// catch up.
async fn receive_records(host: &Host) {
    let mut sources = RelaySources::default();
    let mut partial = PartialValue::default();
    loop {
        match next_source(host, &mut sources) {
            NextSource::NoneAhead => {
                host.operator_log_behind.notified().await;
                if host.follows_log.load(Ordering::Relaxed) {
                    tokio::time::sleep(PEER_QUERY_DELAY).await;
                }
            }
            NextSource::Pause => {
                tokio::time::sleep(Duration::from_millis(with_jitter(RETRY_PAUSE_MS))).await;
            }
            NextSource::Ask(source) => {
                receive_from(host, source, &mut sources, &mut partial).await;
            }
        }
    }
}

fn next_source(host: &Host, sources: &mut RelaySources) -> NextSource {
    let now_us = host.now_us();
    let ahead: Vec<RelaySource> = {
        let peers = lock(&host.peers);
        let state = lock(&host.operator_state);
        let zone = &host.settings.host.zone;
        peers.relay_sources(&state, zone, now_us).collect()
    };
    sources.choose(&ahead, rand::random())
}

/// Asks one node for the records and applies them.
async fn receive_from(
    host: &Host,
    source: RelaySource,
    sources: &mut RelaySources,
    partial: &mut PartialValue,
) {
    let started_us = host.now_us();
    let received = request_snapshot(host, source, sources.timeouts(), partial).await;
    let took_ms = (host.now_us() - started_us) / US_PER_MS;
    let mut fields = serde_json::json!({
        "peer": source.address, "same_zone": source.same_zone, "end": source.end.offset,
        "took_ms": took_ms,
    });
    match received {
        Ok(snapshot) => {
            fields["bytes"] = snapshot.value_bytes().into();
            host.events.state_changed("relay-received", fields);
            host.learn_times.operator_log.record(host.now_us());
            apply_snapshot(host, snapshot);
            sources.reset();
            if is_still_ahead(host, source) {
                // Its reports and its records disagree; another node is asked first.
                sources.record_failure(source.address);
            }
        }
        Err(RelayError::Busy) => {
            host.events.count("relay_busy");
            sources.record_busy(source.address);
        }
        Err(error) => {
            fields["error"] = error.to_string().into();
            fields["partial_bytes"] = partial.compressed.len().into();
            host.events.state_changed("relay-failed", fields);
            sources.record_failure(source.address);
        }
    }
}

fn is_still_ahead(host: &Host, source: RelaySource) -> bool {
    let peers = lock(&host.peers);
    let peer = peers.get(source.address);
    peer.is_some_and(|peer| peer.log_view.is_ahead_of(&lock(&host.operator_state)))
}

/// Requests the records that this node misses.
async fn request_snapshot(
    host: &Host,
    source: RelaySource,
    timeouts: RelayTimeouts,
    partial: &mut PartialValue,
) -> Result<Snapshot, RelayError> {
    let address = host.peer_address(source.address);
    let protocol = lock(&host.peers)
        .get(source.address)
        .map_or(RelayProtocol::Records, |peer| peer.log_view.protocol);
    if protocol != RelayProtocol::Index {
        let whole = host
            .peer_clients
            .operator_log(address, protocol, host.now_us());
        return Ok(whole.await?);
    }
    let connection = RelayConnection::open(&host.peer_clients, address, timeouts).await?;
    let known = lock(&host.operator_state).end();
    match request_since(host, &connection, known, partial).await {
        Err(RelayError::MissingRecord) => {
            request_since(host, &connection, LogPosition::default(), partial).await
        }
        requested => requested,
    }
}

/// Requests the records since a position.
async fn request_since(
    host: &Host,
    connection: &RelayConnection,
    known: LogPosition,
    partial: &mut PartialValue,
) -> Result<Snapshot, RelayError> {
    let index = connection.log_index(known).await?;
    let mut values = HashMap::new();
    for deferred in index.deferred() {
        if values.contains_key(&deferred.digest) {
            continue;
        }
        let value = match own_value(host, &deferred) {
            Some(value) => value,
            None => request_value(connection, &deferred, partial).await?,
        };
        values.insert(deferred.digest, value);
    }
    let state = lock(&host.operator_state);
    index
        .into_snapshot(&state, &values, host.now_us())
        .ok_or(RelayError::MissingRecord)
}

/// Returns a value of this node with the digest, for example of a record that the log had lost.
fn own_value(host: &Host, deferred: &WireDeferred) -> Option<Bytes> {
    let state = lock(&host.operator_state);
    let logged = state.records().filter_map(|record| record.value.as_ref());
    let lost = state.lost().filter_map(|lost| lost.value.as_ref());
    let mut same_length = logged
        .chain(lost)
        .filter(|value| value.len() as u64 == deferred.raw_bytes);
    same_length
        .find(|value| digest_of(value) == deferred.digest)
        .cloned()
}

/// Requests the pieces of a value that are still missing.
async fn request_value(
    connection: &RelayConnection,
    deferred: &WireDeferred,
    partial: &mut PartialValue,
) -> Result<Bytes, RelayError> {
    if partial.digest != deferred.digest {
        *partial = PartialValue {
            digest: deferred.digest,
            compressed: Vec::new(),
        };
    }
    while (partial.compressed.len() as u64) < deferred.compressed_bytes {
        let offset = partial.compressed.len() as u64;
        match connection.value_piece(deferred.digest, offset).await? {
            WirePiece::Bytes(piece) if !piece.is_empty() => {
                partial.compressed.extend_from_slice(&piece);
            }
            WirePiece::Bytes(_) | WirePiece::Unknown => return Err(RelayError::UnknownValue),
            WirePiece::Busy => return Err(RelayError::Busy),
        }
    }
    let compressed = std::mem::take(partial).compressed;
    decompress(&compressed, deferred).ok_or(RelayError::BrokenValue)
}

fn decompress(compressed: &[u8], deferred: &WireDeferred) -> Option<Bytes> {
    if deferred.raw_bytes > VALUE_BYTES_MAX {
        return None;
    }
    let raw = lz4_flex::decompress(compressed, deferred.raw_bytes as usize).ok()?;
    (digest_of(&raw) == deferred.digest).then(|| raw.into())
}
