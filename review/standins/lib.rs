//! Small stand-ins for the platform's store, backend servers and clients, on loopback addresses and
//! the real clock. They need nothing but the standard library.

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Runs a case: the file of its record is the first argument; a panic means that it could not run.
pub fn main(case: fn(&Path) -> i32) -> ! {
    let record = PathBuf::from(std::env::args().nth(1).expect("the file of the record"));
    let code = std::panic::catch_unwind(|| case(&record)).unwrap_or(NOT_RUN);
    std::process::exit(code);
}

/// Exit code: the rule was broken.
pub const BROKEN: i32 = 1;
/// Exit code: the case could not run.
pub const NOT_RUN: i32 = 2;

/// Bounds of the small deployments, as on their sheets.
pub const DRAIN_MS: u64 = 2_000;
pub const CONTACT_MS: u64 = 3_000;
pub const CONFIG_APPLY_MS: u64 = 2_000;
pub const HEARTBEAT_MS: u64 = 1_500;

pub fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Whether the disruption takes place.
pub fn trouble() -> String {
    std::env::var("TROUBLE").unwrap_or_else(|_| "1".to_owned())
}

/// The record of a case, with times in ms since its start.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(file: &Path) -> Self {
        let file = File::create(file).expect("the record can be written");
        Self {
            started: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    pub fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:>7} ms  {text}\n", self.now());
        self.file
            .lock()
            .unwrap()
            .write_all(line.as_bytes())
            .expect("the record can be written");
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

/// Takes a free block of loopback addresses and ports.
pub fn free_network() -> (u8, u8, u16) {
    for attempt in 0..200_u64 {
        let draw = unix_ms()
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(
                u64::from(std::process::id()) * 1_442_695_040_888_963_407 + attempt * 7_919,
            );
        let (b, c) = (60 + (draw >> 13) as u8 % 150, 1 + (draw >> 29) as u8 % 250);
        let port = 20_000 + ((draw >> 37) % 10_000) as u16;
        let free = (1..=12).all(|host| {
            let ip = Ipv4Addr::new(127, b, c, host);
            [0, 1, 2, 3, 4, 5, 7]
                .iter()
                .all(|offset| TcpListener::bind((ip, port + offset)).is_ok())
                && UdpSocket::bind((ip, port + 6)).is_ok()
        });
        if free {
            return (b, c, port);
        }
    }
    eprintln!("no free loopback addresses");
    std::process::exit(NOT_RUN);
}

// ---------------------------------------------------------------------------------------- HTTP

pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first
            .split(' ')
            .nth(1)
            .and_then(|digits| digits.parse().ok())
            .unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
}

/// A connection with what was read beyond the last message.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> std::io::Result<bool> {
        let mut chunk = [0; 16_384];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count > 0)
    }

    /// Reads one message with a `Content-Length` or without a body; none at the connection's end.
    pub fn read(&mut self) -> std::io::Result<Option<Message>> {
        let head_end = loop {
            if let Some(at) = self.buffer.windows(4).position(|four| four == b"\r\n\r\n") {
                break at;
            }
            if !self.fill()? {
                return Ok(None);
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..head_end]).into_owned();
        let mut lines = head.split("\r\n");
        let first = lines.next().unwrap_or("").to_owned();
        let headers: Vec<(String, String)> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
            .collect();
        let mut message = Message {
            first,
            headers,
            body: Vec::new(),
        };
        let length: usize = message
            .header("content-length")
            .and_then(|digits| digits.parse().ok())
            .unwrap_or(0);
        while self.buffer.len() < head_end + 4 + length {
            if !self.fill()? {
                return Ok(None);
            }
        }
        message.body = self.buffer[head_end + 4..head_end + 4 + length].to_vec();
        self.buffer.drain(..head_end + 4 + length);
        Ok(Some(message))
    }

    pub fn write(&mut self, text: &str, body: &[u8]) -> std::io::Result<()> {
        let mut bytes = text.as_bytes().to_vec();
        bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }
}

