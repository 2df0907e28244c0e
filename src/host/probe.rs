//! Asks the backend server for its health and load, unless its answers have just told them.

use std::sync::Arc;
use std::time::Duration;

use super::backend_server::ANSWER_LIMITS;
use super::context::Host;
use super::executor;
use crate::decision::host::gate::HealthCheckResult;
use crate::model::request::Effect;
use crate::model::units::{US_PER_MS, US_PER_S};
use crate::platform::{answers, requests};

/// Time between two looks whether a probe is due.
const PERIOD: Duration = Duration::from_millis(50);

/// Age of the load figures from which a probe is due, in µs.
const LOAD_AGE_MAX_US: u64 = 80 * US_PER_MS;

/// Longest time that a probe takes.
const TIMEOUT: Duration = Duration::from_millis(400);

/// Longest time that work waits for a probe.
const REFRESH_TIMEOUT: Duration = Duration::from_millis(30);

/// Part of the allowed probes that is used.
const BUDGET_PART: f64 = 0.5;

/// Probes until the node stops.
pub async fn run(host: Arc<Host>) {
    let pause_us = (US_PER_S as f64 / (host.settings.bounds.probes_per_s * BUDGET_PART)) as u64;
    let mut next_us = 0;
    let mut ticks = tokio::time::interval(PERIOD);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = host.stop.stopped() => return,
            _tick = ticks.tick() => {}
        }
        host.server.close_idle();
        let now_us = host.now_us();
        if now_us < next_us || is_known(&host, now_us) {
            continue;
        }
        next_us = now_us + pause_us;
        probe(&host).await;
    }
}

fn is_known(host: &Host, now_us: u64) -> bool {
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
    let _asked = tokio::time::timeout(REFRESH_TIMEOUT, ask(host)).await;
}

async fn probe(host: &Arc<Host>) {
    let asked = tokio::time::timeout(TIMEOUT, ask(host)).await;
    if let Ok(Err(error)) = &asked {
        host.note_server_unreachable(error);
    }
}

/// Asks once, if the configuration names the service.
async fn ask(host: &Host) -> std::io::Result<()> {
    let Some(path) = health_path(host) else {
        return Ok(());
    };
    let mut lease = host.server.lease(Effect::Idempotent).await?;
    let request = requests::encode_health_check(&path, host.server.address());
    // An answer that names a request belongs to an earlier one.
    let exchange = lease
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
    host.note_server_reachable();
    let facts = answers::decode_facts(&response);
    executor::observe(host, &facts);
    let now_us = host.now_us();
    if let Some(instance) = &facts.instance {
        let health = HealthCheckResult {
            instance,
            healthy: response.head.status == 200,
            cold_left_us: facts.report.cold_left_us.unwrap_or(0),
        };
        host.gate.with(|gate| gate.observe_health(&health, now_us));
    }
    host.server.give_back(lease.connection);
    Ok(())
}
