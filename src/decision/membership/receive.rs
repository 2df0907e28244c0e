//! Handling of received messages and merging of the records in them.

use std::net::SocketAddr;

use crate::model::ids::ConfigVersion;
use crate::model::names::ServerName;

use super::events::MembershipAction;
use super::machine::{EventContext, Membership, ReportedConfig};
use super::member::{Member, MemberState};
use super::message::{Body, Message};
use super::prober::Relay;

/// Minimum time before the same newer configuration is reported again, in µs.
const NEWER_CONFIG_REPEAT_US: u64 = 500_000;
/// Time after this process resumes in which another run of its node counts as its successor, in µs.
///
/// Both runs have the same node name.
const SUCCESSOR_WINDOW_US: u64 = 60_000_000;
/// Maximum number of unacknowledged pings sent on behalf of other nodes.
const RELAYS_MAX: usize = 64;
/// Number of records of random members sent to a node seen for the first time.
const RECORDS_FOR_NEW_MEMBER: usize = 3;

/// Origin of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Source {
    /// Sent by the member itself, or gossip about it.
    Gossip,
    /// Requested page of a member table.
    Page,
    /// The log, which all nodes read, so that its records need no gossip.
    Log,
}

impl Membership {
    pub(super) fn receive(
        &mut self,
        from: SocketAddr,
        message: Message,
        ctx: &mut EventContext<'_>,
    ) {
        let Message {
            sender,
            config_version,
            digest,
            body,
            updates,
        } = message;
        let source = match body {
            Body::SyncPage => Source::Page,
            _ => Source::Gossip,
        };
        let is_new = self.table.get(&sender.server).is_none();
        self.check_config_version(config_version, &sender, ctx);
        self.merge(sender.clone(), Source::Gossip, ctx);
        let changes_before = ctx.actions.len();
        let last = updates.last().cloned();
        for update in updates {
            self.merge(update, source, ctx);
        }
        if let Some(last) = last.filter(|_| source == Source::Page) {
            let had_changes = ctx.actions.len() > changes_before;
            self.sync.record_page(&last, had_changes);
        }
        let own_digest = self.digest();
        self.sync
            .compare_digests(from, digest, own_digest, ctx.now_us);
        self.respond(from, &sender, is_new, body, ctx);
    }

    fn respond(
        &mut self,
        from: SocketAddr,
        sender: &Member,
        is_new: bool,
        body: Body,
        ctx: &mut EventContext<'_>,
    ) {
        match body {
            Body::Ping { nonce } => self.acknowledge(from, sender, is_new, nonce, ctx),
            Body::Ack { nonce } => self.handle_ack(sender, nonce, ctx),
            Body::RelayedAck { nonce, target } => self.handle_relayed_ack(nonce, &target, ctx),
            Body::SyncRequest {
                bucket_digests,
                first_hash,
            } => self.send_sync_page(from, &bucket_digests, first_hash, ctx),
            Body::PingRequest {
                nonce,
                target,
                target_address,
            } => {
                let relay = Relay {
                    nonce: ctx.rng.next(),
                    requester_nonce: nonce,
                    requester: from,
                    target,
                };
                self.relay_ping(target_address, relay, ctx);
            }
            Body::Gossip | Body::SyncPage => {}
        }
    }

    fn acknowledge(
        &mut self,
        from: SocketAddr,
        sender: &Member,
        is_new: bool,
        nonce: u64,
        ctx: &mut EventContext<'_>,
    ) {
        let mut priority_records = self.correction_for(sender);
        if is_new {
            for _ in 0..RECORDS_FOR_NEW_MEMBER {
                let other = |m: &Member| m.is_present() && m.server != sender.server;
                let member = self.table.random_member(&mut ctx.rng, other);
                priority_records.extend(member.cloned());
            }
        }
        self.send(from, Body::Ack { nonce }, &priority_records, ctx);
    }

    /// The stored record of a sender, if it differs from what it sent.
    fn correction_for(&self, sender: &Member) -> Vec<Member> {
        let held = self.table.get(&sender.server);
        let held = held.map(|entry| &entry.member);
        held.filter(|held| *held != sender)
            .cloned()
            .into_iter()
            .collect()
    }

    fn relay_ping(&mut self, target_address: SocketAddr, relay: Relay, ctx: &mut EventContext<'_>) {
        let nonce = relay.nonce;
        if self.prober.relays.len() >= RELAYS_MAX {
            self.prober.relays.remove(0);
        }
        self.prober.relays.push(relay);
        self.send(target_address, Body::Ping { nonce }, &[], ctx);
    }

    fn handle_ack(&mut self, sender: &Member, nonce: u64, ctx: &mut EventContext<'_>) {
        self.complete_probe(nonce, &sender.server, ctx);
        let relays = &mut self.prober.relays;
        let found = relays
            .iter()
            .position(|r| r.nonce == nonce && r.target == sender.server);
        if let Some(index) = found {
            let relay = relays.remove(index);
            let body = Body::RelayedAck {
                nonce: relay.requester_nonce,
                target: relay.target,
            };
            self.mark_heard(&sender.server, ctx.now_us);
            self.send(relay.requester, body, &[], ctx);
        }
    }

