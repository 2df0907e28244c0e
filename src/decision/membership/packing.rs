//! Limits on the length of datagrams and on the bytes sent per second.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::model::names::ServiceName;

use super::member::Member;
use super::message::{Body, DATAGRAM_BYTES_MAX, Message};

/// Length of the UDP and IPv4 headers, in bytes.
const UDP_IP_HEADER_BYTES: usize = 28;
/// Maximum length of the fixed fields of a message, in bytes.
///
/// These are magic, version, tag, configuration version, digest and length prefixes.
const FRAME_BYTES_MAX: usize = 44;
/// Maximum length of the fixed fields of a record, in bytes.
///
/// These are incarnation, revision, state and the three text indices.
const RECORD_FIXED_BYTES_MAX: usize = 18;
/// Maximum length of the fixed fields of a body, in bytes.
///
/// These are kind, nonce, first hash and length prefix.
const BODY_FIXED_BYTES_MAX: usize = 12;
/// Length of the length prefix of a short string, in bytes.
const LENGTH_PREFIX_BYTES: usize = 1;
/// Maximum length of variant and port of an encoded socket address, in bytes.
const ADDRESS_FIXED_BYTES_MAX: usize = 4;
/// Length of a bucket digest, in bytes.
const BUCKET_DIGEST_BYTES: usize = 4;

/// Adds records to a message until the datagram is full.
///
/// It tracks an upper bound of the encoded length. Strings shared by several records are encoded
/// and counted once.
#[derive(Debug)]
pub(super) struct Packer {
    bytes: usize,
    bytes_max: usize,
    texts: BTreeSet<String>,
}

impl Packer {
    pub(super) fn new(sender: &Member, body: &Body, bytes_max: usize) -> Self {
        let mut packer = Self {
            bytes: FRAME_BYTES_MAX + body_bytes(body),
            bytes_max: bytes_max.min(DATAGRAM_BYTES_MAX),
            texts: BTreeSet::new(),
        };
        packer.bytes += packer.record_bytes(sender);
        packer.add_texts(sender);
        packer
    }

    /// Adds a record if it fits the datagram and the byte budget.
    ///
    /// Returns whether it fitted.
    pub(super) fn add(&mut self, member: &Member, message: &mut Message) -> bool {
        self.add_within(self.bytes_max, member, message)
    }

    /// Adds a record if it fits the datagram, even beyond the byte budget.
    ///
    /// This is for the few records that matter more than the budget. Returns whether it fitted.
    pub(super) fn add_beyond_budget(&mut self, member: &Member, message: &mut Message) -> bool {
        self.add_within(DATAGRAM_BYTES_MAX, member, message)
    }

    fn add_within(&mut self, bytes_max: usize, member: &Member, message: &mut Message) -> bool {
        let bytes = self.bytes + self.record_bytes(member);
        if bytes > bytes_max {
            return false;
        }
        self.bytes = bytes;
        self.add_texts(member);
        message.updates.push(member.clone());
        true
    }

    /// Upper bound of the bytes on the network, including UDP and IP headers.
    pub(super) fn network_bytes(&self) -> usize {
        self.bytes + UDP_IP_HEADER_BYTES
    }

    fn record_bytes(&self, member: &Member) -> usize {
        let name = LENGTH_PREFIX_BYTES + member.server.as_str().len();
        let peer = address_bytes(member.peer_address);
        let gossip = if member.gossip_address.ip() == member.peer_address.ip() {
            ADDRESS_FIXED_BYTES_MAX
        } else {
            1 + address_bytes(member.gossip_address)
        };
        let new_texts = shared_texts(member).filter(|text| !self.texts.contains(*text));
        let new_texts: usize = new_texts.map(|text| LENGTH_PREFIX_BYTES + text.len()).sum();
        RECORD_FIXED_BYTES_MAX + name + peer + gossip + new_texts
    }

    fn add_texts(&mut self, member: &Member) {
        for text in shared_texts(member) {
            if !self.texts.contains(text) {
                self.texts.insert(text.to_owned());
            }
        }
    }
}

fn shared_texts(member: &Member) -> impl Iterator<Item = &str> {
    let service = member.service.as_ref().map(ServiceName::as_str);
    [member.region.as_ref(), member.zone.as_str()]
        .into_iter()
        .chain(service)
}

fn address_bytes(address: SocketAddr) -> usize {
    let ip_bytes = if address.is_ipv4() { 4 } else { 16 };
    ADDRESS_FIXED_BYTES_MAX + ip_bytes
}

fn body_bytes(body: &Body) -> usize {
    let variable = match body {
        Body::Ping { .. } | Body::Ack { .. } | Body::Gossip | Body::SyncPage => 0,
        Body::PingRequest {
            target,
            target_address,
            ..
        } => target.as_str().len() + address_bytes(*target_address),
        Body::RelayedAck { target, .. } => target.as_str().len(),
        Body::SyncRequest { bucket_digests, .. } => bucket_digests.len() * BUCKET_DIGEST_BYTES,
    };
    BODY_FIXED_BYTES_MAX + variable
}

/// Token bucket that limits the bytes a node sends (Turner 1986).
#[derive(Debug)]
pub(super) struct ByteBudget {
    bytes_per_s: u64,
    /// Available credit in millionths of a byte; negative after messages that could not wait.
    micro_bytes: i64,
    filled_at_us: u64,
}

impl ByteBudget {
    pub(super) fn new(bytes_per_s: u64, now_us: u64) -> Self {
        let mut budget = Self {
            bytes_per_s,
            micro_bytes: 0,
            filled_at_us: now_us,
        };
        budget.micro_bytes = budget.micro_bytes_max();
        budget
    }

    pub(super) fn refill(&mut self, now_us: u64) {
        let elapsed_us = now_us.saturating_sub(self.filled_at_us);
        let refill = i64::try_from(elapsed_us.saturating_mul(self.bytes_per_s));
        let credit = self.micro_bytes.saturating_add(refill.unwrap_or(i64::MAX));
        self.micro_bytes = credit.min(self.micro_bytes_max());
        self.filled_at_us = now_us;
    }

    /// Bytes that can be sent now.
    pub(super) fn bytes_left(&self) -> usize {
        usize::try_from(self.micro_bytes / 1_000_000).unwrap_or(0)
    }

    pub(super) fn spend(&mut self, bytes: usize) {
        let spent = i64::try_from(bytes).unwrap_or(i64::MAX / 1_000_000);
        let debt_max = -self.micro_bytes_max();
        self.micro_bytes = (self.micro_bytes - spent * 1_000_000).max(debt_max);
    }

    /// Limit of credit and debt, in millionths of a byte: one second's bytes.
    fn micro_bytes_max(&self) -> i64 {
        i64::try_from(self.bytes_per_s * 1_000_000).unwrap_or(i64::MAX)
    }
}
