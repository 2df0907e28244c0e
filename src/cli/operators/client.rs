//! HTTP client of the administration API.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, ETAG, HOST, HeaderMap, HeaderValue};
use hyper::{Method, Request, StatusCode};
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::edge::http_exchange::{ExchangeError, HttpResponse, exchange};
use crate::model::ids::ConfigVersion;
use crate::operators::admin_api::problem::Problem;

/// Longest time to open a connection, in ms.
const CONNECT_MS: u64 = 5_000;
/// Longest time of one call; above the time in which a node resolves a change, in ms.
const CALL_MS: u64 = 30_000;
/// Longest answer, in bytes.
const ANSWER_BYTES_MAX: usize = 16 * 1024 * 1024;

/// Step of a call at which an error arose.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, displaydoc::Display)]
pub enum ClientStep {
    /// building the request
    Build,
    /// connecting to
    Connect,
    /// calling
    Call,
    /// reading the answer of
    Read,
}

/// What went wrong in a step.
#[derive(Debug, displaydoc::Display)]
pub enum ClientCause {
    /// {0}
    Io(std::io::Error),
    /// {0}
    Exchange(ExchangeError),
    /// no answer within {0} ms
    Timeout(u64),
    /// {0}
    Request(hyper::http::Error),
    /// {0}
    Json(serde_json::Error),
    /// status {0} without a problem document
    Status(StatusCode),
    /// answer bears no version
    NoVersion,
    /// {0}
    Problem(Box<Problem>),
}

/// {step} {peer}: {cause}
#[derive(Debug, displaydoc::Display)]
pub struct ClientError {
    /// Step at which it arose.
    pub step: ClientStep,
    /// Address of the administration API.
    pub peer: SocketAddr,
    /// What went wrong.
    pub cause: ClientCause,
}

impl std::error::Error for ClientError {}

impl ClientError {
    /// The problem that the node told, when it told one.
    pub fn problem(&self) -> Option<&Problem> {
        match &self.cause {
            ClientCause::Problem(problem) => Some(problem),
            _ => None,
        }
    }
}

/// A document and the version that its `ETag` names.
#[derive(Debug, Clone)]
pub struct Versioned<T> {
    /// Version.
    pub version: ConfigVersion,
    /// Document.
    pub document: T,
}

/// One call.
#[derive(Debug, Clone)]
pub struct Call<'a> {
    /// Method.
    pub method: Method,
    /// Path.
    pub path: &'a str,
    /// Headers besides the token and the body's type.
    pub headers: HeaderMap,
    /// Body.
    pub body: String,
}

/// Client of one node's administration API.
pub struct AdminClient {
    peer: SocketAddr,
    token: Option<String>,
}

impl fmt::Debug for AdminClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "AdminClient({}, token redacted)", self.peer)
    }
}

impl AdminClient {
    /// A client of the API at `peer`; nothing is opened yet.
    pub fn new(peer: SocketAddr, token: Option<&str>) -> Self {
        Self {
            peer,
            token: token.map(str::to_owned),
        }
    }

    /// Reads one document.
    ///
    /// # Errors
    /// [`ClientError`] with the step and the peer.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, ClientError> {
        let call = Call {
            method: Method::GET,
            path,
            headers: HeaderMap::new(),
            body: String::new(),
        };
        let answer = self.call(call).await?;
        self.parse(&answer)
    }

    /// Calls and reads a document that bears a version.
    ///
    /// # Errors
    /// [`ClientError`] with the step and the peer.
    pub async fn versioned<T: DeserializeOwned>(
        &self,
        call: Call<'_>,
    ) -> Result<Versioned<T>, ClientError> {
        let answer = self.call(call).await?;
        let document = self.parse(&answer)?;
        let tag = answer.headers.get(ETAG).and_then(|tag| tag.to_str().ok());
        let digits = tag.map(|tag| tag.trim_matches('"'));
        let version = digits
            .and_then(|digits| digits.parse().ok())
            .map(ConfigVersion);
        let version = version.ok_or(self.error(ClientStep::Read, ClientCause::NoVersion))?;
        Ok(Versioned { version, document })
    }

    async fn call(&self, call: Call<'_>) -> Result<HttpResponse, ClientError> {
        let request = self.request(call)?;
        let connect = TcpStream::connect(self.peer);
        let socket = self
            .within(ClientStep::Connect, CONNECT_MS, connect)
            .await?;
        let socket =
            socket.map_err(|error| self.error(ClientStep::Connect, ClientCause::Io(error)))?;
        let work = exchange(socket, request, ANSWER_BYTES_MAX);
        let answer = self.within(ClientStep::Call, CALL_MS, work).await?;
        let answer =
            answer.map_err(|error| self.error(ClientStep::Call, ClientCause::Exchange(error)))?;
        if answer.status.is_success() {
            return Ok(answer);
        }
        let cause = match serde_json::from_slice::<Problem>(&answer.body) {
            Ok(problem) => ClientCause::Problem(Box::new(problem)),
            Err(_) => ClientCause::Status(answer.status),
        };
        Err(self.error(ClientStep::Call, cause))
    }

    fn request(&self, call: Call<'_>) -> Result<Request<Full<Bytes>>, ClientError> {
        let failed = |error| self.error(ClientStep::Build, ClientCause::Request(error));
        let body = Full::new(Bytes::from(call.body));
        let builder = Request::builder().method(call.method).uri(call.path);
        let mut request = builder.body(body).map_err(failed)?;
        *request.headers_mut() = call.headers;
        let host = HeaderValue::from_str(&self.peer.to_string());
        let host = host.map_err(|error| failed(error.into()))?;
        request.headers_mut().insert(HOST, host);
        request
            .headers_mut()
            .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(token) = &self.token {
            let value = HeaderValue::from_str(&format!("Bearer {token}"));
            let mut value = value.map_err(|error| failed(error.into()))?;
            value.set_sensitive(true);
            request.headers_mut().insert(AUTHORIZATION, value);
        }
        Ok(request)
    }

    async fn within<T>(
        &self,
        step: ClientStep,
        limit_ms: u64,
        work: impl Future<Output = T>,
    ) -> Result<T, ClientError> {
        let limited = timeout(Duration::from_millis(limit_ms), work).await;
        limited.map_err(|_elapsed| self.error(step, ClientCause::Timeout(limit_ms)))
    }

    fn parse<T: DeserializeOwned>(&self, answer: &HttpResponse) -> Result<T, ClientError> {
        serde_json::from_slice(&answer.body)
            .map_err(|error| self.error(ClientStep::Read, ClientCause::Json(error)))
    }

    /// An error of this client.
    pub fn error(&self, step: ClientStep, cause: ClientCause) -> ClientError {
        ClientError {
            step,
            peer: self.peer,
            cause,
        }
    }
}
