// Small stand-ins for the platform, its backend servers and clients, without dependencies.
//
// Each case includes this file. Everything listens on addresses of one free loopback network.


use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Ids of the node processes that run.
static RUNNING: OnceLock<Mutex<Vec<u32>>> = OnceLock::new();

fn running() -> &'static Mutex<Vec<u32>> {
    RUNNING.get_or_init(Mutex::default)
}

/// Ends all node processes and this one.
pub fn finish(code: i32) -> ! {
    let pids = running().lock().map(|pids| pids.clone()).unwrap_or_default();
    for pid in pids {
        // SAFETY: plain system call with the id of a child that was not waited for.
        unsafe { kill(pid as i32, SIGKILL) };
    }
    std::process::exit(code)
}

/// Ends the case as one that could not run.
pub fn could_not_run(why: &str) -> ! {
    println!("could not run: {why}");
    finish(2)
}

/// Makes a failure of the case itself end all processes.
pub fn end_all_on_panic() {
    let usual = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        usual(info);
        finish(2);
    }));
}

/// Writes what was sent, answered and run.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    pub fn create(path: &Path) -> Self {
        Self(Arc::new((Instant::now(), Mutex::new(File::create(path).expect("record.txt")))))
    }
    pub fn ms(&self) -> u64 {
        self.0.0.elapsed().as_millis() as u64
    }
    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.0.0.elapsed().as_secs_f64();
        let _written = writeln!(self.0.1.lock().unwrap(), "{at:9.4} {}", text.as_ref());
    }
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// One HTTP message: first line, headers, body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}
impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }
    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads HTTP messages from a connection.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}
impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: Vec::new() }
    }
    fn fill(&mut self) -> std::io::Result<usize> {
        let mut chunk = [0; 65536];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }
    /// Next message; `None` at the end of the connection.
    pub fn next(&mut self) -> std::io::Result<Option<Message>> {
        let end = loop {
            if let Some(end) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                break end;
            }
            if self.fill()? == 0 {
                return if self.buffer.is_empty() {
                    Ok(None)
                } else {
                    Err(std::io::Error::other("ended within a head"))
                };
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let first = lines.next().unwrap_or("").to_owned();
        let headers = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(n, v)| (n.to_owned(), v.trim().to_owned()))
            .collect();
        let mut message = Message { first, headers, body: Vec::new() };
        let length: usize =
            message.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                return Err(std::io::Error::other(format!(
                    "ended within a body: {} of {length} bytes", self.buffer.len()
                )));
            }
        }
        message.body = self.buffer.drain(..length).collect();
        Ok(Some(message))
    }
}

pub fn encode(first: &str, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("{first}\r\n").into_bytes();
    for (name, value) in headers {
        out.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    out.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    out.extend_from_slice(body);
    out
}

/// Serves connections of a listener, each in a thread.
pub fn serve(listener: TcpListener, handle: impl Fn(TcpStream) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { return };
            let _nodelay = stream.set_nodelay(true);
            let handle = Arc::clone(&handle);
            thread::spawn(move || handle(stream));
        }
    });
}

// ---------------------------------------------------------------- the platform's store

