//! Hosts that read the log for their availability zone are lost, and the configuration changes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use hyper::StatusCode;
use serde_json::json;
use standins::http::client::send_once;
use standins::platform::store::Store;
use standins::proxy::ConnectionFault;
use tokio::time::{Instant, sleep, sleep_until};

use crate::branches::{KEY, request_with_key};
use crate::callers::{Kind, ask_target};
use crate::operator::Operator;
use crate::program::Signal;
use crate::site::{Place, REVOKE_MS, ServerEnd};
use crate::system::{System, place};

/// Two availability zones of four hosts each, of which three read the log.
const TWO_ZONES: [Place; 8] = [
    place("herd-1", "herd", "ratchaburi"),
    place("herd-2", "herd", "ratchaburi"),
    place("herd-3", "herd", "ratchaburi"),
    place("herd-4", "herd", "ratchaburi"),
    place("herd-5", "herd", "saraburi"),
    place("herd-6", "herd", "saraburi"),
    place("herd-7", "herd", "saraburi"),
    place("herd-8", "herd", "saraburi"),
];

/// Three availability zones in which all hosts read the log.
const THREE_ZONES: [Place; 8] = [
    place("herd-1", "herd", "nakhon-pathom"),
    place("herd-2", "herd", "nakhon-pathom"),
    place("parlour-1", "parlour", "ratchaburi"),
    place("herd-3", "herd", "ratchaburi"),
    place("parlour-2", "parlour", "ratchaburi"),
    place("parlour-3", "parlour", "saraburi"),
    place("herd-4", "herd", "saraburi"),
    place("herd-5", "herd", "saraburi"),
];

/// Time after the start in which hosts learn of each other, and which of them read the log.
const SETTLED_AFTER: Duration = Duration::from_secs(5);

/// Time after which a configuration is in force: the users' `config-apply-s`.
const CONFIG_APPLY: Duration = Duration::from_secs(2);

/// Time after a disruption from which hosts are in touch again: the users' `contact-s`.
const CONTACT: Duration = Duration::from_secs(3);

/// Time from a change to a disruption which comes while the polls that follow it have just begun.
const CHANGED_BEFORE: Duration = Duration::from_millis(400);

/// Times for which the hosts that are left are asked after it, and pause between two rounds.
const ROUNDS: usize = 6;
const ROUND_PERIOD: Duration = Duration::from_millis(500);

/// How the hosts that read the log are lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Loss {
    /// They end with their backend servers.
    Gone,
    /// Their processes are suspended.
    Frozen,
}

/// Hosts that are left of their availability zones, the last ones in order of address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Left {
    /// So many of each.
    Each(usize),
    /// So many of the first, and all of the others.
    First(usize),
    /// So many of the last, and none of the others.
    Last(usize),
}

impl Left {
    /// Number of hosts that are left of one of `zones`.
    fn count(self, zone: usize, zones: usize, hosts: usize) -> usize {
        match self {
            Self::Each(left) => left,
            Self::First(left) if zone == 0 => left,
            Self::First(_) => hosts,
            Self::Last(left) if zone + 1 == zones => left,
            Self::Last(_) => 0,
        }
    }
}

/// When all open connections to the log service go silent; new ones work.
///
/// The service's machine lives on, so that the probes of TCP are answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Silence {
    /// They do not.
    Never,
    /// So many ms before the loss.
    Before(u64),
    /// At the loss.
    AtOnce,
    /// So many ms after it.
    After(u64),
    /// At the loss, and those that are open so many ms later.
    Again(u64),
}

/// How the configuration changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Change {
    /// A route comes.
    Route,
    /// The key of the only branch is revoked.
    RevokedKey,
}

impl Change {
    /// Time after which it must be in force.
    fn applies_after(self) -> Duration {
        match self {
            Self::Route => CONFIG_APPLY,
            Self::RevokedKey => Duration::from_millis(REVOKE_MS),
        }
    }

    /// Writes the change; returns the prefix of the paths that tell whether it is in force.
    fn make(self, operator: &mut Operator, store: &Store) -> String {
        match self {
            Self::Route => operator.add_route(store),
            Self::RevokedKey => {
                set_key(operator, store, "another");
                String::new()
            }
        }
    }

