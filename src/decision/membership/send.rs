//! How a node fills its datagrams within the byte budget.

use std::net::SocketAddr;

use super::events::MembershipAction;
use super::machine::{Membership, Turn};
use super::member::Member;
use super::message::{BUCKETS, Body, Message};
use super::packing::Packer;

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
            packer.add_always(member, &mut message);
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

    /// Sends records of the buckets that differ, from `first_bucket` on, while they fit.
    pub(super) fn send_page(
        &mut self,
        to: SocketAddr,
        bucket_digests: &[u32],
        first_bucket: usize,
        turn: &mut Turn<'_>,
    ) {
        let mut packer = Packer::new(&self.own, &Body::SyncPage, self.budget.bytes_left());
        let mut message = self.message(Body::SyncPage);
        let own_digests = self.digests();
        'page: for step in 0..BUCKETS {
            let bucket = (first_bucket + step) % BUCKETS;
            if bucket_digests.get(bucket) == Some(&own_digests.buckets()[bucket]) {
                continue;
            }
            for member in self.table.in_bucket(bucket, &mut turn.draws) {
                if !packer.add(member, &mut message) {
                    break 'page;
                }
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
            digest: self.digests().whole(),
            body,
            updates: Vec::new(),
        }
    }

    fn dispatch(&mut self, to: SocketAddr, message: Message, packer: &Packer, turn: &mut Turn<'_>) {
        self.budget.spend(packer.network_bytes());
        turn.actions.push(MembershipAction::Send { to, message });
    }
}