#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    newest: BTreeMap<String, (u64, Vec<u8>)>,
}
#[derive(Clone)]
pub struct Store {
    topics: Arc<(Mutex<HashMap<String, Topic>>, Condvar)>,
    pub address: SocketAddr,
    /// Number of times that the open connections fell silent.
    silences: Arc<AtomicU64>,
}
impl Store {
    pub fn start(address: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).expect("the store's address is free");
        let store = Self { topics: Arc::default(), address, silences: Arc::default() };
        let served = store.clone();
        serve(listener, move |stream| served.connection(stream));
        store
    }
    /// Answers nothing more on the connections that are open now; new ones work.
    pub fn fall_silent(&self) {
        self.silences.fetch_add(1, SeqCst);
    }
    /// Writes a record as the operator does; an empty value deletes the key.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        self.append(topic, vec![record]);
    }
    fn append(&self, topic: &str, records: Vec<Vec<u8>>) -> (u64, u64) {
        let mut topics = self.topics.0.lock().unwrap();
        let topic = topics.entry(topic.to_owned()).or_default();
        let offset = topic.records.len() as u64;
        for record in records {
            let at = topic.records.len() as u64;
            let key_end = 1 + usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..key_end]).into_owned();
            if record.len() == key_end {
                topic.newest.remove(&key);
            } else {
                topic.newest.insert(key, (at, record[key_end..].to_vec()));
            }
            topic.records.push(record);
        }
        let end = topic.records.len() as u64;
        self.topics.1.notify_all();
        (offset, end)
    }
    fn connection(&self, stream: TcpStream) {
        let mut output = stream.try_clone().unwrap();
        let mut reader = Reader::new(stream);
        let silences = self.silences.load(SeqCst);
        while let Ok(Some(call)) = reader.next() {
            sleep_ms(2);
            let (status, body) = self.answer(&call);
            if self.silences.load(SeqCst) != silences {
                continue;
            }
            let head = format!("HTTP/1.1 {status} -");
            let kind = ("Content-Type", "application/json".to_owned());
            let answer = encode(&head, &[kind, ("Store-Era", "0".to_owned())], &body);
            if output.write_all(&answer).is_err() {
                return;
            }
        }
    }
    fn answer(&self, call: &Message) -> (u16, Vec<u8>) {
        let (path, query) = call.target().split_once('?').unwrap_or((call.target(), ""));
        let fields: HashMap<&str, &str> =
            query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let number = |name: &str| fields.get(name).and_then(|n| n.parse::<u64>().ok());
        let topic_name = fields.get("topic").copied().unwrap_or("");
        match path {
            "/v1/log-append" => {
                let end = {
                    let mut topics = self.topics.0.lock().unwrap();
                    topics.entry(topic_name.to_owned()).or_default().records.len() as u64
                };
                if number("at").is_some_and(|at| at != end) {
                    return (412, format!("{{\"end\":{end}}}").into_bytes());
                }
                let mut rest = &call.body[..];
                let mut records = Vec::new();
                while rest.len() >= 4 {
                    let length = u32::from_be_bytes(rest[..4].try_into().unwrap()) as usize;
                    records.push(rest[4..4 + length].to_vec());
                    rest = &rest[4 + length..];
                }
                let (offset, end) = self.append(topic_name, records);
                (200, format!("{{\"offset\":{offset},\"end\":{end}}}").into_bytes())
            }
            "/v1/log-read" => {
                let from = number("from").unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(number("wait-ms").unwrap_or(0));
                let mut topics = self.topics.0.lock().unwrap();
                loop {
                    let topic = topics.entry(topic_name.to_owned()).or_default();
                    let end = topic.records.len() as u64;
                    let left = until.saturating_duration_since(Instant::now());
                    if from > end {
                        return (410, b"{\"first\":0}".to_vec());
                    }
                    if end > from || left.is_zero() {
                        let mut body = end.to_be_bytes().to_vec();
                        body.extend_from_slice(&0u64.to_be_bytes());
                        for record in &topic.records[from as usize..] {
                            body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                            body.extend_from_slice(record);
                        }
                        return (200, body);
                    }
                    topics = self.topics.1.wait_timeout(topics, left).unwrap().0;
                }
            }
            "/v1/log-newest" => {
                let mut topics = self.topics.0.lock().unwrap();
                let topic = topics.entry(topic_name.to_owned()).or_default();
                let items: Vec<String> = topic.newest.iter().map(|(key, (offset, value))| {
                    format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}", base64(value))
                }).collect();
                let end = topic.records.len();
                (200, format!("{{\"items\":[{}],\"more\":false,\"end\":{end}}}", items.join(",")).into_bytes())
            }
            _ => (404, b"{}".to_vec()),
        }
    }
}
fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let b = [chunk[0], *chunk.get(1).unwrap_or(&0), *chunk.get(2).unwrap_or(&0)];
        let n = (u32::from(b[0]) << 16) | (u32::from(b[1]) << 8) | u32::from(b[2]);
        for i in 0..4 {
            if i <= chunk.len() {
                out.push(DIGITS[(n >> (18 - 6 * i)) as usize & 63] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

// ---------------------------------------------------------------- addresses and nodes

/// Ports that all machines share, and the network part of their addresses.
#[derive(Clone, Copy)]
pub struct Net {
    a: u8,
    b: u8,
    pub port: u16,
}
impl Net {
    /// Takes a network whose ports are free at its first addresses.
    pub fn free() -> Self {
        for attempt in 0..200u32 {
            let seed = std::process::id().wrapping_mul(2_654_435_761).wrapping_add(attempt * 40_503)
                ^ (unix_ms() as u32);
            let net = Self {
                a: (seed >> 8) as u8 % 200 + 20,
                b: (seed >> 16) as u8 % 200 + 20,
                port: 20_000 + (seed % 10_000) as u16,
            };
            let free = (1..9).all(|m| {
                (0..6).all(|p| TcpListener::bind(net.at(m, p)).is_ok())
                    && UdpSocket::bind(net.at(m, 6)).is_ok()
            });
            if free {
                return net;
            }
        }
        could_not_run("no free ports")
    }
    pub fn at(&self, machine: u8, port: u16) -> SocketAddr {
        SocketAddr::from(([127, self.a, self.b, machine], self.port + port))
    }
}
pub const OUTBOUND: u16 = 0;
pub const INBOUND: u16 = 1;
pub const READY: u16 = 2;
pub const CONTROL: u16 = 3;
pub const APP: u16 = 4;
pub const STORE: u16 = 5;
pub const UDP: u16 = 6;

pub struct Node {
    pub net: Net,
    pub machine: u8,
    service: String,
    zone: String,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}
impl Node {
    pub fn new(net: Net, machine: u8, service: &str, zone: &str, folder: &Path) -> Self {
        Self {
            net,
            machine,
            service: service.into(),
            zone: zone.into(),
            settings: folder.join(format!("node-{machine}.json")),
            log: folder.join(format!("node-{machine}.log")),
            child: None,
        }
    }
    pub fn start(&mut self, first: bool) {
        let at = |port| self.net.at(self.machine, port);
        let first = if first { "\"first_start\": true," } else { "" };
        let text = format!(
            "{{\"host\":{{\"name\":\"sidecar-{m}\",\"ip\":\"{ip}\",{first}\"zone\":\"{zone}\"}},\
             \"listen\":{{\"callers\":\"{}\",\"peers\":\"{}\",\"ready\":\"{}\",\"announcements\":\"{}\",\"shared_port_first\":{}}},\
             \"backend_server\":{{\"address\":\"{}\",\"service\":\"{service}\"}},\"contacts\":[],\
             \"store\":{{\"address\":\"{}\"}},\"limits\":{{\"memory_mb\":260,\"files_max\":4100}},\
             \"bounds\":{{\"drain_ms\":2500,\"grace_s\":6,\"retry_ratio\":0.2,\"retry_window_s\":10,\
             \"retry_slack\":216,\"probes_per_s\":60,\"cold_overage\":1.5,\"cold_slack\":8}}}}",
            at(OUTBOUND), at(INBOUND), at(READY), at(CONTROL), self.net.port + UDP, at(APP),
            self.net.at(1, STORE), m = self.machine, ip = at(0).ip(), zone = self.zone,
            service = self.service,
        );
        std::fs::write(&self.settings, text).expect("settings");
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&self.log).unwrap();
        let child = Command::new("target/release/bronzelock")
            .arg("host")
            .env_clear()
            .env("BRONZELOCK_BOOT", &self.settings)
            .env("MIMALLOC_ALLOW_THP", "0")
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => {
                running().lock().unwrap().push(child.id());
                self.child = Some(child);
            }
            Err(error) => could_not_run(&format!("the node does not start: {error}")),
        }
    }
    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // SAFETY: plain system call with the id of a child that was not waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }
    pub fn wait_ms(&mut self, ms: u64) -> Option<Option<i32>> {
        let until = Instant::now() + Duration::from_millis(ms);
        while Instant::now() < until {
            if let Ok(Some(status)) = self.child.as_mut()?.try_wait() {
                self.forget();
                self.child = None;
                return Some(status.code());
            }
            sleep_ms(5);
        }
        None
    }
    fn forget(&self) {
        if let Some(child) = &self.child {
            running().lock().unwrap().retain(|pid| *pid != child.id());
        }
    }
    pub fn end(&mut self) {
        self.forget();
        if let Some(mut child) = self.child.take() {
            // SAFETY: as above.
            unsafe { kill(child.id() as i32, SIGKILL) };
            let _status = child.wait();
        }
    }
    pub fn is_ready(&self) -> bool {
        let request = encode("GET /v1/ready HTTP/1.1", &[("Host", "node".into())], b"");
        let Ok(mut stream) = TcpStream::connect(self.net.at(self.machine, READY)) else {
            return false;
        };
        let _timeout = stream.set_read_timeout(Some(Duration::from_secs(1)));
        if stream.write_all(&request).is_err() {
            return false;
        }
        matches!(Reader::new(stream).next(), Ok(Some(answer)) if answer.status() == 200)
    }
}
impl Drop for Node {
    fn drop(&mut self) {
        self.end();
    }
}

// ---------------------------------------------------------------- backend servers

/// What a backend server does with a request.
pub struct Work<'a> {
    pub request: &'a Message,
    pub output: &'a mut TcpStream,
    pub instance: &'a str,
}
pub struct Backend {
    pub instance: String,
    pub born: u64,
    service: String,
    zone: String,
    pub address: SocketAddr,
    control: SocketAddr,
    pub draining: Arc<AtomicBool>,
    pub silent: Arc<AtomicBool>,
    /// Whether it has ended: it answers nothing and accepts no connections.
    pub ended: Arc<AtomicBool>,
    pub healthy: Arc<AtomicBool>,
    /// How long work takes now, in percent of the usual time.
    pub slowness: Arc<AtomicU64>,
    /// Whether its health answers tell its load, and with it the slowness.
    pub tells_load: Arc<AtomicBool>,
    pub slots: usize,
    sequence: AtomicU64,
    /// Time of the first acknowledged `draining`, in ms of the record.
    pub drain_acked_ms: Arc<AtomicU64>,
}
pub type Handler = dyn Fn(Work) -> bool + Send + Sync;
impl Backend {
    pub fn start(
        net: Net, machine: u8, instance: &str, service: &str, zone: &str, record: &Record,
        handler: Arc<Handler>,
    ) -> Arc<Self> {
        let address = net.at(machine, APP);
        let backend = Arc::new(Self {
            instance: instance.into(),
            born: unix_ms(),
            service: service.into(),
            zone: zone.into(),
            address,
            control: net.at(machine, CONTROL),
            draining: Arc::default(),
            silent: Arc::default(),
            ended: Arc::default(),
            healthy: Arc::new(AtomicBool::new(true)),
            slowness: Arc::new(AtomicU64::new(100)),
            tells_load: Arc::new(AtomicBool::new(true)),
            slots: 12,
            sequence: AtomicU64::new(0),
            drain_acked_ms: Arc::new(AtomicU64::new(0)),
        });
        let listener = TcpListener::bind(address).expect("the backend's address is free");
        let served = Arc::clone(&backend);
        serve(listener, move |stream| served.connection(stream, &handler));
        let announcer = Arc::clone(&backend);
        let record = record.clone();
        thread::spawn(move || loop {
            if !announcer.silent.load(SeqCst) {
                announcer.announce(&record);
            }
            sleep_ms(500);
        });
        backend
    }
    /// Ends it for good, without a word.
    pub fn end(&self) {
        self.silent.store(true, SeqCst);
        self.ended.store(true, SeqCst);
    }
    pub fn announce(&self, record: &Record) {
        let draining = self.draining.load(SeqCst);
        let state = if draining { "draining" } else { "ready" };
        let sequence = self.sequence.fetch_add(1, SeqCst) + 1;
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"{state}\",\"cold_left_ms\":0,\"sequence\":{sequence},\"born\":{}}}",
            self.service, self.address, self.zone, self.slots, self.born
        );
        let first = format!("POST /v1/instances/{}/heartbeat HTTP/1.1", self.instance);
        let kind = ("Content-Type", "application/json".to_owned());
        let call = encode(&first, &[("Host", "control".into()), kind], body.as_bytes());
        let answer = exchange(self.control, &call, 1_000);
        if draining
            && matches!(&answer, Ok(answer) if answer.status() / 100 == 2)
            && self.drain_acked_ms.load(SeqCst) == 0
        {
            record.line(format!("backend {} has the acknowledgement of draining", self.instance));
            self.drain_acked_ms.store(record.ms(), SeqCst);
        }
    }
    fn load(&self) -> String {
        format!("0,0,{},{}", self.slots, self.slowness.load(SeqCst))
    }
    fn connection(&self, stream: TcpStream, handler: &Arc<Handler>) {
        let mut output = stream.try_clone().unwrap();
        let mut reader = Reader::new(stream);
        while let Ok(Some(request)) = reader.next() {
            if self.ended.load(SeqCst) {
                return;
            }
            if request.target() == "/health" {
                let good = self.healthy.load(SeqCst) && !self.draining.load(SeqCst);
                let status = if good { "200 OK" } else { "503 Service Unavailable" };
                let mut headers = vec![("Bronzelock-Instance-Id", self.instance.clone())];
                if self.tells_load.load(SeqCst) {
                    headers.push(("Bronzelock-Server-Load", self.load()));
                }
                let answer = encode(&format!("HTTP/1.1 {status}"), &headers, b"");
                if output.write_all(&answer).is_err() {
                    return;
                }
                continue;
            }
            if request.header("Bronzelock-Target-Instance").is_some_and(|t| t != self.instance) {
                let headers = [("Bronzelock-Instance-Id", self.instance.clone())];
                let answer = encode("HTTP/1.1 421 Misdirected Request", &headers, b"");
                if output.write_all(&answer).is_err() {
                    return;
                }
                continue;
            }
            let work = Work { request: &request, output: &mut output, instance: &self.instance };
            if !handler(work) {
                let _closed = output.shutdown(Shutdown::Both);
                return;
            }
        }
    }
    /// Answer to a request with this status and body.
    pub fn answer(request: &Message, instance: &str, status: &str, body: &[u8]) -> Vec<u8> {
        let id = request.header("Bronzelock-Request-Id").unwrap_or("").to_owned();
        let headers = [
            ("Bronzelock-Request-Id", id),
            ("Bronzelock-Server-Signature", format!("sig.{instance}")),
        ];
        encode(&format!("HTTP/1.1 {status}"), &headers, body)
    }
}

