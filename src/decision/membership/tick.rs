//! Work done on each tick: probes, suspicion timeouts, reconnects, gossip and page requests.

use std::net::SocketAddr;

use super::machine::{EventContext, Membership};
use super::member::{Member, MemberState};
use super::message::{Body, DATAGRAM_BYTES_MAX};
use super::prober::Probe;
use super::sync::SyncTarget;

/// Byte budget that must be left before a page is requested.
const SYNC_REQUEST_BYTES_LEFT_MIN: usize = 600;
/// On average, one in this many reconnect pings goes to a contact, not a dead member.
const RECONNECTS_PER_CONTACT: usize = 4;

/// Byte budget that must be left before gossip is sent.
///
/// It keeps the bytes of one datagram for replies.
const GOSSIP_BYTES_LEFT_MIN: usize = 2 * DATAGRAM_BYTES_MAX;

impl Membership {
    pub(super) fn tick(&mut self, ctx: &mut EventContext<'_>) {
        self.budget.refill(ctx.now_us);
        self.detect_pause(ctx);
        self.expire_suspicions(ctx);
        self.advance_probe(ctx);
        self.reconnect(ctx);
        self.recheck_dead(ctx);
        self.request_sync(ctx);
        self.send_gossip(ctx);
    }

    /// Detects that this process was paused, and extends suspicions by that time.
    ///
    /// Probes that went unanswered during the pause are not counted against other members.
    fn detect_pause(&mut self, ctx: &mut EventContext<'_>) {
        let gap_us = ctx.now_us.saturating_sub(self.last_tick_at_us);
        self.last_tick_at_us = ctx.now_us;
        if gap_us < self.settings.pause_ms * 1_000 {
            return;
        }
        self.resumed_at_us = Some(ctx.now_us);
        self.prober.probe = None;
        let suspects: Vec<_> = self.suspects();
        for suspect in suspects {
            if let Some(entry) = self.table.get_mut(&suspect.server) {
                entry.suspicion_ends_at_us += gap_us;
            }
        }
    }

    fn suspects(&self) -> Vec<Member> {
        let suspects = self.table.suspects();
        suspects.map(|entry| entry.member.clone()).collect()
    }

    /// Declares suspects dead whose suspicion timed out.
    ///
    /// A suspect that answered recently gets more time instead.
    fn expire_suspicions(&mut self, ctx: &mut EventContext<'_>) {
        let expired = self
            .table
            .suspects()
            .filter(|entry| ctx.now_us >= entry.suspicion_ends_at_us);
        let expired: Vec<_> = expired.cloned().collect();
        for entry in expired {
            if self.was_heard_recently(&entry, ctx.now_us) {
                self.extend_suspicion(&entry.member, ctx);
            } else {
                self.change_state(entry.member, MemberState::Dead, ctx);
            }
        }
    }

    /// Restarts the timeout of a suspect that answered recently.
    ///
    /// It is also probed early, so that it can refute the suspicion.
    fn extend_suspicion(&mut self, member: &Member, ctx: &mut EventContext<'_>) {
        let suspicion_ends_at_us = ctx.now_us + self.suspicion_timeout_us();
        if let Some(entry) = self.table.get_mut(&member.server) {
            entry.suspicion_ends_at_us = suspicion_ends_at_us;
        }
        self.prober.probe_early(&member.server);
    }

    fn change_state(&mut self, mut member: Member, state: MemberState, ctx: &mut EventContext<'_>) {
        member.state = state;
        self.apply(member, true, ctx);
    }

    fn advance_probe(&mut self, ctx: &mut EventContext<'_>) {
        let period_us = self.settings.probe_period_ms * 1_000;
        let due = match self.last_probe_at_us {
            Some(last_probe_at_us) => ctx.now_us >= last_probe_at_us + period_us,
            None => true,
        };
        if due {
            self.finish_probe(ctx);
            self.start_probe(ctx);
        } else {
            self.request_indirect_probes(ctx);
        }
    }

