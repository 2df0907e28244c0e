//! Calls to the log service while connections to it fail.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use bronzelock::platform::store::StoreClient;
use standins::platform::store::Store;
use standins::proxy::{ConnectionFault, Proxy};

const TOPIC: &str = "keyed.op";

/// Pause between two reads, shorter than the time after which the kernel probes a connection.
const PAUSE: Duration = Duration::from_millis(700);

/// Guards against old configurations while connections to the log service are silent.
///
/// Rechecks come after pauses of up to 2 s. One on a silent connection would be answered too late.
#[tokio::test]
async fn a_read_after_a_pause_does_not_depend_on_an_idle_connection() {
    let loopback = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let store = Store::start(loopback).await.expect("the store starts");
    let proxy = Proxy::start(loopback, store.address())
        .await
        .expect("a proxy");
    let mut client = StoreClient::new(proxy.address());
    let first = client.read_newest(TOPIC).await;
    assert!(matches!(first, Ok((_, 0))), "{first:?}");
    store.put(TOPIC, "config", Some(b"value"));
    proxy.inject(ConnectionFault::Silence);
    tokio::time::sleep(PAUSE).await;
    let second = client.read_newest(TOPIC).await;
    assert!(matches!(second, Ok((_, 1))), "{second:?}");
}
