//! Known nodes on other hosts and their load.
//!
//! This table only guides routing; the gate of the chosen host makes the admission decision.

mod log_followers;

use std::collections::BTreeMap;
use std::net::IpAddr;

use super::keyed_state::KeyedState;
use super::placement::Candidate;
use super::relay_sources::RelaySource;
use super::report_targets::KnownHost;
use super::rollout::table::VersionFilter;
use crate::decision::routing::{AttemptOutcome, Health};
use crate::model::ids::Incarnation;
use crate::model::load::{HostLoad, ServerState, StartPace};
use crate::model::log_position::LogPosition;
use crate::model::names::{ServiceName, ZoneName};
use crate::model::rollout::Version;
use crate::model::units::US_PER_S;

/// Silence after which a host gets no requests, in µs.
const LIVENESS_TIMEOUT_US: u64 = 5 * US_PER_S;

/// Silence after which a host is forgotten, in µs.
const FORGET_AFTER_US: u64 = 120 * US_PER_S;

/// Identity that a node announces to other nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Introduction {
    /// Address of the host.
    pub address: IpAddr,
    /// Incarnation of the node; a restart has a new one.
    pub incarnation: Incarnation,
    /// Availability zone.
    pub zone: ZoneName,
    /// Service of the local backend server.
    pub service: ServiceName,
}

impl Introduction {
    /// Whether both are of the same host, zone and service, whatever the run of the node.
    pub fn is_of_same_host(&self, other: &Self) -> bool {
        let this_run = Self {
            incarnation: other.incarnation,
            ..self.clone()
        };
        this_run == *other
    }
}

/// How a node relays the operators' log, which depends on its release.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum RelayProtocol {
    /// All records at once, without the era of the log.
    #[default]
    Records,
    /// All records at once, with the era.
    Log,
    /// An index of the records, and large values in pieces.
    Index,
}

/// What a node knows of the operators' log, according to its load reports.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LogView {
    /// Position up to which it knows the log.
    pub end: LogPosition,
    /// Whether it follows the log and the log service answers it.
    pub follows: bool,
    /// Whether it retains records that the log has lost.
    pub has_lost_records: bool,
    /// How it relays the log.
    pub protocol: RelayProtocol,
}

impl LogView {
    /// Whether the node knows more of the log than `own`, or lost records that `own` misses.
    pub fn is_ahead_of(&self, own: &KeyedState) -> bool {
        let knows_lost = self.has_lost_records && self.end.era == own.end().era;
        self.end > own.end() || (knows_lost && own.misses_lost_records())
    }
}

/// A host known to this node.
#[derive(Debug)]
pub struct Peer {
    /// Identity of its node.
    pub introduction: Introduction,
    /// What it knows of the operators' log.
    pub log_view: LogView,
    /// Whether it takes long bodies in pieces, which depends on its release.
    pub takes_pieces: bool,
    /// Whether the host has changed its service and has not introduced itself since.
    service_changed: bool,
    /// Version of its backend server, if it has said so.
    version: Option<Version>,
    load: Option<HostLoad>,
    pace: Option<StartPace>,
    pace_received_us: u64,
    load_received_us: u64,
    last_heard_us: Option<u64>,
    known_since_us: u64,
    outstanding: u32,
    sent_since_report: u32,
    health: Health,
}

impl Peer {
    /// Whether the host was heard from within the liveness timeout.
    pub fn is_live(&self, now_us: u64) -> bool {
        self.is_heard_within(LIVENESS_TIMEOUT_US, now_us)
    }

    /// Whether the host was heard from less than `timeout_us` ago.
    fn is_heard_within(&self, timeout_us: u64, now_us: u64) -> bool {
        self.last_heard_us
            .is_some_and(|last_heard_us| now_us.saturating_sub(last_heard_us) < timeout_us)
    }
}

/// What a node knows of a host whose service is rolled out.
#[derive(Debug, Clone, Copy)]
pub struct RolloutHost<'a> {
    /// Process of its node.
    pub process: Incarnation,
    /// Version of its backend server, if known.
    pub version: Option<&'a Version>,
    /// Requests that it can run at once.
    pub slots: u32,
    /// State of its backend server, if known.
    pub state: Option<ServerState>,
    /// Whether it was heard from within the liveness timeout.
    pub is_live: bool,
    /// Time since it was heard from, in µs.
    pub silence_us: u64,
}

