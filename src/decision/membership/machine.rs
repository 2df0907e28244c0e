//! The membership state machine of one node.

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
use super::sync::Sync;
use super::table::{MemberTable, Record};
use super::update_queue::UpdateQueue;

/// The membership of one node.
#[derive(Debug)]
pub struct Membership {
    pub(super) own: Member,
    pub(super) own_hash: u64,
    pub(super) settings: MembershipSettings,
    pub(super) table: MemberTable,
    pub(super) queue: UpdateQueue,
    pub(super) budget: ByteBudget,
    pub(super) prober: Prober,
    pub(super) sync: Sync,
    pub(super) contacts: Vec<SocketAddr>,
    pub(super) config_version: ConfigVersion,
    /// Gossip messages still due because the own record changed.
    pub(super) own_news: u32,
    pub(super) probed_at_us: Option<u64>,
    pub(super) reconnected_at_us: u64,
    pub(super) ticked_at_us: u64,
    /// When the node last woke from a pause.
    pub(super) woke_at_us: Option<u64>,
    pub(super) behind: Option<Behind>,
}

/// A newer configuration that the runtime was told of.
#[derive(Debug, Clone, Copy)]
pub(super) struct Behind {
    pub(super) version: ConfigVersion,
    pub(super) told_at_us: u64,
}

/// What one call of the state machine works with.
pub(super) struct Turn<'a> {
    pub(super) now_us: u64,
    pub(super) draws: SplitMix64,
    pub(super) actions: &'a mut Vec<MembershipAction>,
}

impl Membership {
    /// A node that knows only itself.
    pub fn new(own: Member, settings: MembershipSettings, now_us: u64) -> Self {
        let mut membership = Self {
            own_hash: digest::name_hash(&own.server),
            own,
            settings,
            table: MemberTable::new(),
            queue: UpdateQueue::default(),
            budget: ByteBudget::new(settings.bytes_out_per_s, now_us),
            prober: Prober::default(),
            sync: Sync::default(),
            contacts: Vec::new(),
            config_version: ConfigVersion::default(),
            own_news: 0,
            probed_at_us: None,
            reconnected_at_us: now_us,
            ticked_at_us: now_us,
            woke_at_us: None,
            behind: None,
        };
        membership.own_news = membership.transmissions();
        membership
    }

    /// Every other node that is known, the dead included.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.table.records().map(|record| &record.member)
    }

    /// The record of another node; none when it is not known.
    pub fn member(&self, server: &ServerName) -> Option<&Member> {
        self.table.get(server).map(|record| &record.member)
    }

    /// The node's own record.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Takes in one event and appends what has to be done.
    ///
    /// `draw` is a fresh random number.
    pub fn handle(
        &mut self,
        event: MembershipEvent,
        now_us: u64,
        draw: u64,
        actions: &mut Vec<MembershipAction>,
    ) {
        let mut turn = Turn {
            now_us,
            draws: SplitMix64::new(draw),
            actions,
        };
        match event {
            MembershipEvent::Tick => self.tick(&mut turn),
            MembershipEvent::Received { from, message } => self.receive(from, message, &mut turn),
            MembershipEvent::Learned(member) => self.merge(member, Source::Log, &mut turn),
            MembershipEvent::Contact(address) => self.add_contact(address),
            MembershipEvent::TrafficConfirmed(server) => self.mark_heard(&server, now_us),
            MembershipEvent::OwnState { service, leaving } => self.set_own_state(service, leaving),
            MembershipEvent::ConfigVersion(version) => self.config_version = version,
        }
    }

    /// Digest of every member held as present, the node itself included.
    pub(super) fn digest(&self) -> u64 {
        self.table.digests().whole_with(&self.own, self.own_hash)
    }

    /// The same with the digest of each bucket.
    pub(super) fn digests(&self) -> Digests {
        let mut digests = self.table.digests().clone();
        digests.toggle(&self.own, self.own_hash);
        digests
    }

    /// Times that an update is sent, which grows with the logarithm of the members.
    pub(super) fn transmissions(&self) -> u32 {
        (f64::from(self.settings.transmissions) * self.tenfolds()).ceil() as u32
    }

    /// Time that a suspected member has to refute, in µs.
    pub(super) fn suspicion_us(&self) -> u64 {
        let periods = self.settings.suspicion_periods as f64 * self.tenfolds();
        (periods * self.settings.probe_period_ms as f64 * 1_000.0) as u64
    }

    /// Notes that a member answered a probe or a request itself.
    pub(super) fn mark_heard(&mut self, server: &ServerName, now_us: u64) {
        let Some(record) = self.table.get_mut(server) else {
            return;
        };
        record.heard_at_us = Some(now_us);
        if !record.member.is_present() {
            self.prober.doubt_death(server);
        }
    }

    /// Whether a member answered itself within the time that it has to refute.
    pub(super) fn was_heard_lately(&self, record: &Record, now_us: u64) -> bool {
        let heard = record.heard_at_us;
        heard.is_some_and(|heard_at_us| heard_at_us + self.suspicion_us() >= now_us)
    }

    /// Raises the own revision above another, so that the own record supersedes it.
    pub(super) fn raise_revision_above(&mut self, revision: u32) {
        self.own.revision = revision.saturating_add(1);
        self.own_news = self.transmissions();
    }

    /// Decimal logarithm of the members present, at least one.
    fn tenfolds(&self) -> f64 {
        (self.table.present() as f64).max(10.0).log10()
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
