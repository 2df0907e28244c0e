//! One node as the others know it, and which of two records is newer.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::model::ids::Incarnation;
use crate::model::names::{ServerName, ServiceName, ZoneName};

/// Whether a node is there. Of one revision, a later state outranks an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum MemberState {
    /// Answers probes.
    Alive,
    /// Missed a probe and has not yet refuted it.
    Suspect,
    /// Said that it is leaving; takes no new work.
    Leaving,
    /// Did not refute a suspicion in time.
    Dead,
}

/// One node as the others know it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Backend server and node.
    pub server: ServerName,
    /// Run of the node.
    pub incarnation: Incarnation,
    /// Address for requests from peer nodes.
    pub peer_address: SocketAddr,
    /// Address for membership datagrams.
    pub gossip_address: SocketAddr,
    /// Region of the availability zone.
    pub region: Arc<str>,
    /// Availability zone.
    pub zone: ZoneName,
    /// Service of the backend server; none while it is not announced.
    pub service: Option<ServiceName>,
    /// Whether it is there.
    pub state: MemberState,
    /// Raised by the node itself when it refutes, changes or replaces an earlier run.
    pub revision: u32,
}

impl Member {
    /// Whether this record is newer than another of the same node.
    ///
    /// Incarnations are random and have no order in time, so the revision goes first: a new run
    /// raises it above that of any earlier run it hears of. Between runs of one revision the
    /// larger incarnation wins until the live run raises its own.
    pub fn supersedes(&self, other: &Self) -> bool {
        if self.revision != other.revision {
            return self.revision > other.revision;
        }
        if self.incarnation != other.incarnation {
            return self.incarnation > other.incarnation;
        }
        self.state > other.state
    }

    /// Whether it may be probed and gossiped to.
    pub fn is_present(&self) -> bool {
        self.state != MemberState::Dead
    }
}
