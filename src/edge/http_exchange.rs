//! HTTP exchange of one request and one response over a dedicated connection.

use std::pin::pin;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper::{HeaderMap, Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// A response with its complete body.
#[derive(Debug, Clone)]
pub struct HttpResponse {
    /// Status code.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// Why no complete response was received; the request may still have taken effect.
#[derive(Debug, displaydoc::Display)]
pub enum ExchangeError {
    /// {0}
    Http(hyper::Error),
    /// incomplete or oversized response body: {0}
    Body(Box<dyn std::error::Error + Send + Sync>),
}

impl std::error::Error for ExchangeError {}

/// Sends one request and reads the complete response, then closes the connection.
///
/// # Errors
/// [`ExchangeError`] if the connection fails or the body exceeds `body_bytes_max`.
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
        // The connection task finishes first if the peer closes; the response has the result.
        _closed = connection => response.await,
    }
}
