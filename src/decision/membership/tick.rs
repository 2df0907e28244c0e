//! What a node does as time passes: probes, suspicions, gossip and requests for the table.

use std::net::SocketAddr;

use super::machine::{Membership, Turn};
use super::member::{Member, MemberState};
use super::message::{Body, DATAGRAM_BYTES_MAX};
use super::prober::Probe;
use super::sync::Ask;

/// Bytes that must be left for a request of a page.
const SYNC_REQUEST_BYTES: usize = 600;
/// One in this many reconnecting pings goes to a contact rather than to a dead member.
const RECONNECTS_PER_CONTACT: usize = 4;

/// Bytes that must be left for gossip, so that a datagram's worth stays for replies.
const GOSSIP_BYTES_LEFT_MIN: usize = 2 * DATAGRAM_BYTES_MAX;

impl Membership {
    pub(super) fn tick(&mut self, turn: &mut Turn<'_>) {
        self.budget.refill(turn.now_us);
        self.notice_pause(turn);
        self.end_suspicions(turn);
        self.continue_probe(turn);
        self.reconnect(turn);
        self.ping_doubtfully_dead(turn);
        self.request_sync(turn);
        self.gossip(turn);
    }

    /// Forgives what went unanswered while this node itself was paused.
    fn notice_pause(&mut self, turn: &mut Turn<'_>) {
        let gap_us = turn.now_us.saturating_sub(self.ticked_at_us);
        self.ticked_at_us = turn.now_us;
        if gap_us < self.settings.pause_ms * 1_000 {
            return;
        }
        self.woke_at_us = Some(turn.now_us);
        self.prober.probe = None;
        let suspects: Vec<_> = self.suspects();
        for suspect in suspects {
            if let Some(record) = self.table.get_mut(&suspect.server) {
                record.dead_at_us += gap_us;
            }
        }
    }

    fn suspects(&self) -> Vec<Member> {
        let suspects = self.table.suspects();
        suspects.map(|record| record.member.clone()).collect()
    }

    /// Holds members dead that did not refute in time.
    fn end_suspicions(&mut self, turn: &mut Turn<'_>) {
        let lapsed = self
            .table
            .suspects()
            .filter(|record| turn.now_us >= record.dead_at_us);
        let lapsed: Vec<_> = lapsed.cloned().collect();
        for record in lapsed {
            if self.was_heard_lately(&record, turn.now_us) {
                self.extend_suspicion(&record.member, turn);
            } else {
                self.change_state(record.member, MemberState::Dead, turn);
            }
        }
    }

    /// Gives a suspect that was heard itself more time, and probes it so that it can refute.
    fn extend_suspicion(&mut self, member: &Member, turn: &mut Turn<'_>) {
        let dead_at_us = turn.now_us + self.suspicion_us();
        if let Some(record) = self.table.get_mut(&member.server) {
            record.dead_at_us = dead_at_us;
        }
        self.prober.probe_early(&member.server);
    }

    fn change_state(&mut self, mut member: Member, state: MemberState, turn: &mut Turn<'_>) {
        member.state = state;
        self.accept(member, true, turn);
    }

    fn continue_probe(&mut self, turn: &mut Turn<'_>) {
        let period_us = self.settings.probe_period_ms * 1_000;
        let due = match self.probed_at_us {
            Some(probed_at_us) => turn.now_us >= probed_at_us + period_us,
            None => true,
        };
        if due {
            self.judge_probe(turn);
            self.start_probe(turn);
        } else {
            self.ask_others(turn);
        }
    }

    /// Suspects a member whose probe was not answered within the period.
    fn judge_probe(&mut self, turn: &mut Turn<'_>) {
        let Some(probe) = self.prober.probe.take() else {
            return;
        };
        let Some(record) = self.table.get(&probe.target.server) else {
            return;
        };
        let heard_since = record.heard_at_us.is_some_and(|at| at >= probe.sent_at_us);
        let changed = record.member.incarnation != probe.target.incarnation
            || record.member.revision != probe.target.revision;
        if heard_since || changed {
            return;
        }
        let member = record.member.clone();
        match member.state {
            MemberState::Alive => {
                let server = member.server.clone();
                self.change_state(member, MemberState::Suspect, turn);
                self.prober.probe_early(&server);
            }
            MemberState::Leaving => self.change_state(member, MemberState::Dead, turn),
            MemberState::Suspect | MemberState::Dead => {}
        }
    }

    fn start_probe(&mut self, turn: &mut Turn<'_>) {
        self.probed_at_us = Some(turn.now_us);
        if self.prober.round_is_over() {
            self.forget_old_dead(turn);
        }
        let heard_after_us = turn
            .now_us
            .saturating_sub(self.settings.probe_period_ms * 1_000);
        let table = &self.table;
        let heard_lately = |member: &Member| {
            let record = table.get(&member.server);
            let heard = record.and_then(|record| record.heard_at_us);
            member.state != MemberState::Suspect && heard.is_some_and(|at| at > heard_after_us)
        };
        let target = self.prober.next(table, &mut turn.draws, heard_lately);
        match target {
            Some(target) => self.probe(target, turn),
            None => self.ping_contact(turn),
        }
    }

