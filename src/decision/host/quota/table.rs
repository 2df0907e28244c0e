//! Quotas of all branches at one node.

use std::collections::HashMap;
use std::net::IpAddr;

use super::allowance::{Allowance, QuotaPrecision};
use super::collector::{BranchHash, Slot, SlotCollector};
use super::tokens::Tokens;
use crate::model::branch::Quota;
use crate::model::units::{US_PER_MS, US_PER_S};

/// Time after its start in which a node learns how many nodes there are, in µs.
///
/// It mints afterwards, or once it has read all of them: a number that is too small for a moment
/// would mint too much.
const SETTLED_US: u64 = 2 * US_PER_S;

/// Time for which a collector's answer is awaited, in µs.
pub const ASK_TIME_US: u64 = 150 * US_PER_MS;

/// Pause after an answer without tokens before the collector is asked again, in µs.
const ASK_PAUSE_US: u64 = 100 * US_PER_MS;

/// Time for whose expected requests tokens are asked for, in s.
const ASKED_FOR_S: f64 = 0.4;

/// Most tokens that are asked for at once.
const ASKED_MAX: u32 = 200;

/// What becomes of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Take {
    /// It has a token.
    Admitted,
    /// It waits for an answer of the collector.
    Waits,
    /// It waits, and the collector is to be asked.
    Ask {
        /// Address of the collector.
        collector: IpAddr,
        /// Number of tokens to ask for.
        wanted: u32,
    },
    /// The quota is used.
    Refused {
        /// Time after which room is expected, in µs.
        retry_after_us: u64,
    },
}

/// A part of a node's answer to a collector.
#[derive(Debug, Clone)]
pub struct AnswerPart {
    /// Slot of the question.
    pub slot: Slot,
    /// Number of the question.
    pub question: u32,
    /// Number of the part, from 0.
    pub part: u8,
    /// Tokens by branch; they belong to the collector then.
    pub given: Vec<(BranchHash, f64)>,
}

/// A branch at this node.
#[derive(Debug)]
struct BranchState {
    tokens: Tokens,
    /// Requests that wait for the collector.
    waiting: u32,
    asked_us: Option<u64>,
    /// Number of tokens that was asked for last, and whether all were given.
    wanted: u32,
    all_given: bool,
    no_ask_until_us: u64,
}

/// Quotas at one node.
#[derive(Debug)]
pub struct QuotaTable {
    precision: QuotaPrecision,
    own: IpAddr,
    nodes: usize,
    started_us: u64,
    /// Whether the number of nodes is that of a whole list.
    nodes_listed: bool,
    branches: HashMap<BranchHash, BranchState>,
    collectors: Vec<SlotCollector>,
}

impl QuotaTable {
    /// Creates the table of a node that knows no branch.
    pub fn new(precision: QuotaPrecision, own: IpAddr, now_us: u64) -> Self {
        let collectors = Slot::all().map(|slot| SlotCollector::new(slot, own, now_us));
        Self {
            precision,
            own,
            nodes: 1,
            started_us: now_us,
            nodes_listed: false,
            branches: HashMap::new(),
            collectors: collectors.collect(),
        }
    }

    /// Puts the quotas of a configuration in force; branches without one are not limited.
    ///
    /// `full` says that no request of a new branch can have been admitted before.
    pub fn set_quotas(&mut self, quotas: &[(BranchHash, Quota)], full: bool, now_us: u64) {
        let nodes = self.nodes;
        self.branches
            .retain(|branch, _state| quotas.iter().any(|(known, _quota)| known == branch));
        for (branch, quota) in quotas {
            let allowance = Allowance::new(*quota, &self.precision);
            let state = self.branches.entry(*branch).or_insert_with(|| BranchState {
                tokens: Tokens::new(allowance, nodes, full, now_us),
                waiting: 0,
                asked_us: None,
                wanted: 0,
                all_given: false,
                no_ask_until_us: 0,
            });
            state.tokens.set_allowance(allowance, nodes, now_us);
            self.collectors[usize::from(branch.slot().0)].limit(*branch, &allowance, nodes);
        }
    }

    /// Records the number of nodes that this one knows, itself included; `listed` if it has read a
    /// list of all.
    pub fn observe_nodes(&mut self, nodes: usize, listed: bool, now_us: u64) {
        if nodes != self.nodes {
            self.mint_all(now_us);
            self.nodes = nodes.max(1);
        }
        if listed && !self.nodes_listed {
            self.mint_all(now_us);
            self.nodes_listed = true;
        }
    }

