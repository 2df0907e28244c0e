//! When a node asks for the part of the table in which a peer differs from it.

use std::net::SocketAddr;

use super::digest;
use super::member::Member;

/// Time that gossip has to even out a difference before the table is asked for, in µs.
const SYNC_DELAY_US: u64 = 1_000_000;
/// Time between two requests while pages bring no news, in µs.
const REQUEST_PERIOD_US: u64 = 500_000;
/// Pages without news after which a node no longer asks at every tick.
const PAGES_WITHOUT_CHANGES_MAX: u32 = 3;

/// Whom to ask for a page.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SyncTarget {
    /// Any member but a contact, if another is known.
    AnyMember,
    /// A peer whose digest differed.
    Peer(SocketAddr),
}

/// Differences to peers, and the requests that even them out.
#[derive(Debug, Default)]
pub(super) struct TableSync {
    /// A peer whose digest differed, not yet asked.
    differing_peer: Option<SocketAddr>,
    differing_since_us: Option<u64>,
    /// Whether the own digest has ever equalled a peer's.
    was_ever_in_sync: bool,
    requested_at_us: u64,
    /// Pages in a row that brought nothing new.
    pages_without_changes: u32,
    /// Hash of the name that the next page begins with.
    pub(super) next_hash: u64,
}

impl TableSync {
    /// Notes whether a peer holds the same members.
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

    /// Whom to ask now, when a request is due.
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

    /// Continues after the page's last record.
    pub(super) fn record_page(&mut self, last: &Member, had_changes: bool) {
        self.next_hash = digest::name_hash(&last.server).wrapping_add(1);
        self.pages_without_changes = if had_changes {
            0
        } else {
            self.pages_without_changes.saturating_add(1)
        };
    }
}
