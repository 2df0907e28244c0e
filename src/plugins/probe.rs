//! Plug-in that probes an idle backend server, within its probe budget.
//!
//! A probe only checks whether the backend server can be reached, because what it reports about
//! its health and load is outdated or misleading. Probes are skipped while regular requests are
//! being answered.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::HOST;

use crate::decision::gate::GateEvent;
use crate::decision::probe_budget::ProbeBudget;
use crate::kernel::Kernel;
use crate::kernel::metrics::Event;
use crate::kernel::plugin::{Plugin, Stage, StartFuture};
use crate::model::ids::ConfigVersion;
use crate::request::state::AnnouncedServer;

/// Path of the backend server's health endpoint.
const HEALTH_PATH: &str = "/-/health";

/// Consecutive failed probes after which the backend server counts as absent.
const CONSECUTIVE_FAILURES_MAX: u32 = 3;

inventory::submit! { Plugin { name: "probe", stage: Stage::Serve, start } }

fn start(kernel: Arc<Kernel>) -> StartFuture {
    Box::pin(async move {
        kernel.tasks.spawn(run_probes(Arc::clone(&kernel)));
        Ok(())
    })
}

async fn run_probes(kernel: Arc<Kernel>) {
    let period_ms = kernel.settings.probe.period_ms;
    let mut ticks = kernel.timer.subscribe(period_ms, period_ms);
    let mut budget = ProbeBudget::new(0);
    let mut budget_version = ConfigVersion::default();
    let mut consecutive_failures = 0;
    while let Some(now_us) = ticks.tick().await {
        let Some(server) = kernel.state.server.load_full() else {
            consecutive_failures = 0;
            continue;
        };
        let config = kernel.state.config.load();
        if config.version != budget_version {
            let service = config.services.get(&server.service);
            budget = ProbeBudget::new(service.map_or(0, |service| service.capacity.probes_per_s));
            budget_version = config.version;
        }
        let last_answer_us = kernel.state.last_answer_us.load(Ordering::Relaxed);
        if !budget.allow(now_us, (last_answer_us > 0).then_some(last_answer_us)) {
            kernel.metrics.count(Event::ProbeSkipped);
            continue;
        }
        let answered = probe(&kernel, &server).await;
        consecutive_failures = if answered {
            0
        } else {
            consecutive_failures + 1
        };
        record_result(&kernel, &server, answered, consecutive_failures);
    }
}

/// Sends one probe and returns whether a complete answer arrived in time.
async fn probe(kernel: &Kernel, server: &AnnouncedServer) -> bool {
    kernel.metrics.count(Event::ProbeSent);
    let request = Request::get(HEALTH_PATH)
        .header(HOST, server.pool.address().to_string())
        .body(Full::new(Bytes::new()));
    let Ok(request) = request else { return false };
    let limit = Duration::from_millis(kernel.settings.probe.timeout_ms);
    let sending = server.pool.send(request, None, |_clearing| true);
    matches!(tokio::time::timeout(limit, sending).await, Ok(Ok(_)))
}

fn record_result(
    kernel: &Kernel,
    server: &AnnouncedServer,
    answered: bool,
    consecutive_failures: u32,
) {
    let unreachable = consecutive_failures >= CONSECUTIVE_FAILURES_MAX;
    let was_unreachable = kernel
        .state
        .server_unreachable
        .swap(unreachable, Ordering::Relaxed);
    if unreachable && !was_unreachable {
        log::warn!("probe: the backend server cannot be reached, new work is refused");
        kernel.state.gate.handle(GateEvent::Absent);
    }
    if answered && was_unreachable && !kernel.stop.is_leaving() {
        log::info!("probe: the backend server can be reached again");
        kernel
            .state
            .gate
            .handle(GateEvent::Announced { boot: server.boot });
    }
}
