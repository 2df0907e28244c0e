//! Problem documents (RFC 9457) of the administration API.

use serde::{Deserialize, Serialize};
use warp::http::header::{CONTENT_TYPE, HeaderValue};
use warp::http::{Response, StatusCode};
use warp::hyper::body::Bytes;

use crate::agreement::publish::NotAcceptedReason;
use crate::model::ids::{ChangeId, ConfigVersion};
use crate::operators::answers::AnswerError;
use crate::operators::room::RoomWarning;

/// Media type of problem documents.
pub const PROBLEM_TYPE: &str = "application/problem+json";

/// Closed set of problems, machine-readable.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProblemKind {
    /// The token is missing or wrong.
    Unauthorized,
    /// No such path, service, branch or change.
    NotFound,
    /// The path does not take this method.
    MethodNotAllowed,
    /// The request is malformed.
    BadRequest,
    /// The body is longer than the API takes, or states no length.
    BodyTooLarge,
    /// `If-Match` is missing.
    BaseMissing,
    /// Another change was first.
    Rejected,
    /// The change does not fit the configuration in force.
    Invalid,
    /// Answers do not fit.
    BadAnswers,
    /// The change would leave a service without room; confirm it.
    NoRoom,
    /// The change's id was used for another change.
    ChangeIdReused,
    /// The log did not take the change.
    NotAccepted,
    /// The change may be in the log; ask by its id.
    OutcomeUnknown,
    /// The node holds no configuration yet.
    NoConfiguration,
}

/// {detail} ({title})
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, displaydoc::Display)]
pub struct Problem {
    /// Identifies the kind as a URI.
    #[serde(rename = "type")]
    pub type_uri: String,
    /// Short text of the kind.
    pub title: String,
    /// HTTP status.
    pub status: u16,
    /// What happened to this request.
    pub detail: String,
    /// The kind.
    pub reason: ProblemKind,
    /// Extension members of the kind.
    #[serde(flatten)]
    pub extensions: Box<Extensions>,
}

/// Extension members of a problem; which are there depends on its kind.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Extensions {
    /// The change, when there is one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub change_id: Option<ChangeId>,
    /// Version in force.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<ConfigVersion>,
    /// Change that won the race.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub winner: Option<ChangeId>,
    /// Author of the winner.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub winner_author: Option<String>,
    /// Answers that do not fit.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub answers: Vec<AnswerErrorWire>,
    /// Services that would lose their room.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub warnings: Vec<RoomWarning>,
}

/// One bad answer on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerErrorWire {
    /// See [`AnswerError::question`].
    pub question: String,
    /// See [`AnswerError::found`].
    pub found: String,
    /// See [`AnswerError::fits`].
    pub fits: String,
}

impl From<AnswerError> for AnswerErrorWire {
    fn from(error: AnswerError) -> Self {
        Self {
            question: error.question,
            found: error.found,
            fits: error.fits,
        }
    }
}

impl From<AnswerErrorWire> for AnswerError {
    fn from(wire: AnswerErrorWire) -> Self {
        Self {
            question: wire.question,
            found: wire.found,
            fits: wire.fits,
        }
    }
}

impl ProblemKind {
    /// HTTP status of the kind.
    pub const fn status(self) -> StatusCode {
        match self {
            Self::Unauthorized => StatusCode::UNAUTHORIZED,
            Self::NotFound => StatusCode::NOT_FOUND,
            Self::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BaseMissing => StatusCode::PRECONDITION_REQUIRED,
            Self::Rejected => StatusCode::PRECONDITION_FAILED,
            Self::Invalid | Self::BadAnswers => StatusCode::UNPROCESSABLE_ENTITY,
            Self::NoRoom | Self::ChangeIdReused => StatusCode::CONFLICT,
            Self::NotAccepted | Self::NoConfiguration => StatusCode::SERVICE_UNAVAILABLE,
            Self::OutcomeUnknown => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    const fn name(self) -> &'static str {
        match self {
            Self::Unauthorized => "unauthorized",
            Self::NotFound => "not-found",
            Self::MethodNotAllowed => "method-not-allowed",
            Self::BadRequest => "bad-request",
            Self::BodyTooLarge => "body-too-large",
            Self::BaseMissing => "base-missing",
            Self::Rejected => "rejected",
            Self::Invalid => "invalid",
            Self::BadAnswers => "bad-answers",
            Self::NoRoom => "no-room",
            Self::ChangeIdReused => "change-id-reused",
            Self::NotAccepted => "not-accepted",
            Self::OutcomeUnknown => "outcome-unknown",
            Self::NoConfiguration => "no-configuration",
        }
    }
}

impl Problem {
    /// A problem of one kind.
    pub fn new(kind: ProblemKind, detail: impl Into<String>) -> Self {
        Self {
            type_uri: format!("urn:bronzelock:problem:{}", kind.name()),
            title: kind.name().replace('-', " "),
            status: kind.status().as_u16(),
            detail: detail.into(),
            reason: kind,
            extensions: Box::default(),
        }
    }

    /// Answers that do not fit.
    pub fn bad_answers(errors: Vec<AnswerError>) -> Self {
        let mut problem = Self::new(ProblemKind::BadAnswers, "some answers do not fit");
        problem.extensions.answers = errors.into_iter().map(AnswerErrorWire::from).collect();
        problem
    }

    /// The log did not take the change.
    pub fn not_accepted(reason: NotAcceptedReason) -> Self {
        Self::new(
            ProblemKind::NotAccepted,
            format!(
                "{reason}; this attempt changed nothing, an earlier one with the same id may have"
            ),
        )
    }

    /// The problem as an HTTP response.
    ///
    /// # Panics
    /// Never in practice: all keys are texts.
    pub fn into_response(self) -> Response<Bytes> {
        let body = serde_json::to_vec(&self).expect("a problem has text keys");
        let mut response = Response::new(Bytes::from(body));
        *response.status_mut() = self.reason.status();
        let media_type = HeaderValue::from_static(PROBLEM_TYPE);
        response.headers_mut().insert(CONTENT_TYPE, media_type);
        response
    }
}
