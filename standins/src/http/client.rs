//! One HTTP/1.1 connection to a node or a stand-in.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{HeaderMap, Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use tokio::net::TcpStream;
use tokio_util::task::AbortOnDropHandle;

/// Step at which an exchange failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClientStep {
    /// No connection could be had; no byte was sent.
    Connect,
    /// The request was sent and no head of an answer came.
    Head,
    /// The answer broke off.
    Body,
}

/// Exchange that gave no whole answer.
#[derive(Debug, displaydoc::Display)]
#[displaydoc("{step:?} with {peer} failed: {cause}")]
pub struct ClientError {
    /// Step that failed.
    pub step: ClientStep,
    /// Address of the peer.
    pub peer: SocketAddr,
    /// What the library or the system reported.
    pub cause: Box<dyn std::error::Error + Send + Sync>,
}

impl std::error::Error for ClientError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(self.cause.as_ref())
    }
}

/// Whole answer, read to its end.
#[derive(Debug, Clone)]
pub struct WholeAnswer {
    /// Status code.
    pub status: StatusCode,
    /// Header fields.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Open connection that carries one request at a time.
#[derive(Debug)]
pub struct HttpConnection {
    peer: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    _driver: AbortOnDropHandle<()>,
}

impl HttpConnection {
    /// Opens a connection.
    ///
    /// # Errors
    /// [`ClientError`] at the step `Connect`.
    pub async fn open(peer: SocketAddr) -> Result<Self, ClientError> {
        let failed = |cause| ClientError {
            step: ClientStep::Connect,
            peer,
            cause,
        };
        let stream = TcpStream::connect(peer)
            .await
            .map_err(|error| failed(error.into()))?;
        stream
            .set_nodelay(true)
            .map_err(|error| failed(error.into()))?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|error| failed(error.into()))?;
        let driver = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("http: connection to {peer} ended: {error}");
            }
        });
        Ok(Self {
            peer,
            sender,
            _driver: AbortOnDropHandle::new(driver),
        })
    }

    /// Sends a request and reads the answer to its end.
    ///
    /// # Errors
    /// [`ClientError`] says whether the head or the rest of the answer was lost.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<WholeAnswer, ClientError> {
        let peer = self.peer;
        let failed = |step, cause: hyper::Error| ClientError {
            step,
            peer,
            cause: cause.into(),
        };
        let ready = self.sender.ready().await;
        ready.map_err(|error| failed(ClientStep::Connect, error))?;
        let sent = self.sender.try_send_request(request).await;
        let sent = sent.map_err(|mut error| {
            let step = step_of_failed_send(&mut error);
            failed(step, error.into_error())
        });
        let (head, body) = sent?.into_parts();
        let read = body.collect().await;
        let body = read
            .map_err(|error| failed(ClientStep::Body, error))?
            .to_bytes();
        Ok(WholeAnswer {
            status: head.status,
            headers: head.headers,
            body,
        })
    }

    /// Whether the connection was seen to close.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

/// A request that comes back was not sent.
fn step_of_failed_send(error: &mut TrySendError<Request<Full<Bytes>>>) -> ClientStep {
    match error.take_message() {
        Some(_unsent) => ClientStep::Connect,
        None => ClientStep::Head,
    }
}

/// Sends one request on a connection of its own.
///
/// # Errors
/// [`ClientError`] with the step that failed.
pub async fn send_once(
    peer: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<WholeAnswer, ClientError> {
    HttpConnection::open(peer).await?.send(request).await
}
