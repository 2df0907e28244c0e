//! Connections whose other end takes nothing in for a while.

use std::time::Duration;

use bronzelock::edge::http1::client::{KeepAlive, connect, enable_dead_peer_detection};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Time for which the other end takes nothing in: less than the users' `contact-s`.
const TAKES_NOTHING_FOR: Duration = Duration::from_secs(2);

/// More than the system keeps for a connection, in bytes.
const MESSAGE_BYTES: usize = 32 << 20;

/// Guards against all requests on a connection between nodes that fail since a full link holds their
/// answers up.
#[tokio::test]
async fn a_connection_between_nodes_outlasts_an_end_that_takes_nothing_for_a_while() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let opened = connect(address, TAKES_NOTHING_FOR, KeepAlive::Checked);
    let (opened, accepted) = tokio::join!(opened, listener.accept());
    let (mut reader, (mut writer, _peer)) = (opened.expect("open"), accepted.expect("accepted"));
    enable_dead_peer_detection(&writer, KeepAlive::Checked).expect("options are set");
    let write = async {
        let written = writer.write_all(&vec![0; MESSAGE_BYTES]).await;
        drop(writer);
        written
    };
    let read = async {
        tokio::time::sleep(TAKES_NOTHING_FOR).await;
        let mut taken = Vec::new();
        reader
            .read_to_end(&mut taken)
            .await
            .map(|_bytes| taken.len())
    };
    let (written, taken) = tokio::join!(write, read);
    written.expect("written");
    assert_eq!(taken.expect("read"), MESSAGE_BYTES);
}
