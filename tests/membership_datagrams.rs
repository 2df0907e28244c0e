//! Tests of the datagram codec: accepted messages, and the error for each refused one.

#[path = "support/cases.rs"]
mod cases;

use std::net::SocketAddr;
use std::sync::Arc;

use bronzelock::decision::membership::{
    BUCKETS, Body, Member, MemberState, Membership, MembershipAction, MembershipEvent,
    MembershipSettings, Message,
};
use bronzelock::edge::gossip_codec::{GossipCodec, GossipCodecError};
use bronzelock::model::ids::{ConfigVersion, Incarnation};
use bronzelock::model::names::{ServerName, ServiceName, ZoneName};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn member(name: &str, gossip: &str, state: MemberState) -> Member {
    Member {
        server: ServerName::new(name).expect("valid name"),
        incarnation: Incarnation(u64::MAX - 1),
        peer_address: "10.0.0.1:7001".parse().expect("address"),
        gossip_address: gossip.parse().expect("address"),
        region: Arc::from("central"),
        zone: ZoneName::new("saraburi").expect("valid name"),
        service: (state != MemberState::Dead).then(|| ServiceName::new("herd").expect("valid")),
        state,
        revision: 70_000,
    }
}

fn message(body: Body) -> Message {
    Message {
        sender: member("herd-1", "10.0.0.1:7002", MemberState::Alive),
        config_version: ConfigVersion(9),
        digest: 77,
        body,
        updates: vec![
            member("herd-2", "10.0.0.9:7002", MemberState::Suspect),
            member("herd-3", "[fd00::1]:7002", MemberState::Leaving),
            member("herd-4", "10.0.0.1:1", MemberState::Dead),
        ],
    }
}

fn codec() -> GossipCodec {
    GossipCodec::new("token")
}

fn round_trip(body: Body) {
    let sent = message(body);
    let datagram = codec().encode(&sent).expect("fits");
    assert_eq!(codec().decode(&datagram), Ok(sent));
}

fn address() -> SocketAddr {
    "10.0.0.7:7002".parse().expect("address")
}

fn target() -> ServerName {
    ServerName::new("herd-7").expect("valid name")
}

cases! {
    round_trip:
    ping(Body::Ping { nonce: 1 });
    ack(Body::Ack { nonce: u64::MAX });
    ping_request(Body::PingRequest { nonce: 3, target: target(), target_address: address() });
    relayed_ack(Body::RelayedAck { nonce: 4, target: target() });
    gossip(Body::Gossip);
    sync_request(Body::SyncRequest { bucket_digests: vec![5; BUCKETS], first_hash: 6 });
    sync_page(Body::SyncPage);
}

fn refused(change: fn(&mut Vec<u8>), expected: GossipCodecError) {
    let mut datagram = codec().encode(&message(Body::Gossip)).expect("fits");
    change(&mut datagram);
    assert_eq!(codec().decode(&datagram), Err(expected));
}

cases! {
    refused:
    empty(Vec::clear, GossipCodecError::BadLength(0));
    oversized(|d| d.resize(1_201, 0), GossipCodecError::BadLength(1_201));
    foreign(|d| d[0] = b'x', GossipCodecError::BadMagic);
    older_version(|d| d[2] = 0, GossipCodecError::UnsupportedVersion(0));
    newer_version(|d| d[2] = 2, GossipCodecError::UnsupportedVersion(2));
    changed_body(|d| d[20] ^= 1, GossipCodecError::BadTag);
    changed_tag(|d| *d.last_mut().expect("not empty") ^= 1, GossipCodecError::BadTag);
    truncated(|d| d.truncate(40), GossipCodecError::BadTag);
}

#[test]
fn datagram_with_another_clusters_token_is_refused() {
    let datagram = GossipCodec::new("other").encode(&message(Body::Gossip));
    let decoded = codec().decode(&datagram.expect("fits"));
    assert_eq!(decoded, Err(GossipCodecError::BadTag));
}

#[test]
fn encoding_too_many_records_is_refused() {
    let mut oversized = message(Body::Gossip);
    oversized.updates = vec![oversized.sender.clone(); 60];
    assert!(matches!(
        codec().encode(&oversized),
        Err(GossipCodecError::TooLong(_))
    ));
}

#[test]
fn wrong_number_of_bucket_digests_is_refused() {
    let body = Body::SyncRequest {
        bucket_digests: vec![1; BUCKETS - 1],
        first_hash: 0,
    };
    let datagram = codec().encode(&message(body)).expect("fits");
    assert_eq!(codec().decode(&datagram), Err(GossipCodecError::Malformed));
}

/// A member whose names and addresses have the maximum encoded length.
fn longest_member(index: u8) -> Member {
    let text = |kind: char| format!("{kind}{index:0>63}");
    let address = SocketAddr::new([0xfd00, 0, 0, 0, 0, 0, 0, index.into()].into(), u16::MAX);
    Member {
        server: ServerName::new(&text('a')).expect("valid name"),
        incarnation: Incarnation(u64::MAX),
        peer_address: address,
        gossip_address: SocketAddr::new([0xfd01, 0, 0, 0, 0, 0, 0, 1].into(), u16::MAX),
        region: Arc::from(text('b').as_str()),
        zone: ZoneName::new(&text('c')).expect("valid name"),
        service: Some(ServiceName::new(&text('d')).expect("valid name")),
        state: MemberState::Alive,
        revision: u32::MAX - 1,
    }
}

#[test]
fn longest_names_and_addresses_fit_every_datagram() {
    let settings = MembershipSettings {
        bytes_out_per_s: 1_000_000,
        ..MembershipSettings::default()
    };
    let mut machine = Membership::new(longest_member(0), settings, 0);
    let mut actions = Vec::new();
    for index in 1..40 {
        machine.handle(
            MembershipEvent::ReadFromLog(longest_member(index)),
            0,
            1,
            &mut actions,
        );
    }
    for index in 40..80_u8 {
        let now_us = u64::from(index) * 100_000;
        let sync = Body::SyncRequest {
            bucket_digests: vec![0; BUCKETS],
            first_hash: u64::from(index) << 56,
        };
        for body in [Body::Ping { nonce: 1 }, sync] {
            let mut message = message(body);
            message.sender = longest_member(index);
            let from = address();
            let received = MembershipEvent::Received { from, message };
            machine.handle(received, now_us, index.into(), &mut actions);
        }
        machine.handle(MembershipEvent::Tick, now_us, index.into(), &mut actions);
    }
    let sends = actions.iter().filter_map(|action| match action {
        MembershipAction::Send { message, .. } => Some(message),
        _ => None,
    });
    let lengths: Vec<_> = sends.map(|message| codec().encode(message)).collect();
    assert!(lengths.len() >= 160, "{} datagrams", lengths.len());
    assert!(actions.iter().any(|a| matches!(a, MembershipAction::Send { message, .. } if message.body == Body::SyncPage && message.updates.len() > 1)));
    assert!(lengths.iter().all(Result::is_ok), "{lengths:?}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn random_bytes_are_never_accepted(bytes in proptest::collection::vec(any::<u8>(), 0..1_300)) {
        prop_assert!(codec().decode(&bytes).is_err());
    }
}