    /// Whether no quota is in force.
    pub fn is_empty(&self) -> bool {
        self.branches.is_empty()
    }

    /// Whether enough is known of the other nodes to mint.
    fn is_settled(&self, now_us: u64) -> bool {
        self.nodes_listed || now_us.saturating_sub(self.started_us) >= SETTLED_US
    }

    fn mint_all(&mut self, now_us: u64) {
        let is_settled = self.is_settled(now_us);
        for state in self.branches.values_mut() {
            if is_settled {
                state.tokens.mint(self.nodes, now_us);
            } else {
                state.tokens.skip(now_us);
            }
        }
    }

    /// Takes a token for a request of a branch, or says what to do instead.
    pub fn take(&mut self, branch: BranchHash, now_us: u64) -> Take {
        let (is_settled, nodes) = (self.is_settled(now_us), self.nodes);
        let collector = self.collectors[usize::from(branch.slot().0)].collector(now_us);
        let Some(state) = self.branches.get_mut(&branch) else {
            return Take::Admitted;
        };
        if is_settled {
            state.tokens.mint(nodes, now_us);
        } else {
            state.tokens.skip(now_us);
        }
        if state.tokens.take(now_us) {
            return Take::Admitted;
        }
        if state
            .asked_us
            .is_some_and(|at_us| now_us.saturating_sub(at_us) < ASK_TIME_US)
        {
            state.waiting += 1;
            return Take::Waits;
        }
        let may_ask = now_us >= state.no_ask_until_us;
        let Some(collector) = collector.filter(|_collector| may_ask) else {
            let retry_after_us = state.tokens.refuse(nodes, now_us);
            return Take::Refused { retry_after_us };
        };
        if collector == self.own {
            return self.take_own_pool(branch, now_us);
        }
        state.waiting += 1;
        state.asked_us = Some(now_us);
        let expected = state.tokens.expected_use(ASKED_FOR_S, now_us).ceil() as u32;
        let wanted = (state.waiting + expected).min(ASKED_MAX);
        state.wanted = wanted;
        Take::Ask { collector, wanted }
    }

    fn take_own_pool(&mut self, branch: BranchHash, now_us: u64) -> Take {
        let taken = self.collectors[usize::from(branch.slot().0)].withdraw(branch, 1);
        let nodes = self.nodes;
        let Some(state) = self.branches.get_mut(&branch) else {
            return Take::Admitted;
        };
        state.tokens.add(f64::from(taken));
        if state.tokens.take(now_us) {
            return Take::Admitted;
        }
        let retry_after_us = state.tokens.refuse(nodes, now_us);
        Take::Refused { retry_after_us }
    }

    /// Records that the collector gave tokens.
    pub fn granted(&mut self, branch: BranchHash, tokens: u32, now_us: u64) {
        if let Some(state) = self.branches.get_mut(&branch) {
            state.tokens.add(f64::from(tokens));
            state.asked_us = None;
            state.all_given = tokens >= state.wanted;
            if tokens == 0 {
                state.no_ask_until_us = now_us + ASK_PAUSE_US;
            }
        }
    }

    /// Takes a token for a request that has waited for the collector.
    ///
    /// It may wait once more if the collector gave all that was asked for, since more requests came
    /// meanwhile; `is_last` says that it must not.
    pub fn take_after_wait(&mut self, branch: BranchHash, is_last: bool, now_us: u64) -> Take {
        let nodes = self.nodes;
        let Some(state) = self.branches.get_mut(&branch) else {
            return Take::Admitted;
        };
        state.waiting = state.waiting.saturating_sub(1);
        if state.tokens.take(now_us) {
            return Take::Admitted;
        }
        if state.all_given && !is_last {
            return self.take(branch, now_us);
        }
        let retry_after_us = state.tokens.refuse(nodes, now_us);
        Take::Refused { retry_after_us }
    }

    /// Records that a request no longer waits for the collector, since its caller has left.
    pub fn stop_waiting(&mut self, branch: BranchHash) {
        if let Some(state) = self.branches.get_mut(&branch) {
            state.waiting = state.waiting.saturating_sub(1);
        }
    }

