//! Load that a gate reports on every reply and refusal.

use serde::{Deserialize, Serialize};

use super::ids::Incarnation;

/// Whether a backend server takes new work, as its gate knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerState {
    /// In its cold start: bears the cold limit, growing.
    Cold,
    /// Bears its full limit.
    Warm,
    /// Finishes what it has and takes no new work.
    Leaving,
    /// Taken out by operators, itself or its availability zone.
    Out,
    /// Not announced, or its lease lapsed.
    Absent,
}

impl ServerState {
    /// Whether new work is taken.
    pub fn takes_work(self) -> bool {
        match self {
            Self::Cold | Self::Warm => true,
            Self::Leaving | Self::Out | Self::Absent => false,
        }
    }
}

/// A gate's load at one moment. Newer reports of one incarnation have a higher sequence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Run of the node that reports.
    pub incarnation: Incarnation,
    /// Order of reports within the incarnation.
    pub sequence: u64,
    /// Requests running on the backend server.
    pub in_flight: u32,
    /// Requests waiting in the gate.
    pub queued: u32,
    /// Most requests that may run at once now.
    pub limit: u32,
    /// Smoothed time that one request runs, in µs.
    pub service_time_us: u64,
    /// Whether new work is taken.
    pub state: ServerState,
}

/// What a host's gate tells other hosts of its backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostLoad {
    /// Run of the node that reports.
    pub incarnation: Incarnation,
    /// Order of reports within the incarnation.
    pub sequence: u64,
    /// Requests running on the backend server.
    pub in_flight: u16,
    /// Requests waiting in the gate.
    pub queued: u16,
    /// Most requests that may run at once now.
    pub limit: u16,
    /// How long work takes now, in percent of its usual time.
    pub slowness_percent: u16,
    /// Age of that figure, in ms.
    pub slowness_age_ms: u16,
    /// Time after which a passing slowness is expected to end, in ms; zero if it is none.
    pub slow_left_ms: u16,
    /// Smoothed time that one request usually runs, in ms.
    pub run_ms: u16,
    /// Whether new work is taken.
    pub state: ServerState,
}
