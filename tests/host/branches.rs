//! Keys of branches: what is read of a configuration and of requests, and what is never passed on.

use bronzelock::edge::http1::{Request, RequestHead};
use bronzelock::model::body::Body;
use bronzelock::model::branch::{ApiKey, Credentials};
use bronzelock::model::header::Header;
use bronzelock::platform::operator::decode_config;
use bronzelock::platform::requests::{decode, take_credentials};
use serde_json::json;

use crate::cases;

fn config(branches: &serde_json::Value) -> String {
    json!({
        "version": 3,
        "routes": [{
            "name": "open", "host": "a.example", "path_prefix": "/open/", "effect": "download",
            "timeout_ms": 1000, "objective_ms": 500, "rank": 2, "service": "herd",
            "servers_max": 2, "public": true,
        }],
        "services": [{"name": "herd", "health_path": "/health", "connections_max": 9}],
        "limits": {
            "head_bytes_max": 16_384, "body_bytes_max": 65_536,
            "head_timeout_ms": 3_000, "idle_timeout_ms": 15_000,
        },
        "branches": branches,
    })
    .to_string()
}

#[test]
fn a_configuration_has_branches_by_key() {
    let text = config(&json!([
        {"name": "north", "api_keys": ["k1", "k2"], "rank": 1, "rate_per_s": 5, "burst": 7},
        {"name": "south", "api_keys": ["k3"], "rank": null, "rate_per_s": 0},
    ]));
    let config = decode_config(text.as_bytes()).expect("a valid configuration");
    let branches = config.branches.as_ref().expect("branches");
    let north = branches.by_key(&ApiKey::new("k2")).expect("a branch");
    assert_eq!((&*north.name, north.rank), ("north", Some(1)));
    assert_eq!(north.quota.map(|quota| quota.burst), Some(7.0));
    let south = branches.by_key(&ApiKey::new("k3")).expect("a branch");
    assert_eq!((south.rank, south.quota), (None, None));
    assert!(branches.by_key(&ApiKey::new("K1")).is_none());
    assert!(
        config
            .route("a.example", "/open/x")
            .expect("a route")
            .public
    );
}

#[test]
fn a_key_that_two_branches_hold_is_refused_without_showing_it() {
    let text = config(&json!([
        {"name": "north", "api_keys": ["secret-key"]},
        {"name": "south", "api_keys": ["secret-key"]},
    ]));
    let error = decode_config(text.as_bytes()).expect_err("a shared key");
    let shown = format!("{error} {error:?}");
    assert!(
        shown.contains("north") && shown.contains("south"),
        "{shown}"
    );
    assert!(!shown.contains("secret-key"), "{shown}");
}

#[test]
fn a_key_is_not_shown() {
    let credentials = Credentials::One(ApiKey::new("secret-key"));
    assert!(!format!("{credentials:?}").contains("secret-key"));
}

/// Headers of a request, beside which it names its host and identifier.
fn request_has(headers: &[(&str, &str)], credentials: &Credentials) {
    let named = [("Host", "a.example"), ("Bronzelock-Request-Id", "r1")];
    let all = named.iter().chain(headers);
    let request = Request {
        head: RequestHead {
            method: "GET".to_owned(),
            target: "/open/x".to_owned(),
            headers: all
                .map(|(name, value)| Header::new(name, (*value).to_owned()))
                .collect(),
            keep_alive: true,
        },
        body: Body::default(),
    };
    let mut request = decode(request).expect("a request");
    assert_eq!(take_credentials(&mut request.headers), *credentials);
    let left = |name| request.headers.iter().any(|header| header.is_named(name));
    assert!(!left("X-Api-Key") && !left("Bronzelock-Tenant"));
}

cases! { request_has:
    no_key(&[], &Credentials::None);
    one_key(&[("X-Api-Key", "k1")], &Credentials::One(ApiKey::new("k1")));
    a_key_in_a_header_of_another_case(&[("x-api-key", "k1")], &Credentials::One(ApiKey::new("k1")));
    an_empty_key(&[("X-Api-Key", "")], &Credentials::None);
    two_keys(&[("X-Api-Key", "k1"), ("X-Api-Key", "k2")], &Credentials::Several);
    three_equal_keys(
        &[("X-Api-Key", "k1"), ("X-Api-Key", "k1"), ("X-Api-Key", "k1")], &Credentials::Several);
    a_branch_that_the_caller_names(
        &[("Bronzelock-Tenant", "north"), ("X-Api-Key", "k1")], &Credentials::One(ApiKey::new("k1")));
}
