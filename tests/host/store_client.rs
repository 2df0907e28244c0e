//! Calls to the log service while connections to it fail.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use bronzelock::decision::host::keyed_state::KeyedState;
use bronzelock::model::log_position::LogPosition;
use bronzelock::platform::store::{LogPage, StoreClient};
use standins::platform::store::Store;
use standins::proxy::{ConnectionFault, LinkState, Proxy};

const TOPIC: &str = "keyed.op";

/// Pause between two reads, shorter than the time after which the kernel probes a connection.
const PAUSE: Duration = Duration::from_millis(700);

/// Size of a long value, and bytes that its link passes in a second: the answer, in Base64, takes 3.2 s.
const VALUE_BYTES: usize = 600_000;
const LINK_BYTES_PER_S: u64 = 250_000;

async fn store_behind_proxy() -> (Store, Proxy) {
    let loopback = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let store = Store::start(loopback).await.expect("the store starts");
    let proxy = Proxy::start(loopback, store.address()).await;
    (store, proxy.expect("a proxy"))
}

fn put_long_value(store: &Store, proxy: &Proxy) {
    store.put(TOPIC, "config", Some(&vec![b'x'; VALUE_BYTES]));
    proxy.set_state(LinkState::Narrow(LINK_BYTES_PER_S));
}

/// Guards against old configurations while connections to the log service are silent.
///
/// Rechecks come after pauses of up to 2 s. One on a silent connection would be answered too late.
#[tokio::test]
async fn a_read_after_a_pause_does_not_depend_on_an_idle_connection() {
    let (store, proxy) = store_behind_proxy().await;
    let mut client = StoreClient::new(proxy.address());
    let first = client.read_newest(TOPIC).await;
    assert!(
        matches!(&first, Ok(read) if read.end.offset == 0),
        "{first:?}"
    );
    store.put(TOPIC, "config", Some(b"value"));
    proxy.inject(ConnectionFault::Silence);
    tokio::time::sleep(PAUSE).await;
    let second = client.read_newest(TOPIC).await;
    assert!(
        matches!(&second, Ok(read) if read.end.offset == 1),
        "{second:?}"
    );
}

/// Guards against nodes that start without a configuration behind a slow link.
///
/// An answer had to be complete within a time limit, however long it was, and each failed read began
/// again from nothing.
#[tokio::test]
async fn a_long_answer_may_take_its_time_while_it_arrives() {
    let (store, proxy) = store_behind_proxy().await;
    put_long_value(&store, &proxy);
    let mut client = StoreClient::new(proxy.address());
    let read = client.read_newest(TOPIC).await;
    let length = read.map(|snapshot| snapshot.value_bytes());
    assert!(matches!(length, Ok(VALUE_BYTES)), "{length:?}");
}

/// Guards against waiting for an answer that has stopped arriving.
#[tokio::test]
async fn a_long_answer_that_stops_arriving_fails_soon() {
    let (store, proxy) = store_behind_proxy().await;
    put_long_value(&store, &proxy);
    let mut client = StoreClient::new(proxy.address());
    let silence = async {
        tokio::time::sleep(PAUSE).await;
        proxy.inject(ConnectionFault::Silence);
    };
    let started = Instant::now();
    let (read, ()) = tokio::join!(client.read_newest(TOPIC), silence);
    assert!(read.is_err(), "{read:?}");
    assert!(
        started.elapsed() < Duration::from_secs(4),
        "{:?}",
        started.elapsed()
    );
}

/// Guards against reading the same page again without a pause, for ever.
///
/// A page without any valid key did not move the position on.
#[tokio::test]
async fn a_page_without_valid_keys_is_passed_over() {
    let loopback = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let store = Store::start(loopback).await.expect("the store starts");
    store.put_invalid(TOPIC);
    store.put_invalid(TOPIC);
    let mut client = StoreClient::new(store.address());
    let start = LogPosition::default();
    let page = client.read(TOPIC, start, Duration::ZERO).await;
    let Ok(LogPage::Records { records, next, end }) = page else {
        panic!("{page:?}");
    };
    assert!(records.is_empty(), "{records:?}");
    assert_eq!((next.offset, end.offset), (2, 2));
    let mut state = KeyedState::default();
    state.advance(next);
    assert_eq!(state.end(), next);
    state.advance(start);
    assert_eq!(state.end(), next, "it never goes back");
}
