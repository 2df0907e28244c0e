//! A node whose clients keep many connections takes no new one, and says that it is ready.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::backend::{Backend, Place};
use crate::client::{self, Kind};
use crate::http::{Connection, call, request};
use crate::node::{Common, Node, machines};
use crate::record::Record;
use crate::store::Store;
use crate::{Case, Found, config, time_of_day_ms};

unsafe extern "C" {
    fn getrlimit(resource: i32, limits: *mut [u64; 2]) -> i32;
    fn setrlimit(resource: i32, limits: *const [u64; 2]) -> i32;
}

/// Number of the limit of open files.
const RLIMIT_NOFILE: i32 = 7;

/// Open files that this process and the node need.
const FILES: u64 = 2_600;

const HEARTBEAT: Duration = Duration::from_millis(1_500);
const WORK_MS: u64 = 20;

/// Connections that clients keep, without and with the disruption.
const FEW: usize = 1_000;
const MANY: usize = 1_850;

/// Threads that share these connections.
const THREADS: usize = 25;

/// Time between two requests on a kept connection: two thirds of `idle-timeout-s`.
const EVERY: Duration = Duration::from_millis(6_600);

/// Clients that open a new connection for each try, and for how long they try.
const NEW_CLIENTS: usize = 10;
const TRIED_FOR: Duration = Duration::from_secs(10);

/// `contact-s`, in ms, and the number of clients that the rule names.
const CONTACT_MS: u64 = 3_000;
const CLIENTS_OF_RULE: usize = 7;

pub fn run(case: &Case<'_>) -> Found {
    if !allow_files() {
        return Found::CannotRun(format!("fewer than {FILES} open files are allowed"));
    }
    let (machines, shared_port, store) = machines(&[("herd-1", "herd", "ratchaburi")]);
    let machine = &machines[0];
    let store = Store::start(&store);
    let routes = [("cow-history", "/cow/", "idempotent", "herd", 1_500, 600)];
    store.put(
        "keyed.op",
        "config",
        config(1, &routes, &["herd"], 11.0).as_bytes(),
    );
    let common = Common {
        store: &store.address,
        shared_port,
        directory: case.directory,
    };
    let node = Node::start(machine, &common, true, case.record);
    if !node.await_ready(Duration::from_secs(10)) {
        return Found::CannotRun("the node did not get ready".to_owned());
    }
    let place = Place {
        name: machine.name,
        service: machine.service,
        zone: machine.zone,
        address: machine.backend.clone(),
        control: machine.control.clone(),
        slots: 12,
    };
    let backend = Backend::start(&place, "i-1", time_of_day_ms(), WORK_MS, case.record);
    backend.beat(HEARTBEAT);
    std::thread::sleep(Duration::from_secs(4));
    let stop = Arc::new(AtomicBool::new(false));
    let open = Arc::new(AtomicU64::new(0));
    let kind = Kind {
        name: "cow-history",
        method: "GET",
        target: "/cow/7",
        host: "api.example",
        deadline_ms: 1_500,
        body_bytes: 0,
    };
    let count = if case.trouble { MANY } else { FEW };
    let keepers: Vec<_> = (0..THREADS)
        .map(|thread| {
            let (callers, kind, stop, open, record) = (
                machine.callers.clone(),
                kind.clone(),
                Arc::clone(&stop),
                Arc::clone(&open),
                case.record.clone(),
            );
            let own = count / THREADS;
            std::thread::spawn(move || keep(own, thread, &callers, &kind, &stop, &open, &record))
        })
        .collect();
    // All connections are open after one round.
    std::thread::sleep(EVERY + Duration::from_secs(2));
    case.record.note(
        "connections-kept",
        &open.load(Ordering::Relaxed).to_string(),
    );
    let began_ms = case.record.note("new-clients", &NEW_CLIENTS.to_string());
    let tries: Vec<_> = (0..NEW_CLIENTS)
        .map(|_| {
            let (callers, record) = (machine.callers.clone(), case.record.clone());
            let kind = Kind {
                name: "new",
                ..kind.clone()
            };
            std::thread::spawn(move || try_new(&callers, &kind, &record))
        })
        .collect();
    let mut not_ready = 0;
    let until = Instant::now() + TRIED_FOR;
    while Instant::now() < until {
        let bytes = request("GET", "/v1/ready", &[("Host", machine.ready.clone())], b"");
        let status = call(&machine.ready, &bytes, Duration::from_secs(1))
            .map_or(0, |answer| answer.status());
        case.record.note("ready", &format!("status={status}"));
        not_ready += usize::from(status != 200);
        std::thread::sleep(Duration::from_millis(500));
    }
    for one in tries {
        let _ = one.join();
    }
    stop.store(true, Ordering::Relaxed);
    for keeper in keepers {
        let _ = keeper.join();
    }
    backend.end("exits");
    drop(node);
    judge(case.record, began_ms, not_ready)
}

