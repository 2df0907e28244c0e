//! Exchange of one request with another node, whose long bodies pass in pieces.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::stream::FuturesOrdered;
use futures::{StreamExt, TryStreamExt, stream};
use tarpc::client::RpcError;
use tarpc::context::Context;
use tokio::time::Instant;

use crate::edge::http1::server::ANSWER_RESERVED_BYTES;
use crate::edge::http1::{BodyBudget, SMALL_BODY_BYTES, with_reservation};
use crate::host::outcome::{Outcome, RequestFailure};
use crate::host::peers::body_store::{BodyNumber, PIECE_BYTES};
use crate::host::peers::peer_connection::{Connection, context};
use crate::host::peers::peer_rpc::{WireKept, WireOutcome, WireWork};
use crate::kernel::tasks::Tasks;
use crate::model::body::Body;
use crate::model::load::HostLoad;
use crate::model::reasons::RefusalReason;

/// Number of pieces that may be on their way at the same time.
const PIECES_IN_FLIGHT_MAX: usize = 16;

/// Timeout of the call that frees the rest of a body.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// What a request to a node needs that takes long bodies in pieces.
#[derive(Debug)]
pub struct InPieces {
    /// Body that is sent before the request, if it is long.
    pub body: Option<Body>,
    /// Memory for long answers.
    pub answer_memory: Arc<BodyBudget>,
}

impl InPieces {
    /// Takes the body out of a request if it is long.
    pub fn new(body: &mut Body, answer_memory: &Arc<BodyBudget>) -> Self {
        let is_long = body.len() > SMALL_BODY_BYTES;
        Self {
            body: is_long.then(|| std::mem::take(body)),
            answer_memory: Arc::clone(answer_memory),
        }
    }
}

/// Outcome of a request at another node, and the load of that node.
#[derive(Debug)]
pub struct PeerOutcome {
    /// The outcome, with the whole answer.
    pub outcome: Outcome,
    /// Load of the node's gate, if it told.
    pub load: Option<HostLoad>,
}

impl PeerOutcome {
    /// Outcome of a request for which the other node has no memory.
    pub(super) fn no_memory() -> Self {
        Self {
            outcome: Outcome::failed(RequestFailure::not_sent(RefusalReason::NoMemory)),
            load: None,
        }
    }
}

impl From<WireOutcome> for PeerOutcome {
    fn from(wire: WireOutcome) -> Self {
        Self {
            load: Some(wire.load),
            outcome: Outcome::from(wire),
        }
    }
}

/// A request on its way to another node.
#[derive(Debug)]
pub(super) struct Exchange {
    connection: Connection,
    number: BodyNumber,
    in_pieces: Option<InPieces>,
    /// Pieces that were not sent ahead, with their offsets.
    last_pieces: Vec<(u64, Bytes)>,
    deadline: Instant,
    tasks: Tasks,
    /// Whether the other node may keep something of a body.
    is_body_kept: bool,
}

impl Exchange {
    /// Creates an exchange over a connection; `number` is unique on it.
    pub(super) fn new(
        connection: Connection,
        number: BodyNumber,
        in_pieces: Option<InPieces>,
        deadline: Instant,
        tasks: Tasks,
    ) -> Self {
        Self {
            connection,
            number,
            in_pieces,
            last_pieces: Vec::new(),
            deadline,
            tasks,
            is_body_kept: false,
        }
    }

    fn context(&self) -> Context {
        context(self.deadline.saturating_duration_since(Instant::now()))
    }

    /// Sends a long body ahead of the request, but for its last pieces, which need no answer before
    /// the request; returns false if the other node has no memory for it.
    ///
    /// # Errors
    /// [`RpcError`] if the connection fails or the deadline passes; the request was not sent.
    pub(super) async fn send_body(&mut self) -> Result<bool, RpcError> {
        let body = self
            .in_pieces
            .as_mut()
            .and_then(|in_pieces| in_pieces.body.take());
        let Some(body) = body else {
            return Ok(true);
        };
        let client = &self.connection.client;
        let deadline = self.context();
        self.is_body_kept = true;
        if !client
            .begin_body(deadline, self.number, body.len() as u64)
            .await?
        {
            self.is_body_kept = false;
            return Ok(false);
        }
        let mut in_flight = FuturesOrdered::new();
        let mut offset_bytes = 0;
        let mut pieces = body.pieces(PIECE_BYTES).collect::<Vec<_>>();
        let last = pieces.split_off(pieces.len().saturating_sub(PIECES_IN_FLIGHT_MAX));
        for piece in pieces {
            if in_flight.len() == PIECES_IN_FLIGHT_MAX {
                in_flight.next().await.transpose()?;
            }
            let piece_bytes = piece.len() as u64;
            in_flight.push_back(client.add_to_body(deadline, self.number, offset_bytes, piece));
            offset_bytes += piece_bytes;
        }
        while let Some(sent) = in_flight.next().await {
            sent?;
        }
        for piece in last {
            let piece_bytes = piece.len() as u64;
            self.last_pieces.push((offset_bytes, piece));
            offset_bytes += piece_bytes;
        }
        Ok(true)
    }

