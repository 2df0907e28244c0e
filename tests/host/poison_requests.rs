//! Which requests are kept from backend servers after these have ended under them, and for how long.

use bronzelock::decision::host::crash_watch::CrashId;
use bronzelock::decision::host::poison_requests::PoisonRequests;
use bronzelock::decision::host::suspect::{CRASHES_MAX, CrashMark, Suspect};
use bronzelock::model::request_digest::RequestDigest;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

const S: u64 = 1_000_000;
const HOUR: u64 = 3_600 * S;

fn digest(number: u32) -> RequestDigest {
    let mut digest = [0; 16];
    digest[..4].copy_from_slice(&number.to_be_bytes());
    RequestDigest(digest)
}

/// A memory in which backend servers ended under request 1 at these times.
fn after_crashes(times_us: &[u64]) -> PoisonRequests {
    let mut requests = PoisonRequests::new(0);
    for (number, at_us) in times_us.iter().enumerate() {
        requests.record_crash(digest(1), CrashId(number as u64), *at_us, *at_us);
    }
    requests
}

fn is_quarantined(requests: &PoisonRequests, now_us: u64) -> bool {
    requests.quarantine(&digest(1), now_us).is_some()
}

/// Any request may run where a backend server ends.
#[test]
fn one_crash_keeps_no_request_away() {
    assert!(!is_quarantined(&after_crashes(&[S]), S));
}

#[test]
fn two_crashes_keep_a_request_away_for_a_minute() {
    let requests = after_crashes(&[S, 2 * S]);
    assert!(is_quarantined(&requests, 2 * S));
    assert!(is_quarantined(&requests, 61 * S));
    assert!(!is_quarantined(&requests, 62 * S));
}

/// A request that ended three backend servers was tried every minute.
#[test]
fn three_crashes_keep_a_request_away_for_a_day() {
    let requests = after_crashes(&[S, 2 * S, 70 * S]);
    assert!(is_quarantined(&requests, 23 * HOUR));
    assert!(!is_quarantined(&requests, 25 * HOUR));
}

/// A crash that is heard of from many nodes, or often, is one crash.
#[test]
fn a_crash_counts_once_however_often_it_is_told() {
    let mut requests = after_crashes(&[S]);
    let told = requests.get(&digest(1)).expect("known").clone();
    for _ in 0..5 {
        assert!(!requests.merge(&told, 2 * S));
    }
    assert!(!is_quarantined(&requests, 2 * S));
}

/// A popular request runs wherever a backend server ends, and is answered elsewhere.
#[test]
fn an_answer_ends_the_quarantine_of_a_proper_request() {
    let mut requests = after_crashes(&[S, 2 * S]);
    assert!(requests.record_answer(&digest(1)));
    assert!(!is_quarantined(&requests, 2 * S));
    requests.record_crash(digest(1), CrashId(9), 3 * S, 3 * S);
    assert!(!is_quarantined(&requests, 3 * S), "only one stands");
}

/// The crashes of one caller's request must not keep another caller's away.
#[test]
fn other_requests_are_not_kept_away() {
    let requests = after_crashes(&[S, 2 * S, 3 * S]);
    assert_eq!(requests.quarantine(&digest(2), 3 * S), None);
}

/// A caller that varies its requests must not make nodes forget, or use memory without bound.
#[test]
fn many_suspects_do_not_displace_one_in_quarantine() {
    let mut requests = after_crashes(&[S, 2 * S, 3 * S]);
    for number in 2..5_000 {
        let crash = CrashId(u64::from(number));
        requests.record_crash(digest(number), crash, 4 * S, 4 * S);
    }
    assert!(is_quarantined(&requests, 5 * S));
    let known = (1..5_000).filter(|number| requests.contains(&digest(*number)));
    assert_eq!(known.count(), 1_024);
}

/// A request with ever more crashes must not make datagrams longer without bound.
#[test]
fn the_crashes_of_one_request_are_bounded() {
    let times_us: Vec<u64> = (1..50).map(|second| second * S).collect();
    let requests = after_crashes(&times_us);
    let suspect = requests.get(&digest(1)).expect("known");
    assert_eq!(suspect.marks.len(), CRASHES_MAX);
}

