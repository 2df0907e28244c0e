//! How a request ended, and what its caller knows of its run.

use hyper::StatusCode;

use crate::http::client::ClientStep;

use super::answer_check::AnswerFault;
use super::claims::Claim;
use super::problem::Problem;

/// Why an attempt gave no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Loss {
    /// The connection failed.
    Connection(ClientStep),
    /// No answer came in time.
    TimedOut,
}

impl Loss {
    /// Whether the request may have been run.
    pub fn may_have_run(self) -> bool {
        self != Self::Connection(ClientStep::Connect)
    }
}

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Outcome {
    /// A whole answer of its own.
    Answered {
        status: StatusCode,
        served_by: String,
    },
    /// An answer that is not its own or not whole.
    Wrong(AnswerFault),
    /// A refusal or a failure with a status.
    Refused {
        status: StatusCode,
        problem: Problem,
    },
    /// No answer.
    Lost(Loss),
}

impl Outcome {
    /// What the caller knows about the run.
    pub fn claim(&self) -> Claim {
        match self {
            Self::Answered { .. } => Claim::Done,
            Self::Refused { problem, .. } if problem.not_run == Some(true) => Claim::NotRun,
            Self::Lost(loss) if !loss.may_have_run() => Claim::NotRun,
            Self::Wrong(_) | Self::Refused { .. } | Self::Lost(_) => Claim::Unknown,
        }
    }
}
