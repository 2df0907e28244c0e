//! A change of the configuration requested by an operator.

use std::fmt;
use std::sync::Arc;

use crate::model::answers::Answers;
use crate::model::ids::{ChangeId, ConfigVersion};
use crate::model::names::{BranchName, ServerName, ServiceName, ZoneName};

/// A change together with the configuration version it is based on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Id chosen by the operator's client; the same id means the same change.
    pub id: ChangeId,
    /// Version that was in force when the author made the change.
    pub base: ConfigVersion,
    /// Who requested the change; reported to authors of rejected concurrent changes.
    pub author: Arc<str>,
    /// Modification to apply to the configuration.
    pub action: ChangeAction,
}

/// Modification of the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeAction {
    /// Generate a service anew with a branch's answers to the questionnaire.
    PutAnswers(Box<Answers>),
    /// Remove a branch; the service is removed with its last branch.
    RemoveBranch {
        /// Service that the branch belongs to.
        service: ServiceName,
        /// Branch to remove.
        branch: BranchName,
    },
    /// Take an availability zone out of service.
    ZoneOut(ZoneName),
    /// Return an availability zone to service.
    ZoneIn(ZoneName),
    /// Take a backend server out of service.
    ServerOut(ServerName),
    /// Return a backend server to service.
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
