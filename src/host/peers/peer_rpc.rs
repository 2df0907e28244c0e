//! RPC service between nodes on different hosts, and its wire types.

use std::net::IpAddr;
use std::sync::OnceLock;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::decision::host::peers::Introduction;
use crate::host::outcome::{Outcome, RequestFailure, RunMeasurement};
use crate::host::peers::body_store::BodyNumber;
use crate::host::peers::log_rpc::{WireOperatorLog, WireOperatorRecords};
use crate::host::peers::relay_rpc::{WireLogIndex, WireLogPosition};
use crate::host::peers::relayed_values::ValueDigest;
use crate::host::peers::relayed_values::WirePiece;
use crate::model::header::Header;
use crate::model::host_request::{HostWork, ServerAnswer, Timing, is_final_status};
use crate::model::ids::Incarnation;
use crate::model::load::HostLoad;
use crate::model::names::{NameError, ServiceName, ZoneName};
use crate::model::reasons::{RefusalReason, RunState};
use crate::model::request::Effect;

/// RPC service that a node offers to the nodes on other hosts.
#[tarpc::service]
pub trait PeerHost {
    /// Runs a request at the node's local backend server.
    async fn run(work: WireWork) -> WireOutcome;
    /// Blocks a request that has not been claimed yet, or returns its outcome.
    ///
    /// Only the incarnation of the node to which the request was forwarded knows the outcome.
    async fn settle(id: String, incarnation: u64) -> WireOutcome;
    /// Returns at once; checks that the connection works.
    async fn ping();
    /// Returns the latest records of the operators' log, without its era.
    async fn operator_records() -> WireOperatorRecords;
    /// Returns the hosts that the node knows, including its own.
    async fn known_hosts() -> Vec<WireIntroduction>;
    /// Returns the state of the operators' log as the node knows it.
    async fn operator_log() -> WireOperatorLog;
    /// Returns the records of the operators' log since a position, without large values.
    async fn log_index(known: WireLogPosition) -> WireLogIndex;
    /// Returns a piece of a large value that an index named.
    async fn value_piece(digest: ValueDigest, offset: u64) -> WirePiece;
    /// Reserves memory for the body of a request; returns whether there is enough.
    async fn begin_body(number: BodyNumber, length_bytes: u64) -> bool;
    /// Sends a piece of a body whose memory is reserved.
    async fn add_to_body(number: BodyNumber, offset_bytes: u64, piece: Bytes);
    /// Runs a request whose body was sent before if `body_sent`.
    ///
    /// A longer body of the answer than `inline_bytes_max` is kept for [`PeerHost::answer_piece`].
    async fn execute(
        number: BodyNumber,
        work: WireWork,
        body_sent: bool,
        inline_bytes_max: u32,
    ) -> WireExecuted;
    /// Returns a piece of the body of an answer; `None` if it is not kept any more.
    async fn answer_piece(number: BodyNumber, index: u32) -> Option<Bytes>;
    /// Drops what is kept of a body.
    async fn discard_body(number: BodyNumber);
}

/// Wire form of an outcome whose answer may lack its body.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireExecuted {
    /// The outcome; the body of its answer is empty if it is kept.
    pub outcome: WireOutcome,
    /// Body of the answer that is kept.
    pub kept: Option<WireKept>,
}

/// Size of a body that is kept.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct WireKept {
    /// Length in bytes.
    pub length_bytes: u64,
    /// Number of pieces.
    pub pieces: u32,
}

/// Wire form of a header.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireHeader(String, Bytes);

impl From<Header> for WireHeader {
    fn from(header: Header) -> Self {
        Self(header.name, header.value)
    }
}

impl From<WireHeader> for Header {
    fn from(wire: WireHeader) -> Self {
        Self {
            name: wire.0,
            value: wire.1,
        }
    }
}

fn headers_to_wire(headers: Vec<Header>) -> Vec<WireHeader> {
    headers.into_iter().map(WireHeader::from).collect()
}

fn headers_from_wire(headers: Vec<WireHeader>) -> Vec<Header> {
    headers.into_iter().map(Header::from).collect()
}

/// Wire form of a request.
///
/// Times are sent relative to now, since the clocks of nodes differ.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireWork {
    id: String,
    service: String,
    effect: Effect,
    rank: u8,
    invested: bool,
    is_retry: bool,
    left_us: u64,
    usual_run_us: u32,
    objective_left_us: u64,
    other_finish_us: u32,
    method: String,
    target: String,
    headers: Vec<WireHeader>,
    body: Bytes,
}

impl WireWork {
    /// Creates the wire form at time `now_us` of the sender's clock.
    pub fn new(work: HostWork, now_us: u64) -> Self {
        Self {
            id: work.id.as_ref().to_owned(),
            service: work.service.as_str().to_owned(),
            effect: work.effect,
            rank: work.rank,
            invested: work.nested_call,
            is_retry: work.is_retry,
            left_us: work.timing.deadline_us.saturating_sub(now_us),
            usual_run_us: work.timing.usual_run_us as u32,
            objective_left_us: work.timing.objective_at_us.saturating_sub(now_us),
            other_finish_us: work.timing.other_finish_us as u32,
            method: work.method,
            target: work.target,
            headers: headers_to_wire(work.headers),
            body: work.body.to_bytes(),
        }
    }

