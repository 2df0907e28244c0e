//! Serialized form of membership messages.
//!
//! Each distinct service, zone and region name is stored once per datagram, in a string table;
//! member records refer to it by index.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::decision::membership::{BUCKETS, Body, Member, MemberState, Message};
use crate::model::ids::{ConfigVersion, Incarnation};
use crate::model::names::{ServerName, ServiceName, ZoneName};

use super::gossip_codec::GossipCodecError;

/// Serialized form of [`Message`], with its string table.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct WireMessage {
    strings: Vec<String>,
    sender: WireMember,
    config_version: u64,
    digest: [u8; 8],
    body: WireBody,
    updates: Vec<WireMember>,
}

/// A member record; `region`, `zone` and `service` are indices into the string table.
#[derive(Debug, Serialize, Deserialize)]
struct WireMember {
    server: String,
    incarnation: [u8; 8],
    revision: u32,
    state: WireState,
    peer_address: SocketAddr,
    gossip_address: WireGossipAddress,
    region: u8,
    zone: u8,
    service: Option<u8>,
}

/// The gossip address; it usually has the same IP address as the peer address.
#[derive(Debug, Serialize, Deserialize)]
enum WireGossipAddress {
    SameIp { port: u16 },
    Other(SocketAddr),
}

#[derive(Debug, Serialize, Deserialize)]
enum WireState {
    Alive,
    Suspect,
    Leaving,
    Dead,
}

#[derive(Debug, Serialize, Deserialize)]
enum WireBody {
    Ping {
        nonce: [u8; 8],
    },
    Ack {
        nonce: [u8; 8],
    },
    PingRequest {
        nonce: [u8; 8],
        target: String,
        target_address: SocketAddr,
    },
    RelayedAck {
        nonce: [u8; 8],
        target: String,
    },
    Gossip,
    SyncRequest {
        bucket_digests: Vec<[u8; 4]>,
        first_hash: [u8; 8],
    },
    SyncPage,
}

impl From<&Message> for WireMessage {
    fn from(message: &Message) -> Self {
        let mut strings = Vec::new();
        let sender = wire_member(&message.sender, &mut strings);
        let updates = message.updates.iter();
        let updates = updates.map(|m| wire_member(m, &mut strings)).collect();
        Self {
            strings,
            sender,
            config_version: message.config_version.0,
            digest: message.digest.to_le_bytes(),
            body: WireBody::from(&message.body),
            updates,
        }
    }
}

impl TryFrom<WireMessage> for Message {
    type Error = GossipCodecError;

    fn try_from(wire: WireMessage) -> Result<Self, GossipCodecError> {
        let strings: Vec<Arc<str>> = wire.strings.into_iter().map(Arc::from).collect();
        let updates = wire.updates.into_iter();
        let updates: Result<_, _> = updates.map(|m| member(m, &strings)).collect();
        Ok(Self {
            sender: member(wire.sender, &strings)?,
            config_version: ConfigVersion(wire.config_version),
            digest: u64::from_le_bytes(wire.digest),
            body: Body::try_from(wire.body)?,
            updates: updates?,
        })
    }
}

fn wire_member(member: &Member, strings: &mut Vec<String>) -> WireMember {
    let same_ip = member.gossip_address.ip() == member.peer_address.ip();
    let gossip_address = if same_ip {
        WireGossipAddress::SameIp {
            port: member.gossip_address.port(),
        }
    } else {
        WireGossipAddress::Other(member.gossip_address)
    };
    let service = member.service.as_ref();
    WireMember {
        server: member.server.as_str().to_owned(),
        incarnation: member.incarnation.0.to_le_bytes(),
        revision: member.revision,
        state: WireState::from(member.state),
        peer_address: member.peer_address,
        gossip_address,
        region: string_index(&member.region, strings),
        zone: string_index(member.zone.as_str(), strings),
        service: service.map(|name| string_index(name.as_str(), strings)),
    }
}

/// Index of a string, which is added to the table if absent.
///
/// A datagram holds far fewer than 256 strings, so the index fits in one byte.
fn string_index(text: &str, strings: &mut Vec<String>) -> u8 {
    let index = strings.iter().position(|s| s == text).unwrap_or_else(|| {
        strings.push(text.to_owned());
        strings.len() - 1
    });
    u8::try_from(index).unwrap_or(u8::MAX)
}

