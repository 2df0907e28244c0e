//! What a roll-out means for requests: where they may go, and what their answers say.

use crate::decision::host::rollout::evidence::{RouteHash, RunEnd};
use crate::decision::host::rollout::table::VersionFilter;
use crate::host::context::Host;
use crate::host::outcome::{RequestFailure, RunMeasurement};
use crate::kernel::shards::lock;
use crate::model::host_request::{HostWork, SERVER_ERROR_MIN};
use crate::model::names::ServiceName;
use crate::model::reasons::RefusalReason;
use crate::model::rollout::Version;
use crate::platform::requests;

/// Versions that requests for a service may go to, but for those of a trial.
pub fn filter(host: &Host, service: &ServiceName) -> VersionFilter {
    let Some(rollouts) = &host.rollouts else {
        return VersionFilter::Any;
    };
    lock(&rollouts.table).filter(service)
}

/// Version of a service that is on trial.
pub fn on_trial(host: &Host, service: &ServiceName) -> Option<Version> {
    let rollouts = host.rollouts.as_ref()?;
    lock(&rollouts.table).on_trial(service).cloned()
}

/// Takes one request of this node for the version on trial; returns false if its share is used.
pub fn take_exposure(host: &Host, service: &ServiceName) -> bool {
    let Some(rollouts) = &host.rollouts else {
        return false;
    };
    lock(&rollouts.table).take_exposure(service)
}

/// Records a request of this node that reached a backend server of a service.
pub fn record_arrival(host: &Host, service: &ServiceName) {
    if let Some(rollouts) = &host.rollouts {
        lock(&rollouts.table).record_arrival(service);
    }
}

/// Version that the local backend server announced.
pub fn own_version(host: &Host) -> Option<Version> {
    host.gate.with(|gate| {
        let announcement = gate.server().announcement();
        announcement.and_then(|announcement| announcement.version.clone())
    })
}

/// Counts how a run at the local backend server ended; `status` is that of its answer.
pub fn record_run(
    host: &Host,
    work: &HostWork,
    status: Result<u16, &RequestFailure>,
    measurement: RunMeasurement,
) {
    let Some(rollouts) = &host.rollouts else {
        return;
    };
    let has_order = lock(&rollouts.table).order(&work.service).is_some();
    let route = route_of(host, work);
    let Some(route) = route.filter(|_route| has_order) else {
        return;
    };
    let run = RunEnd {
        failed: is_failure(status),
        not_judged: status.is_err_and(|failure| !is_failure(Err(failure))),
        cold: host.gate.with(|gate| gate.is_cold(host.now_us())),
        run_us: measurement.run_us,
        slowness: measurement.slowness,
        usual_run_us: work.timing.usual_run_us,
    };
    let Some(quality) = run.quality() else {
        return;
    };
    let (version, process) = (own_version(host), host.introduction().incarnation);
    let mut table = lock(&rollouts.table);
    let turned_bad = table.record_run(&work.service, version.as_ref(), process, route, quality);
    drop(table);
    if turned_bad.is_some() {
        rollouts.changed.notify_one();
    }
}

/// Whether an answer, or its absence, is a failure of the backend server.
fn is_failure(status: Result<u16, &RequestFailure>) -> bool {
    match status {
        Ok(status) => status >= SERVER_ERROR_MIN,
        Err(failure) => matches!(
            failure.reason,
            RefusalReason::ConnectionLost | RefusalReason::AnswerBroken
        ),
    }
}

fn route_of(host: &Host, work: &HostWork) -> Option<RouteHash> {
    let config = host.config.load();
    let caller_host = requests::host_of(&work.headers);
    let route = config.as_ref()?.route(&caller_host, &work.target)?;
    let hash = blake3::hash(route.name.as_bytes());
    let mut first = [0; 4];
    first.copy_from_slice(&hash.as_bytes()[..4]);
    Some(RouteHash(u32::from_le_bytes(first)))
}
