//! Membership datagrams that are foreign, old, forged or of a wrong length.

use std::sync::Arc;

use bronzelock::decision::membership::{Body, Member, MemberState, Message};
use bronzelock::edge::gossip_codec::GossipCodec;
use bronzelock::model::ids::{ConfigVersion, Incarnation};
use bronzelock::model::names::{ServerName, ZoneName};
use tokio::net::UdpSocket;

use crate::support::{TOKEN, cases, start};

const REJECTED: &str = "gossip.rejected";

fn server() -> ServerName {
    ServerName::new("herd-9").expect("a name")
}

/// A datagram in which a node that is not there announces itself.
fn datagram(token: &str) -> Vec<u8> {
    let sender = Member {
        server: server(),
        incarnation: Incarnation(7),
        peer_address: "127.0.0.1:9".parse().expect("an address"),
        gossip_address: "127.0.0.1:9".parse().expect("an address"),
        region: Arc::from("thailand"),
        zone: ZoneName::new("saraburi").expect("a name"),
        service: None,
        state: MemberState::Alive,
        revision: 1,
    };
    let message = Message {
        sender,
        config_version: ConfigVersion(9),
        digest: 1,
        body: Body::Gossip,
        updates: Vec::new(),
    };
    GossipCodec::new(token).encode(&message).expect("it fits")
}

/// Datagrams that no node of the installation sends.
fn bad_datagrams() -> Vec<Vec<u8>> {
    let genuine = datagram(TOKEN);
    let mut older = genuine.clone();
    older[2] -= 1;
    let mut flipped = genuine.clone();
    flipped[10] ^= 1;
    vec![
        b"hello".to_vec(),
        vec![0xff; 200],
        vec![b'b'; 2_000],
        datagram("a token of other nodes"),
        genuine[..genuine.len() - 1].to_vec(),
        older,
        flipped,
    ]
}

cases! {
    bad_datagrams_are_counted_and_teach_nothing => {
        let node = start().await;
        let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
        for (sent, datagram) in bad_datagrams().iter().enumerate() {
            socket.send_to(datagram, node.gossip()).await.expect("sent");
            node.wait_for_counter(REJECTED, sent as u64 + 1).await;
        }
        assert_eq!(node.kernel().state.peer(&server()), None);
        socket.send_to(&datagram(TOKEN), node.gossip()).await.expect("sent");
        crate::support::eventually("the genuine one is heard", || {
            node.kernel().state.peer(&server()).is_some()
        }).await;
        node.assert_unharmed().await;
    }
}