    /// Takes time off that has passed since the wire form was created.
    pub fn spend(&mut self, passed: Duration) {
        let passed_us = passed.as_micros() as u64;
        self.left_us = self.left_us.saturating_sub(passed_us);
        self.objective_left_us = self.objective_left_us.saturating_sub(passed_us);
    }

    /// Converts to a request at time `now_us` of the receiver's clock.
    ///
    /// # Errors
    /// [`NameError`] if the service is not a name.
    pub fn into_work(self, now_us: u64) -> Result<HostWork, NameError> {
        Ok(HostWork {
            id: self.id.into(),
            service: ServiceName::new(&self.service)?,
            effect: self.effect,
            rank: self.rank,
            nested_call: self.invested,
            entered_here: false,
            is_retry: self.is_retry,
            timing: Timing {
                usual_run_us: f64::from(self.usual_run_us),
                objective_at_us: now_us.saturating_add(self.objective_left_us),
                deadline_us: now_us.saturating_add(self.left_us),
                other_finish_us: f64::from(self.other_finish_us),
            },
            method: self.method,
            target: self.target,
            headers: headers_from_wire(self.headers),
            body: self.body.into(),
            digest: OnceLock::new(),
        })
    }
}

/// Wire form of a complete answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireAnswer {
    status: u16,
    headers: Vec<WireHeader>,
    body: Bytes,
}

/// Wire form of a request failure.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireFailure {
    reason: RefusalReason,
    run_state: RunState,
    arrived: bool,
    retry_after_us: Option<u64>,
}

/// Wire form of a request's outcome, with the load of the replying node.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireOutcome {
    result: Result<WireAnswer, WireFailure>,
    run_us: u64,
    slowness_percent: u16,
    /// Load of the replying node's gate.
    pub load: HostLoad,
}

impl WireOutcome {
    /// Creates the wire form.
    pub fn new(outcome: Outcome, load: HostLoad) -> Self {
        Self {
            result: outcome
                .result
                .map(WireAnswer::from)
                .map_err(WireFailure::from),
            run_us: outcome.measurement.run_us,
            slowness_percent: (outcome.measurement.slowness * 100.0) as u16,
            load,
        }
    }

    /// Returns why there is no answer, if there is none.
    pub fn failure(&self) -> Option<WireFailure> {
        self.result.as_ref().err().cloned()
    }
}

impl From<WireOutcome> for Outcome {
    /// An answer with a status that HTTP does not define is none.
    fn from(wire: WireOutcome) -> Self {
        let result = match wire.result {
            Ok(answer) if is_final_status(answer.status) => Ok(ServerAnswer::from(answer)),
            Ok(_odd) => Err(RequestFailure::unknown(RefusalReason::AnswerBroken)),
            Err(failure) => Err(RequestFailure::from(failure)),
        };
        Self {
            result,
            measurement: RunMeasurement {
                run_us: wire.run_us,
                slowness: f64::from(wire.slowness_percent) / 100.0,
            },
        }
    }
}

impl From<ServerAnswer> for WireAnswer {
    fn from(answer: ServerAnswer) -> Self {
        Self {
            status: answer.status,
            headers: headers_to_wire(answer.headers),
            body: answer.body.to_bytes(),
        }
    }
}

impl From<WireAnswer> for ServerAnswer {
    fn from(wire: WireAnswer) -> Self {
        Self {
            status: wire.status,
            headers: headers_from_wire(wire.headers),
            body: wire.body.into(),
        }
    }
}

impl From<RequestFailure> for WireFailure {
    fn from(failure: RequestFailure) -> Self {
        Self {
            reason: failure.reason,
            run_state: failure.run_state,
            arrived: failure.arrived,
            retry_after_us: failure.retry_after_us,
        }
    }
}

impl From<WireFailure> for RequestFailure {
    fn from(wire: WireFailure) -> Self {
        Self {
            reason: wire.reason,
            run_state: wire.run_state,
            arrived: wire.arrived,
            retry_after_us: wire.retry_after_us,
        }
    }
}

/// Wire form of an introduction, also used in the log service.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireIntroduction {
    address: IpAddr,
    incarnation: u64,
    zone: String,
    service: String,
}

impl From<Introduction> for WireIntroduction {
    fn from(introduction: Introduction) -> Self {
        Self {
            address: introduction.address,
            incarnation: introduction.incarnation.0,
            zone: introduction.zone.as_str().to_owned(),
            service: introduction.service.as_str().to_owned(),
        }
    }
}

impl TryFrom<WireIntroduction> for Introduction {
    type Error = NameError;

    fn try_from(wire: WireIntroduction) -> Result<Self, NameError> {
        Ok(Self {
            address: wire.address,
            incarnation: Incarnation(wire.incarnation),
            zone: ZoneName::new(&wire.zone)?,
            service: ServiceName::new(&wire.service)?,
        })
    }
}
