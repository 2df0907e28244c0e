//! Client of the platform's append-only log.

use std::net::SocketAddr;
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
    }
}
