//! What operators write to the log service.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use standins::platform::backend_server::HEALTH_PATH;
use standins::platform::names::OPERATOR_TOPIC;
use standins::platform::store::Store;

use crate::callers::{Kind, LATE_MS};

/// Host name of all routes.
pub const HOST_NAME: &str = "dairy.example";

/// Services of the configuration.
pub const SERVICES: [&str; 2] = ["herd", "parlour"];

/// Requests in each second that a cold backend server bears.
pub const COLD_REQUESTS_PER_S: f64 = 20.0;

/// Time after which requests of a kind are answered with a failure, in ms.
pub fn route_timeout_ms(kind: Kind) -> u64 {
    kind.wait_ms() + LATE_MS
}

/// Topic of what the system tells operators.
const STATUS_TOPIC: &str = "keyed.status";

/// Step between two versions.
const VERSION_STEP: u64 = 7;

/// Limits on callers' requests in the configuration.
#[derive(Debug, Clone, Copy)]
pub struct CallerLimits {
    pub body_bytes_max: usize,
    pub idle_timeout_ms: u64,
    /// Timeout of all routes, in ms; by default each kind has its own.
    pub route_timeout_ms: Option<u64>,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            body_bytes_max: 65_536,
            idle_timeout_ms: 10_000,
            route_timeout_ms: None,
        }
    }
}

/// The operator of a system.
#[derive(Debug, Default)]
pub struct Operator {
    /// Limits on callers' requests.
    pub limits: CallerLimits,
    moves: usize,
    /// Branches of the configuration, if it names any.
    pub branches: Option<Value>,
    /// Times that the branches changed.
    pub branch_changes: usize,
    /// Times that the route of [`Kind::Added`] was added or removed.
    toggles: usize,
    /// Routes that were added for good.
    routes_added: usize,
}

impl Operator {
    /// Service that the moved route leads to now.
    pub fn moved_to(&self) -> &'static str {
        SERVICES[self.moves % SERVICES.len()]
    }

    /// Service that the route of a kind leads to now, if there is such a route.
    pub fn target(&self, kind: Kind) -> Option<&'static str> {
        match kind {
            Kind::History | Kind::Gate | Kind::Bundle => Some(SERVICES[0]),
            Kind::Moved => Some(self.moved_to()),
            Kind::Added => (self.toggles % 2 == 1).then_some(SERVICES[1]),
            Kind::NeverRouted => None,
        }
    }

    /// Writes a configuration that moves one route to the other service.
    pub fn move_route(&mut self, store: &Store) {
        self.moves += 1;
        self.write_config(store);
    }

    /// Writes a configuration that has one route more, or that one less.
    pub fn add_or_remove_route(&mut self, store: &Store) {
        self.toggles += 1;
        self.write_config(store);
    }

    /// Writes a configuration with one more route; tells the prefix of its paths.
    pub fn add_route(&mut self, store: &Store) -> String {
        self.add_routes(store, 1)
    }

    /// Writes a configuration with more routes; tells the prefix of the last one's paths.
    pub fn add_routes(&mut self, store: &Store, count: usize) -> String {
        self.routes_added += count;
        self.write_config(store);
        added_prefix(self.routes_added)
    }

    /// Writes the configuration.
    pub fn write_config(&self, store: &Store) {
        let text = self.config().to_string();
        store.put(OPERATOR_TOPIC, "config", Some(text.as_bytes()));
    }

    /// Takes an availability zone out, or takes it back.
    pub fn set_zone_out(store: &Store, zone: &str, out: bool) {
        let key = format!("evacuate/{zone}");
        store.put(OPERATOR_TOPIC, &key, out.then_some(b"{}".as_slice()));
    }

    /// Orders that a service moves to a version, or withdraws the order.
    pub fn order_rollout(store: &Store, service: &str, target: Option<(&str, f64)>) {
        let key = format!("rollout/{service}");
        let order = target.map(|(version, duration_s)| {
            json!({"service": service, "target_version": version, "duration_s": duration_s})
        });
        let value = order.map(|order| order.to_string());
        store.put(OPERATOR_TOPIC, &key, value.as_deref().map(str::as_bytes));
    }

    /// State and version that the system states for a roll-out.
    pub fn rollout_status(store: &Store, service: &str) -> Option<(String, String)> {
        let value = store.newest(STATUS_TOPIC, &format!("rollout/{service}"))?;
        let status: Value = serde_json::from_slice(&value).expect("a status is JSON");
        let text = |field: &str| status[field].as_str().expect("text").to_owned();
        Some((text("state"), text("target_version")))
    }

    /// Writes a configuration with other branches.
    pub fn set_branches(&mut self, store: &Store, branches: Value) {
        self.branches = Some(branches);
        self.branch_changes += 1;
        self.write_config(store);
    }

    fn config(&self) -> Value {
        let changes = self.moves + self.toggles + self.routes_added + self.branch_changes;
        let changes = changes as u64;
        let of_kinds = Kind::ALL.into_iter().filter_map(|kind| {
            let service = self.target(kind)?;
            Some(self.route(kind.path_prefix(), kind, service))
        });
        let added = (1..=self.routes_added)
            .map(|number| self.route(&added_prefix(number), Kind::History, SERVICES[0]));
        json!({
            "version": 1 + changes * VERSION_STEP,
            "routes": of_kinds.chain(added).collect::<Vec<_>>(),
            "services": SERVICES.map(service),
            "branches": self.branches,
            "limits": {
                "head_bytes_max": 16_384, "body_bytes_max": self.limits.body_bytes_max,
                "head_timeout_ms": 5_000, "idle_timeout_ms": self.limits.idle_timeout_ms,
            },
        })
    }

    /// A route whose requests are treated as those of a kind.
    fn route(&self, path_prefix: &str, kind: Kind, service: &str) -> Value {
        let effect = if kind.is_idempotent() {
            "idempotent"
        } else {
            "non-idempotent"
        };
        let timeout_ms = self.limits.route_timeout_ms;
        json!({
            "name": path_prefix, "host": HOST_NAME, "path_prefix": path_prefix, "effect": effect,
            "timeout_ms": timeout_ms.unwrap_or(route_timeout_ms(kind)), "objective_ms": 600,
            "rank": 1, "service": service, "servers_max": kind.servers_max(),
        })
    }
}

/// Prefix of the paths of a route that was added later; most of it is random.
fn added_prefix(number: usize) -> String {
    let random: u64 = StdRng::seed_from_u64(number as u64).random();
    format!("/added-{number}-{random:016x}/")
}

fn service(name: &str) -> Value {
    json!({
        "name": name, "health_path": HEALTH_PATH, "connections_max": 200,
        "cold_requests_per_s": COLD_REQUESTS_PER_S,
    })
}
