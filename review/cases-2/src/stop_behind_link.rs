//! A planned stop cuts answers that are arriving over a narrow link.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::backend::{Backend, Place};
use crate::client::{self, Kind};
use crate::node::{Common, Node, SIGTERM, machines};
use crate::record::Record;
use crate::store::Store;
use crate::{Case, Found, config, narrow_link, time_of_day_ms};

const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// Rate of the link of the machine whose backend answers: 10 Mbit/s.
const LINK_BYTES_PER_S: u64 = 1_250_000;

/// `grace-s`, and the time after which a backend that is still at work excuses the cut.
const GRACE_MS: u64 = 6_000;
const EXCUSED_FROM_MS: u64 = GRACE_MS * 5 / 6;

const DEADLINE_MS: u64 = 4_000;

/// When the long downloads are sent, after the SIGTERM, in ms.
const SENT_AFTER_MS: [u64; 5] = [2_000, 2_130, 2_260, 2_390, 2_520];

/// Usual downloads, and the longest and largest: run time in ms, and bytes.
const USUAL: &str = "/bundle/210/90000";
const LONGEST: &str = "/bundle/2200/540000";

pub fn run(case: &Case<'_>) -> Found {
    let (mut machines, shared_port, store) = machines(&[
        ("status-1", "statusdesk", "jyl-a"),
        ("delivery-1", "udlevering", "jyl-b"),
    ]);
    let store = Store::start(&store);
    let routes = [(
        "bundle-fetch",
        "/bundle/",
        "download",
        "udlevering",
        DEADLINE_MS,
        1_200,
    )];
    let services = ["statusdesk", "udlevering"];
    store.put(
        "keyed.op",
        "config",
        config(1, &routes, &services, 11.0).as_bytes(),
    );
    let outside = machines[1].peers.clone();
    machines[1].peers = outside.replace(".7.", ".8.");
    narrow_link::start(&outside, &machines[1].peers, LINK_BYTES_PER_S);
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
    let start = |machine: &crate::node::Machine| {
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
            210,
            case.record,
        );
        backend.beat(HEARTBEAT);
        backend
    };
    let backends: Vec<Arc<Backend>> = machines.iter().map(start).collect();
    std::thread::sleep(Duration::from_secs(3));
    let usual = Kind {
        name: "usual",
        method: "GET",
        target: USUAL,
        host: "api.example",
        deadline_ms: DEADLINE_MS,
        body_bytes: 0,
    };
    let longest = Kind {
        name: "longest",
        target: LONGEST,
        ..usual.clone()
    };
    let entry = machines[0].callers.clone();
    let stop = Arc::new(AtomicBool::new(false));
    let before = client::start_steady(
        &entry,
        &usual,
        Duration::from_millis(500),
        &stop,
        case.record,
    );
    // Longer than `contact-s`.
    std::thread::sleep(Duration::from_secs(8));
    stop.store(true, Ordering::Relaxed);
    let _ = before.join();
    let began_ms = case
        .record
        .note("stop", &format!("trouble={}", case.trouble));
    if case.trouble {
        nodes[0].signal(SIGTERM);
    }
    let mut sent = Vec::new();
    for after_ms in SENT_AFTER_MS {
        let at_ms = began_ms + after_ms;
        std::thread::sleep(Duration::from_millis(
            at_ms.saturating_sub(case.record.now_ms()),
        ));
        let (entry, kind, record) = (entry.clone(), longest.clone(), case.record.clone());
        sent.push(std::thread::spawn(move || {
            client::send(&mut None, &entry, &kind, &record)
        }));
    }
    for one in sent {
        let _ = one.join();
    }
    for backend in &backends {
        backend.end("exits");
    }
    drop(nodes);
    judge(case.record, began_ms)
}

/// Counts the downloads that ran, were over at the backend in time, and whose connection ended
/// without a whole answer before their deadline.
fn judge(record: &Record, began_ms: u64) -> Found {
    let lines = record.lines();
    let times = |what: &str| -> HashMap<String, u64> {
        let of = lines.iter().filter(|line| line.what == what);
        of.filter_map(|line| Some((line.value("request")?.to_owned(), line.at_ms)))
            .collect()
    };
    let (sent, arrived, run_ended) = (times("sent"), times("arrives"), times("run-ends"));
    let longest = lines
        .iter()
        .filter(|line| line.what == "sent" && line.value("kind") == Some("longest"));
    let longest: Vec<&str> = longest.filter_map(|line| line.value("request")).collect();
    let answered = |id: &str| {
        lines
            .iter()
            .find(|line| line.what == "answered" && line.value("request") == Some(id))
    };
    let mut lost = Vec::new();
    let mut whole = 0;
    for id in &longest {
        let Some(answer) = answered(id) else { continue };
        if answer.value("status") == Some("200") {
            whole += 1;
            continue;
        }
        let is_passed_on = arrived.contains_key(*id);
        let is_over = run_ended
            .get(*id)
            .is_some_and(|at_ms| *at_ms < began_ms + EXCUSED_FROM_MS);
        let in_time = answer.at_ms < sent[*id] + DEADLINE_MS;
        if answer.value("status") == Some("0") && is_passed_on && is_over && in_time {
            lost.push(answer.at_ms - began_ms);
        }
    }
    let text = format!(
        "{whole} of {} downloads got a whole answer; {} whose runs were over {EXCUSED_FROM_MS} ms after the SIGTERM were cut, {lost:?} ms after it",
        longest.len(),
        lost.len(),
    );
    if arrived.is_empty() || longest.iter().all(|id| !arrived.contains_key(*id)) {
        return Found::CannotRun(format!("no download was passed on; {text}"));
    }
    if lost.is_empty() {
        Found::Held(text)
    } else {
        Found::Broken(text)
    }
}