    fn probe(&mut self, target: Member, turn: &mut Turn<'_>) {
        let nonce = turn.draws.next();
        let address = target.gossip_address;
        let first: &[Member] = match target.state {
            MemberState::Alive | MemberState::Leaving => &[],
            MemberState::Suspect | MemberState::Dead => std::slice::from_ref(&target),
        };
        self.send(address, Body::Ping { nonce }, first, turn);
        self.prober.probe = Some(Probe {
            target,
            nonce,
            sent_at_us: turn.now_us,
            asked_others: false,
        });
    }

    /// Asks others to ping a member that has not answered within the timeout.
    fn ask_others(&mut self, turn: &mut Turn<'_>) {
        let timeout_us = self.settings.probe_timeout_ms * 1_000;
        let Some(probe) = &mut self.prober.probe else {
            return;
        };
        if probe.asked_others || turn.now_us < probe.sent_at_us + timeout_us {
            return;
        }
        probe.asked_others = true;
        let probe = probe.clone();
        for _ in 0..self.settings.indirect_probes {
            let other =
                |m: &Member| m.state == MemberState::Alive && m.server != probe.target.server;
            let Some(helper) = self.table.random(&mut turn.draws, other) else {
                return;
            };
            let address = helper.gossip_address;
            let body = Body::PingRequest {
                nonce: probe.nonce,
                target: probe.target.server.clone(),
                target_address: probe.target.gossip_address,
            };
            self.send(address, body, &[], turn);
        }
    }

    fn forget_old_dead(&mut self, turn: &Turn<'_>) {
        let kept_us = self.settings.dead_kept_ms * 1_000;
        if let Some(since_us) = turn.now_us.checked_sub(kept_us) {
            self.table.forget_dead(since_us);
            self.prober.restart_round();
        }
    }

    /// Now and then pings a dead member or an unknown contact, so that a cut heals.
    fn reconnect(&mut self, turn: &mut Turn<'_>) {
        let period_us = self.settings.reconnect_period_ms * 1_000;
        if turn.now_us < self.reconnected_at_us + period_us {
            return;
        }
        self.reconnected_at_us = turn.now_us;
        let dead = |member: &Member| !member.is_present();
        let dead_member = self.table.random(&mut turn.draws, dead).cloned();
        let contact_turn = turn.draws.index(RECONNECTS_PER_CONTACT) == 0;
        match dead_member.filter(|_| !contact_turn) {
            Some(member) => self.ping_dead(&member, turn),
            None => self.ping_contact(turn),
        }
    }

    fn ping_dead(&mut self, member: &Member, turn: &mut Turn<'_>) {
        let nonce = turn.draws.next();
        let first = std::slice::from_ref(member);
        self.send(member.gossip_address, Body::Ping { nonce }, first, turn);
    }

    /// Pings one of those that others hold alive, so that it can refute its death.
    fn ping_doubtfully_dead(&mut self, turn: &mut Turn<'_>) {
        if self.budget.bytes_left() < DATAGRAM_BYTES_MAX {
            return;
        }
        if let Some(member) = self.prober.next_doubtful(&self.table, &mut turn.draws) {
            self.ping_dead(&member, turn);
        }
    }

    /// Pings a contact that is not present as a member: probes reach the others.
    fn ping_contact(&mut self, turn: &mut Turn<'_>) {
        let contacts = self.contacts.iter().copied();
        let missing: Vec<_> = contacts
            .filter(|at| !self.table.has_present_at(*at))
            .collect();
        if missing.is_empty() {
            return;
        }
        let address = missing[turn.draws.index(missing.len())];
        let nonce = turn.draws.next();
        self.send(address, Body::Ping { nonce }, &[], turn);
    }

    fn request_sync(&mut self, turn: &mut Turn<'_>) {
        if self.budget.bytes_left() < SYNC_REQUEST_BYTES {
            return;
        }
        let peer = match self.sync.take_due(turn.now_us) {
            Some(Ask::Anyone) => self.any_but_contacts(turn),
            Some(Ask::Peer(peer)) => Some(peer),
            None => None,
        };
        let Some(peer) = peer else {
            return;
        };
        let body = Body::SyncRequest {
            bucket_digests: self.digests().buckets().to_vec(),
            first_hash: self.sync.next_hash,
        };
        self.send(peer, body, &[], turn);
    }

    /// Membership address of a random member.
    fn any_present(&self, turn: &mut Turn<'_>) -> Option<SocketAddr> {
        let member = self.table.random(&mut turn.draws, Member::is_present);
        member.map(|member| member.gossip_address)
    }

    /// The same, but a contact only when no other is known: contacts are few, newcomers many.
    fn any_but_contacts(&self, turn: &mut Turn<'_>) -> Option<SocketAddr> {
        let is_other = |m: &Member| m.is_present() && !self.contacts.contains(&m.gossip_address);
        let member = self.table.random(&mut turn.draws, is_other);
        let address = member.map(|member| member.gossip_address);
        address.or_else(|| self.any_present(turn))
    }

    /// Passes news on beyond what probes carry, while the byte budget allows whole datagrams.
    fn gossip(&mut self, turn: &mut Turn<'_>) {
        let has_news = self.own_news > 0 || !self.queue.is_empty();
        if !has_news || self.budget.bytes_left() < GOSSIP_BYTES_LEFT_MIN {
            return;
        }
        let Some(address) = self.any_present(turn) else {
            return;
        };
        self.own_news = self.own_news.saturating_sub(1);
        self.send(address, Body::Gossip, &[], turn);
    }
}
