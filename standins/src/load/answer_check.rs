//! Checks that an answer is whole and belongs to its request.

use hyper::Uri;
use hyper::header::CONTENT_LENGTH;

use crate::backend_server::{REQUEST_ID_HEADER, WorkAnswer};
use crate::http::client::WholeAnswer;
use crate::http::query;

/// Header with the name of the backend server that answered.
pub(super) const SERVED_BY_HEADER: &str = "bronzelock-served-by";

/// What is wrong with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AnswerFault {
    /// It belongs to another request.
    ForeignId,
    /// Its length is not the one declared or asked for.
    WrongLength,
    /// Its body is not one of the backend server stand-in.
    Unreadable,
}

/// Answer that passed the check.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Checked {
    /// Name of the backend server that answered.
    pub served_by: String,
}

/// Checks a successful answer against the request id and path sent.
pub(super) fn check(
    answer: &WholeAnswer,
    request_id: &str,
    uri: &Uri,
) -> Result<Checked, AnswerFault> {
    let body: WorkAnswer<'_> =
        serde_json::from_slice(&answer.body).map_err(|_unreadable| AnswerFault::Unreadable)?;
    let echoed = header(answer, REQUEST_ID_HEADER);
    if body.request_id != request_id || echoed.is_some_and(|id| id != request_id) {
        return Err(AnswerFault::ForeignId);
    }
    if !has_declared_length(answer) || !has_length_asked_for(answer, uri) {
        return Err(AnswerFault::WrongLength);
    }
    let served_by = header(answer, SERVED_BY_HEADER)
        .unwrap_or(&body.server)
        .to_owned();
    Ok(Checked { served_by })
}

fn header<'a>(answer: &'a WholeAnswer, name: &str) -> Option<&'a str> {
    answer.headers.get(name)?.to_str().ok()
}

fn has_declared_length(answer: &WholeAnswer) -> bool {
    let Some(declared) = header(answer, CONTENT_LENGTH.as_str()) else {
        return true;
    };
    declared.parse() == Ok(answer.body.len())
}

fn has_length_asked_for(answer: &WholeAnswer, uri: &Uri) -> bool {
    let asked = query::number(uri, "answer_bytes").ok().flatten();
    let asked_bytes = asked.unwrap_or(0) as usize;
    let unpadded_bytes = answer.body.trim_ascii_end().len();
    answer.body.len() == unpadded_bytes.max(asked_bytes)
}
