//! Answers with a declared length, which may break off early.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use serde::Serialize;

/// Answer of a stand-in.
pub type Answer = Response<AnswerBody>;

/// The connection is closed in place of an answer, or in the middle of one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum ConnectionCut {
    /// connection closed in place of an answer
    BeforeAnswer,
    /// connection closed in the middle of an answer
    DuringAnswer,
}

impl std::error::Error for ConnectionCut {}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    Data,
    Flush,
    Cut,
    End,
}

/// Body that is whole, or that breaks off after half of the declared length.
#[derive(Debug)]
pub struct AnswerBody {
    data: Bytes,
    declared_bytes: u64,
    step: Step,
}

impl AnswerBody {
    /// Body that is sent whole.
    pub fn whole(data: Bytes) -> Self {
        let declared_bytes = data.len() as u64;
        Self {
            data,
            declared_bytes,
            step: Step::Data,
        }
    }

    /// Makes the body break off after half of its declared length.
    pub fn truncate(&mut self) {
        self.data.truncate(self.data.len() / 2);
    }

    fn is_truncated(&self) -> bool {
        (self.data.len() as u64) < self.declared_bytes
    }

    fn step_after_data(&self) -> Step {
        if self.is_truncated() {
            Step::Flush
        } else {
            Step::End
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = ConnectionCut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ConnectionCut>>> {
        match self.step {
            Step::Data => {
                self.step = self.step_after_data();
                Poll::Ready(Some(Ok(Frame::data(self.data.clone()))))
            }
            // Pending once makes hyper write out the first half before the connection is cut.
            Step::Flush => {
                self.step = Step::Cut;
                context.waker().wake_by_ref();
                Poll::Pending
            }
            Step::Cut => {
                self.step = Step::End;
                Poll::Ready(Some(Err(ConnectionCut::DuringAnswer)))
            }
            Step::End => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.step == Step::End || (self.declared_bytes == 0 && self.data.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.declared_bytes)
    }
}

/// Answer with a JSON body and its length.
///
/// # Panics
/// When the value cannot be written as JSON, which none of the stand-ins' types does.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Answer {
    let text = serde_json::to_vec(value).expect("stand-in types are valid JSON");
    json_bytes(status, Bytes::from(text))
}

/// Answer with a body that is JSON already.
pub fn json_bytes(status: StatusCode, body: Bytes) -> Answer {
    let length = HeaderValue::from(body.len());
    let mut answer = Response::new(AnswerBody::whole(body));
    *answer.status_mut() = status;
    let headers = answer.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(CONTENT_LENGTH, length);
    answer
}

/// Body of a stand-in's own refusal.
#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

/// Answer that states an error in JSON.
pub fn error(status: StatusCode, text: &str) -> Answer {
    json(status, &ErrorBody { error: text })
}
