//! Settings file that the platform writes for the node on each of its hosts.

use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::sync::Arc;

use serde::Deserialize;

use super::check::{Problems, parse_json, read_text};
use crate::model::names::{ServiceName, ZoneName};

/// Settings of one host.
///
/// Unknown keys are ignored because the platform adds keys over time.
#[derive(Debug, Clone, Deserialize)]
pub struct HostSettings {
    /// Name and location of this host.
    pub host: HostIdentity,
    /// Addresses to listen on.
    pub listen: HostListeners,
    /// The backend server on this host.
    pub backend_server: BackendServerSettings,
    /// Hosts to ask for other hosts while the log service is unavailable.
    #[serde(default)]
    pub contacts: Vec<SocketAddr>,
    /// The platform's log service.
    pub store: StoreSettings,
    /// Resource limits of the process.
    pub limits: HostLimits,
    /// Limits that operators set for the whole system.
    pub bounds: SystemBounds,
}

/// Name, address and availability zone of a host.
#[derive(Debug, Clone, Deserialize)]
pub struct HostIdentity {
    /// Name, used in logs.
    pub name: Arc<str>,
    /// IP address shared by all listeners.
    pub ip: IpAddr,
    /// Availability zone.
    pub zone: ZoneName,
    /// Whether the whole system starts for the first time; false by default.
    #[serde(default)]
    pub first_start: bool,
}

/// Addresses to listen on.
#[derive(Debug, Clone, Deserialize)]
pub struct HostListeners {
    /// Requests from callers and from the backend server.
    pub callers: SocketAddr,
    /// Requests from other nodes; the port is the same on all hosts.
    pub peers: SocketAddr,
    /// Readiness checks: whether callers may connect.
    pub ready: SocketAddr,
    /// Announcements of the backend server.
    pub announcements: SocketAddr,
    /// UDP port for load reports, the same on all hosts.
    pub shared_port_first: u16,
}

/// The backend server on this host.
#[derive(Debug, Clone, Deserialize)]
pub struct BackendServerSettings {
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Service that it provides.
    pub service: ServiceName,
}

/// The platform's log service.
#[derive(Debug, Clone, Deserialize)]
pub struct StoreSettings {
    /// Address of the log service.
    pub address: SocketAddr,
}

/// Resource limits of the process.
#[derive(Debug, Clone, Deserialize)]
pub struct HostLimits {
    /// Maximum number of open files and sockets.
    pub files_max: u64,
    /// Memory that the process may use, in MB.
    #[serde(default = "memory_mb_default")]
    pub memory_mb: u64,
}

/// Memory of the smallest host, in MB.
fn memory_mb_default() -> u64 {
    160
}

/// Limits that operators set for the whole system.
#[derive(Debug, Clone, Deserialize)]
pub struct SystemBounds {
    /// Maximum time for which a leaving backend server still gets work, in ms.
    pub drain_ms: u64,
    /// Time between SIGTERM and the end of the process, in s.
    pub grace_s: f64,
    /// Maximum retries per request, over all nodes.
    pub retry_ratio: f64,
    /// Window of the retry budget, in s.
    pub retry_window_s: f64,
    /// Additional retries per window, over all nodes.
    pub retry_slack: f64,
    /// Maximum rate of health checks of one backend server, per second.
    pub probes_per_s: f64,
    /// Factor on the request rate that a cold backend server states, one or more.
    pub cold_overage: f64,
    /// Additional requests in any second that a cold backend server bears.
    pub cold_slack: f64,
    /// Maximum part of a service's requests that a version on trial gets; no roll-outs without it.
    #[serde(default)]
    pub expose_share: Option<f64>,
    /// Time after which a revoked key must not be accepted anywhere, in ms; not bounded without it.
    #[serde(default)]
    pub revoke_ms: Option<u64>,
    /// How exactly the quotas of branches must be kept; they are not limited without it.
    #[serde(default)]
    pub quota: Option<QuotaBounds>,
}

/// How exactly the quotas of branches must be kept, over all nodes.
#[derive(Debug, Clone, Copy, Deserialize)]
pub struct QuotaBounds {
    /// Length of the windows in which requests are counted, in s.
    pub window_s: f64,
    /// Part of the quota by which it may be exceeded.
    pub overage: f64,
    /// Requests in a window by which it may be exceeded besides.
    pub slack: f64,
}

/// Reads and checks the settings of a host.
///
/// # Errors
/// [`Problems`] lists the invalid settings; a file that cannot be read is one problem.
pub fn read(path: &Path) -> Result<HostSettings, Problems> {
    let settings: HostSettings = parse_json(&read_text(path)?)?;
    let problems = settings.check();
    if problems.is_empty() {
        Ok(settings)
    } else {
        Err(problems)
    }
}

/// Fewest open files and sockets that a node needs.
const FILES_MIN: u64 = 256;

/// Least memory that a node needs, in MB.
const MEMORY_MB_MIN: u64 = 48;

impl HostSettings {
    /// Finds values outside their allowed ranges.
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
        check_not_negative("bounds.cold_slack", self.bounds.cold_slack);
        if !(self.bounds.cold_overage.is_finite() && self.bounds.cold_overage >= 1.0) {
            let value = self.bounds.cold_overage;
            problems.add("bounds.cold_overage", value, "a number of one or more");
        }
        problems.check_range(
            "limits.files_max",
            self.limits.files_max,
            FILES_MIN..=u64::MAX,
        );
        problems.check_range(
            "limits.memory_mb",
            self.limits.memory_mb,
            MEMORY_MB_MIN..=u64::MAX,
        );
        if let Some(share) = self.bounds.expose_share
            && !(share > 0.0 && share <= 1.0)
        {
            problems.add(
                "bounds.expose_share",
                share,
                "a number above zero, at most one",
            );
        }
        if let Some(quota) = self.bounds.quota {
            check_quota(&mut problems, &quota);
        }
        let port = u64::from(self.listen.shared_port_first);
        problems.check_range("listen.shared_port_first", port, 1..=u64::from(u16::MAX));
        problems
    }
}

fn check_quota(problems: &mut Problems, quota: &QuotaBounds) {
    if !(quota.window_s.is_finite() && quota.window_s > 0.0) {
        problems.add(
            "bounds.quota.window_s",
            quota.window_s,
            "a number above zero",
        );
    }
    for (path, value) in [
        ("bounds.quota.overage", quota.overage),
        ("bounds.quota.slack", quota.slack),
    ] {
        if !(value.is_finite() && value >= 0.0) {
            problems.add(path, value, "zero or more");
        }
    }
}
