//! Building of outgoing messages within the byte budget.

use std::net::SocketAddr;

use super::digest;
use super::events::MembershipAction;
use super::machine::{EventContext, Membership};
use super::member::Member;
use super::message::{Body, Message};
use super::packing::Packer;

/// Time for which sync pages include a dead member, in µs.
const DEAD_IN_PAGES_US: u64 = 60_000_000;

impl Membership {
    /// Sends a message with `priority_records`, then queued updates while they fit.
    ///
    /// The byte budget limits the queued updates only.
    pub(super) fn send(
        &mut self,
        to: SocketAddr,
        body: Body,
        priority_records: &[Member],
        ctx: &mut EventContext<'_>,
    ) {
        let mut packer = Packer::new(&self.own, &body, self.budget.bytes_left());
        let mut message = self.message(body);
        for member in priority_records {
            packer.add_beyond_budget(member, &mut message);
        }
        let first_queued = message.updates.len();
        for server in self.queue.in_order() {
            let Some(entry) = self.table.get(server) else {
                continue;
            };
            if !packer.add(&entry.member, &mut message) {
                break;
            }
        }
        let transmissions_max = self.transmissions_max();
        for update in &message.updates[first_queued..] {
            self.queue
                .record_transmission(&update.server, transmissions_max);
        }
        self.emit(to, message, &packer, ctx);
    }

    /// Sends records of the differing buckets, starting at `first_hash`, while they fit.
    ///
    /// Members that died long ago are left out: a new member does not need them, and after a
    /// network partition between regions they would make live members suspect.
    pub(super) fn send_sync_page(
        &mut self,
        to: SocketAddr,
        bucket_digests: &[u32],
        first_hash: u64,
        ctx: &mut EventContext<'_>,
    ) {
        let mut packer = Packer::new(&self.own, &Body::SyncPage, self.budget.bytes_left());
        let mut message = self.message(Body::SyncPage);
        let own_digests = self.digests();
        let own_buckets = own_digests.buckets();
        for entry in self.table.in_hash_order_from(first_hash) {
            let bucket = digest::bucket(entry.name_hash);
            let bucket_matches = bucket_digests.get(bucket) == Some(&own_buckets[bucket]);
            let long_dead =
                !entry.member.is_present() && entry.dead_since_us + DEAD_IN_PAGES_US < ctx.now_us;
            if bucket_matches || long_dead {
                continue;
            }
            if !packer.add(&entry.member, &mut message) {
                break;
            }
        }
        if !message.updates.is_empty() {
            self.emit(to, message, &packer, ctx);
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

    fn emit(
        &mut self,
        to: SocketAddr,
        message: Message,
        packer: &Packer,
        ctx: &mut EventContext<'_>,
    ) {
        self.budget.spend(packer.network_bytes());
        ctx.actions.push(MembershipAction::Send { to, message });
    }
}
