//! What nodes say to each other about membership.

use std::net::SocketAddr;

use crate::model::ids::ConfigVersion;
use crate::model::names::ServerName;

use super::member::Member;

/// Longest datagram, in bytes: below the smallest common path MTU.
pub const DATAGRAM_BYTES_MAX: usize = 1_200;
/// Buckets of the member table whose digests are compared; a power of two.
pub const BUCKETS: usize = 64;

/// One datagram between nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// The sender's own record.
    pub sender: Member,
    /// Newest configuration that the sender holds.
    pub config_version: ConfigVersion,
    /// Digest of the members that the sender holds as present.
    pub digest: u64,
    /// What it is for.
    pub body: Body,
    /// Records that the receiver may lack.
    pub updates: Vec<Member>,
}

/// What a message is for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Body {
    /// Asks for an acknowledgement.
    Ping {
        /// Returned by the acknowledgement.
        nonce: u64,
    },
    /// Acknowledges a ping.
    Ack {
        /// Of the ping.
        nonce: u64,
    },
    /// Asks the receiver to ping a node that did not answer the sender.
    PingRequest {
        /// Of the sender's own ping, returned by the relayed acknowledgement.
        nonce: u64,
        /// Node to ping.
        target: ServerName,
        /// Its membership address.
        target_address: SocketAddr,
    },
    /// Relays an acknowledgement to the node that asked for the ping.
    RelayedAck {
        /// Of the ping request.
        nonce: u64,
        /// Node that answered.
        target: ServerName,
    },
    /// Only carries updates.
    Gossip,
    /// Asks for the records of buckets whose digests differ.
    SyncRequest {
        /// Digest of each of the [`BUCKETS`] buckets.
        bucket_digests: Vec<u32>,
        /// Hash of the name to begin with.
        first_hash: u64,
    },
    /// Carries records of buckets that differ.
    SyncPage,
}
