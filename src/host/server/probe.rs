//! Health checks of the backend server, skipped while its answers provide recent load figures.

use std::sync::Arc;
use std::time::Duration;

use crate::decision::host::gate::HealthCheckResult;
use crate::host::context::Host;
use crate::host::server::connection_pool::HEALTH_ANSWER_LIMITS;
use crate::host::server::crashes;
use crate::host::server::{answer_checks, reachability};
use crate::kernel::shards::lock;
use crate::model::request::Effect;
use crate::model::units::{US_PER_MS, US_PER_S};
use crate::platform::{answers, requests};

/// Interval of checks whether a probe is due.
const POLL_PERIOD: Duration = Duration::from_millis(50);

/// Age of the load figures at which a probe is due, in µs.
const LOAD_AGE_MAX_US: u64 = 80 * US_PER_MS;

/// The same age for a backend server that names a limit of the requests that it takes.
const LIMITED_LOAD_AGE_MAX_US: u64 = US_PER_S;

/// Interval of checks whether the path of the health check is known.
const PATH_POLL_PERIOD: Duration = Duration::from_millis(25);

/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum time that a request waits for a probe.
const REFRESH_TIMEOUT: Duration = Duration::from_millis(30);

/// Fraction of the allowed probe rate that is used for periodic probes.
const BUDGET_FRACTION: f64 = 0.5;

/// Probes the backend server until the node stops, and closes expired idle connections.
pub async fn run(host: Arc<Host>) {
    let pause_us = (US_PER_S as f64 / (host.settings.bounds.probes_per_s * BUDGET_FRACTION)) as u64;
    let mut next_us = 0;
    let mut ticks = tokio::time::interval(POLL_PERIOD);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = host.stop.stopped() => return,
            _tick = ticks.tick() => {}
        }
        host.server_connections.close_idle();
        let now_us = host.now_us();
        let is_contested = host.gate.with(|gate| gate.is_leave_contested());
        let is_due =
            is_contested || lock(&host.crash_watch).is_waiting() || !is_load_fresh(&host, now_us);
        if now_us < next_us || !is_due {
            continue;
        }
        next_us = now_us + pause_us;
        probe(&host).await;
    }
}

/// Returns whether the load figures are recent and the backend server is warm.
fn is_load_fresh(host: &Host, now_us: u64) -> bool {
    host.gate.with(|gate| {
        let age_max_us = if gate.is_limited() {
            LIMITED_LOAD_AGE_MAX_US
        } else {
            LOAD_AGE_MAX_US
        };
        gate.slowness_age_us(now_us) < age_max_us && !gate.is_cold(now_us)
    })
}

/// Asks the backend server at the address what it says of itself, with a timeout.
///
/// A previous run of this node may have known that it leaves, or that it names a limit, and another
/// process may be there than the one that announces itself.
pub async fn ask_presence(host: &Arc<Host>) {
    let asked = async {
        while health_path(host).is_none() {
            tokio::time::sleep(PATH_POLL_PERIOD).await;
        }
        check_health(host).await
    };
    match tokio::time::timeout(PROBE_TIMEOUT, asked).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => reachability::record_unreachable(host, &error),
        Err(_elapsed) => {
            reachability::record_no_answer(host);
            log::warn!("probe: the backend server did not answer a first health check");
        }
    }
}

/// Returns the health check path of the local service, if the configuration has it.
fn health_path(host: &Host) -> Option<Arc<str>> {
    let config = host.config.load();
    let bounds = config.as_ref()?.services.get(&host.service())?;
    Some(Arc::clone(&bounds.health_path))
}

/// Refreshes the load figures right before a request is sent, with a short timeout.
pub async fn refresh(host: &Host) {
    // The age of the load figures shows whether the answer came in time.
    let _probed = tokio::time::timeout(REFRESH_TIMEOUT, check_health(host)).await;
}

/// Sends one probe and records a failure to connect.
async fn probe(host: &Arc<Host>) {
    match tokio::time::timeout(PROBE_TIMEOUT, check_health(host)).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => reachability::record_unreachable(host, &error),
        Err(_elapsed) => reachability::record_no_answer(host),
    }
}

/// Sends one health check and applies the answer, if the configuration has the service.
async fn check_health(host: &Host) -> std::io::Result<()> {
    let Some(path) = health_path(host) else {
        return Ok(());
    };
    let mut pooled = host.server_connections.acquire(Effect::Idempotent).await?;
    let request = requests::encode_health_check(&path, host.server_connections.address());
    // An answer with a request identifier belongs to an earlier request.
    let exchange = pooled
        .connection
        .exchange(request, false, HEALTH_ANSWER_LIMITS, |response| {
            answers::request_id_of(response).is_none()
        });
    let sent_us = host.now_us();
    let response = match exchange.await {
        Ok(response) => response,
        Err(error) => {
            log::debug!("probe: health check failed: {}", error.cause);
            reachability::record_no_answer(host);
            return Ok(());
        }
    };
    reachability::record_reachable(host);
    let facts = answers::decode_facts(&response);
    answer_checks::observe_load_report(host, &facts);
    let now_us = host.now_us();
    if let Some(instance) = &facts.instance {
        crashes::server_answered(host, instance, sent_us);
        let health = HealthCheckResult {
            instance,
            healthy: response.head.status == 200,
            cold_left_us: facts.report.cold_left_us.unwrap_or(0),
            asked_us: sent_us,
        };
        host.gate.with(|gate| gate.observe_health(&health, now_us));
        answer_checks::observe_statements(host, instance, &facts.statements, false);
    }
    // A refusal that is written once more would be taken for that of a request.
    if !facts.not_run {
        host.server_connections.release(pooled);
    }
    Ok(())
}
