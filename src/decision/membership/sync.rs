//! Anti-entropy: when to request the differing records from a peer, and from which one.

use std::net::SocketAddr;

use super::digest;
use super::member::Member;

/// Time for gossip to resolve a difference before a page is requested, in µs.
const SYNC_DELAY_US: u64 = 1_000_000;
/// Minimum interval between requests while pages bring no changes, in µs.
const REQUEST_PERIOD_US: u64 = 500_000;
/// Consecutive pages without changes that end the requests at every tick.
const PAGES_WITHOUT_CHANGES_MAX: u32 = 3;

/// Receiver of a page request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SyncTarget {
    /// Any member; a contact only if no other is known.
    AnyMember,
    /// A peer with a different digest.
    Peer(SocketAddr),
}

/// Digest differences from peers, and the page requests that resolve them.
#[derive(Debug, Default)]
pub(super) struct TableSync {
    /// The last peer with a different digest, while no page was requested from it.
    differing_peer: Option<SocketAddr>,
    differing_since_us: Option<u64>,
    /// Whether this node's digest has ever equalled that of a peer.
    was_ever_in_sync: bool,
    requested_at_us: u64,
    /// Consecutive pages that brought no changes.
    pages_without_changes: u32,
    /// Name hash from which the next page starts.
    pub(super) next_hash: u64,
}

impl TableSync {
    /// Records whether a peer has the same members.
    pub(super) fn compare_digests(
        &mut self,
        peer: SocketAddr,
        digest: u64,
        own_digest: u64,
        now_us: u64,
    ) {
        if digest == own_digest {
            self.was_ever_in_sync = true;
            self.pages_without_changes = PAGES_WITHOUT_CHANGES_MAX;
            self.differing_since_us = None;
            return;
        }
        self.differing_peer = Some(peer);
        self.differing_since_us.get_or_insert(now_us);
    }

    /// Receiver of a page request, if one is due now.
    pub(super) fn take_due_target(&mut self, now_us: u64) -> Option<SyncTarget> {
        let since_us = self.differing_since_us?;
        let eager = self.pages_without_changes < PAGES_WITHOUT_CHANGES_MAX;
        let delay_elapsed = now_us >= since_us + SYNC_DELAY_US;
        let period_elapsed = now_us >= self.requested_at_us + REQUEST_PERIOD_US;
        if !(eager || delay_elapsed && period_elapsed) {
            return None;
        }
        let target = match self.differing_peer.take() {
            Some(peer) if self.was_ever_in_sync => SyncTarget::Peer(peer),
            None if self.was_ever_in_sync => return None,
            _ => SyncTarget::AnyMember,
        };
        self.requested_at_us = now_us;
        Some(target)
    }

    /// Records a received page; the next one starts after its last record.
    pub(super) fn record_page(&mut self, last: &Member, had_changes: bool) {
        self.next_hash = digest::name_hash(&last.server).wrapping_add(1);
        self.pages_without_changes = if had_changes {
            0
        } else {
            self.pages_without_changes.saturating_add(1)
        };
    }
}
