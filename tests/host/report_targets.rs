//! Receivers of load reports in deployments of different sizes.

use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr};

use bronzelock::decision::host::report_targets::{Introductions, KnownHost, ReportTargets};
use bronzelock::model::names::{ServiceName, ZoneName};

const ZONES: [&str; 5] = ["a", "b", "c", "d", "e"];

struct Host {
    address: IpAddr,
    zone: ZoneName,
    service: ServiceName,
}

impl Host {
    fn known(&self) -> KnownHost<'_> {
        KnownHost {
            address: self.address,
            zone: &self.zone,
            service: &self.service,
        }
    }
}

/// Hosts over five zones; one of `rare_every` in each zone serves `rare`, the others `common`.
fn hosts_with_rare_service(count: u16, rare_every: u16) -> Vec<Host> {
    let zones = ZONES.len() as u16;
    let host = |index: u16| {
        let [high, low] = index.to_be_bytes();
        let is_rare = (index / zones).is_multiple_of(rare_every);
        let service = if is_rare { "rare" } else { "common" };
        Host {
            address: IpAddr::V4(Ipv4Addr::new(10, 0, high, low)),
            zone: ZoneName::new(ZONES[usize::from(index % zones)]).expect("valid name"),
            service: ServiceName::new(service).expect("valid name"),
        }
    };
    (0..count).map(host).collect()
}

fn hosts(count: u16) -> Vec<Host> {
    hosts_with_rare_service(count, 2)
}

fn targets_of(hosts: &[Host], index: usize) -> ReportTargets {
    let own = hosts[index].known();
    let known = hosts.iter().map(Host::known);
    ReportTargets::choose(own, known.filter(|host| host.address != own.address))
}

/// The reports that a node sends to other zones must not grow with the hosts there.
#[test]
fn a_node_reports_to_as_many_hosts_of_other_zones_at_919_hosts_as_at_195() {
    let count = |hosts_count| targets_of(&hosts(hosts_count), 0).other_zones.len();
    assert_eq!(count(919), count(195));
    assert!(count(195) <= 40, "{} hosts", count(195));
}

#[test]
fn all_hosts_of_a_small_deployment_get_regular_reports() {
    let targets = targets_of(&hosts(30), 0);
    assert_eq!(targets.same_zone.len() + targets.other_zones.len(), 29);
    assert!(targets.remaining.is_empty());
}

#[test]
fn each_host_is_in_exactly_one_group() {
    let targets = targets_of(&hosts(195), 7);
    let groups = [targets.same_zone, targets.other_zones, targets.remaining];
    let mut all = groups.concat();
    all.sort_unstable();
    all.dedup();
    assert_eq!(all.len(), 194);
}

/// Every host must hear from some hosts of every other zone, or it could not send work there.
#[test]
fn every_host_hears_from_hosts_of_every_other_zone() {
    let hosts = hosts(195);
    let mut heard: HashMap<(IpAddr, &ZoneName), usize> = HashMap::new();
    for (index, sender) in hosts.iter().enumerate() {
        for receiver in targets_of(&hosts, index).other_zones {
            *heard.entry((receiver, &sender.zone)).or_default() += 1;
        }
    }
    let pairs = hosts.len() * (ZONES.len() - 1);
    assert_eq!(heard.len(), pairs, "some host hears nobody of some zone");
    let most = heard.values().max().copied().unwrap_or_default();
    assert!(most <= 24, "one host hears from {most} of one zone");
}

/// One more host must not make the others change more than about one receiver each.
#[test]
fn a_new_host_changes_few_choices() {
    let (before, after) = (hosts(195), hosts(196));
    let changed = |index| {
        let kept = targets_of(&before, index).other_zones;
        let chosen = targets_of(&after, index).other_zones;
        chosen.iter().filter(|host| !kept.contains(host)).count()
    };
    let total: usize = (0..before.len()).map(changed).sum();
    assert!(total <= before.len(), "{total} receivers changed");
}

/// Two hosts of a zone serve what all hosts call; everyone must be able to send there.
#[test]
fn hosts_of_a_rare_service_report_to_everyone() {
    let hosts = hosts_with_rare_service(195, 20);
    let rare = hosts
        .iter()
        .position(|host| host.service.as_str() == "rare");
    let targets = targets_of(&hosts, rare.expect("a host of the rare service"));
    assert!(targets.remaining.is_empty());
}

/// A node that learns of the hosts one by one must still introduce itself to all of them.
#[test]
fn hosts_that_become_known_later_are_introduced_to_once() {
    let hosts = hosts(195);
    let mut introductions = Introductions::default();
    let first = targets_of(&hosts[..3], 0);
    assert_eq!(introductions.take_pending(&first, 0).len(), 2);
    let all = targets_of(&hosts, 0);
    assert!(!all.remaining.is_empty());
    assert_eq!(introductions.take_pending(&all, 0).len(), 192);
    assert!(introductions.take_pending(&all, 0).is_empty());
}

/// Guards against requests sent to a host that has changed its service while its node ran on.
#[test]
fn all_hosts_are_introduced_to_again_after_a_change_of_the_own_service() {
    let targets = targets_of(&hosts(30), 0);
    let mut introductions = Introductions::default();
    assert_eq!(introductions.take_pending(&targets, 0).len(), 29);
    assert_eq!(introductions.take_pending(&targets, 1).len(), 29);
    assert!(introductions.take_pending(&targets, 1).is_empty());
}
