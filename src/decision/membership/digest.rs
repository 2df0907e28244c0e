//! Digests that tell whether two nodes hold the same members.

use crate::decision::splitmix64::mix;
use crate::model::names::ServerName;

use super::member::{Member, MemberState};
use super::message::BUCKETS;

/// Hash of a name, equal on every node.
pub(super) fn name_hash(server: &ServerName) -> u64 {
    let hash = blake3::hash(server.as_str().as_bytes());
    let mut word = [0; 8];
    word.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(word)
}

/// Bucket that a name belongs to; names in order of hash are in order of bucket.
pub(super) fn bucket(name_hash: u64) -> usize {
    (name_hash >> (u64::BITS - BUCKETS.ilog2())) as usize
}

/// Digest of one record; zero for a dead one.
///
/// A suspicion is left out: its timers are each node's own.
fn record_digest(member: &Member, name_hash: u64) -> u64 {
    let leaving = match member.state {
        MemberState::Dead => return 0,
        MemberState::Leaving => 1,
        MemberState::Alive | MemberState::Suspect => 0,
    };
    let revision = u64::from(member.revision) << 1 | leaving;
    mix(mix(name_hash ^ member.incarnation.0).wrapping_add(revision))
}

/// Digest of a set of records, and of each bucket of it.
#[derive(Debug, Clone)]
pub(super) struct Digests {
    whole: u64,
    buckets: [u32; BUCKETS],
}

impl Digests {
    pub(super) fn new() -> Self {
        Self {
            whole: 0,
            buckets: [0; BUCKETS],
        }
    }

    /// Digest of the whole set with one more record.
    pub(super) fn whole_with(&self, member: &Member, name_hash: u64) -> u64 {
        self.whole ^ record_digest(member, name_hash)
    }

    /// Adds a record, or takes it out when it was added before.
    pub(super) fn toggle(&mut self, member: &Member, name_hash: u64) {
        let digest = record_digest(member, name_hash);
        self.whole ^= digest;
        self.buckets[bucket(name_hash)] ^= digest as u32;
    }

    pub(super) fn buckets(&self) -> &[u32; BUCKETS] {
        &self.buckets
    }
}
