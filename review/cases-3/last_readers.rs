//! Six of eight machines are lost while open connections to the store fall silent.
//!
//! `TROUBLE=loss` and `TROUBLE=silence` bring about one half of the disruption alone.
#![allow(dead_code)]

include!("lab.rs");

/// Machines that are lost: all but the last two.
const LOST: usize = 6;
/// `contact-s` and `config-apply-s`, in ms.
const CONTACT_MS: u64 = 3_000;
const CONFIG_APPLY_MS: u64 = 2_000;
/// Time from one change of the configuration to the disruption, and from there to the next one, in ms.
const DISRUPTED_AFTER_MS: u64 = 400;
const CHANGED_AFTER_MS: u64 = 500;
/// Time in which requests are sent after the second change, and between two of them, in ms.
const WATCHED_MS: u64 = 12_000;
const PAUSE_MS: u64 = 100;
const DEADLINE_MS: u64 = 1_500;

/// What became of one request of a client.
struct Sent {
    at_ms: u64,
    path: &'static str,
    machine: u8,
    status: Option<u16>,
}

fn main() {
    end_all_on_panic();
    let arguments: Vec<PathBuf> = std::env::args().skip(1).map(PathBuf::from).collect();
    let (folder, temp) = (&arguments[0], &arguments[1]);
    let record = Record::create(&folder.join("record.txt"));
    let line = record.clone();
    let handler: Arc<Handler> = Arc::new(move |work: Work| {
        let id = work.request.header("Bronzelock-Request-Id").unwrap_or("").to_owned();
        line.line(format!("{} runs {id} {}", work.instance, work.request.target()));
        sleep_ms(88);
        let answer = Backend::answer(work.request, work.instance, "200 OK", b"x");
        work.output.write_all(&answer).is_ok()
    });
    let route = |name, path| RouteOf(name, path, "idempotent", "herd", DEADLINE_MS, 600);
    let services = ["herd", "parlour"];
    let before = |version| config(version, &[route("kept", "/kept/"), route("old", "/old/")], &services);
    let after = config(3, &[route("kept", "/kept/"), route("new", "/new/")], &services);
    let places = [
        ("herd", "nakhon-pathom"), ("herd", "nakhon-pathom"), ("parlour", "ratchaburi"),
        ("herd", "ratchaburi"), ("parlour", "ratchaburi"), ("parlour", "saraburi"),
        ("herd", "saraburi"), ("herd", "saraburi"),
    ];
    let mut all = Deployment::start_in(&places, &before(1), &record, temp, handler);

    // A change in calm, after which all nodes wait for the next one.
    all.store.put("keyed.op", "config", &before(2));
    record.line("the operator writes version 2, which changes nothing");
    sleep_ms(DISRUPTED_AFTER_MS);
    let disrupted_ms = record.ms();
    let half = std::env::var("TROUBLE").unwrap_or_default();
    if has_trouble() && half != "silence" {
        for (node, backend) in all.nodes.iter_mut().zip(&all.backends).take(LOST) {
            node.end();
            backend.end();
        }
        record.line(format!("{LOST} machines are lost"));
    }
    if has_trouble() && half != "loss" {
        all.store.fall_silent();
        record.line("open connections to the store fall silent");
    }
    sleep_ms(CHANGED_AFTER_MS);
    all.store.put("keyed.op", "config", &after);
    let acknowledged_ms = record.ms();
    record.line("the operator writes version 3: /new/ comes and /old/ goes");

    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let mut clients = Vec::new();
    for machine in [7, 8] {
        for path in ["/kept/7", "/old/7", "/new/7"] {
            let (outbound, record, sent) = (all.outbound(machine), record.clone(), Arc::clone(&sent));
            clients.push(thread::spawn(move || {
                let mut number = 0;
                while record.ms() < acknowledged_ms + WATCHED_MS {
                    number += 1;
                    let id = format!("{machine}{}{number}", path.replace('/', "-"));
                    let at_ms = record.ms();
                    let call = request("GET", path, &id, DEADLINE_MS, b"");
                    let answer = exchange(outbound, &call, DEADLINE_MS);
                    let status = answer.ok().map(|answer| answer.status());
                    record.line(format!("{id} sent at {at_ms} ms: {status:?}"));
                    sent.lock().unwrap().push(Sent { at_ms, path, machine, status });
                    sleep_ms(PAUSE_MS);
                }
            }));
        }
    }
    for client in clients {
        let _ended = client.join();
    }
    for node in &mut all.nodes {
        node.end();
    }
    // Both machines are in touch from then on, and the version is due.
    let due_ms = (acknowledged_ms + CONFIG_APPLY_MS).max(disrupted_ms + CONTACT_MS);
    let sent = sent.lock().unwrap();
    let late = |path: &str, status: u16| {
        let late = sent.iter().filter(|sent| sent.at_ms > due_ms);
        late.filter(|sent| sent.path == path && sent.status == Some(status)).collect::<Vec<_>>()
    };
    let (refused, ran, kept) = (late("/new/7", 404), late("/old/7", 200), late("/kept/7", 200));
    if kept.is_empty() {
        could_not_run("no request on the kept route is answered");
    }
    let last_ms = refused.iter().chain(&ran).map(|sent| sent.at_ms - acknowledged_ms).max();
    let machines = [7, 8].map(|machine| {
        refused.iter().chain(&ran).filter(|sent| sent.machine == machine).count()
    });
    let result = format!(
        "of the requests sent over {} ms after the acknowledgement {} on the new route got 404 and {} on \
         the dropped one ran ({machines:?} at the two machines), the last one {last_ms:?} ms after it; {} \
         on the kept route were served",
        due_ms - acknowledged_ms, refused.len(), ran.len(), kept.len()
    );
    record.line(&result);
    println!("{result}");
    finish(if refused.len() + ran.len() > 0 { 1 } else { 0 })
}