    fn handle_relayed_ack(&mut self, nonce: u64, target: &ServerName, ctx: &mut EventContext<'_>) {
        self.complete_probe(nonce, target, ctx);
    }

    fn complete_probe(&mut self, nonce: u64, server: &ServerName, ctx: &mut EventContext<'_>) {
        let probe = self.prober.probe.as_ref();
        if probe.is_some_and(|p| p.nonce == nonce && &p.target.server == server) {
            self.prober.probe = None;
            self.mark_heard(server, ctx.now_us);
        }
    }

    fn check_config_version(
        &mut self,
        version: ConfigVersion,
        sender: &Member,
        ctx: &mut EventContext<'_>,
    ) {
        if version <= self.config_version {
            return;
        }
        let reported_recently = self.reported_config.is_some_and(|reported| {
            version <= reported.version
                && ctx.now_us < reported.reported_at_us + NEWER_CONFIG_REPEAT_US
        });
        if reported_recently {
            return;
        }
        self.reported_config = Some(ReportedConfig {
            version,
            reported_at_us: ctx.now_us,
        });
        ctx.actions.push(MembershipAction::NewerConfig {
            peer: sender.peer_address,
            version,
        });
    }

    /// Merges a record if it is newer than the stored one.
    pub(super) fn merge(&mut self, member: Member, source: Source, ctx: &mut EventContext<'_>) {
        if member.server == self.own.server {
            self.merge_own_record(member, ctx);
            return;
        }
        let Some(held) = self.table.get(&member.server) else {
            self.apply(member, source == Source::Gossip, ctx);
            return;
        };
        if !member.supersedes(&held.member) {
            self.recheck_death(&member);
            return;
        }
        let same_incarnation = held.member.incarnation == member.incarnation;
        let reports_death = same_incarnation && member.state == MemberState::Dead;
        let suspected = held.member.state == MemberState::Suspect;
        if reports_death
            && suspected
            && (held.reported_dead || self.was_heard_recently(held, ctx.now_us))
        {
            return;
        }
        if reports_death && held.member.state == MemberState::Alive {
            self.suspect_reported_dead(member, ctx);
            return;
        }
        self.apply(member, source != Source::Log, ctx);
    }

    /// Queues a ping of a member considered dead that another node considers alive.
    fn recheck_death(&mut self, member: &Member) {
        let held = self.table.get(&member.server);
        let held_dead = held.is_some_and(|entry| {
            entry.member.state == MemberState::Dead
                && entry.member.incarnation == member.incarnation
        });
        if held_dead && member.state == MemberState::Alive {
            self.prober.queue_dead_recheck(&member.server);
        }
    }

    /// Stores a newer record and reports the change.
    ///
    /// The record is queued for gossip if `disseminate` is set.
    /// Does nothing if the member table is full.
    pub(super) fn apply(&mut self, member: Member, disseminate: bool, ctx: &mut EventContext<'_>) {
        if !self.table.upsert(member.clone()) {
            return;
        }
        let suspicion_ends_at_us = ctx.now_us + self.suspicion_timeout_us();
        if let Some(entry) = self.table.get_mut(&member.server) {
            entry.suspicion_ends_at_us = suspicion_ends_at_us;
            entry.dead_since_us = ctx.now_us;
        }
        if disseminate {
            self.queue.add(&member.server);
        }
        ctx.actions.push(MembershipAction::Changed(member));
    }

    /// Suspects a member that others consider dead but this node considers alive.
    ///
    /// After a network partition between regions, each side considers the other dead. Applying that
    /// at once would remove live members, so the member is probed early and has twice the suspicion
    /// timeout to refute.
    fn suspect_reported_dead(&mut self, mut member: Member, ctx: &mut EventContext<'_>) {
        member.state = MemberState::Suspect;
        let server = member.server.clone();
        self.apply(member, false, ctx);
        let suspicion_ends_at_us = ctx.now_us + 2 * self.suspicion_timeout_us();
        if let Some(entry) = self.table.get_mut(&server) {
            entry.reported_dead = true;
            entry.suspicion_ends_at_us = suspicion_ends_at_us;
        }
        self.prober.probe_early(&server);
    }

    /// Refutes a newer record of this node, or reports that it was replaced.
    ///
    /// It was replaced if the record is of another run and this process has just resumed.
    fn merge_own_record(&mut self, member: Member, ctx: &mut EventContext<'_>) {
        if !member.supersedes(&self.own) {
            return;
        }
        let other_incarnation = member.incarnation != self.own.incarnation;
        let recently_resumed = self
            .resumed_at_us
            .is_some_and(|resumed_at_us| ctx.now_us < resumed_at_us + SUCCESSOR_WINDOW_US);
        if other_incarnation && recently_resumed && member.is_present() {
            ctx.actions.push(MembershipAction::Replaced { by: member });
            return;
        }
        self.raise_revision_above(member.revision);
    }
}
