//! Configuration of the hosts: routes, services, and what callers may send.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use super::names::ServiceName;
use super::request::Effect;

/// One service that a route leads to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: ServiceName,
    /// Its share of the route's requests, relative to the other targets.
    pub weight: u32,
}

/// How the requests of one host name and path prefix are treated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name, unique in the configuration.
    pub name: Arc<str>,
    /// Host name that requests bear.
    pub host: Arc<str>,
    /// Prefix of the paths; begins and ends with a slash.
    pub path_prefix: Arc<str>,
    /// Whether a request may run twice.
    pub effect: Effect,
    /// Longest time that a caller is kept waiting, in µs.
    pub timeout_us: u64,
    /// Time within which an answer is worth most to the caller, in µs.
    pub objective_us: u64,
    /// Urgency; 0 is the most urgent.
    pub rank: u8,
    /// Services, at least one.
    pub targets: Vec<Target>,
    /// Most backend servers that one request may be sent to.
    pub servers_max: u32,
}

/// What backend servers of one service bear.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceBounds {
    /// Path of the health endpoint.
    pub health_path: Arc<str>,
    /// Open connections at once, from all hosts.
    pub connections_max: u32,
    /// Requests per second that a cold one bears.
    pub cold_requests_per_s: f64,
}

/// What callers may send, and how slowly.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerBounds {
    /// Longest head of a request, in bytes.
    pub head_bytes_max: usize,
    /// Longest body of a request, in bytes.
    pub body_bytes_max: usize,
    /// Longest time to send a head, in ms.
    pub head_timeout_ms: u64,
    /// Longest time that a connection stays idle, in ms.
    pub idle_timeout_ms: u64,
}

impl Default for CallerBounds {
    fn default() -> Self {
        Self {
            head_bytes_max: 16 << 10,
            body_bytes_max: 16 << 20,
            head_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// One version of the configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct HostConfig {
    /// Grows with every change, by uneven steps.
    pub version: u64,
    /// Services by name.
    pub services: HashMap<ServiceName, ServiceBounds>,
    /// What callers may send.
    pub callers: CallerBounds,
    routes: HashMap<Arc<str>, HashMap<Arc<str>, Arc<Route>>>,
}

impl HostConfig {
    /// Makes a configuration; of two routes with the same host and prefix the first holds.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: HashMap<ServiceName, ServiceBounds>,
        callers: CallerBounds,
    ) -> Self {
        let mut by_host: HashMap<Arc<str>, HashMap<Arc<str>, Arc<Route>>> = HashMap::new();
        for route in routes {
            let prefixes = by_host.entry(Arc::clone(&route.host)).or_default();
            let prefix = Arc::clone(&route.path_prefix);
            prefixes.entry(prefix).or_insert_with(|| Arc::new(route));
        }
        Self {
            version,
            services,
            callers,
            routes: by_host,
        }
    }

    /// The route of `host` with the longest prefix of `path`, which may bear a query.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let prefixes = self.routes.get(host)?;
        let path = path.split('?').next().unwrap_or(path);
        let mut ends = path.rmatch_indices('/').map(|(at, _slash)| at + 1);
        ends.find_map(|end| prefixes.get(&path[..end]))
    }

    /// Names of all routes.
    pub fn route_names(&self) -> HashSet<&str> {
        let routes = self.routes.values().flat_map(HashMap::values);
        routes.map(|route| &*route.name).collect()
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(HashMap::len).sum()
    }
}
