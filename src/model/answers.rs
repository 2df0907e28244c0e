//! Answers of one branch to the questionnaire of one service.

use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::names::{BranchName, ServiceName, ZoneName};

/// HTTP methods that a kind of request may name.
pub const METHODS: [&str; 7] = ["GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"];

/// Kind of request: a method and a path prefix, written `POST /gate`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KindPattern {
    /// HTTP method in capitals.
    pub method: Arc<str>,
    /// Path prefix below the service, beginning with `/`.
    pub path_prefix: Arc<str>,
}

/// Why a text is not a kind of request.
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

/// One branch's answers, as its file and the log carry them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Answers {
    /// Service that the answers are for.
    pub service: ServiceName,
    /// Branch that answers.
    pub branch: BranchName,
    /// Availability zones that the backend servers stand in.
    pub zones: BTreeSet<ZoneName>,
    /// Kinds of request that go first.
    pub urgent_kinds: BTreeSet<KindPattern>,
    /// Kinds of request that must never run twice.
    pub non_idempotent_kinds: BTreeSet<KindPattern>,
    /// Requests at once that one warm backend server bears.
    pub slots: u32,
    /// Open connections at once that one backend server bears.
    pub connections: u32,
    /// Requests at once that one cold backend server bears.
    pub cold_slots: u32,
    /// Length of the cold start, in ms.
    pub cold_ms: u64,
    /// Time that a request may take when it states no deadline, in ms.
    pub deadline_ms: u64,
    /// Whether callers must state a deadline.
    pub deadline_required: bool,
    /// Longest request body, in bytes.
    pub body_bytes_max: u64,
    /// Health and load probes of one backend server per second at most.
    pub probes_per_s: u32,
    /// Weight of the branch among the branches of the service.
    pub branch_weight: u32,
    /// Most of the branch's share that may go first as urgent work, in percent.
    pub urgent_share_percent: u8,
}
