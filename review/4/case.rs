//! DRAIN: a backend that deregistered gets requests again after its node was restarted, once a
//! heartbeat that it had sent before arrives late.
//!
//! `TROUBLE=restart` and `TROUBLE=late` bring about one half of the disruption each.

#[path = "../standins/lib.rs"]
mod standins;

use standins::*;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::sleep;

/// Machine whose backend leaves.
const LEAVING: usize = 1;

fn main() {
    standins::main(case);
}

fn case(record: &Path) -> i32 {
    let trouble = trouble();
    let restarts = matches!(&*trouble, "1" | "restart");
    let is_late = matches!(&*trouble, "1" | "late");
    let machines = [
        ("herd-1", "ratchaburi", "herd"),
        ("herd-2", "ratchaburi", "herd"),
        ("herd-3", "saraburi", "herd"),
    ];
    let site = Site::new(record, &machines);
    let record = site.record.clone();
    site.store.put(
        "config",
        &configuration(3, &[("/lookup/", "idempotent", "herd")], &["herd"]),
    );

    let mut nodes: Vec<Node> = site
        .machines
        .iter()
        .map(|machine| machine.start_node(&record))
        .collect();
    let stop = Arc::new(AtomicBool::new(false));
    let leaver_stops_beating = Arc::new(AtomicBool::new(false));
    let mut backends = Vec::new();
    let mut threads = Vec::new();
    for (index, machine) in site.machines.iter().enumerate() {
        let backend = Arc::new(Backend::start(
            BackendSettings {
                instance: format!("i-{}", machine.name),
                service: "herd".to_owned(),
                listen: machine.app(),
                slots: 12,
                work: ms(40),
                body_bytes: 0,
            },
            &site.runs,
            &record,
        ));
        let stops = if index == LEAVING {
            &leaver_stops_beating
        } else {
            &stop
        };
        threads.push(keep_beating(&backend, machine, stops));
        backends.push(backend);
    }
    site.wait_until_ready();
    sleep(ms(2_000));
    for (index, machine) in site.machines.iter().enumerate() {
        for client in 0..2 {
            let settings = ClientSettings {
                machine: index,
                name: format!("{}-c{client}", machine.name),
                method: "GET",
                path: "/lookup/".to_owned(),
                wait_ms: 1_500,
                pause: ms(60),
            };
            threads.push(start_client(&site, settings, &stop));
        }
    }
    sleep(ms(2_000));

    let (leaver, machine) = (&backends[LEAVING], &site.machines[LEAVING]);
    leaver_stops_beating.store(true, Ordering::SeqCst);
    sleep(ms(300));
    let heartbeat = leaver.heartbeat(machine.app(), &machine.zone);
    if is_late {
        record.line("the backend sends its next heartbeat, which will arrive late");
    } else {
        leaver.deliver(machine.control(), &heartbeat, "");
    }
    sleep(ms(200));
    leaver.set_leaving();
    assert!(
        leaver.deregister(machine.control()),
        "the deregistration is acknowledged"
    );
    let acknowledged = record.now();
    sleep(ms(500));
    if restarts {
        nodes[LEAVING].kill();
        sleep(ms(500));
        machine.write_settings("herd", site.store.address, false);
        nodes[LEAVING] = machine.start_node(&record);
    } else {
        sleep(ms(500));
    }
    machine.wait_until_ready(&record);
    sleep(ms(500));
    if is_late {
        leaver.deliver(machine.control(), &heartbeat, " (late)");
    }
    while record.now() < acknowledged + 9_000 {
        sleep(ms(50));
    }
    stop.store(true, Ordering::SeqCst);
    sleep(ms(300));
    leaver.end();
    threads
        .into_iter()
        .for_each(|thread| thread.join().unwrap_or(()));

    // In touch: no kill and no start of the node in the last `contact-s`.
    let in_touch_from = if restarts {
        nodes[LEAVING].started + CONTACT_MS
    } else {
        0
    };
    let bound = acknowledged + DRAIN_MS;
    record.line(&format!(
        "leave acknowledged at {acknowledged}, judged from {}",
        bound.max(in_touch_from)
    ));
    assert!(nodes.iter_mut().all(Node::runs), "no node ends by itself");
    let broken: Vec<String> = site
        .runs
        .lock()
        .unwrap()
        .iter()
        .filter(|run| {
            run.instance == leaver.settings.instance && run.at > bound && run.at > in_touch_from
        })
        .map(|run| {
            format!(
                "{} ran at {} at {} ms, {} ms after the acknowledgement",
                run.id,
                run.instance,
                run.at,
                run.at - acknowledged
            )
        })
        .collect();
    site.finish(&broken)
}
