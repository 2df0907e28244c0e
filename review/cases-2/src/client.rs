//! Stand-in for the clients of one machine.

use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::http::{Connection, request};
use crate::record::Record;

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// What clients send.
#[derive(Clone)]
pub struct Kind {
    pub name: &'static str,
    pub method: &'static str,
    pub target: &'static str,
    pub host: &'static str,
    pub deadline_ms: u64,
    /// Length of the body.
    pub body_bytes: usize,
}

/// Sends one request over a connection, which is opened if there is none; returns the status, 0 if
/// there is no answer.
pub fn send(
    connection: &mut Option<Connection>,
    address: &str,
    kind: &Kind,
    record: &Record,
) -> u16 {
    let id = format!("r{:08x}", NEXT_ID.fetch_add(1, Ordering::Relaxed));
    let deadline = Duration::from_millis(kind.deadline_ms);
    let kept = connection.is_some();
    if !kept {
        let opened = TcpStream::connect_timeout(
            &address.parse().expect("an address"),
            Duration::from_secs(1),
        );
        *connection = opened.ok().map(Connection::new);
    }
    let Some(open) = connection else {
        record.note("no-connection", &format!("request={id} to={address}"));
        return 0;
    };
    let headers = [
        ("Host", kind.host.to_owned()),
        ("Bronzelock-Request-Id", id.clone()),
        ("Bronzelock-Request-Deadline", kind.deadline_ms.to_string()),
    ];
    let body = vec![b'w'; kind.body_bytes];
    record.note(
        "sent",
        &format!(
            "request={id} kind={} kept={kept} body_bytes={} to={address}",
            kind.name,
            body.len()
        ),
    );
    let _ = open
        .stream
        .set_read_timeout(Some(deadline + Duration::from_millis(500)));
    let answer = match open.write(&request(kind.method, kind.target, &headers, &body)) {
        Ok(()) => open.read().ok().flatten(),
        Err(_) => None,
    };
    let status = answer.as_ref().map_or(0, |answer| answer.status());
    let signed = answer
        .as_ref()
        .is_some_and(|answer| answer.header("Bronzelock-Server-Signature").is_some());
    record.note(
        "answered",
        &format!("request={id} status={status} signed={signed}"),
    );
    let closes = answer.as_ref().is_none_or(|answer| {
        answer
            .header("Connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"))
    });
    if closes {
        *connection = None;
    }
    status
}

/// Starts a client that sends the next request `pause` after each answer, until `stop`.
pub fn start(
    address: &str,
    kind: &Kind,
    pause: Duration,
    stop: &Arc<AtomicBool>,
    record: &Record,
) -> JoinHandle<()> {
    let (address, kind, stop, record) = (
        address.to_owned(),
        kind.clone(),
        Arc::clone(stop),
        record.clone(),
    );
    std::thread::spawn(move || {
        let mut connection = None;
        while !stop.load(Ordering::Relaxed) {
            let status = send(&mut connection, &address, &kind, &record);
            if status == 200 {
                std::thread::sleep(pause);
            } else {
                std::thread::sleep(pause.max(Duration::from_millis(200)));
            }
        }
    })
}

/// Sends requests at a steady rate, each from a client of its own with a new connection, until
/// `stop`.
pub fn start_steady(
    address: &str,
    kind: &Kind,
    every: Duration,
    stop: &Arc<AtomicBool>,
    record: &Record,
) -> JoinHandle<()> {
    let (address, kind, stop, record) = (
        address.to_owned(),
        kind.clone(),
        Arc::clone(stop),
        record.clone(),
    );
    std::thread::spawn(move || {
        let mut next = Instant::now();
        let mut sent = Vec::new();
        while !stop.load(Ordering::Relaxed) {
            let (address, kind, record) = (address.clone(), kind.clone(), record.clone());
            sent.push(std::thread::spawn(move || {
                send(&mut None, &address, &kind, &record);
            }));
            next += every;
            std::thread::sleep(next.saturating_duration_since(Instant::now()));
        }
        for one in sent {
            let _ = one.join();
        }
    })
}
