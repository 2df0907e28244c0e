//! A request under which backend servers ended, and the crashes in which it ran.

use super::crash_watch::CrashId;
use crate::model::request_digest::RequestDigest;
use crate::model::units::US_PER_MS;

/// Number of crashes that may be a coincidence: the quarantine after them is short.
pub const COINCIDENCE_CRASHES: usize = 2;

/// Maximum number of crashes that are remembered for one request.
pub const CRASHES_MAX: usize = 8;

/// A crash during a run of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashMark {
    /// Identifies the crash.
    pub crash: CrashId,
    /// Time of the crash in µs of this node's clock; before its start if negative.
    pub at_us: i64,
    /// Whether a later run of the same request was answered.
    pub refuted: bool,
}

impl CrashMark {
    /// Creates a mark that stands, of a crash `age_ms` before `now_us`.
    pub fn with_age(crash: CrashId, age_ms: u64, now_us: u64) -> Self {
        let before_us = i64::try_from(age_ms.saturating_mul(US_PER_MS));
        Self {
            crash,
            at_us: now_us
                .cast_signed()
                .saturating_sub(before_us.unwrap_or(i64::MAX)),
            refuted: false,
        }
    }

    /// Time from the crash to `now_us`, in ms.
    pub fn age_ms(&self, now_us: u64) -> u64 {
        let elapsed_us = now_us.cast_signed().saturating_sub(self.at_us);
        elapsed_us.max(0) as u64 / US_PER_MS
    }
}

/// A request and the crashes in which it ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Suspect {
    /// Digest of the request's content.
    pub digest: RequestDigest,
    /// Crashes in which it ran, refuted ones included.
    pub marks: Vec<CrashMark>,
}

impl Suspect {
    /// Crashes that stand against the request.
    pub fn standing(&self) -> impl Iterator<Item = &CrashMark> {
        self.marks.iter().filter(|mark| !mark.refuted)
    }

    /// Whether the crashes that stand have put it in quarantine, whether that has ended or not.
    pub fn was_quarantined(&self) -> bool {
        self.standing().count() >= COINCIDENCE_CRASHES
    }

    /// Time of the last crash that stands, in µs.
    pub(super) fn last_standing_us(&self) -> Option<i64> {
        self.standing().map(|mark| mark.at_us).max()
    }

    /// Time of the last crash, refuted or not, in µs.
    pub(super) fn last_us(&self) -> i64 {
        let times = self.marks.iter().map(|mark| mark.at_us);
        times.max().unwrap_or(i64::MIN)
    }

    /// Adds a mark, or what it says of a known crash; returns whether that is new.
    pub(super) fn add(&mut self, mark: CrashMark) -> bool {
        if let Some(known) = self
            .marks
            .iter_mut()
            .find(|known| known.crash == mark.crash)
        {
            let newly_refuted = mark.refuted && !known.refuted;
            known.refuted |= mark.refuted;
            known.at_us = known.at_us.min(mark.at_us);
            return newly_refuted;
        }
        self.marks.push(mark);
        self.marks
            .sort_unstable_by_key(|mark| (mark.at_us, mark.crash));
        if self.marks.len() > CRASHES_MAX {
            self.marks.remove(0);
        }
        true
    }

    /// Whether `other` lacks a refutation that is known here.
    pub(super) fn refutes_more_than(&self, other: &Self) -> bool {
        let stands_there = |crash| other.standing().any(|mark| mark.crash == crash);
        let mut refuted = self.marks.iter().filter(|mark| mark.refuted);
        refuted.any(|mark| stands_there(mark.crash))
    }
}
