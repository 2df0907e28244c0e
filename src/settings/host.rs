//! Settings of a node on a host of the users' platform.

use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::sync::Arc;

use serde::Deserialize;

use super::check::{Problems, parse_json, read_text};
use crate::model::names::{ServiceName, ZoneName};

/// Settings of one host. Unknown keys are ignored, since the platform adds some over time.
#[derive(Debug, Clone, Deserialize)]
pub struct HostSettings {
    /// Who this host is.
    pub host: HostIdentity,
    /// Addresses to listen on.
    pub listen: HostListeners,
    /// The backend server beside the node.
    pub backend_server: BackendServerSettings,
    /// Hosts to ask for others while the log service is away.
    #[serde(default)]
    pub contacts: Vec<SocketAddr>,
    /// The platform's log service.
    pub store: StoreSettings,
    /// What the process may use.
    pub limits: HostLimits,
    /// What operators hold the whole system to.
    pub bounds: SystemBounds,
}

/// Who a host is.
#[derive(Debug, Clone, Deserialize)]
pub struct HostIdentity {
    /// Name, for logs.
    pub name: Arc<str>,
    /// Address, the same for all listeners.
    pub ip: IpAddr,
    /// Availability zone.
    pub zone: ZoneName,
}

/// Addresses to listen on.
#[derive(Debug, Clone, Deserialize)]
pub struct HostListeners {
    /// Requests of callers and of the backend server.
    pub callers: SocketAddr,
    /// Requests of other nodes; the port is the same on all hosts.
    pub peers: SocketAddr,
    /// Questions whether callers may come.
    pub ready: SocketAddr,
    /// Announcements of the backend server.
    pub announcements: SocketAddr,
    /// UDP port of load reports, the same on all hosts.
    pub shared_port_first: u16,
}

/// The backend server beside the node.
#[derive(Debug, Clone, Deserialize)]
pub struct BackendServerSettings {
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Service of this host.
    pub service: ServiceName,
}

/// The platform's log service.
#[derive(Debug, Clone, Deserialize)]
pub struct StoreSettings {
    /// Its address.
    pub address: SocketAddr,
}

/// What the process may use.
#[derive(Debug, Clone, Deserialize)]
pub struct HostLimits {
    /// Open files and sockets at once.
    pub files_max: u64,
}

/// What operators hold the whole system to.
#[derive(Debug, Clone, Deserialize)]
pub struct SystemBounds {
    /// Longest time that a leaving backend server still gets work, in ms.
    pub drain_ms: u64,
    /// Time between SIGTERM and the end of the process, in s.
    pub grace_s: f64,
    /// Repeats per request, over all nodes.
    pub retry_ratio: f64,
    /// Window of the retry budget, in s.
    pub retry_window_s: f64,
    /// Repeats in one window besides, over all nodes.
    pub retry_slack: f64,
    /// Health checks of one backend server per second.
    pub probes_per_s: f64,
}

/// Reads and checks the settings of a host.
///
/// # Errors
/// [`Problems`] says what does not fit; a file that cannot be read is one problem.
pub fn read(path: &Path) -> Result<HostSettings, Problems> {
    let settings: HostSettings = parse_json(&read_text(path)?)?;
    let problems = settings.check();
    if problems.is_empty() {
        Ok(settings)
    } else {
        Err(problems)
    }
}

/// Fewest files and sockets that a node can work with.
const FILES_MIN: u64 = 256;

impl HostSettings {
    /// Finds values that cannot be.
    fn check(&self) -> Problems {
        let mut problems = Problems::default();
        let mut check_positive = |path: &str, value: f64| {
            if !(value.is_finite() && value > 0.0) {
                problems.add(path, value, "a number above zero");
            }
        };
        check_positive("bounds.grace_s", self.bounds.grace_s);
        check_positive("bounds.retry_window_s", self.bounds.retry_window_s);
        check_positive("bounds.probes_per_s", self.bounds.probes_per_s);
        let mut check_not_negative = |path: &str, value: f64| {
            if !(value.is_finite() && value >= 0.0) {
                problems.add(path, value, "zero or more");
            }
        };
        check_not_negative("bounds.retry_ratio", self.bounds.retry_ratio);
        check_not_negative("bounds.retry_slack", self.bounds.retry_slack);
        problems.check_range(
            "limits.files_max",
            self.limits.files_max,
            FILES_MIN..=u64::MAX,
        );
        let port = u64::from(self.listen.shared_port_first);
        problems.check_range("listen.shared_port_first", port, 1..=u64::from(u16::MAX));
        problems
    }
}
