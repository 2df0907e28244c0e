//! Messages of the membership protocol.

use std::net::SocketAddr;

use crate::model::ids::ConfigVersion;
use crate::model::names::ServerName;

use super::member::Member;

/// Maximum length of a datagram, in bytes; below the smallest common path MTU.
pub const DATAGRAM_BYTES_MAX: usize = 1_200;
/// Number of buckets of the member table, each with its own digest.
///
/// Must be a power of two.
pub const BUCKETS: usize = 64;

/// Content of one datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// Record of the sender.
    pub sender: Member,
    /// Newest configuration version that the sender has.
    pub config_version: ConfigVersion,
    /// Digest of the members that the sender does not consider dead, including itself.
    pub digest: u64,
    /// Kind of message, with its parameters.
    pub body: Body,
    /// Records that the receiver may not have yet.
    pub updates: Vec<Member>,
}

/// Kind of a message, with its parameters.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Body {
    /// Asks for an acknowledgement.
    Ping {
        /// Copied into the acknowledgement.
        nonce: u64,
    },
    /// Acknowledges a ping.
    Ack {
        /// Nonce of the acknowledged ping.
        nonce: u64,
    },
    /// Asks for an indirect probe of a node that did not answer the sender.
    PingRequest {
        /// Nonce of the sender's own ping, copied into the relayed acknowledgement.
        nonce: u64,
        /// Node to ping.
        target: ServerName,
        /// Membership address of that node.
        target_address: SocketAddr,
    },
    /// Forwards an acknowledgement to the node that requested the ping.
    RelayedAck {
        /// Nonce of the ping request.
        nonce: u64,
        /// Node that acknowledged the ping.
        target: ServerName,
    },
    /// Carries updates only.
    Gossip,
    /// Requests the records of the buckets whose digests differ.
    SyncRequest {
        /// The sender's digests of all [`BUCKETS`] buckets.
        bucket_digests: Vec<u32>,
        /// Name hash from which the page starts.
        first_hash: u64,
    },
    /// Carries records of the differing buckets; answers a sync request.
    SyncPage,
}
