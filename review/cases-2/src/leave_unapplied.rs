//! A leave that is acknowledged and has no effect, since the node knows another start of the backend.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::backend::{Backend, Place};
use crate::client::{self, Kind};
use crate::node::{Common, Machine, Node, machines};
use crate::record::Record;
use crate::store::Store;
use crate::{Case, Found, config, time_of_day_ms};

/// `drain-s` of the site, and how long the backend serves beyond it before it exits.
const DRAIN: Duration = Duration::from_secs(2);
const SERVES_LONGER: Duration = Duration::from_secs(4);

/// `heartbeat-s` of the site.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

const WORK_MS: u64 = 290;

struct Setting {
    nodes: Vec<Node>,
    /// Backends of the other machines, which the case does not touch.
    others: Vec<Arc<Backend>>,
    place: Place,
    stop: Arc<AtomicBool>,
    clients: Vec<std::thread::JoinHandle<()>>,
    _store: Store,
}

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

/// Starts a backend that sends heartbeats.
fn start_beating(place: &Place, born: u64, record: &Record) -> Arc<Backend> {
    let id = format!("i-{}", place.name);
    let backend = Backend::start(place, &id, born, WORK_MS, record);
    backend.beat(HEARTBEAT);
    backend
}

/// Seven machines of `herd`, each with a node and a backend; clients send `gate-command` to all.
///
/// `start_first` starts the backend of the first one.
fn set_up(
    case: &Case<'_>,
    start_first: impl FnOnce(&Place) -> Arc<Backend>,
) -> Result<(Setting, Arc<Backend>), String> {
    let (machines, shared_port, store) = machines(&[
        ("herd-1", "herd", "ratchaburi"),
        ("herd-2", "herd", "saraburi"),
        ("herd-3", "herd", "nakhon-pathom"),
        ("herd-4", "herd", "ratchaburi"),
        ("herd-5", "herd", "saraburi"),
        ("herd-6", "herd", "nakhon-pathom"),
        ("herd-7", "herd", "ratchaburi"),
    ]);
    let store = Store::start(&store);
    let routes = [(
        "gate-command",
        "/gate/",
        "non-idempotent",
        "herd",
        2_000,
        800,
    )];
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
    let nodes: Vec<Node> = machines
        .iter()
        .map(|machine| Node::start(machine, &common, true, case.record))
        .collect();
    if !nodes
        .iter()
        .all(|node| node.await_ready(Duration::from_secs(10)))
    {
        return Err("a node did not get ready".to_owned());
    }
    let place = place_of(&machines[0]);
    let first = start_first(&place);
    let start =
        |machine: &Machine| start_beating(&place_of(machine), time_of_day_ms(), case.record);
    let others = machines[1..].iter().map(start).collect();
    std::thread::sleep(Duration::from_secs(3));
    let kind = Kind {
        name: "gate-command",
        method: "POST",
        target: "/gate/7",
        host: "api.example",
        deadline_ms: 2_000,
        body_bytes: 4,
    };
    let stop = Arc::new(AtomicBool::new(false));
    let start = |machine: &Machine| {
        client::start_steady(
            &machine.callers,
            &kind,
            Duration::from_millis(100),
            &stop,
            case.record,
        )
    };
    let clients = machines.iter().map(start).collect();
    // `contact-s`: from here on all machines are in touch.
    std::thread::sleep(Duration::from_secs(5));
    Ok((
        Setting {
            nodes,
            others,
            place,
            stop,
            clients,
            _store: store,
        },
        first,
    ))
}

impl Setting {
    /// The backend exits, and clients go on for a moment.
    fn end(self, backend: &Backend) {
        backend.end("exits");
        std::thread::sleep(Duration::from_millis(500));
        self.stop.store(true, Ordering::Relaxed);
        for client in self.clients {
            let _ = client.join();
        }
        for other in &self.others {
            other.end("exits");
        }
        drop(self.nodes);
    }
}

