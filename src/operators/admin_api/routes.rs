//! Paths and methods of the administration API.

use std::convert::Infallible;
use std::sync::Arc;

use warp::http::header::{HeaderValue, WWW_AUTHENTICATE};
use warp::http::{HeaderMap, Response};
use warp::hyper::body::Bytes;
use warp::reject::{LengthRequired, MethodNotAllowed, PayloadTooLarge, Reject};
use warp::{Filter, Rejection, Reply};

use super::access::AdminToken;
use super::backend::AdminBackend;
use super::problem::{Problem, ProblemKind};
use super::{publishing, reading};
use crate::agreement::change::ChangeAction;
use crate::model::names::{BranchName, ServerName, ServiceName, ZoneName};

/// Longest body that is read, in bytes.
const BODY_BYTES_MAX: u64 = 64 * 1024;

/// The token is missing or wrong.
#[derive(Debug)]
struct Unauthorized;

impl Reject for Unauthorized {}

/// All calls of the administration API; every answer is JSON.
///
/// Without a token every caller is admitted, which [`super::access::check_listen`] allows
/// on loopback only.
pub fn routes<B: AdminBackend>(
    backend: Arc<B>,
    token: Option<AdminToken>,
) -> impl Filter<Extract = (impl Reply,), Error = Infallible> + Clone {
    let calls = reads(Arc::clone(&backend))
        .or(service_changes(Arc::clone(&backend)))
        .unify()
        .or(zone_changes(Arc::clone(&backend)))
        .unify()
        .or(server_changes(backend))
        .unify();
    admitted(token).and(calls).recover(told)
}

fn admitted(token: Option<AdminToken>) -> impl Filter<Extract = (), Error = Rejection> + Clone {
    warp::header::optional::<String>("authorization")
        .and_then(move |authorization: Option<String>| {
            let admits = |token: &AdminToken| token.admits(authorization.as_deref());
            let admitted = token.as_ref().is_none_or(admits);
            std::future::ready(if admitted {
                Ok(())
            } else {
                Err(warp::reject::custom(Unauthorized))
            })
        })
        .untuple_one()
}

fn with<B: AdminBackend>(
    backend: Arc<B>,
) -> impl Filter<Extract = (Arc<B>,), Error = Infallible> + Clone {
    warp::any().map(move || Arc::clone(&backend))
}

fn body() -> impl Filter<Extract = (Bytes,), Error = Rejection> + Clone {
    warp::body::content_length_limit(BODY_BYTES_MAX).and(warp::body::bytes())
}

fn reads<B: AdminBackend>(
    backend: Arc<B>,
) -> impl Filter<Extract = (Response<Bytes>,), Error = Rejection> + Clone {
    let held = with(backend);
    let questionnaire = warp::path!("v1" / "questionnaire")
        .and(warp::get())
        .map(reading::questionnaire);
    let config = warp::path!("v1" / "config")
        .and(warp::get())
        .and(held.clone())
        .map(|backend: Arc<B>| reading::config(backend.as_ref()));
    let status = warp::path!("v1" / "status")
        .and(warp::get())
        .and(held.clone())
        .then(reading::status::<B>);
    let changes = warp::path!("v1" / "changes")
        .and(warp::get())
        .and(held.clone())
        .map(|backend: Arc<B>| reading::changes(backend.as_ref()));
    let change = warp::path!("v1" / "changes" / String)
        .and(warp::get())
        .and(held.clone())
        .map(|id: String, backend: Arc<B>| reading::change(&id, backend.as_ref()));
    let answers = warp::path!("v1" / "services" / ServiceName / "branches" / BranchName)
        .and(warp::get())
        .and(held.clone())
        .map(|service, branch, backend: Arc<B>| {
            reading::answers(&service, &branch, backend.as_ref())
        });
    let preview = warp::path!("v1" / "preview")
        .and(warp::post())
        .and(body())
        .and(held)
        .map(|body: Bytes, backend: Arc<B>| reading::preview(&body, backend.as_ref()));
    let fixed = questionnaire
        .or(config)
        .unify()
        .or(status)
        .unify()
        .or(changes)
        .unify();
    fixed
        .or(change)
        .unify()
        .or(answers)
        .unify()
        .or(preview)
        .unify()
}

