//! Announcements of backend servers and the order in which they apply.

use std::sync::Arc;

use crate::model::names::ServiceName;
use crate::model::rollout::Version;

/// Whether a backend server accepts new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnnouncedState {
    /// Accepts new work.
    Ready,
    /// Finishes its current requests and accepts no new ones.
    Draining,
    /// Shutting down; it may still finish its current requests.
    Gone,
}

/// One announcement of the local backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    /// Identifier of the backend server; a later start may reuse it.
    pub instance: Arc<str>,
    /// Service that the backend server belongs to.
    pub service: ServiceName,
    /// Version of its software; none if not announced.
    pub version: Option<Version>,
    /// Start time in Unix ms; zero when not announced.
    pub start_time_ms: u64,
    /// Sequence number among the announcements of one start.
    pub sequence: u64,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts new work.
    pub state: AnnouncedState,
    /// Remaining time of its cold start, in µs.
    pub cold_left_us: u64,
}

/// The last message of a backend server that is shutting down.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Departure {
    /// Identifier of the backend server.
    pub instance: Arc<str>,
    /// Start time in Unix ms; zero when not announced.
    pub start_time_ms: u64,
    /// When the message was received, in Unix ms.
    pub received_ms: u64,
}

impl Departure {
    /// Returns the departure as an announcement that follows `known`, the last one applied.
    ///
    /// A departure of another start than the known one has no effect. If none is known, all
    /// starts of the backend server up to now have ended, so a late heartbeat of one of them is
    /// stale.
    pub fn announcement(
        self,
        known: Option<&Announcement>,
        service: &ServiceName,
    ) -> Option<Announcement> {
        let Some(known) = known else {
            let start_time_ms = match self.start_time_ms {
                0 => self.received_ms,
                announced_ms => announced_ms,
            };
            return Some(Announcement {
                instance: self.instance,
                version: None,
                service: service.clone(),
                start_time_ms,
                // No other announcement of this start may follow.
                sequence: u64::MAX,
                slots: 1,
                state: AnnouncedState::Gone,
                cold_left_us: 0,
            });
        };
        let is_known_start = known.instance == self.instance
            && (self.start_time_ms == 0 || self.start_time_ms == known.start_time_ms);
        is_known_start.then(|| Announcement {
            sequence: known.sequence.saturating_add(1),
            state: AnnouncedState::Gone,
            ..known.clone()
        })
    }
}

/// How an announcement relates to the last one applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// From another start of a backend server.
    NewStart,
    /// A later announcement of the same start.
    Newer,
    /// Not newer than the known announcement; has no effect.
    Stale,
}

impl Announcement {
    /// Compares this announcement with the last one applied.
    pub fn freshness(&self, known: Option<&Self>) -> Freshness {
        let Some(known) = known else {
            return Freshness::NewStart;
        };
        if self.start_time_ms != known.start_time_ms {
            return if self.start_time_ms > known.start_time_ms {
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
