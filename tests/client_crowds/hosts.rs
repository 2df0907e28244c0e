//! Crowds at the hosts of the users' platform.

use std::net::SocketAddr;
use std::time::Duration;

use standins::http::client::send_once;
use standins::platform::names;
use tokio::sync::{Mutex, MutexGuard};

use crate::callers::{Kind, LATE_MS, WAIT_MS, ask_kind};
use crate::crowd::{Crowd, Part};
use crate::forms::{BODY_BYTES_MAX, Form};
use crate::operator::{CallerLimits, HOST_NAME, Operator};
use crate::site::{FILES_MAX, MEMORY_MB, Place};
use crate::system::{System, eventually, metrics, place};

/// Memory that a node may use where crowds come, in MB.
const CROWD_MEMORY_MB: u64 = 64;

/// A host whose callers ask for the service of the other one, and that one.
const HOSTS: [Place; 2] = [
    place("parlour-1", "parlour", "ratchaburi"),
    place("herd-1", "herd", "saraburi"),
];

/// Time after the start in which hosts learn of each other and backend servers warm up.
const SETTLED_AFTER: Duration = Duration::from_secs(3);

/// Limits on callers' requests: connections that stay are kept for longer than a test lasts.
const LIMITS: CallerLimits = CallerLimits {
    body_bytes_max: BODY_BYTES_MAX,
    idle_timeout_ms: 120_000,
    route_timeout_ms: Some(20_000),
};

/// Where a crowd comes.
#[derive(Debug, Clone, Copy)]
enum At {
    /// At the node beside another service; its requests pass on to the other node.
    Entry = 0,
    /// At the node beside the backend server that runs its requests.
    Executor = 1,
}

/// Lets one test run at a time.
async fn alone() -> MutexGuard<'static, ()> {
    static RUNNING: Mutex<()> = Mutex::const_new(());
    RUNNING.lock().await
}

/// Two hosts of which each may use `memory_mb`.
async fn start(limits: CallerLimits, memory_mb: u64) -> System {
    let mut operator = Operator::default();
    operator.limits = limits;
    let places = HOSTS.map(|place| place.with_memory(memory_mb));
    let system = System::start_with(operator, &places).await;
    system.wait_until_ready().await;
    tokio::time::sleep(SETTLED_AFTER).await;
    system
}

async fn callers_address(system: &System, host: usize) -> SocketAddr {
    system.sites[host].lock().await.addresses.callers()
}

/// Waits until a node answers ordinary requests of new callers.
async fn answers_ordinary_requests(node: SocketAddr, when: &str) {
    for kind in [Kind::History, Kind::Gate] {
        let mut tries = 0;
        eventually(&format!("{kind:?} is answered {when}"), async || {
            tries += 1;
            let id = format!("ordinary-{kind:?}-{when}-{tries}").replace(' ', "-");
            let limit = Duration::from_millis(WAIT_MS + LATE_MS);
            let asked = tokio::time::timeout(limit, ask_kind(node, &id, kind)).await;
            asked == Ok(Some(200))
        })
        .await;
        println!("{kind:?} answered {when} at try {tries}");
    }
}

/// Sends one non-idempotent request with a body; returns the status of its answer.
async fn upload(node: SocketAddr, id: &str, body_bytes: usize) -> Option<u16> {
    let request = hyper::Request::post(format!("{}{id}", Kind::Gate.path_prefix()))
        .header("host", HOST_NAME)
        .header(names::REQUEST_ID, id)
        .header(names::WAIT_MS, "15000")
        .body(vec![b'x'; body_bytes].into())
        .expect("a valid request");
    let answer = send_once(node, request).await.ok()?;
    Some(answer.status.as_u16())
}

/// Checks that all nodes live, and that none has had too much memory or has too many descriptors.
async fn check_bounds(system: &System, memory_mb: u64, when: &str) {
    for site in &system.sites {
        let mut site = site.lock().await;
        let name = site.place.name;
        assert_eq!(site.node.exit(), None, "{name} ended {when}");
        let peak = site.node.peak_memory_bytes();
        let files = site.node.open_files();
        println!("{name}: {} kB, {files} descriptors {when}", peak / 1_000);
        assert!(
            peak < memory_mb * 1_000_000,
            "{name} used {peak} bytes {when}"
        );
        assert!(files < FILES_MAX, "{name} had {files} descriptors {when}");
    }
}

/// Waits until no node holds memory for requests any more.
async fn memory_is_returned(system: &System) {
    for site in &system.sites {
        let ready = site.lock().await.addresses.ready();
        eventually("memory is returned", async || {
            let metrics = metrics(ready).await;
            let mut reserved = metrics
                .lines()
                .filter(|line| line.starts_with("bronzelock_memory_reserved_bytes{"))
                .peekable();
            reserved.peek().is_some() && reserved.all(|line| line.ends_with(" 0"))
        })
        .await;
    }
}

