//! Load reports that a gate attaches to every reply and refusal.

use serde::{Deserialize, Serialize};

use super::ids::Incarnation;
use super::units::US_PER_MS;

/// State of a backend server, as known to its gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerState {
    /// In its cold start: accepts requests up to a growing limit.
    Cold,
    /// Accepts requests up to its full limit.
    Warm,
    /// Finishes its current requests and accepts no new ones.
    Leaving,
    /// Taken out of service by operators, alone or with its availability zone.
    Out,
    /// Not announced, or its lease has expired.
    Absent,
}

impl ServerState {
    /// Whether new requests are accepted.
    pub fn takes_work(self) -> bool {
        match self {
            Self::Cold | Self::Warm => true,
            Self::Leaving | Self::Out | Self::Absent => false,
        }
    }
}

/// Load of a gate at one moment.
///
/// Newer reports of the same incarnation have a higher sequence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Incarnation of the reporting node.
    pub incarnation: Incarnation,
    /// Sequence number of the report within the incarnation.
    pub sequence: u64,
    /// Requests running on the backend server.
    pub in_flight: u32,
    /// Requests waiting in the gate.
    pub queued: u32,
    /// Current limit on concurrent requests.
    pub limit: u32,
    /// Smoothed service time of a request, in µs.
    pub service_time_us: u64,
    /// State of the backend server.
    pub state: ServerState,
}

/// Load of a host's backend server, as its gate reports it to other hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostLoad {
    /// Incarnation of the reporting node.
    pub incarnation: Incarnation,
    /// Sequence number of the report within the incarnation.
    pub sequence: u64,
    /// Requests running on the backend server.
    pub in_flight: u16,
    /// Requests waiting in the gate.
    pub queued: u16,
    /// Concurrent requests that the backend server can sustain now.
    pub limit: u16,
    /// Current run time, in percent of the usual run time.
    pub slowness_percent: u16,
    /// Age of `slowness_percent`, in ms.
    pub slowness_age_ms: u16,
    /// Delay of work that is held until a temporary slowdown ends, in ms; zero if there is none.
    pub hold_ms: u16,
    /// Smoothed usual run time of a request, in ms.
    pub run_ms: u16,
    /// State of the backend server.
    pub state: ServerState,
}

/// Pace at which requests start at a backend server that names a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartPace {
    /// Time between two requests, in ms.
    pub interval_ms: u32,
    /// Time until the next further request may start, in ms.
    pub wait_ms: u32,
}

impl StartPace {
    /// Returns the pace as it is after a time, in µs, in which nothing was sent.
    #[must_use]
    pub fn after(self, passed_us: u64) -> Self {
        let less_ms = u32::try_from(passed_us / US_PER_MS).unwrap_or(u32::MAX);
        Self {
            wait_ms: self.wait_ms.saturating_sub(less_ms),
            ..self
        }
    }
}
