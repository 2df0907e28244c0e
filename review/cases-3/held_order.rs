//! Clients leave while a node holds their orders because its backend server has turned slow.
#![allow(dead_code)]

include!("lab.rs");

/// Times that the backend server turns slow, and for how long, in ms.
const SLOW_TIMES: usize = 8;
const SLOW_FOR_MS: u64 = 2_000;
/// How long work takes then, in percent of the usual time.
const SLOW_PERCENT: u64 = 500;
/// Work of one order, and its deadline, in ms.
const WORK_MS: u64 = 350;
const DEADLINE_MS: u64 = 5_000;
/// Orders that come right after the backend server has turned slow, and how many clients leave.
const ORDERS: usize = 10;
const LEAVING: usize = 3;
/// Time after which they leave, in ms; half of the objective is 600.
const LEAVE_AFTER_MS: u64 = 150;
/// Time after a client's close in which its request may still reach a backend server, in ms.
const LATE_AFTER_MS: u64 = 500;
/// More than this many are more than a few.
const A_FEW: usize = 5;

fn main() {
    end_all_on_panic();
    let arguments: Vec<PathBuf> = std::env::args().skip(1).map(PathBuf::from).collect();
    let (folder, temp) = (&arguments[0], &arguments[1]);
    let record = Record::create(&folder.join("record.txt"));
    let reached: Arc<Mutex<HashMap<String, u64>>> = Arc::default();
    let slowness = Arc::new(AtomicU64::new(100));
    let (arrivals, line, now) = (Arc::clone(&reached), record.clone(), Arc::clone(&slowness));
    let handler: Arc<Handler> = Arc::new(move |work: Work| {
        let id = work.request.header("Bronzelock-Request-Id").unwrap_or("").to_owned();
        line.line(format!("{} gets and runs {id}", work.instance));
        arrivals.lock().unwrap().insert(id, line.ms());
        sleep_ms(WORK_MS * now.load(SeqCst) / 100);
        let answer = Backend::answer(work.request, work.instance, "200 OK", b"done");
        work.output.write_all(&answer).is_ok()
    });
    let routes = [RouteOf("order-submit", "/order/", "non-idempotent", "herd", DEADLINE_MS, 1_200)];
    let config = config(1, &routes, &["herd", "parlour"]);
    // One of three backend servers turns slow.
    let services = ["parlour", "herd", "parlour"];
    let mut all = Deployment::start(&services, &config, &record, temp, handler);
    let order = |id: &str| request("POST", "/order/7", id, DEADLINE_MS, b"one bundle");
    for number in 0..10 {
        let answer = exchange(all.outbound(1), &order(&format!("usual-{number}")), DEADLINE_MS);
        if !answer.is_ok_and(|answer| answer.status() == 200) {
            could_not_run("an order is not answered before the trouble");
        }
    }

    let set_slowness = |percent: u64| {
        all.backends[1].slowness.store(percent, SeqCst);
        slowness.store(percent, SeqCst);
        record.line(format!("work at i-herd-2 takes {percent} % of the usual time"));
    };
    let mut left = Vec::new();
    let mut waiting = Vec::new();
    for time in 0..SLOW_TIMES {
        if has_trouble() {
            set_slowness(SLOW_PERCENT);
        }
        sleep_ms(60);
        let mut leaving = Vec::new();
        for number in 0..ORDERS {
            let id = format!("order-{time}-{number}");
            let machine = [1, 3][number % 2];
            let mut client = TcpStream::connect(all.outbound(machine)).expect("a connection");
            client.write_all(&order(&id)).expect("the node takes the order");
            record.line(format!("a client of machine {machine} sends {id}"));
            if number < LEAVING {
                leaving.push((id, client));
            } else {
                let line = record.clone();
                waiting.push(thread::spawn(move || {
                    let _set = client.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)));
                    let answer = Reader::new(client).next();
                    let status = answer.ok().flatten().map(|answer| answer.status());
                    line.line(format!("answer to {id}: {status:?}"));
                }));
            }
        }
        sleep_ms(LEAVE_AFTER_MS);
        for (id, client) in leaving {
            let _closed = client.shutdown(Shutdown::Both);
            drop(client);
            record.line(format!("the client of {id} closes its connection"));
            left.push((id, record.ms()));
        }
        sleep_ms(SLOW_FOR_MS - LEAVE_AFTER_MS);
        if has_trouble() {
            set_slowness(100);
        }
        sleep_ms(2_500);
    }
    for client in waiting {
        let _ended = client.join();
    }
    let reached = reached.lock().unwrap();
    let mut late = 0;
    for (id, left_ms) in &left {
        match reached.get(id) {
            Some(at_ms) if *at_ms > left_ms + LATE_AFTER_MS => {
                late += 1;
                record.line(format!("{id} was run {} ms after its client had left", at_ms - left_ms));
            }
            Some(_) => record.line(format!("{id} was sent in time")),
            None => record.line(format!("{id} was never sent")),
        }
    }
    let result = format!(
        "{late} of {} orders reached a backend over {LATE_AFTER_MS} ms after their clients had left",
        left.len()
    );
    record.line(&result);
    println!("{result}");
    for node in &mut all.nodes {
        node.end();
    }
    finish(if late > A_FEW { 1 } else { 0 })
}
