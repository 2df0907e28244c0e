//! What operators write to the log service.

use serde_json::{Value, json};
use standins::platform::backend_server::HEALTH_PATH;
use standins::platform::names::OPERATOR_TOPIC;
use standins::platform::store::Store;

use crate::callers::Kind;

/// Host name of all routes.
pub const HOST_NAME: &str = "dairy.example";

/// Services of the configuration.
pub const SERVICES: [&str; 2] = ["herd", "parlour"];

/// Requests in each second that a cold backend server bears.
pub const COLD_REQUESTS_PER_S: f64 = 20.0;

/// Step between two versions.
const VERSION_STEP: u64 = 7;

/// The operator of a system.
#[derive(Debug, Default)]
pub struct Operator {
    moves: usize,
    routes_added: usize,
}

impl Operator {
    /// Service that the moved route leads to now.
    pub fn moved_to(&self) -> &'static str {
        SERVICES[self.moves % SERVICES.len()]
    }

    /// Writes a configuration that moves one route to the other service.
    pub fn move_route(&mut self, store: &Store) {
        self.moves += 1;
        self.write_config(store);
    }

    /// Writes a configuration with one more route; tells the prefix of its paths.
    pub fn add_route(&mut self, store: &Store) -> String {
        self.routes_added += 1;
        self.write_config(store);
        added_prefix(self.routes_added)
    }

    /// Writes the configuration.
    pub fn write_config(&self, store: &Store) {
        let config = self.config();
        let text = config.to_string();
        store.put(OPERATOR_TOPIC, "config", Some(text.as_bytes()));
    }

    /// Takes an availability zone out, or takes it back.
    pub fn set_zone_out(store: &Store, zone: &str, out: bool) {
        let key = format!("evacuate/{zone}");
        store.put(OPERATOR_TOPIC, &key, out.then_some(b"{}".as_slice()));
    }

    fn config(&self) -> Value {
        let changes = self.moves + self.routes_added;
        let added = (1..=self.routes_added)
            .map(|number| route(&added_prefix(number), "idempotent", SERVICES[0]));
        let routes = [
            route(Kind::History.path_prefix(), "idempotent", SERVICES[0]),
            route(Kind::Gate.path_prefix(), "non-idempotent", SERVICES[0]),
            route(Kind::Moved.path_prefix(), "idempotent", self.moved_to()),
        ];
        json!({
            "version": 1 + changes as u64 * VERSION_STEP,
            "routes": routes.into_iter().chain(added).collect::<Vec<_>>(),
            "services": SERVICES.iter().map(service).collect::<Vec<_>>(),
            "limits": {
                "head_bytes_max": 16_384, "body_bytes_max": 65_536,
                "head_timeout_ms": 5_000, "idle_timeout_ms": 10_000,
            },
        })
    }
}

/// Prefix of the paths of a route that was added later.
fn added_prefix(number: usize) -> String {
    format!("/added-{number}/")
}

fn route(path_prefix: &str, effect: &str, service: &str) -> Value {
    json!({
        "name": path_prefix, "host": HOST_NAME, "path_prefix": path_prefix,
        "effect": effect, "timeout_ms": 2_000, "objective_ms": 600, "rank": 1,
        "service": service, "servers_max": 3,
    })
}

fn service(name: &&str) -> Value {
    json!({
        "name": name, "health_path": HEALTH_PATH, "connections_max": 200,
        "cold_requests_per_s": COLD_REQUESTS_PER_S,
    })
}
