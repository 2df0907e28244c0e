//! Hosts to which a node sends its load reports.
//!
//! All hosts of the own availability zone get them, and some hosts of each other zone, so that the
//! cost of a node does not grow with the hosts of other zones. Nodes of a service that few hosts of
//! their zone serve report to more, since every host needs to know some of each service.
//!
//! The hosts are chosen by rendezvous hashing (Thaler and Ravishankar, 1998): each node chooses
//! others, so each host hears from about as many, and a host that comes or goes changes few choices.

use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, HashSet};
use std::hash::{Hash, Hasher};
use std::net::IpAddr;

use crate::model::names::{ServiceName, ZoneName};

/// Minimum number of hosts of each other availability zone that get regular reports.
const HOSTS_PER_OTHER_ZONE_MIN: usize = 8;

/// Average number of hosts of one zone and service from which a host of another zone hears.
const HEARD_PER_ZONE_AND_SERVICE: usize = 4;

/// A known host.
#[derive(Debug, Clone, Copy)]
pub struct KnownHost<'a> {
    /// Address.
    pub address: IpAddr,
    /// Availability zone.
    pub zone: &'a ZoneName,
    /// Service of its backend server.
    pub service: &'a ServiceName,
}

/// Receivers of a node's load reports.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReportTargets {
    /// Hosts of the own availability zone.
    pub same_zone: Vec<IpAddr>,
    /// Hosts of other availability zones that get regular reports.
    pub other_zones: Vec<IpAddr>,
    /// The remaining hosts of other availability zones, which only learn that this host exists.
    pub remaining: Vec<IpAddr>,
}

impl ReportTargets {
    /// Chooses the receivers of the node on `own` among the other known hosts.
    pub fn choose<'a>(own: KnownHost<'_>, others: impl Iterator<Item = KnownHost<'a>>) -> Self {
        let mut targets = Self::default();
        let mut by_zone: BTreeMap<&ZoneName, Vec<IpAddr>> = BTreeMap::new();
        let mut same_service_count = 1;
        for host in others {
            if host.zone == own.zone {
                targets.same_zone.push(host.address);
                same_service_count += usize::from(host.service == own.service);
            } else {
                by_zone.entry(host.zone).or_default().push(host.address);
            }
        }
        for mut addresses in by_zone.into_values() {
            addresses.sort_by_key(|address| rendezvous_weight(own.address, *address));
            let needed =
                (addresses.len() * HEARD_PER_ZONE_AND_SERVICE).div_ceil(same_service_count);
            let chosen = needed.max(HOSTS_PER_OTHER_ZONE_MIN).min(addresses.len());
            targets.remaining.extend(addresses.split_off(chosen));
            targets.other_zones.extend(addresses);
        }
        targets
    }
}

/// Hosts to which a node has introduced itself.
#[derive(Debug, Default)]
pub struct Introductions {
    introduced: HashSet<IpAddr>,
    service_changes: u16,
}

impl Introductions {
    /// Returns the receivers that have not been introduced to yet, and counts them as such.
    ///
    /// Hosts learned of one by one must all hear of this node soon, also those that get no regular
    /// reports: its address may have belonged to a host of another service. After a change of the
    /// own service all are pending again.
    pub fn take_pending(&mut self, targets: &ReportTargets, service_changes: u16) -> Vec<IpAddr> {
        if self.service_changes != service_changes {
            self.service_changes = service_changes;
            self.introduced.clear();
        }
        let groups = [&targets.same_zone, &targets.other_zones, &targets.remaining];
        let all = groups.into_iter().flatten().copied();
        all.filter(|address| self.introduced.insert(*address))
            .collect()
    }
}

fn rendezvous_weight(own: IpAddr, other: IpAddr) -> u64 {
    let mut hasher = DefaultHasher::new();
    (own, other).hash(&mut hasher);
    hasher.finish()
}
