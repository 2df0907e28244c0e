//! Wire types of what nodes ask each other about branches.

use serde::{Deserialize, Serialize};

use crate::decision::host::quota::collector::BranchHash;

/// Wire form of a question for the age of a proof.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct WireQuestion {
    /// Number that the answer repeats.
    pub number: u32,
}

/// Wire form of the answer.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct WireProof {
    /// Number of the question.
    pub number: u32,
    /// Age of the proof when the answer was sent, in µs.
    pub age_us: u64,
    /// Era of `end`.
    pub era: u64,
    /// Offset at which the log ended.
    pub end: u64,
}

/// Wire form of a collector's question for tokens that are not needed.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct WireCollect {
    /// Slot of branches.
    pub slot: u8,
    /// Number that the answer repeats.
    pub question: u32,
}

/// Wire form of a part of the answer; the tokens belong to the collector then.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireGiven {
    /// Slot of the question.
    pub slot: u8,
    /// Number of the question.
    pub question: u32,
    /// Number of the part of the answer, from 0.
    pub part: u8,
    /// Tokens by branch.
    pub tokens: Vec<WireTokens>,
}

/// Tokens are sent as whole numbers of this part of one; what is cut off is lost.
const PARTS_PER_TOKEN: f64 = 1e6;

/// Wire form of tokens of one branch.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct WireTokens {
    branch: u32,
    parts: u64,
}

impl From<(BranchHash, f64)> for WireTokens {
    fn from((branch, tokens): (BranchHash, f64)) -> Self {
        Self {
            branch: branch.0,
            parts: (tokens * PARTS_PER_TOKEN) as u64,
        }
    }
}

impl From<WireTokens> for (BranchHash, f64) {
    fn from(wire: WireTokens) -> Self {
        (BranchHash(wire.branch), wire.parts as f64 / PARTS_PER_TOKEN)
    }
}

/// Wire form of a question for tokens that are needed.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct WireAsk {
    /// Hash of the branch's name.
    pub branch: u32,
    /// Number of tokens.
    pub wanted: u32,
}

/// Wire form of the answer; the tokens belong to the receiver then.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct WireGranted {
    /// Hash of the branch's name.
    pub branch: u32,
    /// Number of tokens.
    pub tokens: u32,
}
