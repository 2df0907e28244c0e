//! Which hosts of an availability zone follow the operators' log for the others.

use std::collections::BTreeMap;
use std::net::IpAddr;

use super::{Peer, Peers};
use crate::decision::host::poll_schedule::FollowerTurn;
use crate::model::names::ZoneName;
use crate::model::units::US_PER_S;

/// Number of hosts per availability zone that follow the operators' log.
const FOLLOWERS_PER_ZONE: usize = 3;

/// Silence after which a host of the same zone counts as none that follows the log, in µs.
///
/// Four load reports are missing then. A configuration must be in force 2 s after its
/// acknowledgement, and the host that takes over has to notice, connect and read.
const FOLLOWER_SILENCE_MAX_US: u64 = US_PER_S;

impl Peers {
    /// Whether the host at `own` should follow the operators' log.
    ///
    /// The first few hosts of each availability zone that are heard and can reach the log do so, and
    /// pass on what they read.
    pub fn should_follow_log(&self, own: IpAddr, zone: &ZoneName, now_us: u64) -> bool {
        let before = self.heard_before(own, zone, now_us);
        before.filter(|peer| peer.log_view.follows).count() < FOLLOWERS_PER_ZONE
    }

    /// Whether `own` is among the first hosts of its availability zone that are heard, in order of
    /// address.
    pub fn is_among_lowest_addresses(&self, own: IpAddr, zone: &ZoneName, now_us: u64) -> bool {
        self.heard_before(own, zone, now_us).count() < FOLLOWERS_PER_ZONE
    }

    /// Turn of the host at `own` among the hosts that follow the operators' log.
    ///
    /// Hosts of other availability zones count by the number of live ones, since what they follow
    /// changes without a report here.
    pub fn follower_turn(&self, own: IpAddr, zone: &ZoneName, now_us: u64) -> FollowerTurn {
        let mut hosts = BTreeMap::from([(zone, 1)]);
        for peer in self.live(now_us) {
            *hosts.entry(&peer.introduction.zone).or_insert(0) += 1;
        }
        let followers = |hosts: &usize| (*hosts).min(FOLLOWERS_PER_ZONE);
        let zones_before = hosts.iter().take_while(|(other, _hosts)| **other < zone);
        let of_zones_before: usize = zones_before.map(|(_zone, hosts)| followers(hosts)).sum();
        // Hosts that begin to follow together do not know of each other that they follow.
        let of_own_zone = self.heard_before(own, zone, now_us).count();
        FollowerTurn {
            index: of_zones_before + of_own_zone.min(FOLLOWERS_PER_ZONE - 1),
            count: hosts.values().map(followers).sum(),
        }
    }

    /// Hosts that are told when the host in `zone` finds that the operators' log has nothing new.
    ///
    /// In the own availability zone they are those that follow the log. Of other zones only some
    /// hosts are heard; their first ones follow the log, as long as they live.
    pub fn log_proof_receivers(&self, zone: &ZoneName, now_us: u64) -> Vec<IpAddr> {
        let mut receivers = Vec::new();
        let (mut known, mut live) = (BTreeMap::new(), BTreeMap::new());
        for peer in self.peers.values() {
            let of_zone = &peer.introduction.zone;
            let is_receiver = if of_zone == zone {
                peer.log_view.follows && peer.is_heard_within(FOLLOWER_SILENCE_MAX_US, now_us)
            } else {
                let is_first = is_among_first(&mut known, of_zone);
                let is_first_live = peer.is_live(now_us) && is_among_first(&mut live, of_zone);
                is_first || is_first_live
            };
            if is_receiver {
                receivers.push(peer.introduction.address);
            }
        }
        receivers
    }

    /// Hosts of an availability zone that are heard and whose addresses come before `own`.
    fn heard_before<'a>(
        &'a self,
        own: IpAddr,
        zone: &'a ZoneName,
        now_us: u64,
    ) -> impl Iterator<Item = &'a Peer> {
        let before = self.peers.range(..own).map(|(_address, peer)| peer);
        before.filter(move |peer| {
            peer.introduction.zone == *zone && peer.is_heard_within(FOLLOWER_SILENCE_MAX_US, now_us)
        })
    }
}

/// Counts a host of a zone; whether it is among the first ones.
fn is_among_first<'a>(counts: &mut BTreeMap<&'a ZoneName, usize>, zone: &'a ZoneName) -> bool {
    let count = counts.entry(zone).or_insert(0);
    *count += 1;
    *count <= FOLLOWERS_PER_ZONE
}
