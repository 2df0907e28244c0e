//! What became of a request at one backend server.

use crate::model::host_request::ServerAnswer;
use crate::model::reasons::{RefusalReason, RunState};
use crate::model::units::US_PER_MS;

/// Why a request got no answer from a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestFailure {
    /// Why.
    pub reason: RefusalReason,
    /// What is certain about the run.
    pub run_state: RunState,
    /// Whether it arrived at a backend server, which refused or lost it.
    pub arrived: bool,
    /// When to come back, in µs; none where nothing is known.
    pub retry_after_us: Option<u64>,
}

impl RequestFailure {
    /// It was refused before any byte was sent to a backend server.
    pub fn not_sent(reason: RefusalReason) -> Self {
        Self {
            reason,
            run_state: RunState::NotRun,
            arrived: false,
            retry_after_us: None,
        }
    }

    /// The backend server refused it without running it.
    pub fn shed() -> Self {
        Self {
            arrived: true,
            ..Self::not_sent(RefusalReason::ServerShed)
        }
    }

    /// It may have run.
    pub fn unknown(reason: RefusalReason) -> Self {
        Self {
            reason,
            run_state: RunState::Unknown,
            arrived: true,
            retry_after_us: None,
        }
    }

    /// States when to come back.
    #[must_use]
    pub fn retry_after(mut self, after_us: u64) -> Self {
        self.retry_after_us = Some(after_us);
        self
    }

    /// Whether no byte of the request reached a backend server that ran it, and none ever will.
    pub fn is_not_run(&self) -> bool {
        self.run_state == RunState::NotRun
    }

    /// When to come back, in ms.
    pub fn retry_after_ms(&self) -> Option<u64> {
        self.retry_after_us.map(|us| us.div_ceil(US_PER_MS))
    }
}

/// How a run went, for the estimates of both nodes.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RunMeasurement {
    /// Time at the backend server, in µs; zero if it was not sent.
    pub run_us: u64,
    /// Slowness when it was sent.
    pub slowness: f64,
}

/// What became of a request at one host.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// The answer, or why there is none.
    pub result: Result<ServerAnswer, RequestFailure>,
    /// How it went.
    pub measurement: RunMeasurement,
}

impl Outcome {
    /// A request that did not come as far as the backend server.
    pub fn failed(failure: RequestFailure) -> Self {
        Self {
            result: Err(failure),
            measurement: RunMeasurement::default(),
        }
    }
}