fn service_changes<B: AdminBackend>(
    backend: Arc<B>,
) -> impl Filter<Extract = (Response<Bytes>,), Error = Rejection> + Clone {
    let held = with(backend);
    let path = || warp::path!("v1" / "services" / ServiceName / "branches" / BranchName);
    let put = path()
        .and(warp::put())
        .and(warp::header::headers_cloned())
        .and(body())
        .and(held.clone())
        .then(publishing::put_answers::<B>);
    let remove = path()
        .and(warp::delete())
        .map(|service, branch| ChangeAction::RemoveBranch { service, branch })
        .and(warp::header::headers_cloned())
        .and(held)
        .then(publishing::publish::<B>);
    put.or(remove).unify()
}

fn zone_changes<B: AdminBackend>(
    backend: Arc<B>,
) -> impl Filter<Extract = (Response<Bytes>,), Error = Rejection> + Clone {
    let path = || warp::path!("v1" / "zones" / ZoneName / "out");
    let out = path().and(warp::put()).map(ChangeAction::ZoneOut);
    let back = path().and(warp::delete()).map(ChangeAction::ZoneIn);
    published(out.or(back).unify(), backend)
}

fn server_changes<B: AdminBackend>(
    backend: Arc<B>,
) -> impl Filter<Extract = (Response<Bytes>,), Error = Rejection> + Clone {
    let path = || warp::path!("v1" / "servers" / ServerName / "out");
    let out = path().and(warp::put()).map(ChangeAction::ServerOut);
    let back = path().and(warp::delete()).map(ChangeAction::ServerIn);
    published(out.or(back).unify(), backend)
}

fn published<B: AdminBackend>(
    action: impl Filter<Extract = (ChangeAction,), Error = Rejection> + Clone,
    backend: Arc<B>,
) -> impl Filter<Extract = (Response<Bytes>,), Error = Rejection> + Clone {
    let headers = warp::header::headers_cloned();
    action.and(headers).and(with(backend)).then(
        |action: ChangeAction, headers: HeaderMap, backend: Arc<B>| {
            publishing::publish(action, headers, backend)
        },
    )
}

/// Turns what no call took into a problem document.
async fn told(rejection: Rejection) -> Result<Response<Bytes>, Infallible> {
    if rejection.find::<Unauthorized>().is_some() {
        let detail = "send the operators' token as Authorization: Bearer TOKEN";
        let mut response = Problem::new(ProblemKind::Unauthorized, detail).into_response();
        let scheme = HeaderValue::from_static("Bearer");
        response.headers_mut().insert(WWW_AUTHENTICATE, scheme);
        return Ok(response);
    }
    let (kind, detail) = if rejection.find::<PayloadTooLarge>().is_some() {
        (
            ProblemKind::BodyTooLarge,
            format!("the body exceeds {BODY_BYTES_MAX} bytes"),
        )
    } else if rejection.find::<LengthRequired>().is_some() {
        (
            ProblemKind::BodyTooLarge,
            "the request states no Content-Length".to_owned(),
        )
    } else if rejection.find::<MethodNotAllowed>().is_some() {
        (
            ProblemKind::MethodNotAllowed,
            "the path takes another method".to_owned(),
        )
    } else if rejection.is_not_found() {
        (
            ProblemKind::NotFound,
            "no such path, or a name that is not valid".to_owned(),
        )
    } else {
        (ProblemKind::BadRequest, format!("{rejection:?}"))
    };
    Ok(Problem::new(kind, detail).into_response())
}
