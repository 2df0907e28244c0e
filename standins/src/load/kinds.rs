//! Kinds of request in the mix.

use std::net::SocketAddr;
use std::path::Path;

use hyper::Method;
use serde::{Deserialize, Serialize};

/// One kind of request and its share of the mix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestKind {
    /// Name in reports; method and path when empty.
    #[serde(default)]
    pub name: String,
    /// Share among the weights of all kinds.
    #[serde(default = "one")]
    pub weight: u32,
    /// HTTP method in capitals.
    #[serde(default = "get")]
    pub method: String,
    /// Path with its query, beginning with `/`.
    pub path: String,
    /// Branch that the request is for.
    pub branch: String,
    /// Value of the header `Priority`.
    #[serde(default)]
    pub priority: Option<String>,
    /// Whether it follows the ticket protocol.
    #[serde(default)]
    pub non_idempotent: bool,
    /// Length of the request body, in bytes.
    #[serde(default)]
    pub body_bytes: usize,
    /// Backend server stand-in that gets this kind in place of the targets.
    #[serde(default)]
    pub straight_to: Option<SocketAddr>,
}

fn one() -> u32 {
    1
}

fn get() -> String {
    Method::GET.to_string()
}

impl RequestKind {
    /// Idempotent `GET` of a path for a branch.
    pub fn get(path: &str, branch: &str) -> Self {
        Self {
            name: String::new(),
            weight: one(),
            method: get(),
            path: path.to_owned(),
            branch: branch.to_owned(),
            priority: None,
            non_idempotent: false,
            body_bytes: 0,
            straight_to: None,
        }
    }

    /// Non-idempotent `POST` to a path for a branch.
    pub fn post_once(path: &str, branch: &str) -> Self {
        let method = Method::POST.to_string();
        Self {
            method,
            non_idempotent: true,
            ..Self::get(path, branch)
        }
    }

    /// Name in reports.
    pub fn label(&self) -> String {
        if self.name.is_empty() {
            return format!("{} {}", self.method, self.path);
        }
        self.name.clone()
    }
}

/// Reads a mix from a file that holds a JSON list of kinds.
///
/// # Errors
/// The system's or the parser's error, with its place in the file.
pub fn read_kinds(file: &Path) -> std::io::Result<Vec<RequestKind>> {
    let text = std::fs::read(file)?;
    Ok(serde_json::from_slice(&text)?)
}
