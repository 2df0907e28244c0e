//! Selection of the next member to probe, and the probes in flight.

use std::net::SocketAddr;

use crate::decision::splitmix64::SplitMix64;
use crate::model::names::ServerName;

use super::member::Member;
use super::table::{Entry, MemberTable};

/// Maximum number of members passed over in the search for a probe target.
const SKIPS_MAX: usize = 16;

/// Maximum number of members that are considered dead and queued for a ping.
const DEAD_RECHECKS_MAX: usize = 64;

/// A probe that has not been acknowledged.
#[derive(Debug, Clone)]
pub(super) struct Probe {
    pub(super) target: Member,
    pub(super) nonce: u64,
    pub(super) sent_at_us: u64,
    pub(super) indirect_requested: bool,
}

/// A ping sent on behalf of another node.
#[derive(Debug, Clone)]
pub(super) struct Relay {
    pub(super) nonce: u64,
    pub(super) requester_nonce: u64,
    pub(super) requester: SocketAddr,
    pub(super) target: ServerName,
}

/// Selects probe targets in shuffled rounds over all members.
///
/// Every member is thus selected once per round.
#[derive(Debug, Default)]
pub(super) struct Prober {
    round: Vec<usize>,
    pub(super) probe: Option<Probe>,
    pub(super) relays: Vec<Relay>,
    early_probes: Vec<ServerName>,
    dead_rechecks: Vec<ServerName>,
}

impl Prober {
    /// Queues a suspect for a probe ahead of the round, so that it can refute.
    pub(super) fn probe_early(&mut self, server: &ServerName) {
        self.early_probes.push(server.clone());
    }

    /// Queues a ping of a member considered dead that shows signs of being alive.
    pub(super) fn queue_dead_recheck(&mut self, server: &ServerName) {
        if self.dead_rechecks.len() < DEAD_RECHECKS_MAX && !self.dead_rechecks.contains(server) {
            self.dead_rechecks.push(server.clone());
        }
    }

    /// Takes a random member from the queue of dead members to ping.
    pub(super) fn next_dead_recheck(
        &mut self,
        table: &MemberTable,
        rng: &mut SplitMix64,
    ) -> Option<Member> {
        while !self.dead_rechecks.is_empty() {
            let index = rng.index(self.dead_rechecks.len());
            let server = self.dead_rechecks.swap_remove(index);
            let member = table.get(&server).map(|entry| &entry.member);
            if let Some(member) = member.filter(|member| !member.is_present()) {
                return Some(member.clone());
            }
        }
        None
    }

    /// The next member to probe; skips members for which `skip` is true.
    pub(super) fn next_target(
        &mut self,
        table: &MemberTable,
        rng: &mut SplitMix64,
        skip: impl Fn(&Member) -> bool,
    ) -> Option<Member> {
        if let Some(member) = self.next_early_probe(table, rng) {
            return Some(member);
        }
        for _ in 0..SKIPS_MAX {
            let position = self.next_position(table, rng)?;
            let member = table.member_at(position);
            let member = member.filter(|member| member.is_present() && !skip(member));
            if member.is_some() {
                return member.cloned();
            }
        }
        table.random_member(rng, Member::is_present).cloned()
    }

    /// Whether the round is complete, so that the next call starts a new one.
    pub(super) fn round_is_over(&self) -> bool {
        self.round.is_empty()
    }

    /// Makes the next call start a new round; required when table positions have changed.
    pub(super) fn restart_round(&mut self) {
        self.round.clear();
    }

    fn next_early_probe(&mut self, table: &MemberTable, rng: &mut SplitMix64) -> Option<Member> {
        while !self.early_probes.is_empty() {
            let index = rng.index(self.early_probes.len());
            let server = self.early_probes.swap_remove(index);
            let entry = table.get(&server);
            if entry.is_some_and(Entry::is_suspect) {
                return entry.map(|entry| entry.member.clone());
            }
        }
        None
    }

    fn next_position(&mut self, table: &MemberTable, rng: &mut SplitMix64) -> Option<usize> {
        if self.round.is_empty() {
            self.round = shuffled(table.len(), rng);
        }
        self.round.pop()
    }
}

/// The numbers below `len` in random order (Fisher and Yates 1938).
fn shuffled(len: usize, rng: &mut SplitMix64) -> Vec<usize> {
    let mut order: Vec<usize> = (0..len).collect();
    for last in (1..len).rev() {
        let other = rng.index(last + 1);
        order.swap(last, other);
    }
    order
}
