//! Connections that go silent without a reset while new ones work.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::time::Duration;

use standins::platform::store::StoreFaults;
use standins::proxy::{Direction, LinkState};
use tokio::time::Instant;

use crate::callers::{Kind, ask_at};
use crate::program::Signal;
use crate::site::Place;
use crate::system::{PLACES, System, place};

/// Time after a disruption from which hosts are in touch again: the users' `contact-s`.
const CONTACT: Duration = Duration::from_secs(3);

/// Time in which an acknowledged configuration must be in force: the users' `config-apply-s`.
const CONFIG_APPLY: Duration = Duration::from_secs(2);

/// Time after the start in which hosts learn of each other and open connections.
const SETTLED_AFTER: Duration = Duration::from_secs(3);

/// Time for which requests are sent once a configuration must be in force.
///
/// Together with [`CONTACT`] longer than a read of the log waits for a record.
const OBSERVED_FOR: Duration = Duration::from_secs(8);

/// The same time where silences follow each other.
const OBSERVED_SHORTLY: Duration = Duration::from_millis(2_500);

/// Silences that follow each other.
const SILENCES_IN_A_ROW: usize = 5;

/// Lengths of cuts of the links to the log service; connections outlive the shorter ones.
const CUT_FOR: [Duration; 3] = [
    Duration::from_millis(600),
    Duration::from_millis(1_700),
    Duration::from_secs(4),
];

/// Length of a disruption of the log service in which it loses answers.
const ANSWERS_LOST_FOR: Duration = Duration::from_millis(300);

/// Times from a record to such a disruption.
const IDLE_BEFORE_LOSS: [Duration; 3] = [
    Duration::from_millis(500),
    Duration::from_secs(2),
    Duration::from_millis(4_500),
];

/// Time in which all nodes have the records of a change, in calm.
const RELAYED_WITHIN: Duration = Duration::from_millis(250);

/// Pause between two requests at one node.
const PAUSE: Duration = Duration::from_millis(200);

/// Times from the last record to the silence.
const IDLE_BEFORE: [Duration; 3] = [
    Duration::from_millis(200),
    Duration::from_millis(1_100),
    Duration::from_millis(2_700),
];

/// More hosts in one availability zone than read the log there.
const WITH_RELAYED_HOSTS: [Place; 7] = [
    PLACES[0],
    PLACES[1],
    PLACES[2],
    PLACES[3],
    PLACES[4],
    place("herd-4", "herd", "ratchaburi"),
    place("parlour-3", "parlour", "ratchaburi"),
];

/// A change of the configuration that the log service has acknowledged.
struct Change {
    path_prefix: String,
    service: &'static str,
    /// Time from which hosts that lost their connections must handle requests by it.
    in_force_at: Instant,
}

/// One request after the change had to be in force.
struct Seen {
    node: &'static str,
    /// Time since then.
    after: Duration,
    answer: Option<(u16, Option<&'static str>)>,
}

impl Seen {
    /// Whether the answer is none that an older configuration alone allows.
    fn is_allowed(&self, change: &Change) -> bool {
        match self.answer {
            Some((408 | 421 | 429, _)) => true,
            Some((300..=499, _)) => false,
            Some((_, Some(service))) => service == change.service,
            Some((_, None)) | None => true,
        }
    }

