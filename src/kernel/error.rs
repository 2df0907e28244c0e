//! Errors that name the failed step and the remote peer, if any.

use std::fmt;
use std::sync::Arc;

/// A failed step, its cause and the remote peer, if any.
#[derive(Debug, Clone)]
pub struct StepError {
    step: &'static str,
    peer: Option<Arc<str>>,
    cause: Arc<str>,
}

impl StepError {
    /// Creates an error of a step that involves no remote peer.
    pub fn local(step: &'static str, cause: impl fmt::Display) -> Self {
        Self {
            step,
            peer: None,
            cause: cause.to_string().into(),
        }
    }

    /// Creates an error of a step that communicates with `peer`.
    pub fn with_peer(
        step: &'static str,
        peer: impl fmt::Display,
        cause: impl fmt::Display,
    ) -> Self {
        Self {
            step,
            peer: Some(peer.to_string().into()),
            cause: cause.to_string().into(),
        }
    }

    /// The step that failed.
    pub fn step(&self) -> &'static str {
        self.step
    }

    /// The peer that the step communicated with, if any.
    pub fn peer(&self) -> Option<&str> {
        self.peer.as_deref()
    }
}

impl fmt::Display for StepError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.peer {
            Some(peer) => write!(f, "{} (peer {peer}): {}", self.step, self.cause),
            None => write!(f, "{}: {}", self.step, self.cause),
        }
    }
}

impl std::error::Error for StepError {}
