//! Stand-in for an application backend, as the page `PROTOCOL.md` tells one.

use std::io::ErrorKind;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::http::{Connection, call, request, response};
use crate::record::Record;

/// What stays the same over the starts of a backend.
#[derive(Clone)]
pub struct Place {
    /// Name in the record.
    pub name: &'static str,
    pub service: &'static str,
    pub zone: &'static str,
    /// Address that it listens on.
    pub address: String,
    /// Address of the node that takes its heartbeats.
    pub control: String,
    pub slots: u32,
}

/// One start of a backend.
pub struct Backend {
    pub place: Place,
    pub id: String,
    /// Unix ms of its start, by its machine's time of day.
    pub born: u64,
    /// Usual length of a run, in ms.
    pub work_ms: u64,
    /// Requests in one second above which it crashes while it is cold; none if it bears any number.
    pub crashes_above: Option<usize>,
    /// Times of the last arrivals while it was cold, in ms.
    cold_arrivals: Mutex<Vec<u64>>,
    sequence: AtomicU64,
    running: AtomicU32,
    cold_until_ms: AtomicU64,
    leaving: AtomicBool,
    ended: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
    record: Record,
}

/// Runs that it queues beyond its slots, per slot.
const QUEUE_PER_SLOT: u32 = 2;

impl Backend {
    /// Starts it; `born` is what its machine's clock shows.
    pub fn start(place: &Place, id: &str, born: u64, work_ms: u64, record: &Record) -> Arc<Self> {
        Self::start_fragile(place, id, born, work_ms, None, record)
    }

    /// Starts one that crashes if it gets too many requests while it is cold.
    pub fn start_fragile(
        place: &Place,
        id: &str,
        born: u64,
        work_ms: u64,
        crashes_above: Option<usize>,
        record: &Record,
    ) -> Arc<Self> {
        let listener = TcpListener::bind(&place.address).expect("the backend binds");
        listener
            .set_nonblocking(true)
            .expect("a listener that does not block");
        let backend = Arc::new(Self {
            place: place.clone(),
            id: id.to_owned(),
            born,
            work_ms,
            crashes_above,
            cold_arrivals: Mutex::default(),
            sequence: AtomicU64::new(0),
            running: AtomicU32::new(0),
            cold_until_ms: AtomicU64::new(0),
            leaving: AtomicBool::new(false),
            ended: AtomicBool::new(false),
            streams: Mutex::default(),
            record: record.clone(),
        });
        record.note("starts", &format!("{} id={id} born={born}", place.name));
        let served = Arc::clone(&backend);
        std::thread::spawn(move || served.accept(&listener));
        backend
    }

