//! Updates that still have to be passed on, those sent least often first.

use std::collections::{BTreeMap, HashMap};

use crate::model::names::ServerName;

/// Place in the order of sending: transmissions so far, then the newest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct SendRank {
    transmissions: u32,
    newest_first: u64,
}

/// Names of members whose records still have to be passed on.
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

    /// Adds a member whose record changed, to be sent from the start again.
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

    /// Members in the order in which they should be sent.
    pub(super) fn in_order(&self) -> impl Iterator<Item = &ServerName> {
        self.order.values()
    }

    /// Counts a transmission, and drops the member at the last one.
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