/// Sends one request on a connection of its own and reads the answer.
pub fn call(to: SocketAddr, head: &str, body: &[u8], limit: Duration) -> std::io::Result<Message> {
    let stream = TcpStream::connect_timeout(&to, ms(1_000))?;
    stream.set_read_timeout(Some(limit))?;
    let mut connection = Connection::new(stream);
    connection.write(head, body)?;
    connection
        .read()?
        .ok_or_else(|| std::io::ErrorKind::UnexpectedEof.into())
}

// --------------------------------------------------------------------------------------- store

#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    newest: BTreeMap<String, (u64, Vec<u8>)>,
}

#[derive(Default)]
struct StoreState {
    topics: Mutex<HashMap<String, Topic>>,
    appended: Condvar,
    /// Whether the store is down: calls that wait or arrive then are never answered.
    silent: AtomicBool,
    /// Number of times that it was.
    outages: AtomicU64,
}

/// The platform's store: a log with keyed topics of one partition.
#[derive(Clone)]
pub struct Store {
    state: Arc<StoreState>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start(address: SocketAddr) -> Self {
        let state = Arc::new(StoreState::default());
        let listener = TcpListener::bind(address).expect("the store's address is free");
        let shared = Arc::clone(&state);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = Arc::clone(&shared);
                thread::spawn(move || {
                    let mut connection = Connection::new(stream);
                    while let Ok(Some(request)) = connection.read() {
                        let outages = shared.outages.load(Ordering::SeqCst);
                        let is_lost = || {
                            shared.silent.load(Ordering::SeqCst)
                                || shared.outages.load(Ordering::SeqCst) != outages
                        };
                        if is_lost() {
                            while let Ok(Some(_)) = connection.read() {}
                            return;
                        }
                        let (status, body) = shared.answer(&request);
                        if is_lost() {
                            // The connection stays open and returns nothing further.
                            while let Ok(Some(_)) = connection.read() {}
                            return;
                        }
                        let head = format!("HTTP/1.1 {status} Answer\r\n");
                        if connection.write(&head, &body).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Self { state, address }
    }

    /// The store gives no response for a time; calls of that time get none afterwards either.
    pub fn fall_silent(&self, time: Duration) {
        self.state.outages.fetch_add(1, Ordering::SeqCst);
        self.state.silent.store(true, Ordering::SeqCst);
        sleep(time);
        self.state.silent.store(false, Ordering::SeqCst);
    }

    /// Writes a record as the operator does; returning is its acknowledgement.
    pub fn put(&self, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        self.state.append("keyed.op", vec![record]);
    }
}

impl StoreState {
    fn append(&self, topic: &str, records: Vec<Vec<u8>>) -> (u64, u64) {
        let mut topics = self.topics.lock().unwrap();
        let topic = topics.entry(topic.to_owned()).or_default();
        let offset = topic.records.len() as u64;
        for record in records {
            let at = topic.records.len() as u64;
            let key_length = usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..=key_length]).into_owned();
            let value = record[1 + key_length..].to_vec();
            if value.is_empty() {
                topic.newest.remove(&key);
            } else {
                topic.newest.insert(key, (at, value));
            }
            topic.records.push(record);
        }
        self.appended.notify_all();
        (offset, topic.records.len() as u64)
    }

    fn answer(&self, request: &Message) -> (u16, Vec<u8>) {
        let (path, query) = request
            .target()
            .split_once('?')
            .unwrap_or((request.target(), ""));
        let value = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .clone()
                .find(|(known, _)| *known == name)
                .map(|(_, value)| value.to_owned())
        };
        let number = |name: &str| value(name).and_then(|digits| digits.parse::<u64>().ok());
        let topic_name = value("topic").unwrap_or_default();
        match path {
            "/v1/log-append" => {
                if matches!(&*topic_name, "keyed.op" | "keyed.servers") {
                    return (403, Vec::new());
                }
                let mut records = Vec::new();
                let mut rest = &request.body[..];
                while rest.len() >= 4 {
                    let length = u32::from_be_bytes(rest[..4].try_into().unwrap()) as usize;
                    records.push(rest[4..4 + length].to_vec());
                    rest = &rest[4 + length..];
                }
                if let Some(at) = number("at") {
                    let end = {
                        let mut topics = self.topics.lock().unwrap();
                        topics.entry(topic_name.clone()).or_default().records.len() as u64
                    };
                    if end != at {
                        return (412, format!("{{\"end\":{end}}}").into_bytes());
                    }
                }
                let (offset, end) = self.append(&topic_name, records);
                (
                    200,
                    format!("{{\"offset\":{offset},\"end\":{end}}}").into_bytes(),
                )
            }
            "/v1/log-read" => {
                let from = number("from").unwrap_or(0) as usize;
                let until = Instant::now() + ms(number("wait-ms").unwrap_or(0).min(30_000));
                let mut topics = self.topics.lock().unwrap();
                loop {
                    let topic = topics.entry(topic_name.clone()).or_default();
                    let left = until.saturating_duration_since(Instant::now());
                    if from > topic.records.len() {
                        return (410, b"{\"first\":0}".to_vec());
                    }
                    if from < topic.records.len() || left.is_zero() {
                        let mut page = (topic.records.len() as u64).to_be_bytes().to_vec();
                        page.extend_from_slice(&0_u64.to_be_bytes());
                        for record in &topic.records[from..] {
                            page.extend_from_slice(&(record.len() as u32).to_be_bytes());
                            page.extend_from_slice(record);
                        }
                        return (200, page);
                    }
                    topics = self.appended.wait_timeout(topics, left).unwrap().0;
                }
            }
            "/v1/log-newest" => {
                let mut topics = self.topics.lock().unwrap();
                let topic = topics.entry(topic_name).or_default();
                let items: Vec<String> = topic
                    .newest
                    .iter()
                    .map(|(key, (offset, value))| {
                        let value = base64(value);
                        format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
                    })
                    .collect();
                let end = topic.records.len();
                let body = format!(
                    "{{\"items\":[{}],\"more\":false,\"end\":{end}}}",
                    items.join(",")
                );
                (200, body.into_bytes())
            }
            _ => (404, Vec::new()),
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut three = [0; 3];
        three[..chunk.len()].copy_from_slice(chunk);
        let word = u32::from_be_bytes([0, three[0], three[1], three[2]]);
        for index in 0..4 {
            if index <= chunk.len() {
                text.push(DIGITS[(word >> (18 - 6 * index)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

// ------------------------------------------------------------------------------ backend servers

/// A request that a backend server began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: u64,
    pub id: String,
    pub instance: String,
    pub service: String,
    pub target: String,
    pub caller_service: String,
}

pub type Runs = Arc<Mutex<Vec<Run>>>;

pub struct BackendSettings {
    pub instance: String,
    pub service: String,
    pub listen: SocketAddr,
    pub slots: usize,
    pub work: Duration,
    /// Length of the bodies of answers, in bytes.
    pub body_bytes: usize,
}

/// Sends heartbeats of a backend server every `HEARTBEAT_MS` until `stop`.
pub fn keep_beating(
    backend: &Arc<Backend>,
    machine: &Machine,
    stop: &Arc<AtomicBool>,
) -> thread::JoinHandle<()> {
    let (backend, machine, stop) = (Arc::clone(backend), machine.clone(), Arc::clone(stop));
    thread::spawn(move || {
        while !stop.load(Ordering::SeqCst) {
            let beat = backend.heartbeat(machine.app(), &machine.zone);
            backend.deliver(machine.control(), &beat, "");
            let next = Instant::now() + ms(HEARTBEAT_MS);
            while Instant::now() < next && !stop.load(Ordering::SeqCst) {
                sleep(ms(20));
            }
        }
    })
}

/// An address of backend servers that outlives them: a proxy that passes connections on to the
/// present one, or takes them and stays silent while there is none.
pub struct Front {
    server: Arc<Mutex<Option<SocketAddr>>>,
    held: Arc<Mutex<Vec<TcpStream>>>,
    silent: Arc<AtomicU64>,
}

impl Front {
    pub fn start(listen: SocketAddr) -> Self {
        let listener = TcpListener::bind(listen).expect("the address is free");
        let front = Self {
            server: Arc::default(),
            held: Arc::default(),
            silent: Arc::default(),
        };
        let (server, held, silent) = (
            Arc::clone(&front.server),
            Arc::clone(&front.held),
            Arc::clone(&front.silent),
        );
        thread::spawn(move || {
            for opened in listener.incoming().flatten() {
                let Some(to) = *server.lock().unwrap() else {
                    held.lock().unwrap().push(opened);
                    continue;
                };
                let Ok(accepted) = TcpStream::connect(to) else {
                    continue;
                };
                let generation = silent.load(Ordering::SeqCst);
                for (from, into) in [(&opened, &accepted), (&accepted, &opened)] {
                    let (mut from, mut into) =
                        (from.try_clone().unwrap(), into.try_clone().unwrap());
                    let silent = Arc::clone(&silent);
                    thread::spawn(move || {
                        let mut chunk = [0; 16_384];
                        loop {
                            let count = from.read(&mut chunk).unwrap_or(0);
                            if silent.load(Ordering::SeqCst) != generation {
                                // What was open stays open and says nothing.
                                sleep(ms(60_000));
                                return;
                            }
                            if count == 0 || into.write_all(&chunk[..count]).is_err() {
                                let _ = into.shutdown(Shutdown::Both);
                                return;
                            }
                        }
                    });
                }
            }
        });
        front
    }

    /// Passes new connections on to a backend server.
    pub fn serve(&self, server: SocketAddr) {
        *self.server.lock().unwrap() = Some(server);
    }

    /// Makes all connections silent, open ones and those to come.
    pub fn fall_silent(&self) {
        *self.server.lock().unwrap() = None;
        self.silent.fetch_add(1, Ordering::SeqCst);
    }
}

/// A proxy through which a limited number of bytes passes in a second on the way back.
pub struct NarrowLink;

impl NarrowLink {
    pub fn start(listen: SocketAddr, node: SocketAddr, bytes_per_s: u64) {
        let listener = TcpListener::bind(listen).expect("the address is free");
        let free_at = Arc::new(Mutex::new(Instant::now()));
        thread::spawn(move || {
            for opened in listener.incoming().flatten() {
                let Ok(accepted) = TcpStream::connect(node) else {
                    continue;
                };
                for (from, into, is_back) in
                    [(&opened, &accepted, false), (&accepted, &opened, true)]
                {
                    let _ = from.set_nodelay(true);
                    let (mut from, mut into) =
                        (from.try_clone().unwrap(), into.try_clone().unwrap());
                    let free_at = Arc::clone(&free_at);
                    thread::spawn(move || {
                        let mut chunk = [0; 8_192];
                        loop {
                            let count = from.read(&mut chunk).unwrap_or(0);
                            if is_back {
                                let passes_at = {
                                    let mut free_at = free_at.lock().unwrap();
                                    let takes = count as f64 / bytes_per_s as f64;
                                    *free_at = (*free_at).max(Instant::now())
                                        + Duration::from_secs_f64(takes);
                                    *free_at
                                };
                                sleep(passes_at.saturating_duration_since(Instant::now()));
                            }
                            if count == 0 || into.write_all(&chunk[..count]).is_err() {
                                let _ = into.shutdown(Shutdown::Write);
                                let _ = from.shutdown(Shutdown::Read);
                                return;
                            }
                        }
                    });
                }
            }
        });
    }
}

/// One start of a backend server.
pub struct Backend {
    pub settings: Arc<BackendSettings>,
    pub born: u64,
    sequence: AtomicU64,
    leaving: Arc<AtomicBool>,
    ended: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    record: Record,
}

impl Backend {
    pub fn start(settings: BackendSettings, runs: &Runs, record: &Record) -> Self {
        let listener = TcpListener::bind(settings.listen).expect("the backend's address is free");
        let settings = Arc::new(settings);
        let backend = Self {
            settings: Arc::clone(&settings),
            born: unix_ms(),
            sequence: AtomicU64::new(0),
            leaving: Arc::default(),
            ended: Arc::default(),
            connections: Arc::default(),
            record: record.clone(),
        };
        record.line(&format!(
            "backend {} of {} starts",
            settings.instance, settings.service
        ));
        let (leaving, ended) = (Arc::clone(&backend.leaving), Arc::clone(&backend.ended));
        let (connections, runs) = (Arc::clone(&backend.connections), Arc::clone(runs));
        let record = record.clone();
        let running = Arc::new(AtomicU64::new(0));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if ended.load(Ordering::SeqCst) {
                    return;
                }
                connections.lock().unwrap().extend(stream.try_clone());
                let served = Served {
                    settings: Arc::clone(&settings),
                    leaving: Arc::clone(&leaving),
                    running: Arc::clone(&running),
                    runs: Arc::clone(&runs),
                    record: record.clone(),
                };
                thread::spawn(move || served.serve(Connection::new(stream)));
            }
        });
        backend
    }

    /// From now on it says that it is leaving; it serves on.
    pub fn set_leaving(&self) {
        self.leaving.store(true, Ordering::SeqCst);
    }

    /// Ends it at once.
    pub fn end(&self) {
        self.record
            .line(&format!("backend {} ends", self.settings.instance));
        self.ended.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.settings.listen);
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// The next heartbeat as the bytes of its body, with the next sequence number.
    pub fn heartbeat(&self, app_address: SocketAddr, zone: &str) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let state = if self.leaving.load(Ordering::SeqCst) {
            "draining"
        } else {
            "ready"
        };
        let BackendSettings { service, slots, .. } = &*self.settings;
        let born = self.born;
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{app_address}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"slots\":{slots},\"state\":\"{state}\",\"cold_left_ms\":0,\
             \"sequence\":{sequence},\"born\":{born}}}"
        )
    }

    /// Delivers a heartbeat; true if it is acknowledged.
    pub fn deliver(&self, control: SocketAddr, body: &str, note: &str) -> bool {
        let path = format!("/v1/instances/{}/heartbeat", self.settings.instance);
        let acknowledged = post(control, &path, body);
        self.record.line(&format!(
            "heartbeat{note} of {}: {body} -> {acknowledged:?}",
            self.settings.instance
        ));
        matches!(acknowledged, Ok(200..=299))
    }

    /// Deregisters; true if it is acknowledged.
    pub fn deregister(&self, control: SocketAddr) -> bool {
        let path = format!("/v1/instances/{}/deregister", self.settings.instance);
        let acknowledged = post(control, &path, &format!("{{\"born\":{}}}", self.born));
        self.record.line(&format!(
            "deregister of {} -> {acknowledged:?}",
            self.settings.instance
        ));
        matches!(acknowledged, Ok(200..=299))
    }
}

fn post(to: SocketAddr, path: &str, body: &str) -> Result<u16, String> {
    let head = format!("POST {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\n");
    call(to, &head, body.as_bytes(), ms(1_000))
        .map(|answer| answer.status())
        .map_err(|error| error.to_string())
}

struct Served {
    settings: Arc<BackendSettings>,
    leaving: Arc<AtomicBool>,
    running: Arc<AtomicU64>,
    runs: Runs,
    record: Record,
}

impl Served {
    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(request)) = connection.read() {
            let (head, body) = self.answer(&request);
            if connection.write(&head, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (String, String) {
        let BackendSettings {
            instance,
            service,
            slots,
            work,
            body_bytes,
            ..
        } = &*self.settings;
        let own = format!(
            "Bronzelock-Instance-Id: {instance}\r\nBronzelock-Server-Load: {},0,{slots},100\r\n",
            self.running.load(Ordering::SeqCst)
        );
        if request.target() == "/health" {
            let status = if self.leaving.load(Ordering::SeqCst) {
                503
            } else {
                200
            };
            return (format!("HTTP/1.1 {status} Health\r\n{own}"), String::new());
        }
        let id = request
            .header("Bronzelock-Request-Id")
            .unwrap_or("")
            .to_owned();
        let with_id = format!("{own}Bronzelock-Request-Id: {id}\r\n");
        let meant = request.header("Bronzelock-Target-Instance");
        if meant.is_some_and(|meant| meant != instance) {
            self.record
                .line(&format!("backend {instance} answers 421 to {id}"));
            return (
                format!("HTTP/1.1 421 Misdirected Request\r\n{with_id}"),
                String::new(),
            );
        }
        if self.running.fetch_add(1, Ordering::SeqCst) >= *slots as u64 {
            self.running.fetch_sub(1, Ordering::SeqCst);
            let head = format!("HTTP/1.1 503 Full\r\n{with_id}Bronzelock-Not-Executed: 1\r\n");
            return (head, String::new());
        }
        let run = Run {
            at: self.record.now(),
            id: id.clone(),
            instance: instance.clone(),
            service: service.clone(),
            target: format!("{} {}", request.method(), request.target()),
            caller_service: request
                .header("Bronzelock-Caller-Service")
                .unwrap_or("")
                .to_owned(),
        };
        self.record.line(&format!(
            "backend {instance} of {service} runs {id} ({}), caller service {:?}",
            run.target, run.caller_service
        ));
        self.runs.lock().unwrap().push(run);
        sleep(*work);
        self.running.fetch_sub(1, Ordering::SeqCst);
        let head = format!(
            "HTTP/1.1 200 OK\r\n{with_id}Bronzelock-Server-Signature: signed.{id}\r\nContent-Type: text/plain\r\n"
        );
        let mut body = format!("{id} by {service}");
        body.extend(std::iter::repeat_n(
            '.',
            body_bytes.saturating_sub(body.len()),
        ));
        (head, body)
    }
}

// ----------------------------------------------------------------------------------- the nodes

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// A machine: the addresses of its node and its backend server.
#[derive(Clone)]
pub struct Machine {
    pub name: String,
    pub zone: String,
    pub ip: IpAddr,
    /// Where its node takes requests of other nodes, if these reach it through a [`NarrowLink`].
    pub behind_link: Option<SocketAddr>,
    port: u16,
    settings: PathBuf,
    log: PathBuf,
}

impl Machine {
    fn at(&self, offset: u16) -> SocketAddr {
        SocketAddr::new(self.ip, self.port + offset)
    }
    pub fn outbound(&self) -> SocketAddr {
        self.at(0)
    }
    pub fn inbound(&self) -> SocketAddr {
        self.at(1)
    }
    pub fn ready(&self) -> SocketAddr {
        self.at(2)
    }
    pub fn control(&self) -> SocketAddr {
        self.at(3)
    }
    pub fn app(&self) -> SocketAddr {
        self.at(4)
    }
    /// Where a backend server listens that is reached through a [`Front`].
    pub fn behind_front(&self) -> SocketAddr {
        self.at(5)
    }
    /// Where the next one listens.
    pub fn behind_front_too(&self) -> SocketAddr {
        self.at(7)
    }

    /// Writes the settings file as the platform fills in the template of the deploy file.
    pub fn write_settings(&self, service: &str, store: SocketAddr, first_start: bool) {
        let text = format!(
            r#"{{"host":{{"name":"{}","ip":"{}",{}"zone":"{}"}},
"listen":{{"callers":"{}","peers":"{}","ready":"{}","announcements":"{}","shared_port_first":{}}},
"backend_server":{{"address":"{}","service":"{service}"}},
"contacts":[],"store":{{"address":"{store}"}},"limits":{{"files_max":4100}},
"bounds":{{"drain_ms":{DRAIN_MS},"grace_s":6,"retry_ratio":0.2,"retry_window_s":10,"retry_slack":56,
"probes_per_s":60,"cold_overage":1.5,"cold_slack":5}}}}"#,
            self.name,
            self.ip,
            if first_start {
                "\"first_start\":true,"
            } else {
                ""
            },
            self.zone,
            self.outbound(),
            self.behind_link.unwrap_or(self.inbound()),
            self.ready(),
            self.control(),
            self.port + 6,
            self.app(),
        );
        std::fs::write(&self.settings, text).expect("the settings can be written");
    }

    /// Starts the node with the command of the deploy file.
    pub fn start_node(&self, record: &Record) -> Node {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("a log file");
        let child = Command::new("target/release/bronzelock")
            .arg("host")
            .env("BRONZELOCK_BOOT", &self.settings)
            .env("MIMALLOC_ALLOW_THP", "0")
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a handle"))
            .stderr(log)
            .spawn();
        let child = child.expect("the node starts, once it is built");
        record.line(&format!(
            "node {} starts (process {})",
            self.name,
            child.id()
        ));
        Node {
            child,
            name: self.name.clone(),
            started: record.now(),
            record: record.clone(),
        }
    }

    pub fn wait_until_ready(&self, record: &Record) {
        let until = Instant::now() + Duration::from_secs(15);
        while !self.is_ready() {
            assert!(
                Instant::now() < until,
                "node {} does not become ready",
                self.name
            );
            sleep(ms(25));
        }
        record.line(&format!("node {} is ready", self.name));
    }

    pub fn is_ready(&self) -> bool {
        let head = format!("GET /v1/ready HTTP/1.1\r\nHost: {}\r\n", self.ready());
        call(self.ready(), &head, b"", ms(500)).is_ok_and(|answer| answer.status() == 200)
    }
}

/// A running node; killed when dropped.
pub struct Node {
    child: Child,
    name: String,
    pub started: u64,
    record: Record,
}

impl Node {
    pub fn signal(&mut self, signal: i32) {
        self.record
            .line(&format!("signal {signal} to node {}", self.name));
        // SAFETY: the process is a child that has not been waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    pub fn kill(&mut self) {
        self.signal(SIGKILL);
        let _ = self.child.wait();
    }

    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Everything that a case starts.
pub struct Site {
    pub record: Record,
    pub store: Store,
    pub machines: Vec<Machine>,
    pub runs: Runs,
    pub attempts: Arc<Mutex<Vec<Attempt>>>,
    folder: PathBuf,
}

impl Site {
    /// Lays out machines, given as name, zone and service of the settings, and starts the store.
    pub fn new(record: &Path, machines: &[(&str, &str, &str)]) -> Self {
        let record = Record::create(record);
        let (b, c, port) = free_network();
        let temporary = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&temporary).expect("a temporary folder");
        let store = Store::start(SocketAddr::new(Ipv4Addr::new(127, b, c, 12).into(), port));
        let machines: Vec<Machine> = machines
            .iter()
            .enumerate()
            .map(|(index, (name, zone, service))| {
                let machine = Machine {
                    name: (*name).to_owned(),
                    zone: (*zone).to_owned(),
                    ip: Ipv4Addr::new(127, b, c, index as u8 + 1).into(),
                    behind_link: None,
                    port,
                    settings: temporary.join(format!("{name}.json")),
                    log: temporary.join(format!("{name}.log")),
                };
                machine.write_settings(service, store.address, true);
                machine
            })
            .collect();
        Self {
            record,
            store,
            machines,
            runs: Runs::default(),
            attempts: Arc::default(),
            folder: temporary,
        }
    }

