//! HTTP client for the platform's append-only log.
//!
//! Each call opens a new connection, so a failure to connect proves that nothing was sent. After
//! a later failure, it is unknown whether an append took effect.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Method, Request, StatusCode};
use serde::Deserialize;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::http_exchange::{ExchangeError, exchange};
use crate::agreement::catch_up::{Page, StoredRecord};
use crate::agreement::publish::NotAcceptedReason;

/// Maximum length of a response body, in bytes.
const RESPONSE_BYTES_MAX: usize = 16 * 1024 * 1024;

/// Step of a call that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, displaydoc::Display)]
pub enum LogStep {
    /// connecting to the log
    Connect,
    /// appending to the log
    Append,
    /// reading the log
    Read,
}

/// Cause of a failed step.
#[derive(Debug, displaydoc::Display)]
pub enum LogCause {
    /// {0}
    Io(std::io::Error),
    /// {0}
    Exchange(ExchangeError),
    /// malformed response: {0}
    Json(serde_json::Error),
    /// status {0}
    Status(StatusCode),
    /// no answer within {0} ms
    Timeout(u64),
    /// failed to build the request: {0}
    Request(hyper::http::Error),
}

/// {step} at {peer}: {cause}
#[derive(Debug, displaydoc::Display)]
pub struct LogError {
    /// Step that failed.
    pub step: LogStep,
    /// Address of the log.
    pub peer: SocketAddr,
    /// What went wrong.
    pub cause: LogCause,
}

impl std::error::Error for LogError {}

impl LogError {
    /// Reason why an append definitely had no effect; `None` if it may have had one.
    pub fn not_appended(&self) -> Option<NotAcceptedReason> {
        match (&self.step, &self.cause) {
            (LogStep::Connect, _) => Some(NotAcceptedReason::LogUnreachable),
            (_, LogCause::Request(_)) => Some(NotAcceptedReason::RecordRefused),
            (_, LogCause::Status(status)) => rejection_reason(*status),
            _ => None,
        }
    }
}

fn rejection_reason(status: StatusCode) -> Option<NotAcceptedReason> {
    match status {
        StatusCode::SERVICE_UNAVAILABLE => Some(NotAcceptedReason::LogDown),
        StatusCode::TOO_MANY_REQUESTS => Some(NotAcceptedReason::OverAppendLimit),
        status if status.is_client_error() => Some(NotAcceptedReason::RecordRefused),
        _ => None,
    }
}

/// Timeouts of the steps of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogTimeouts {
    /// Timeout for opening a connection, in ms.
    pub connect_ms: u64,
    /// Timeout for an append once connected, in ms.
    pub append_ms: u64,
    /// Timeout for a read, in addition to the time that the log may wait for records, in ms.
    pub read_ms: u64,
}

/// Client for one stream of the log.
#[derive(Debug, Clone)]
pub struct LogClient {
    peer: SocketAddr,
    stream: Arc<str>,
    timeouts: LogTimeouts,
}

#[derive(Debug, Deserialize)]
struct AppendResponse {
    offset: u64,
}

#[derive(Debug, Deserialize)]
struct ReadResponse {
    earliest: u64,
    next: u64,
    records: Vec<ResponseRecord>,
}

#[derive(Debug, Deserialize)]
struct ResponseRecord {
    offset: u64,
    data: String,
}

impl From<ResponseRecord> for StoredRecord {
    fn from(wire: ResponseRecord) -> Self {
        Self {
            offset: wire.offset,
            text: wire.data,
        }
    }
}

impl LogClient {
    /// Creates a client for `stream` of the log at `peer`, without connecting.
    pub fn new(peer: SocketAddr, stream: impl Into<Arc<str>>, timeouts: LogTimeouts) -> Self {
        Self {
            peer,
            stream: stream.into(),
            timeouts,
        }
    }

    /// Address of the log.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Appends one record and returns its offset.
    ///
    /// # Errors
    /// [`LogError::not_appended`] tells a definite rejection from an unknown outcome.
    pub async fn append(&self, text: &str) -> Result<u64, LogError> {
        let path = format!("/streams/{}/records", self.stream);
        let request = self.request(LogStep::Append, Method::POST, &path, text)?;
        let body = self
            .call(LogStep::Append, request, self.timeouts.append_ms)
            .await?;
        let appended: AppendResponse = self.parse(LogStep::Append, &body)?;
        Ok(appended.offset)
    }

    /// Reads up to `records_max` records from offset `from`, waiting up to `wait_ms` for the first.
    ///
    /// # Errors
    /// [`LogError`] with the failed step and its cause.
    pub async fn read(&self, from: u64, records_max: u32, wait_ms: u64) -> Result<Page, LogError> {
        let path = format!(
            "/streams/{}/records?from={from}&max={records_max}&wait_ms={wait_ms}",
            self.stream
        );
        let request = self.request(LogStep::Read, Method::GET, &path, "")?;
        let timeout_ms = self.timeouts.read_ms.saturating_add(wait_ms);
        let body = self.call(LogStep::Read, request, timeout_ms).await?;
        let page: ReadResponse = self.parse(LogStep::Read, &body)?;
        let records = page.records.into_iter().map(StoredRecord::from).collect();
        Ok(Page {
            from,
            earliest: page.earliest,
            next: page.next,
            records,
        })
    }

    fn request(
        &self,
        step: LogStep,
        method: Method,
        path: &str,
        body: &str,
    ) -> Result<Request<Full<Bytes>>, LogError> {
        Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, self.peer.to_string())
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::copy_from_slice(body.as_bytes())))
            .map_err(|error| self.error(step, LogCause::Request(error)))
    }

    async fn call(
        &self,
        step: LogStep,
        request: Request<Full<Bytes>>,
        timeout_ms: u64,
    ) -> Result<Bytes, LogError> {
        let connect = TcpStream::connect(self.peer);
        let socket = self
            .with_timeout(LogStep::Connect, self.timeouts.connect_ms, connect)
            .await?;
        let socket = socket.map_err(|error| self.error(LogStep::Connect, LogCause::Io(error)))?;
        let response = self
            .with_timeout(
                step,
                timeout_ms,
                exchange(socket, request, RESPONSE_BYTES_MAX),
            )
            .await?;
        let response = response.map_err(|error| self.error(step, LogCause::Exchange(error)))?;
        if response.status.is_success() {
            return Ok(response.body);
        }
        Err(self.error(step, LogCause::Status(response.status)))
    }

    async fn with_timeout<T>(
        &self,
        step: LogStep,
        timeout_ms: u64,
        work: impl Future<Output = T>,
    ) -> Result<T, LogError> {
        let result = timeout(Duration::from_millis(timeout_ms), work).await;
        result.map_err(|_elapsed| self.error(step, LogCause::Timeout(timeout_ms)))
    }

    fn parse<T: for<'a> Deserialize<'a>>(&self, step: LogStep, body: &[u8]) -> Result<T, LogError> {
        serde_json::from_slice(body).map_err(|error| self.error(step, LogCause::Json(error)))
    }

    fn error(&self, step: LogStep, cause: LogCause) -> LogError {
        LogError {
            step,
            peer: self.peer,
            cause,
        }
    }
}

impl fmt::Display for LogClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "stream {} at {}", self.stream, self.peer)
    }
}
