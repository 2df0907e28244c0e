//! Awaits the outcome of a request that was sent to the node on another host.
//!
//! A connection on which nothing arrives is no reason to end what runs: the outcome is asked for
//! over another connection while it is still awaited on the first one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::decision::host::settlement::{FirstConnection, Settlement};
use crate::host::peers::body_exchange::{Exchange, InPieces, PeerOutcome};
use crate::host::peers::peer_client::{PeerClients, PeerError};
use crate::host::peers::peer_connection::Connection;
use crate::host::peers::peer_rpc::WireWork;
use crate::kernel::StepError;
use crate::model::ids::Incarnation;
use crate::model::request::Effect;

/// Time after the deadline in which a peer may still return an outcome.
const REPLY_GRACE: Duration = Duration::from_millis(100);

/// Time in which a peer must answer over another connection.
const REACH_TIMEOUT: Duration = Duration::from_millis(250);

/// Maximum time spent on asking for the outcome once the connection has ended.
const SETTLE_MAX: Duration = Duration::from_millis(1_500);

/// Pause between two tries to ask for the outcome.
const SETTLE_PAUSE: Duration = Duration::from_millis(150);

/// A request to be sent to a peer.
#[derive(Debug)]
pub struct PeerRequest {
    /// Address of the peer.
    pub address: SocketAddr,
    /// Run of the peer's node that is meant.
    pub incarnation: Incarnation,
    /// Identifier of the request.
    pub id: Arc<str>,
    /// Whether it may run more than once.
    pub effect: Effect,
    /// Wire form of the request.
    pub work: WireWork,
    /// How long bodies pass; as a whole to a node of an earlier release.
    pub in_pieces: Option<InPieces>,
    /// Time until its deadline.
    pub time_left: Duration,
}

/// What a request meets while its outcome is awaited.
#[derive(Debug)]
pub enum Silence {
    /// Nothing arrives on its connection.
    Connection {
        /// The check that failed.
        error: StepError,
        /// Time since the last receipt.
        unheard_for: Duration,
    },
    /// Nor does the peer answer over another connection.
    Peer,
    /// The peer answers over another connection, but cannot tell the outcome.
    Outcome,
}

/// The rest of a request after it was handed over.
struct Sent<'a, F> {
    clients: &'a PeerClients,
    address: SocketAddr,
    incarnation: Incarnation,
    id: Arc<str>,
    effect: Effect,
    deadline: Instant,
    on_silence: F,
}

impl PeerClients {
    /// Sends a request and awaits its outcome; tells `on_silence` if nothing is heard meanwhile.
    ///
    /// A connection on which nothing was heard lately is checked before, so that no request is lost
    /// on a silent one.
    ///
    /// # Errors
    /// Returns [`PeerError`], which says whether the request may have been sent.
    pub async fn run(
        &self,
        request: PeerRequest,
        on_silence: impl Fn(Silence),
    ) -> Result<PeerOutcome, PeerError> {
        let address = request.address;
        let connection = self.checked_connection(address).await?;
        let deadline = Instant::now() + request.time_left + REPLY_GRACE;
        let mut exchange = self.exchange(&connection, request.in_pieces, deadline);
        let mut work = request.work;
        let began = Instant::now();
        if let Some(refusal) = self.send_body(address, &connection, &mut exchange).await? {
            return Ok(refusal);
        }
        work.spend(began.elapsed());
        let call = exchange.execute(work);
        tokio::pin!(call);
        let sent = Sent {
            clients: self,
            address,
            incarnation: request.incarnation,
            id: request.id,
            effect: request.effect,
            deadline,
            on_silence,
        };
        let error = tokio::select! {
            biased;
            answered = &mut call => {
                return sent.answer_or_settle(self.finish(address, &connection, answered)).await;
            }
            error = self.until_silent(&connection) => error,
        };
        self.drop_silent(address, &connection);
        (sent.on_silence)(Silence::Connection {
            error: StepError::with_peer("check the connection", address, error),
            unheard_for: connection.unheard_for().unwrap_or_default(),
        });
        tokio::select! {
            biased;
            answered = &mut call => {
                sent.answer_or_settle(self.finish(address, &connection, answered)).await
            }
            settled = sent.ask_until_certain() => settled,
        }
    }
}

