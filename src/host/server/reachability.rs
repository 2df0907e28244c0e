//! Whether the local backend server accepts connections.

use std::io::ErrorKind;

use super::crashes;
use crate::decision::host::gate::HostGate;
use crate::host::context::Host;

/// Records that no connection to the backend server can be opened; logs the first failure.
pub fn record_unreachable(host: &Host, error: &std::io::Error) {
    let nothing_listens = error.kind() == ErrorKind::ConnectionRefused;
    let is_new = host.gate.with(|gate| {
        if nothing_listens {
            gate.observe_no_listener();
        } else {
            gate.observe_no_answer();
        }
        gate.set_unreachable(true)
    });
    if nothing_listens {
        crashes::nothing_listens(host);
    }
    host.events.server_unreachable(error, is_new);
}

/// Records that a health check was sent, or could not be, and got no answer.
pub fn record_no_answer(host: &Host) {
    host.gate.with(HostGate::observe_no_answer);
}

/// Records that the backend server answers; logs when it becomes reachable again.
pub fn record_reachable(host: &Host) {
    if host.gate.with(|gate| gate.set_unreachable(false)) {
        host.events
            .state_changed("server-reachable", serde_json::json!({}));
    }
}
