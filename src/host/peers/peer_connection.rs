//! One connection to the node on another host.

use std::net::SocketAddr;
use std::time::Duration;

use tarpc::client::RpcError;
use tarpc::context::Context;
use tarpc::tokio_serde::formats::Bincode;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::edge::http1::LastReceipt;
use crate::edge::http1::client::{KeepAlive, connect};
use crate::edge::peer_client::frame_codec;
use crate::edge::receipt_stream::ReceiptStream;
use crate::host::peers::peer_rpc::PeerHostClient;
use crate::kernel::StepError;
use crate::kernel::tasks::Tasks;

/// Maximum size of a message between nodes, in bytes.
pub const MESSAGE_BYTES_MAX: usize = 80 << 20;

/// A connection; `ended` is cancelled when it closes.
#[derive(Debug, Clone)]
pub struct Connection {
    /// Makes calls over the connection.
    pub client: PeerHostClient,
    ended: CancellationToken,
    /// Time of the last receipt; the opening counts as one.
    last_receipt: LastReceipt,
}

impl Connection {
    /// Opens a connection whose I/O runs in `tasks`.
    ///
    /// # Errors
    /// Returns [`StepError`] if it cannot be opened within `connect_timeout`.
    pub async fn open(
        tasks: &Tasks,
        address: SocketAddr,
        connect_timeout: Duration,
    ) -> Result<Self, StepError> {
        let connected = connect(address, connect_timeout, KeepAlive::Checked).await;
        let stream = connected.map_err(|error| StepError::with_peer("connect", address, error))?;
        let last_receipt = LastReceipt::default();
        last_receipt.record();
        let stream = ReceiptStream::new(stream, last_receipt.clone());
        let framed = frame_codec(MESSAGE_BYTES_MAX).new_framed(stream);
        let transport = tarpc::serde_transport::new(framed, Bincode::default());
        let new_client = PeerHostClient::new(tarpc::client::Config::default(), transport);
        let ended = CancellationToken::new();
        let guard = ended.clone().drop_guard();
        tasks.spawn(async move {
            let _ends_with_connection = guard;
            if let Err(error) = new_client.dispatch.await {
                log::debug!("peer client: connection to {address} closed: {error}");
            }
        });
        Ok(Self {
            client: new_client.client,
            ended,
            last_receipt,
        })
    }

    /// Checks by a ping that the connection works.
    ///
    /// A connection on which other bytes arrive is busy, for example with a long answer ahead.
    ///
    /// # Errors
    /// Returns [`RpcError::DeadlineExceeded`] if nothing arrives within `timeout`, or why the
    /// connection has ended.
    pub async fn check(&self, timeout: Duration) -> Result<(), RpcError> {
        let pinged_at = Instant::now();
        // A call whose connection has no room for it does not come to its own deadline.
        let pinged = tokio::time::timeout(timeout, self.client.ping(context(timeout)));
        match pinged.await.unwrap_or(Err(RpcError::DeadlineExceeded)) {
            Err(RpcError::DeadlineExceeded) if self.has_received_since(pinged_at) => Ok(()),
            pinged => pinged,
        }
    }

    /// Resolves once the connection has closed.
    pub async fn ended(&self) {
        self.ended.cancelled().await;
    }

    /// Whether the connection has closed.
    pub fn has_ended(&self) -> bool {
        self.ended.is_cancelled()
    }

    /// Whether nothing was received for longer than `time`.
    pub fn is_unheard_for(&self, time: Duration) -> bool {
        self.unheard_for().is_none_or(|unheard| unheard > time)
    }

    /// Time since the last receipt.
    pub fn unheard_for(&self) -> Option<Duration> {
        self.last_receipt.get().map(|last| last.elapsed())
    }

    /// Whether both are clones of one connection.
    pub fn is_same(&self, other: &Self) -> bool {
        self.last_receipt.is_same(&other.last_receipt)
    }

    fn has_received_since(&self, time: Instant) -> bool {
        self.last_receipt.get().is_some_and(|last| last > time)
    }
}

/// Returns a tarpc context whose deadline is `time_left` from now.
pub fn context(time_left: Duration) -> Context {
    let mut context = Context::current();
    context.deadline = std::time::Instant::now() + time_left;
    context
}