    /// Suspects a member whose probe was not answered within the probe period.
    ///
    /// A leaving member becomes dead at once.
    fn finish_probe(&mut self, ctx: &mut EventContext<'_>) {
        let Some(probe) = self.prober.probe.take() else {
            return;
        };
        let Some(entry) = self.table.get(&probe.target.server) else {
            return;
        };
        let heard_since = entry
            .last_heard_at_us
            .is_some_and(|at| at >= probe.sent_at_us);
        let changed = entry.member.incarnation != probe.target.incarnation
            || entry.member.revision != probe.target.revision;
        if heard_since || changed {
            return;
        }
        let member = entry.member.clone();
        match member.state {
            MemberState::Alive => {
                let server = member.server.clone();
                self.change_state(member, MemberState::Suspect, ctx);
                self.prober.probe_early(&server);
            }
            MemberState::Leaving => self.change_state(member, MemberState::Dead, ctx),
            MemberState::Suspect | MemberState::Dead => {}
        }
    }

    fn start_probe(&mut self, ctx: &mut EventContext<'_>) {
        self.last_probe_at_us = Some(ctx.now_us);
        if self.prober.round_is_over() {
            self.remove_old_dead(ctx);
        }
        let heard_after_us = ctx
            .now_us
            .saturating_sub(self.settings.probe_period_ms * 1_000);
        let table = &self.table;
        let heard_recently = |member: &Member| {
            let entry = table.get(&member.server);
            let heard = entry.and_then(|entry| entry.last_heard_at_us);
            member.state != MemberState::Suspect && heard.is_some_and(|at| at > heard_after_us)
        };
        let target = self.prober.next_target(table, &mut ctx.rng, heard_recently);
        match target {
            Some(target) => self.send_probe(target, ctx),
            None => self.ping_contact(ctx),
        }
    }

    fn send_probe(&mut self, target: Member, ctx: &mut EventContext<'_>) {
        let nonce = ctx.rng.next();
        let address = target.gossip_address;
        let priority_records: &[Member] = match target.state {
            MemberState::Alive | MemberState::Leaving => &[],
            MemberState::Suspect | MemberState::Dead => std::slice::from_ref(&target),
        };
        self.send(address, Body::Ping { nonce }, priority_records, ctx);
        self.prober.probe = Some(Probe {
            target,
            nonce,
            sent_at_us: ctx.now_us,
            indirect_requested: false,
        });
    }

    /// Asks other members to ping a target that has not answered in time.
    fn request_indirect_probes(&mut self, ctx: &mut EventContext<'_>) {
        let timeout_us = self.settings.probe_timeout_ms * 1_000;
        let Some(probe) = &mut self.prober.probe else {
            return;
        };
        if probe.indirect_requested || ctx.now_us < probe.sent_at_us + timeout_us {
            return;
        }
        probe.indirect_requested = true;
        let probe = probe.clone();
        for _ in 0..self.settings.indirect_probes {
            let other =
                |m: &Member| m.state == MemberState::Alive && m.server != probe.target.server;
            let Some(helper) = self.table.random_member(&mut ctx.rng, other) else {
                return;
            };
            let address = helper.gossip_address;
            let body = Body::PingRequest {
                nonce: probe.nonce,
                target: probe.target.server.clone(),
                target_address: probe.target.gossip_address,
            };
            self.send(address, body, &[], ctx);
        }
    }

    fn remove_old_dead(&mut self, ctx: &EventContext<'_>) {
        let kept_us = self.settings.dead_kept_ms * 1_000;
        if let Some(before_us) = ctx.now_us.checked_sub(kept_us) {
            self.table.remove_dead_before(before_us);
            self.prober.restart_round();
        }
    }

