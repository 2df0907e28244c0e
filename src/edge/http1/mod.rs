//! HTTP/1.1 client and server built on `httparse`.
//!
//! It controls every byte on the wire and the order of messages. hyper processes the requests of a
//! connection sequentially and drops a connection on an unexpected response. Hosts must process
//! pipelined requests concurrently and skip responses that belong to another request. See
//! `docs/design/platform.md` for the trade-offs.

mod body;
mod budget;
pub mod client;
mod framing;
mod head;
mod memory;
mod reader;
mod segments;
pub mod server;

pub use body::with_reservation;
pub use budget::{BodyBudget, Reservation, Transfer};
pub use framing::BodyError;
pub use head::{
    RequestHead, ResponseHead, end_to_end_headers, write_request_head, write_response_head,
};
pub use memory::{MessageMemory, SMALL_BODY_BYTES, WhenFull};
pub use reader::{LastReceipt, MessageLimits, MessageReader, ReadError, Received};
pub use segments::SegmentQueue;

use crate::model::body::Body;

/// A request with its complete body.
#[derive(Debug, Clone)]
pub struct Request {
    /// Request line and headers.
    pub head: RequestHead,
    /// Complete body, without framing.
    pub body: Body,
}

/// A response with its complete body.
#[derive(Debug, Clone)]
pub struct Response {
    /// Status line and headers.
    pub head: ResponseHead,
    /// Complete body, without framing.
    pub body: Body,
}
