//! When a node asks for the part of the table in which a peer differs from it.

use std::net::SocketAddr;

use super::digest;
use super::member::Member;

/// Time that gossip has to even out a difference before the table is asked for, in µs.
const PATIENCE_US: u64 = 1_000_000;
/// Time between two requests while pages bring no news, in µs.
const REQUEST_PERIOD_US: u64 = 500_000;
/// Pages without news after which a node no longer asks at every tick.
const BARREN_PAGES_MAX: u32 = 3;

/// Whom to ask for a page.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Ask {
    /// Any member but a contact, if another is known.
    Anyone,
    /// A peer whose digest differed.
    Peer(SocketAddr),
}

/// Differences to peers, and the requests that even them out.
#[derive(Debug, Default)]
pub(super) struct Sync {
    /// A peer whose digest differed, not yet asked.
    differing: Option<SocketAddr>,
    differing_since_us: Option<u64>,
    /// Whether the own digest has ever equalled a peer's.
    was_in_step: bool,
    requested_at_us: u64,
    /// Pages in a row that brought nothing new.
    barren_pages: u32,
    /// Hash of the name that the next page begins with.
    pub(super) next_hash: u64,
}

impl Sync {
    /// Notes whether a peer holds the same members.
    pub(super) fn compare(&mut self, peer: SocketAddr, digest: u64, own_digest: u64, now_us: u64) {
        if digest == own_digest {
            self.was_in_step = true;
            self.barren_pages = BARREN_PAGES_MAX;
            self.differing_since_us = None;
            return;
        }
        self.differing = Some(peer);
        self.differing_since_us.get_or_insert(now_us);
    }

    /// Whom to ask now, when a request is due.
    pub(super) fn take_due(&mut self, now_us: u64) -> Option<Ask> {
        let since_us = self.differing_since_us?;
        let eager = self.barren_pages < BARREN_PAGES_MAX;
        let lasting = now_us >= since_us + PATIENCE_US;
        let rested = now_us >= self.requested_at_us + REQUEST_PERIOD_US;
        if !(eager || lasting && rested) {
            return None;
        }
        let ask = match self.differing.take() {
            Some(peer) if self.was_in_step => Ask::Peer(peer),
            None if self.was_in_step => return None,
            _ => Ask::Anyone,
        };
        self.requested_at_us = now_us;
        Some(ask)
    }

    /// Continues after the page's last record.
    pub(super) fn note_page(&mut self, last: &Member, brought_news: bool) {
        self.next_hash = digest::name_hash(&last.server).wrapping_add(1);
        self.barren_pages = if brought_news {
            0
        } else {
            self.barren_pages.saturating_add(1)
        };
    }
}
