//! Requests under which backend servers ended, and which of them are in quarantine.
//!
//! A request that ends each backend server which runs it comes again with a new identifier, at any
//! host. All nodes share what they have seen: for each digest of a request the crashes in which it
//! ran. A crash is marked as refuted once a later run of the same request was answered, since the
//! request then only happened to run there. Marks are only ever added, so nodes agree in whatever
//! order, and however often, they hear of them.
//!
//! With two marks that stand, a request is in quarantine for a short time, in which a proper request
//! would have been answered elsewhere; with three or more, for a long time.

use std::collections::{BTreeMap, VecDeque};

use super::crash_watch::CrashId;
use super::suspect::{COINCIDENCE_CRASHES, CRASHES_MAX, CrashMark, Suspect};
use crate::model::request_digest::RequestDigest;
use crate::model::units::US_PER_S;

/// Length of the quarantine after [`COINCIDENCE_CRASHES`], in µs.
const SHORT_QUARANTINE_US: u64 = 60 * US_PER_S;

/// Length of the quarantine after more crashes, in µs.
const LONG_QUARANTINE_US: u64 = 24 * 60 * 60 * US_PER_S;

/// Longest time by which one node ends a quarantine later than another, in µs.
///
/// The first run after a quarantine then shows the other nodes whether the request still crashes.
pub const TRIAL_DELAY_MAX_US: u64 = 30 * US_PER_S;

/// Time for which a crash is remembered, in µs.
const RETENTION_US: u64 = LONG_QUARANTINE_US + TRIAL_DELAY_MAX_US;

/// Maximum number of requests that are remembered.
const SUSPECTS_MAX: usize = 1_024;

/// Number of times that news is sent to all other nodes; datagrams may be lost.
const NEWS_ROUNDS: u8 = 3;

/// Time after a crash in which it is repeated to nodes that may have missed the news, in µs.
const REPEATED_FOR_US: u64 = 60 * US_PER_S;

/// Maximum number of requests that are repeated at once.
const REPEATED_MAX: usize = 30;

/// A quarantine that holds now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Quarantine {
    /// Number of crashes that stand against the request.
    pub crashes: usize,
    /// Time until it ends, in µs.
    pub left_us: u64,
}

/// What this node knows of requests under which backend servers ended.
#[derive(Debug)]
pub struct PoisonRequests {
    suspects: BTreeMap<RequestDigest, Suspect>,
    /// Requests of which the other nodes are yet to hear, and how often.
    news: VecDeque<(RequestDigest, u8)>,
    trial_delay_us: u64,
}

impl PoisonRequests {
    /// Creates an empty memory; `trial_delay_us` is drawn up to [`TRIAL_DELAY_MAX_US`].
    pub fn new(trial_delay_us: u64) -> Self {
        Self {
            suspects: BTreeMap::new(),
            news: VecDeque::new(),
            trial_delay_us,
        }
    }

    /// Whether no request is suspected.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Whether a backend server ended under a request.
    pub fn contains(&self, digest: &RequestDigest) -> bool {
        self.suspects.contains_key(digest)
    }

    /// A request and the crashes in which it ran.
    pub fn get(&self, digest: &RequestDigest) -> Option<&Suspect> {
        self.suspects.get(digest)
    }

    /// Returns the quarantine of a request, if it is in one.
    pub fn quarantine(&self, digest: &RequestDigest, now_us: u64) -> Option<Quarantine> {
        let suspect = self.suspects.get(digest)?;
        let crashes = suspect.standing().count();
        let length_us = match crashes {
            0..COINCIDENCE_CRASHES => return None,
            COINCIDENCE_CRASHES => SHORT_QUARANTINE_US,
            _ => LONG_QUARANTINE_US,
        };
        let ends_us = suspect.last_standing_us()? + (length_us + self.trial_delay_us).cast_signed();
        let left_us = u64::try_from(ends_us - now_us.cast_signed()).ok()?;
        (left_us > 0).then_some(Quarantine { crashes, left_us })
    }

