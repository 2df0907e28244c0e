//! HTTP/1.1 messages over `httparse`, with control over every byte and its order.
//!
//! hyper serves the requests of one connection one after the other and gives up a connection on
//! an answer that it did not expect. Hosts need requests of one connection side by side, and must
//! skip an answer that belongs to another request; `docs/design/platform.md` weighs this.

mod body;
pub mod client;
mod head;
mod reader;
pub mod server;

pub use body::BodyError;
pub use head::{RequestHead, ResponseHead, end_to_end_headers, write_request, write_response};
pub use reader::{MessageLimits, MessageReader, ReadError, Received};

use bytes::Bytes;

/// A request with its whole body.
#[derive(Debug, Clone)]
pub struct Request {
    /// Request line and headers.
    pub head: RequestHead,
    /// Whole body, without its framing.
    pub body: Bytes,
}

/// A response with its whole body.
#[derive(Debug, Clone)]
pub struct Response {
    /// Status and headers.
    pub head: ResponseHead,
    /// Whole body, without its framing.
    pub body: Bytes,
}
