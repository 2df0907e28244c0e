//! Whether a node is cut off, so that its configuration may be older than the bound.
//!
//! A node is in touch while it reads the log itself, or hears from at least half of the
//! availability zones of its region, its own among them. A mere outage of the log therefore cuts
//! nobody off; a single node, a lone zone of three and a process that wakes from a long pause are.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::model::names::ZoneName;

/// Time after which an availability zone that stays silent is no longer expected, in µs.
const ZONE_EXPECTED_FOR_US: u64 = 4 * 3_600 * 1_000_000;

/// When this node last heard from the log and from each availability zone of its region.
#[derive(Debug, Clone)]
pub struct KnowledgeAge {
    region: Arc<str>,
    age_max_us: u64,
    log_read_at_us: Option<u64>,
    zones_heard_at_us: BTreeMap<ZoneName, u64>,
}

impl KnowledgeAge {
    /// Knows of nobody. An `age_max_us` of zero lets any age pass.
    pub fn new(region: Arc<str>, age_max_us: u64) -> Self {
        Self {
            region,
            age_max_us,
            log_read_at_us: None,
            zones_heard_at_us: BTreeMap::new(),
        }
    }

    /// Notes that the log was read to its end.
    pub fn record_log_read(&mut self, now_us: u64) {
        self.log_read_at_us = Some(now_us);
    }

    /// Notes that a live node of an availability zone became known.
    pub fn expect_zone(&mut self, region: &str, zone: &ZoneName, now_us: u64) {
        if region == self.region.as_ref() && !self.zones_heard_at_us.contains_key(zone) {
            self.zones_heard_at_us.insert(zone.clone(), now_us);
        }
    }

    /// Notes a message from another node.
    pub fn record_message(&mut self, region: &str, zone: &ZoneName, now_us: u64) {
        self.expect_zone(region, zone, now_us);
        if region != self.region.as_ref() {
            return;
        }
        if let Some(heard_at_us) = self.zones_heard_at_us.get_mut(zone) {
            *heard_at_us = now_us.max(*heard_at_us);
        }
    }

    /// Whether new work must be refused since a change may have been missed.
    pub fn is_stale(&self, now_us: u64) -> bool {
        if self.age_max_us == 0 || self.zones_heard_at_us.is_empty() {
            return false;
        }
        let recent = |heard_at_us: u64| now_us.saturating_sub(heard_at_us) <= self.age_max_us;
        if self.log_read_at_us.is_some_and(recent) {
            return false;
        }
        let heard_times = self.zones_heard_at_us.values().copied();
        let expected = heard_times
            .filter(|heard_at_us| now_us.saturating_sub(*heard_at_us) <= ZONE_EXPECTED_FOR_US);
        let heard = self
            .zones_heard_at_us
            .values()
            .filter(|heard_at_us| recent(**heard_at_us));
        heard.count() * 2 < expected.count()
    }
}
