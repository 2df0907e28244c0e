//! One HTTP request and its whole answer on a connection of its own.

use std::pin::pin;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper::{HeaderMap, Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// A whole answer.
#[derive(Debug, Clone)]
pub struct HttpResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Why there is no whole answer; the request may have taken effect.
#[derive(Debug, displaydoc::Display)]
pub enum ExchangeError {
    /// {0}
    Http(hyper::Error),
    /// broken answer: {0}
    Body(Box<dyn std::error::Error + Send + Sync>),
}

impl std::error::Error for ExchangeError {}

/// Sends one request and reads the whole answer; the connection ends with it.
///
/// # Errors
/// [`ExchangeError`] when the connection breaks, or the body exceeds `body_bytes_max`.
pub async fn exchange(
    socket: TcpStream,
    request: Request<Full<Bytes>>,
    body_bytes_max: usize,
) -> Result<HttpResponse, ExchangeError> {
    let handshake = http1::handshake(TokioIo::new(socket)).await;
    let (mut sender, connection) = handshake.map_err(ExchangeError::Http)?;
    let mut response = pin!(async move {
        let response = sender
            .send_request(request)
            .await
            .map_err(ExchangeError::Http)?;
        let (head, body) = response.into_parts();
        let whole = Limited::new(body, body_bytes_max).collect().await;
        let body = whole.map_err(ExchangeError::Body)?.to_bytes();
        Ok(HttpResponse {
            status: head.status,
            headers: head.headers,
            body,
        })
    });
    tokio::select! {
        response = &mut response => response,
        // The connection ends first when the peer closes it; the answer then tells how.
        _closed = connection => response.await,
    }
}
