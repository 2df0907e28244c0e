//! State of the membership protocol on one node, and the dispatch of its events.

use std::net::SocketAddr;

use crate::decision::splitmix64::SplitMix64;
use crate::model::ids::ConfigVersion;
use crate::model::names::{ServerName, ServiceName};

use super::digest::{self, Digests};
use super::events::{MembershipAction, MembershipEvent};
use super::member::{Member, MemberState};
use super::packing::ByteBudget;
use super::prober::Prober;
use super::receive::Source;
use super::settings::MembershipSettings;
use super::sync::TableSync;
use super::table::{Entry, MemberTable};
use super::update_queue::UpdateQueue;

/// Membership state machine of one node.
#[derive(Debug)]
pub struct Membership {
    pub(super) own: Member,
    pub(super) own_hash: u64,
    pub(super) settings: MembershipSettings,
    pub(super) table: MemberTable,
    pub(super) queue: UpdateQueue,
    pub(super) budget: ByteBudget,
    pub(super) prober: Prober,
    pub(super) sync: TableSync,
    pub(super) contacts: Vec<SocketAddr>,
    pub(super) config_version: ConfigVersion,
    /// Remaining gossip messages to send because this node's record changed.
    pub(super) own_transmissions_left: u32,
    pub(super) last_probe_at_us: Option<u64>,
    pub(super) last_reconnect_at_us: u64,
    pub(super) last_tick_at_us: u64,
    /// When this process last resumed after a pause.
    pub(super) resumed_at_us: Option<u64>,
    pub(super) reported_config: Option<ReportedConfig>,
}

/// The newer configuration last reported to the runtime.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReportedConfig {
    pub(super) version: ConfigVersion,
    pub(super) reported_at_us: u64,
}

/// Time, random numbers and output of one event.
pub(super) struct EventContext<'a> {
    pub(super) now_us: u64,
    pub(super) rng: SplitMix64,
    pub(super) actions: &'a mut Vec<MembershipAction>,
}

impl Membership {
    /// Creates the state of a node that knows only itself.
    pub fn new(own: Member, settings: MembershipSettings, now_us: u64) -> Self {
        let mut membership = Self {
            own_hash: digest::name_hash(&own.server),
            own,
            settings,
            table: MemberTable::new(),
            queue: UpdateQueue::default(),
            budget: ByteBudget::new(settings.bytes_out_per_s, now_us),
            prober: Prober::default(),
            sync: TableSync::default(),
            contacts: Vec::new(),
            config_version: ConfigVersion::default(),
            own_transmissions_left: 0,
            last_probe_at_us: None,
            last_reconnect_at_us: now_us,
            last_tick_at_us: now_us,
            resumed_at_us: None,
            reported_config: None,
        };
        membership.own_transmissions_left = membership.transmissions_max();
        membership
    }

    /// All other known nodes, including dead ones.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.table.entries().map(|entry| &entry.member)
    }

    /// Record of another node, if it is known.
    pub fn member(&self, server: &ServerName) -> Option<&Member> {
        self.table.get(server).map(|entry| &entry.member)
    }

    /// Record of this node.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Handles one event and appends the resulting actions.
    ///
    /// `draw` must be a fresh random number.
    pub fn handle(
        &mut self,
        event: MembershipEvent,
        now_us: u64,
        draw: u64,
        actions: &mut Vec<MembershipAction>,
    ) {
        let mut ctx = EventContext {
            now_us,
            rng: SplitMix64::new(draw),
            actions,
        };
        match event {
            MembershipEvent::Tick => self.tick(&mut ctx),
            MembershipEvent::Received { from, message } => self.receive(from, message, &mut ctx),
            MembershipEvent::ReadFromLog(member) => self.merge(member, Source::Log, &mut ctx),
            MembershipEvent::Contact(address) => self.add_contact(address),
            MembershipEvent::PeerResponded(server) => self.mark_heard(&server, now_us),
            MembershipEvent::OwnState { service, leaving } => self.set_own_state(service, leaving),
            MembershipEvent::ConfigVersion(version) => self.config_version = version,
        }
    }

    /// Digest of all members that are not dead, including this node.
    pub(super) fn digest(&self) -> u64 {
        self.table.digests().combined_with(&self.own, self.own_hash)
    }

    /// The same digest together with those of the buckets.
    pub(super) fn digests(&self) -> Digests {
        let mut digests = self.table.digests().clone();
        digests.toggle(&self.own, self.own_hash);
        digests
    }

    /// Transmissions of each update; grows with the logarithm of the member count.
    pub(super) fn transmissions_max(&self) -> u32 {
        (f64::from(self.settings.transmissions) * self.log10_members()).ceil() as u32
    }

    /// Time in which a suspect can refute the suspicion, in µs.
    pub(super) fn suspicion_timeout_us(&self) -> u64 {
        let periods = self.settings.suspicion_periods as f64 * self.log10_members();
        (periods * self.settings.probe_period_ms as f64 * 1_000.0) as u64
    }

    /// Records that a member answered a probe or a request.
    ///
    /// A member considered dead is queued for a ping.
    pub(super) fn mark_heard(&mut self, server: &ServerName, now_us: u64) {
        let Some(entry) = self.table.get_mut(server) else {
            return;
        };
        entry.last_heard_at_us = Some(now_us);
        if !entry.member.is_present() {
            self.prober.queue_dead_recheck(server);
        }
    }

    /// Whether a member answered within the last suspicion timeout.
    pub(super) fn was_heard_recently(&self, entry: &Entry, now_us: u64) -> bool {
        let heard = entry.last_heard_at_us;
        heard.is_some_and(|last_heard_at_us| {
            last_heard_at_us + self.suspicion_timeout_us() >= now_us
        })
    }

    /// Raises this node's revision above another, so that its record supersedes that one.
    pub(super) fn raise_revision_above(&mut self, revision: u32) {
        self.own.revision = revision.saturating_add(1);
        self.own_transmissions_left = self.transmissions_max();
    }

    /// Decimal logarithm of the number of members that are not dead; at least 1.
    fn log10_members(&self) -> f64 {
        (self.table.present_count() as f64).max(10.0).log10()
    }

    fn add_contact(&mut self, address: SocketAddr) {
        if address != self.own.gossip_address && !self.contacts.contains(&address) {
            self.contacts.push(address);
        }
    }

    fn set_own_state(&mut self, service: Option<ServiceName>, leaving: bool) {
        let state = if leaving {
            MemberState::Leaving
        } else {
            MemberState::Alive
        };
        if self.own.service == service && self.own.state == state {
            return;
        }
        self.own.service = service;
        self.own.state = state;
        self.raise_revision_above(self.own.revision);
    }
}
