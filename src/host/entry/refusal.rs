//! Responses to requests that get no answer of a backend server.

use std::net::IpAddr;
use std::sync::Arc;

use crate::edge::http1::Response;
use crate::host::context::Host;
use crate::host::jitter::with_jitter;
use crate::host::observe::request_lines::Refused;
use crate::host::outcome::RequestFailure;
use crate::model::header::Header;
use crate::model::host_config::Route;
use crate::model::names::ServiceName;
use crate::model::reasons::RefusalReason;
use crate::platform::answers;

/// Retry-After if the failure states none, in µs.
const RETRY_AFTER_DEFAULT_US: u64 = 200_000;

/// A request that gets no answer of a backend server, and what is known of it.
#[derive(Debug)]
pub struct Refusal<'a> {
    /// State of the node.
    pub host: &'a Host,
    /// Identifier of the attempt.
    pub id: &'a Arc<str>,
    /// Route, once it is known.
    pub route: Option<&'a Route>,
    /// Service, once it is chosen.
    pub service: Option<&'a ServiceName>,
    /// Hosts that were tried, in order.
    pub tried: &'a [Option<IpAddr>],
    /// Version of the configuration in force.
    pub config_version: Option<u64>,
    /// Arrival, in µs.
    pub arrived_us: u64,
}

impl Refusal<'_> {
    /// Logs a failure and turns it into the response.
    ///
    /// The status is 429 if the quota of its branch is used, 503 if the request has certainly not
    /// run, 504 if its deadline passed, else 502.
    pub fn response(&self, failure: &RequestFailure) -> Response {
        self.host.events.refused(&Refused {
            id: self.id,
            route: self.route.map(|route| &*route.name),
            service: self.service,
            tried: self.tried,
            failure,
            took_us: self.host.now_us() - self.arrived_us,
            config_version: self.config_version,
        });
        let mut headers = vec![answers::request_id_header(self.id), problem_json()];
        let status = match failure.reason {
            RefusalReason::QuotaExceeded => 429,
            _ if failure.is_not_run() => 503,
            RefusalReason::DeadlinePassedRunning => 504,
            _ => 502,
        };
        if matches!(status, 429 | 503) {
            let base_us = failure.retry_after_us.unwrap_or(RETRY_AFTER_DEFAULT_US);
            // Jitter keeps refused callers from retrying at the same time.
            headers.push(answers::retry_after_header(with_jitter(base_us)));
        }
        let problem = serde_json::json!({
            "title": failure.reason.as_str(),
            "status": status,
            "not_run": failure.is_not_run(),
            "host": &*self.host.settings.host.name,
        });
        Response::new(status, headers, problem.to_string())
    }
}

fn problem_json() -> Header {
    Header::new("Content-Type", "application/problem+json")
}