/// Raises the number of files that this process and the node may open.
fn allow_files() -> bool {
    let mut limits = [0_u64; 2];
    // SAFETY: both calls take a pointer to two numbers of 64 bits.
    unsafe {
        if getrlimit(RLIMIT_NOFILE, &mut limits) != 0 || limits[1] < FILES {
            return false;
        }
        limits[0] = limits[0].max(FILES);
        setrlimit(RLIMIT_NOFILE, &limits) == 0
    }
}

/// Keeps connections on each of which a request is sent every [`EVERY`].
fn keep(
    count: usize,
    thread: usize,
    address: &str,
    kind: &Kind,
    stop: &AtomicBool,
    open: &AtomicU64,
    record: &Record,
) {
    let mut connections: Vec<Option<Connection>> = (0..count).map(|_| None).collect();
    let pause = EVERY / count as u32;
    std::thread::sleep(pause * thread as u32 / THREADS as u32);
    let mut next = Instant::now();
    while !stop.load(Ordering::Relaxed) {
        for connection in &mut connections {
            let was_open = connection.is_some();
            client::send(connection, address, kind, record);
            match (was_open, connection.is_some()) {
                (false, true) => open.fetch_add(1, Ordering::Relaxed),
                (true, false) => open.fetch_sub(1, Ordering::Relaxed),
                _ => 0,
            };
            next += pause;
            std::thread::sleep(next.saturating_duration_since(Instant::now()));
            if stop.load(Ordering::Relaxed) {
                return;
            }
        }
    }
}

/// Tries to get an answer over a new connection, again and again: each try ends after a second.
fn try_new(address: &str, kind: &Kind, record: &Record) {
    let until = Instant::now() + TRIED_FOR;
    while Instant::now() < until {
        let impatient = Kind {
            deadline_ms: 500,
            ..kind.clone()
        };
        client::send(&mut None, address, &impatient, record);
        std::thread::sleep(Duration::from_millis(200));
    }
}

fn judge(record: &Record, began_ms: u64, not_ready: usize) -> Found {
    let lines = record.lines();
    let new: std::collections::HashSet<&str> = lines
        .iter()
        .filter(|line| line.what == "sent" && line.value("kind") == Some("new"))
        .filter_map(|line| line.value("request"))
        .collect();
    let answered: Vec<u64> = lines
        .iter()
        .filter(|line| line.what == "answered" && line.value("status") != Some("0"))
        .filter(|line| {
            line.value("request")
                .is_some_and(|request| new.contains(request))
        })
        .map(|line| line.at_ms)
        .collect();
    let ended_ms = began_ms + TRIED_FOR.as_millis() as u64;
    let times = std::iter::once(began_ms)
        .chain(answered.iter().copied())
        .chain([ended_ms]);
    let times: Vec<u64> = times.collect();
    let longest_ms = times
        .windows(2)
        .map(|pair| pair[1].saturating_sub(pair[0]))
        .max()
        .unwrap_or(0);
    let served = lines
        .iter()
        .filter(|line| line.what == "answered" && line.value("status") == Some("200"))
        .count();
    let text = format!(
        "{} tries of {NEW_CLIENTS} clients on new connections, {} of them answered; none for {longest_ms} ms ({CONTACT_MS} allowed with {CLIENTS_OF_RULE} clients); the node was not ready {not_ready} times; {served} requests were served",
        new.len(),
        answered.len(),
    );
    if served == 0 {
        return Found::CannotRun(text);
    }
    if longest_ms >= CONTACT_MS && not_ready == 0 {
        Found::Broken(text)
    } else {
        Found::Held(text)
    }
}
