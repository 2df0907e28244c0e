//! What ends the wait of an admitted request before its first byte.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bronzelock::decision::host::crash_watch::CrashId;
use bronzelock::decision::stop_plan::StopPlan;
use bronzelock::host::context::Host;
use bronzelock::host::outcome::{Outcome, RequestFailure};
use bronzelock::host::server::{detached, executor, quarantine};
use bronzelock::kernel::shards::lock;
use bronzelock::model::host_request::{HostWork, ServerReport};
use bronzelock::model::reasons::RefusalReason;
use bronzelock::model::request::Effect;
use bronzelock::platform::names;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::backend_answers::{announced_host, work};
use crate::eventually::eventually_within;

/// Time in which the end of a wait takes effect; shorter than a slow phase is waited for.
const AT_ONCE: Duration = Duration::from_millis(500);

/// How long work takes in a slow phase, in percent, and the usual time, in µs.
const SLOW_PERCENT: u32 = 500;
const USUAL_RUN_US: f64 = 350_000.0;

/// Time that each request has, in µs.
const DEADLINE_US: u64 = 5_000_000;

/// A node whose backend server is in a slow phase, with the listener of that server.
async fn slow_host() -> (Arc<Host>, TcpListener) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address: SocketAddr = listener.local_addr().expect("an address");
    let host = announced_host(address);
    set_slowness(&host, SLOW_PERCENT);
    (host, listener)
}

fn set_slowness(host: &Host, percent: u32) {
    let report = ServerReport {
        slowness_percent: Some(percent),
        ..ServerReport::default()
    };
    let now_us = host.now_us();
    host.gate.with(|gate| gate.observe_report(report, now_us));
}

fn order(host: &Host) -> HostWork {
    let mut work = work(host);
    work.effect = Effect::NonIdempotent;
    work.timing.usual_run_us = USUAL_RUN_US;
    work.timing.deadline_us = host.now_us() + DEADLINE_US;
    work
}

async fn until_admitted(host: &Host, count: u16) {
    let what = format!("{count} admitted requests");
    let is_reached = async || host.gate.load().in_flight == count;
    eventually_within(AT_ONCE, &what, is_reached).await;
}

async fn assert_not_sent(host: &Host, listener: &TcpListener, failure: &RequestFailure) {
    assert!(failure.is_not_run() && !failure.arrived, "{failure:?}");
    assert_eq!(host.gate.load().in_flight, 0, "its slot is free");
    let connected = tokio::time::timeout(Duration::from_millis(50), listener.accept()).await;
    assert!(connected.is_err(), "the backend server got a connection");
}

/// Sends the order on a connection that ends as the token says.
fn spawn_order(host: &Arc<Host>, connection_ended: &CancellationToken) -> JoinHandle<Outcome> {
    let (host, order) = (Arc::clone(host), order(host));
    let connection_ended = connection_ended.clone();
    tokio::spawn(async move { detached::run(&host, order, &connection_ended).await })
}

/// Drops the call of an order.
async fn drop_call(awaited: JoinHandle<Outcome>) {
    awaited.abort();
    assert!(awaited.await.is_err_and(|error| error.is_cancelled()));
}

/// What ends a wait while the caller stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Quarantine,
    ZoneOut,
    NodeStop,
    Unreachable,
}

impl End {
    fn bring_about(self, host: &Host, work: &HostWork) {
        let now_us = host.now_us();
        match self {
            Self::Quarantine => {
                let digest = bronzelock::platform::requests::digest_of(work);
                for crash in [1, 2].map(CrashId) {
                    let mut requests = lock(&host.poison_requests);
                    requests.record_crash(digest, crash, now_us, now_us);
                }
                assert!(quarantine::check(host, work).is_err());
                host.quarantine_began.notify_waiters();
            }
            Self::ZoneOut => host.gate.with(|gate| gate.set_zone_out(true)),
            Self::NodeStop => {
                let stop = StopPlan::with_steps(now_us, 0, DEADLINE_US);
                host.gate.with(|gate| gate.set_leaving(stop));
            }
            Self::Unreachable => {
                host.gate.with(|gate| gate.set_unreachable(true));
            }
        }
    }
}

async fn assert_ends_the_wait(effect: Effect, end: End, reason: RefusalReason) {
    let (host, listener) = slow_host().await;
    let mut order = order(&host);
    order.effect = effect;
    let held = tokio::spawn({
        let (host, order) = (Arc::clone(&host), order.clone());
        async move { executor::run(&host, order).await }
    });
    until_admitted(&host, 1).await;
    end.bring_about(&host, &order);
    let ended = tokio::time::timeout(AT_ONCE, held).await;
    let outcome = ended.expect("at once").expect("no panic");
    let failure = outcome.result.expect_err("refused");
    assert_eq!(failure.reason, reason);
    assert_not_sent(&host, &listener, &failure).await;
}

