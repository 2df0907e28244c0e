//! Calls that only read.

use std::sync::Arc;

use serde::Serialize;
use warp::http::header::{CONTENT_TYPE, ETAG, HeaderValue};
use warp::http::{Response, StatusCode};
use warp::hyper::body::Bytes;

use super::backend::AdminBackend;
use super::documents::{ChangesDocument, PreviewDocument};
use super::problem::{Problem, ProblemKind};
use super::publishing::{held_config, parse_answers};
use crate::model::config::Config;
use crate::model::ids::{ChangeId, ConfigVersion};
use crate::model::names::{BranchName, ServiceName};
use crate::operators::difference::difference;
use crate::operators::generate::{generate, notices};
use crate::operators::questionnaire::QUESTIONS;

/// The questions of the questionnaire.
pub fn questionnaire() -> Response<Bytes> {
    json(&QUESTIONS)
}

/// The configuration in force.
pub fn config<B: AdminBackend>(backend: &B) -> Response<Bytes> {
    match held_config(backend) {
        Ok(config) => versioned(config.version, config.as_ref()),
        Err(problem) => problem.into_response(),
    }
}

/// The answers in force of one branch.
pub fn answers<B: AdminBackend>(
    service: &ServiceName,
    branch: &BranchName,
    backend: &B,
) -> Response<Bytes> {
    let config = match held_config(backend) {
        Ok(config) => config,
        Err(problem) => return problem.into_response(),
    };
    let branches = config.answers.get(service);
    let Some(answers) = branches.and_then(|branches| branches.get(branch)) else {
        let detail = format!("no branch {branch} of service {service} is configured");
        return Problem::new(ProblemKind::NotFound, detail).into_response();
    };
    versioned(config.version, answers.as_ref())
}

/// What answers would generate, without publishing them.
pub fn preview<B: AdminBackend>(body: &[u8], backend: &B) -> Response<Bytes> {
    match try_preview(body, backend) {
        Ok(document) => versioned(document.base, &document),
        Err(problem) => problem.into_response(),
    }
}

fn try_preview<B: AdminBackend>(body: &[u8], backend: &B) -> Result<PreviewDocument, Problem> {
    let config = held_config(backend)?;
    let answers = parse_answers(body)?;
    let service = generate(&config, &answers).map_err(Problem::bad_answers)?;
    let mut after = Config::clone(&config);
    after
        .services
        .insert(answers.service.clone(), Arc::new(service.clone()));
    Ok(PreviewDocument {
        base: config.version,
        service,
        difference: difference(&config, &after),
        notices: notices(&config, &answers)
            .iter()
            .map(ToString::to_string)
            .collect(),
    })
}

/// Status of all nodes.
pub async fn status<B: AdminBackend>(backend: Arc<B>) -> Response<Bytes> {
    let status = backend.status().await;
    versioned(status.version, &status)
}

/// Recent changes, the newest first.
pub fn changes<B: AdminBackend>(backend: &B) -> Response<Bytes> {
    let mut changes = backend.changes();
    changes.reverse();
    json(&ChangesDocument { changes })
}

/// One change by its id.
pub fn change<B: AdminBackend>(id: &str, backend: &B) -> Response<Bytes> {
    let id = ChangeId(Arc::from(id));
    let changes = backend.changes();
    if let Some(entry) = changes.iter().find(|entry| entry.id == id) {
        return json(entry);
    }
    let detail = format!("change {id} is not in the log, not read yet, or forgotten");
    Problem::new(ProblemKind::NotFound, detail).into_response()
}

/// A JSON answer that bears a version as its `ETag`.
pub fn versioned(version: ConfigVersion, document: &impl Serialize) -> Response<Bytes> {
    let mut response = json(document);
    let tag = HeaderValue::from_str(&format!("\"{version}\"")).expect("digits in quotes");
    response.headers_mut().insert(ETAG, tag);
    response
}

fn json(document: &impl Serialize) -> Response<Bytes> {
    let body = serde_json::to_vec(document).expect("documents have text keys");
    let mut response = Response::new(Bytes::from(body));
    *response.status_mut() = StatusCode::OK;
    let media_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, media_type);
    response
}
