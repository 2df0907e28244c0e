//! Answers that an executor stores to replay them when a request is repeated.

use std::sync::Arc;

use bytes::Bytes;

/// Header of a stored answer.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct AnswerHeader {
    /// Name, in lower case.
    pub name: Arc<str>,
    /// Value as the backend server sent it.
    pub value: Bytes,
}

/// Complete answer of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers in the order received.
    pub headers: Vec<AnswerHeader>,
    /// Body, complete.
    pub body: Bytes,
}

impl StoredAnswer {
    /// Returns the length of header names, header values and body, in bytes.
    pub fn length_bytes(&self) -> usize {
        let header_bytes: usize = self
            .headers
            .iter()
            .map(|header| header.name.len() + header.value.len())
            .sum();
        header_bytes + self.body.len()
    }
}
