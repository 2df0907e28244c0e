//! Asks the backend server for its health and load, unless its answers have just told them.

use std::sync::Arc;
use std::time::Duration;

use super::connection_pool::ANSWER_LIMITS;
use super::context::Host;
use super::executor;
use crate::decision::host::gate::HealthCheckResult;
use crate::model::request::Effect;
use crate::model::units::{US_PER_MS, US_PER_S};
use crate::platform::{answers, requests};

/// Time between two looks whether a probe is due.
const POLL_PERIOD: Duration = Duration::from_millis(50);

/// Age of the load figures from which a probe is due, in µs.
const LOAD_AGE_MAX_US: u64 = 80 * US_PER_MS;

/// Longest time that a probe takes.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Longest time that work waits for a probe.
const REFRESH_TIMEOUT: Duration = Duration::from_millis(30);

/// Part of the allowed probes that is used.
const BUDGET_FRACTION: f64 = 0.5;

/// Probes until the node stops.
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
        if now_us < next_us || is_load_fresh(&host, now_us) {
            continue;
        }
        next_us = now_us + pause_us;
        probe(&host).await;
    }
}

fn is_load_fresh(host: &Host, now_us: u64) -> bool {
    host.gate
        .with(|gate| gate.slowness_age_us(now_us) < LOAD_AGE_MAX_US && !gate.is_cold(now_us))
}

/// Path of the health endpoint of the service beside this node.
fn health_path(host: &Host) -> Option<Arc<str>> {
    let config = host.config.load();
    let bounds = config.as_ref()?.services.get(&host.service())?;
    Some(Arc::clone(&bounds.health_path))
}

/// Asks for the load right before work is sent, and waits only briefly for the answer.
pub async fn refresh(host: &Arc<Host>) {
    // Whether it came in time shows in the age of the figures.
    let _probed = tokio::time::timeout(REFRESH_TIMEOUT, check_health(host)).await;
}

async fn probe(host: &Arc<Host>) {
    let probed = tokio::time::timeout(PROBE_TIMEOUT, check_health(host)).await;
    if let Ok(Err(error)) = &probed {
        host.record_server_unreachable(error);
    }
}

/// Asks once, if the configuration names the service.
async fn check_health(host: &Host) -> std::io::Result<()> {
    let Some(path) = health_path(host) else {
        return Ok(());
    };
    let mut pooled = host.server_connections.acquire(Effect::Idempotent).await?;
    let request = requests::encode_health_check(&path, host.server_connections.address());
    // An answer that names a request belongs to an earlier one.
    let exchange = pooled
        .connection
        .exchange(&request, false, ANSWER_LIMITS, |response| {
            answers::request_id_of(response).is_none()
        });
    let response = match exchange.await {
        Ok(response) => response,
        Err(error) => {
            log::debug!("probe: a health check got no answer: {}", error.cause);
            return Ok(());
        }
    };
    host.record_server_reachable();
    let facts = answers::facts(&response);
    executor::observe_load_report(host, &facts);
    let now_us = host.now_us();
    if let Some(instance) = &facts.instance {
        let health = HealthCheckResult {
            instance,
            healthy: response.head.status == 200,
            cold_left_us: facts.report.cold_left_us.unwrap_or(0),
        };
        host.gate.with(|gate| gate.observe_health(&health, now_us));
    }
    host.server_connections.release(pooled.connection);
    Ok(())
}
