//! Lines and counters of the event log, for callers that get a 3xx or 4xx status.

use std::io::{Error, ErrorKind, Write};
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bronzelock::edge::connections::Connections;
use bronzelock::edge::http1::server::{self, Handler, Listener, RejectedRequest, ServerLimits};
use bronzelock::edge::http1::{MessageLimits, Request, Response};
use bronzelock::host::context::Host;
use bronzelock::host::entry::callers::CallerHandler;
use bronzelock::host::observe::events::EventLog;
use bronzelock::host::observe::knowledge::ConfigAge;
use bronzelock::host::observe::request_lines::{Completed, Run};
use bronzelock::kernel::clock::Clock;
use bronzelock::kernel::stop::Stop;
use bronzelock::model::header::Header;
use bronzelock::model::names::ServiceName;
use bronzelock::platform::names;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Time in which the writer thread writes what is pending.
const WRITTEN_WITHIN: Duration = Duration::from_secs(5);

/// Output that keeps what is written, after failing as its script says.
#[derive(Clone, Default)]
struct Output {
    written: Arc<Mutex<Vec<u8>>>,
    failures: Arc<Mutex<Vec<ErrorKind>>>,
}

impl Output {
    fn text(&self) -> String {
        let written = self.written.lock().expect("no panic").clone();
        String::from_utf8(written).expect("text")
    }

    fn lines(&self) -> Vec<Value> {
        let text = self.text();
        let parsed = text.lines().map(serde_json::from_str);
        parsed.collect::<Result<_, _>>().expect("lines are JSON")
    }

