//! What a backend server ran and saw: the evidence for the oracle.

use serde::{Deserialize, Serialize};

use super::boot::{Boot, BootId};
use super::run_counts::RunCounts;
use super::server::Server;

/// Which runs a witness lists one by one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum WitnessDetail {
    /// Every request id and key.
    #[default]
    All,
    /// Those that ran more than once.
    Repeated,
    /// None; totals alone.
    Totals,
}

impl WitnessDetail {
    /// Name in a query.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::All => "all",
            Self::Repeated => "repeated",
            Self::Totals => "totals",
        }
    }

    /// Reads the detail from its name in a query.
    pub fn parse(name: &str) -> Option<Self> {
        match name {
            "all" => Some(Self::All),
            "repeated" => Some(Self::Repeated),
            "totals" => Some(Self::Totals),
            _ => None,
        }
    }

    /// Whether an entry with this many runs is listed.
    pub(super) fn lists(self, runs: u32) -> bool {
        match self {
            Self::All => true,
            Self::Repeated => runs > 1,
            Self::Totals => false,
        }
    }
}

/// Runs of one request id.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestRuns {
    /// Request id as received.
    pub request_id: String,
    /// Runs started.
    pub runs: u32,
}

/// Runs of one key of a non-idempotent request.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyRuns {
    /// Key as received.
    pub idempotency_key: String,
    /// Runs started.
    pub runs: u32,
}

/// Runs and load of one boot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BootRuns {
    /// Identity of the boot.
    pub boot_id: BootId,
    /// Runs started.
    pub runs: u64,
    /// Most requests in flight.
    pub in_flight_max: u64,
    /// Most requests in flight while cold.
    pub cold_in_flight_max: u64,
    /// Runs started beyond what it bears while cold.
    pub overloaded_cold: u64,
}

impl From<&Boot> for BootRuns {
    fn from(boot: &Boot) -> Self {
        Self {
            boot_id: boot.id,
            runs: boot.runs.get(),
            in_flight_max: boot.in_flight.peak(),
            cold_in_flight_max: boot.cold_in_flight_max(),
            overloaded_cold: boot.overloaded_cold.get(),
        }
    }
}

/// Everything that a backend server ran and saw.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Witness {
    /// Name of the backend server.
    pub server: String,
    /// Service that it belongs to.
    pub service: String,
    /// Runs started, over all boots.
    pub runs: u64,
    /// Runs of requests without id.
    pub runs_without_id: u64,
    /// Request ids that ran more than once.
    pub requests_repeated: u64,
    /// Keys that ran more than once.
    pub keys_repeated: u64,
    /// Runs per request id, sorted.
    pub runs_by_request: Vec<RequestRuns>,
    /// Runs per key, sorted.
    pub runs_by_key: Vec<KeyRuns>,
    /// Runs and load per boot, the first one first.
    pub boots: Vec<BootRuns>,
    /// Requests in flight now.
    pub in_flight: u64,
    /// Most requests in flight at once.
    pub in_flight_max: u64,
    /// Most requests in flight at once while cold.
    pub cold_in_flight_max: u64,
    /// Runs started beyond what it bears while cold.
    pub overloaded_cold: u64,
    /// Connections open at once at most, those for control left out.
    pub connections_peak: u64,
    /// Connections cut beyond the cap.
    pub connections_refused: u64,
    /// Probes of health.
    pub health_probes: u64,
    /// Probes of load.
    pub load_probes: u64,
    /// Requests shed as not run.
    pub shed: u64,
    /// Runs that failed at once.
    pub failed_fast: u64,
    /// Runs cancelled by a closed connection.
    pub cancelled: u64,
    /// Runs that ended at their deadline.
    pub deadline_passed: u64,
    /// Answers given to another request.
    pub crossed: u64,
    /// Answers that broke off.
    pub truncated: u64,
    /// Whether a run was started after it began to leave.
    pub ran_after_leaving: bool,
    /// Runs started after it began to leave.
    pub runs_after_leaving: u64,
    /// Time between leaving and the last such run, in ms.
    pub last_run_after_leaving_ms: Option<u64>,
}

impl Witness {
    /// Reads all counts. Exact once no request is in flight.
    pub(super) fn gather(server: &Server, runs: &RunCounts, detail: WitnessDetail) -> Self {
        let counters = server.counters();
        let boots: Vec<BootRuns> = server
            .boots()
            .iter()
            .map(|boot| boot.as_ref().into())
            .collect();
        let last_run_after = server.last_run_after_leaving();
        Self {
            server: server.settings().name.clone(),
            service: server.settings().service.clone(),
            runs: boots.iter().map(|boot| boot.runs).sum(),
            runs_without_id: counters.runs_without_id.get(),
            requests_repeated: runs.requests_repeated(),
            keys_repeated: runs.keys_repeated(),
            runs_by_request: runs.list_requests(detail),
            runs_by_key: runs.list_keys(detail),
            in_flight: server.boot().in_flight.now(),
            in_flight_max: highest(&boots, |boot| boot.in_flight_max),
            cold_in_flight_max: highest(&boots, |boot| boot.cold_in_flight_max),
            overloaded_cold: boots.iter().map(|boot| boot.overloaded_cold).sum(),
            boots,
            connections_peak: counters.connections.peak(),
            connections_refused: counters.connections_refused.get(),
            health_probes: counters.health_probes.get(),
            load_probes: counters.load_probes.get(),
            shed: counters.shed.get(),
            failed_fast: counters.failed_fast.get(),
            cancelled: counters.cancelled.get(),
            deadline_passed: counters.deadline_passed.get(),
            crossed: counters.crossed.get(),
            truncated: counters.truncated.get(),
            ran_after_leaving: counters.runs_after_leaving.get() > 0,
            runs_after_leaving: counters.runs_after_leaving.get(),
            last_run_after_leaving_ms: last_run_after.map(|after| after.as_millis() as u64),
        }
    }
}

fn highest(boots: &[BootRuns], value: impl Fn(&BootRuns) -> u64) -> u64 {
    boots.iter().map(value).max().unwrap_or(0)
}
