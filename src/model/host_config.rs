//! Configuration of the hosts: routes, services and limits on callers.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use super::branch::Branches;
use super::names::ServiceName;
use super::request::Effect;

/// A service to which a route sends requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: ServiceName,
    /// Its share of the route's requests, relative to the other targets.
    pub weight: u32,
}

/// Rules for the requests of one host name and path prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name, unique in the configuration.
    pub name: Arc<str>,
    /// Host name of the requests.
    pub host: Arc<str>,
    /// Prefix of the paths; starts and ends with a slash.
    pub path_prefix: Arc<str>,
    /// Whether a request may run twice.
    pub effect: Effect,
    /// Maximum time that a caller waits, in µs.
    pub timeout_us: u64,
    /// Target latency, in µs; an answer within it has full value to the caller.
    pub objective_us: u64,
    /// Urgency; 0 is the most urgent.
    pub rank: u8,
    /// Services that receive the requests, at least one.
    pub targets: Vec<Target>,
    /// Maximum number of backend servers to which one request may be sent.
    pub servers_max: u32,
    /// Whether requests need no key where branches have keys.
    pub public: bool,
}

/// Limits of the backend servers of one service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceBounds {
    /// Path of the health endpoint.
    pub health_path: Arc<str>,
    /// Maximum number of open connections, from all hosts together.
    pub connections_max: u32,
    /// Requests per second that a cold backend server can handle.
    pub cold_requests_per_s: f64,
}

/// Limits on the size and duration of callers' requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerBounds {
    /// Maximum size of a request head, in bytes.
    pub head_bytes_max: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes_max: usize,
    /// Maximum time to receive a request head, in ms.
    pub head_timeout_ms: u64,
    /// Maximum time that a connection may be idle, in ms.
    pub idle_timeout_ms: u64,
}

impl Default for CallerBounds {
    /// Limits until a configuration is known: wide, since any configuration may follow, and every
    /// request is refused anyway.
    fn default() -> Self {
        Self {
            head_bytes_max: 64 << 10,
            body_bytes_max: 16 << 20,
            head_timeout_ms: 10_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// One version of the configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct HostConfig {
    /// Increases with every change, not necessarily by one.
    pub version: u64,
    /// Services by name.
    pub services: HashMap<ServiceName, ServiceBounds>,
    /// Limits on callers' requests.
    pub callers: CallerBounds,
    /// Branches with keys; without them requests need none.
    pub branches: Option<Branches>,
    routes: HashMap<Arc<str>, HashMap<Arc<str>, Arc<Route>>>,
}

impl HostConfig {
    /// Creates a configuration; the first of several routes with equal host and prefix wins.
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
            branches: None,
            routes: by_host,
        }
    }

    /// The same configuration with branches.
    #[must_use]
    pub fn with_branches(self, branches: Option<Branches>) -> Self {
        Self { branches, ..self }
    }

    /// Returns the route of `host` whose prefix is the longest match.
    ///
    /// A query in `path` is ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let prefixes = self.routes.get(host)?;
        let path = path.split('?').next().unwrap_or(path);
        let mut ends = path.rmatch_indices('/').map(|(at, _slash)| at + 1);
        ends.find_map(|end| prefixes.get(&path[..end]))
    }

    /// Longest timeout of the routes to a service, in µs; zero without a route.
    pub fn longest_timeout_us(&self, service: &ServiceName) -> u64 {
        let routes = self.routes.values().flat_map(HashMap::values);
        let leads_there = |route: &&Arc<Route>| {
            route
                .targets
                .iter()
                .any(|target| target.service == *service)
        };
        let timeouts = routes.filter(leads_there).map(|route| route.timeout_us);
        timeouts.max().unwrap_or(0)
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
