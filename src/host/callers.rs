//! HTTP listener for callers' requests, from decoding to the response.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::attempts::Attempts;
use super::context::Host;
use super::events::Completed;
use super::jitter::with_jitter;
use super::outcome::RequestFailure;
use super::retries;
use crate::edge::http1::server::{Handler, ServerLimits};
use crate::edge::http1::{MessageLimits, Request, Response};
use crate::kernel::shards::lock;
use crate::model::header::Header;
use crate::model::host_config::{CallerBounds, HostConfig, Route};
use crate::model::host_request::{CallerRequest, HostWork, ServerAnswer, Timing};
use crate::model::names::ServiceName;
use crate::model::reasons::RefusalReason;
use crate::model::units::US_PER_MS;
use crate::platform::{answers, requests};

/// Retry-After while no configuration is known, in µs.
const NO_CONFIG_RETRY_AFTER_US: u64 = 300_000;

/// Retry-After if the failure states none, in µs.
const RETRY_AFTER_DEFAULT_US: u64 = 200_000;

/// Assumed waiting time of a caller that states none, in ms.
const WAIT_MS_DEFAULT: u64 = 60_000;

/// Handles requests from callers on this host and from its backend server.
#[derive(Debug)]
pub struct CallerHandler(pub Arc<Host>);

impl Handler for CallerHandler {
    fn limits(&self) -> ServerLimits {
        let config = self.0.config.load();
        let bounds = config
            .as_ref()
            .map_or_else(CallerBounds::default, |config| config.callers);
        ServerLimits {
            message: MessageLimits {
                head_bytes_max: bounds.head_bytes_max,
                body_bytes_max: bounds.body_bytes_max,
            },
            head_timeout: Duration::from_millis(bounds.head_timeout_ms),
            idle_timeout: Duration::from_millis(bounds.idle_timeout_ms),
        }
    }

    async fn answer(self: Arc<Self>, request: Request, _caller: SocketAddr) -> Response {
        let arrived_us = self.0.now_us();
        let _open_request = self.0.events.open_request();
        match requests::decode(request) {
            Some(request) => answer(&self.0, request, arrived_us).await,
            None => Response::new(400, Vec::new(), "the request bears no identifier\n"),
        }
    }

    fn is_closing(&self) -> bool {
        self.0.stop.is_leaving()
    }
}

async fn answer(host: &Arc<Host>, request: CallerRequest, arrived_us: u64) -> Response {
    let id = Arc::clone(&request.id);
    let Some(config) = host.config.load_full() else {
        let failure = RequestFailure::not_sent(RefusalReason::NoConfiguration);
        return refusal(
            host,
            &id,
            None,
            &failure.retry_after(NO_CONFIG_RETRY_AFTER_US),
            arrived_us,
        );
    };
    let Some(route) = config.route(&request.host, &request.target).cloned() else {
        host.events
            .no_route(&id, &request.host, &request.target, config.version);
        return Response::new(
            404,
            vec![answers::request_id_header(&id)],
            "no route matches\n",
        );
    };
    let Some(service) = next_target(host, &route) else {
        return refusal(
            host,
            &id,
            Some(&route),
            &RequestFailure::not_sent(RefusalReason::NoServer),
            arrived_us,
        );
    };
    let work = host_work(host, request, &route, &service, arrived_us);
    let deadline_us = work.timing.deadline_us;
    match run(host, &route, &service, work).await {
        Ok(answer) => response(host, &id, &route, &config, answer, arrived_us, deadline_us),
        Err(failure) => refusal(host, &id, Some(&route), &failure, arrived_us),
    }
}

/// Chooses the target service of a request, according to the traffic split of its route.
fn next_target(host: &Host, route: &Route) -> Option<ServiceName> {
    let mut split = lock(&host.traffic_split);
    split
        .next(route, rand::random())
        .map(|target| target.service.clone())
}

/// Builds the request that is sent to hosts.
fn host_work(
    host: &Host,
    request: CallerRequest,
    route: &Route,
    service: &ServiceName,
    arrived_us: u64,
) -> HostWork {
    let wait_us = request.wait_ms.unwrap_or(WAIT_MS_DEFAULT) * US_PER_MS;
    let caller_deadline_us = arrived_us + wait_us;
    let origin = retries::record_request(host, service, caller_deadline_us);
    let mut headers = request.headers;
    headers.push(requests::caller_service_header(&host.service()));
    HostWork {
        id: request.id,
        service: service.clone(),
        effect: route.effect,
        rank: route.rank,
        nested_call: origin.nested,
        is_retry: origin.of_retry,
        timing: Timing {
            usual_run_us: lock(&host.run_times).usual_us(&route.name, route.objective_us),
            objective_at_us: arrived_us + route.objective_us,
            deadline_us: arrived_us + wait_us.min(route.timeout_us),
            other_finish_us: f64::INFINITY,
        },
        method: request.method,
        target: request.target,
        headers,
        body: request.body,
    }
}

/// Runs the attempts until the deadline.
async fn run(
    host: &Arc<Host>,
    route: &Route,
    service: &ServiceName,
    work: HostWork,
) -> Result<ServerAnswer, RequestFailure> {
    let deadline = host.clock.instant_at(work.timing.deadline_us);
    let attempts = Attempts {
        host,
        route,
        service,
        work,
    };
    let attempts_run = attempts.run();
    let with_deadline = tokio::time::timeout_at(deadline.into(), attempts_run);
    with_deadline.await.unwrap_or_else(|_elapsed| {
        Err(RequestFailure::unknown(
            RefusalReason::DeadlinePassedRunning,
        ))
    })
}

/// Logs the answer and turns it into the response.
fn response(
    host: &Host,
    id: &Arc<str>,
    route: &Route,
    config: &HostConfig,
    answer: ServerAnswer,
    arrived_us: u64,
    deadline_us: u64,
) -> Response {
    let now_us = host.now_us();
    host.events.answered(&Completed {
        id,
        route: &route.name,
        status: answer.status,
        took_us: now_us - arrived_us,
        left_us: deadline_us.saturating_sub(now_us),
        in_time: now_us - arrived_us <= route.objective_us,
        config_version: config.version,
    });
    let mut headers = answer.headers;
    headers.push(answers::request_id_header(id));
    Response::new(answer.status, headers, answer.body)
}

/// Logs a failure and turns it into the response.
///
/// The status is 503 if the request has certainly not run, 504 if its deadline passed, else 502.
fn refusal(
    host: &Host,
    id: &Arc<str>,
    route: Option<&Route>,
    failure: &RequestFailure,
    arrived_us: u64,
) -> Response {
    let took_us = host.now_us() - arrived_us;
    host.events
        .refused(id, route.map(|route| &*route.name), failure, took_us);
    let mut headers = vec![answers::request_id_header(id), problem_json()];
    let status = match failure.reason {
        _ if failure.is_not_run() => 503,
        RefusalReason::DeadlinePassedRunning => 504,
        _ => 502,
    };
    if status == 503 {
        let base_us = failure.retry_after_us.unwrap_or(RETRY_AFTER_DEFAULT_US);
        // Jitter keeps refused callers from retrying at the same time.
        headers.push(answers::retry_after_header(with_jitter(base_us)));
    }
    let problem = serde_json::json!({
        "title": failure.reason.as_str(),
        "status": status,
        "not_run": failure.is_not_run(),
        "host": &*host.settings.host.name,
    });
    Response::new(status, headers, problem.to_string())
}

fn problem_json() -> Header {
    Header::new("Content-Type", "application/problem+json")
}
