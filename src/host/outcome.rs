//! Outcome of a request at one host.

use crate::model::host_request::ServerAnswer;
use crate::model::reasons::{RefusalReason, RunState};
use crate::model::units::US_PER_MS;

/// Why a request got no answer from a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestFailure {
    /// Reason for the log and the caller.
    pub reason: RefusalReason,
    /// Whether the request is known not to have run.
    pub run_state: RunState,
    /// Whether it may have reached a backend server, which refused or lost it.
    pub arrived: bool,
    /// Time after which the caller may retry, in µs; `None` if unknown.
    pub retry_after_us: Option<u64>,
}

impl RequestFailure {
    /// Creates a failure of a request that was not sent to a backend server.
    pub fn not_sent(reason: RefusalReason) -> Self {
        Self {
            reason,
            run_state: RunState::NotRun,
            arrived: false,
            retry_after_us: None,
        }
    }

    /// Creates a failure of a request that the backend server refused without running it.
    pub fn shed() -> Self {
        Self {
            arrived: true,
            ..Self::not_sent(RefusalReason::ServerShed)
        }
    }

    /// Creates a failure of a request that may have run.
    pub fn unknown(reason: RefusalReason) -> Self {
        Self {
            reason,
            run_state: RunState::Unknown,
            arrived: true,
            retry_after_us: None,
        }
    }

    /// Sets the time after which the caller may retry, in µs.
    #[must_use]
    pub fn retry_after(mut self, after_us: u64) -> Self {
        self.retry_after_us = Some(after_us);
        self
    }

    /// Returns whether the request has certainly not run and never will.
    pub fn is_not_run(&self) -> bool {
        self.run_state == RunState::NotRun
    }

    /// Returns the time after which the caller may retry, in ms, rounded up.
    pub fn retry_after_ms(&self) -> Option<u64> {
        self.retry_after_us.map(|us| us.div_ceil(US_PER_MS))
    }
}

/// Measurements of a run, for the estimates of the sending and the running node.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RunMeasurement {
    /// Run time at the backend server, in µs; zero if the request was not sent.
    pub run_us: u64,
    /// Slowness of the backend server when the request was sent; 1 is its usual speed.
    pub slowness: f64,
}

/// Outcome of a request at one host.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// The answer, or the reason why there is none.
    pub result: Result<ServerAnswer, RequestFailure>,
    /// Measurements of the run.
    pub measurement: RunMeasurement,
}

impl Outcome {
    /// Creates the outcome of a failed request without a measured run.
    pub fn failed(failure: RequestFailure) -> Self {
        Self {
            result: Err(failure),
            measurement: RunMeasurement::default(),
        }
    }
}
