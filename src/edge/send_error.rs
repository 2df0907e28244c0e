//! What sending one request to a backend server may come to, short of a whole answer.

use hyper::Response;
use hyper::header::HeaderValue;

use crate::kernel::StepError;

/// How far a request came before it failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendProgress {
    /// No byte of it was written.
    NotSent,
    /// It may have reached the backend server.
    MaybeSent,
    /// The answer began but was incomplete or too long.
    AnswerBroken,
    /// The sender withdrew it right before the first byte.
    Cancelled,
}

/// A request that got no whole answer.
#[derive(Debug)]
pub struct SendError {
    /// How far it came.
    pub progress: SendProgress,
    /// Step and cause.
    pub error: StepError,
}

/// Header by which an answer proves which request it belongs to.
#[derive(Debug)]
pub struct EchoHeader {
    /// Name of the header.
    pub name: &'static str,
    /// Value that the request carried.
    pub value: HeaderValue,
}

impl EchoHeader {
    /// Whether the answer carries the header as the request did.
    pub fn matches<B>(&self, response: &Response<B>) -> bool {
        response.headers().get(self.name) == Some(&self.value)
    }
}
