//! Whole responses of a backend server, within limits on each and on all that are read at once.

use std::error::Error;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use displaydoc::Display;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{Response, StatusCode};

use super::http1::BodyBudget;
use crate::model::host_request::is_final_status;

/// Maximum length of a response body, in bytes.
pub const RESPONSE_BYTES_MAX: usize = 16 << 20;

/// Maximum length of all response bodies that are read at once, in bytes.
pub const RESPONSES_BYTES_MAX: usize = 4 * RESPONSE_BYTES_MAX;

/// Why a response is not a whole answer.
#[derive(Debug, Display)]
pub enum ResponseError {
    /// HTTP does not define the status {0}
    Status(StatusCode),
    /// the response has no length, so truncation could not be detected
    NoLength,
    /// the bodies that are read at once are too long together
    NoMemory,
    /// the body is incomplete or too long: {0}
    Body(Box<dyn Error + Send + Sync>),
}

impl Error for ResponseError {}

/// Reads the rest of a response; that to a HEAD request has no body.
///
/// # Errors
/// [`ResponseError`] if it is not a whole answer.
pub async fn read_whole(
    response: Response<Incoming>,
    head_only: bool,
    budget: &Arc<BodyBudget>,
) -> Result<Response<Bytes>, ResponseError> {
    let (parts, body) = response.into_parts();
    if !is_final_status(parts.status.as_u16()) {
        return Err(ResponseError::Status(parts.status));
    }
    let delimited =
        parts.headers.contains_key(CONTENT_LENGTH) || parts.headers.contains_key(TRANSFER_ENCODING);
    let bodiless = head_only || parts.status == 204 || parts.status == 304;
    if !delimited && !bodiless {
        return Err(ResponseError::NoLength);
    }
    let mut body = Limited::new(body, RESPONSE_BYTES_MAX);
    let mut memory = budget.reserve(0).ok_or(ResponseError::NoMemory)?;
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame.map_err(ResponseError::Body)?.into_data() {
            if !memory.grow(data.len()) {
                return Err(ResponseError::NoMemory);
            }
            whole.extend_from_slice(&data);
        }
    }
    Ok(Response::from_parts(parts, whole.freeze()))
}
