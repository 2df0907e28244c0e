//! Connections to the backend server that are kept for further requests.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use bronzelock::host::connection_pool::ConnectionPool;
use bronzelock::model::request::Effect;
use standins::proxy::{ConnectionFault, Proxy};
use tokio::net::TcpListener;

/// Time after a disruption from which hosts are in touch again: the users' `contact-s`.
const CONTACT: Duration = Duration::from_secs(3);

/// Guards against requests that wait on connections to the backend server that have gone silent.
#[tokio::test]
async fn a_connection_that_has_gone_silent_carries_no_request() {
    let loopback = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let server = TcpListener::bind(loopback).await.expect("a listener");
    let address = server.local_addr().expect("an address");
    let proxy = Proxy::start(loopback, address).await.expect("a proxy");
    let pool = ConnectionPool::new(proxy.address());
    let (opened, accepted) = tokio::join!(pool.acquire(Effect::Idempotent), server.accept());
    let _open = accepted.expect("a connection");
    pool.release(opened.expect("a connection").connection);
    proxy.inject(ConnectionFault::Silence);
    tokio::time::sleep(CONTACT).await;
    let next = pool.acquire(Effect::Idempotent).await;
    assert!(!next.expect("a connection").reused);
}
