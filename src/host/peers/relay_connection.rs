//! Connection over which a peer relays the operators' log.

use std::net::SocketAddr;
use std::time::Duration;

use tarpc::client::RpcError;

use crate::decision::host::relay_sources::RelayTimeouts;
use crate::host::peers::peer_client::{PeerClients, PeerError};
use crate::host::peers::peer_connection::context;
use crate::host::peers::peer_rpc::PeerHostClient;
use crate::host::peers::relay_rpc::WireLogIndex;
use crate::host::peers::relayed_values::{ValueDigest, WirePiece};
use crate::kernel::StepError;
use crate::model::log_position::LogPosition;

/// A connection to a peer that relays the operators' log; it closes when dropped.
#[derive(Debug)]
pub struct RelayConnection {
    address: SocketAddr,
    client: PeerHostClient,
    call_timeout: Duration,
}

impl RelayConnection {
    /// Opens a connection that only relays the operators' log.
    ///
    /// An open one may be silent without having ended, and requests must not wait behind records.
    ///
    /// # Errors
    /// Returns [`PeerError::NotSent`] if it cannot be opened.
    pub async fn open(
        clients: &PeerClients,
        address: SocketAddr,
        timeouts: RelayTimeouts,
    ) -> Result<Self, PeerError> {
        let connect_timeout = Duration::from_millis(timeouts.connect_ms);
        let connection = clients.open(address, connect_timeout).await?;
        Ok(Self {
            address,
            client: connection.client,
            call_timeout: Duration::from_millis(timeouts.call_ms),
        })
    }

    /// Returns the records of the log since the position `known`, without large values.
    ///
    /// # Errors
    /// Returns [`PeerError`] if the call fails.
    pub async fn log_index(&self, known: LogPosition) -> Result<WireLogIndex, PeerError> {
        let context = context(self.call_timeout);
        let index = self.client.log_index(context, known.into()).await;
        index.map_err(|error| self.error(error))
    }

    /// Returns the piece of a large value that begins at `offset`.
    ///
    /// # Errors
    /// Returns [`PeerError`] if the call fails.
    pub async fn value_piece(
        &self,
        digest: ValueDigest,
        offset: u64,
    ) -> Result<WirePiece, PeerError> {
        let context = context(self.call_timeout);
        let piece = self.client.value_piece(context, digest, offset).await;
        piece.map_err(|error| self.error(error))
    }

    fn error(&self, error: RpcError) -> PeerError {
        match error {
            RpcError::DeadlineExceeded => PeerError::Deadline,
            error => PeerError::Lost(StepError::with_peer("relay the log", self.address, error)),
        }
    }
}
