//! Format of the datagrams that carry facts, questions and answers between nodes.

use serde::{Deserialize, Serialize};

use crate::host::branches::wire::{
    WireAsk, WireCollect, WireGiven, WireGranted, WireProof, WireQuestion,
};
use crate::host::peers::relay_rpc::WireLogPosition;
use crate::host::rollouts::wire::WireRolloutFacts;

/// Version of the format, in the first byte; load reports and crash reports have others.
pub const WIRE_VERSION: u8 = 3;

/// Content of a datagram; new kinds come last, since nodes of an earlier release ignore them.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum WireFacts {
    /// Progress of roll-outs and what was counted.
    Rollouts(WireRolloutFacts),
    /// Asks for the age of the receiver's proof.
    FreshnessQuestion(WireQuestion),
    /// Answers it.
    FreshnessAnswer(WireProof),
    /// A collector's question for tokens that the receiver does not need.
    TokensCollect(WireCollect),
    /// Answers it.
    TokensGiven(WireGiven),
    /// Asks a collector for tokens.
    TokensAsk(WireAsk),
    /// Answers it.
    TokensGranted(WireGranted),
    /// The operators' log ended here when the sender had an answer.
    LogProof(WireLogPosition),
}

/// Encodes a datagram.
pub fn encode(facts: &WireFacts) -> Vec<u8> {
    postcard::to_stdvec(&(WIRE_VERSION, facts)).unwrap_or_default()
}

/// Decodes a datagram; `None` if it is malformed or of another version.
pub fn decode(datagram: &[u8]) -> Option<WireFacts> {
    let (version, facts) = postcard::from_bytes::<(u8, WireFacts)>(datagram).ok()?;
    (version == WIRE_VERSION).then_some(facts)
}
