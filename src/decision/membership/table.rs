//! Table of the other members that a node knows.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use crate::decision::splitmix64::SplitMix64;
use crate::model::names::ServerName;

use super::digest::{self, Digests};
use super::member::{Member, MemberState};

/// Maximum number of members in the table, including dead ones.
const MEMBERS_MAX: usize = 4_096;
/// Random draws for a matching member before the table is scanned.
const RANDOM_DRAWS_MAX: usize = 8;

/// A member's record with the state that only this node keeps about it.
#[derive(Debug, Clone)]
pub(super) struct Entry {
    pub(super) member: Member,
    pub(super) name_hash: u64,
    /// When the member itself last answered a probe or a request.
    pub(super) last_heard_at_us: Option<u64>,
    /// When a suspect becomes dead.
    pub(super) suspicion_ends_at_us: u64,
    /// When its dead record was stored; only meaningful for a dead member.
    pub(super) dead_since_us: u64,
    /// Whether it is suspected only because others reported it dead.
    pub(super) reported_dead: bool,
}

impl Entry {
    pub(super) fn is_suspect(&self) -> bool {
        self.member.state == MemberState::Suspect
    }
}

/// The other members that a node knows; the node itself is not among them.
#[derive(Debug)]
pub(super) struct MemberTable {
    entries: Vec<Entry>,
    positions: HashMap<ServerName, usize>,
    by_hash: BTreeMap<u64, usize>,
    suspects: Vec<usize>,
    present_count: usize,
    digests: Digests,
}

impl MemberTable {
    pub(super) fn new() -> Self {
        Self {
            entries: Vec::new(),
            positions: HashMap::new(),
            by_hash: BTreeMap::new(),
            suspects: Vec::new(),
            present_count: 0,
            digests: Digests::new(),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether any member that is not dead has this membership address.
    pub(super) fn has_present_at(&self, address: SocketAddr) -> bool {
        let mut members = self.entries.iter().map(|entry| &entry.member);
        members.any(|member| member.is_present() && member.gossip_address == address)
    }

    /// Number of members that are not dead.
    pub(super) fn present_count(&self) -> usize {
        self.present_count
    }

    pub(super) fn digests(&self) -> &Digests {
        &self.digests
    }

    pub(super) fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter()
    }

    pub(super) fn get(&self, server: &ServerName) -> Option<&Entry> {
        let position = *self.positions.get(server)?;
        self.entries.get(position)
    }

    pub(super) fn get_mut(&mut self, server: &ServerName) -> Option<&mut Entry> {
        let position = *self.positions.get(server)?;
        self.entries.get_mut(position)
    }

    pub(super) fn member_at(&self, position: usize) -> Option<&Member> {
        self.entries.get(position).map(|entry| &entry.member)
    }

    pub(super) fn suspects(&self) -> impl Iterator<Item = &Entry> {
        self.suspects
            .iter()
            .map(|position| &self.entries[*position])
    }

    /// Inserts or replaces a record; returns false when the table is full.
    pub(super) fn upsert(&mut self, member: Member) -> bool {
        if let Some(position) = self.positions.get(&member.server) {
            self.replace(*position, member);
            return true;
        }
        if self.entries.len() >= MEMBERS_MAX {
            return false;
        }
        self.append(member);
        true
    }

    fn append(&mut self, member: Member) {
        let position = self.entries.len();
        let name_hash = digest::name_hash(&member.server);
        self.digests.toggle(&member, name_hash);
        self.present_count += usize::from(member.is_present());
        if member.state == MemberState::Suspect {
            self.suspects.push(position);
        }
        self.positions.insert(member.server.clone(), position);
        self.by_hash.insert(name_hash, position);
        self.entries.push(Entry {
            member,
            name_hash,
            last_heard_at_us: None,
            suspicion_ends_at_us: 0,
            dead_since_us: 0,
            reported_dead: false,
        });
    }

    fn replace(&mut self, position: usize, member: Member) {
        let entry = &mut self.entries[position];
        self.digests.toggle(&entry.member, entry.name_hash);
        self.digests.toggle(&member, entry.name_hash);
        self.present_count -= usize::from(entry.member.is_present());
        self.present_count += usize::from(member.is_present());
        let was_suspect = entry.is_suspect();
        let is_suspect = member.state == MemberState::Suspect;
        if entry.member.incarnation != member.incarnation {
            entry.last_heard_at_us = None;
        }
        entry.reported_dead = false;
        entry.member = member;
        if was_suspect && !is_suspect {
            self.suspects.retain(|suspect| *suspect != position);
        } else if is_suspect && !was_suspect {
            self.suspects.push(position);
        }
    }

    /// Removes members that have been dead since before `before_us`.
    pub(super) fn remove_dead_before(&mut self, before_us: u64) {
        let is_expired =
            |entry: &Entry| !entry.member.is_present() && entry.dead_since_us < before_us;
        if !self.entries.iter().any(is_expired) {
            return;
        }
        self.entries.retain(|entry| !is_expired(entry));
        self.positions.clear();
        self.by_hash.clear();
        self.suspects.clear();
        for (position, entry) in self.entries.iter().enumerate() {
            let server = entry.member.server.clone();
            self.positions.insert(server, position);
            self.by_hash.insert(entry.name_hash, position);
            if entry.is_suspect() {
                self.suspects.push(position);
            }
        }
    }

    /// A random member that matches `predicate`.
    pub(super) fn random_member(
        &self,
        rng: &mut SplitMix64,
        predicate: impl Fn(&Member) -> bool,
    ) -> Option<&Member> {
        if self.entries.is_empty() {
            return None;
        }
        for _ in 0..RANDOM_DRAWS_MAX {
            let member = &self.entries[rng.index(self.entries.len())].member;
            if predicate(member) {
                return Some(member);
            }
        }
        let (before, after) = self.entries.split_at(rng.index(self.entries.len()));
        let mut members = after.iter().chain(before).map(|entry| &entry.member);
        members.find(|member| predicate(member))
    }

    /// All entries in order of name hash, starting at `first_hash` and wrapping around.
    pub(super) fn in_hash_order_from(&self, first_hash: u64) -> impl Iterator<Item = &Entry> {
        let after = self.by_hash.range(first_hash..);
        let before = self.by_hash.range(..first_hash);
        after
            .chain(before)
            .map(|(_, position)| &self.entries[*position])
    }
}