/// Known hosts by address.
#[derive(Debug, Default)]
pub struct Peers {
    peers: BTreeMap<IpAddr, Peer>,
    version: u64,
}

impl Peers {
    /// Adds or updates a host; `direct` if its own node sent the introduction.
    ///
    /// Returns whether the host or this incarnation of its node is new.
    pub fn introduce(&mut self, introduction: Introduction, direct: bool, now_us: u64) -> bool {
        let address = introduction.address;
        let last_heard_us = direct.then_some(now_us);
        match self.peers.get_mut(&address) {
            Some(known) if known.introduction == introduction => {
                known.last_heard_us = known.last_heard_us.max(last_heard_us);
                known.service_changed &= !direct;
                false
            }
            Some(known) if !direct && known.is_live(now_us) => false,
            Some(known)
                if introduction
                    .incarnation
                    .is_outdated_by(known.introduction.incarnation) =>
            {
                false
            }
            _ => {
                let peer = Peer {
                    introduction,
                    log_view: LogView::default(),
                    takes_pieces: false,
                    service_changed: false,
                    known_since_us: now_us,
                    version: None,
                    load: None,
                    pace: None,
                    pace_received_us: 0,
                    load_received_us: 0,
                    last_heard_us,
                    outstanding: 0,
                    sent_since_report: 0,
                    health: Health::default(),
                };
                self.peers.insert(address, peer);
                self.version += 1;
                true
            }
        }
    }

    /// Whether this incarnation of the host's node is known, or is outdated by the known one.
    ///
    /// It is unknown if the host has changed its service since.
    pub fn knows(&self, address: IpAddr, incarnation: Incarnation) -> bool {
        self.peers.get(&address).is_some_and(|peer| {
            let introduced = peer.introduction.incarnation;
            let is_known = introduced == incarnation || incarnation.is_outdated_by(introduced);
            is_known && !peer.service_changed
        })
    }

    /// Records a load report of a host.
    ///
    /// An older report only shows that the host is live.
    pub fn record_load(&mut self, address: IpAddr, load: HostLoad, now_us: u64) {
        let Some(peer) = self.peers.get_mut(&address) else {
            return;
        };
        let introduced = peer.introduction.incarnation;
        peer.service_changed |= introduced.is_outdated_by(load.incarnation);
        if introduced != load.incarnation {
            return;
        }
        peer.last_heard_us = Some(now_us);
        let newer = peer.load.is_none_or(|known| known.sequence < load.sequence);
        if newer {
            peer.load = Some(load);
            peer.load_received_us = now_us;
            peer.sent_since_report = 0;
        }
    }

