//! Record of one node, and the order of two records of the same node.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::model::ids::Incarnation;
use crate::model::names::{ServerName, ServiceName, ZoneName};

/// Liveness state of a node.
///
/// Among records of the same revision and incarnation, a later variant supersedes an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum MemberState {
    /// Answers probes.
    Alive,
    /// Did not answer a probe and has not refuted the suspicion yet.
    Suspect,
    /// Announced that it is leaving; accepts no new work.
    Leaving,
    /// Did not refute a suspicion before its timeout.
    Dead,
}

/// Record of one node, as exchanged between nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Name shared by the backend server and its node.
    pub server: ServerName,
    /// Identifies one run of the node process.
    pub incarnation: Incarnation,
    /// Address that accepts requests from peer nodes.
    pub peer_address: SocketAddr,
    /// UDP address for membership datagrams.
    pub gossip_address: SocketAddr,
    /// Region of the availability zone.
    pub region: Arc<str>,
    /// Availability zone.
    pub zone: ZoneName,
    /// Service of the backend server; `None` while the server is not announced.
    pub service: Option<ServiceName>,
    /// Liveness state.
    pub state: MemberState,
    /// Version of the record; SWIM calls it the incarnation number.
    ///
    /// Only the node itself raises it: to refute a suspicion, to publish a change, or to supersede
    /// an earlier run.
    pub revision: u32,
}

impl Member {
    /// Whether this record is newer than another record of the same node.
    ///
    /// Incarnations are random and say nothing about time, so revisions are compared first: a new
    /// run raises its revision above that of any earlier run it learns of. If two runs have the
    /// same revision, the larger incarnation wins until the live run raises its revision.
    pub fn supersedes(&self, other: &Self) -> bool {
        if self.revision != other.revision {
            return self.revision > other.revision;
        }
        if self.incarnation != other.incarnation {
            return self.incarnation > other.incarnation;
        }
        self.state > other.state
    }

    /// Whether the node is not dead, so that it is probed and receives gossip.
    pub fn is_present(&self) -> bool {
        self.state != MemberState::Dead
    }
}