/// Counts the requests that reached the backend later than `drain-s` after the acknowledgement.
fn judge(record: &Record, backend: &str, acknowledged_ms: Option<u64>) -> Found {
    let Some(acknowledged_ms) = acknowledged_ms else {
        return Found::CannotRun("the leave was not acknowledged".to_owned());
    };
    let lines = record.lines();
    let arrived = |from_ms: u64, until_ms: u64| {
        let of_backend = lines
            .iter()
            .filter(|line| line.what == "arrives" && line.detail.starts_with(backend));
        of_backend
            .filter(|line| line.at_ms > from_ms && line.at_ms <= until_ms)
            .count()
    };
    if arrived(0, acknowledged_ms) == 0 {
        return Found::CannotRun("the backend got no requests before its leave".to_owned());
    }
    let late_from_ms = acknowledged_ms + DRAIN.as_millis() as u64;
    let late = arrived(late_from_ms, u64::MAX);
    let taken: std::collections::HashSet<&str> = lines
        .iter()
        .filter(|line| {
            line.what == "arrives" && line.detail.starts_with(backend) && line.at_ms > late_from_ms
        })
        .filter_map(|line| line.value("request"))
        .collect();
    let answered_otherwise = lines
        .iter()
        .filter(|line| line.what == "answered" && line.value("status") != Some("200"));
    let lost = answered_otherwise
        .filter(|line| {
            line.value("request")
                .is_some_and(|request| taken.contains(request))
        })
        .count();
    let text = format!(
        "the leave was acknowledged at {acknowledged_ms} ms; {} requests reached the backend in the {} s after that, and {late} later; {lost} of those got no answer of a backend, as it exited",
        arrived(acknowledged_ms, late_from_ms),
        DRAIN.as_secs(),
    );
    if late > 0 {
        Found::Broken(text)
    } else {
        Found::Held(text)
    }
}

/// A backend crashes and starts again under its id. Its heartbeats arrive some seconds late; before
/// the first one does, it is taken away, and says so with its last word alone.
pub fn deregistration_before_heartbeat(case: &Case<'_>) -> Found {
    let usual = |place: &Place| start_beating(place, time_of_day_ms(), case.record);
    let (setting, first) = match set_up(case, usual) {
        Ok(set_up) => set_up,
        Err(error) => return Found::CannotRun(error),
    };
    let (backend, late) = if case.trouble {
        first.end("crashes");
        std::thread::sleep(Duration::from_secs(2));
        let second = Backend::start(
            &setting.place,
            "i-herd-1",
            time_of_day_ms(),
            WORK_MS,
            case.record,
        );
        let first_heartbeat = second.heartbeat();
        std::thread::sleep(HEARTBEAT);
        let second_heartbeat = second.heartbeat();
        // Both are on their way for 4 s.
        let late = std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(2_500));
            first_heartbeat.send();
            std::thread::sleep(HEARTBEAT);
            second_heartbeat.send();
        });
        std::thread::sleep(Duration::from_millis(1_500));
        (second, Some(late))
    } else {
        std::thread::sleep(Duration::from_secs(5));
        (first, None)
    };
    backend.begin_leaving();
    let acknowledged_ms = backend.deregister().then(|| case.record.now_ms());
    std::thread::sleep(DRAIN + SERVES_LONGER);
    setting.end(&backend);
    if let Some(late) = late {
        let _ = late.join();
    }
    judge(case.record, "herd-1", acknowledged_ms)
}

/// The clock of the machine is 2 s ahead when a backend starts there, and is set right again. The
/// backend crashes and starts again under its id, and is taken away much later.
pub fn earlier_start_time(case: &Case<'_>) -> Found {
    const AHEAD_MS: u64 = 2_000;
    let start = |place: &Place| {
        if !case.trouble {
            return start_beating(place, time_of_day_ms(), case.record);
        }
        let ahead = start_beating(place, time_of_day_ms() + AHEAD_MS, case.record);
        std::thread::sleep(Duration::from_millis(1_000));
        ahead.end("crashes");
        std::thread::sleep(Duration::from_millis(400));
        start_beating(place, time_of_day_ms(), case.record)
    };
    let (setting, backend) = match set_up(case, start) {
        Ok(set_up) => set_up,
        Err(error) => return Found::CannotRun(error),
    };
    // Much longer than `contact-s`.
    std::thread::sleep(Duration::from_secs(12));
    backend.begin_leaving();
    // It asks until it is acknowledged.
    let mut acknowledged_ms = None;
    for _ in 0..4 {
        if backend.heartbeat().send() {
            acknowledged_ms = Some(case.record.now_ms());
            break;
        }
    }
    std::thread::sleep(DRAIN + SERVES_LONGER);
    backend.deregister();
    setting.end(&backend);
    judge(case.record, "herd-1", acknowledged_ms)
}
