//! The machines that are left after a loss of others wait on polls of the store that were lost.
//!
//! `TROUBLE=loss` and `TROUBLE=silence` bring about one half of the disruption alone.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::backend::{Backend, Place};
use crate::client::{self, Kind};
use crate::node::{Common, Machine, Node, SIGKILL, machines};
use crate::record::Record;
use crate::store::Store;
use crate::{Case, Found, config, time_of_day_ms};

const HEARTBEAT: Duration = Duration::from_millis(1_500);
const WORK_MS: u64 = 88;

/// Machines that are lost: all but the last two.
const LOST: usize = 6;

/// `contact-s` and `config-apply-s`, in ms.
const CONTACT_MS: u64 = 3_000;
const CONFIG_APPLY_MS: u64 = 2_000;

/// From a change of the configuration to the disruption.
const CALM: Duration = Duration::from_millis(9_500);

/// From the disruption to the next change, and to the end.
const CHANGED_AFTER: Duration = Duration::from_millis(500);
const WATCHED: Duration = Duration::from_secs(12);

fn start_backend(machine: &Machine, record: &Record) -> Arc<Backend> {
    let place = Place {
        name: machine.name,
        service: machine.service,
        zone: machine.zone,
        address: machine.backend.clone(),
        control: machine.control.clone(),
        slots: 12,
    };
    let id = format!("i-{}", machine.name);
    let backend = Backend::start(&place, &id, time_of_day_ms(), WORK_MS, record);
    backend.beat(HEARTBEAT);
    backend
}

pub fn run(case: &Case<'_>) -> Found {
    let (machines, shared_port, store) = machines(&[
        ("ratchaburi-1", "herd", "ratchaburi"),
        ("ratchaburi-2", "herd", "ratchaburi"),
        ("ratchaburi-3", "parlour", "ratchaburi"),
        ("saraburi-1", "herd", "saraburi"),
        ("saraburi-2", "parlour", "saraburi"),
        ("saraburi-3", "parlour", "saraburi"),
        ("nakhon-pathom-1", "herd", "nakhon-pathom"),
        ("nakhon-pathom-2", "herd", "nakhon-pathom"),
    ]);
    let store = Store::start(&store);
    let kept = ("cow-history", "/cow/", "idempotent", "herd", 1_500, 600);
    let dropped = ("old", "/old/", "idempotent", "herd", 1_500, 600);
    let added = ("new", "/new/", "idempotent", "herd", 1_500, 600);
    let services = ["herd", "parlour"];
    let put = |version: u64, routes: &[(&str, &str, &str, &str, u64, u64)]| {
        store.put(
            "keyed.op",
            "config",
            config(version, routes, &services, 11.0).as_bytes(),
        );
    };
    put(1, &[kept, dropped]);
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
        .map(|machine| start_backend(machine, case.record))
        .collect();
    std::thread::sleep(Duration::from_secs(6));
    put(2, &[kept, dropped]);
    std::thread::sleep(CALM);
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for machine in &machines[LOST..] {
        for (name, target) in [
            ("kept", "/cow/7"),
            ("dropped", "/old/7"),
            ("added", "/new/7"),
        ] {
            let kind = Kind {
                name,
                method: "GET",
                target,
                host: "api.example",
                deadline_ms: 1_500,
                body_bytes: 0,
            };
            clients.push(client::start_steady(
                &machine.callers,
                &kind,
                Duration::from_millis(200),
                &stop,
                case.record,
            ));
        }
    }
    let disrupted_ms = case.record.note("disruption", &format!("{}", case.trouble));
    let half = std::env::var("TROUBLE").unwrap_or_default();
    if case.trouble && half != "silence" {
        for (node, backend) in nodes.iter().zip(&backends).take(LOST) {
            node.signal(SIGKILL);
            backend.end("is-lost");
        }
    }
    if case.trouble && half != "loss" {
        store.fall_silent();
    }
    let since = Duration::from_millis(case.record.now_ms() - disrupted_ms);
    std::thread::sleep(CHANGED_AFTER.saturating_sub(since));
    put(3, &[kept, added]);
    let acknowledged_ms = case.record.note("acknowledged", "configuration 3");
    std::thread::sleep(WATCHED);
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    for backend in &backends {
        backend.end("exits");
    }
    drop(nodes);
    judge(case.record, disrupted_ms, acknowledged_ms)
}

/// Counts what was sent when the change was due, by machines in touch, and handled as only the
/// configuration before allows.
fn judge(record: &Record, disrupted_ms: u64, acknowledged_ms: u64) -> Found {
    let lines = record.lines();
    let due_ms = (acknowledged_ms + CONFIG_APPLY_MS).max(disrupted_ms + CONTACT_MS);
    let sent_late = |kind: &str| -> HashSet<&str> {
        let sent = lines
            .iter()
            .filter(|line| line.what == "sent" && line.value("kind") == Some(kind));
        let late = sent.filter(|line| line.at_ms > due_ms);
        late.filter_map(|line| line.value("request")).collect()
    };
    let (kept, dropped, added) = (sent_late("kept"), sent_late("dropped"), sent_late("added"));
    let run = lines
        .iter()
        .filter(|line| line.what == "arrives")
        .filter_map(|line| line.value("request"));
    let run_dropped = run.filter(|request| dropped.contains(request)).count();
    let answered = |ids: &HashSet<&str>, status: &str| {
        let answers = lines
            .iter()
            .filter(|line| line.what == "answered" && line.value("status") == Some(status));
        let of = answers.filter(|line| line.value("request").is_some_and(|id| ids.contains(id)));
        of.map(|line| line.at_ms).collect::<Vec<_>>()
    };
    let refused = answered(&added, "404");
    let last_ms = refused
        .iter()
        .max()
        .map_or(0, |at_ms| at_ms - acknowledged_ms);
    let text = format!(
        "of what was sent later than {} ms after the acknowledgement, {} requests on the new route got 404, the last {last_ms} ms after it, and {run_dropped} on the dropped route ran; {} on the kept route were served",
        due_ms - acknowledged_ms,
        refused.len(),
        answered(&kept, "200").len(),
    );
    if answered(&kept, "200").is_empty() {
        return Found::CannotRun(text);
    }
    if refused.len() + run_dropped > 0 {
        Found::Broken(text)
    } else {
        Found::Held(text)
    }
}
