//! Whether a node is cut off, so that its configuration may be older than the bound.
//!
//! A node is in touch while it reads the log itself, or hears from at least half of the
//! availability zones of its region, its own among them. A mere outage of the log therefore cuts
//! nobody off; a single node, a lone zone of three and a process that wakes from a long pause are.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::model::names::ZoneName;

/// Time after which an availability zone that stays silent is no longer expected, in µs.
const EXPECTED_US: u64 = 4 * 3_600 * 1_000_000;

/// When this node last heard from the log and from each availability zone of its region.
#[derive(Debug, Clone)]
pub struct Knowledge {
    region: Arc<str>,
    bound_us: u64,
    log_read_us: Option<u64>,
    zones_heard_us: BTreeMap<ZoneName, u64>,
}

impl Knowledge {
    /// Knows of nobody. A `bound_us` of zero lets any age pass.
    pub fn new(region: Arc<str>, bound_us: u64) -> Self {
        Self {
            region,
            bound_us,
            log_read_us: None,
            zones_heard_us: BTreeMap::new(),
        }
    }

    /// Notes that the log was read to its end.
    pub fn log_read(&mut self, now_us: u64) {
        self.log_read_us = Some(now_us);
    }

    /// Notes that a live node of an availability zone became known.
    pub fn expect(&mut self, region: &str, zone: &ZoneName, now_us: u64) {
        if region == self.region.as_ref() && !self.zones_heard_us.contains_key(zone) {
            self.zones_heard_us.insert(zone.clone(), now_us);
        }
    }

    /// Notes a message from another node.
    pub fn heard(&mut self, region: &str, zone: &ZoneName, now_us: u64) {
        self.expect(region, zone, now_us);
        if region != self.region.as_ref() {
            return;
        }
        if let Some(heard_us) = self.zones_heard_us.get_mut(zone) {
            *heard_us = now_us.max(*heard_us);
        }
    }

    /// Whether new work must be refused since a change may have been missed.
    pub fn is_cut_off(&self, now_us: u64) -> bool {
        if self.bound_us == 0 || self.zones_heard_us.is_empty() {
            return false;
        }
        let recent = |at_us: u64| now_us.saturating_sub(at_us) <= self.bound_us;
        if self.log_read_us.is_some_and(recent) {
            return false;
        }
        let ages = self.zones_heard_us.values().copied();
        let expected = ages.filter(|at_us| now_us.saturating_sub(*at_us) <= EXPECTED_US);
        let heard = self.zones_heard_us.values().filter(|at_us| recent(**at_us));
        heard.count() * 2 < expected.count()
    }
}