impl PeerClients {
    /// Sends a long body ahead of its request; returns the outcome if there is no memory for it.
    ///
    /// # Errors
    /// Returns [`PeerError`], which says that the request was not sent.
    async fn send_body(
        &self,
        address: SocketAddr,
        connection: &Connection,
        exchange: &mut Exchange,
    ) -> Result<Option<PeerOutcome>, PeerError> {
        let sent = tokio::select! {
            biased;
            sent = exchange.send_body() => sent,
            error = self.until_silent(connection) => {
                self.drop_silent(address, connection);
                Err(error)
            }
        };
        match sent {
            Ok(true) => Ok(None),
            Ok(false) => Ok(Some(PeerOutcome::no_memory())),
            Err(error) => Err(
                match self.finish(address, connection, Err::<(), _>(error)) {
                    Err(PeerError::Lost(error)) => PeerError::NotSent(error),
                    Err(other) => other,
                    Ok(()) => PeerError::Deadline,
                },
            ),
        }
    }
}

impl<F: Fn(Silence)> Sent<'_, F> {
    /// Returns the answer, or settles the request over another connection if the first has ended.
    async fn answer_or_settle(
        &self,
        finished: Result<PeerOutcome, PeerError>,
    ) -> Result<PeerOutcome, PeerError> {
        let Err(PeerError::Lost(error)) = finished else {
            return finished;
        };
        let give_up_at = self.deadline.min(Instant::now() + SETTLE_MAX);
        while Instant::now() < give_up_at {
            match self.settle().await {
                Ok(outcome) => match self.judge(&outcome, FirstConnection::Ended) {
                    Settlement::Final => return Ok(outcome),
                    Settlement::AwaitFirst | Settlement::Unknown => break,
                },
                Err(PeerError::Deadline) => break,
                // It may be sent to another host at once.
                Err(_) if self.effect == Effect::Idempotent => break,
                Err(_) => tokio::time::sleep(SETTLE_PAUSE).await,
            }
        }
        Err(PeerError::Lost(error))
    }

    /// Asks for the outcome over another connection until it is certain.
    async fn ask_until_certain(&self) -> Result<PeerOutcome, PeerError> {
        let mut is_reported = false;
        loop {
            match self.settle().await {
                Ok(outcome) => match self.judge(&outcome, FirstConnection::Silent) {
                    Settlement::Final => return Ok(outcome),
                    Settlement::AwaitFirst | Settlement::Unknown => {
                        (self.on_silence)(Silence::Outcome);
                        // What remains is the first connection.
                        return std::future::pending().await;
                    }
                },
                Err(PeerError::Deadline) => return Err(PeerError::Deadline),
                Err(PeerError::NotSent(_) | PeerError::Lost(_)) => {
                    if !std::mem::replace(&mut is_reported, true) {
                        (self.on_silence)(Silence::Peer);
                    }
                    tokio::time::sleep(SETTLE_PAUSE).await;
                }
            }
        }
    }

    /// Asks the peer once, if it can be reached.
    async fn settle(&self) -> Result<PeerOutcome, PeerError> {
        self.clients.reach(self.address, REACH_TIMEOUT).await?;
        let time_left = self.deadline.saturating_duration_since(Instant::now());
        self.clients
            .settle(self.address, &self.id, self.incarnation, time_left)
            .await
            .map(PeerOutcome::from)
    }

    fn judge(&self, outcome: &PeerOutcome, first: FirstConnection) -> Settlement {
        match &outcome.outcome.result {
            Ok(_answer) => Settlement::Final,
            Err(failure) => {
                Settlement::of_failure(self.effect, first, failure.reason, failure.run_state)
            }
        }
    }
}
