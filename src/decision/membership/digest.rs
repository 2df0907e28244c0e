//! Digests that show whether two member tables are equal.

use crate::decision::splitmix64::mix;
use crate::model::names::ServerName;

use super::member::{Member, MemberState};
use super::message::BUCKETS;

/// Hash of a server name; the same on every node.
pub(super) fn name_hash(server: &ServerName) -> u64 {
    let hash = blake3::hash(server.as_str().as_bytes());
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(prefix)
}

/// Bucket of a name hash; bucket order follows hash order.
pub(super) fn bucket(name_hash: u64) -> usize {
    (name_hash >> (u64::BITS - BUCKETS.ilog2())) as usize
}

/// Digest of one record; zero if the member is dead.
///
/// A suspect has the same digest as an alive member, since each node times suspicions on its own.
fn record_digest(member: &Member, name_hash: u64) -> u64 {
    let leaving = match member.state {
        MemberState::Dead => return 0,
        MemberState::Leaving => 1,
        MemberState::Alive | MemberState::Suspect => 0,
    };
    let revision = u64::from(member.revision) << 1 | leaving;
    mix(mix(name_hash ^ member.incarnation.0).wrapping_add(revision))
}

/// XOR digests of a set of records: of all records, and of each bucket.
#[derive(Debug, Clone)]
pub(super) struct Digests {
    combined: u64,
    buckets: [u32; BUCKETS],
}

impl Digests {
    pub(super) fn new() -> Self {
        Self {
            combined: 0,
            buckets: [0; BUCKETS],
        }
    }

    /// Digest of all records and one more.
    pub(super) fn combined_with(&self, member: &Member, name_hash: u64) -> u64 {
        self.combined ^ record_digest(member, name_hash)
    }

    /// Adds a record, or removes it if it was added before.
    pub(super) fn toggle(&mut self, member: &Member, name_hash: u64) {
        let digest = record_digest(member, name_hash);
        self.combined ^= digest;
        self.buckets[bucket(name_hash)] ^= digest as u32;
    }

    pub(super) fn buckets(&self) -> &[u32; BUCKETS] {
        &self.buckets
    }
}