    /// Whether a node still handles requests as before the change.
    async fn is_missing_at(self, node: SocketAddr, prefix: &str, id: &str) -> bool {
        match self {
            Self::Route => {
                let target = format!("{prefix}{id}");
                ask_target(node, Kind::History, &target, id).await == Some(404)
            }
            Self::RevokedKey => {
                let answer = send_once(node, request_with_key(id)).await;
                answer.is_ok_and(|answer| answer.status == StatusCode::OK)
            }
        }
    }
}

fn set_key(operator: &mut Operator, store: &Store, key: &str) {
    operator.set_branches(store, json!([{"name": "north", "api_keys": [key]}]));
}

/// What is lost, and when and how the configuration changes.
#[derive(Debug, Clone, Copy)]
struct Case {
    change: Change,
    places: &'static [Place],
    loss: Loss,
    left: Left,
    silence: Silence,
    /// Time from the loss to the change, in ms.
    change_after_ms: u64,
}

/// Indexes of hosts by zone, in order of address.
async fn hosts_by_zone(system: &System, places: &[Place]) -> BTreeMap<&'static str, Vec<usize>> {
    let mut zones: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for (index, site) in system.sites.iter().enumerate() {
        let address = site.lock().await.addresses.public;
        let hosts = zones.entry(places[index].zone).or_default();
        hosts.push((address, index));
    }
    let in_order = |mut hosts: Vec<_>| {
        hosts.sort_unstable();
        hosts.into_iter().map(|(_address, index)| index).collect()
    };
    zones
        .into_iter()
        .map(|(zone, hosts)| (zone, in_order(hosts)))
        .collect()
}

/// Loses hosts; returns where callers reach those that are left.
async fn lose(system: &System, case: Case) -> Vec<SocketAddr> {
    let mut left: Vec<usize> = Vec::new();
    let mut lost: Vec<usize> = Vec::new();
    let zones = hosts_by_zone(system, case.places).await;
    for (zone, hosts) in zones.values().enumerate() {
        let left_count = case.left.count(zone, zones.len(), hosts.len());
        let (of_lost, of_left) = hosts.split_at(hosts.len() - left_count);
        lost.extend(of_lost);
        left.extend(of_left);
    }
    for index in lost {
        let mut site = system.sites[index].lock().await;
        match case.loss {
            Loss::Gone => {
                site.node.signal(Signal::Kill);
                site.end_server(ServerEnd::Crash).await;
            }
            Loss::Frozen => site.node.signal(Signal::Stop),
        }
    }
    let mut addresses = Vec::new();
    for index in left {
        addresses.push(system.sites[index].lock().await.addresses.callers());
    }
    addresses
}

/// Makes the open connections of all hosts to the log service go silent.
async fn silence(system: &System) {
    for site in &system.sites {
        site.lock().await.store_link.inject(ConnectionFault::Stall);
    }
}

/// Plays both disruptions in their order; returns where callers reach the hosts that are left.
async fn disrupt(system: &System, case: Case) -> Vec<SocketAddr> {
    let pause = |ms| sleep(Duration::from_millis(ms));
    if let Silence::Before(ms) = case.silence {
        silence(system).await;
        pause(ms).await;
    }
    let left = lose(system, case).await;
    match case.silence {
        Silence::Never | Silence::Before(_) => {}
        Silence::AtOnce => silence(system).await,
        Silence::After(ms) => {
            pause(ms).await;
            silence(system).await;
        }
        Silence::Again(ms) => {
            silence(system).await;
            pause(ms).await;
            silence(system).await;
        }
    }
    left
}

async fn assert_change_is_in_force_in_time(case: Case) {
    let system = System::start_at(case.places).await;
    system.wait_until_ready().await;
    let mut operator = system.operator.lock().await;
    if case.change == Change::RevokedKey {
        set_key(&mut operator, &system.store, KEY);
    }
    sleep(SETTLED_AFTER).await;
    if case.change == Change::RevokedKey {
        let node = system.sites[0].lock().await.addresses.callers();
        assert!(case.change.is_missing_at(node, "", "usual").await);
    }
    operator.add_route(&system.store);
    sleep(CHANGED_BEFORE).await;
    let left = disrupt(&system, case).await;
    let in_touch = Instant::now() + CONTACT;
    sleep(Duration::from_millis(case.change_after_ms)).await;
    let prefix = case.change.make(&mut operator, &system.store);
    let in_force = Instant::now() + case.change.applies_after();
    let mut next_round = match case.silence {
        Silence::Never => in_force,
        _ => in_force.max(in_touch),
    };
    let mut late = Vec::new();
    for round in 0..ROUNDS {
        sleep_until(next_round).await;
        next_round += ROUND_PERIOD;
        for (index, node) in left.iter().enumerate() {
            let id = format!("look-{round}-{index}");
            if case.change.is_missing_at(*node, &prefix, &id).await {
                late.push(id);
            }
        }
    }
    assert!(late.is_empty(), "handled as before: {late:?}");
}

