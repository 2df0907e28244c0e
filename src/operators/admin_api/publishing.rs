//! Calls that publish a change.

use std::sync::Arc;

use warp::http::{HeaderMap, Response};
use warp::hyper::body::Bytes;

use super::backend::AdminBackend;
use super::change_headers::ChangeHeaders;
use super::documents::AcceptedDocument;
use super::problem::{Problem, ProblemKind};
use super::reading::versioned;
use crate::agreement::change::{Change, ChangeAction};
use crate::agreement::publish::PublishOutcome;
use crate::model::answers::Answers;
use crate::model::config::Config;
use crate::model::ids::{ChangeId, ConfigVersion};
use crate::model::names::{BranchName, ServiceName};
use crate::operators::answers::from_json;
use crate::operators::generate::generate;
use crate::operators::room;

/// Publishes the answers of a branch.
pub async fn put_answers<B: AdminBackend>(
    service: ServiceName,
    branch: BranchName,
    headers: HeaderMap,
    body: Bytes,
    backend: Arc<B>,
) -> Response<Bytes> {
    match read_answers(&body, &service, &branch) {
        Ok(answers) => {
            publish(
                ChangeAction::PutAnswers(Box::new(answers)),
                headers,
                backend,
            )
            .await
        }
        Err(problem) => problem.into_response(),
    }
}

/// Publishes one change and tells its outcome.
pub async fn publish<B: AdminBackend>(
    action: ChangeAction,
    headers: HeaderMap,
    backend: Arc<B>,
) -> Response<Bytes> {
    match try_publish(action, &headers, backend.as_ref()).await {
        Ok(accepted) => versioned(accepted.version, &accepted),
        Err(problem) => problem.into_response(),
    }
}

async fn try_publish<B: AdminBackend>(
    action: ChangeAction,
    headers: &HeaderMap,
    backend: &B,
) -> Result<AcceptedDocument, Problem> {
    let config = held_config(backend)?;
    let headers = ChangeHeaders::read(headers)?;
    if is_new(&headers.id, &action, backend)? {
        check_answers(&action, headers.base, &config)?;
        if !headers.confirmed {
            check_room(&action, &config, backend).await?;
        }
    }
    let id = headers.id.clone();
    let change = Change {
        id: headers.id,
        base: headers.base,
        author: headers.author,
        action,
    };
    told(id, backend.publish(change).await)
}

/// The configuration in force, or the problem that there is none.
pub fn held_config<B: AdminBackend>(backend: &B) -> Result<Arc<Config>, Problem> {
    backend.config().ok_or_else(|| {
        let detail = "this node holds no configuration yet; ask another node or try again";
        Problem::new(ProblemKind::NoConfiguration, detail)
    })
}

/// Reads answers and compares them with the path.
fn read_answers(
    body: &[u8],
    service: &ServiceName,
    branch: &BranchName,
) -> Result<Answers, Problem> {
    let answers = parse_answers(body)?;
    if answers.service == *service && answers.branch == *branch {
        return Ok(answers);
    }
    let detail = format!(
        "the answers are for {} and {}, the path names {service} and {branch}",
        answers.service, answers.branch
    );
    Err(Problem::new(ProblemKind::BadRequest, detail))
}

/// Reads answers from a body.
pub fn parse_answers(body: &[u8]) -> Result<Answers, Problem> {
    let text = std::str::from_utf8(body)
        .map_err(|error| Problem::new(ProblemKind::BadRequest, error.to_string()))?;
    from_json(text).map_err(Problem::bad_answers)
}

/// Whether the id was not seen before; an id of a different change is a problem.
fn is_new<B: AdminBackend>(
    id: &ChangeId,
    action: &ChangeAction,
    backend: &B,
) -> Result<bool, Problem> {
    let changes = backend.changes();
    let Some(known) = changes.iter().find(|entry| entry.id == *id) else {
        return Ok(true);
    };
    if known.summary.as_ref() == action.to_string() {
        return Ok(false);
    }
    let detail = format!("change {id} was used for: {}", known.summary);
    Err(Problem::new(ProblemKind::ChangeIdReused, detail))
}

fn check_answers(
    action: &ChangeAction,
    base: ConfigVersion,
    config: &Config,
) -> Result<(), Problem> {
    match action {
        ChangeAction::PutAnswers(answers) if base == config.version => generate(config, answers)
            .map(|_service| ())
            .map_err(Problem::bad_answers),
        _ => Ok(()),
    }
}

async fn check_room<B: AdminBackend>(
    action: &ChangeAction,
    config: &Config,
    backend: &B,
) -> Result<(), Problem> {
    let warnings = room::warnings(config, &backend.status().await, action);
    if warnings.is_empty() {
        return Ok(());
    }
    let detail = format!("{action} needs the header Bronzelock-Confirm: yes");
    let mut problem = Problem::new(ProblemKind::NoRoom, detail);
    problem.extensions.warnings = warnings;
    Err(problem)
}

fn told(id: ChangeId, publication: PublishOutcome) -> Result<AcceptedDocument, Problem> {
    let mut problem = match publication {
        PublishOutcome::Accepted(version) => {
            return Ok(AcceptedDocument {
                change_id: id,
                version,
            });
        }
        PublishOutcome::Rejected(rejection) => {
            let detail = format!(
                "change {} of {} was first; look at version {} and decide again",
                rejection.winner, rejection.winner_author, rejection.version
            );
            let mut problem = Problem::new(ProblemKind::Rejected, detail);
            problem.extensions.version = Some(rejection.version);
            problem.extensions.winner = Some(rejection.winner);
            problem.extensions.winner_author = Some(rejection.winner_author.to_string());
            problem
        }
        PublishOutcome::Invalid(version) => {
            let detail = format!("the change does not fit version {version}");
            let mut problem = Problem::new(ProblemKind::Invalid, detail);
            problem.extensions.version = Some(version);
            problem
        }
        PublishOutcome::NotAccepted(reason) => Problem::not_accepted(reason),
        PublishOutcome::Unknown => {
            let detail = format!("the log's answer is missing; ask for /v1/changes/{id}");
            Problem::new(ProblemKind::OutcomeUnknown, detail)
        }
    };
    problem.extensions.change_id = Some(id);
    Err(problem)
}
