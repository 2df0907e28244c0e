//! Tells the end of a backend server from the loss of a connection to it.
//!
//! A run whose connection was lost may have met a reset link, or the end of the backend server. It
//! was the end if nothing listens at the address afterwards, or another process answers there. It
//! was not if the same process answers a request that was sent afterwards.

use std::fmt;
use std::sync::Arc;

use crate::model::request_digest::RequestDigest;
use crate::model::units::US_PER_S;

/// Time in which a lost run is explained, in µs; longer than a backend server takes to restart.
const UNEXPLAINED_TIME_MAX_US: u64 = 10 * US_PER_S;

/// Maximum number of lost runs that are not explained yet.
const UNEXPLAINED_MAX: usize = 512;

/// Identifies the end of one backend server process; chosen at random by the node beside it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CrashId(pub u64);

impl fmt::Display for CrashId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A run whose connection to the backend server was lost.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LostRun {
    /// Identifier of the request.
    pub id: Arc<str>,
    /// Digest of its content.
    pub digest: RequestDigest,
    /// Backend server that it was sent to.
    pub instance: Arc<str>,
    /// Time of the loss, in µs.
    pub at_us: u64,
}

/// The end of a backend server, and runs that it ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Crash {
    /// Identifier of this end; the same if it ended runs that are found later.
    pub id: CrashId,
    /// Backend server that ended.
    pub instance: Arc<str>,
    /// Runs that it ended and that were not reported before.
    pub runs: Vec<LostRun>,
}

/// Lost runs at one backend server that are not explained yet.
#[derive(Debug, Default)]
pub struct CrashWatch {
    unexplained: Vec<LostRun>,
    /// Backend server whose end was noticed last, until a process answers at the address.
    ended: Option<(Arc<str>, CrashId)>,
}

impl CrashWatch {
    /// Records a lost run.
    ///
    /// Of more than fit, the oldest is dropped.
    pub fn lost(&mut self, run: LostRun) {
        self.expire(run.at_us);
        if self.unexplained.len() >= UNEXPLAINED_MAX {
            self.unexplained.remove(0);
        }
        self.unexplained.push(run);
    }

    /// Records that nothing listens at the address; returns the crash if runs were lost by it.
    pub fn nothing_listens(&mut self, new_id: CrashId, now_us: u64) -> Option<Crash> {
        self.expire(now_us);
        let instance = Arc::clone(&self.unexplained.last()?.instance);
        Some(self.crash_of(instance, new_id))
    }

    /// Records an answer of an instance to a request that was sent at `sent_us`.
    ///
    /// Returns the crash of the instance that was there before, if it lost runs.
    pub fn answered(
        &mut self,
        instance: &str,
        sent_us: u64,
        new_id: CrashId,
        now_us: u64,
    ) -> Option<Crash> {
        self.expire(now_us);
        self.unexplained
            .retain(|run| *run.instance != *instance || run.at_us >= sent_us);
        let before = self
            .unexplained
            .iter()
            .find(|run| *run.instance != *instance);
        let crash = before
            .map(|run| Arc::clone(&run.instance))
            .map(|before| self.crash_of(before, new_id));
        self.ended = None;
        crash
    }

    /// Whether lost runs are not explained yet.
    pub fn is_waiting(&self) -> bool {
        !self.unexplained.is_empty()
    }

    /// Takes the lost runs of an instance that ended.
    fn crash_of(&mut self, instance: Arc<str>, new_id: CrashId) -> Crash {
        let known = self
            .ended
            .as_ref()
            .filter(|(ended, _id)| *ended == instance);
        let id = known.map_or(new_id, |(_ended, id)| *id);
        self.ended = Some((Arc::clone(&instance), id));
        let runs = self
            .unexplained
            .extract_if(.., |run| run.instance == instance);
        Crash {
            id,
            runs: runs.collect(),
            instance,
        }
    }

    fn expire(&mut self, now_us: u64) {
        self.unexplained
            .retain(|run| run.at_us + UNEXPLAINED_TIME_MAX_US > now_us);
    }
}
