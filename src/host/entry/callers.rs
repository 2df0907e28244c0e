//! HTTP listener for callers' requests, from decoding to the response.

use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use crate::decision::host::open_requests::{OpenRequest, RequestKind};
use crate::edge::http1::server::{Handler, RejectReason, RejectedRequest, ServerLimits};
use crate::edge::http1::{MessageLimits, Request, Response};
use crate::host::awaited_request::AwaitedRequest;
use crate::host::branches::keys::{self, KeyRefusal};
use crate::host::branches::quotas;
use crate::host::context::Host;
use crate::host::entry::attempts::Attempts;
use crate::host::entry::caller_times::CallerTimes;
use crate::host::entry::refusal::Refusal;
use crate::host::entry::retries;
use crate::host::jitter::with_jitter;
use crate::host::observe::request_lines::{Completed, Rejected, TriedHosts, shortened};
use crate::host::outcome::RequestFailure;
use crate::kernel::shards::lock;
use crate::model::branch::Branch;
use crate::model::header::Header;
use crate::model::host_config::{CallerBounds, HostConfig, Route};
use crate::model::host_request::{CallerRequest, HostWork, ServerAnswer, Timing};
use crate::model::names::ServiceName;
use crate::model::reasons::RefusalReason;
use crate::platform::{answers, requests};

/// Retry-After while no configuration is known, in µs.
const NO_CONFIG_RETRY_AFTER_US: u64 = 300_000;

/// Retry-After while another configuration may be in force, in µs.
const NO_PROOF_RETRY_AFTER_US: u64 = 300_000;

/// Retry-After while no memory is left for a request, in µs.
const NO_MEMORY_RETRY_AFTER_US: u64 = 250_000;

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

    async fn answer(self: Arc<Self>, request: Request, caller: SocketAddr) -> Response {
        let arrived_us = self.0.now_us();
        let _open_request = self.0.events.open_request();
        match requests::decode(request) {
            Ok(request) => answer(&self.0, request, arrived_us).await,
            Err(request) => without_identifier(&self.0, &request, caller),
        }
    }

    fn rejected(&self, rejected: &RejectedRequest<'_>) -> Vec<Header> {
        let id = match rejected.head {
            Some(head) => requests::id_of(head),
            None => requests::id_in_bytes(rejected.unread),
        };
        self.0.events.rejected(&Rejected {
            id: id.map(shortened),
            status: rejected.reason.status(),
            reason: rejected.reason.as_str(),
            detail: &rejected.detail,
            peer: rejected.caller,
            first_line: shortened(&first_line(rejected)),
            unread_bytes: rejected.unread.len(),
            answered: rejected.answered,
            config: self.0.config_age(),
        });
        let mut headers = Vec::new();
        headers.extend(id.map(answers::request_id_header));
        if matches!(
            rejected.reason,
            RejectReason::NoMemory | RejectReason::Stalled
        ) {
            let after_us = with_jitter(NO_MEMORY_RETRY_AFTER_US);
            headers.push(answers::retry_after_header(after_us));
        }
        headers
    }

    fn is_closing(&self) -> bool {
        self.0.stop.is_leaving()
    }
}

/// Returns method and target of a rejected request, or the first line that was received.
fn first_line(rejected: &RejectedRequest<'_>) -> String {
    if let Some(head) = rejected.head {
        return format!("{} {}", head.method, head.target);
    }
    let mut lines = rejected.unread.split(|byte| *byte == b'\n');
    let line = lines.next().unwrap_or_default();
    String::from_utf8_lossy(line).trim_end().to_owned()
}

/// Logs a request without an identifier and builds the response.
fn without_identifier(host: &Host, request: &Request, caller: SocketAddr) -> Response {
    let head = &request.head;
    host.events.rejected(&Rejected {
        id: None,
        status: 400,
        reason: "no-identifier",
        detail: "",
        peer: caller,
        first_line: shortened(&format!("{} {}", head.method, head.target)),
        unread_bytes: 0,
        answered: true,
        config: host.config_age(),
    });
    Response::new(400, Vec::new(), "the request bears no identifier\n")
}

