//! CONFIG: nodes that do not read the store themselves hear of a new configuration seconds too late
//! after the loss of those that do.

#[path = "../standins/lib.rs"]
mod standins;

use standins::*;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::sleep;

/// Machines that are left: the last of each zone in order of addresses.
const LEFT: [usize; 2] = [3, 7];

fn main() {
    standins::main(case);
}

/// Each version has the route of the version and not that of the one before.
fn config(version: u64) -> String {
    let own = format!("/v{version}/");
    let routes = [
        (&*own, "idempotent", "herd"),
        ("/lookup/", "idempotent", "herd"),
    ];
    configuration(version, &routes, &["herd"])
}

fn case(record: &Path) -> i32 {
    let loses = trouble() != "0";
    let machines = [
        ("ratchaburi-1", "ratchaburi", "herd"),
        ("ratchaburi-2", "ratchaburi", "herd"),
        ("ratchaburi-3", "ratchaburi", "herd"),
        ("ratchaburi-4", "ratchaburi", "herd"),
        ("saraburi-1", "saraburi", "herd"),
        ("saraburi-2", "saraburi", "herd"),
        ("saraburi-3", "saraburi", "herd"),
        ("saraburi-4", "saraburi", "herd"),
    ];
    let site = Site::new(record, &machines);
    let record = site.record.clone();
    site.store.put("config", &config(10));

    let mut nodes: Vec<Node> = site
        .machines
        .iter()
        .map(|machine| machine.start_node(&record))
        .collect();
    let stop = Arc::new(AtomicBool::new(false));
    let others_stop = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    let mut backends = Vec::new();
    for (index, machine) in site.machines.iter().enumerate() {
        let backend = Arc::new(Backend::start(
            BackendSettings {
                instance: format!("i-{}", machine.name),
                service: "herd".to_owned(),
                listen: machine.app(),
                slots: 12,
                work: ms(20),
                body_bytes: 0,
            },
            &site.runs,
            &record,
        ));
        let stops = if LEFT.contains(&index) {
            &stop
        } else {
            &others_stop
        };
        threads.push(keep_beating(&backend, machine, stops));
        backends.push(backend);
    }
    site.wait_until_ready();
    sleep(ms(6_000));
    // A change while all machines are there shows that each hears of it in time.
    let mut broken = Vec::new();
    change_and_look(&site, 11, &mut broken);
    assert!(broken.is_empty(), "before the loss the nodes keep the rule");

    others_stop.store(true, Ordering::SeqCst);
    sleep(ms(100));
    if loses {
        record.line("six machines are lost for good");
        for index in (0..nodes.len()).filter(|index| !LEFT.contains(index)) {
            nodes[index].kill();
            backends[index].end();
        }
    }
    sleep(ms(300));
    change_and_look(&site, 12, &mut broken);
    stop.store(true, Ordering::SeqCst);
    threads
        .into_iter()
        .for_each(|thread| thread.join().unwrap_or(()));
    assert!(
        LEFT.iter().all(|index| nodes[*index].runs()),
        "the nodes that are left run"
    );
    site.finish(&broken)
}

/// Writes a version and asks the machines that are left for the route that came and the one that went.
fn change_and_look(site: &Site, version: u64, broken: &mut Vec<String>) {
    let record = &site.record;
    site.store.put("config", &config(version));
    let acknowledged = record.now();
    let judged_from = acknowledged + CONFIG_APPLY_MS;
    record.line(&format!(
        "version {version} is acknowledged; judged from {judged_from}"
    ));
    let mut number = 0;
    while record.now() < judged_from + 6_000 {
        for index in LEFT {
            let machine = &site.machines[index];
            for (of, is_there) in [(version, true), (version - 1, false)] {
                number += 1;
                let (sent, id) = (record.now(), format!("look-{version}-{number}"));
                let head = format!(
                    "GET /v{of}/{number} HTTP/1.1\r\nHost: shop.example\r\n\
                     Bronzelock-Request-Id: {id}\r\nBronzelock-Request-Deadline: 1500\r\n"
                );
                let answer = call(machine.outbound(), &head, b"", ms(2_000));
                let status = answer.map_or(0, |answer| answer.status());
                record.line(&format!(
                    "client at {}: {id} GET /v{of}/ -> {status}",
                    machine.name
                ));
                let is_old = if is_there {
                    status == 404
                } else {
                    status == 200
                };
                if is_old && sent > judged_from {
                    broken.push(format!(
                        "{id} for /v{of}/ at {} got {status}, sent {} ms after version {version} was acknowledged",
                        machine.name,
                        sent - acknowledged
                    ));
                }
            }
        }
        sleep(ms(50));
    }
}