    fn is_served(&self) -> bool {
        matches!(self.answer, Some((200, Some(_service))))
    }
}

/// Adds a route, which takes effect `CONFIG_APPLY` from now and `CONTACT` after a disruption.
async fn add_route(system: &System, disrupted_until: Instant) -> Change {
    let mut operator = system.operator.lock().await;
    Change {
        path_prefix: operator.add_route(&system.store),
        service: "herd",
        in_force_at: (disrupted_until + CONTACT).max(Instant::now() + CONFIG_APPLY),
    }
}

/// Moves a route to the other service, with effect as by [`add_route`].
async fn move_route(system: &System, disrupted_until: Instant) -> Change {
    let mut operator = system.operator.lock().await;
    operator.move_route(&system.store);
    Change {
        path_prefix: Kind::Moved.path_prefix().to_owned(),
        service: operator.moved_to(),
        in_force_at: (disrupted_until + CONTACT).max(Instant::now() + CONFIG_APPLY),
    }
}

/// Sends requests of a changed route to every node while the change must be in force.
async fn observe(system: &System, change: &Change, observed_for: Duration) -> Vec<Seen> {
    let watched = system.sites.iter().enumerate().map(async |(index, site)| {
        let (node, address) = {
            let site = site.lock().await;
            (site.place.name, site.addresses.callers())
        };
        tokio::time::sleep_until(change.in_force_at).await;
        let mut seen = Vec::new();
        while change.in_force_at.elapsed() < observed_for {
            let after = change.in_force_at.elapsed();
            let id = format!("{index}-{}", after.as_micros());
            let answer = ask_at(address, &change.path_prefix, &id).await;
            seen.push(Seen {
                node,
                after,
                answer,
            });
            tokio::time::sleep(PAUSE).await;
        }
        seen
    });
    let seen = futures::future::join_all(watched).await;
    seen.into_iter().flatten().collect()
}

/// Lines of all nodes about the log service and the configuration.
async fn log_lines(system: &System) -> String {
    let mut lines = String::new();
    for site in &system.sites {
        let log = std::fs::read_to_string(site.lock().await.log_file()).unwrap_or_default();
        let wanted = ["store-lost", "store-regained", "\"config\"", "WARN"];
        for line in log.lines() {
            if wanted.iter().any(|part| line.contains(part)) {
                writeln!(lines, "{line}").expect("text can be written");
            }
        }
    }
    lines
}

/// Answers at each node, with their number and the times of the first and the last.
fn summary<'a>(seen: impl Iterator<Item = &'a Seen>) -> String {
    let mut answers = BTreeMap::new();
    for one in seen {
        let (count, _first, last) = answers
            .entry((one.node, one.answer))
            .or_insert((0, one.after, one.after));
        *count += 1;
        *last = one.after;
    }
    let lines = answers
        .iter()
        .map(|((node, answer), (count, first, last))| {
            format!("{node}: {count} times {answer:?}, {first:?} to {last:?} after it was due")
        });
    lines.collect::<Vec<_>>().join("\n")
}

/// Requires that all nodes handled requests by the change, and served some or nearly all.
async fn assert_in_force(system: &System, change: &Change, seen: &[Seen], nearly_all: bool) {
    let outdated = seen.iter().filter(|one| !one.is_allowed(change));
    let outdated = summary(outdated);
    let served: Vec<_> = seen.iter().filter(|one| one.is_served()).collect();
    let serving: BTreeSet<_> = served.iter().map(|one| one.node).collect();
    let enough = !nearly_all || served.len() * 10 > seen.len() * 9;
    assert!(
        outdated.is_empty() && enough && serving.len() == system.sites.len(),
        "by an older configuration:\n{outdated}\nall:\n{}\n{}",
        summary(seen.iter()),
        log_lines(system).await
    );
}

async fn settled(places: &[Place]) -> System {
    let system = System::start_at(places).await;
    system.wait_until_ready().await;
    tokio::time::sleep(SETTLED_AFTER).await;
    system
}

async fn set_store_links(system: &System, state: LinkState) {
    for site in &system.sites {
        site.lock().await.store_link.set_state(state);
    }
}

async fn silence(system: &System) -> Instant {
    for site in &system.sites {
        site.lock().await.silence();
    }
    Instant::now()
}

/// Guards against refusals with 404 while the long poll at the log service is silent.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_route_added_while_all_connections_are_silent_is_served() {
    let system = settled(&WITH_RELAYED_HOSTS).await;
    for idle in IDLE_BEFORE {
        tokio::time::sleep(idle).await;
        let silenced_at = silence(&system).await;
        let change = add_route(&system, silenced_at).await;
        let seen = observe(&system, &change, OBSERVED_FOR).await;
        assert_in_force(&system, &change, &seen, true).await;
    }
}

