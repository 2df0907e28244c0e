//! A timeout is lowered while a backend server is slow; it is well again soon after.
#![allow(dead_code)]

include!("lab.rs");

/// Work of one request, in ms, and how long it takes while the backend server is slow, in percent.
const WORK_MS: u64 = 260;
const SLOW_PERCENT: u64 = 500;
/// The timeout of both routes, and what that of the new route is lowered to, in ms.
const TIMEOUT_MS: u64 = 3_000;
const LOWERED_MS: u64 = 800;
/// Times of the steps, in ms after the first request on the new route.
const LOWERED_AT_MS: u64 = 7_000;
const USUAL_AT_MS: u64 = 8_500;
/// Judged are requests sent in this time: in calm, and beyond `contact-s` and `config-apply-s`.
const JUDGED_FROM_MS: u64 = 14_000;
const END_MS: u64 = 34_000;
/// Pause of each client between two requests, in ms.
const PAUSE_MS: u64 = 250;

fn main() {
    end_all_on_panic();
    let arguments: Vec<PathBuf> = std::env::args().skip(1).map(PathBuf::from).collect();
    let (folder, temp) = (&arguments[0], &arguments[1]);
    let record = Record::create(&folder.join("record.txt"));
    let slowness = Arc::new(AtomicU64::new(100));
    let (line, now) = (record.clone(), Arc::clone(&slowness));
    let handler: Arc<Handler> = Arc::new(move |work: Work| {
        let id = work.request.header("Bronzelock-Request-Id").unwrap_or("").to_owned();
        line.line(format!("{} runs {id}", work.instance));
        sleep_ms(WORK_MS * now.load(SeqCst) / 100);
        let answer = Backend::answer(work.request, work.instance, "200 OK", b"x");
        work.output.write_all(&answer).is_ok()
    });
    let services = ["herd", "parlour"];
    let route = |name, path, timeout_ms| RouteOf(name, path, "idempotent", "herd", timeout_ms, 700);
    let kept = || route("kept", "/kept/", TIMEOUT_MS);
    let places = ["parlour", "herd", "parlour"];
    let first = config(1, &[kept()], &services);
    let mut all = Deployment::start(&places, &first, &record, temp, handler);
    // "The backends of some services" tell their load; these don't.
    for backend in &all.backends {
        backend.tells_load.store(false, SeqCst);
    }
    let added = config(2, &[kept(), route("new", "/new/", TIMEOUT_MS)], &services);
    all.store.put("keyed.op", "config", &added);
    record.line("the operator adds the route /new/");
    sleep_ms(3_000);

    if has_trouble() {
        slowness.store(SLOW_PERCENT, SeqCst);
        record.line("i-herd-2 turns slow");
    }
    let began_ms = record.ms();
    let answers: Arc<Mutex<Vec<(u64, &'static str, u16)>>> = Arc::default();
    let mut clients = Vec::new();
    for machine in [1, 3] {
        for path in ["/kept/7", "/new/7"] {
            let (outbound, record, answers) = (all.outbound(machine), record.clone(), Arc::clone(&answers));
            clients.push(thread::spawn(move || {
                let mut number = 0;
                while record.ms() < began_ms + END_MS {
                    number += 1;
                    let id = format!("{machine}{}{number}", path.replace('/', "-"));
                    let at_ms = record.ms() - began_ms;
                    let call = request("GET", path, &id, TIMEOUT_MS, b"");
                    let answer = exchange(outbound, &call, TIMEOUT_MS + 500);
                    let status = answer.map_or(0, |answer| answer.status());
                    record.line(format!("{id}: {status}"));
                    answers.lock().unwrap().push((at_ms, path, status));
                    sleep_ms(PAUSE_MS);
                }
            }));
        }
    }
    let until = |ms: u64| sleep_ms((began_ms + ms).saturating_sub(record.ms()));
    until(LOWERED_AT_MS);
    let lowered = config(3, &[kept(), route("new", "/new/", LOWERED_MS)], &services);
    all.store.put("keyed.op", "config", &lowered);
    record.line("the operator lowers the timeout of /new/");
    until(USUAL_AT_MS);
    slowness.store(100, SeqCst);
    record.line("i-herd-2 is at its usual speed");
    for client in clients {
        let _ended = client.join();
    }
    for node in &mut all.nodes {
        node.end();
    }
    let answers = answers.lock().unwrap();
    let judged = |path: &str| {
        let sent = answers.iter().filter(|(at_ms, of, _)| *at_ms >= JUDGED_FROM_MS && *of == path);
        let (served, all) = sent.fold((0, 0), |(served, all), (_, _, status)| {
            (served + usize::from(*status == 200), all + 1)
        });
        (served, all)
    };
    let (new, kept) = (judged("/new/7"), judged("/kept/7"));
    if kept.0 == 0 || new.1 < 20 {
        could_not_run("too few requests are answered");
    }
    let result = format!(
        "in calm {} of {} requests on the new route were served, and {} of {} on the first one",
        new.0, new.1, kept.0, kept.1
    );
    record.line(&result);
    println!("{result}");
    // Served less than a quarter as often as those on the first route.
    finish(if new.0 * kept.1 * 4 < kept.0 * new.1 { 1 } else { 0 })
}