    /// Gives back the token of a request that was refused for another reason.
    pub fn refund(&mut self, branch: BranchHash) {
        if let Some(state) = self.branches.get_mut(&branch) {
            state.tokens.add(1.0);
        }
    }

    /// Returns the questions that this node sends as a collector now.
    ///
    /// `better` tells how many live nodes are ranked before this one for a slot.
    pub fn due_questions(
        &mut self,
        better: impl Fn(Slot) -> usize,
        now_us: u64,
    ) -> Vec<(Slot, u32)> {
        if self.branches.is_empty() {
            return Vec::new();
        }
        let nodes = self.nodes;
        let mut due = Vec::new();
        for slot in Slot::all() {
            let collector = &mut self.collectors[usize::from(slot.0)];
            if let Some(question) = collector.next_question(better(slot), nodes, now_us) {
                due.push((slot, question));
            }
        }
        for (slot, _question) in &due {
            self.collect_own(*slot, now_us);
        }
        due
    }

    /// Adds what this node does not need to its own pool.
    fn collect_own(&mut self, slot: Slot, now_us: u64) {
        for (branch, given) in self.give(slot, now_us) {
            self.add_to_pool(branch, given);
        }
    }

    fn add_to_pool(&mut self, branch: BranchHash, tokens: f64) {
        if let Some(state) = self.branches.get(&branch) {
            let collector = &mut self.collectors[usize::from(branch.slot().0)];
            collector.deposit(branch, tokens, state.tokens.allowance(), self.nodes);
        }
    }

    fn give(&mut self, slot: Slot, now_us: u64) -> Vec<(BranchHash, f64)> {
        self.mint_all(now_us);
        let of_slot = self
            .branches
            .iter_mut()
            .filter(|(branch, _state)| branch.slot() == slot);
        let given = of_slot.map(|(branch, state)| (*branch, state.tokens.give(now_us)));
        given.filter(|(_branch, tokens)| *tokens > 0.0).collect()
    }

    /// Answers a collector's question: tokens that this node gives up.
    pub fn answer(&mut self, slot: Slot, from: IpAddr, now_us: u64) -> Vec<(BranchHash, f64)> {
        let collector = self.collectors.get_mut(usize::from(slot.0));
        let Some(collector) = collector else {
            return Vec::new();
        };
        collector.heard(from, now_us);
        let is_better = slot.weight(from) < slot.weight(self.own);
        let mut given = self.give(slot, now_us);
        if is_better {
            let collector = &mut self.collectors[usize::from(slot.0)];
            for branch in self.branches.keys().filter(|branch| branch.slot() == slot) {
                let pooled = collector.withdraw_all(*branch);
                if pooled > 0.0 {
                    given.push((*branch, pooled));
                }
            }
        }
        given
    }

    /// Records a part of what another node gives in answer to a question of this one.
    pub fn collected(&mut self, from: IpAddr, answer: AnswerPart, now_us: u64) {
        let AnswerPart {
            slot,
            question,
            part,
            given,
        } = answer;
        let collector = self.collectors.get_mut(usize::from(slot.0));
        if !collector.is_some_and(|collector| collector.accept(from, question, part, now_us)) {
            return;
        }
        for (branch, tokens) in given
            .into_iter()
            .filter(|(branch, _given)| branch.slot() == slot)
        {
            self.add_to_pool(branch, tokens);
        }
    }

    /// Gives another node tokens from the pool of this one.
    pub fn grant(&mut self, branch: BranchHash, wanted: u32) -> u32 {
        self.collectors[usize::from(branch.slot().0)].withdraw(branch, wanted.min(ASKED_MAX))
    }

    /// Branches of which it changed whether they are limited here, and to what.
    pub fn limited_changes(&mut self, now_us: u64) -> Vec<(BranchHash, bool)> {
        let changes = self.branches.iter_mut().filter_map(|(branch, state)| {
            let limited = state.tokens.limited_change(now_us)?;
            Some((*branch, limited))
        });
        changes.collect()
    }

    /// Tokens at this node, and in its pools.
    pub fn held(&self) -> (f64, f64) {
        let own = self
            .branches
            .values()
            .map(|state| state.tokens.count())
            .sum();
        let pooled = self.collectors.iter().map(SlotCollector::pooled).sum();
        (own, pooled)
    }
}