    fn accept(self: Arc<Self>, listener: &TcpListener) {
        while !self.ended.load(Ordering::Relaxed) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    if let Ok(clone) = stream.try_clone() {
                        self.streams.lock().unwrap().push(clone);
                    }
                    let backend = Arc::clone(&self);
                    std::thread::spawn(move || backend.serve(Connection::new(stream)));
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    std::thread::sleep(Duration::from_millis(1));
                }
                Err(_) => std::thread::sleep(Duration::from_millis(1)),
            }
        }
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(message)) = connection.read() {
            let (_method, target) = message.method_and_target();
            let answer = if target == "/health" {
                self.health()
            } else {
                self.run(&message)
            };
            if self.ended.load(Ordering::Relaxed) || connection.write(&answer).is_err() {
                return;
            }
        }
    }

    fn run(&self, message: &crate::http::Message) -> Vec<u8> {
        let id = message
            .header("Bronzelock-Request-Id")
            .unwrap_or("")
            .to_owned();
        let mut headers = self.headers();
        headers.push(("Bronzelock-Request-Id", id.clone()));
        let target = message.header("Bronzelock-Target-Instance");
        if target.is_some_and(|target| target != self.id) {
            self.record
                .note("answers-421", &format!("{} request={id}", self.place.name));
            return response(421, &headers, b"");
        }
        let slots = self.place.slots;
        if self.running.fetch_add(1, Ordering::Relaxed) >= slots * (1 + QUEUE_PER_SLOT) {
            self.running.fetch_sub(1, Ordering::Relaxed);
            self.record
                .note("rejects", &format!("{} request={id}", self.place.name));
            headers.push(("Bronzelock-Not-Executed", "1".to_owned()));
            return response(503, &headers, b"");
        }
        let cold = self.is_cold();
        let state = if self.leaving.load(Ordering::Relaxed) {
            "leaving"
        } else {
            "ready"
        };
        self.record.note(
            "arrives",
            &format!("{} request={id} cold={cold} state={state}", self.place.name),
        );
        if cold && self.is_overloaded() {
            self.end("crashes");
        }
        let (work_ms, body_bytes) = asked_for(message).unwrap_or((self.work_ms, 0));
        std::thread::sleep(Duration::from_millis(work_ms));
        self.record
            .note("run-ends", &format!("{} request={id}", self.place.name));
        self.running.fetch_sub(1, Ordering::Relaxed);
        headers.clone_from(&self.headers());
        headers.push(("Bronzelock-Request-Id", id.clone()));
        headers.push(("Bronzelock-Server-Signature", format!("signed.{id}")));
        let mut body = id.into_bytes();
        body.resize(body.len().max(body_bytes), b'.');
        response(200, &headers, &body)
    }

    fn headers(&self) -> Vec<(&'static str, String)> {
        let running = self.running.load(Ordering::Relaxed);
        let slots = self.place.slots;
        let load = format!(
            "{},{},{slots},100",
            running.min(slots),
            running.saturating_sub(slots)
        );
        vec![
            ("Bronzelock-Server-Load", load),
            ("Bronzelock-Instance-Id", self.id.clone()),
        ]
    }

    fn health(&self) -> Vec<u8> {
        let mut headers = self.headers();
        let cold_left_ms = self.cold_left_ms();
        if cold_left_ms > 0 {
            headers.push(("Bronzelock-Cold-Remaining-Ms", cold_left_ms.to_string()));
        }
        let status = if self.leaving.load(Ordering::Relaxed) {
            503
        } else {
            200
        };
        response(status, &headers, b"")
    }

    /// Counts an arrival while it is cold; returns whether that is more than it bears.
    fn is_overloaded(&self) -> bool {
        let now_ms = self.record.now_ms();
        let mut arrivals = self.cold_arrivals.lock().unwrap();
        arrivals.retain(|at_ms| at_ms + 1_000 > now_ms);
        arrivals.push(now_ms);
        self.crashes_above.is_some_and(|most| arrivals.len() > most) && !self.has_ended()
    }

    fn is_cold(&self) -> bool {
        self.cold_left_ms() > 0
    }

    fn cold_left_ms(&self) -> u64 {
        self.cold_until_ms
            .load(Ordering::Relaxed)
            .saturating_sub(self.record.now_ms())
    }

    /// It is cold from now on for so long.
    pub fn turn_cold(&self, for_ms: u64) {
        self.cold_until_ms
            .store(self.record.now_ms() + for_ms, Ordering::Relaxed);
        self.record.note(
            "turns-cold",
            &format!("{} for_ms={for_ms}", self.place.name),
        );
    }

    /// Marks it as leaving, which its health answers tell.
    pub fn begin_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
        self.record.note("begins-to-leave", &self.place.name);
    }

    /// Builds its next heartbeat, which may be sent later.
    pub fn heartbeat(&self) -> Heartbeat {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let state = if self.leaving.load(Ordering::Relaxed) {
            "draining"
        } else {
            "ready"
        };
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"{state}\",\"cold_left_ms\":{},\"sequence\":{sequence},\"born\":{}}}",
            self.place.service,
            self.place.address,
            self.place.zone,
            self.place.slots,
            self.cold_left_ms(),
            self.born,
        );
        Heartbeat {
            control: self.place.control.clone(),
            target: format!("/v1/instances/{}/heartbeat", self.id),
            body,
            what: format!(
                "{} heartbeat state={state} sequence={sequence} born={}",
                self.place.name, self.born
            ),
            record: self.record.clone(),
        }
    }

    /// Sends its last word; returns whether it was acknowledged.
    pub fn deregister(&self) -> bool {
        let last = Heartbeat {
            control: self.place.control.clone(),
            target: format!("/v1/instances/{}/deregister", self.id),
            body: format!("{{\"born\":{}}}", self.born),
            what: format!("{} deregister born={}", self.place.name, self.born),
            record: self.record.clone(),
        };
        last.send()
    }

    /// Ends at once: all its connections break.
    pub fn end(&self, how: &str) {
        self.ended.store(true, Ordering::Relaxed);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.record.note(how, &self.place.name);
        std::thread::sleep(Duration::from_millis(20));
    }

    pub fn has_ended(&self) -> bool {
        self.ended.load(Ordering::Relaxed)
    }

    /// Sends heartbeats every `period` until it ends.
    pub fn beat(self: &Arc<Self>, period: Duration) {
        let backend = Arc::clone(self);
        std::thread::spawn(move || {
            while !backend.has_ended() {
                backend.heartbeat().send();
                std::thread::sleep(period);
            }
        });
    }
}

/// Run time in ms and length of the answer's body that a target of the form `/NAME/MS/BYTES` asks for.
fn asked_for(message: &crate::http::Message) -> Option<(u64, usize)> {
    let (_method, target) = message.method_and_target();
    let mut parts = target.rsplit('/');
    let (bytes, ms) = (parts.next()?.parse().ok()?, parts.next()?.parse().ok()?);
    Some((ms, bytes))
}

/// A heartbeat, or a last word, that was built and may be on its way for a while.
pub struct Heartbeat {
    control: String,
    target: String,
    body: String,
    what: String,
    record: Record,
}

impl Heartbeat {
    /// Sends it; returns whether a 2xx came within a second.
    pub fn send(&self) -> bool {
        let headers = [
            ("Host", self.control.clone()),
            ("Content-Type", "application/json".to_owned()),
        ];
        let bytes = request("POST", &self.target, &headers, self.body.as_bytes());
        let answer = call(&self.control, &bytes, Duration::from_secs(1));
        let status = answer.as_ref().map_or(0, |answer| answer.status());
        let acknowledged = (200..300).contains(&status);
        self.record.note(
            if acknowledged {
                "acknowledged"
            } else {
                "not-acknowledged"
            },
            &format!("{} status={status}", self.what),
        );
        acknowledged
    }
}
