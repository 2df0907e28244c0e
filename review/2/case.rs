//! LOST: an answer that is on a narrow link when the node that took its request ends is lost.

#[path = "../standins/lib.rs"]
mod standins;

use standins::*;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, sleep};

/// Machine whose backend has the answers; its link is narrow.
const RUNS: usize = 0;

/// Machine that takes the requests from clients and is stopped.
const TAKES: usize = 1;

/// Grace time, and from when on after SIGTERM a backend at work is an excuse.
const GRACE_MS: u64 = 6_000;
const LAST_SIXTH_MS: u64 = 5_000;

/// Work and answer of one request (at most so much on the sheet), and how long its client waits.
const WORK_MS: u64 = 2_200;
const BODY_BYTES: usize = 540_000;
const WAIT_MS: u64 = 4_000;

/// 10 Mbit/s.
const LINK_BYTES_PER_S: u64 = 1_250_000;

/// Requests, the time of the first after SIGTERM, and the time between two.
const REQUESTS: u64 = 4;
const FIRST_MS: u64 = 1_700;
const EVERY_MS: u64 = 70;

fn main() {
    standins::main(case);
}

fn case(record: &Path) -> i32 {
    let stops = trouble() != "0";
    let machines = [
        ("vault-1", "jyl-a", "vault"),
        ("desk-1", "jyl-b", "desk"),
        ("desk-2", "jyl-a", "desk"),
    ];
    let mut site = Site::new(record, &machines);
    let narrow = &mut site.machines[RUNS];
    let IpAddr::V4(ip) = narrow.ip else {
        unreachable!("loopback addresses are of version 4")
    };
    let [a, b, c, d] = ip.octets();
    let behind = SocketAddr::new(IpAddr::from([a, b, c, d + 100]), narrow.inbound().port());
    NarrowLink::start(narrow.inbound(), behind, LINK_BYTES_PER_S);
    narrow.behind_link = Some(behind);
    narrow.write_settings("vault", site.store.address, true);
    let site = site;
    let record = site.record.clone();
    let routes = [
        ("/bundle/", "download", "vault"),
        ("/status/", "idempotent", "desk"),
    ];
    site.store.put(
        "config",
        &configuration_with_timeout(3, &routes, &["vault", "desk"], WAIT_MS),
    );

    let mut nodes: Vec<Node> = site
        .machines
        .iter()
        .map(|machine| machine.start_node(&record))
        .collect();
    let stop = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    for (machine, (_, _, service)) in site.machines.iter().zip(machines) {
        let backend = Arc::new(Backend::start(
            BackendSettings {
                instance: format!("i-{}", machine.name),
                service: service.to_owned(),
                listen: machine.app(),
                slots: 18,
                work: ms(WORK_MS),
                body_bytes: BODY_BYTES,
            },
            &site.runs,
            &record,
        ));
        threads.push(keep_beating(&backend, machine, &stop));
    }
    site.wait_until_ready();
    sleep(ms(3_000));

    if stops {
        nodes[TAKES].signal(SIGTERM);
    }
    let terminated = record.now();
    sleep(ms(FIRST_MS));
    let node = site.machines[TAKES].outbound();
    let mut clients = Vec::new();
    for number in 0..REQUESTS {
        let record = record.clone();
        clients.push(thread::spawn(move || {
            let (sent, id) = (record.now(), format!("bundle-{number}"));
            let head = format!(
                "GET /bundle/{number} HTTP/1.1\r\nHost: shop.example\r\n\
                 Bronzelock-Request-Id: {id}\r\nBronzelock-Request-Deadline: {WAIT_MS}\r\n"
            );
            let answer = call(node, &head, b"", ms(WAIT_MS + 1_000));
            let (status, length) =
                answer.map_or((0, 0), |answer| (answer.status(), answer.body.len()));
            record.line(&format!(
                "client: {id} sent at {sent} -> {status}, {length} bytes (0: closed without)"
            ));
            (id, sent, record.now(), status)
        }));
        sleep(ms(EVERY_MS));
    }
    let ended: Vec<_> = clients
        .into_iter()
        .map(|client| client.join().unwrap())
        .collect();
    while record.now() < terminated + GRACE_MS + 500 {
        sleep(ms(50));
    }
    stop.store(true, Ordering::SeqCst);
    threads
        .into_iter()
        .for_each(|thread| thread.join().unwrap_or(()));
    record.line(&format!(
        "SIGTERM at {terminated}; the node runs on: {}",
        nodes[TAKES].runs()
    ));

    let runs = site.runs.lock().unwrap().clone();
    let mut broken = Vec::new();
    for (id, sent, ended, status) in ended {
        let Some(run) = runs.iter().find(|run| run.id == id) else {
            continue;
        };
        let work_ends = run.at + WORK_MS;
        let is_excused = work_ends > terminated + LAST_SIXTH_MS || ended >= sent + WAIT_MS;
        if status != 200 && !is_excused {
            broken.push(format!(
                "{id}, sent {} ms after the SIGTERM, got {status} {} ms after it; the backend was done {} ms after it",
                sent - terminated,
                ended - terminated,
                work_ends - terminated
            ));
        }
    }
    site.finish(&broken)
}
