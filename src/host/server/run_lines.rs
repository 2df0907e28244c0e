//! Lines of the structured log about runs at the local backend server.

use std::sync::Arc;

use crate::host::context::Host;
use crate::host::observe::request_lines::{FailedAttempt, FailureInputs, LateRun, Run, Step};
use crate::host::outcome::{RequestFailure, RunMeasurement};
use crate::host::rollouts::requests::own_version;
use crate::model::host_request::{AnswerFacts, HostWork};
use crate::model::names::ServiceName;
use crate::model::rollout::Version;
use crate::model::units::US_PER_MS;

/// The backend server that a request is meant for, as the node knew it when it sent the request.
#[derive(Debug)]
pub struct Destination {
    /// Service that it announced.
    pub service: ServiceName,
    /// Its identifier.
    pub instance: Arc<str>,
    /// Time since its last announcement, in µs.
    pub announcement_age_us: Option<u64>,
    /// How long work took there, relative to its usual time.
    pub slowness: f64,
}

/// Logs a run that ended after the objective of its request, and where the time went.
pub fn log_late_run(host: &Host, work: &HostWork, waited_us: u64, measurement: &RunMeasurement) {
    host.events.ran_late(&LateRun {
        id: &work.id,
        waited_ms: waited_us / US_PER_MS,
        run_ms: measurement.run_us / US_PER_MS,
        usual_run_ms: work.timing.usual_run_us as u64 / US_PER_MS,
        slowness_percent: (measurement.slowness * 100.0) as u16,
        late_ms: (host.now_us() - work.timing.objective_at_us) / US_PER_MS,
        rank: work.rank,
        state: host.gate.load().state,
    });
}

/// Logs a failed attempt with the load of the gate.
pub fn log_failure(host: &Host, work: &HostWork, step: Step, failure: &RequestFailure) {
    let load = host.gate.load();
    let inputs = FailureInputs {
        queued: Some(load.queued),
        in_flight: Some(load.in_flight),
        limit: Some(load.limit),
        slowness_percent: Some(load.slowness_percent),
        left_ms: Some(work.timing.deadline_us.saturating_sub(host.now_us()) / 1_000),
        state: Some(load.state),
        ..FailureInputs::default()
    };
    host.events.attempt_failed(&FailedAttempt {
        id: &work.id,
        service: &work.service,
        step,
        failure,
        inputs: &inputs,
        config_version: host.config_version(),
    });
}

/// Logs a request that was written to the backend server, with what the node knew of it then.
pub fn log_run(
    host: &Host,
    work: &HostWork,
    destination: &Destination,
    facts: Option<&AnswerFacts>,
) {
    let version = host
        .rollouts
        .as_ref()
        .and_then(|_rollouts| own_version(host));
    host.events.ran(&Run {
        id: &work.id,
        service: work.service.as_str(),
        own_service: destination.service.as_str(),
        target_instance: &destination.instance,
        instance: facts.and_then(|facts| facts.instance.as_deref()),
        version: version.as_ref().map(Version::as_str),
        status: facts.map(|facts| facts.status),
        announcement_age_ms: destination.announcement_age_us.map(|us| us / US_PER_MS),
        config_version: host.config_version(),
    });
}