/// Lets a crowd come and leave.
async fn check(at: At, parts: &[Part]) {
    let _alone = alone().await;
    let system = start(LIMITS, CROWD_MEMORY_MB).await;
    let node = callers_address(&system, at as usize).await;
    let crowd = Crowd::come(node, "crowd", parts);
    crowd.sent().await;
    check_bounds(&system, CROWD_MEMORY_MB, "under the crowd").await;
    for host in [At::Entry, At::Executor] {
        let node = callers_address(&system, host as usize).await;
        answers_ordinary_requests(node, &format!("at {host:?} beside the crowd")).await;
    }
    check_bounds(&system, CROWD_MEMORY_MB, "beside ordinary requests").await;
    let refused = crowd.leave().await;
    for host in [At::Entry, At::Executor] {
        let node = callers_address(&system, host as usize).await;
        answers_ordinary_requests(node, &format!("at {host:?} after the crowd")).await;
    }
    memory_is_returned(&system).await;
    let mut tries = 0;
    eventually("a body of the longest length is answered", async || {
        tries += 1;
        upload(node, &format!("upload-{tries}"), BODY_BYTES_MAX).await == Some(200)
    })
    .await;
    check_bounds(&system, CROWD_MEMORY_MB, "after the crowd").await;
    let runs = system.ledger.runs();
    for id in &refused {
        let run = runs.iter().find(|run| run.request_id == *id);
        assert_eq!(run, None, "refused as not run");
    }
    println!("{} requests were refused as not run", refused.len());
}

macro_rules! crowds {
    ($($(#[$doc:meta])* $name:ident: $at:ident, [$($clients:literal $form:ident),+];)+) => {
        $(
            $(#[$doc])*
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                let parts = [$(Part { form: Form::$form, clients: $clients }),+];
                check(At::$at, &parts).await;
            }
        )+
    };
}

crowds! {
    /// A process ended: bodies had no limit over all connections.
    short_bodies: Entry, [24 ShortBody];
    /// A process ended: bodies had no limit over all connections.
    short_bodies_in_pieces: Entry, [24 ShortBodyInPieces];
    /// A process ended: the limit of a chunked body was the only one.
    short_bodies_in_large_chunks: Entry, [24 ShortLargeChunks];
    /// A process ended: a chunk was taken in at its whole length.
    short_bodies_in_one_chunk: Entry, [24 ShortSingleChunk];
    /// Each byte of such bodies costs work; ordinary callers must still get answers.
    short_bodies_in_tiny_chunks: Entry, [24 ShortTinyChunks];
    /// A byte from time to time is not silence, but it is no progress either.
    slow_bodies: Entry, [40 SlowBody];
    /// Bodies that are small each take a limited memory together.
    short_small_bodies: Entry, [250 ShortSmallBody];
    /// Whole bodies that wait take their memory from the same budget, at both hops.
    whole_bodies: Entry, [24 WholeBody];
    /// Whole bodies at the node that runs them.
    whole_bodies_at_their_executor: Executor, [24 WholeBody];
    /// What is announced over the limit is refused before it is read.
    announced_over_the_limit: Entry, [24 AnnouncedOverLimit];
    /// A process ended: each body was refused at its limit, but together they were not.
    sent_over_the_limit: Entry, [24 SentOverLimit];
    /// A process ended: each connection took 32 bodies, whatever the others took.
    pipelined_bodies: Entry, [40 PipelinedBodies];
    /// The same at the node that runs them.
    pipelined_bodies_at_their_executor: Executor, [40 PipelinedBodies];
    /// A process ended: answers that nobody reads were kept without a limit.
    unread_answers: Entry, [40 UnreadAnswers];
    /// The same at the node beside the backend server.
    unread_answers_at_their_executor: Executor, [40 UnreadAnswers];
    /// Nobody was answered until the heads timed out: they occupied all connections.
    short_heads: Entry, [400 ShortHead];
    /// Nobody was answered for as long as idle connections occupied the limit.
    idle_connections: Entry, [400 Idle];
    /// Several crowds at once.
    a_crowd_of_many_forms: Entry, [8 ShortBodyInPieces, 8 ShortLargeChunks, 8 WholeBody,
        8 SlowBody, 20 ShortTinyChunks, 50 ShortSmallBody, 4 PipelinedBodies, 4 UnreadAnswers];
}

/// Length of an upload that is legal in every configuration of the users, in bytes.
const LARGE_UPLOAD_BYTES: usize = 64_000_000;

/// Longest body in the users' configurations, in bytes.
const LARGE_BODY_BYTES_MAX: usize = 67_108_864;

/// One upload within the limits ended a node of the smallest memory.
async fn check_single_upload(at: At) {
    let _alone = alone().await;
    let limits = CallerLimits {
        body_bytes_max: LARGE_BODY_BYTES_MAX,
        ..LIMITS
    };
    let system = start(limits, MEMORY_MB).await;
    let node = callers_address(&system, at as usize).await;
    for round in 0..2 {
        let id = format!("large-{round}");
        assert_eq!(upload(node, &id, LARGE_UPLOAD_BYTES).await, Some(200));
        let runs = system.ledger.runs();
        let run = runs.iter().find(|run| run.request_id == id);
        let body_bytes = run.expect("it has run").body_bytes;
        assert_eq!(body_bytes, LARGE_UPLOAD_BYTES);
        check_bounds(&system, MEMORY_MB, "after an upload").await;
    }
    memory_is_returned(&system).await;
}

/// One upload within the limits ended the node where it arrived, and took the other one's memory.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_single_large_upload_passes_two_nodes() {
    check_single_upload(At::Entry).await;
}

/// One upload within the limits ended the node beside its backend server.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_single_large_upload_passes_one_node() {
    check_single_upload(At::Executor).await;
}
