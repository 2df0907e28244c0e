//! Metrics of a node in the Prometheus text format.

use crate::host::context::Host;
use crate::kernel::shards::lock;
use crate::model::units::US_PER_MS;

/// Returns counters, gauges and latencies in the Prometheus text format.
pub fn text(host: &Host) -> String {
    let load = host.gate.load();
    let mut text = String::new();
    let mut line = |name: &str, value: u64| {
        text.extend(["bronzelock_", name, " ", &value.to_string(), "\n"]);
    };
    for (counter, count) in host.events.counters() {
        line(&counter, count);
    }
    line("gate_in_flight", u64::from(load.in_flight));
    line("gate_queued", u64::from(load.queued));
    line("gate_limit", u64::from(load.limit));
    line("server_slowness_percent", u64::from(load.slowness_percent));
    line(
        "server_connections_opened",
        host.server_connections.opened_count(),
    );
    for (name, budget) in host.memory.budgets() {
        let reserved_bytes = budget.reserved_bytes() as u64;
        line(
            &format!("memory_reserved_bytes{{for=\"{name}\"}}"),
            reserved_bytes,
        );
    }
    line(
        "config_version",
        host.config
            .load()
            .as_ref()
            .map_or(0, |config| config.version),
    );
    let (log_era, lost_records) = {
        let state = lock(&host.operator_state);
        (state.end().era, state.lost().len() as u64)
    };
    let quarantined = lock(&host.poison_requests).quarantined_count(host.now_us());
    line("quarantined_requests", quarantined as u64);
    line("log_era", log_era);
    line("log_lost_records", lost_records);
    line("peers_known", lock(&host.peers).node_count() as u64 - 1);
    line("log_lines_written", host.events.written_lines());
    line("log_write_failures", host.events.write_failures());
    if let Some(rollouts) = &host.rollouts {
        let table = lock(&rollouts.table);
        let orders = table.orders().count() as u64;
        let exposed = table.orders().map(|active| active.exposure.exposed()).sum();
        line("rollout_orders", orders);
        line("rollout_exposed_requests", exposed);
        line("rollout_counts_known", table.counts.iter().count() as u64);
    }
    if let Some(freshness) = &host.freshness
        && let Some(age_us) = lock(freshness).age_us(host.now_us())
    {
        line("proof_age_ms", age_us / US_PER_MS);
    }
    if let Some(quotas) = &host.quotas {
        let (own, pooled) = lock(&quotas.table).held();
        line("quota_tokens_own", own as u64);
        line("quota_tokens_pooled", pooled as u64);
    }
    let config = host.config_age();
    let ages = [
        ("config_age_ms", config.config_age_ms),
        ("operator_log_age_ms", config.operator_log_age_ms),
    ];
    for (name, age_ms) in ages {
        if let Some(age_ms) = age_ms {
            line(name, age_ms);
        }
    }
    text.push_str(&host.events.latencies.text());
    text
}
