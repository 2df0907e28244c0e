//! A node gets SIGTERM while a client reads pipelined answers over a slow link.
#![allow(dead_code)]

include!("lab.rs");

use std::collections::HashSet;
use std::os::fd::AsRawFd;

unsafe extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;

/// Requests that the client sends one behind the other.
const REQUESTS: usize = 24;
/// Length of each answer, in bytes.
const ANSWER_BYTES: usize = 500_000;
/// What the client's link carries: 32 Mbit/s.
const LINK_BYTES_PER_S: f64 = 4_000_000.0;
/// Deadline of each request, in ms.
const DEADLINE_MS: u64 = 4_000;
/// Time from SIGTERM to the requests, and to the first part of the last one's head, in ms.
const REQUESTS_AT_MS: u64 = 2_200;
const HEAD_BEGINS_AT_MS: u64 = 2_600;
/// How long that head takes, in ms; `header-timeout-s` is 3.
const HEAD_TAKES_MS: u64 = 1_000;

fn main() {
    end_all_on_panic();
    let arguments: Vec<PathBuf> = std::env::args().skip(1).map(PathBuf::from).collect();
    let (folder, temp) = (&arguments[0], &arguments[1]);
    let record = Record::create(&folder.join("record.txt"));
    let ran: Arc<Mutex<HashSet<String>>> = Arc::default();
    let (runs, line) = (Arc::clone(&ran), record.clone());
    let handler: Arc<Handler> = Arc::new(move |work: Work| {
        let id = work.request.header("Bronzelock-Request-Id").unwrap_or("").to_owned();
        line.line(format!("{} runs {id}", work.instance));
        runs.lock().unwrap().insert(id.clone());
        sleep_ms(210);
        let body = vec![b'x'; ANSWER_BYTES];
        let answer = Backend::answer(work.request, work.instance, "200 OK", &body);
        let is_answered = work.output.write_all(&answer).is_ok();
        line.line(format!("{} has answered {id}: {is_answered}", work.instance));
        is_answered
    });
    let routes = [RouteOf("bundle-fetch", "/bundle/", "download", "herd", DEADLINE_MS, 1_200)];
    let config = config(1, &routes, &["herd", "parlour"]);
    let services = ["parlour", "herd", "herd"];
    let mut all = Deployment::start(&services, &config, &record, temp, handler);

    // Usual traffic, from which the nodes know how long the requests take.
    for number in 0..10 {
        let usual = request("GET", "/bundle/7", &format!("usual-{number}"), DEADLINE_MS, b"");
        let answer = exchange(all.outbound(1), &usual, DEADLINE_MS);
        if !answer.is_ok_and(|answer| answer.body.len() == ANSWER_BYTES) {
            could_not_run("a request is not answered before the trouble");
        }
    }
    let began = Instant::now();
    let until = |ms: u64| {
        thread::sleep(Duration::from_millis(ms).saturating_sub(began.elapsed()));
    };
    if has_trouble() {
        all.nodes[0].signal(SIGTERM);
        record.line("the platform sends SIGTERM to the node of machine 1");
    }
    until(REQUESTS_AT_MS);
    let mut input = TcpStream::connect(all.outbound(1)).expect("the node accepts connections");
    let window = 32 * 1024;
    // SAFETY: plain system call on an open socket, with a value that outlives it.
    unsafe { setsockopt(input.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &window, 4) };
    input.set_nodelay(true).unwrap();
    let mut output = input.try_clone().unwrap();
    let sent: Vec<String> = (0..REQUESTS).map(|number| format!("bundle-{number}")).collect();
    let bytes: Vec<u8> =
        sent.iter().flat_map(|id| request("GET", "/bundle/7", id, DEADLINE_MS, b"")).collect();
    output.write_all(&bytes).expect("the node takes the requests");
    record.line(format!("the client sends {REQUESTS} requests on one connection"));
    let line = record.clone();
    let sender = thread::spawn(move || {
        let next = request("GET", "/bundle/8", "bundle-next", DEADLINE_MS, b"");
        let wait = Duration::from_millis(HEAD_BEGINS_AT_MS).saturating_sub(began.elapsed());
        thread::sleep(wait);
        let first = output.write_all(&next[..60]);
        line.line(format!("the client sends the first part of another one: {first:?}"));
        sleep_ms(HEAD_TAKES_MS);
        let rest = output.write_all(&next[60..]);
        line.line(format!("the client sends the rest of it: {rest:?}"));
    });
    // Reads as fast as the link carries, until the client's deadline.
    let reading = Instant::now();
    let mut got = Vec::new();
    let end = loop {
        if reading.elapsed() > Duration::from_millis(DEADLINE_MS) {
            break "the client's deadline passes".to_owned();
        }
        let carried = (reading.elapsed().as_secs_f64() * LINK_BYTES_PER_S) as usize;
        if got.len() >= carried {
            sleep_ms(1);
            continue;
        }
        let mut chunk = [0; 16 * 1024];
        let limit = Duration::from_millis(DEADLINE_MS).saturating_sub(reading.elapsed());
        let _set = input.set_read_timeout(Some(limit.max(Duration::from_millis(1))));
        match input.read(&mut chunk) {
            Ok(0) => break "the connection ends".to_owned(),
            Ok(count) => got.extend_from_slice(&chunk[..count]),
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(error) => break format!("the connection ends: {error}"),
        }
    };
    let ended_ms = began.elapsed().as_millis();
    record.line(format!("the client has {} bytes; {end}", got.len()));
    let answered = whole_answers(&got);
    for id in &sent {
        let state = if answered.contains(id) { "whole" } else { "missing or cut" };
        record.line(format!("answer to {id}: {state}"));
    }
    let _sender = sender.join();
    let exit = all.nodes[0].wait_ms(if has_trouble() { 5_000 } else { 0 });
    record.line(format!("the node of machine 1 has ended: {exit:?}"));
    let ran = ran.lock().unwrap();
    let lost: Vec<_> = sent.iter().filter(|id| ran.contains(*id) && !answered.contains(*id)).collect();
    // A connection that lasts until the client's deadline is not the node's doing.
    let is_cut = end.starts_with("the connection ends");
    let result = format!(
        "{} of {REQUESTS} requests ran and have no whole answer; {end} {ended_ms} ms after SIGTERM",
        lost.len()
    );
    record.line(&result);
    println!("{result}");
    finish(if is_cut && !lost.is_empty() { 1 } else { 0 })
}

/// Identifiers of the requests whose answers are whole in the bytes that a client got.
fn whole_answers(bytes: &[u8]) -> HashSet<String> {
    let mut whole = HashSet::new();
    let mut rest = bytes;
    while let Some(end) = rest.windows(4).position(|window| window == b"\r\n\r\n") {
        let head = String::from_utf8_lossy(&rest[..end]).into_owned();
        let value = |name: &str| {
            let mut lines = head.split("\r\n").filter_map(|line| line.split_once(": "));
            lines.find(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, value)| value.to_owned())
        };
        let length: usize = value("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
        let Some(after) = rest.get(end + 4 + length..) else { break };
        whole.extend(value("bronzelock-request-id"));
        rest = after;
    }
    whole
}