/// Guards against runs by old routes while the long poll at the log service is silent.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_route_moved_while_all_connections_are_silent_leads_to_its_new_service() {
    let system = settled(&WITH_RELAYED_HOSTS).await;
    for idle in IDLE_BEFORE {
        tokio::time::sleep(idle).await;
        let silenced_at = silence(&system).await;
        let change = move_route(&system, silenced_at).await;
        let seen = observe(&system, &change, OBSERVED_FOR).await;
        assert_in_force(&system, &change, &seen, true).await;
    }
}

/// Guards against refusals with 404 when the answers to all waiting reads of the log are lost.
///
/// The connections stay open, and the log service's system acknowledges what comes over them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_route_whose_record_was_lost_by_all_readers_is_served() {
    let system = settled(&WITH_RELAYED_HOSTS).await;
    for idle in IDLE_BEFORE_LOSS {
        let _in_calm = add_route(&system, Instant::now()).await;
        tokio::time::sleep(idle).await;
        let losing = |loses_read_answers| StoreFaults {
            loses_read_answers,
            ..StoreFaults::default()
        };
        system.store.set_faults(losing(true));
        let disrupted_until = Instant::now() + ANSWERS_LOST_FOR;
        let change = add_route(&system, disrupted_until).await;
        tokio::time::sleep_until(disrupted_until).await;
        system.store.set_faults(losing(false));
        let seen = observe(&system, &change, OBSERVED_FOR).await;
        assert_in_force(&system, &change, &seen, true).await;
    }
}

/// Guards against old configurations after a cut in one direction, which the system's
/// retransmissions outlast.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_route_added_during_a_cut_from_the_log_service_is_served() {
    let system = settled(&WITH_RELAYED_HOSTS).await;
    for cut_for in CUT_FOR {
        set_store_links(&system, LinkState::Cut(Direction::Back)).await;
        let change = add_route(&system, Instant::now() + cut_for).await;
        tokio::time::sleep(cut_for).await;
        set_store_links(&system, LinkState::Open).await;
        let seen = observe(&system, &change, OBSERVED_SHORTLY).await;
        assert_in_force(&system, &change, &seen, true).await;
    }
}

/// Guards against old configurations where the silence strikes the nodes that read the log.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_route_added_while_the_first_hosts_of_a_zone_are_silent_is_served() {
    let system = settled(&WITH_RELAYED_HOSTS).await;
    for idle in IDLE_BEFORE {
        tokio::time::sleep(idle).await;
        for site in &system.sites {
            let site = site.lock().await;
            if site.place.zone == "ratchaburi" {
                site.silence();
            }
        }
        let change = add_route(&system, Instant::now()).await;
        let seen = observe(&system, &change, OBSERVED_SHORTLY).await;
        assert_in_force(&system, &change, &seen, true).await;
    }
}

/// Guards against old configurations at a node that starts during a silence.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_route_added_while_a_node_restarts_in_a_silence_is_served() {
    let system = settled(&WITH_RELAYED_HOSTS).await;
    for site in [0, WITH_RELAYED_HOSTS.len() - 1] {
        silence(&system).await;
        let mut site = system.sites[site].lock().await;
        site.node.signal(Signal::Kill);
        site.restart_node().await;
        drop(site);
        let change = add_route(&system, Instant::now()).await;
        let seen = observe(&system, &change, OBSERVED_SHORTLY).await;
        assert_in_force(&system, &change, &seen, false).await;
    }
}

/// Guards against records that are requested from another node over a connection that is silent.
///
/// Each silence finds the connections that the records right before it came over. Requests that are
/// forwarded over a silent connection may fail here, but none is refused by an older configuration.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn routes_added_during_silences_in_a_row_are_refused_by_no_node() {
    let system = settled(&WITH_RELAYED_HOSTS).await;
    for _ in 0..SILENCES_IN_A_ROW {
        // Its records open the connections that go silent, and end the polls' silence so far.
        let _in_calm = add_route(&system, Instant::now()).await;
        tokio::time::sleep(RELAYED_WITHIN).await;
        let silenced_at = silence(&system).await;
        let change = add_route(&system, silenced_at).await;
        let seen = observe(&system, &change, OBSERVED_SHORTLY).await;
        assert_in_force(&system, &change, &seen, false).await;
    }
}
