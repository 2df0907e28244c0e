//! RPC listener for the nodes on other hosts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use crate::edge::answer_transport::AnswerTransport;
use crate::edge::http1::client::{KeepAlive, enable_dead_peer_detection};
use crate::edge::http1::with_reservation;
use crate::edge::peer_client::frame_codec;
use crate::edge::peer_drain;
use crate::edge::shared_stream::SharedStream;
use crate::host::context::Host;
use crate::host::outcome::{Outcome, RequestFailure};
use crate::host::peers::body_store::{BodyNumber, BodyStore};
use crate::host::peers::log_rpc::{WireOperatorLog, WireOperatorRecords};
use crate::host::peers::peer_connection::MESSAGE_BYTES_MAX;
use crate::host::peers::peer_rpc::{
    PeerHost, WireExecuted, WireIntroduction, WireKept, WireOutcome, WireWork,
};
use crate::host::peers::relay_rpc::{WireLogIndex, WireLogPosition};
use crate::host::peers::relayed_values::ValueDigest;
use crate::host::peers::relayed_values::WirePiece;
use crate::host::server::detached;
use crate::kernel::shards::lock;
use crate::model::ids::Incarnation;
use crate::model::reasons::RefusalReason;

/// Pause after a failed accept, such as when file descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Maximum number of concurrent requests on one peer connection.
const CONCURRENT_REQUESTS_MAX: usize = 512;

