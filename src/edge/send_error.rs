//! Errors of sending a request to a backend server.

use hyper::Response;
use hyper::header::HeaderValue;

use crate::kernel::StepError;

/// How far a request got before it failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendProgress {
    /// No byte of the request was written.
    NotSent,
    /// The request may have reached the backend server.
    MaybeSent,
    /// A response arrived but was incomplete, too long or for another request.
    AnswerBroken,
    /// The sender cancelled the request right before its first byte was written.
    Cancelled,
}

/// A request that got no usable response.
#[derive(Debug)]
pub struct SendError {
    /// How far the request got.
    pub progress: SendProgress,
    /// Failed step and its cause.
    pub error: StepError,
}

/// Header that the backend server echoes, which ties a response to its request.
#[derive(Debug)]
pub struct EchoHeader {
    /// Header name.
    pub name: &'static str,
    /// Value sent with the request.
    pub value: HeaderValue,
}

impl EchoHeader {
    /// Whether the response has the header with the request's value.
    pub fn matches<B>(&self, response: &Response<B>) -> bool {
        response.headers().get(self.name) == Some(&self.value)
    }
}
