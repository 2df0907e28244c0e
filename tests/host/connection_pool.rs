//! Connections to the backend server that are kept for reuse.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bronzelock::edge::http1::BodyBudget;
use bronzelock::host::server::connection_pool::ConnectionPool;
use bronzelock::model::request::Effect;
use standins::proxy::{ConnectionFault, Proxy};
use tokio::net::TcpListener;

fn budget() -> Arc<BodyBudget> {
    Arc::new(BodyBudget::new(1 << 20))
}

/// Time after a disruption from which hosts are in touch again: the users' `contact-s`.
const CONTACT: Duration = Duration::from_secs(3);

/// Guards against requests on a connection to a backend server that another one has replaced.
#[tokio::test]
async fn a_connection_in_use_while_all_are_closed_is_not_reused() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let pool = ConnectionPool::new(listener.local_addr().expect("an address"), budget());
    let mut accepted = Vec::new();
    for (closes_all, expected_reuse) in [(false, true), (true, false)] {
        let in_use = pool.open().await.expect("a connection");
        accepted.push(listener.accept().await.expect("a connection"));
        if closes_all {
            pool.close_all();
        }
        pool.release(in_use);
        let next = pool.acquire(Effect::Idempotent).await;
        assert_eq!(next.expect("a connection").reused, expected_reuse);
    }
}

/// Guards against requests that wait on connections to the backend server that have gone silent.
#[tokio::test]
async fn a_connection_that_has_gone_silent_carries_no_request() {
    let loopback = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let server = TcpListener::bind(loopback).await.expect("a listener");
    let address = server.local_addr().expect("an address");
    let proxy = Proxy::start(loopback, address).await.expect("a proxy");
    let pool = ConnectionPool::new(proxy.address(), budget());
    let (opened, accepted) = tokio::join!(pool.acquire(Effect::Idempotent), server.accept());
    let _open = accepted.expect("a connection");
    pool.release(opened.expect("a connection"));
    proxy.inject(ConnectionFault::Silence);
    tokio::time::sleep(CONTACT).await;
    let next = pool.acquire(Effect::Idempotent).await;
    assert!(!next.expect("a connection").reused);
}
