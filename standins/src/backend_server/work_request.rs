//! Work request and its answer on the wire.

use std::borrow::Cow;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use serde::{Deserialize, Serialize};

use crate::http::answer::ConnectionCut;
use crate::http::query;

/// Header that names a request on every hop.
pub const REQUEST_ID_HEADER: &str = "bronzelock-request-id";
/// Header with the time left, in ms.
pub const TIMEOUT_HEADER: &str = "bronzelock-timeout-ms";
/// Header with the branch that the request is for.
pub const BRANCH_HEADER: &str = "bronzelock-branch";
/// Header of an answer that says that the work was not run.
pub const NOT_RUN_HEADER: &str = "bronzelock-not-run";
/// Header with the caller's key of a non-idempotent request.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Longest answer that is padded on demand, in bytes.
const ANSWER_BYTES_MAX: u64 = 64 * 1024 * 1024;

/// Body of the answer to work that was run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkAnswer<'a> {
    /// Name of the backend server.
    #[serde(borrow)]
    pub server: Cow<'a, str>,
    /// Request id as received; empty when there was none.
    #[serde(borrow)]
    pub request_id: Cow<'a, str>,
    /// Method.
    #[serde(borrow)]
    pub method: Cow<'a, str>,
    /// Path with its query.
    #[serde(borrow)]
    pub path: Cow<'a, str>,
    /// Branch as received; empty when there was none.
    #[serde(borrow)]
    pub branch: Cow<'a, str>,
    /// Length of the request body, in bytes.
    pub request_bytes: u64,
}

/// Work request, read to its end.
#[derive(Debug)]
pub(super) struct WorkRequest {
    parts: Parts,
    body: Bytes,
}

impl WorkRequest {
    /// Reads the request to its end.
    pub async fn read(request: Request<Incoming>) -> Result<Self, ConnectionCut> {
        let (parts, body) = request.into_parts();
        let collected = body.collect().await;
        let body = collected
            .map_err(|_broken| ConnectionCut::BeforeAnswer)?
            .to_bytes();
        Ok(Self { parts, body })
    }

    fn header(&self, name: &str) -> Option<&str> {
        self.parts.headers.get(name)?.to_str().ok()
    }

    /// Request id as text.
    pub fn request_id(&self) -> Option<&str> {
        self.header(REQUEST_ID_HEADER)
    }

    /// Request id as header value, to be echoed.
    pub fn request_id_value(&self) -> Option<HeaderValue> {
        self.parts.headers.get(REQUEST_ID_HEADER).cloned()
    }

    /// The caller's key of a non-idempotent request.
    pub fn idempotency_key(&self) -> Option<&str> {
        self.header(IDEMPOTENCY_KEY_HEADER)
    }

    /// Time left for the request.
    pub fn timeout(&self) -> Option<Duration> {
        let left_ms = self.header(TIMEOUT_HEADER)?.parse().ok()?;
        Some(Duration::from_millis(left_ms))
    }

    fn answer_bytes(&self) -> usize {
        let asked = query::number(&self.parts.uri, "answer_bytes")
            .ok()
            .flatten();
        asked.unwrap_or(0).min(ANSWER_BYTES_MAX) as usize
    }

    /// Body of the answer, padded with spaces to the length asked for.
    ///
    /// # Panics
    /// Never: the answer is valid JSON.
    pub fn answer_body(&self, server: &str) -> Bytes {
        let path = self.parts.uri.path_and_query();
        let answer = WorkAnswer {
            server: Cow::Borrowed(server),
            request_id: Cow::Borrowed(self.request_id().unwrap_or("")),
            method: Cow::Borrowed(self.parts.method.as_str()),
            path: Cow::Borrowed(path.map_or("", |path| path.as_str())),
            branch: Cow::Borrowed(self.header(BRANCH_HEADER).unwrap_or("")),
            request_bytes: self.body.len() as u64,
        };
        let mut body = serde_json::to_vec(&answer).expect("an answer is valid JSON");
        let padded_bytes = body.len().max(self.answer_bytes());
        body.resize(padded_bytes, b' ');
        Bytes::from(body)
    }
}
