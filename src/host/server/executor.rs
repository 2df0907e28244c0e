//! Runs requests at the local backend server, after admission by the gate.

use std::sync::Arc;

use tokio_util::sync::CancellationToken;

use crate::decision::host::gate::Work;
use crate::host::awaited_request::AwaitedRequest;
use crate::host::context::Host;
use crate::host::server::tracked_run::TrackedRun;

use crate::host::observe::latency::Stage;
use crate::host::observe::request_lines::Step;
use crate::host::outcome::{Outcome, RequestFailure, RunMeasurement};
use crate::host::rollouts::requests as rollouts;
use crate::host::server::executions::Execution;
use crate::host::server::quarantine;
use crate::host::server::run_lines::{log_failure, log_late_run};
use crate::host::server::unsent::Unsent;
use crate::host::server::{detached, dispatch};
use crate::model::host_request::HostWork;
use crate::model::reasons::RefusalReason;
use crate::model::request::Effect;
use crate::platform::answers;

/// Runs a request that a caller of this node sent.
pub async fn run(host: &Arc<Host>, work: HostWork) -> Outcome {
    match work.effect {
        Effect::Idempotent => execute(host, &work, None).await,
        Effect::NonIdempotent => detached::run(host, work, &CancellationToken::new()).await,
    }
}

/// Runs one request.
///
/// The one who awaits a detached run (`execution`) may withdraw it until its first byte.
pub(super) async fn execute(
    host: &Arc<Host>,
    work: &HostWork,
    execution: Option<&Execution>,
) -> Outcome {
    if let Err(reason) = host.gate.with(|gate| gate.check_service(&work.service)) {
        let failure = RequestFailure::not_sent(reason);
        log_failure(host, work, Step::Admit, &failure);
        return Outcome::failed(failure);
    }
    if let Err(failure) = quarantine::check(host, work) {
        log_failure(host, work, Step::Admit, &failure);
        return Outcome::failed(failure);
    }
    let tracked = match TrackedRun::begin(host, work) {
        Ok(tracked) => tracked,
        Err(failure) => {
            log_failure(host, work, Step::Admit, &failure);
            return Outcome::failed(failure);
        }
    };
    // A caller's own request is among the open ones since it arrived.
    let passed_on = (!work.entered_here).then(|| AwaitedRequest::begin_passed_on(host, work));
    if passed_on
        .as_ref()
        .is_some_and(|awaited| !awaited.is_answered_in_time())
    {
        let failure = RequestFailure::not_sent(RefusalReason::Leaving);
        log_failure(host, work, Step::Admit, &failure);
        return Outcome::failed(failure);
    }
    let unsent = Unsent {
        host,
        work,
        execution,
    };
    let queued_since_us = host.now_us();
    let admitted = unsent.wait_for(host.gate.admit(Work {
        rank: work.rank,
        nested_call: work.nested_call,
        entered_here: work.entered_here,
        timing: work.timing,
    }));
    let mut admitted = match admitted.await.flatten() {
        Ok(admitted) => admitted,
        Err(failure) => {
            log_failure(host, work, Step::Admit, &failure);
            return Outcome::failed(failure);
        }
    };
    let waited_us = host.now_us() - queued_since_us;
    host.events.latencies.add(Stage::GateWait, waited_us);
    let mut measurement = RunMeasurement::default();
    let result = dispatch::send(unsent, &tracked, &mut admitted, &mut measurement).await;
    let status = result.as_ref().map(|response| response.head.status);
    rollouts::record_run(host, work, status, measurement);
    match &result {
        Ok(_) if host.now_us() > work.timing.objective_at_us => {
            log_late_run(host, work, waited_us, &measurement);
        }
        Ok(_) => {}
        Err(failure) => log_failure(host, work, Step::Dispatch, failure),
    }
    Outcome {
        result: result.map(answers::decode),
        measurement,
    }
}
