//! Events and actions of the membership state machine.

use std::net::SocketAddr;

use crate::model::ids::ConfigVersion;
use crate::model::names::{ServerName, ServiceName};

use super::member::Member;
use super::message::Message;

/// Input of a node's membership state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipEvent {
    /// The tick interval of the settings has passed.
    Tick,
    /// A datagram arrived and its tag was valid.
    Received {
        /// Source address of the datagram.
        from: SocketAddr,
        /// Decoded content.
        message: Message,
    },
    /// A member's record was read from the log.
    ReadFromLog(Member),
    /// Membership address of a contact, from the settings.
    Contact(SocketAddr),
    /// A peer node has just answered a request.
    PeerResponded(ServerName),
    /// The state of this node or of its backend server changed.
    OwnState {
        /// Announced service; `None` when the backend server is not announced.
        service: Option<ServiceName>,
        /// Whether this node is leaving.
        leaving: bool,
    },
    /// This node now has a newer configuration version.
    ConfigVersion(ConfigVersion),
}

/// Output of the state machine, which the runtime carries out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipAction {
    /// Send a message as one datagram.
    Send {
        /// Membership address of the receiver.
        to: SocketAddr,
        /// Content of the datagram.
        message: Message,
    },
    /// Another member's record was added or changed.
    Changed(Member),
    /// A peer has a newer configuration, which should be fetched from it.
    NewerConfig {
        /// The peer's address for requests between nodes.
        peer: SocketAddr,
        /// Configuration version of the peer.
        version: ConfigVersion,
    },
    /// Another run took over this node's name during a pause.
    ///
    /// This run should stop.
    Replaced {
        /// Record of the other run.
        by: Member,
    },
}
