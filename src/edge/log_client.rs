//! Client of the platform's append-only log.

use std::net::SocketAddr;
//! HTTP client of the platform's append-only log.
//!
//! Each call opens a connection of its own, so that a failure to connect proves that
//! nothing was sent, and any later failure of an append leaves its outcome unknown.

use std::fmt;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_LENGTH, HOST};
use hyper::{Method, Request, Response, StatusCode};
use serde::Deserialize;

use super::server_pool::{Reached, ServerPool};
use crate::agreement::catch_up::{Page, StoredRecord};
use crate::kernel::StepError;
use crate::kernel::tasks::Tasks;

/// Connections to the log at most.
const CONNECTIONS_MAX: usize = 4;

/// Whether a failed append may still have taken effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendEffect {
    /// The log has no such record from this append.
    NotAppended,
    /// The record may be in the log; read on to find out.
    Unknown,
}

/// A failed append.
#[derive(Debug)]
pub struct AppendError {
    /// Whether it may have taken effect.
    pub effect: AppendEffect,
    /// Step, peer and cause.
    pub error: StepError,
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::agreement::catch_up::{Page, StoredRecord};
use crate::agreement::publish::NotAcceptedReason;

/// Longest answer of the log that is read, in bytes.
const ANSWER_BYTES_MAX: usize = 16 * 1024 * 1024;

/// Step of a call at which an error arose.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, displaydoc::Display)]
pub enum LogStep {
    /// connecting to the log
    Connect,
    /// appending to the log
    Append,
    /// reading the log
    Read,
}

/// What went wrong in a step.
#[derive(Debug, displaydoc::Display)]
pub enum LogCause {
    /// {0}
    Io(std::io::Error),
    /// {0}
    Http(hyper::Error),
    /// broken answer: {0}
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// malformed answer: {0}
    Json(serde_json::Error),
    /// status {0}
    Status(StatusCode),
    /// no answer within {0} ms
    Timeout(u64),
    /// request could not be built: {0}
    Request(hyper::http::Error),
}

/// {step} at {peer}: {cause}
#[derive(Debug, displaydoc::Display)]
pub struct LogError {
    /// Step at which it arose.
    pub step: LogStep,
    /// Address of the log.
    pub peer: SocketAddr,
    /// What went wrong.
    pub cause: LogCause,
}

impl std::error::Error for LogError {}

impl LogError {
    /// Why an append certainly took no effect; none when it may have.
    pub fn not_appended(&self) -> Option<NotAcceptedReason> {
        match (&self.step, &self.cause) {
            (LogStep::Connect, _) => Some(NotAcceptedReason::LogUnreachable),
            (_, LogCause::Request(_)) => Some(NotAcceptedReason::RecordRefused),
            (_, LogCause::Status(status)) => refused_by(*status),
            _ => None,
        }
    }
}

fn refused_by(status: StatusCode) -> Option<NotAcceptedReason> {
    match status {
        StatusCode::SERVICE_UNAVAILABLE => Some(NotAcceptedReason::LogDown),
        StatusCode::TOO_MANY_REQUESTS => Some(NotAcceptedReason::OverAppendLimit),
        status if status.is_client_error() => Some(NotAcceptedReason::RecordRefused),
        _ => None,
    }
}

/// Longest times of the steps.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogTimeouts {
    /// Opening a connection, in ms.
    pub connect_ms: u64,
    /// One append after the connection stands, in ms.
    pub append_ms: u64,
    /// One read beyond the time that the log was asked to wait, in ms.
    pub read_ms: u64,
}

/// Client of one stream of the log.
#[derive(Debug, Clone)]
pub struct LogClient {
    peer: SocketAddr,
    stream: Arc<str>,
    timeouts: LogTimeouts,
}

#[derive(Debug, Deserialize)]
struct AppendedWire {
    offset: u64,
}

#[derive(Debug, Deserialize)]
struct PageWire {
    earliest: u64,
    next: u64,
    records: Vec<RecordWire>,
}

