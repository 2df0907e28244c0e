//! The membership state machine of one node.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::model::ids::ConfigVersion;
use crate::model::names::{ServerName, ServiceName};

use super::member::{Member, MemberState};
use super::message::{Body, Message};
use super::settings::MembershipSettings;

/// What happens to the membership of one node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipEvent {
    /// The tick interval has passed.
    Tick,
    /// A datagram came in and was found genuine.
    Received {
        /// Address that it came from.
        from: SocketAddr,
        /// What it says.
        message: Message,
    },
    /// A member was read from the log.
    Learned(Member),
    /// A membership address was read from the settings.
    Contact(SocketAddr),
    /// A peer node answered a request just now.
    TrafficConfirmed(ServerName),
    /// The own backend server or the node's own state changed.
    OwnState {
        /// Service announced; none when the backend server is not announced.
        service: Option<ServiceName>,
        /// Whether the node is leaving.
        leaving: bool,
    },
    /// The node holds a newer configuration.
    ConfigVersion(ConfigVersion),
}

/// What the runtime has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipAction {
    /// Send a datagram.
    Send {
        /// Membership address of the receiver.
        to: SocketAddr,
        /// What to say.
        message: Message,
    },
    /// The record of another member changed.
    Changed(Member),
    /// A peer holds a newer configuration; ask it.
    ConfigBehind {
        /// Address for requests between nodes.
        peer: SocketAddr,
        /// Version that the peer holds.
        version: ConfigVersion,
    },
    /// This node was paused and another run has taken its name; it should stop.
    Replaced {
        /// The other run.
        by: Member,
    },
}

/// The membership of one node.
#[derive(Debug)]
pub struct Membership {
    own: Member,
    settings: MembershipSettings,
    others: BTreeMap<ServerName, Member>,
    contacts: Vec<SocketAddr>,
    config_version: ConfigVersion,
    probed_at_us: u64,
}

impl Membership {
    /// A node that knows only itself.
    pub fn new(own: Member, settings: MembershipSettings, now_us: u64) -> Self {
        Self {
            own,
            settings,
            others: BTreeMap::new(),
            contacts: Vec::new(),
            config_version: ConfigVersion::default(),
            probed_at_us: now_us,
        }
    }

    /// Every other node that is known, the dead included.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.others.values()
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
        match event {
            MembershipEvent::Tick => self.tick(now_us, draw, actions),
            MembershipEvent::Received { from, message } => self.receive(from, message, actions),
            MembershipEvent::Learned(member) => self.merge(member, actions),
            MembershipEvent::Contact(address) => self.contacts.push(address),
            MembershipEvent::TrafficConfirmed(_) => {}
            MembershipEvent::OwnState { service, leaving } => {
                self.own.service = service;
                self.own.state = if leaving {
                    MemberState::Leaving
                } else {
                    MemberState::Alive
                };
                self.own.revision += 1;
            }
            MembershipEvent::ConfigVersion(version) => self.config_version = version,
        }
    }

    fn tick(&mut self, now_us: u64, draw: u64, actions: &mut Vec<MembershipAction>) {
        if now_us - self.probed_at_us < self.settings.probe_period_ms * 1_000 {
            return;
        }
        self.probed_at_us = now_us;
        let known = self.others.values().map(|member| member.gossip_address);
        let targets: Vec<_> = known.chain(self.contacts.iter().copied()).collect();
        let Some(index) = (draw as usize).checked_rem(targets.len()) else {
            return;
        };
        self.send(targets[index], Body::Ping { nonce: draw }, actions);
    }

    fn receive(&mut self, from: SocketAddr, message: Message, actions: &mut Vec<MembershipAction>) {
        if message.config_version > self.config_version {
            actions.push(MembershipAction::ConfigBehind {
                peer: message.sender.peer_address,
                version: message.config_version,
            });
        }
        self.merge(message.sender, actions);
        for member in message.updates {
            self.merge(member, actions);
        }
        if let Body::Ping { nonce } = message.body {
            self.send(from, Body::Ack { nonce }, actions);
        }
    }

    fn merge(&mut self, member: Member, actions: &mut Vec<MembershipAction>) {
        if member.server == self.own.server {
            return;
        }
        let held = self.others.get(&member.server);
        if held.is_some_and(|held| !member.supersedes(held)) {
            return;
        }
        self.others.insert(member.server.clone(), member.clone());
        actions.push(MembershipAction::Changed(member));
    }

    fn send(&self, to: SocketAddr, body: Body, actions: &mut Vec<MembershipAction>) {
        let updates = self.others.values().take(16).cloned().collect();
        let message = Message {
            sender: self.own.clone(),
            config_version: self.config_version,
            digest: 0,
            body,
            updates,
        };
        actions.push(MembershipAction::Send { to, message });
    }
}
