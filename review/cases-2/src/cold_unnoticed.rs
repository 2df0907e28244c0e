//! A busy backend turns cold, and its node goes on sending as to a warm one.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::backend::{Backend, Place};
use crate::client::{self, Kind};
use crate::node::{Common, Machine, Node, machines};
use crate::record::Record;
use crate::store::Store;
use crate::{Case, Found, config, time_of_day_ms};

const HEARTBEAT: Duration = Duration::from_millis(1_500);
const WORK_MS: u64 = 88;

/// `cold-per-s` of the service, and what the rule adds.
const COLD_PER_S: f64 = 11.0;
const COLD_OVERAGE: f64 = 1.5;
const COLD_SLACK: f64 = 5.0;

/// How long it stays cold.
const COLD_MS: u64 = 3_000;

/// Requests in one second that end it while it is cold: twice as many as the rule allows.
const CRASHES_ABOVE: usize = 43;

/// Clients of each kind beside each node.
const CLIENTS: usize = 6;

fn place_of(machine: &Machine) -> Place {
    Place {
        name: machine.name,
        service: machine.service,
        zone: machine.zone,
        address: machine.backend.clone(),
        control: machine.control.clone(),
        slots: 12,
    }
}

pub fn run(case: &Case<'_>) -> Found {
    let (machines, shared_port, store) = machines(&[
        ("parlour-1", "parlour", "ratchaburi"),
        ("parlour-2", "parlour", "saraburi"),
        ("parlour-3", "parlour", "nakhon-pathom"),
    ]);
    let store = Store::start(&store);
    let routes = [
        ("stall-status", "/stall/", "idempotent", "parlour", 800, 250),
        (
            "stall-order",
            "/order/",
            "non-idempotent",
            "parlour",
            2_000,
            800,
        ),
    ];
    store.put(
        "keyed.op",
        "config",
        config(1, &routes, &["parlour"], COLD_PER_S).as_bytes(),
    );
    let common = Common {
        store: &store.address,
        shared_port,
        directory: case.directory,
    };
    let nodes: Vec<Node> = machines
        .iter()
        .map(|machine| Node::start(machine, &common, true, case.record))
        .collect();
    if !nodes
        .iter()
        .all(|node| node.await_ready(Duration::from_secs(10)))
    {
        return Found::CannotRun("a node did not get ready".to_owned());
    }
    let backends: Vec<Arc<Backend>> = machines
        .iter()
        .enumerate()
        .map(|(index, machine)| {
            let backend = Backend::start_fragile(
                &place_of(machine),
                &format!("i-{index}"),
                time_of_day_ms(),
                WORK_MS,
                Some(CRASHES_ABOVE),
                case.record,
            );
            backend.beat(HEARTBEAT);
            backend
        })
        .collect();
    std::thread::sleep(Duration::from_secs(3));
    let status = Kind {
        name: "stall-status",
        method: "GET",
        target: "/stall/7",
        host: "api.example",
        deadline_ms: 800,
        body_bytes: 0,
    };
    let order = Kind {
        name: "stall-order",
        method: "POST",
        target: "/order/7",
        deadline_ms: 2_000,
        body_bytes: 4,
        ..status.clone()
    };
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for machine in &machines {
        for _ in 0..CLIENTS {
            for kind in [&status, &order] {
                clients.push(client::start(
                    &machine.callers,
                    kind,
                    Duration::from_millis(5),
                    &stop,
                    case.record,
                ));
            }
        }
    }
    std::thread::sleep(Duration::from_secs(5));
    if case.trouble {
        backends[0].turn_cold(COLD_MS);
    }
    std::thread::sleep(Duration::from_secs(6));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    for backend in &backends {
        backend.end("exits");
    }
    drop(nodes);
    judge(case.record, case.trouble)
}

/// Most requests that were sent, and arrived at the cold backend, within one second.
fn judge(record: &Record, trouble: bool) -> Found {
    let lines = record.lines();
    let sent: HashMap<&str, u64> = lines
        .iter()
        .filter(|line| line.what == "sent")
        .filter_map(|line| Some((line.value("request")?, line.at_ms)))
        .collect();
    let arrived: Vec<(u64, u64)> = lines
        .iter()
        .filter(|line| line.what == "arrives" && line.value("cold") == Some("true"))
        .filter_map(|line| Some((*sent.get(line.value("request")?)?, line.at_ms)))
        .collect();
    let count_from = |from_ms: u64| {
        arrived
            .iter()
            .filter(|(sent, at)| *sent >= from_ms && *at <= from_ms + 1_000)
            .count()
    };
    let most = arrived
        .iter()
        .map(|(sent, _)| count_from(*sent))
        .max()
        .unwrap_or(0);
    let bound = COLD_PER_S * COLD_OVERAGE + COLD_SLACK;
    let served = lines
        .iter()
        .filter(|line| line.what == "answered" && line.value("status") == Some("200"))
        .count();
    if served == 0 {
        return Found::CannotRun("nothing was served".to_owned());
    }
    let crashed = lines.iter().any(|line| line.what == "crashes");
    let orders: HashMap<&str, u64> = lines
        .iter()
        .filter(|line| line.what == "sent" && line.value("kind") == Some("stall-order"))
        .filter_map(|line| Some((line.value("request")?, line.at_ms)))
        .collect();
    let run: std::collections::HashSet<&str> = lines
        .iter()
        .filter(|line| line.what == "arrives")
        .filter_map(|line| line.value("request"))
        .collect();
    let lost = lines
        .iter()
        .filter(|line| line.what == "answered" && line.value("status") != Some("200"))
        .filter_map(|line| line.value("request"))
        .filter(|request| orders.contains_key(request) && run.contains(request))
        .count();
    let text = format!(
        "the cold backend got {most} requests in one second at most, {} in all while it was cold; {bound} are allowed; {served} requests were served; crashed under the load: {crashed}; orders that had been taken and got no answer of a backend: {lost} (trouble: {trouble})",
        arrived.len()
    );
    if most as f64 > bound {
        Found::Broken(text)
    } else {
        Found::Held(text)
    }
}
