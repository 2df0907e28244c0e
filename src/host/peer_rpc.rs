//! Requests that nodes on different hosts make of each other, and their wire types.

use std::net::IpAddr;
use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::outcome::{Miss, Outcome, RunFacts};
use crate::decision::host::keyed_state::KeyedRecord;
use crate::decision::host::peers::Introduction;
use crate::model::header::Header;
use crate::model::host_request::{HostWork, ServerAnswer, Timing};
use crate::model::ids::Incarnation;
use crate::model::load::HostLoad;
use crate::model::names::{NameError, ServiceName, ZoneName};
use crate::model::reasons::{RefusalReason, RunState};
use crate::model::request::Effect;

/// What a node asks of the node on another host.
#[tarpc::service]
pub trait PeerHost {
    /// Runs a request at the backend server beside the node.
    async fn run(work: WireWork) -> WireOutcome;
    /// Bars a request that was not sent yet, or tells what became of it. Only the run of the node
    /// that it was forwarded to can know.
    async fn settle(id: String, incarnation: u64) -> WireOutcome;
    /// Answers at once; shows that the connection works.
    async fn ping();
    /// Latest records of the operators' log.
    async fn operator_records() -> WireOperatorRecords;
    /// Hosts that the node knows.
    async fn known_hosts() -> Vec<WireIntroduction>;
}

/// A header between nodes.
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

fn to_wire(headers: Vec<Header>) -> Vec<WireHeader> {
    headers.into_iter().map(WireHeader::from).collect()
}

fn from_wire(headers: Vec<WireHeader>) -> Vec<Header> {
    headers.into_iter().map(Header::from).collect()
}

/// A request between nodes. The deadline travels as the time left, since clocks differ.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireWork {
    id: String,
    effect: Effect,
    rank: u8,
    invested: bool,
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
    /// Makes the wire form at `now_us` of the sender's clock.
    pub fn new(work: HostWork, now_us: u64) -> Self {
        Self {
            id: work.id.as_ref().to_owned(),
            effect: work.effect,
            rank: work.rank,
            invested: work.nested_call,
            left_us: work.timing.deadline_us.saturating_sub(now_us),
            usual_run_us: work.timing.usual_run_us as u32,
            objective_left_us: work.timing.objective_at_us.saturating_sub(now_us),
            other_finish_us: work.timing.other_finish_us as u32,
            method: work.method,
            target: work.target,
            headers: to_wire(work.headers),
            body: work.body,
        }
    }

    /// Makes the request at `now_us` of the receiver's clock.
    pub fn into_work(self, now_us: u64) -> HostWork {
        HostWork {
            id: self.id.into(),
            effect: self.effect,
            rank: self.rank,
            nested_call: self.invested,
            timing: Timing {
                usual_run_us: f64::from(self.usual_run_us),
                objective_at_us: now_us.saturating_add(self.objective_left_us),
                deadline_us: now_us.saturating_add(self.left_us),
                other_finish_us: f64::from(self.other_finish_us),
            },
            method: self.method,
            target: self.target,
            headers: from_wire(self.headers),
            body: self.body,
        }
    }
}

/// A whole answer between nodes.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireAnswer {
    status: u16,
    headers: Vec<WireHeader>,
    body: Bytes,
}

/// A request without an answer, between nodes.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireMiss {
    reason: RefusalReason,
    run_state: RunState,
    arrived: bool,
    retry_after_us: Option<u64>,
}

/// What became of a request, with the load of the gate.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireOutcome {
    result: Result<WireAnswer, WireMiss>,
    run_us: u64,
    slowness_percent: u16,
    /// Load of the gate that replies.
    pub load: HostLoad,
}

impl WireOutcome {
    /// Makes the wire form.
    pub fn new(outcome: Outcome, load: HostLoad) -> Self {
        Self {
            result: outcome.result.map(WireAnswer::from).map_err(WireMiss::from),
            run_us: outcome.facts.run_us,
            slowness_percent: (outcome.facts.slowness * 100.0) as u16,
            load,
        }
    }
}

impl From<WireOutcome> for Outcome {
    fn from(wire: WireOutcome) -> Self {
        Self {
            result: wire.result.map(ServerAnswer::from).map_err(Miss::from),
            facts: RunFacts {
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
            headers: to_wire(answer.headers),
            body: answer.body,
        }
    }
}

impl From<WireAnswer> for ServerAnswer {
    fn from(wire: WireAnswer) -> Self {
        Self {
            status: wire.status,
            headers: from_wire(wire.headers),
            body: wire.body,
        }
    }
}

impl From<Miss> for WireMiss {
    fn from(miss: Miss) -> Self {
        Self {
            reason: miss.reason,
            run_state: miss.run_state,
            arrived: miss.arrived,
            retry_after_us: miss.retry_after_us,
        }
    }
}

impl From<WireMiss> for Miss {
    fn from(wire: WireMiss) -> Self {
        Self {
            reason: wire.reason,
            run_state: wire.run_state,
            arrived: wire.arrived,
            retry_after_us: wire.retry_after_us,
        }
    }
}

/// An introduction between nodes and in the log.
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

/// Records of the operators' log between nodes.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireOperatorRecords {
    /// Offset up to which they were seen.
    pub end: u64,
    records: Vec<(String, Option<Bytes>, u64)>,
}

impl WireOperatorRecords {
    /// Makes the wire form.
    pub fn new<'a>(records: impl Iterator<Item = &'a KeyedRecord>, end: u64) -> Self {
        let wire = |record: &KeyedRecord| {
            let key = record.key.as_ref().to_owned();
            (key, record.value.clone(), record.offset)
        };
        Self {
            end,
            records: records.map(wire).collect(),
        }
    }

    /// The records.
    pub fn into_records(self) -> impl Iterator<Item = KeyedRecord> {
        let records = self.records.into_iter();
        records.map(|(key, value, offset)| KeyedRecord {
            key: Arc::from(key),
            value,
            offset,
        })
    }
}
