//! Hosts that read the log for their availability zone are lost, and the configuration changes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use crate::callers::{Kind, ask_target};
use crate::program::Signal;
use crate::site::{Place, ServerEnd};
use crate::system::{System, place};

/// Two availability zones of four hosts each.
const HOSTS: [Place; 8] = [
    place("herd-1", "herd", "ratchaburi"),
    place("herd-2", "herd", "ratchaburi"),
    place("herd-3", "herd", "ratchaburi"),
    place("herd-4", "herd", "ratchaburi"),
    place("herd-5", "herd", "saraburi"),
    place("herd-6", "herd", "saraburi"),
    place("herd-7", "herd", "saraburi"),
    place("herd-8", "herd", "saraburi"),
];

/// Time after the start in which hosts learn of each other, and which of them read the log.
const SETTLED_AFTER: Duration = Duration::from_secs(5);

/// Time after which a configuration is in force: the users' `config-apply-s`.
const CONFIG_APPLY: Duration = Duration::from_secs(2);

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

/// What is lost, and when the configuration changes.
#[derive(Debug, Clone, Copy)]
struct Case {
    loss: Loss,
    /// Hosts that are left in each zone, the last ones in order of address.
    left_per_zone: usize,
    /// Whether both zones lose hosts.
    both_zones: bool,
    /// Time from the loss to the change, in ms.
    change_after_ms: u64,
}

/// Indexes of hosts by zone, in order of address.
async fn hosts_by_zone(system: &System) -> BTreeMap<&'static str, Vec<usize>> {
    let mut zones: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for (index, site) in system.sites.iter().enumerate() {
        let address = site.lock().await.addresses.public;
        let hosts = zones.entry(HOSTS[index].zone).or_default();
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
    for (number, hosts) in hosts_by_zone(system).await.into_values().enumerate() {
        let keeps_all = number > 0 && !case.both_zones;
        let lost_count = if keeps_all {
            0
        } else {
            hosts.len() - case.left_per_zone
        };
        lost.extend(&hosts[..lost_count]);
        left.extend(&hosts[lost_count..]);
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

async fn assert_change_is_in_force_in_time(case: Case) {
    let system = System::start_at(&HOSTS).await;
    system.wait_until_ready().await;
    tokio::time::sleep(SETTLED_AFTER).await;
    let left = lose(&system, case).await;
    tokio::time::sleep(Duration::from_millis(case.change_after_ms)).await;
    let mut operator = system.operator.lock().await;
    let prefix = operator.add_route(&system.store);
    let mut next_round = Instant::now() + CONFIG_APPLY;
    let mut unknown = Vec::new();
    for round in 0..ROUNDS {
        tokio::time::sleep_until(next_round).await;
        next_round += ROUND_PERIOD;
        for (index, node) in left.iter().enumerate() {
            let id = format!("look-{round}-{index}");
            let target = format!("{prefix}{id}");
            if ask_target(*node, Kind::History, &target, &id).await == Some(404) {
                unknown.push(id);
            }
        }
    }
    assert!(unknown.is_empty(), "404 on the new route: {unknown:?}");
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
    loss: Loss::Gone,
    left_per_zone: 1,
    both_zones: true,
    change_after_ms: 300,
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
        both_zones: false, ..LOST
    };
    /// Guards against the same where the hosts that are left come after one that is lost.
    a_change_after_the_loss_of_two_readers_is_in_force_in_time: Case {
        left_per_zone: 2, ..LOST
    };
    /// Guards against the same where the readers are suspended.
    a_change_while_the_readers_are_suspended_is_in_force_in_time: Case {
        loss: Loss::Frozen, ..LOST
    };
}
