//! Facts that are merged in any order and spread from node to node at random.
//!
//! News is sent for a few rounds after each change; a rotating part of the rest is repeated for the
//! nodes that missed it (epidemic algorithms, Demers et al. 1987).

use std::collections::BTreeMap;

/// Number of nodes to which one round goes.
pub const FANOUT: usize = 3;

/// Number of rounds in which a changed fact is sent as news.
const NEWS_ROUNDS: u8 = 8;

/// A value that only grows when it is merged with others of the same key.
///
/// Merging must be commutative, associative and idempotent.
pub trait Fact: Clone {
    /// What the fact is about, and who said it.
    type Key: Ord + Clone;

    /// Merges another value of the same key; returns whether this one changed.
    fn merge(&mut self, other: &Self) -> bool;
}

#[derive(Debug)]
struct Known<F> {
    fact: F,
    /// Rounds in which it is still sent as news.
    news_rounds: u8,
}

/// Known facts of one kind.
#[derive(Debug)]
pub struct Facts<F: Fact> {
    known: BTreeMap<F::Key, Known<F>>,
    /// Key after which the next repeats begin.
    repeated_to: Option<F::Key>,
    count_max: usize,
}

impl<F: Fact> Facts<F> {
    /// Creates an empty set that holds at most `count_max` facts.
    pub fn new(count_max: usize) -> Self {
        Self {
            known: BTreeMap::new(),
            repeated_to: None,
            count_max,
        }
    }

    /// Merges a fact; returns whether it is news.
    ///
    /// A fact with a new key is dropped if the set is full.
    pub fn learn(&mut self, key: F::Key, fact: &F) -> bool {
        if let Some(known) = self.known.get_mut(&key) {
            let changed = known.fact.merge(fact);
            if changed {
                known.news_rounds = NEWS_ROUNDS;
            }
            return changed;
        }
        if self.known.len() >= self.count_max {
            return false;
        }
        let known = Known {
            fact: fact.clone(),
            news_rounds: NEWS_ROUNDS,
        };
        self.known.insert(key, known);
        true
    }

    /// Returns the fact with a key.
    pub fn get(&self, key: &F::Key) -> Option<&F> {
        self.known.get(key).map(|known| &known.fact)
    }

    /// All known facts.
    pub fn iter(&self) -> impl Iterator<Item = (&F::Key, &F)> {
        self.known.iter().map(|(key, known)| (key, &known.fact))
    }

    /// Whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Whether some fact is still sent as news.
    pub fn has_news(&self) -> bool {
        self.known.values().any(|known| known.news_rounds > 0)
    }

    /// Removes the facts whose keys do not meet a condition.
    pub fn retain(&mut self, keep: impl Fn(&F::Key) -> bool) {
        self.known.retain(|key, _known| keep(key));
    }

    /// Returns at most `count` facts for one round: news first, then repeats in turn.
    pub fn next_round(&mut self, count: usize) -> Vec<(F::Key, F)> {
        let mut round = Vec::new();
        for (key, known) in &mut self.known {
            if round.len() == count {
                return round;
            }
            if known.news_rounds > 0 {
                known.news_rounds -= 1;
                round.push((key.clone(), known.fact.clone()));
            }
        }
        self.add_repeats(&mut round, count);
        round
    }

    /// Fills up a round with the facts that follow those of the last one.
    fn add_repeats(&mut self, round: &mut Vec<(F::Key, F)>, count: usize) {
        let is_news =
            |key: &F::Key, round: &[(F::Key, F)]| round.iter().any(|(sent, _)| sent == key);
        let last = self.repeated_to.take();
        let is_after = |key: &F::Key| last.as_ref().is_none_or(|last| key > last);
        let following = self.known.iter().filter(|(key, _known)| is_after(key));
        let wrapped = self.known.iter().filter(|(key, _known)| !is_after(key));
        let news_count = round.len();
        for (key, known) in following.chain(wrapped) {
            if round.len() >= count {
                break;
            }
            self.repeated_to = Some(key.clone());
            if !is_news(key, &round[..news_count]) {
                round.push((key.clone(), known.fact.clone()));
            }
        }
    }
}