/// Datagrams arrive in any order, more than once or not at all.
#[test]
fn nodes_agree_in_whatever_order_they_hear() {
    for seed in 0..200 {
        let mut random = StdRng::seed_from_u64(seed);
        let heard: Vec<Suspect> = (0..12)
            .map(|_| Suspect {
                digest: digest(random.random_range(0..3)),
                marks: vec![CrashMark {
                    crash: CrashId(random.random_range(0..6)),
                    at_us: 1_000,
                    refuted: random.random_ratio(1, 4),
                }],
            })
            .collect();
        let told_in_order = |order: &[Suspect]| {
            let mut requests = PoisonRequests::new(0);
            for suspect in order {
                requests.merge(suspect, S);
            }
            (0..3)
                .map(|number| requests.get(&digest(number)).cloned())
                .collect::<Vec<_>>()
        };
        let mut shuffled = heard.clone();
        shuffled.extend(heard.iter().take(4).cloned());
        shuffled.shuffle(&mut random);
        assert_eq!(
            told_in_order(&heard),
            told_in_order(&shuffled),
            "seed {seed}"
        );
    }
}

/// A node that missed a refutation would keep a proper request away and tell others to.
#[test]
fn a_node_that_missed_a_refutation_is_told() {
    let mut requests = after_crashes(&[S, 2 * S]);
    let outdated = requests.get(&digest(1)).expect("known").clone();
    requests.record_answer(&digest(1));
    while requests.has_news() {
        requests.take_news();
    }
    assert!(!requests.merge(&outdated, 3 * S));
    assert!(requests.has_news());
}

/// News is sent a few times, and repeated to those that may have missed it, but not for ever.
#[test]
fn what_is_over_is_repeated_no_more() {
    let mut requests = after_crashes(&[S]);
    let rounds = std::iter::from_fn(|| requests.has_news().then(|| requests.take_news()));
    assert_eq!(rounds.take(10).count(), 3);
    assert_eq!(requests.repeated(digest(0), 2 * S).len(), 1);
    assert_eq!(requests.repeated(digest(0), 100 * S).len(), 0);
}

/// Pattern of a load: harmful requests come again and again among crowds of proper ones, while
/// backend servers also end for other causes.
struct Crowd {
    random: StdRng,
    now_us: u64,
    /// One memory for each node, beside its backend server.
    nodes: Vec<PoisonRequests>,
    /// Time from which each backend server runs again.
    back_us: Vec<u64>,
    /// Requests that run at each backend server.
    running: Vec<Vec<Running>>,
    /// What is on its way to a node.
    datagrams: Vec<(u64, usize, Suspect)>,
    next_crash: u64,
    seen: Seen,
}

#[derive(Clone)]
struct Running {
    number: u32,
    ends_us: u64,
    attempt: u32,
}

#[derive(Default)]
struct Seen {
    proper: u32,
    proper_refused: u32,
    /// Times of crashes and of later runs by harmful request.
    crashes_us: [Vec<u64>; HARMFUL as usize],
    runs_us: [Vec<u64>; HARMFUL as usize],
}

const NODES: usize = 8;
const SLOTS: usize = 9;
const STEP_US: u64 = 10_000;
const HARMFUL: u32 = 2;
/// Requests that many callers send, and that are answered all the time.
const POPULAR: u32 = 20;
const ATTEMPTS_MAX: u32 = 2;

impl Crowd {
    fn new(seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let node = |_| PoisonRequests::new(random.random_range(0..30 * S));
        Self {
            nodes: (0..NODES).map(node).collect(),
            random,
            now_us: 0,
            back_us: vec![0; NODES],
            running: vec![Vec::new(); NODES],
            datagrams: Vec::new(),
            next_crash: 0,
            seen: Seen::default(),
        }
    }

    fn run(mut self, for_us: u64) -> Seen {
        while self.now_us < for_us {
            self.now_us += STEP_US;
            self.deliver();
            self.finish_runs();
            self.crash_for_other_causes();
            self.send_requests();
            self.gossip();
        }
        self.seen
    }

    fn deliver(&mut self) {
        let now_us = self.now_us;
        let due = self
            .datagrams
            .extract_if(.., |(at_us, _, _)| *at_us <= now_us);
        for (_at_us, node, suspect) in due {
            self.nodes[node].merge(&suspect, now_us);
        }
    }

    fn finish_runs(&mut self) {
        for server in 0..NODES {
            let now_us = self.now_us;
            let ended: Vec<_> = self.running[server]
                .extract_if(.., |run| run.ends_us <= now_us)
                .collect();
            if ended.iter().any(|run| run.number < HARMFUL) {
                self.running[server].extend(ended);
                self.crash(server);
                continue;
            }
            for run in ended {
                self.nodes[server].record_answer(&digest(run.number));
            }
        }
    }

