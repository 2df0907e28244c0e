//! A client sends many idempotent requests one behind the other, and leaves.
#![allow(dead_code)]

include!("lab.rs");

/// Clients that leave, one after the other.
const TIMES: usize = 5;
/// Requests that each of them has sent.
const REQUESTS: usize = 40;
/// Clients that stay, and requests that each sends one behind the other.
const STAYING: usize = 3;
const REQUESTS_STAYING: usize = 4;
/// Work of one request, and its deadline, in ms.
const WORK_MS: u64 = 550;
const DEADLINE_MS: u64 = 4_000;
/// Time after which the client leaves, in ms.
const LEAVE_AFTER_MS: u64 = 50;
/// Time after a client's close in which its requests may still be sent and run, in ms.
const LATE_AFTER_MS: u64 = 500;
/// More than this many are more than a few.
const A_FEW: usize = 5;

/// When a request reached a backend server, and when its work ended, in ms.
#[derive(Clone, Copy)]
struct Run {
    began_ms: u64,
    ended_ms: u64,
}

fn main() {
    end_all_on_panic();
    let arguments: Vec<PathBuf> = std::env::args().skip(1).map(PathBuf::from).collect();
    let (folder, temp) = (&arguments[0], &arguments[1]);
    let record = Record::create(&folder.join("record.txt"));
    let runs: Arc<Mutex<HashMap<String, Run>>> = Arc::default();
    let (known, line) = (Arc::clone(&runs), record.clone());
    let handler: Arc<Handler> = Arc::new(move |work: Work| {
        let id = work.request.header("Bronzelock-Request-Id").unwrap_or("").to_owned();
        let began_ms = line.ms();
        line.line(format!("{} gets and runs {id}", work.instance));
        let is_wanted = work_until(work.output, &line, began_ms + WORK_MS);
        known.lock().unwrap().insert(id.clone(), Run { began_ms, ended_ms: line.ms() });
        if !is_wanted {
            line.line(format!("{} drops {id}: its connection closed", work.instance));
            return false;
        }
        let answer = Backend::answer(work.request, work.instance, "200 OK", b"trend");
        work.output.write_all(&answer).is_ok()
    });
    let routes = [RouteOf("yield-trend", "/trend/", "idempotent", "herd", DEADLINE_MS, 1_500)];
    let config = config(1, &routes, &["herd", "parlour"]);
    let services = ["parlour", "herd", "herd", "herd"];
    let mut all = Deployment::start(&services, &config, &record, temp, handler);
    let trend = |id: &str| request("GET", "/trend/7", id, DEADLINE_MS, b"");
    for number in 0..10 {
        let answer = exchange(all.outbound(1), &trend(&format!("usual-{number}")), DEADLINE_MS);
        if !answer.is_ok_and(|answer| answer.status() == 200) {
            could_not_run("a request is not answered before the trouble");
        }
    }

    let mut left = Vec::new();
    for time in 0..TIMES {
        let mut clients = Vec::new();
        for staying in 0..STAYING {
            let mut client = TcpStream::connect(all.outbound(1)).expect("a connection");
            for number in 0..REQUESTS_STAYING {
                let id = format!("stays-{time}-{staying}-{number}");
                client.write_all(&trend(&id)).expect("the node takes the request");
            }
            clients.push(client);
        }
        let mut client = TcpStream::connect(all.outbound(1)).expect("a connection");
        let sent: Vec<String> = (0..REQUESTS).map(|number| format!("trend-{time}-{number}")).collect();
        let bytes: Vec<u8> = sent.iter().flat_map(|id| trend(id)).collect();
        client.write_all(&bytes).expect("the node takes the requests");
        record.line(format!("a client sends {REQUESTS} requests on one connection"));
        if has_trouble() {
            sleep_ms(LEAVE_AFTER_MS);
            let _closed = client.shutdown(Shutdown::Both);
            drop(client);
            record.line("it closes its connection");
            left.push((sent, record.ms()));
        } else {
            clients.push(client);
        }
        // Those that stay read their answers.
        let readers: Vec<_> = clients.into_iter().map(|client| thread::spawn(move || {
            let _set = client.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)));
            let mut reader = Reader::new(client);
            let mut count = 0;
            while let Ok(Some(_answer)) = reader.next() {
                count += 1;
            }
            count
        })).collect();
        sleep_ms(DEADLINE_MS);
        let counts: Vec<usize> = readers.into_iter().filter_map(|reader| reader.join().ok()).collect();
        record.line(format!("answers to the clients that stay: {counts:?}"));
    }

    let runs = runs.lock().unwrap();
    let (mut late, mut at_work, mut would_last) = (0, 0, 0);
    for (sent, left_ms) in &left {
        let limit_ms = left_ms + LATE_AFTER_MS;
        for run in sent.iter().filter_map(|id| runs.get(id)) {
            if run.began_ms > limit_ms {
                late += 1;
            } else if run.began_ms + WORK_MS > limit_ms {
                would_last += 1;
                at_work += usize::from(run.ended_ms > limit_ms);
            }
        }
    }
    let result = format!(
        "{late} requests reached a backend over {LATE_AFTER_MS} ms after their client had left; \
         backends were still at work then on {at_work} of {would_last} that last so long"
    );
    record.line(&result);
    println!("{result}");
    for node in &mut all.nodes {
        node.end();
    }
    finish(if late > A_FEW || at_work * 4 > would_last { 1 } else { 0 })
}

/// Works until a time, in ms of the record; returns false at once if the connection closes.
fn work_until(output: &mut TcpStream, record: &Record, until_ms: u64) -> bool {
    let mut byte = [0; 1];
    let _set = output.set_nonblocking(true);
    let mut is_open = true;
    while is_open && record.ms() < until_ms {
        sleep_ms(2);
        is_open = match output.peek(&mut byte) {
            Ok(count) => count > 0,
            Err(error) => error.kind() == std::io::ErrorKind::WouldBlock,
        };
    }
    let _set = output.set_nonblocking(false);
    is_open
}
