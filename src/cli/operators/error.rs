//! Errors of commands and the exit codes they end with.

use std::path::{Path, PathBuf};

use super::super::{EXIT_BAD_INPUT, EXIT_FAILED};
use super::client::{ClientCause, ClientError};
use crate::model::ids::ChangeId;
use crate::operators::admin_api::problem::{Problem, ProblemKind};
use crate::operators::answers::AnswerError;

/// Exit codes of operators' commands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitStatus {
    /// The command failed; nothing was changed.
    Failed = EXIT_FAILED,
    /// Answers or a file do not fit; nothing was changed.
    BadInput = EXIT_BAD_INPUT,
    /// Another operator's change was first; nothing was changed.
    Rejected = 3,
    /// The log did not take the change; nothing was changed.
    NotAccepted = 4,
    /// The change may be in force now or later; repeat with the same id.
    Unknown = 5,
    /// The operator said no; nothing was changed.
    Declined = 6,
}

/// Why a command ended early.
#[derive(Debug, displaydoc::Display)]
pub enum CliError {
    /// {path}: {cause}
    File {
        /// The file.
        path: String,
        /// What went wrong.
        cause: std::io::Error,
    },
    /// {0}
    Answers(AnswerList),
    /// {0}
    Client(ClientError),
    /// outcome of change {id} is unknown ({cause}); repeat with --change-id {id}
    Unknown {
        /// The change.
        id: ChangeId,
        /// What is missing.
        cause: ClientError,
    },
    /// nothing was changed
    Declined,
    /// printing: {0}
    Output(std::io::Error),
}

impl std::error::Error for CliError {}

/// Bad answers, one line each.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerList(pub Vec<AnswerError>);

impl std::fmt::Display for AnswerList {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let lines: Vec<String> = self.0.iter().map(ToString::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl CliError {
    /// Exit code of the process.
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            Self::Client(error) => match error.problem().map(|problem| problem.reason) {
                Some(ProblemKind::Rejected) => ExitStatus::Rejected,
                Some(ProblemKind::NotAccepted) => ExitStatus::NotAccepted,
                _ => ExitStatus::Failed,
            },
            Self::Unknown { .. } => ExitStatus::Unknown,
            Self::Declined => ExitStatus::Declined,
            Self::File { .. } | Self::Answers(_) => ExitStatus::BadInput,
            Self::Output(_) => ExitStatus::Failed,
        }
    }
}

impl From<ClientError> for CliError {
    fn from(error: ClientError) -> Self {
        match error.cause {
            ClientCause::Problem(problem) if problem.reason == ProblemKind::BadAnswers => {
                Self::Answers(answers_of(*problem))
            }
            cause => Self::Client(ClientError { cause, ..error }),
        }
    }
}

fn answers_of(problem: Problem) -> AnswerList {
    AnswerList(
        problem
            .extensions
            .answers
            .into_iter()
            .map(AnswerError::from)
            .collect(),
    )
}

/// Reads a text file.
pub fn read_file(path: &Path) -> Result<String, CliError> {
    std::fs::read_to_string(path).map_err(|cause| CliError::File {
        path: PathBuf::from(path).display().to_string(),
        cause,
    })
}