/// Sends one request on a connection of its own and reads the answer.
pub fn exchange(to: SocketAddr, request: &[u8], timeout_ms: u64) -> std::io::Result<Message> {
    let limit = Duration::from_millis(timeout_ms);
    let mut stream = TcpStream::connect_timeout(&to, limit)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_nodelay(true)?;
    stream.write_all(request)?;
    Reader::new(stream).next()?.ok_or_else(|| std::io::Error::other("closed without an answer"))
}

pub fn request(method: &str, path: &str, id: &str, wait_ms: u64, body: &[u8]) -> Vec<u8> {
    let headers = [
        ("Host", "shop.example".to_owned()),
        ("Bronzelock-Request-Id", id.to_owned()),
        ("Bronzelock-Request-Deadline", wait_ms.to_string()),
    ];
    encode(&format!("{method} {path} HTTP/1.1"), &headers, body)
}

/// Route of the configuration: name, prefix, effect, service, timeout and objective in ms.
pub struct RouteOf<'a>(pub &'a str, pub &'a str, pub &'a str, pub &'a str, pub u64, pub u64);
pub fn config(version: u64, routes: &[RouteOf], services: &[&str]) -> Vec<u8> {
    let routes: Vec<String> = routes.iter().map(|r| format!(
        "{{\"name\":\"{}\",\"host\":\"shop.example\",\"path_prefix\":\"{}\",\"effect\":\"{}\",\
         \"timeout_ms\":{},\"objective_ms\":{},\"rank\":1,\"service\":\"{}\",\"servers_max\":2}}",
        r.0, r.1, r.2, r.4, r.5, r.3)).collect();
    let services: Vec<String> = services.iter().map(|s| format!(
        "{{\"name\":\"{s}\",\"health_path\":\"/health\",\"connections_max\":260,\"protocol\":\"h1\",\
         \"tls\":false,\"cold_start_s\":3.0,\"cold_requests_per_s\":30.0}}")).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"head_bytes_max\":16384,\
         \"body_bytes_max\":67108864,\"head_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        routes.join(","), services.join(",")
    ).into_bytes()
}

