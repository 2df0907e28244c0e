//! What a node does with a datagram, and with the records in it.

use std::net::SocketAddr;

use crate::model::ids::ConfigVersion;
use crate::model::names::ServerName;

use super::events::MembershipAction;
use super::machine::{Behind, Membership, Turn};
use super::member::{Member, MemberState};
use super::message::{Body, Message};
use super::prober::Relay;

/// Time before the runtime is told again of the same newer configuration, in µs.
const BEHIND_REPEAT_US: u64 = 500_000;
/// Time after a pause in which another run of the own name counts as the successor, in µs.
const AWAKE_AGAIN_US: u64 = 60_000_000;
/// Pings made for others and not yet acknowledged, at most.
const RELAYS_MAX: usize = 64;
/// Random records for a node that is met for the first time.
const RECORDS_FOR_NEWCOMER: usize = 3;

/// Where a record comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Source {
    /// The member itself, or gossip about it.
    Gossip,
    /// A page of the table, asked for.
    Page,
    /// The log, which everyone reads.
    Log,
}

impl Membership {
    pub(super) fn receive(&mut self, from: SocketAddr, message: Message, turn: &mut Turn<'_>) {
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
        self.note_version(config_version, &sender, turn);
        self.merge(sender.clone(), Source::Gossip, turn);
        let changes_before = turn.actions.len();
        let last = updates.last().cloned();
        for update in updates {
            self.merge(update, source, turn);
        }
        if let Some(last) = last.filter(|_| source == Source::Page) {
            let brought_news = turn.actions.len() > changes_before;
            self.sync.note_page(&last, brought_news);
        }
        let own_digest = self.digest();
        self.sync.compare(from, digest, own_digest, turn.now_us);
        self.answer(from, &sender, is_new, body, turn);
    }

