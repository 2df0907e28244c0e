//! Connections to the listener for peer nodes that are foreign, old, forged, silent or malformed.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use bronzelock::edge::handshake::{PeerKey, WIRE_VERSION, prove};
use bronzelock::edge::peer_client::PeerPool;
use bronzelock::kernel::tasks::Tasks;
use bronzelock::settings::peer::PeerSettings;
use standins::proxy::{ConnectionFault, Proxy};
use tarpc::context::Context;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::support::{TOKEN, TestNode, cases, read_to_end, start};

const REJECTED: [&str; 2] = ["peer.rejected", "refused.peer-rejected"];
/// Longer than any message that the node takes, in bytes.
const LONG_MESSAGE_BYTES: u32 = 1 << 30;

async fn connect(node: &TestNode) -> TcpStream {
    TcpStream::connect(node.peer()).await.expect("a connection")
}

/// Waits until the node has closed the connection and counted it once.
async fn rejected(node: &TestNode, mut stream: TcpStream) {
    read_to_end(&mut stream).await;
    for counter in REJECTED {
        node.wait_for_counter(counter, 1).await;
    }
    node.assert_unharmed().await;
}

async fn rejected_head(head: &[u8]) {
    let node = start().await;
    let mut stream = connect(&node).await;
    stream.write_all(head).await.expect("written");
    rejected(&node, stream).await;
}

/// Proves the token and sends one frame of the given length and bytes.
async fn rejected_frame(length: u32, bytes: &[u8]) {
    let node = start().await;
    let mut stream = connect(&node).await;
    let key = PeerKey::from_token(TOKEN);
    prove(&mut stream, &key).await.expect("the token is right");
    stream.write_u32(length).await.expect("written");
    stream.write_all(bytes).await.expect("written");
    rejected(&node, stream).await;
}

/// Time that a caller would wait for an answer.
const ANSWER_LIMIT: Duration = Duration::from_secs(10);

/// Time in which the proxy makes the connection silent.
const SILENT_AFTER: Duration = Duration::from_millis(200);

/// Guards against requests that wait until their deadline on a connection that has gone silent.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_call_on_a_silent_connection_fails_soon() {
    let node = start().await;
    let loopback = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let proxy = Proxy::start(loopback, node.peer()).await.expect("a proxy");
    let settings = serde_json::json!({"listen": node.peer(), "token": TOKEN});
    let settings: PeerSettings = serde_json::from_value(settings).expect("valid settings");
    let pool = PeerPool::new(settings, Tasks::default());
    let client = pool.client(proxy.address()).await.expect("a connection");
    let context = || {
        let mut context = Context::current();
        context.deadline = Instant::now() + ANSWER_LIMIT;
        context
    };
    let first = client.status(context()).await;
    assert!(first.is_ok(), "{first:?}");
    proxy.inject(ConnectionFault::Silence);
    tokio::time::sleep(SILENT_AFTER).await;
    let started = Instant::now();
    let second = client.status(context()).await;
    assert!(second.is_err(), "{second:?}");
    assert!(
        started.elapsed() < Duration::from_secs(4),
        "{:?}",
        started.elapsed()
    );
}

cases! {
    foreign_program_is_rejected => {
        rejected_head(b"GET / HTTP/1.1\r\n\r\n").await;
    }

    older_wire_version_is_rejected => {
        let older = (WIRE_VERSION - 1).to_be_bytes();
        rejected_head(&[b"BZLK", &older[..]].concat()).await;
    }

    newer_wire_version_is_rejected => {
        let newer = (WIRE_VERSION + 1).to_be_bytes();
        rejected_head(&[b"BZLK", &newer[..]].concat()).await;
    }

    wrong_token_is_rejected => {
        let node = start().await;
        let mut stream = connect(&node).await;
        let key = PeerKey::from_token("a token of other nodes");
        prove(&mut stream, &key).await.expect("the proof is sent");
        rejected(&node, stream).await;
    }

    silent_connection_is_rejected => {
        rejected_head(b"").await;
    }

    truncated_handshake_is_rejected => {
        rejected_head(b"BZ").await;
    }

    oversized_message_is_rejected => {
        rejected_frame(LONG_MESSAGE_BYTES, b"").await;
    }

    malformed_message_is_rejected => {
        rejected_frame(16, &[0xff; 16]).await;
    }
}