    /// Waits until the lines of an event are written.
    fn await_lines(&self, event: &str, count: usize) -> Vec<Value> {
        let until = Instant::now() + WRITTEN_WITHIN;
        loop {
            let mut lines = self.lines();
            lines.retain(|line| line["event"] == event);
            if lines.len() >= count || Instant::now() > until {
                assert_eq!(lines.len(), count, "{event}: {}", self.text());
                return lines;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        if let Some(kind) = self.failures.lock().expect("no panic").pop() {
            return Err(Error::from(kind));
        }
        // A few bytes at a time, as a pipe that is nearly full takes them.
        let count = bytes.len().min(100);
        let mut written = self.written.lock().expect("no panic");
        written.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn event_log(output: &Output) -> EventLog {
    EventLog::start(&"a".into(), Clock::start(), Box::new(output.clone()))
}

/// Returns the lines of an event that `write` caused.
pub fn written_by(event: &str, write: impl FnOnce(&EventLog)) -> Vec<Value> {
    let output = Output::default();
    let log = event_log(&output);
    write(&log);
    output.await_lines(event, 1)
}

fn service(name: &str) -> ServiceName {
    ServiceName::new(name).expect("a name")
}

fn answered(log: &EventLog, status: u16) {
    let tried: [Option<IpAddr>; 2] = [None, Some([10, 0, 0, 2].into())];
    log.answered(&Completed {
        id: "7",
        route: "r",
        service: &service("milk"),
        tried: &tried,
        instance: Some("i-1"),
        status,
        took_us: 1_000,
        since_first_us: 450_000,
        left_us: 1_000,
        in_time: true,
        config_version: 3,
    });
}

/// A 4xx that was passed on from a backend server used to be one of two lines a second.
#[test]
fn every_client_error_of_a_backend_server_has_a_line_that_names_who_ran_it() {
    let output = Output::default();
    let log = event_log(&output);
    for _request in 0..20 {
        answered(&log, 404);
    }
    let lines = output.await_lines("answered", 20);
    assert_eq!(lines[19]["service"], "milk");
    assert_eq!(lines[19]["tried"], json!(["own", "10.0.0.2"]));
    assert_eq!(lines[19]["instance"], "i-1");
    assert_eq!(lines[19]["since_first_ms"], 450);
}

#[test]
fn answers_in_time_do_not_displace_the_lines_of_runs() {
    let output = Output::default();
    let log = event_log(&output);
    for _request in 0..20 {
        answered(&log, 200);
    }
    log.ran(&run("milk"));
    output.await_lines("ran", 1);
}

fn run(own_service: &str) -> Run<'_> {
    Run {
        id: "7",
        service: "milk",
        own_service,
        target_instance: "i-1",
        instance: None,
        version: None,
        status: Some(200),
        announcement_age_ms: Some(5),
        config_version: Some(3),
    }
}

#[test]
fn every_run_at_a_backend_server_of_another_service_has_a_line() {
    let output = Output::default();
    let log = event_log(&output);
    for _request in 0..20 {
        log.ran(&run("cheese"));
    }
    let lines = output.await_lines("ran", 20);
    assert_eq!(lines[0]["own_service"], "cheese");
    assert_eq!(lines[0]["announcement_age_ms"], 5);
}

#[test]
fn lines_beyond_the_limit_are_counted_by_event() {
    let output = Output::default();
    let log = event_log(&output);
    let config = ConfigAge {
        config_version: Some(3),
        config_age_ms: Some(1),
        operator_log_age_ms: None,
    };
    for _request in 0..5_000 {
        log.no_route("7", "cow.example", "/", &config);
    }
    std::thread::sleep(Duration::from_millis(1_100));
    log.state_changed("config", json!({}));
    let lines = output.await_lines("lines-dropped", 1);
    let dropped = lines[0]["by_event"]["no-route"].as_u64();
    let written = output
        .lines()
        .iter()
        .filter(|l| l["event"] == "no-route")
        .count() as u64;
    assert_eq!(dropped, Some(5_000 - written), "{}", lines[0]);
}

/// The writer thread used to end at the first error of the output, and said so nowhere.
#[test]
fn an_output_that_fails_for_a_time_loses_no_line() {
    let output = Output::default();
    *output.failures.lock().expect("no panic") = vec![
        ErrorKind::Other,
        ErrorKind::WouldBlock,
        ErrorKind::Interrupted,
    ];
    let log = event_log(&output);
    log.state_changed("config", json!({"version": 1}));
    log.state_changed("config", json!({"version": 2}));
    let lines = output.await_lines("config", 2);
    assert_eq!(
        (&lines[0]["version"], &lines[1]["version"]),
        (&json!(1), &json!(2))
    );
}

const LIMITS: ServerLimits = ServerLimits {
    message: MessageLimits {
        head_bytes_max: 256,
        body_bytes_max: 64,
    },
    head_timeout: Duration::from_millis(100),
    idle_timeout: Duration::from_secs(5),
};

/// What the handler is told of a rejected request.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Told {
    status: u16,
    reason: &'static str,
    target: Option<String>,
    answered: bool,
}

/// Keeps what it is told of rejected requests.
#[derive(Default)]
struct Recorder(Mutex<Vec<Told>>);

impl Handler for Recorder {
    fn limits(&self) -> ServerLimits {
        LIMITS
    }

    async fn answer(self: Arc<Self>, _request: Request, _caller: SocketAddr) -> Response {
        Response::new(200, Vec::new(), "")
    }

    fn rejected(&self, rejected: &RejectedRequest<'_>) -> Vec<Header> {
        let target = rejected.head.map(|head| head.target.clone());
        self.0.lock().expect("no panic").push(Told {
            status: rejected.reason.status(),
            reason: rejected.reason.as_str(),
            target,
            answered: rejected.answered,
        });
        Vec::new()
    }
}

async fn serve<H: Handler>(handler: &Arc<H>) -> (SocketAddr, Stop) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let stop = Stop::default();
    tokio::spawn(server::serve(
        Arc::clone(handler),
        Listener::new(listener, 8),
        Connections::default(),
        stop.clone(),
    ));
    (address, stop)
}

async fn send(address: SocketAddr, text: &str) -> String {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.write_all(text.as_bytes()).await.expect("written");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.expect("an answer");
    answer
}

async fn check_recorded(text: &str, status: u16, reason: &'static str, target: Option<&str>) {
    let handler = Arc::new(Recorder::default());
    let (address, _stop) = serve(&handler).await;
    let answer = send(address, text).await;
    assert!(
        answer.starts_with(&format!("HTTP/1.1 {status} ")),
        "{answer}"
    );
    let told = Told {
        status,
        reason,
        target: target.map(str::to_owned),
        answered: true,
    };
    assert_eq!(*handler.0.lock().expect("no panic"), [told]);
}

#[tokio::test]
async fn a_malformed_head_is_recorded() {
    check_recorded("\u{1}\u{2}\r\n\r\n", 400, "malformed-head", None).await;
}

#[tokio::test]
async fn a_long_head_is_recorded() {
    let text = format!("GET / HTTP/1.1\r\nA: {}\r\n\r\n", "a".repeat(300));
    check_recorded(&text, 431, "long-head", None).await;
}

#[tokio::test]
async fn a_long_body_is_recorded_with_its_head() {
    let text = "POST /a HTTP/1.1\r\nContent-Length: 65\r\n\r\n";
    check_recorded(text, 413, "long-body", Some("/a")).await;
}

#[tokio::test]
async fn a_long_body_in_chunks_is_recorded_with_its_head() {
    let text = "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n41\r\n";
    let text = format!("{text}{}\r\n0\r\n\r\n", "a".repeat(65));
    check_recorded(&text, 413, "long-body", Some("/a")).await;
}

#[tokio::test]
async fn two_lengths_are_recorded_with_their_head() {
    let text = "POST /a HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab";
    check_recorded(text, 400, "malformed-body", Some("/a")).await;
}

fn host() -> Arc<Host> {
    host_with_server(SocketAddr::from(([127, 0, 0, 1], 6)))
}

/// A node without configuration, beside a backend server at this address.
pub fn host_with_server(server: SocketAddr) -> Arc<Host> {
    let settings = json!({
        "host": {"name": "a", "ip": "127.0.0.1", "zone": "z", "first_start": true},
        "listen": {
            "callers": "127.0.0.1:1", "peers": "127.0.0.1:2", "ready": "127.0.0.1:3",
            "announcements": "127.0.0.1:4", "shared_port_first": 5,
        },
        "backend_server": {"address": server, "service": "milk"},
        "contacts": [],
        "store": {"address": "127.0.0.1:7"},
        "limits": {"files_max": 1_024},
        "bounds": {
            "drain_ms": 2_000, "grace_s": 6.0,
            "retry_ratio": 0.2, "retry_window_s": 10.0, "retry_slack": 56.0,
            "probes_per_s": 60.0, "cold_overage": 1.5, "cold_slack": 5.0,
        },
    });
    let settings = serde_json::from_value(settings).expect("settings");
    Arc::new(Host::new(settings))
}

async fn check_counted(request: &str, counter: &str) {
    let host = host();
    let handler = Arc::new(CallerHandler(Arc::clone(&host)));
    let (address, _stop) = serve(&handler).await;
    send(address, request).await;
    let metrics = bronzelock::host::observe::metrics::text(&host);
    assert!(metrics.contains(counter), "{metrics}");
}

/// This 400 had neither a line nor a counter.
#[tokio::test]
async fn a_request_without_an_identifier_is_counted() {
    let counter = "bronzelock_rejections{status=\"400\",reason=\"no-identifier\"} 1\n";
    check_counted("GET / HTTP/1.1\r\nConnection: close\r\n\r\n", counter).await;
}

#[tokio::test]
async fn a_malformed_request_is_counted() {
    let counter = "bronzelock_rejections{status=\"400\",reason=\"malformed-head\"} 1\n";
    check_counted("GET\r\n\r\n", counter).await;
}

async fn check_answered_without_configuration(request: &str) {
    let handler = Arc::new(CallerHandler(host()));
    let (address, _stop) = serve(&handler).await;
    let answer = send(address, request).await;
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
}

/// A node without a configuration used to apply limits that no configuration states.
#[tokio::test]
async fn a_node_without_a_configuration_answers_a_long_head_with_503() {
    let id = names::REQUEST_ID;
    let filler = "a".repeat(40 << 10);
    let request = format!("GET / HTTP/1.1\r\n{id}: 7\r\nConnection: close\r\nA: {filler}\r\n\r\n");
    check_answered_without_configuration(&request).await;
}