macro_rules! losses {
    ($($(#[$guard:meta])* $name:ident: $case:expr;)*) => {$(
        $(#[$guard])*
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            assert_change_is_in_force_in_time($case).await;
        }
    )*};
}

const LOST: Case = Case {
    change: Change::Route,
    places: &TWO_ZONES,
    loss: Loss::Gone,
    left: Left::Each(1),
    silence: Silence::Never,
    change_after_ms: 300,
};

/// Two of the hosts whose polls end last, which are not answered.
const SILENT: Case = Case {
    places: &THREE_ZONES,
    left: Left::Last(2),
    silence: Silence::AtOnce,
    change_after_ms: 500,
    ..LOST
};

losses! {
    /// Guards against a late configuration where all hosts that read the log are lost.
    a_change_after_the_loss_of_all_readers_is_in_force_in_time: LOST;
    /// Guards against the same with a change at the moment of the loss.
    a_change_at_the_loss_of_all_readers_is_in_force_in_time: Case {
        change_after_ms: 0, ..LOST
    };
    /// Guards against the same where one zone loses its readers.
    a_change_after_the_loss_of_the_readers_of_a_zone_is_in_force_in_time: Case {
        left: Left::First(1), ..LOST
    };
    /// Guards against the same where the hosts that are left come after one that is lost.
    a_change_after_the_loss_of_two_readers_is_in_force_in_time: Case {
        left: Left::Each(2), ..LOST
    };
    /// Guards against the same where the readers are suspended.
    a_change_while_the_readers_are_suspended_is_in_force_in_time: Case {
        loss: Loss::Frozen, ..LOST
    };
    /// Guards against a late configuration where the polls of those that are left are never answered.
    a_change_after_a_silence_at_the_loss_is_in_force_in_time: SILENT;
    /// Guards against the same where the silence comes first.
    a_change_after_a_silence_before_the_loss_is_in_force_in_time: Case {
        silence: Silence::Before(300), ..SILENT
    };
    /// Guards against the same where the loss comes first.
    a_change_after_a_silence_after_the_loss_is_in_force_in_time: Case {
        silence: Silence::After(700), ..SILENT
    };
    /// Guards against the same where the connections that are opened then go silent as well.
    a_change_after_two_silences_is_in_force_in_time: Case {
        silence: Silence::Again(2_500), ..SILENT
    };
    /// Guards against the same with a change right at the disruption.
    a_change_at_a_silence_and_a_loss_is_in_force_in_time: Case {
        change_after_ms: 0, ..SILENT
    };
    /// Guards against the same with a change once hosts are in touch again.
    a_change_long_after_a_silence_and_a_loss_is_in_force_in_time: Case {
        change_after_ms: 2_900, ..SILENT
    };
    /// Guards against the same where the other hosts are suspended.
    a_change_after_a_silence_while_the_others_are_suspended_is_in_force_in_time: Case {
        loss: Loss::Frozen, ..SILENT
    };
    /// Guards against the same where one host is left.
    a_change_after_a_silence_and_the_loss_of_all_others_is_in_force_in_time: Case {
        left: Left::Last(1), ..SILENT
    };
    /// Guards against the same where one host is left in each zone.
    a_change_after_a_silence_and_the_loss_of_most_of_each_zone_is_in_force_in_time: Case {
        left: Left::Each(1), ..SILENT
    };
    /// Guards against a key that is accepted after its revocation in such a disruption.
    a_key_revoked_after_a_silence_at_the_loss_is_accepted_nowhere: Case {
        change: Change::RevokedKey, ..SILENT
    };
    /// Guards against the same where one host is left.
    a_key_revoked_after_a_silence_and_the_loss_of_all_others_is_accepted_nowhere: Case {
        change: Change::RevokedKey, left: Left::Last(1), ..SILENT
    };
    /// Guards against the same where those that are left did not read the log before.
    a_change_after_a_silence_and_the_loss_of_all_readers_is_in_force_in_time: Case {
        places: &TWO_ZONES, left: Left::Each(1), ..SILENT
    };
}
