//! Connections to the backend server that are kept for reuse.

use bronzelock::host::connection_pool::ConnectionPool;
use bronzelock::model::request::Effect;
use tokio::net::TcpListener;

/// Guards against requests on a connection to a backend server that another one has replaced.
#[tokio::test]
async fn a_connection_in_use_while_all_are_closed_is_not_reused() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let pool = ConnectionPool::new(listener.local_addr().expect("an address"));
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