    fn crash_for_other_causes(&mut self) {
        for server in 0..NODES {
            if self.random.random_ratio(1, 1_000) {
                self.crash(server);
            }
        }
    }

    fn crash(&mut self, server: usize) {
        self.next_crash += 1;
        self.back_us[server] = self.now_us + self.random.random_range(1..4) * S;
        let crash = CrashId(self.next_crash);
        for run in std::mem::take(&mut self.running[server]) {
            let (now_us, number) = (self.now_us, run.number);
            self.nodes[server].record_crash(digest(number), crash, now_us, now_us);
            if let Some(crashes_us) = self.seen.crashes_us.get_mut(number as usize) {
                crashes_us.push(now_us);
            }
            if run.attempt < ATTEMPTS_MAX {
                self.send(number, run.attempt + 1);
            }
        }
    }

    fn send_requests(&mut self) {
        if self.random.random_ratio(1, 15) {
            let number = self.random.random_range(0..HARMFUL);
            self.send(number, 1);
        }
        for _ in 0..2 {
            let is_popular = self.random.random_ratio(1, 3);
            let numbers = if is_popular {
                HARMFUL..HARMFUL + POPULAR
            } else {
                1_000..100_000
            };
            let number = self.random.random_range(numbers);
            self.seen.proper += 1;
            self.send(number, 1);
        }
    }

    fn send(&mut self, number: u32, attempt: u32) {
        let now_us = self.now_us;
        let (entry, server) = (
            self.random.random_range(0..NODES),
            self.random.random_range(0..NODES),
        );
        let refuses = |node: usize| {
            self.nodes[node]
                .quarantine(&digest(number), now_us)
                .is_some()
        };
        if refuses(entry) || refuses(server) {
            self.seen.proper_refused += u32::from(number >= HARMFUL);
            return;
        }
        if self.back_us[server] > now_us || self.running[server].len() >= SLOTS {
            return;
        }
        if let Some(runs_us) = self.seen.runs_us.get_mut(number as usize) {
            runs_us.push(now_us);
        }
        let ends_us = now_us + self.random.random_range(30_000..150_000);
        self.running[server].push(Running {
            number,
            ends_us,
            attempt,
        });
    }

    /// One datagram in five is lost, and none is faster than a few steps.
    fn gossip(&mut self) {
        for node in 0..NODES {
            let mut told = Vec::new();
            if self.now_us.is_multiple_of(250_000) {
                let news = self.nodes[node].take_news();
                let others = (0..NODES).filter(|other| *other != node);
                told.extend(
                    others.flat_map(|other| news.iter().map(move |news| (other, news.clone()))),
                );
            }
            if self.now_us.is_multiple_of(S) {
                let known = self.nodes[node].repeated(digest(self.random.random()), self.now_us);
                let other = self.random.random_range(0..NODES);
                told.extend(known.into_iter().map(|known| (other, known)));
            }
            for (other, suspect) in told {
                let at_us = self.now_us + self.random.random_range(2_000..300_000);
                if self.random.random_ratio(4, 5) {
                    self.datagrams.push((at_us, other, suspect));
                }
            }
        }
    }
}

/// The users' bound, and what proper requests that ran beside the harmful ones pay for it.
#[test]
fn harmful_requests_are_stopped_and_few_proper_ones_with_them() {
    let (mut proper, mut refused, mut most_crashes) = (0, 0, 0);
    for seed in 0..50 {
        let seen = Crowd::new(seed).run(60 * S);
        for (crashes_us, runs_us) in seen.crashes_us.iter().zip(&seen.runs_us) {
            most_crashes = most_crashes.max(crashes_us.len());
            let Some(third_us) = crashes_us.get(2) else {
                continue;
            };
            let late = runs_us
                .iter()
                .filter(|run_us| **run_us > third_us + 3 * S)
                .count();
            assert!(
                late <= 3,
                "seed {seed}: {late} runs, crashes at {crashes_us:?}"
            );
        }
        proper += seen.proper;
        refused += seen.proper_refused;
    }
    println!(
        "{refused} of {proper} proper requests refused; at most {most_crashes} crashes by one"
    );
    assert!(
        f64::from(refused) < 0.01 * f64::from(proper),
        "{refused} of {proper}"
    );
}
