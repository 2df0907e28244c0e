//! How a node fills its datagrams within the byte budget.

use std::net::SocketAddr;

use super::digest;
use super::events::MembershipAction;
use super::machine::{Membership, Turn};
use super::member::Member;
use super::message::{Body, Message};
use super::packing::Packer;

/// Time for which a death is told in pages, in µs.
const DEAD_TOLD_US: u64 = 60_000_000;

impl Membership {
    /// Sends a message with the records in `first`, then queued updates while they fit.
    pub(super) fn send(
        &mut self,
        to: SocketAddr,
        body: Body,
        first: &[Member],
        turn: &mut Turn<'_>,
    ) {
        let mut packer = Packer::new(&self.own, &body, self.budget.bytes_left());
        let mut message = self.message(body);
        for member in first {
            packer.add_beyond_budget(member, &mut message);
        }
        let first_update = message.updates.len();
        for server in self.queue.in_order() {
            let Some(record) = self.table.get(server) else {
                continue;
            };
            if !packer.add(&record.member, &mut message) {
                break;
            }
        }
        let transmissions = self.transmissions();
        for update in &message.updates[first_update..] {
            self.queue.count_sent(&update.server, transmissions);
        }
        self.dispatch(to, message, &packer, turn);
    }

    /// Sends records of the buckets that differ, from `first_hash` on, while they fit.
    ///
    /// Those long dead are left out: a newcomer does not need them, and after a cut between
    /// regions they would cast doubt on members that are there.
    pub(super) fn send_page(
        &mut self,
        to: SocketAddr,
        bucket_digests: &[u32],
        first_hash: u64,
        turn: &mut Turn<'_>,
    ) {
        let mut packer = Packer::new(&self.own, &Body::SyncPage, self.budget.bytes_left());
        let mut message = self.message(Body::SyncPage);
        let own_digests = self.digests();
        let own_buckets = own_digests.buckets();
        for record in self.table.in_hash_order_from(first_hash) {
            let bucket = digest::bucket(record.name_hash);
            let same = bucket_digests.get(bucket) == Some(&own_buckets[bucket]);
            let long_dead =
                !record.member.is_present() && record.dead_since_us + DEAD_TOLD_US < turn.now_us;
            if same || long_dead {
                continue;
            }
            if !packer.add(&record.member, &mut message) {
                break;
            }
        }
        if !message.updates.is_empty() {
            self.dispatch(to, message, &packer, turn);
        }
    }

    fn message(&self, body: Body) -> Message {
        Message {
            sender: self.own.clone(),
            config_version: self.config_version,
            digest: self.digest(),
            body,
            updates: Vec::new(),
        }
    }

    fn dispatch(&mut self, to: SocketAddr, message: Message, packer: &Packer, turn: &mut Turn<'_>) {
        self.budget.spend(packer.network_bytes());
        turn.actions.push(MembershipAction::Send { to, message });
    }
}
