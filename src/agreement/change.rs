//! One change that an operator asks for.

use std::fmt;
use std::sync::Arc;

use crate::model::answers::Answers;
use crate::model::ids::{ChangeId, ConfigVersion};
use crate::model::names::{BranchName, ServerName, ServiceName, ZoneName};

/// A change with the version that its author built it on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Chosen by the operator's client; a repeat with the same id is the same change.
    pub id: ChangeId,
    /// Version that was in force when the author decided.
    pub base: ConfigVersion,
    /// Who asked, as the losers of a race are told.
    pub author: Arc<str>,
    /// What shall change.
    pub action: ChangeAction,
}

/// What a change does to the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeAction {
    /// Generate a branch's part of a service from its answers.
    PutAnswers(Box<Answers>),
    /// Remove a branch; the service goes with its last branch.
    RemoveBranch {
        /// Service that the branch belongs to.
        service: ServiceName,
        /// Branch to remove.
        branch: BranchName,
    },
    /// Take an availability zone out of service.
    ZoneOut(ZoneName),
    /// Bring an availability zone back.
    ZoneIn(ZoneName),
    /// Take a backend server out of service.
    ServerOut(ServerName),
    /// Bring a backend server back.
    ServerIn(ServerName),
}

impl fmt::Display for ChangeAction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::PutAnswers(answers) => {
                write!(f, "answers of {} for {}", answers.branch, answers.service)
            }
            Self::RemoveBranch { service, branch } => write!(f, "remove {branch} from {service}"),
            Self::ZoneOut(zone) => write!(f, "zone {zone} out"),
            Self::ZoneIn(zone) => write!(f, "zone {zone} in"),
            Self::ServerOut(server) => write!(f, "server {server} out"),
            Self::ServerIn(server) => write!(f, "server {server} in"),
        }
    }
}