    /// Periodically pings a dead member or an absent contact, so that partitions heal.
    fn reconnect(&mut self, ctx: &mut EventContext<'_>) {
        let period_us = self.settings.reconnect_period_ms * 1_000;
        if ctx.now_us < self.last_reconnect_at_us + period_us {
            return;
        }
        self.last_reconnect_at_us = ctx.now_us;
        let dead = |member: &Member| !member.is_present();
        let dead_member = self.table.random_member(&mut ctx.rng, dead).cloned();
        let prefer_contact = ctx.rng.index(RECONNECTS_PER_CONTACT) == 0;
        match dead_member.filter(|_| !prefer_contact) {
            Some(member) => self.ping_dead(&member, ctx),
            None => self.ping_contact(ctx),
        }
    }

    fn ping_dead(&mut self, member: &Member, ctx: &mut EventContext<'_>) {
        let nonce = ctx.rng.next();
        let priority_records = std::slice::from_ref(member);
        self.send(
            member.gossip_address,
            Body::Ping { nonce },
            priority_records,
            ctx,
        );
    }

    /// Pings a dead member that may be alive, so that it can refute.
    fn recheck_dead(&mut self, ctx: &mut EventContext<'_>) {
        if self.budget.bytes_left() < DATAGRAM_BYTES_MAX {
            return;
        }
        if let Some(member) = self.prober.next_dead_recheck(&self.table, &mut ctx.rng) {
            self.ping_dead(&member, ctx);
        }
    }

    /// Pings a random contact that is not a live member.
    ///
    /// Probes reach the live members.
    fn ping_contact(&mut self, ctx: &mut EventContext<'_>) {
        let contacts = self.contacts.iter().copied();
        let missing: Vec<_> = contacts
            .filter(|at| !self.table.has_present_at(*at))
            .collect();
        if missing.is_empty() {
            return;
        }
        let address = missing[ctx.rng.index(missing.len())];
        let nonce = ctx.rng.next();
        self.send(address, Body::Ping { nonce }, &[], ctx);
    }

    fn request_sync(&mut self, ctx: &mut EventContext<'_>) {
        if self.budget.bytes_left() < SYNC_REQUEST_BYTES_LEFT_MIN {
            return;
        }
        let peer = match self.sync.take_due_target(ctx.now_us) {
            Some(SyncTarget::AnyMember) => self.random_non_contact_address(ctx),
            Some(SyncTarget::Peer(peer)) => Some(peer),
            None => None,
        };
        let Some(peer) = peer else {
            return;
        };
        let body = Body::SyncRequest {
            bucket_digests: self.digests().buckets().to_vec(),
            first_hash: self.sync.next_hash,
        };
        self.send(peer, body, &[], ctx);
    }

    /// Membership address of a random member that is not dead.
    fn random_present_address(&self, ctx: &mut EventContext<'_>) -> Option<SocketAddr> {
        let member = self.table.random_member(&mut ctx.rng, Member::is_present);
        member.map(|member| member.gossip_address)
    }

    /// Membership address of a random member, preferably not a contact.
    ///
    /// The member is not dead. A contact is used only if no other member is known:
    /// contacts are few, and many new members may request pages at once.
    fn random_non_contact_address(&self, ctx: &mut EventContext<'_>) -> Option<SocketAddr> {
        let is_non_contact =
            |m: &Member| m.is_present() && !self.contacts.contains(&m.gossip_address);
        let member = self.table.random_member(&mut ctx.rng, is_non_contact);
        let address = member.map(|member| member.gossip_address);
        address.or_else(|| self.random_present_address(ctx))
    }

    /// Sends updates beyond those on probes, while the byte budget allows whole datagrams.
    fn send_gossip(&mut self, ctx: &mut EventContext<'_>) {
        let has_updates = self.own_transmissions_left > 0 || !self.queue.is_empty();
        if !has_updates || self.budget.bytes_left() < GOSSIP_BYTES_LEFT_MIN {
            return;
        }
        let Some(address) = self.random_present_address(ctx) else {
            return;
        };
        self.own_transmissions_left = self.own_transmissions_left.saturating_sub(1);
        self.send(address, Body::Gossip, &[], ctx);
    }
}
