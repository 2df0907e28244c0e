//! Events and actions of the membership state machine.

use std::net::SocketAddr;

use crate::model::ids::ConfigVersion;
use crate::model::names::{ServerName, ServiceName};

use super::member::Member;
use super::message::Message;

/// What happens to the membership of one node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipEvent {
    /// The tick interval of the settings has passed.
    Tick,
    /// A datagram came in and was found genuine.
    Received {
        /// Address that it came from.
        from: SocketAddr,
        /// What it says.
        message: Message,
    },
    /// A member was read from the log.
    ReadFromLog(Member),
    /// A membership address was read from the settings.
    Contact(SocketAddr),
    /// A peer node answered a request just now.
    PeerResponded(ServerName),
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
    NewerConfig {
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
