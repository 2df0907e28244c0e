//! What this node knows of the nodes on other hosts.
//!
//! It steers routing only: the gate of the chosen host decides.

use std::collections::BTreeMap;
use std::net::IpAddr;

use super::placement::Candidate;
use crate::decision::routing::{AttemptOutcome, Health};
use crate::model::ids::Incarnation;
use crate::model::load::HostLoad;
use crate::model::names::{ServiceName, ZoneName};
use crate::model::units::US_PER_S;

/// Time without a word after which a host gets no requests, in µs.
const SILENT_US: u64 = 5 * US_PER_S;

/// Time without a word after which a host is forgotten, in µs.
const FORGET_US: u64 = 120 * US_PER_S;

/// Hosts of one availability zone that follow the operators' log.
const FOLLOWERS_PER_ZONE: usize = 3;

/// How a node introduces itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Introduction {
    /// Address of the host.
    pub address: IpAddr,
    /// Run of the node.
    pub incarnation: Incarnation,
    /// Availability zone.
    pub zone: ZoneName,
    /// Service of the backend server beside it.
    pub service: ServiceName,
}

/// One host.
#[derive(Debug)]
pub struct Peer {
    /// Who it is.
    pub introduction: Introduction,
    /// Offset up to which it has seen the operators' log.
    pub operator_end: u64,
    /// Whether it follows the operators' log, and the log service answers it.
    pub follows_log: bool,
    load: Option<HostLoad>,
    load_at_us: u64,
    heard_us: Option<u64>,
    known_since_us: u64,
    outstanding: u32,
    sent_since_load: u32,
    health: Health,
}

impl Peer {
    /// Whether anything was heard of it lately.
    pub fn is_live(&self, now_us: u64) -> bool {
        self.heard_us
            .is_some_and(|heard_us| now_us.saturating_sub(heard_us) < SILENT_US)
    }
}

/// Hosts by address.
#[derive(Debug, Default)]
pub struct Peers {
    peers: BTreeMap<IpAddr, Peer>,
}

impl Peers {
    /// Takes an introduction that was made by the node itself (`first_hand`) or told by another.
    ///
    /// Returns whether the host or this run of its node was not known.
    pub fn introduce(&mut self, introduction: Introduction, first_hand: bool, now_us: u64) -> bool {
        let address = introduction.address;
        let heard_us = first_hand.then_some(now_us);
        match self.peers.get_mut(&address) {
            Some(known) if known.introduction == introduction => {
                known.heard_us = known.heard_us.max(heard_us);
                false
            }
            Some(known) if !first_hand && known.is_live(now_us) => false,
            _ => {
                let peer = Peer {
                    introduction,
                    operator_end: 0,
                    follows_log: false,
                    known_since_us: now_us,
                    load: None,
                    load_at_us: 0,
                    heard_us,
                    outstanding: 0,
                    sent_since_load: 0,
                    health: Health::default(),
                };
                self.peers.insert(address, peer);
                true
            }
        }
    }

    /// Whether this run of the host's node has introduced itself.
    pub fn knows(&self, address: IpAddr, incarnation: Incarnation) -> bool {
        let known = self.peers.get(&address);
        known.is_some_and(|peer| peer.introduction.incarnation == incarnation)
    }

    /// Takes a load report of a host; an older one changes nothing.
    pub fn observe(&mut self, address: IpAddr, load: HostLoad, now_us: u64) {
        let Some(peer) = self.peers.get_mut(&address) else {
            return;
        };
        if peer.introduction.incarnation != load.incarnation {
            return;
        }
        peer.heard_us = Some(now_us);
        let newer = peer.load.is_none_or(|known| known.sequence < load.sequence);
        if newer {
            peer.load = Some(load);
            peer.load_at_us = now_us;
            peer.sent_since_load = 0;
        }
    }

    /// Notes up to which offset a host has seen the operators' log, and whether it follows it.
    pub fn set_log_view(&mut self, address: IpAddr, end: u64, follows: bool) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.operator_end = peer.operator_end.max(end);
            peer.follows_log = follows;
        }
    }

    /// Whether the host at `own` is to follow the operators' log: the first few live hosts of each
    /// availability zone that can do, and pass on what they read.
    pub fn is_to_follow(&self, own: IpAddr, zone: &ZoneName, now_us: u64) -> bool {
        let before = self.live_before(own, zone, now_us);
        before.filter(|peer| peer.follows_log).count() < FOLLOWERS_PER_ZONE
    }

    /// Whether the host at `own` is among the first live hosts of its availability zone.
    pub fn is_among_first(&self, own: IpAddr, zone: &ZoneName, now_us: u64) -> bool {
        self.live_before(own, zone, now_us).count() < FOLLOWERS_PER_ZONE
    }

    /// Live hosts of an availability zone whose addresses come before `own`.
    fn live_before<'a>(
        &'a self,
        own: IpAddr,
        zone: &'a ZoneName,
        now_us: u64,
    ) -> impl Iterator<Item = &'a Peer> {
        let before = self.peers.range(..own).map(|(_address, peer)| peer);
        before.filter(move |peer| peer.introduction.zone == *zone && peer.is_live(now_us))
    }

    /// Counts a request as outstanding at a host.
    pub fn sent(&mut self, address: IpAddr) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.outstanding += 1;
            peer.sent_since_load += 1;
        }
    }

    /// Ends an outstanding request and learns from how it came back.
    pub fn returned(&mut self, address: IpAddr, kind: AttemptOutcome, now_us: u64) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.outstanding = peer.outstanding.saturating_sub(1);
            peer.health.record(kind, now_us);
        }
    }

    /// Hosts that may take a request of the service.
    pub fn candidates<'a>(
        &'a self,
        service: &'a ServiceName,
        own_zone: &'a ZoneName,
        now_us: u64,
    ) -> impl Iterator<Item = Candidate> + 'a {
        let of_service = self.peers.values().filter(move |peer| {
            peer.introduction.service == *service && peer.is_live(now_us) && peer.takes_work()
        });
        of_service.map(move |peer| peer.candidate(own_zone, now_us))
    }

    /// Addresses of all known hosts and whether each stands in `zone`.
    pub fn addresses<'a>(
        &'a self,
        zone: &'a ZoneName,
    ) -> impl Iterator<Item = (IpAddr, bool)> + 'a {
        let peers = self.peers.iter();
        peers.map(move |(address, peer)| (*address, peer.introduction.zone == *zone))
    }

    /// One host.
    pub fn get(&self, address: IpAddr) -> Option<&Peer> {
        self.peers.get(&address)
    }

    /// All hosts.
    pub fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Number of nodes, with this one, among which a shared budget is split.
    pub fn nodes(&self) -> usize {
        self.peers.len() + 1
    }

    /// Forgets hosts that have been silent for long.
    pub fn forget_silent(&mut self, now_us: u64) {
        self.peers.retain(|_address, peer| {
            let since_us = peer.heard_us.unwrap_or(peer.known_since_us);
            now_us.saturating_sub(since_us) < FORGET_US
        });
    }
}

impl Peer {
    fn takes_work(&self) -> bool {
        self.load.is_none_or(|load| load.state.takes_work())
    }

    fn candidate(&self, own_zone: &ZoneName, now_us: u64) -> Candidate {
        Candidate {
            address: Some(self.introduction.address),
            same_zone: self.introduction.zone == *own_zone,
            load: self.load,
            load_age_us: now_us.saturating_sub(self.load_at_us),
            unreported: self.sent_since_load,
            failure_share: self.health.failure_share(now_us),
            avoided: !self.health.admits(self.outstanding, now_us),
        }
    }
}