    /// Sends the request and awaits its outcome with the whole answer.
    ///
    /// # Errors
    /// [`RpcError`] if the connection fails or the deadline passes.
    pub(super) async fn execute(&mut self, work: WireWork) -> Result<PeerOutcome, RpcError> {
        let client = &self.connection.client;
        let deadline = self.context();
        let Some(in_pieces) = &self.in_pieces else {
            return Ok(client.run(deadline, work).await?.into());
        };
        let body_sent = self.is_body_kept;
        // A call that is given up may leave the body of its answer behind.
        self.is_body_kept = true;
        let last_pieces = std::mem::take(&mut self.last_pieces);
        let mut sending: FuturesOrdered<_> = last_pieces
            .into_iter()
            .map(|(offset, piece)| client.add_to_body(deadline, self.number, offset, piece))
            .collect();
        // Calls reach the other node in the order in which they are polled first.
        let sent = async { while let Some(Ok(())) = sending.next().await {} };
        let inline_bytes_max = ANSWER_RESERVED_BYTES as u32;
        let call = client.execute(deadline, self.number, work, body_sent, inline_bytes_max);
        let ((), executed) = tokio::join!(sent, call);
        let executed = executed?;
        let mut reply = PeerOutcome::from(executed.outcome);
        self.is_body_kept = executed.kept.is_some();
        if let Some(kept) = executed.kept {
            let answer_memory = Arc::clone(&in_pieces.answer_memory);
            let body = self.read_answer(kept, &answer_memory).await?;
            self.is_body_kept = body.is_none();
            let result = std::mem::replace(
                &mut reply.outcome.result,
                Err(RequestFailure::unknown(RefusalReason::AnswerNotHeld)),
            );
            if let (Some(body), Ok(mut answer)) = (body, result) {
                answer.body = body;
                reply.outcome.result = Ok(answer);
            }
        }
        Ok(reply)
    }

    /// Reads the body of an answer that the other node keeps, once there is memory for it.
    async fn read_answer(
        &self,
        kept: WireKept,
        answer_memory: &Arc<BodyBudget>,
    ) -> Result<Option<Body>, RpcError> {
        let length_bytes = kept.length_bytes as usize;
        let reserved = answer_memory.reserve_when_free(length_bytes).await;
        let Some(mut memory) = reserved else {
            return Ok(None);
        };
        let client = &self.connection.client;
        let (deadline, number) = (self.context(), self.number);
        let calls = (0..kept.pieces).map(|index| client.answer_piece(deadline, number, index));
        let pieces = stream::iter(calls).buffered(PIECES_IN_FLIGHT_MAX);
        let pieces: Vec<Option<Bytes>> = pieces.try_collect().await?;
        let mut segments = Vec::with_capacity(pieces.len());
        for piece in pieces.into_iter().flatten() {
            let piece_memory = memory.split(piece.len());
            segments.push(with_reservation(piece, piece_memory));
        }
        let body = Body::from_segments(segments);
        if body.len() != length_bytes {
            return Ok(None);
        }
        Ok(Some(body))
    }
}

impl Drop for Exchange {
    /// Lets the other node free what it still keeps.
    fn drop(&mut self) {
        if !self.is_body_kept || self.connection.has_ended() {
            return;
        }
        let (client, number) = (self.connection.client.clone(), self.number);
        self.tasks.spawn(async move {
            let discarded = client.discard_body(context(DISCARD_TIMEOUT), number).await;
            if let Err(error) = discarded {
                log::debug!("peer client: a body was not discarded: {error}");
            }
        });
    }
}
