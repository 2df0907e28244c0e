//! Whole responses of a backend server, within limits on each and on all that are read at once.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::{Bytes, BytesMut};
use displaydoc::Display;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{Response, StatusCode};

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
    /// the body is too long
    Long,
    /// the bodies that are read at once are too long together
    NoMemory,
    /// the body broke off: {0}
    Body(hyper::Error),
}

impl std::error::Error for ResponseError {}

/// Bytes of the response bodies that are read at once.
#[derive(Debug, Clone, Default)]
pub struct ResponseMemory(Arc<AtomicUsize>);

/// Bytes of one body, which count until it is dropped.
#[derive(Debug)]
struct BodyBytes {
    memory: ResponseMemory,
    count: usize,
}

impl BodyBytes {
    fn add(&mut self, more: usize) -> Result<(), ResponseError> {
        self.count += more;
        let total = self.memory.0.fetch_add(more, Ordering::Relaxed) + more;
        if self.count > RESPONSE_BYTES_MAX {
            Err(ResponseError::Long)
        } else if total > RESPONSES_BYTES_MAX {
            Err(ResponseError::NoMemory)
        } else {
            Ok(())
        }
    }
}

impl Drop for BodyBytes {
    fn drop(&mut self) {
        self.memory.0.fetch_sub(self.count, Ordering::Relaxed);
    }
}

/// Reads the rest of a response; that to a HEAD request has no body.
///
/// # Errors
/// [`ResponseError`] if it is not a whole answer.
pub async fn read_whole(
    response: Response<Incoming>,
    head_only: bool,
    memory: &ResponseMemory,
) -> Result<Response<Bytes>, ResponseError> {
    let (parts, mut body) = response.into_parts();
    if !is_final_status(parts.status.as_u16()) {
        return Err(ResponseError::Status(parts.status));
    }
    let delimited =
        parts.headers.contains_key(CONTENT_LENGTH) || parts.headers.contains_key(TRANSFER_ENCODING);
    let bodiless = head_only || parts.status == 204 || parts.status == 304;
    if !delimited && !bodiless {
        return Err(ResponseError::NoLength);
    }
    let mut bytes = BodyBytes {
        memory: memory.clone(),
        count: 0,
    };
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame.map_err(ResponseError::Body)?.into_data() {
            bytes.add(data.len())?;
            whole.extend_from_slice(&data);
        }
    }
    Ok(Response::from_parts(parts, whole.freeze()))
}