    /// Records that a host refused a request since it is not of that service.
    pub fn record_other_service(&mut self, address: IpAddr, service: &ServiceName) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.service_changed |= peer.introduction.service == *service;
        }
    }

    /// Records the pace at which requests start at a host; `None` if no limit holds there.
    pub fn set_pace(&mut self, address: IpAddr, pace: Option<StartPace>, now_us: u64) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.pace = pace;
            peer.pace_received_us = now_us;
        }
    }

    /// Records the version of a host's backend server.
    pub fn set_version(&mut self, address: IpAddr, version: Option<Version>) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.version = version;
        }
    }

    /// Hosts of a service, for the decisions of a roll-out.
    pub fn rollout_hosts<'a>(
        &'a self,
        service: &'a ServiceName,
        now_us: u64,
    ) -> impl Iterator<Item = RolloutHost<'a>> + 'a {
        let of_service = self.peers.values().filter(|peer| peer.serves(service));
        of_service.map(move |peer| RolloutHost {
            process: peer.introduction.incarnation,
            version: peer.version.as_ref(),
            slots: peer.load.map_or(0, |load| u32::from(load.limit)),
            state: peer.load.map(|load| load.state),
            is_live: peer.is_live(now_us),
            silence_us: peer.silence_us(now_us),
        })
    }

    /// Time since any other node was heard from, in µs.
    pub fn silence_us(&self, now_us: u64) -> u64 {
        let silences = self.peers.values().map(|peer| peer.silence_us(now_us));
        silences.min().unwrap_or(now_us)
    }

    /// Records what a host knows of the operators' log; its position never goes back.
    pub fn set_log_view(&mut self, address: IpAddr, view: LogView) {
        if let Some(peer) = self.peers.get_mut(&address) {
            let end = peer.log_view.end.max(view.end);
            peer.log_view = LogView { end, ..view };
        }
    }

    /// Records whether a host takes long bodies in pieces.
    pub fn set_takes_pieces(&mut self, address: IpAddr, takes_pieces: bool) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.takes_pieces = takes_pieces;
        }
    }

    /// Hosts that were heard from within the liveness timeout.
    fn live(&self, now_us: u64) -> impl Iterator<Item = &Peer> {
        let peers = self.peers.values();
        peers.filter(move |peer| peer.is_live(now_us))
    }

    /// Live nodes that know more of the operators' log than `state`; `own_zone` is that of this node.
    pub fn relay_sources<'a>(
        &'a self,
        state: &'a KeyedState,
        own_zone: &'a ZoneName,
        now_us: u64,
    ) -> impl Iterator<Item = RelaySource> + 'a {
        let live = self.live(now_us);
        let ahead = live.filter(move |peer| peer.log_view.is_ahead_of(state));
        ahead.map(move |peer| RelaySource {
            address: peer.introduction.address,
            same_zone: peer.introduction.zone == *own_zone,
            end: peer.log_view.end,
        })
    }

    /// Records that a request was sent to a host.
    pub fn record_sent(&mut self, address: IpAddr) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.outstanding += 1;
            peer.sent_since_report += 1;
        }
    }

    /// Records the end of an outstanding request and its outcome.
    pub fn record_return(&mut self, address: IpAddr, kind: AttemptOutcome, now_us: u64) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.outstanding = peer.outstanding.saturating_sub(1);
            peer.health.record(kind, now_us);
        }
    }

    /// Records that nothing is heard of a host that owes an answer.
    pub fn record_silence(&mut self, address: IpAddr, now_us: u64) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.health.record(AttemptOutcome::Unreachable, now_us);
        }
    }

    /// Live hosts of the service that accept new work and have a version that the filter admits.
    pub fn candidates<'a>(
        &'a self,
        service: &'a ServiceName,
        versions: &'a VersionFilter,
        own_zone: &'a ZoneName,
        now_us: u64,
    ) -> impl Iterator<Item = Candidate> + 'a {
        let live = self.live(now_us);
        let of_service = live.filter(move |peer| {
            peer.serves(service) && peer.takes_work() && versions.admits(peer.version.as_ref())
        });
        of_service.map(move |peer| peer.candidate(own_zone, now_us))
    }

    /// All known hosts, for the choice of those that get load reports.
    pub fn known_hosts(&self) -> impl Iterator<Item = KnownHost<'_>> {
        self.peers.values().map(|peer| KnownHost {
            address: peer.introduction.address,
            zone: &peer.introduction.zone,
            service: &peer.introduction.service,
        })
    }

    /// Number that changes whenever a host is added, changed or removed.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The host at an address.
    pub fn get(&self, address: IpAddr) -> Option<&Peer> {
        self.peers.get(&address)
    }

    /// All known hosts.
    pub fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Number of known nodes including this one; a shared budget is divided by it.
    pub fn node_count(&self) -> usize {
        self.peers.len() + 1
    }

    /// Removes hosts that have been silent for too long.
    pub fn forget_silent(&mut self, now_us: u64) {
        let count_before = self.peers.len();
        self.peers
            .retain(|_address, peer| peer.silence_us(now_us) < FORGET_AFTER_US);
        self.version += u64::from(self.peers.len() != count_before);
    }
}

impl Peer {
    fn silence_us(&self, now_us: u64) -> u64 {
        let since_us = self.last_heard_us.unwrap_or(self.known_since_us);
        now_us.saturating_sub(since_us)
    }

    fn serves(&self, service: &ServiceName) -> bool {
        self.introduction.service == *service && !self.service_changed
    }

    fn takes_work(&self) -> bool {
        self.load.is_none_or(|load| load.state.takes_work())
    }

    fn candidate(&self, own_zone: &ZoneName, now_us: u64) -> Candidate {
        Candidate {
            address: Some(self.introduction.address),
            same_zone: self.introduction.zone == *own_zone,
            load: self.load,
            load_age_us: now_us.saturating_sub(self.load_received_us),
            sent_since_report: self.sent_since_report,
            failure_share: self.health.failure_share(now_us),
            avoided: !self.health.admits(self.outstanding, now_us),
            pace: self
                .pace
                .map(|pace| pace.after(now_us.saturating_sub(self.pace_received_us))),
        }
    }
}
