//! When a node asks for the part of the table in which a peer differs from it.

use std::net::SocketAddr;

use super::digest;
use super::member::Member;
use super::message::BUCKETS;

/// Time that gossip has to even out a difference before the table is asked for, in µs.
const PATIENCE_US: u64 = 1_000_000;
/// Time between two requests of a node that was in step before, in µs.
const REQUEST_PERIOD_US: u64 = 500_000;

/// Differences to peers, and the requests that even them out.
#[derive(Debug, Default)]
pub(super) struct Sync {
    /// A peer whose digest differed, not yet asked.
    differing: Option<SocketAddr>,
    differing_since_us: Option<u64>,
    /// Whether the own digest has ever equalled a peer's.
    was_in_step: bool,
    requested_at_us: u64,
    /// Bucket that the next page begins with.
    pub(super) next_bucket: usize,
}

impl Sync {
    /// Notes whether a peer holds the same members.
    pub(super) fn compare(&mut self, peer: SocketAddr, digest: u64, own_digest: u64, now_us: u64) {
        if digest == own_digest {
            self.was_in_step = true;
            self.differing_since_us = None;
            return;
        }
        self.differing = Some(peer);
        self.differing_since_us.get_or_insert(now_us);
    }

    /// The peer to ask now, if one is due.
    pub(super) fn take_due(&mut self, now_us: u64) -> Option<SocketAddr> {
        let since_us = self.differing_since_us?;
        if self.was_in_step {
            let lasting = now_us >= since_us + PATIENCE_US;
            let rested = now_us >= self.requested_at_us + REQUEST_PERIOD_US;
            if !(lasting && rested) {
                return None;
            }
        }
        let peer = self.differing.take()?;
        self.requested_at_us = now_us;
        Some(peer)
    }

    /// Continues with the bucket of the page's last record.
    pub(super) fn note_page(&mut self, records: &[Member]) {
        if let Some(last) = records.last() {
            let hash = digest::name_hash(&last.server);
            self.next_bucket = digest::bucket(hash) % BUCKETS;
        }
    }
}
