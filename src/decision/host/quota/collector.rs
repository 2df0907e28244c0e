//! Which node collects the tokens that others do not need, for one slot of branches.

use std::collections::{HashMap, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::IpAddr;

use super::allowance::Allowance;
use crate::model::units::{US_PER_MS, US_PER_S};

/// Number of slots to which branches are dealt.
pub const SLOTS: usize = 4;

/// Silence of better-ranked collectors after which the best node collects, in µs.
const TAKE_OVER_US: u64 = 600 * US_PER_MS;

/// Additional silence for each node that is ranked before, in µs.
const RANK_DELAY_US: u64 = 150 * US_PER_MS;

/// Highest rank that adds to it.
const RANK_MAX: usize = 12;

/// Time after a question in which answers are accepted, in µs.
const ANSWER_TIME_US: u64 = 500 * US_PER_MS;

/// Shortest time between two questions, in µs.
const PERIOD_MIN_US: u64 = 200 * US_PER_MS;

/// Time between two questions for each node, so that a collector bears the answers of many, in µs.
const PERIOD_PER_NODE_US: u64 = US_PER_MS;

/// Time for which a collector that was heard counts as there, in µs.
const HEARD_FOR_US: u64 = 3 * US_PER_S / 2;

/// Slot of branches.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Slot(pub u8);

impl Slot {
    /// All slots.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..SLOTS as u8).map(Self)
    }

    /// Rank of a node for this slot; lower ones collect first.
    pub fn weight(self, address: IpAddr) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self, address).hash(&mut hasher);
        hasher.finish()
    }
}

/// Hash of a branch's name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BranchHash(pub u32);

impl BranchHash {
    /// Hashes a name.
    pub fn of(name: &str) -> Self {
        let mut first = [0; 4];
        first.copy_from_slice(&blake3::hash(name.as_bytes()).as_bytes()[..4]);
        Self(u32::from_le_bytes(first))
    }

    /// Slot of the branch.
    pub fn slot(self) -> Slot {
        Slot((self.0 as usize % SLOTS) as u8)
    }
}

/// What a node knows of the collectors of one slot, and holds if it is one.
#[derive(Debug)]
pub struct SlotCollector {
    slot: Slot,
    own: IpAddr,
    started_us: u64,
    heard: Option<(IpAddr, u64)>,
    question: u32,
    asked_us: u64,
    /// Nodes that answered the last question, with the parts of their answers.
    answered: HashSet<(IpAddr, u8)>,
    /// Nodes that answered the last complete question, this one included.
    answering: usize,
    pool: HashMap<BranchHash, f64>,
}

impl SlotCollector {
    /// Creates the state of a node that has heard no collector.
    pub fn new(slot: Slot, own: IpAddr, now_us: u64) -> Self {
        Self {
            slot,
            own,
            started_us: now_us,
            heard: None,
            question: 0,
            asked_us: 0,
            answered: HashSet::new(),
            answering: 1,
            pool: HashMap::new(),
        }
    }

    /// Records a question of another collector.
    pub fn heard(&mut self, from: IpAddr, now_us: u64) {
        let known = self.current(now_us);
        let is_better = known.is_none_or(|known| self.slot.weight(from) <= self.slot.weight(known));
        if is_better {
            self.heard = Some((from, now_us));
        }
    }

    /// The collector that was heard lately.
    fn current(&self, now_us: u64) -> Option<IpAddr> {
        let (address, heard_us) = self.heard?;
        (now_us.saturating_sub(heard_us) < HEARD_FOR_US).then_some(address)
    }

    /// The collector to ask for tokens: the best one, which may be this node.
    pub fn collector(&self, now_us: u64) -> Option<IpAddr> {
        let other = self.current(now_us);
        let own_weight = self.slot.weight(self.own);
        let other_is_better = other.is_some_and(|other| self.slot.weight(other) < own_weight);
        if self.is_collecting(now_us) && !other_is_better {
            return Some(self.own);
        }
        other
    }

    /// Whether this node has asked others lately.
    fn is_collecting(&self, now_us: u64) -> bool {
        self.question > 0 && now_us.saturating_sub(self.asked_us) < HEARD_FOR_US
    }

    /// Returns the number of a question that is to be sent to all nodes now.
    ///
    /// `better` is the number of live nodes that are ranked before this one.
    pub fn next_question(&mut self, better: usize, nodes: usize, now_us: u64) -> Option<u32> {
        let own_weight = self.slot.weight(self.own);
        let heard_better = self
            .heard
            .filter(|(address, _heard_us)| self.slot.weight(*address) < own_weight);
        let silent_since_us = heard_better.map_or(self.started_us, |(_address, at_us)| at_us);
        let patience_us = TAKE_OVER_US + RANK_DELAY_US * better.min(RANK_MAX) as u64;
        if now_us.saturating_sub(silent_since_us) < patience_us {
            return None;
        }
        let period_us = PERIOD_MIN_US.max(PERIOD_PER_NODE_US * nodes as u64);
        if self.question > 0 && now_us.saturating_sub(self.asked_us) < period_us {
            return None;
        }
        self.answering = self.answering_now();
        self.answered.clear();
        self.question += 1;
        self.asked_us = now_us;
        Some(self.question)
    }

    /// Accepts a part of what a node gives in answer to the last question, once and in time.
    pub fn accept(&mut self, from: IpAddr, question: u32, part: u8, now_us: u64) -> bool {
        let in_time = now_us.saturating_sub(self.asked_us) < ANSWER_TIME_US;
        question == self.question && in_time && self.answered.insert((from, part))
    }

    /// Nodes that answered the last question so far, this one included.
    fn answering_now(&self) -> usize {
        let first_parts = self.answered.iter().filter(|(_from, part)| *part == 0);
        first_parts.count() + 1
    }

    /// Adds tokens of a branch to the pool, up to what it may hold.
    pub fn deposit(
        &mut self,
        branch: BranchHash,
        tokens: f64,
        allowance: &Allowance,
        nodes: usize,
    ) {
        let answering = self.answering.max(self.answering_now());
        let stock = allowance.collector_stock(answering, nodes);
        let held = self.pool.entry(branch).or_default();
        *held = (*held + tokens.max(0.0)).min(stock.max(*held));
    }

    /// Takes up to `wanted` whole tokens of a branch from the pool.
    pub fn withdraw(&mut self, branch: BranchHash, wanted: u32) -> u32 {
        let Some(held) = self.pool.get_mut(&branch) else {
            return 0;
        };
        let taken = held.floor().clamp(0.0, f64::from(wanted));
        *held -= taken;
        taken as u32
    }

    /// Takes all tokens of a branch from the pool, for a collector that is ranked before.
    pub fn withdraw_all(&mut self, branch: BranchHash) -> f64 {
        self.pool.remove(&branch).unwrap_or(0.0)
    }

    /// Cuts the tokens of a branch to what a new quota allows.
    pub fn limit(&mut self, branch: BranchHash, allowance: &Allowance, nodes: usize) {
        let stock = allowance.collector_stock(self.answering, nodes);
        if let Some(held) = self.pool.get_mut(&branch) {
            *held = held.min(stock);
        }
    }

    /// Tokens in the pool.
    pub fn pooled(&self) -> f64 {
        self.pool.values().sum()
    }
}
