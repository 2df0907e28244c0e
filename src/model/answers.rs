//! A branch's answers to the questionnaire of a service.

use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::names::{BranchName, ServiceName, ZoneName};

/// HTTP methods that a kind of request may use.
pub const METHODS: [&str; 7] = ["GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"];

/// Kind of request: a method and a path prefix, such as `POST /gate`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KindPattern {
    /// HTTP method in upper case.
    pub method: Arc<str>,
    /// Path prefix relative to the service, starting with `/`.
    pub path_prefix: Arc<str>,
}

/// Error from parsing a kind of request.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum KindError {
    /// no method and path; write them like POST /gate
    NotTwoWords,
    /// method {0:?} is none of GET, HEAD, OPTIONS, POST, PUT, PATCH and DELETE
    UnknownMethod(String),
    /// path {0:?} does not begin with '/'
    PathWithoutSlash(String),
}

impl std::error::Error for KindError {}

impl FromStr for KindPattern {
    type Err = KindError;

    fn from_str(text: &str) -> Result<Self, KindError> {
        let mut words = text.split_whitespace();
        let (Some(method), Some(path), None) = (words.next(), words.next(), words.next()) else {
            return Err(KindError::NotTwoWords);
        };
        if !METHODS.contains(&method) {
            return Err(KindError::UnknownMethod(method.to_owned()));
        }
        if !path.starts_with('/') {
            return Err(KindError::PathWithoutSlash(path.to_owned()));
        }
        Ok(Self {
            method: Arc::from(method),
            path_prefix: Arc::from(path),
        })
    }
}

impl TryFrom<String> for KindPattern {
    type Error = KindError;

    fn try_from(text: String) -> Result<Self, KindError> {
        text.parse()
    }
}

impl From<KindPattern> for String {
    fn from(kind: KindPattern) -> Self {
        kind.to_string()
    }
}

impl fmt::Display for KindPattern {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.method, self.path_prefix)
    }
}

/// A branch's answers, as stored in its file and in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Answers {
    /// Service that the answers are for.
    pub service: ServiceName,
    /// Branch that gave the answers.
    pub branch: BranchName,
    /// Availability zones in which the backend servers run.
    pub zones: BTreeSet<ZoneName>,
    /// Kinds of request that are urgent.
    pub urgent_kinds: BTreeSet<KindPattern>,
    /// Kinds of request that must never run twice.
    pub non_idempotent_kinds: BTreeSet<KindPattern>,
    /// Concurrent requests that a warm backend server can handle.
    pub slots: u32,
    /// Concurrent connections that a backend server can handle.
    pub connections: u32,
    /// Concurrent requests that a cold backend server can handle.
    pub cold_slots: u32,
    /// Duration of the cold start, in ms.
    pub cold_ms: u64,
    /// Default deadline of requests that state none, in ms.
    pub deadline_ms: u64,
    /// Whether callers must state a deadline.
    pub deadline_required: bool,
    /// Maximum size of a request body, in bytes.
    pub body_bytes_max: u64,
    /// Maximum number of health and load probes of a backend server per second.
    pub probes_per_s: u32,
    /// Weight of the branch relative to the other branches of the service.
    pub branch_weight: u32,
    /// Maximum part of the branch's share used by urgent requests, in percent.
    pub urgent_share_percent: u8,
}