    pub fn wait_until_ready(&self) {
        for machine in &self.machines {
            machine.wait_until_ready(&self.record);
        }
    }

    /// Ends the case: `broken` holds what breaks the rule.
    pub fn finish(self, broken: &[String]) -> i32 {
        for line in broken.iter().take(40) {
            self.record.line(&format!("BROKEN: {line}"));
        }
        self.record.line(&format!("{} breaks", broken.len()));
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
        println!("{} breaks", broken.len());
        if broken.is_empty() { 0 } else { BROKEN }
    }
}

// --------------------------------------------------------------------------------------- clients

/// What became of one request of a client.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: String,
    pub machine: usize,
    pub sent: u64,
    pub ended: u64,
    /// Status, or none if the connection ended without an answer.
    pub status: Option<u16>,
    pub body: String,
}

/// A client that sends one request after another to the node of its machine.
pub struct ClientSettings {
    pub machine: usize,
    pub name: String,
    pub method: &'static str,
    pub path: String,
    pub wait_ms: u64,
    pub pause: Duration,
}

pub fn start_client(
    site: &Site,
    settings: ClientSettings,
    stop: &Arc<AtomicBool>,
) -> thread::JoinHandle<()> {
    let (record, stop) = (site.record.clone(), Arc::clone(stop));
    let attempts = Arc::clone(&site.attempts);
    let node = site.machines[settings.machine].outbound();
    thread::spawn(move || {
        let mut connection: Option<Connection> = None;
        for number in 0.. {
            if stop.load(Ordering::SeqCst) {
                return;
            }
            let id = format!("{}-{number}", settings.name);
            let head = format!(
                "{} {}{number} HTTP/1.1\r\nHost: shop.example\r\nBronzelock-Request-Id: {id}\r\nBronzelock-Request-Deadline: {}\r\n",
                settings.method, settings.path, settings.wait_ms
            );
            let sent = record.now();
            let mut kept = connection.take().or_else(|| {
                let stream = TcpStream::connect_timeout(&node, ms(1_000)).ok()?;
                stream
                    .set_read_timeout(Some(ms(settings.wait_ms + 500)))
                    .ok()?;
                Some(Connection::new(stream))
            });
            let answer = kept.as_mut().and_then(|kept| {
                kept.write(&head, b"").ok()?;
                kept.read().ok().flatten()
            });
            let (status, body) = match &answer {
                Some(answer) => {
                    if !answer
                        .header("connection")
                        .is_some_and(|option| option == "close")
                    {
                        connection = kept;
                    }
                    (
                        Some(answer.status()),
                        String::from_utf8_lossy(&answer.body).into_owned(),
                    )
                }
                None => (None, String::new()),
            };
            record.line(&format!(
                "client at {node}: {id} {} {} sent at {sent} -> {status:?}",
                settings.method, settings.path
            ));
            let ended = record.now();
            attempts.lock().unwrap().push(Attempt {
                id,
                machine: settings.machine,
                sent,
                ended,
                status,
                body,
            });
            sleep(settings.pause);
        }
    })
}

/// A configuration with one route per path, as (path, effect, service).
pub fn configuration(version: u64, routes: &[(&str, &str, &str)], services: &[&str]) -> String {
    configuration_with_timeout(version, routes, services, 1_500)
}

/// The same with another `timeout-s` of all routes, in ms.
pub fn configuration_with_timeout(
    version: u64,
    routes: &[(&str, &str, &str)],
    services: &[&str],
    timeout_ms: u64,
) -> String {
    let routes: Vec<String> = routes
        .iter()
        .enumerate()
        .map(|(index, (path, effect, service))| {
            format!(
                "{{\"name\":\"r-{index}\",\"host\":\"shop.example\",\"path_prefix\":\"{path}\",\"effect\":\"{effect}\",\
                 \"timeout_ms\":{timeout_ms},\"objective_ms\":600,\"rank\":1,\"service\":\"{service}\",\"servers_max\":2}}"
            )
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"connections_max\":220,\
                 \"cold_start_s\":3.0,\"cold_requests_per_s\":11.0}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"head_bytes_max\":16384,\
         \"body_bytes_max\":1048576,\"head_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}