    /// Number of requests that are in quarantine.
    pub fn quarantined_count(&self, now_us: u64) -> usize {
        let digests = self.suspects.keys();
        digests
            .filter(|digest| self.quarantine(digest, now_us).is_some())
            .count()
    }

    /// Records that the local backend server ended under a request.
    pub fn record_crash(&mut self, digest: RequestDigest, crash: CrashId, at_us: u64, now_us: u64) {
        let mark = CrashMark {
            crash,
            at_us: at_us.cast_signed(),
            refuted: false,
        };
        let seen = Suspect {
            digest,
            marks: vec![mark],
        };
        if self.add(&seen, now_us) {
            self.spread(digest);
        }
    }

    /// Records that the local backend server answered a request; returns whether that is news.
    pub fn record_answer(&mut self, digest: &RequestDigest) -> bool {
        let Some(suspect) = self.suspects.get_mut(digest) else {
            return false;
        };
        let stood = suspect.standing().next().is_some();
        suspect
            .marks
            .iter_mut()
            .for_each(|mark| mark.refuted = true);
        if stood {
            self.spread(*digest);
        }
        stood
    }

    /// Applies what another node knows of a request; returns whether it is news here.
    ///
    /// If it lacks what is known here, it will hear of it.
    pub fn merge(&mut self, heard: &Suspect, now_us: u64) -> bool {
        let is_outdated = self
            .suspects
            .get(&heard.digest)
            .is_some_and(|known| known.refutes_more_than(heard));
        if is_outdated {
            self.spread(heard.digest);
        }
        self.add(heard, now_us)
    }

    /// Takes what all other nodes should hear now; it is sent a few times.
    pub fn take_news(&mut self) -> Vec<Suspect> {
        let due = std::mem::take(&mut self.news);
        let mut news = Vec::new();
        for (digest, rounds_left) in due {
            news.extend(self.suspects.get(&digest).cloned());
            if rounds_left > 1 {
                self.news.push_back((digest, rounds_left - 1));
            }
        }
        news
    }

    /// Whether [`Self::take_news`] has something to send.
    pub fn has_news(&self) -> bool {
        !self.news.is_empty()
    }

    /// What a node that may have missed news should hear, from the digest `from` on.
    pub fn repeated(&self, from: RequestDigest, now_us: u64) -> Vec<Suspect> {
        let after = self.suspects.range(from..);
        let before = self.suspects.range(..from);
        let repeated = after.chain(before).filter(|(digest, suspect)| {
            suspect.last_us() + REPEATED_FOR_US.cast_signed() > now_us.cast_signed()
                || self.quarantine(digest, now_us).is_some()
        });
        let suspects = repeated.map(|(_digest, suspect)| suspect.clone());
        suspects.take(REPEATED_MAX).collect()
    }

    fn add(&mut self, heard: &Suspect, now_us: u64) -> bool {
        let expired =
            |mark: &CrashMark| mark.at_us + RETENTION_US.cast_signed() < now_us.cast_signed();
        self.suspects.retain(|_digest, suspect| {
            suspect.marks.retain(|mark| !expired(mark));
            !suspect.marks.is_empty()
        });
        let marks = heard.marks.iter().filter(|mark| !expired(mark));
        let mut is_new = false;
        for mark in marks.take(CRASHES_MAX) {
            let suspect = self.suspects.entry(heard.digest).or_insert(Suspect {
                digest: heard.digest,
                marks: Vec::new(),
            });
            is_new |= suspect.add(*mark);
        }
        self.evict();
        is_new
    }

    /// Forgets the request with the fewest and oldest crashes if there are too many.
    fn evict(&mut self) {
        if self.suspects.len() <= SUSPECTS_MAX {
            return;
        }
        let weight = |suspect: &Suspect| (suspect.standing().count(), suspect.last_us());
        let least = self.suspects.values().min_by_key(|suspect| weight(suspect));
        if let Some(digest) = least.map(|suspect| suspect.digest) {
            self.suspects.remove(&digest);
        }
    }

    fn spread(&mut self, digest: RequestDigest) {
        self.news.retain(|(known, _rounds)| *known != digest);
        self.news.push_back((digest, NEWS_ROUNDS));
    }
}