    fn answer(
        &mut self,
        from: SocketAddr,
        sender: &Member,
        is_new: bool,
        body: Body,
        turn: &mut Turn<'_>,
    ) {
        match body {
            Body::Ping { nonce } => self.acknowledge(from, sender, is_new, nonce, turn),
            Body::Ack { nonce } => self.take_ack(sender, nonce, turn),
            Body::RelayedAck { nonce, target } => self.take_relayed_ack(nonce, &target, turn),
            Body::SyncRequest {
                bucket_digests,
                first_hash,
            } => self.send_page(from, &bucket_digests, first_hash, turn),
            Body::PingRequest {
                nonce,
                target,
                target_address,
            } => {
                let relay = Relay {
                    nonce: turn.draws.next(),
                    asker_nonce: nonce,
                    asker: from,
                    target,
                };
                self.ping_for_other(target_address, relay, turn);
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
        turn: &mut Turn<'_>,
    ) {
        let mut first = self.correction_for(sender);
        if is_new {
            for _ in 0..RECORDS_FOR_NEWCOMER {
                let other = |m: &Member| m.is_present() && m.server != sender.server;
                let member = self.table.random(&mut turn.draws, other);
                first.extend(member.cloned());
            }
        }
        self.send(from, Body::Ack { nonce }, &first, turn);
    }

    /// The held record of a sender, when it differs from what the sender says of itself.
    fn correction_for(&self, sender: &Member) -> Vec<Member> {
        let held = self.table.get(&sender.server);
        let held = held.map(|record| &record.member);
        held.filter(|held| *held != sender)
            .cloned()
            .into_iter()
            .collect()
    }

    fn ping_for_other(&mut self, target_address: SocketAddr, relay: Relay, turn: &mut Turn<'_>) {
        let nonce = relay.nonce;
        if self.prober.relays.len() >= RELAYS_MAX {
            self.prober.relays.remove(0);
        }
        self.prober.relays.push(relay);
        self.send(target_address, Body::Ping { nonce }, &[], turn);
    }

    fn take_ack(&mut self, sender: &Member, nonce: u64, turn: &mut Turn<'_>) {
        self.take_probe_answer(nonce, &sender.server, turn);
        let relays = &mut self.prober.relays;
        let found = relays
            .iter()
            .position(|r| r.nonce == nonce && r.target == sender.server);
        if let Some(index) = found {
            let relay = relays.remove(index);
            let body = Body::RelayedAck {
                nonce: relay.asker_nonce,
                target: relay.target,
            };
            self.mark_heard(&sender.server, turn.now_us);
            self.send(relay.asker, body, &[], turn);
        }
    }

    fn take_relayed_ack(&mut self, nonce: u64, target: &ServerName, turn: &mut Turn<'_>) {
        self.take_probe_answer(nonce, target, turn);
    }

    fn take_probe_answer(&mut self, nonce: u64, server: &ServerName, turn: &mut Turn<'_>) {
        let probe = self.prober.probe.as_ref();
        if probe.is_some_and(|p| p.nonce == nonce && &p.target.server == server) {
            self.prober.probe = None;
            self.mark_heard(server, turn.now_us);
        }
    }

    fn note_version(&mut self, version: ConfigVersion, sender: &Member, turn: &mut Turn<'_>) {
        if version <= self.config_version {
            return;
        }
        let told_lately = self.behind.is_some_and(|behind| {
            version <= behind.version && turn.now_us < behind.told_at_us + BEHIND_REPEAT_US
        });
        if told_lately {
            return;
        }
        self.behind = Some(Behind {
            version,
            told_at_us: turn.now_us,
        });
        turn.actions.push(MembershipAction::ConfigBehind {
            peer: sender.peer_address,
            version,
        });
    }

    /// Takes in one record when it is newer than the held one.
    pub(super) fn merge(&mut self, member: Member, source: Source, turn: &mut Turn<'_>) {
        if member.server == self.own.server {
            self.hear_of_own_name(member, turn);
            return;
        }
        let Some(held) = self.table.get(&member.server) else {
            self.accept(member, source == Source::Gossip, turn);
            return;
        };
        if !member.supersedes(&held.member) {
            self.doubt_death(&member);
            return;
        }
        let same_run = held.member.incarnation == member.incarnation;
        let found_dead = same_run && member.state == MemberState::Dead;
        let suspected = held.member.state == MemberState::Suspect;
        if found_dead && suspected && (held.disputed || self.was_heard_lately(held, turn.now_us)) {
            return;
        }
        if found_dead && held.member.state == MemberState::Alive {
            self.dispute(member, turn);
            return;
        }
        self.accept(member, source != Source::Log, turn);
    }

    /// Asks for an early ping of a member that is held dead but that others hold alive.
    fn doubt_death(&mut self, member: &Member) {
        let held = self.table.get(&member.server);
        let held_dead = held.is_some_and(|record| {
            record.member.state == MemberState::Dead
                && record.member.incarnation == member.incarnation
        });
        if held_dead && member.state == MemberState::Alive {
            self.prober.doubt_death(&member.server);
        }
    }

    /// Puts a newer record in place, and passes it on.
    pub(super) fn accept(&mut self, member: Member, pass_on: bool, turn: &mut Turn<'_>) {
        if !self.table.put(member.clone()) {
            return;
        }
        let dead_at_us = turn.now_us + self.suspicion_us();
        if let Some(record) = self.table.get_mut(&member.server) {
            record.dead_at_us = dead_at_us;
            record.dead_since_us = turn.now_us;
        }
        if pass_on {
            self.queue.add(&member.server);
        }
        turn.actions.push(MembershipAction::Changed(member));
    }

    /// Suspects a member that others hold dead but this node holds alive.
    ///
    /// After a cut between regions each side holds the other dead. Taking that over at once would
    /// remove live members, so it is probed early and has twice the time to refute.
    fn dispute(&mut self, mut member: Member, turn: &mut Turn<'_>) {
        member.state = MemberState::Suspect;
        let server = member.server.clone();
        self.accept(member, false, turn);
        let dead_at_us = turn.now_us + 2 * self.suspicion_us();
        if let Some(record) = self.table.get_mut(&server) {
            record.disputed = true;
            record.dead_at_us = dead_at_us;
        }
        self.prober.probe_early(&server);
    }

    /// Refutes a record of the own name, or finds that another run has taken it over.
    fn hear_of_own_name(&mut self, member: Member, turn: &mut Turn<'_>) {
        if !member.supersedes(&self.own) {
            return;
        }
        let other_run = member.incarnation != self.own.incarnation;
        let awake_again = self
            .woke_at_us
            .is_some_and(|woke_at_us| turn.now_us < woke_at_us + AWAKE_AGAIN_US);
        if other_run && awake_again && member.is_present() {
            turn.actions.push(MembershipAction::Replaced { by: member });
            return;
        }
        self.raise_revision_above(member.revision);
    }
}
