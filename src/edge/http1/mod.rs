//! HTTP/1.1 client and server built on `httparse`.
//!
//! It controls every byte on the wire and the order of messages. hyper processes the requests of a
//! connection sequentially and drops a connection on an unexpected response. Hosts must process
//! pipelined requests concurrently and skip responses that belong to another request. See
//! `docs/design/platform.md` for the trade-offs.

mod body;
mod budget;
pub mod client;
mod head;
mod reader;
pub mod server;

pub use body::BodyError;
pub use budget::BodyBudget;
pub use head::{RequestHead, ResponseHead, end_to_end_headers, write_request, write_response};
pub use reader::{LastReceipt, MessageLimits, MessageReader, ReadError, Received};

use bytes::Bytes;

/// A request with its complete body.
#[derive(Debug, Clone)]
pub struct Request {
    /// Request line and headers.
    pub head: RequestHead,
    /// Complete body, without framing.
    pub body: Bytes,
}

/// A response with its complete body.
#[derive(Debug, Clone)]
pub struct Response {
    /// Status line and headers.
    pub head: ResponseHead,
    /// Complete body, without framing.
    pub body: Bytes,
}
