//! One upload that is within the limits of the configuration takes more memory than the node has.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::backend::{Backend, Place};
use crate::client::{self, Kind};
use crate::node::{Common, Machine, Node, machines};
use crate::record::Record;
use crate::store::Store;
use crate::{Case, Found, config_with_body_limit, time_of_day_ms};

const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// `memory-mb` of the machine.
const MEMORY_BYTES: u64 = 160 << 20;

/// `max-body-bytes` of the configuration, as `fleetbench wire` shows it for the site.
const BODY_BYTES_MAX: usize = 67_108_864;

/// Clients that upload at the same time, and the size of one upload.
const UPLOADS: usize = 1;
const LARGE_BYTES: usize = 64_000_000;

/// Largest upload of the site's usual traffic.
const USUAL_BYTES: usize = 360_000;

/// Clients that keep their connections.
const CLIENTS: usize = 14;

/// Number of times that a client uploads.
const ROUNDS: usize = 3;

/// Requests on kept connections that the rule `LOST` allows to be cut.
const CUT_ALLOWED: usize = 3;

fn start_backend(machine: &Machine, work_ms: u64, record: &Record) -> Arc<Backend> {
    let place = Place {
        name: machine.name,
        service: machine.service,
        zone: machine.zone,
        address: machine.backend.clone(),
        control: machine.control.clone(),
        slots: 18,
    };
    let backend = Backend::start(
        &place,
        &format!("i-{}", machine.name),
        time_of_day_ms(),
        work_ms,
        record,
    );
    backend.beat(HEARTBEAT);
    backend
}

pub fn run(case: &Case<'_>) -> Found {
    let (machines, shared_port, store) = machines(&[
        ("ledger-1", "ledger", "perth-a"),
        ("media-1", "media-vault", "perth-b"),
    ]);
    let store = Store::start(&store);
    let routes = [
        (
            "purchase",
            "/purchase/",
            "non-idempotent",
            "ledger",
            2_000,
            800,
        ),
        (
            "deck-upload",
            "/upload/",
            "upload",
            "media-vault",
            2_500,
            2_000,
        ),
    ];
    let config =
        config_with_body_limit(1, &routes, &["ledger", "media-vault"], 16.0, BODY_BYTES_MAX);
    store.put("keyed.op", "config", config.as_bytes());
    let common = Common {
        store: &store.address,
        shared_port,
        directory: case.directory,
    };
    let mut nodes: Vec<Node> = machines
        .iter()
        .map(|machine| Node::start(machine, &common, true, case.record))
        .collect();
    if !nodes
        .iter()
        .all(|node| node.await_ready(Duration::from_secs(10)))
    {
        return Found::CannotRun("a node did not get ready".to_owned());
    }
    let backends = [
        start_backend(&machines[0], 280, case.record),
        start_backend(&machines[1], 260, case.record),
    ];
    std::thread::sleep(Duration::from_secs(3));
    let stop = Arc::new(AtomicBool::new(false));
    let purchase = Kind {
        name: "purchase",
        method: "POST",
        target: "/purchase/7",
        host: "api.example",
        deadline_ms: 2_000,
        body_bytes: 200,
    };
    let upload = Kind {
        name: "deck-upload",
        target: "/upload/7",
        deadline_ms: 2_500,
        body_bytes: if case.trouble {
            LARGE_BYTES
        } else {
            USUAL_BYTES
        },
        ..purchase.clone()
    };
    let entry = &machines[0].callers;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|index| {
            client::start(
                entry,
                &purchase,
                Duration::from_millis(5 + 4 * index as u64),
                &stop,
                case.record,
            )
        })
        .collect();
    // Longer than `contact-s`.
    std::thread::sleep(Duration::from_secs(5));
    let mut most = Vec::new();
    for _ in 0..ROUNDS {
        let round_ends = Arc::new(AtomicBool::new(false));
        let watch = nodes[0].limit_memory(MEMORY_BYTES, &round_ends);
        let uploads: Vec<_> = (0..UPLOADS)
            .map(|_| {
                let (entry, upload, record) = (entry.clone(), upload.clone(), case.record.clone());
                std::thread::spawn(move || client::send(&mut None, &entry, &upload, &record))
            })
            .collect();
        for upload in uploads {
            let _ = upload.join();
        }
        std::thread::sleep(Duration::from_millis(500));
        round_ends.store(true, Ordering::Relaxed);
        let resident = watch.join().unwrap_or(0);
        most.push(resident);
        if resident > MEMORY_BYTES {
            nodes[0].restart();
        }
        std::thread::sleep(Duration::from_secs(5));
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    for backend in &backends {
        backend.end("exits");
    }
    drop(nodes);
    judge(case.record, &most)
}

/// Counts the requests of kept connections that were passed on and whose connection was closed
/// without an answer.
fn judge(record: &Record, most: &[u64]) -> Found {
    let lines = record.lines();
    let of = |what: &str| -> Vec<&crate::record::Line> {
        lines.iter().filter(|line| line.what == what).collect()
    };
    let kept: HashSet<&str> = of("sent")
        .iter()
        .filter(|line| line.value("kind") == Some("purchase") && line.value("kept") == Some("true"))
        .filter_map(|line| line.value("request"))
        .collect();
    let passed_on: HashSet<&str> = of("arrives")
        .iter()
        .filter_map(|line| line.value("request"))
        .collect();
    let answers = of("answered");
    let served = answers
        .iter()
        .filter(|line| line.value("status") == Some("200"))
        .count();
    let cut = answers
        .iter()
        .filter(|line| line.value("status") == Some("0"))
        .filter_map(|line| line.value("request"))
        .filter(|request| kept.contains(request) && passed_on.contains(request))
        .count();
    if served == 0 {
        return Found::CannotRun("nothing was served".to_owned());
    }
    let text = format!(
        "the node used {most:?} bytes of memory at most in the rounds, and was ended for it {} times; {cut} purchases that were passed on from kept connections got no answer ({CUT_ALLOWED} are allowed); {served} requests were served",
        of("killed-for-memory").len(),
    );
    if cut > CUT_ALLOWED {
        Found::Broken(text)
    } else {
        Found::Held(text)
    }
}
