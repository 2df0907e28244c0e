//! Publishes one change through the administration API, asking where it warns.

use std::sync::Arc;

use hyper::Method;
use hyper::header::{HeaderMap, HeaderName, HeaderValue, IF_MATCH, InvalidHeaderValue};

use super::client::{AdminClient, Call, ClientCause, ClientError, ClientStep};
use super::console::Console;
use super::error::CliError;
use super::{AdminArgs, ChangeArgs};
use crate::model::ids::{ChangeId, ConfigVersion};
use crate::operators::admin_api::documents::AcceptedDocument;
use crate::operators::admin_api::problem::{Problem, ProblemKind};
use crate::operators::admin_api::{AUTHOR_HEADER, CHANGE_ID_HEADER, CONFIRM_HEADER, CONFIRM_VALUE};

/// One change as the API takes it.
pub struct Submission<'a> {
    /// Method.
    pub method: Method,
    /// Path.
    pub path: &'a str,
    /// Body, or empty.
    pub body: String,
    /// Version that the operator saw.
    pub base: ConfigVersion,
}

/// Publishes and prints the version that is in force.
pub async fn publish(
    client: &AdminClient,
    submission: &Submission<'_>,
    admin: &AdminArgs,
    change: ChangeArgs,
    console: &mut Console<'_>,
) -> Result<(), CliError> {
    let id = change
        .change_id
        .map_or_else(draw_id, |id| ChangeId(Arc::from(id)));
    let mut confirmed = change.yes;
    loop {
        let headers = headers(submission.base, &id, &change.author, confirmed)
            .map_err(|error| client.error(ClientStep::Build, ClientCause::Request(error.into())))?;
        let call = Call {
            method: submission.method.clone(),
            path: submission.path,
            headers,
            body: submission.body.clone(),
        };
        let error = match client.versioned::<AcceptedDocument>(call).await {
            Ok(accepted) => return print(&accepted.document, admin, console),
            Err(error) => error,
        };
        let warned = error
            .problem()
            .filter(|problem| problem.reason == ProblemKind::NoRoom);
        let Some(problem) = warned else {
            return Err(told(id, error));
        };
        if confirmed || !agrees(problem, console)? {
            return Err(CliError::Declined);
        }
        confirmed = true;
    }
}

fn draw_id() -> ChangeId {
    ChangeId(Arc::from(format!("{:032x}", rand::random::<u128>())))
}

fn headers(
    base: ConfigVersion,
    id: &ChangeId,
    author: &str,
    confirmed: bool,
) -> Result<HeaderMap, InvalidHeaderValue> {
    let mut headers = HeaderMap::new();
    headers.insert(IF_MATCH, HeaderValue::from_str(&format!("\"{base}\""))?);
    headers.insert(
        HeaderName::from_static(CHANGE_ID_HEADER),
        HeaderValue::from_str(&id.0)?,
    );
    headers.insert(
        HeaderName::from_static(AUTHOR_HEADER),
        HeaderValue::from_str(author)?,
    );
    if confirmed {
        let value = HeaderValue::from_static(CONFIRM_VALUE);
        headers.insert(HeaderName::from_static(CONFIRM_HEADER), value);
    }
    Ok(headers)
}

fn agrees(problem: &Problem, console: &mut Console<'_>) -> Result<bool, CliError> {
    for warning in &problem.extensions.warnings {
        console.warn(&warning.to_string())?;
    }
    console.agrees("Go on?")
}

fn print(
    accepted: &AcceptedDocument,
    admin: &AdminArgs,
    console: &mut Console<'_>,
) -> Result<(), CliError> {
    if admin.json {
        return console.json(accepted);
    }
    let AcceptedDocument { change_id, version } = accepted;
    console.line(&format!(
        "accepted as version {version} (change {change_id})"
    ))
}

/// Tells a certain failure from an outcome that is unknown.
fn told(id: ChangeId, error: ClientError) -> CliError {
    if may_have_taken_effect(&error) {
        return CliError::Unknown { id, cause: error };
    }
    error.into()
}

fn may_have_taken_effect(error: &ClientError) -> bool {
    match (&error.step, &error.cause) {
        (ClientStep::Build | ClientStep::Connect, _) => false,
        (_, ClientCause::Problem(problem)) => problem.reason == ProblemKind::OutcomeUnknown,
        _ => true,
    }
}
