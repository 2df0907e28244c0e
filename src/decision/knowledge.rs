//! Detects that a node's configuration may be stale because the node is isolated.
//!
//! A node's knowledge is current while it reads the log itself, or receives messages from at least
//! half of the availability zones of its region, its own included. An outage of the log alone
//! therefore makes no node stale. A node that has lost all contact, one zone of three that hears
//! only itself, and a process that resumes after a long pause are stale.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::model::names::ZoneName;

/// Time without messages after which a zone is no longer expected to send any, in µs.
const ZONE_EXPECTED_FOR_US: u64 = 4 * 3_600 * 1_000_000;

/// Times of last contact with the log and with each zone of the region.
#[derive(Debug, Clone)]
pub struct KnowledgeAge {
    region: Arc<str>,
    age_max_us: u64,
    log_read_at_us: Option<u64>,
    zones_heard_at_us: BTreeMap<ZoneName, u64>,
}

impl KnowledgeAge {
    /// Starts without any contact.
    ///
    /// Contacts older than `age_max_us` do not count; zero turns the check off.
    pub fn new(region: Arc<str>, age_max_us: u64) -> Self {
        Self {
            region,
            age_max_us,
            log_read_at_us: None,
            zones_heard_at_us: BTreeMap::new(),
        }
    }

    /// Records that the log was read to its end.
    pub fn record_log_read(&mut self, now_us: u64) {
        self.log_read_at_us = Some(now_us);
    }

    /// Records that a live node of an availability zone became known.
    pub fn expect_zone(&mut self, region: &str, zone: &ZoneName, now_us: u64) {
        if region == self.region.as_ref() && !self.zones_heard_at_us.contains_key(zone) {
            self.zones_heard_at_us.insert(zone.clone(), now_us);
        }
    }

    /// Records a message from another node.
    pub fn record_message(&mut self, region: &str, zone: &ZoneName, now_us: u64) {
        self.expect_zone(region, zone, now_us);
        if region != self.region.as_ref() {
            return;
        }
        if let Some(heard_at_us) = self.zones_heard_at_us.get_mut(zone) {
            *heard_at_us = now_us.max(*heard_at_us);
        }
    }

    /// Whether new work must be refused because a configuration change may have been missed.
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
