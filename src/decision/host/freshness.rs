//! How long ago what a node holds of the operators' log was the newest, as far as it can prove.
//!
//! A read of the log proves it as of its beginning. Proofs of other nodes are passed on by question
//! and answer, and their age counts from the question.

use std::collections::VecDeque;

use crate::model::log_position::LogPosition;

/// Part of the bound that the rates of two clocks may differ in, in µs.
const CLOCK_MARGIN_US: u64 = 100_000;

/// Parts of the bound at which a node asks others, and reads the log itself.
const ASK_FRACTION: f64 = 0.2;
const FOLLOWER_READ_FRACTION: f64 = 0.25;
const READ_FRACTION: f64 = 0.5;

/// Part of the bound that is added to the age at which a follower reads, for each zone before its own.
const ZONE_READ_FRACTION: f64 = 0.06;

/// Largest part that zones add.
const ZONE_READ_FRACTION_MAX: f64 = 0.2;

/// Part of the bound within which an unknown key is known not to be in force.
const UNKNOWN_KEY_FRACTION: f64 = 0.4;

/// Questions that may still be answered.
const QUESTIONS_MAX: usize = 16;

/// Proof that nothing after a position existed as of a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Proof {
    /// Position at which the log ended.
    pub end: LogPosition,
    /// Time as of which it did, in µs of this node's clock.
    pub at_us: u64,
}

/// Number of a question, which its answer repeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuestionNumber(pub u32);

/// Place of a node among those that read the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReaderRole {
    /// Whether it follows the log for its availability zone.
    pub follows: bool,
    /// Number of availability zones whose followers read before.
    pub zones_before: usize,
}

/// What a node should do to keep its proof young.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refresh {
    /// Nothing yet.
    Wait,
    /// Ask other nodes.
    Ask,
    /// Read the log.
    Read,
}

/// Proof of one node.
#[derive(Debug)]
pub struct Freshness {
    bound_us: u64,
    proven: Option<Proof>,
    /// A younger proof of a position that this node has not reached.
    pending: Option<Proof>,
    questions: VecDeque<(QuestionNumber, u64)>,
    last_number: u32,
}

impl Freshness {
    /// Creates a node without a proof; `bound_us` is the time after which a revoked key must not be
    /// accepted, in µs.
    pub fn new(bound_us: u64) -> Self {
        Self {
            bound_us,
            proven: None,
            pending: None,
            questions: VecDeque::new(),
            last_number: 0,
        }
    }

    /// Records a proof; it counts once this node holds the log up to its position.
    pub fn learn(&mut self, proof: Proof, own_end: LogPosition) {
        if self
            .pending
            .is_none_or(|pending| pending.at_us < proof.at_us)
        {
            self.pending = Some(proof);
        }
        // An older proof of a position that is reached is better than none.
        if proof.end <= own_end && self.proven.is_none_or(|known| known.at_us < proof.at_us) {
            self.proven = Some(proof);
        }
        self.advance(own_end);
    }

    /// Records that this node holds the log up to a position.
    pub fn advance(&mut self, own_end: LogPosition) {
        let Some(pending) = self.pending else {
            return;
        };
        if pending.end <= own_end {
            self.pending = None;
            if self.proven.is_none_or(|known| known.at_us < pending.at_us) {
                self.proven = Some(pending);
            }
        }
    }

    /// Numbers a question that is sent now.
    pub fn ask(&mut self, now_us: u64) -> QuestionNumber {
        self.last_number = self.last_number.wrapping_add(1);
        let number = QuestionNumber(self.last_number);
        self.questions.push_back((number, now_us));
        if self.questions.len() > QUESTIONS_MAX {
            self.questions.pop_front();
        }
        number
    }

    /// Records an answer: the age of another node's proof when it answered, in µs.
    pub fn answered(
        &mut self,
        number: QuestionNumber,
        age_us: u64,
        end: LogPosition,
        own_end: LogPosition,
    ) {
        let question = self
            .questions
            .iter()
            .find(|(asked, _at_us)| *asked == number);
        let Some((_number, asked_us)) = question else {
            return;
        };
        let Some(at_us) = asked_us.checked_sub(age_us) else {
            return;
        };
        self.learn(Proof { end, at_us }, own_end);
    }

    /// The proof, if there is one.
    pub fn proof(&self) -> Option<Proof> {
        self.proven
    }

    /// Age of the proof, in µs.
    pub fn age_us(&self, now_us: u64) -> Option<u64> {
        self.proven.map(|proof| now_us.saturating_sub(proof.at_us))
    }

    /// Whether a key that is in force here may be accepted.
    pub fn accepts_keys(&self, now_us: u64) -> bool {
        let limit_us = self.bound_us.saturating_sub(CLOCK_MARGIN_US);
        self.age_us(now_us).is_some_and(|age_us| age_us < limit_us)
    }

    /// Whether a key that is not in force here is unknown to all newer configurations in force.
    pub fn rejects_keys(&self, now_us: u64) -> bool {
        self.is_younger(UNKNOWN_KEY_FRACTION, now_us)
    }

    /// What to do now; `jitter`, from 0 to 1, spreads the reads of nodes with the same role.
    pub fn refresh(&self, role: ReaderRole, jitter: f64, now_us: u64) -> Refresh {
        let zones = ZONE_READ_FRACTION * role.zones_before as f64;
        let read_fraction = if role.follows {
            FOLLOWER_READ_FRACTION + zones.min(ZONE_READ_FRACTION_MAX)
        } else {
            READ_FRACTION
        };
        let spread = jitter.clamp(0.0, 1.0) * ZONE_READ_FRACTION;
        if !self.is_younger(read_fraction + spread, now_us) {
            Refresh::Read
        } else if !self.is_younger(ASK_FRACTION, now_us) {
            Refresh::Ask
        } else {
            Refresh::Wait
        }
    }

    fn is_younger(&self, fraction: f64, now_us: u64) -> bool {
        let limit_us = (self.bound_us as f64 * fraction) as u64;
        self.age_us(now_us).is_some_and(|age_us| age_us < limit_us)
    }
}