async fn answer(host: &Arc<Host>, request: CallerRequest, arrived_us: u64) -> Response {
    let id = Arc::clone(&request.id);
    let mut refused = Refusal {
        host,
        id: &id,
        route: None,
        service: None,
        tried: &[],
        config_version: None,
        arrived_us,
    };
    let Some(config) = host.config.load_full() else {
        let failure = RequestFailure::not_sent(RefusalReason::NoConfiguration);
        return refused.response(&failure.retry_after(NO_CONFIG_RETRY_AFTER_US));
    };
    refused.config_version = Some(config.version);
    let Some(route) = config.route(&request.host, &request.target).cloned() else {
        host.events
            .no_route(&id, &request.host, &request.target, &host.config_age());
        return Response::new(
            404,
            vec![answers::request_id_header(&id)],
            "no route matches\n",
        );
    };
    refused.route = Some(&route);
    let mut request = request;
    let branch = match branch_of(host, &config, &route, &mut request) {
        Ok(branch) => branch,
        Err(KeyRefusal::Unknown) => return unknown_key(host, &request.id, &route),
        Err(KeyRefusal::Unproven) => {
            let failure = RequestFailure::not_sent(RefusalReason::KnowledgeStale);
            return refused.response(&failure.retry_after(NO_PROOF_RETRY_AFTER_US));
        }
    };
    if let Some(branch) = &branch
        && let Err(failure) = quotas::admit(host, branch).await
    {
        return refused.response(&failure);
    }
    let Some(service) = next_target(host, &route) else {
        return refused.response(&RequestFailure::not_sent(RefusalReason::NoServer));
    };
    refused.service = Some(&service);
    let rank = branch.as_ref().and_then(|branch| branch.rank);
    let times = CallerTimes::of(host, &route, request.wait_ms, arrived_us);
    let awaited = AwaitedRequest::begin(host, open_request(host, &route, &times));
    if is_after_close(host, &times) || !awaited.is_answered_in_time() {
        if let Some(branch) = &branch {
            quotas::refund(host, branch);
        }
        return refused.response(&RequestFailure::not_sent(RefusalReason::Leaving));
    }
    let mut work = host_work(host, request, &route, &service, &times);
    work.rank = rank.unwrap_or(work.rank);
    let timing = work.timing;
    let (result, tried) = run(host, &route, &service, work, &awaited).await;
    if result.as_ref().map_or(true, ServerAnswer::is_server_error) {
        times.record_failure(host, &route);
    }
    match result {
        Ok(answer) => {
            let now_us = host.now_us();
            if !answer.is_server_error() {
                lock(&host.run_times).record_answer(&route.name, now_us - arrived_us);
            }
            host.events.answered(&Completed {
                id: &id,
                route: &route.name,
                service: &service,
                tried: &tried,
                instance: answers::instance_of(&answer),
                status: answer.status,
                took_us: now_us - arrived_us,
                since_first_us: arrived_us - times.first_arrived_us,
                left_us: timing.deadline_us.saturating_sub(now_us),
                in_time: now_us <= timing.objective_at_us,
                config_version: config.version,
            });
            let mut headers = answer.headers;
            headers.push(answers::request_id_header(&id));
            Response::new(answer.status, headers, answer.body)
        }
        Err(failure) => {
            if let Some(branch) = branch.filter(|_branch| failure.is_not_run()) {
                quotas::refund(host, &branch);
            }
            refused.tried = &tried;
            refused.response(&failure)
        }
    }
}

/// Returns whether a request came after the close of a node that stops.
///
/// Calls of the work that runs at the backend server are served after the close, since the work would
/// fail without them.
fn is_after_close(host: &Host, times: &CallerTimes) -> bool {
    let stop = host.stop_plan.load();
    let has_closed = stop
        .as_ref()
        .is_some_and(|stop| stop.is_after_close(times.arrived_us));
    has_closed && !lock(&host.nested_calls).may_be_call(times.deadline_us)
}

/// Describes a request to the decision on what a stop still accepts.
fn open_request(host: &Host, route: &Route, times: &CallerTimes) -> OpenRequest {
    OpenRequest {
        kind: RequestKind::Route(Arc::clone(&route.name)),
        usual: lock(&host.run_times).parts(&route.name, route.objective_us),
        arrived_us: times.arrived_us,
        awaited_until_us: times.awaited_until_us(route),
    }
}

/// Returns the branch of a request, and names it to the backend server in place of the key.
fn branch_of(
    host: &Host,
    config: &HostConfig,
    route: &Route,
    request: &mut CallerRequest,
) -> Result<Option<Arc<Branch>>, KeyRefusal> {
    let Some(branches) = &config.branches else {
        return Ok(None);
    };
    let credentials = requests::take_credentials(&mut request.headers);
    let branch = keys::authorise(host, branches, route, &credentials)?;
    if let Some(branch) = &branch {
        request.headers.push(requests::branch_header(&branch.name));
    }
    Ok(branch)
}

/// Logs a request whose key no configuration has and builds the response.
fn unknown_key(host: &Host, id: &Arc<str>, route: &Route) -> Response {
    host.events.unknown_key(id, &route.name, &host.config_age());
    let headers = vec![answers::request_id_header(id)];
    Response::new(401, headers, "the key is unknown\n")
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
    times: &CallerTimes,
) -> HostWork {
    let origin = retries::record_request(host, service, times.deadline_us);
    let mut headers = request.headers;
    headers.push(requests::caller_service_header(&host.service()));
    HostWork {
        id: request.id,
        service: service.clone(),
        effect: route.effect,
        rank: route.rank,
        nested_call: origin.nested,
        entered_here: true,
        is_retry: origin.of_retry,
        timing: Timing {
            usual_run_us: lock(&host.run_times).usual_us(&route.name, route.objective_us),
            objective_at_us: times.first_arrived_us + route.objective_us,
            deadline_us: times.awaited_until_us(route),
            other_finish_us: f64::INFINITY,
        },
        method: request.method,
        target: request.target,
        headers,
        body: request.body,
        digest: OnceLock::new(),
    }
}

/// Runs the attempts until the deadline, or until a stop of the node gives up; also returns the hosts
/// that were tried.
async fn run(
    host: &Arc<Host>,
    route: &Route,
    service: &ServiceName,
    work: HostWork,
    awaited: &AwaitedRequest<'_>,
) -> (Result<ServerAnswer, RequestFailure>, TriedHosts) {
    let deadline = host.clock.instant_at(work.timing.deadline_us);
    let attempts = Attempts::new(host, route, service, work, awaited);
    let result = tokio::select! {
        biased;
        result = attempts.run() => result,
        () = tokio::time::sleep_until(deadline.into()) => {
            Err(RequestFailure::unknown(RefusalReason::DeadlinePassedRunning))
        }
        () = host.stop.given_up() => Err(RequestFailure::unknown(RefusalReason::NodeEnded)),
    };
    (result, attempts.into_tried_hosts())
}
