//! The members that one node knows, itself left out.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use crate::decision::splitmix64::SplitMix64;
use crate::model::names::ServerName;

use super::digest::{self, Digests};
use super::member::{Member, MemberState};

/// Most members that are remembered, the dead included.
const MEMBERS_MAX: usize = 4_096;
/// Random draws for a present member before the table is searched.
const DRAWS_MAX: usize = 8;

/// One member with what only this node knows of it.
#[derive(Debug, Clone)]
pub(super) struct Record {
    pub(super) member: Member,
    pub(super) name_hash: u64,
    /// When it was last heard itself, by datagram or request.
    pub(super) heard_at_us: Option<u64>,
    /// When a suspicion turns into death.
    pub(super) dead_at_us: u64,
    /// When it was found dead.
    pub(super) dead_since_us: u64,
    /// Whether the suspicion rests only on others having found it dead.
    pub(super) disputed: bool,
}

impl Record {
    pub(super) fn is_suspect(&self) -> bool {
        self.member.state == MemberState::Suspect
    }
}

/// The members that one node knows, itself left out.
#[derive(Debug)]
pub(super) struct MemberTable {
    records: Vec<Record>,
    positions: HashMap<ServerName, usize>,
    by_hash: BTreeMap<u64, usize>,
    suspects: Vec<usize>,
    present: usize,
    digests: Digests,
}

impl MemberTable {
    pub(super) fn new() -> Self {
        Self {
            records: Vec::new(),
            positions: HashMap::new(),
            by_hash: BTreeMap::new(),
            suspects: Vec::new(),
            present: 0,
            digests: Digests::new(),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether a member that is not dead has this membership address.
    pub(super) fn has_present_at(&self, address: SocketAddr) -> bool {
        let mut members = self.records.iter().map(|record| &record.member);
        members.any(|member| member.is_present() && member.gossip_address == address)
    }

    /// Members that are not dead.
    pub(super) fn present(&self) -> usize {
        self.present
    }

    pub(super) fn digests(&self) -> &Digests {
        &self.digests
    }

    pub(super) fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.iter()
    }

    pub(super) fn get(&self, server: &ServerName) -> Option<&Record> {
        let position = *self.positions.get(server)?;
        self.records.get(position)
    }

    pub(super) fn get_mut(&mut self, server: &ServerName) -> Option<&mut Record> {
        let position = *self.positions.get(server)?;
        self.records.get_mut(position)
    }

    pub(super) fn at(&self, position: usize) -> Option<&Member> {
        self.records.get(position).map(|record| &record.member)
    }

    pub(super) fn suspects(&self) -> impl Iterator<Item = &Record> {
        self.suspects
            .iter()
            .map(|position| &self.records[*position])
    }

    /// Puts a record in the place of the held one; false when the table is full.
    pub(super) fn put(&mut self, member: Member) -> bool {
        if let Some(position) = self.positions.get(&member.server) {
            self.replace(*position, member);
            return true;
        }
        if self.records.len() >= MEMBERS_MAX {
            return false;
        }
        self.append(member);
        true
    }

    fn append(&mut self, member: Member) {
        let position = self.records.len();
        let name_hash = digest::name_hash(&member.server);
        self.digests.toggle(&member, name_hash);
        self.present += usize::from(member.is_present());
        if member.state == MemberState::Suspect {
            self.suspects.push(position);
        }
        self.positions.insert(member.server.clone(), position);
        self.by_hash.insert(name_hash, position);
        self.records.push(Record {
            member,
            name_hash,
            heard_at_us: None,
            dead_at_us: 0,
            dead_since_us: 0,
            disputed: false,
        });
    }

    fn replace(&mut self, position: usize, member: Member) {
        let record = &mut self.records[position];
        self.digests.toggle(&record.member, record.name_hash);
        self.digests.toggle(&member, record.name_hash);
        self.present -= usize::from(record.member.is_present());
        self.present += usize::from(member.is_present());
        let was_suspect = record.is_suspect();
        let is_suspect = member.state == MemberState::Suspect;
        if record.member.incarnation != member.incarnation {
            record.heard_at_us = None;
        }
        record.disputed = false;
        record.member = member;
        if was_suspect && !is_suspect {
            self.suspects.retain(|suspect| *suspect != position);
        } else if is_suspect && !was_suspect {
            self.suspects.push(position);
        }
    }

    /// Forgets the dead found so before `since_us`.
    pub(super) fn forget_dead(&mut self, since_us: u64) {
        let is_old = |r: &Record| !r.member.is_present() && r.dead_since_us < since_us;
        if !self.records.iter().any(is_old) {
            return;
        }
        self.records.retain(|record| !is_old(record));
        self.positions.clear();
        self.by_hash.clear();
        self.suspects.clear();
        for (position, record) in self.records.iter().enumerate() {
            let server = record.member.server.clone();
            self.positions.insert(server, position);
            self.by_hash.insert(record.name_hash, position);
            if record.is_suspect() {
                self.suspects.push(position);
            }
        }
    }

    /// A random member that `wanted` accepts.
    pub(super) fn random(
        &self,
        draws: &mut SplitMix64,
        wanted: impl Fn(&Member) -> bool,
    ) -> Option<&Member> {
        if self.records.is_empty() {
            return None;
        }
        for _ in 0..DRAWS_MAX {
            let member = &self.records[draws.index(self.records.len())].member;
            if wanted(member) {
                return Some(member);
            }
        }
        let (before, after) = self.records.split_at(draws.index(self.records.len()));
        let mut members = after.iter().chain(before).map(|record| &record.member);
        members.find(|member| wanted(member))
    }

    /// All records in order of name hash, from one on and around.
    pub(super) fn in_hash_order_from(&self, first_hash: u64) -> impl Iterator<Item = &Record> {
        let after = self.by_hash.range(first_hash..);
        let before = self.by_hash.range(..first_hash);
        after
            .chain(before)
            .map(|(_, position)| &self.records[*position])
    }
}