macro_rules! ends {
    ($($(#[$guard:meta])* $name:ident: $effect:ident, $end:ident => $reason:ident;)*) => {$(
        $(#[$guard])*
        #[tokio::test]
        async fn $name() {
            assert_ends_the_wait(Effect::$effect, End::$end, RefusalReason::$reason).await;
        }
    )*};
}

ends! {
    /// Guards against requests that are held although they are in quarantine.
    a_quarantine_ends_the_wait_for_a_slow_phase: NonIdempotent, Quarantine => PoisonRequest;
    /// Guards against the same for idempotent requests.
    a_quarantine_ends_the_wait_of_an_idempotent_request: Idempotent, Quarantine => PoisonRequest;
    /// Guards against requests that are held for a zone that is out, and refused only then.
    a_zone_that_goes_out_ends_the_wait_for_a_slow_phase: NonIdempotent, ZoneOut => ZoneOut;
    /// Guards against requests that are held by a node that stops, and refused only then.
    a_stop_of_the_node_ends_the_wait_for_a_slow_phase: NonIdempotent, NodeStop => Leaving;
    /// Guards against requests that are held for a backend server that cannot be reached.
    an_unreachable_server_ends_the_wait_for_a_slow_phase: NonIdempotent, Unreachable => ServerAbsent;
}

/// How the one who awaits a request leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Leave {
    /// The call is cancelled.
    Cancelled,
    /// Its connection ends, and nobody comes back.
    ConnectionLost,
}

async fn assert_leave_withdraws(leave: Leave) {
    let (host, listener) = slow_host().await;
    let connection_ended = CancellationToken::new();
    let awaited = spawn_order(&host, &connection_ended);
    until_admitted(&host, 1).await;
    if leave == Leave::ConnectionLost {
        connection_ended.cancel();
    }
    drop_call(awaited).await;
    // The phase ends while a lost node might still come back.
    set_slowness(&host, 100);
    let is_withdrawn = async || host.gate.load().in_flight == 0;
    eventually_within(Duration::from_secs(2), "withdrawn", is_withdrawn).await;
    let (id, open) = ("7".into(), CancellationToken::new());
    let settled = detached::settle(&host, &id, &open).await;
    let failure = settled.result.expect_err("withdrawn");
    assert_eq!(failure.reason, RefusalReason::Cancelled);
    let repeat = detached::run(&host, order(&host), &open).await;
    let failure = repeat.result.expect_err("the identifier is used");
    assert_not_sent(&host, &listener, &failure).await;
}

/// Guards against orders that are run after their callers have left.
#[tokio::test]
async fn a_held_order_is_withdrawn_when_its_call_is_cancelled() {
    assert_leave_withdraws(Leave::Cancelled).await;
}

/// Guards against orders that are run for a node that is gone.
#[tokio::test]
async fn a_held_order_is_withdrawn_when_its_node_does_not_come_back() {
    assert_leave_withdraws(Leave::ConnectionLost).await;
}

/// Guards against orders that are lost though their node comes back over another connection.
#[tokio::test]
async fn a_held_order_is_sent_when_its_node_comes_back() {
    let (host, listener) = slow_host().await;
    let connection_ended = CancellationToken::new();
    let awaited = spawn_order(&host, &connection_ended);
    until_admitted(&host, 1).await;
    connection_ended.cancel();
    drop_call(awaited).await;
    set_slowness(&host, 100);
    let (id, open) = ("7".into(), CancellationToken::new());
    let settled = detached::settle(&host, &id, &open);
    let (outcome, ()) = tokio::join!(settled, answer_one_request(&listener));
    assert_served(&outcome);
}

/// Guards against orders whose outcome is lost since their callers leave once they run.
#[tokio::test]
async fn an_order_that_was_sent_is_run_and_its_outcome_kept() {
    let (host, listener) = slow_host().await;
    set_slowness(&host, 100);
    let awaited = spawn_order(&host, &CancellationToken::new());
    let (mut stream, _node) = listener.accept().await.expect("a connection");
    read_request(&mut stream).await;
    drop_call(awaited).await;
    answer(&mut stream).await;
    let repeat = detached::run(&host, order(&host), &CancellationToken::new()).await;
    assert_served(&repeat);
}

async fn answer_one_request(listener: &TcpListener) {
    let (mut stream, _node) = listener.accept().await.expect("a connection");
    read_request(&mut stream).await;
    answer(&mut stream).await;
}

async fn read_request(stream: &mut tokio::net::TcpStream) {
    let mut request = [0; 1_024];
    let count = stream.read(&mut request).await.expect("a request");
    assert!(count > 0, "the request arrives");
}

async fn answer(stream: &mut tokio::net::TcpStream) {
    let (signature, id) = (names::SIGNATURE, names::REQUEST_ID);
    let answer =
        format!("HTTP/1.1 200 OK\r\n{signature}: signed\r\n{id}: 7\r\nContent-Length: 1\r\n\r\nx");
    let written = stream.write_all(answer.as_bytes()).await;
    written.expect("the answer is written");
}

fn assert_served(outcome: &Outcome) {
    let status = outcome.result.as_ref().map(|answer| answer.status);
    assert_eq!(status, Ok(200));
}
