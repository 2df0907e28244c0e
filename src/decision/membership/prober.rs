//! Which member is probed next, and what became of the probe.

use std::net::SocketAddr;

use crate::decision::splitmix64::SplitMix64;
use crate::model::names::ServerName;

use super::member::Member;
use super::table::{MemberTable, Record};

/// Members passed over in search of one to probe, at most.
const SKIPS_MAX: usize = 16;

/// Members held dead and waiting for a ping, at most.
const DOUBTFUL_MAX: usize = 64;

/// A probe that has not been acknowledged.
#[derive(Debug, Clone)]
pub(super) struct Probe {
    pub(super) target: Member,
    pub(super) nonce: u64,
    pub(super) sent_at_us: u64,
    pub(super) asked_others: bool,
}

/// A ping made for another node.
#[derive(Debug, Clone)]
pub(super) struct Relay {
    pub(super) nonce: u64,
    pub(super) asker_nonce: u64,
    pub(super) asker: SocketAddr,
    pub(super) target: ServerName,
}

/// Order of probing: a shuffled round over all members, so that each gets its turn.
#[derive(Debug, Default)]
pub(super) struct Prober {
    round: Vec<usize>,
    pub(super) probe: Option<Probe>,
    pub(super) relays: Vec<Relay>,
    early: Vec<ServerName>,
    doubtful: Vec<ServerName>,
}

impl Prober {
    /// Asks for an early probe of a suspect, so that it can refute.
    pub(super) fn probe_early(&mut self, server: &ServerName) {
        self.early.push(server.clone());
    }

    /// Asks for a ping of a member that is held dead but that others hold alive.
    pub(super) fn doubt_death(&mut self, server: &ServerName) {
        if self.doubtful.len() < DOUBTFUL_MAX && !self.doubtful.contains(server) {
            self.doubtful.push(server.clone());
        }
    }

    /// A member that is held dead, and perhaps is not.
    pub(super) fn next_doubtful(
        &mut self,
        table: &MemberTable,
        draws: &mut SplitMix64,
    ) -> Option<Member> {
        while !self.doubtful.is_empty() {
            let index = draws.index(self.doubtful.len());
            let server = self.doubtful.swap_remove(index);
            let member = table.get(&server).map(|record| &record.member);
            if let Some(member) = member.filter(|member| !member.is_present()) {
                return Some(member.clone());
            }
        }
        None
    }

    /// The next member to probe; those that `skip` accepts are passed over.
    pub(super) fn next(
        &mut self,
        table: &MemberTable,
        draws: &mut SplitMix64,
        skip: impl Fn(&Member) -> bool,
    ) -> Option<Member> {
        if let Some(member) = self.next_early(table, draws) {
            return Some(member);
        }
        for _ in 0..SKIPS_MAX {
            let position = self.next_position(table, draws)?;
            let member = table.at(position);
            let member = member.filter(|member| member.is_present() && !skip(member));
            if member.is_some() {
                return member.cloned();
            }
        }
        table.random(draws, Member::is_present).cloned()
    }

    /// Whether the round is over and the next call starts a new one.
    pub(super) fn round_is_over(&self) -> bool {
        self.round.is_empty()
    }

    /// Starts a new round; needed after the table's positions have changed.
    pub(super) fn restart_round(&mut self) {
        self.round.clear();
    }

    fn next_early(&mut self, table: &MemberTable, draws: &mut SplitMix64) -> Option<Member> {
        while !self.early.is_empty() {
            let index = draws.index(self.early.len());
            let server = self.early.swap_remove(index);
            let record = table.get(&server);
            if record.is_some_and(Record::is_suspect) {
                return record.map(|record| record.member.clone());
            }
        }
        None
    }

    fn next_position(&mut self, table: &MemberTable, draws: &mut SplitMix64) -> Option<usize> {
        if self.round.is_empty() {
            self.round = shuffled(table.len(), draws);
        }
        self.round.pop()
    }
}

/// Numbers below `len` in random order (Fisher and Yates 1938).
fn shuffled(len: usize, draws: &mut SplitMix64) -> Vec<usize> {
    let mut order: Vec<usize> = (0..len).collect();
    for last in (1..len).rev() {
        let other = draws.index(last + 1);
        order.swap(last, other);
    }
    order
}