/// Waits until a condition holds; ends the case as one that could not run otherwise.
pub fn eventually(what: &str, limit_ms: u64, condition: impl Fn() -> bool) {
    let until = Instant::now() + Duration::from_millis(limit_ms);
    while !condition() {
        if Instant::now() > until {
            could_not_run(what);
        }
        sleep_ms(20);
    }
}
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0")
}

/// A small deployment: one node and one backend server a machine.
pub struct Deployment {
    pub net: Net,
    pub store: Store,
    pub nodes: Vec<Node>,
    pub backends: Vec<Arc<Backend>>,
}

impl Deployment {
    /// Starts machines with these services in one availability zone; see [`Self::start_in`].
    pub fn start(
        services: &[&str], config: &[u8], record: &Record, folder: &Path, handler: Arc<Handler>,
    ) -> Self {
        let places: Vec<_> = services.iter().map(|service| (*service, "jyl-a")).collect();
        Self::start_in(&places, config, record, folder, handler)
    }
    /// Starts machines with these services and availability zones, from machine 1 on, and waits until
    /// all are in touch.
    pub fn start_in(
        places: &[(&str, &str)], config: &[u8], record: &Record, folder: &Path,
        handler: Arc<Handler>,
    ) -> Self {
        let net = Net::free();
        let store = Store::start(net.at(1, STORE));
        store.put("keyed.op", "config", config);
        let machines = || (1u8..).zip(places);
        let mut nodes: Vec<Node> = machines()
            .map(|(machine, (service, zone))| Node::new(net, machine, service, zone, folder))
            .collect();
        for node in &mut nodes {
            node.start(true);
        }
        let backends = machines().map(|(machine, (service, zone))| {
            let instance = format!("i-{service}-{machine}");
            Backend::start(net, machine, &instance, service, zone, record, Arc::clone(&handler))
        });
        let backends = backends.collect();
        eventually("the nodes are not ready", 10_000, || nodes.iter().all(Node::is_ready));
        // Beyond `contact-s`, and the backends are warm.
        sleep_ms(4_000);
        Self { net, store, nodes, backends }
    }
    /// Address at which the clients of a machine send their requests.
    pub fn outbound(&self, machine: u8) -> SocketAddr {
        self.net.at(machine, OUTBOUND)
    }
}