/// Serves peers until the node stops.
pub async fn serve(host: Arc<Host>, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            () = host.stop.stopped() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, peer)) => {
                if let Err(error) = enable_dead_peer_detection(&stream, KeepAlive::Checked) {
                    log::warn!("peer server: failed to set socket options (peer {peer}): {error}");
                }
                host.peer_connections.tasks.spawn(serve_connection(
                    Arc::clone(&host),
                    stream,
                    peer,
                ));
            }
            Err(error) => {
                log::warn!("peer server: accept failed: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves one peer connection.
///
/// tarpc drops the future of a request that the peer cancels, which cancels the request. While the
/// node drains, the connection ends once all its calls are answered and the peer has the answers.
async fn serve_connection(host: Arc<Host>, stream: TcpStream, peer: SocketAddr) {
    let stream = SharedStream::new(stream);
    let framed = frame_codec(MESSAGE_BYTES_MAX).new_framed(stream.clone());
    let transport = tarpc::serde_transport::new(framed, Bincode::default());
    let connection_ended = CancellationToken::new();
    let unwritten = host.peer_connections.unwritten.clone();
    let bodies = Arc::new(BodyStore::default());
    let transport = AnswerTransport::new(
        transport,
        unwritten,
        connection_ended.clone(),
        peer_drain::drain_signal(host.stop.clone()),
    )
    .while_unread(bodies.kept_count());
    let channel = BaseChannel::with_defaults(transport);
    let service = Service {
        host: Arc::clone(&host),
        peer,
        bodies,
        connection_ended: connection_ended.clone(),
    };
    let requests = channel.execute(service.serve());
    let served = requests.for_each_concurrent(CONCURRENT_REQUESTS_MAX, |request| request);
    tokio::pin!(served);
    tokio::select! {
        () = host.stop.stopped() => return connection_ended.cancel(),
        () = &mut served => {}
    }
    peer_drain::close_delivered(stream, peer, &host.stop).await;
}

/// Implementation of the RPC service for one connection.
#[derive(Debug, Clone)]
struct Service {
    host: Arc<Host>,
    /// Address from which the peer has connected.
    peer: SocketAddr,
    /// Long bodies that pass over the connection.
    bodies: Arc<BodyStore>,
    /// Cancelled once nothing more is read from the peer, before its open calls are dropped; a call
    /// that the peer cancels ends without it.
    connection_ended: CancellationToken,
}

impl Service {
    /// Runs a request, whose body was sent before if `sent` names it.
    async fn run_work(&self, work: WireWork, sent: Option<BodyNumber>) -> Outcome {
        let mut work = match work.into_work(self.host.now_us()) {
            Ok(work) => work,
            Err(error) => {
                log::warn!("peer server: rejected a request: {error}");
                return Outcome::failed(RequestFailure::not_sent(RefusalReason::PeerRejected));
            }
        };
        let memory = &self.host.memory;
        let body_bytes = work.body.len();
        let (Some(_head_memory), Some(body_memory)) = (
            memory.small_bodies.reserve(work.head_bytes()),
            memory.body_budget(body_bytes).reserve(body_bytes),
        ) else {
            return Outcome::failed(RequestFailure::not_sent(RefusalReason::NoMemory));
        };
        match sent {
            None if body_bytes > 0 => {
                work.body = with_reservation(work.body.to_bytes(), body_memory).into();
            }
            None => {}
            Some(number) => match self.bodies.take(number).await {
                Some(body) => work.body = body,
                None => {
                    return Outcome::failed(RequestFailure::not_sent(RefusalReason::NoMemory));
                }
            },
        }
        detached::run(&self.host, work, &self.connection_ended).await
    }
}

impl PeerHost for Service {
    async fn run(self, _context: Context, work: WireWork) -> WireOutcome {
        let outcome = self.run_work(work, None).await;
        WireOutcome::new(outcome, self.host.gate.load())
    }

    async fn begin_body(self, _context: Context, number: BodyNumber, length_bytes: u64) -> bool {
        let Ok(length_bytes) = usize::try_from(length_bytes) else {
            return false;
        };
        self.bodies.begin(&self.host, number, length_bytes).await
    }

    async fn add_to_body(
        self,
        _context: Context,
        number: BodyNumber,
        offset_bytes: u64,
        piece: Bytes,
    ) {
        self.bodies.add(number, offset_bytes as usize, piece);
    }

    async fn execute(
        self,
        _context: Context,
        number: BodyNumber,
        work: WireWork,
        body_sent: bool,
        inline_bytes_max: u32,
    ) -> WireExecuted {
        let mut outcome = self.run_work(work, body_sent.then_some(number)).await;
        let mut kept = None;
        if let Ok(answer) = &mut outcome.result
            && answer.body.len() > inline_bytes_max as usize
        {
            let body = std::mem::take(&mut answer.body);
            let pieces = self.bodies.keep(&self.host, number, &body);
            kept = Some(WireKept {
                length_bytes: body.len() as u64,
                pieces,
            });
        }
        WireExecuted {
            outcome: WireOutcome::new(outcome, self.host.gate.load()),
            kept,
        }
    }

    async fn answer_piece(
        self,
        _context: Context,
        number: BodyNumber,
        index: u32,
    ) -> Option<Bytes> {
        self.bodies.piece(number, index)
    }

    async fn discard_body(self, _context: Context, number: BodyNumber) {
        self.bodies.discard(number);
    }

    async fn settle(self, _context: Context, id: String, incarnation: u64) -> WireOutcome {
        let outcome = if Incarnation(incarnation).is_same_run(self.host.incarnation) {
            detached::settle(&self.host, &id.into(), &self.connection_ended).await
        } else {
            Outcome::failed(RequestFailure::unknown(RefusalReason::ConnectionLost))
        };
        WireOutcome::new(outcome, self.host.gate.load())
    }

    async fn ping(self, _context: Context) {}

    async fn operator_records(self, _context: Context) -> WireOperatorRecords {
        WireOperatorRecords::from(&*lock(&self.host.operator_state))
    }

    async fn operator_log(self, _context: Context) -> WireOperatorLog {
        WireOperatorLog::new(&lock(&self.host.operator_state), self.host.now_us())
    }

    async fn log_index(self, _context: Context, known: WireLogPosition) -> WireLogIndex {
        let now_us = self.host.now_us();
        let state = lock(&self.host.operator_state);
        let mut values = lock(&self.host.relayed_values);
        WireLogIndex::new(&state, known.into(), &mut values, now_us)
    }

    async fn value_piece(self, _context: Context, digest: ValueDigest, offset: u64) -> WirePiece {
        let now_us = self.host.now_us();
        lock(&self.host.relayed_values).piece(&digest, offset, self.peer, now_us)
    }

    async fn known_hosts(self, _context: Context) -> Vec<WireIntroduction> {
        let peers = lock(&self.host.peers);
        let introductions = peers.iter().map(|peer| peer.introduction.clone());
        let own = self.host.introduction();
        introductions
            .chain([own])
            .map(WireIntroduction::from)
            .collect()
    }
}
