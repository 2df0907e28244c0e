//! Settings of one load run.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::arrivals::{ArrivalSpacing, Burst};
use super::kinds::RequestKind;

/// What the targets are.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Route {
    /// Nodes of bronzelock.
    #[default]
    ThroughNodes,
    /// Backend server stand-ins, without tickets.
    StraightToServer,
}

/// What is sent where, when and how often.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadSettings {
    /// Addresses that requests are spread over.
    pub targets: Vec<SocketAddr>,
    /// What the targets are.
    pub route: Route,
    /// Mix of requests.
    pub kinds: Vec<RequestKind>,
    /// Requests sent per second.
    pub rate_per_s: f64,
    /// Length of the run, in ms.
    pub duration_ms: u64,
    /// How requests are spaced.
    pub spacing: ArrivalSpacing,
    /// Times of a higher rate.
    pub bursts: Vec<Burst>,
    /// Time that a request may take, in ms.
    pub timeout_ms: u64,
    /// Connections per target.
    pub connections: usize,
    /// Seed of times, kinds and targets.
    pub seed: u64,
    /// Whether the report lists what was claimed about each request.
    pub records_claims: bool,
}

impl Default for LoadSettings {
    fn default() -> Self {
        Self {
            targets: Vec::new(),
            route: Route::ThroughNodes,
            kinds: Vec::new(),
            rate_per_s: 100.0,
            duration_ms: 1_000,
            spacing: ArrivalSpacing::Poisson,
            bursts: Vec::new(),
            timeout_ms: 1_000,
            connections: 64,
            seed: 1,
            records_claims: false,
        }
    }
}