#[derive(Debug, Deserialize)]
struct RecordWire {
    records: Vec<StoredRecordWire>,
}

#[derive(Debug, Deserialize)]
struct StoredRecordWire {
    offset: u64,
    data: String,
}

impl From<PageWire> for Page {
    fn from(wire: PageWire) -> Self {
        let stored = |record: RecordWire| StoredRecord {
            offset: record.offset,
            text: record.data,
        };
        Self {
            earliest: wire.earliest,
            next: wire.next,
            records: wire.records.into_iter().map(stored).collect(),
impl From<StoredRecordWire> for StoredRecord {
    fn from(wire: StoredRecordWire) -> Self {
        Self {
            offset: wire.offset,
            text: wire.data,
        }
    }
}

/// Connections to the log.
#[derive(Debug, Clone)]
pub struct LogClient {
    pool: Arc<ServerPool>,
    timeout: Duration,
}

impl LogClient {
    /// A client of the log at `address`; `timeout` bounds each append and read.
    pub fn new(address: SocketAddr, timeout: Duration, tasks: Tasks) -> Self {
        Self {
            pool: Arc::new(ServerPool::new(address, CONNECTIONS_MAX, tasks)),
            timeout,
        }
    }

    /// Appends one record and gives its offset.
    ///
    /// # Errors
    /// [`AppendError`] says whether the record may be in the log all the same.
    pub async fn append(&self, stream: &str, text: String) -> Result<u64, AppendError> {
        let path = format!("/streams/{stream}/records");
        let request = self.request(Method::POST, &path, Bytes::from(text));
        let request = request.map_err(|error| AppendError {
            effect: AppendEffect::NotAppended,
            error,
        })?;
        let sending = self.pool.send(request, None);
        let response = match tokio::time::timeout(self.timeout, sending).await {
            Ok(Ok(response)) => response,
            Ok(Err(failed)) if failed.reached == Reached::NotSent => {
                return Err(AppendError {
                    effect: AppendEffect::NotAppended,
                    error: failed.error,
                });
            }
            Ok(Err(failed)) => {
                return Err(AppendError {
                    effect: AppendEffect::Unknown,
                    error: failed.error,
                });
            }
            Err(elapsed) => {
                let error = self.error("append", elapsed);
                return Err(AppendError {
                    effect: AppendEffect::Unknown,
                    error,
                });
            }
        };
        self.appended(&response)
    }

    fn appended(&self, response: &Response<Bytes>) -> Result<u64, AppendError> {
        let refused = matches!(
            response.status(),
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
        );
        let effect = if refused {
            AppendEffect::NotAppended
        } else {
            AppendEffect::Unknown
        };
        let parsed: Result<AppendedWire, StepError> = self.parse("append", response);
        parsed
            .map(|appended| appended.offset)
            .map_err(|error| AppendError { effect, error })
    }

    /// Reads records from `from` on, waiting up to `wait_ms` when there are none yet.
    ///
    /// # Errors
    /// [`StepError`] when the log cannot be reached or answers anything but a page.
    pub async fn read(
        &self,
        stream: &str,
        from: u64,
        records_max: usize,
        wait_ms: u64,
    ) -> Result<Page, StepError> {
        let path =
            format!("/streams/{stream}/records?from={from}&max={records_max}&wait_ms={wait_ms}");
        let request = self.request(Method::GET, &path, Bytes::new())?;
        let limit = self.timeout + Duration::from_millis(wait_ms);
        let sending = self.pool.send(request, None);
        match tokio::time::timeout(limit, sending).await {
            Ok(Ok(response)) => self.parse::<PageWire>("read", &response).map(Page::from),
            Ok(Err(failed)) => Err(failed.error),
            Err(elapsed) => Err(self.error("read", elapsed)),
        }
/// Status and body of an answer.
struct Answer {
    status: StatusCode,
    body: Bytes,
}

impl LogClient {
    /// A client of `stream` on the log at `peer`; nothing is opened yet.
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
    /// [`LogError::not_appended`] tells a certain refusal from an unknown outcome.
    pub async fn append(&self, text: &str) -> Result<u64, LogError> {
        let path = format!("/streams/{}/records", self.stream);
        let request = self.request(LogStep::Append, Method::POST, &path, text)?;
        let body = self
            .call(LogStep::Append, request, self.timeouts.append_ms)
            .await?;
        let appended: AppendedWire = self.parse(LogStep::Append, &body)?;
        Ok(appended.offset)
    }

    /// Reads up to `records_max` records from an offset on, waiting up to `wait_ms` for one.
    ///
    /// # Errors
    /// [`LogError`] with the step and the cause.
    pub async fn read(&self, from: u64, records_max: u32, wait_ms: u64) -> Result<Page, LogError> {
        let path = format!(
            "/streams/{}/records?from={from}&max={records_max}&wait_ms={wait_ms}",
            self.stream
        );
        let request = self.request(LogStep::Read, Method::GET, &path, "")?;
        let limit_ms = self.timeouts.read_ms.saturating_add(wait_ms);
        let body = self.call(LogStep::Read, request, limit_ms).await?;
        let page: PageWire = self.parse(LogStep::Read, &body)?;
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
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>, StepError> {
        Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, self.pool.address().to_string())
            .header(CONTENT_LENGTH, body.len())
            .body(Full::new(body))
            .map_err(|error| self.error("request", error))
    }

    fn parse<T: for<'a> Deserialize<'a>>(
        &self,
        step: &'static str,
        response: &Response<Bytes>,
    ) -> Result<T, StepError> {
        if !response.status().is_success() {
            return Err(self.error(step, format!("the log answered {}", response.status())));
        }
        serde_json::from_slice(response.body()).map_err(|error| self.error(step, error))
    }

    fn error(&self, step: &'static str, cause: impl std::fmt::Display) -> StepError {
        StepError::with_peer(step, self.pool.address(), cause)
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
        limit_ms: u64,
    ) -> Result<Bytes, LogError> {
        let connect = TcpStream::connect(self.peer);
        let socket = self
            .within(LogStep::Connect, self.timeouts.connect_ms, connect)
            .await?;
        let socket = socket.map_err(|error| self.error(LogStep::Connect, LogCause::Io(error)))?;
        let answer = self
            .within(step, limit_ms, exchange(socket, request))
            .await?;
        let answer = answer.map_err(|cause| self.error(step, cause))?;
        if answer.status.is_success() {
            return Ok(answer.body);
        }
        Err(self.error(step, LogCause::Status(answer.status)))
    }

    async fn within<T>(
        &self,
        step: LogStep,
        limit_ms: u64,
        work: impl Future<Output = T>,
    ) -> Result<T, LogError> {
        let limited = timeout(Duration::from_millis(limit_ms), work).await;
        limited.map_err(|_elapsed| self.error(step, LogCause::Timeout(limit_ms)))
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

/// Sends one request and reads the whole answer; the connection ends with it.
async fn exchange(socket: TcpStream, request: Request<Full<Bytes>>) -> Result<Answer, LogCause> {
    let handshake = http1::handshake(TokioIo::new(socket)).await;
    let (mut sender, connection) = handshake.map_err(LogCause::Http)?;
    let mut answer = pin!(async move {
        let response = sender.send_request(request).await.map_err(LogCause::Http)?;
        let status = response.status();
        let body = Limited::new(response.into_body(), ANSWER_BYTES_MAX);
        let whole = body.collect().await.map_err(LogCause::Body)?;
        Ok(Answer {
            status,
            body: whole.to_bytes(),
        })
    });
    tokio::select! {
        answer = &mut answer => answer,
        // The connection ends first when the log closes it; the answer then tells how.
        _closed = connection => answer.await,
    }
}

impl fmt::Display for LogClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "stream {} at {}", self.stream, self.peer)
    }
}
