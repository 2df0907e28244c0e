//! Lines of the event log about the attempts of requests at hosts.

use std::fmt::Display;
use std::net::IpAddr;

use crate::host::observe::events::EventLog;
use crate::host::observe::log_writer::LinePriority;
use crate::host::observe::request_lines::{FailedAttempt, host_label};
use crate::host::peers::awaited_call::Silence;
use crate::model::names::ServiceName;

impl EventLog {
    /// Logs and counts a failed attempt.
    pub fn attempt_failed(&self, attempt: &FailedAttempt<'_>) {
        let failure = attempt.failure;
        self.count(&format!("misses{{reason=\"{}\"}}", failure.reason.as_str()));
        self.write(
            LinePriority::Notable,
            "missed",
            serde_json::json!({
                "id": attempt.id,
                "service": attempt.service.as_str(),
                "step": attempt.step,
                "reason": failure.reason.as_str(),
                "not_run": failure.is_not_run(),
                "arrived": failure.arrived,
                "inputs": attempt.inputs,
                "config_version": attempt.config_version,
            }),
        );
    }

    /// Logs and counts a further attempt at another host.
    pub fn retried(&self, id: &str, from: Option<IpAddr>, to: Option<IpAddr>, arrivals: u32) {
        self.count("retries");
        self.write(
            LinePriority::Notable,
            "retried",
            serde_json::json!({
                "id": id, "from": host_label(from), "to": host_label(to), "arrivals": arrivals,
            }),
        );
    }

    /// Logs and counts a retry for which the budget of the service is spent.
    pub fn retry_denied(&self, id: &str, service: &ServiceName) {
        self.count("retries_denied");
        self.write(
            LinePriority::Notable,
            "retry-denied",
            serde_json::json!({ "id": id, "service": service.as_str() }),
        );
    }

    /// Logs and counts a request that is not tried again since it has reached as many backend
    /// servers as its route allows.
    pub fn attempts_spent(&self, id: &str, service: &ServiceName, arrivals: u32) {
        self.count("attempts_spent");
        self.write(
            LinePriority::Notable,
            "attempts-spent",
            serde_json::json!({ "id": id, "service": service.as_str(), "arrivals": arrivals }),
        );
    }

    /// Logs and counts a failed connection to another node.
    pub fn peer_lost(&self, id: &str, peer: IpAddr, error: &impl Display) {
        self.count("peer_connections_lost");
        self.write(
            LinePriority::Notable,
            "peer-lost",
            serde_json::json!({
                "id": id, "peer": peer, "error": error.to_string(),
            }),
        );
    }

    /// Logs and counts that nothing is heard of a request at another node, whose answer is awaited.
    pub fn peer_silent(&self, id: &str, peer: IpAddr, silence: &Silence) {
        let (what, error, unheard_ms) = match silence {
            Silence::Connection { error, unheard_for } => (
                "connection",
                Some(error.to_string()),
                Some(unheard_for.as_millis() as u64),
            ),
            Silence::Peer => ("peer", None, None),
            Silence::Outcome => ("outcome", None, None),
        };
        self.count(&format!("silences{{of=\"{what}\"}}"));
        self.write(
            LinePriority::Notable,
            "peer-silent",
            serde_json::json!({
                "id": id, "peer": peer, "of": what, "error": error, "unheard_ms": unheard_ms,
            }),
        );
    }
}
