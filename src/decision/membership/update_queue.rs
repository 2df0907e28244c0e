//! Queue of updates to disseminate; the least transmitted ones come first.

use std::collections::{BTreeMap, HashMap};

use crate::model::names::ServerName;

/// Sort key of an update: fewest transmissions first, then newest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct SendRank {
    transmissions: u32,
    /// Counts down with each addition, so that newer updates sort first.
    newest_first: u64,
}

/// Members whose records still have to be disseminated.
#[derive(Debug, Default)]
pub(super) struct UpdateQueue {
    order: BTreeMap<SendRank, ServerName>,
    ranks: HashMap<ServerName, SendRank>,
    additions: u64,
}

impl UpdateQueue {
    pub(super) fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Adds a member whose record changed; its transmissions are counted from zero again.
    pub(super) fn add(&mut self, server: &ServerName) {
        self.remove(server);
        self.additions += 1;
        let rank = SendRank {
            transmissions: 0,
            newest_first: u64::MAX - self.additions,
        };
        self.insert(server.clone(), rank);
    }

    pub(super) fn remove(&mut self, server: &ServerName) {
        if let Some(rank) = self.ranks.remove(server) {
            self.order.remove(&rank);
        }
    }

    /// Members in sending order.
    pub(super) fn in_order(&self) -> impl Iterator<Item = &ServerName> {
        self.order.values()
    }

    /// Counts a transmission, and removes the member after the last one.
    pub(super) fn record_transmission(&mut self, server: &ServerName, transmissions_max: u32) {
        let Some(mut rank) = self.ranks.remove(server) else {
            return;
        };
        self.order.remove(&rank);
        rank.transmissions += 1;
        if rank.transmissions < transmissions_max {
            self.insert(server.clone(), rank);
        }
    }

    fn insert(&mut self, server: ServerName, rank: SendRank) {
        self.order.insert(rank, server.clone());
        self.ranks.insert(server, rank);
    }
}
