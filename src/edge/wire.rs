//! Wire types of requests forwarded between nodes.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::model::ids::RequestId;
use crate::model::load::LoadReport;
use crate::model::names::{BranchName, NameError, ServerName, ServiceName};
use crate::model::reasons::Refusal;
use crate::model::request::{Effect, Urgency};
use crate::request::call::{Answer, Call, CallResult, Failure, Header, Step};

/// Wire form of a header.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireHeader {
    name: String,
    value: Bytes,
}

impl From<Header> for WireHeader {
    fn from(header: Header) -> Self {
        Self {
            name: header.name,
            value: header.value,
        }
    }
}

impl From<WireHeader> for Header {
    fn from(header: WireHeader) -> Self {
        Self {
            name: header.name,
            value: header.value,
        }
    }
}

/// Wire form of a request.
///
/// The deadline is sent as the remaining time in µs, since the nodes' clocks differ.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireCall {
    id: u128,
    service: String,
    branch: String,
    urgency: Urgency,
    effect: Effect,
    method: String,
    path: String,
    headers: Vec<WireHeader>,
    body: Bytes,
    remaining_us: u64,
    retry_allowed: bool,
    key: Option<String>,
    ticket: Option<String>,
}

impl WireCall {
    /// Creates the wire form; `now_us` is the sender's current time, in µs.
    pub fn new(call: &Call, now_us: u64) -> Self {
        Self {
            id: call.id.0,
            service: call.service.as_str().to_owned(),
            branch: call.branch.as_str().to_owned(),
            urgency: call.urgency,
            effect: call.effect,
            method: call.method.clone(),
            path: call.path.clone(),
            headers: call.headers.iter().cloned().map(WireHeader::from).collect(),
            body: call.body.clone(),
            remaining_us: call.deadline_us.saturating_sub(now_us),
            retry_allowed: call.retry_allowed,
            key: call.key.clone(),
            ticket: call.ticket.clone(),
        }
    }

    /// Converts it to a call; `now_us` is the receiver's current time, in µs.
    ///
    /// # Errors
    /// [`NameError`] if the service or branch name is invalid.
    pub fn into_call(self, now_us: u64) -> Result<Call, NameError> {
        Ok(Call {
            id: RequestId(self.id),
            service: ServiceName::new(&self.service)?,
            branch: BranchName::new(&self.branch)?,
            urgency: self.urgency,
            effect: self.effect,
            method: self.method,
            path: self.path,
            headers: self.headers.into_iter().map(Header::from).collect(),
            body: self.body,
            deadline_us: now_us.saturating_add(self.remaining_us),
            retry_allowed: self.retry_allowed,
            key: self.key,
            ticket: self.ticket,
            server: None,
        })
    }
}

/// Wire form of an answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireAnswer {
    status: u16,
    headers: Vec<WireHeader>,
    body: Bytes,
    served_by: ServerName,
    next_ticket: Option<String>,
}

impl From<Answer> for WireAnswer {
    fn from(answer: Answer) -> Self {
        Self {
            status: answer.status,
            headers: answer.headers.into_iter().map(WireHeader::from).collect(),
            body: answer.body,
            served_by: answer.served_by,
            next_ticket: answer.next_ticket,
        }
    }
}

impl From<WireAnswer> for Answer {
    fn from(answer: WireAnswer) -> Self {
        Self {
            status: answer.status,
            headers: answer.headers.into_iter().map(Header::from).collect(),
            body: answer.body,
            served_by: answer.served_by,
            next_ticket: answer.next_ticket,
        }
    }
}

/// Wire form of a failure.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireFailure {
    refusal: Refusal,
    step: Step,
    peer: Option<ServerName>,
    fresh_ticket: Option<String>,
}

impl From<Failure> for WireFailure {
    fn from(failure: Failure) -> Self {
        Self {
            refusal: failure.refusal,
            step: failure.step,
            peer: failure.peer,
            fresh_ticket: failure.fresh_ticket,
        }
    }
}

impl From<WireFailure> for Failure {
    fn from(failure: WireFailure) -> Self {
        Self {
            refusal: failure.refusal,
            step: failure.step,
            peer: failure.peer,
            fresh_ticket: failure.fresh_ticket,
        }
    }
}

/// Result of a request, with the load of the gate that handled it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireReply {
    /// Identifier of the answered request.
    pub id: u128,
    /// Load of the replying node's gate.
    pub load: LoadReport,
    /// Answer or failure.
    pub result: Result<WireAnswer, WireFailure>,
}

impl WireReply {
    /// Creates the reply to the request `id`.
    pub fn new(id: RequestId, load: LoadReport, result: CallResult) -> Self {
        let result = result.map(WireAnswer::from).map_err(WireFailure::from);
        Self {
            id: id.0,
            load,
            result,
        }
    }
}
