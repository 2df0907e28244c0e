//! Updates that still have to be passed on, those sent least often first.

use std::collections::{BTreeMap, HashMap};

use crate::model::names::ServerName;

/// Place in the order of sending: transmissions so far, then the newest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    transmissions: u32,
    age_rank: u64,
}

/// Names of members whose records still have to be passed on.
#[derive(Debug, Default)]
pub(super) struct UpdateQueue {
    order: BTreeMap<Place, ServerName>,
    places: HashMap<ServerName, Place>,
    added: u64,
}

impl UpdateQueue {
    pub(super) fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Adds a member whose record changed, to be sent from the start again.
    pub(super) fn add(&mut self, server: &ServerName) {
        self.remove(server);
        self.added += 1;
        let place = Place {
            transmissions: 0,
            age_rank: u64::MAX - self.added,
        };
        self.insert(server.clone(), place);
    }

    pub(super) fn remove(&mut self, server: &ServerName) {
        if let Some(place) = self.places.remove(server) {
            self.order.remove(&place);
        }
    }

    /// Members in the order in which they should be sent.
    pub(super) fn in_order(&self) -> impl Iterator<Item = &ServerName> {
        self.order.values()
    }

    /// Counts a transmission, and drops the member at the last one.
    pub(super) fn count_sent(&mut self, server: &ServerName, transmissions_max: u32) {
        let Some(mut place) = self.places.remove(server) else {
            return;
        };
        self.order.remove(&place);
        place.transmissions += 1;
        if place.transmissions < transmissions_max {
            self.insert(server.clone(), place);
        }
    }

    fn insert(&mut self, server: ServerName, place: Place) {
        self.order.insert(place, server.clone());
        self.places.insert(server, place);
    }
}