fn member(wire: WireMember, strings: &[Arc<str>]) -> Result<Member, GossipCodecError> {
    let gossip_address = match wire.gossip_address {
        WireGossipAddress::SameIp { port } => SocketAddr::new(wire.peer_address.ip(), port),
        WireGossipAddress::Other(address) => address,
    };
    let service = wire
        .service
        .map(|index| string_at(index, strings))
        .transpose()?;
    Ok(Member {
        server: server_name(wire.server)?,
        incarnation: Incarnation(u64::from_le_bytes(wire.incarnation)),
        peer_address: wire.peer_address,
        gossip_address,
        region: Arc::clone(string_at(wire.region, strings)?),
        zone: ZoneName::new(string_at(wire.zone, strings)?).map_err(malformed)?,
        service: service
            .map(|name| ServiceName::new(name))
            .transpose()
            .map_err(malformed)?,
        state: MemberState::from(wire.state),
        revision: wire.revision,
    })
}

fn string_at(index: u8, strings: &[Arc<str>]) -> Result<&Arc<str>, GossipCodecError> {
    strings
        .get(usize::from(index))
        .ok_or(GossipCodecError::Malformed)
}

fn server_name(text: String) -> Result<ServerName, GossipCodecError> {
    ServerName::try_from(text).map_err(malformed)
}

fn malformed<E>(_cause: E) -> GossipCodecError {
    GossipCodecError::Malformed
}

impl From<MemberState> for WireState {
    fn from(state: MemberState) -> Self {
        match state {
            MemberState::Alive => Self::Alive,
            MemberState::Suspect => Self::Suspect,
            MemberState::Leaving => Self::Leaving,
            MemberState::Dead => Self::Dead,
        }
    }
}

impl From<WireState> for MemberState {
    fn from(state: WireState) -> Self {
        match state {
            WireState::Alive => Self::Alive,
            WireState::Suspect => Self::Suspect,
            WireState::Leaving => Self::Leaving,
            WireState::Dead => Self::Dead,
        }
    }
}

impl From<&Body> for WireBody {
    fn from(body: &Body) -> Self {
        match body {
            Body::Ping { nonce } => Self::Ping {
                nonce: nonce.to_le_bytes(),
            },
            Body::Ack { nonce } => Self::Ack {
                nonce: nonce.to_le_bytes(),
            },
            Body::PingRequest {
                nonce,
                target,
                target_address,
            } => Self::PingRequest {
                nonce: nonce.to_le_bytes(),
                target: target.as_str().to_owned(),
                target_address: *target_address,
            },
            Body::RelayedAck { nonce, target } => Self::RelayedAck {
                nonce: nonce.to_le_bytes(),
                target: target.as_str().to_owned(),
            },
            Body::Gossip => Self::Gossip,
            Body::SyncRequest {
                bucket_digests,
                first_hash,
            } => Self::SyncRequest {
                bucket_digests: bucket_digests.iter().map(|d| d.to_le_bytes()).collect(),
                first_hash: first_hash.to_le_bytes(),
            },
            Body::SyncPage => Self::SyncPage,
        }
    }
}

fn sync_request(
    bucket_digests: Vec<[u8; 4]>,
    first_hash: [u8; 8],
) -> Result<Body, GossipCodecError> {
    if bucket_digests.len() != BUCKETS {
        return Err(GossipCodecError::Malformed);
    }
    let digests = bucket_digests.into_iter();
    Ok(Body::SyncRequest {
        bucket_digests: digests.map(u32::from_le_bytes).collect(),
        first_hash: u64::from_le_bytes(first_hash),
    })
}

impl TryFrom<WireBody> for Body {
    type Error = GossipCodecError;

    fn try_from(wire: WireBody) -> Result<Self, GossipCodecError> {
        Ok(match wire {
            WireBody::Ping { nonce } => Self::Ping {
                nonce: u64::from_le_bytes(nonce),
            },
            WireBody::Ack { nonce } => Self::Ack {
                nonce: u64::from_le_bytes(nonce),
            },
            WireBody::PingRequest {
                nonce,
                target,
                target_address,
            } => Self::PingRequest {
                nonce: u64::from_le_bytes(nonce),
                target: server_name(target)?,
                target_address,
            },
            WireBody::RelayedAck { nonce, target } => Self::RelayedAck {
                nonce: u64::from_le_bytes(nonce),
                target: server_name(target)?,
            },
            WireBody::Gossip => Self::Gossip,
            WireBody::SyncRequest {
                bucket_digests,
                first_hash,
            } => sync_request(bucket_digests, first_hash)?,
            WireBody::SyncPage => Self::SyncPage,
        })
    }
}
