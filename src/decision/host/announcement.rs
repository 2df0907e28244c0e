//! Order of what backend servers announce of themselves.

use std::sync::Arc;

use crate::model::names::ServiceName;

/// Whether a backend server takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnnouncedState {
    /// Takes new work.
    Ready,
    /// Finishes what it has.
    Draining,
    /// Ends; it may still finish what it has.
    Gone,
}

/// One announcement of the backend server beside this node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    /// Identifier of the backend server; may be used again by a later start.
    pub instance: Arc<str>,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// When it started, in ms of the time of day; zero when it does not say.
    pub born_ms: u64,
    /// Order of announcements of one start.
    pub sequence: u64,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: AnnouncedState,
    /// How much longer it is cold, in µs.
    pub cold_left_us: u64,
}

/// What an announcement changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// Another start of a backend server.
    NewStart,
    /// A later word of the same start.
    Newer,
    /// Older than what is known; changes nothing.
    Stale,
}

impl Announcement {
    /// How this one relates to the latest that is known.
    pub fn freshness(&self, known: Option<&Self>) -> Freshness {
        let Some(known) = known else {
            return Freshness::NewStart;
        };
        if self.born_ms != known.born_ms {
            return if self.born_ms > known.born_ms {
                Freshness::NewStart
            } else {
                Freshness::Stale
            };
        }
        if self.instance != known.instance {
            return Freshness::NewStart;
        }
        if self.sequence > known.sequence {
            Freshness::Newer
        } else {
            Freshness::Stale
        }
    }
}
