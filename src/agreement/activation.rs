//! Activates a configuration on this node: routers, gate and connection limit.

use std::sync::Arc;

use crate::decision::gate::{GateEvent, GateLimits, OutReason};
use crate::kernel::Kernel;
use crate::kernel::metrics::Event;
use crate::model::config::Config;
use crate::model::units::US_PER_MS;
use crate::settings::NodeSettings;

/// Puts `config` in force unless its version or a newer one already is.
pub fn activate(kernel: &Kernel, config: Arc<Config>) {
    let in_force = kernel.state.config.load().version;
    if config.version <= in_force {
        return;
    }
    let version = config.version;
    kernel.state.routers.for_each(|router| {
        router.set_out(&config.zones_out, &config.servers_out);
    });
    kernel.state.config.store(config);
    configure_gate(kernel);
    kernel.metrics.count(Event::ConfigInForce);
    kernel.state.config_changed.send_replace(version);
    log::info!("config: version {version} is in force");
}

/// Configures the gate anew whenever the announcement of the backend server changes.
///
/// The limits of the gate depend on the announced service.
pub async fn keep_gate_configured(kernel: Arc<Kernel>) {
    let mut server_changed = kernel.state.server_changed.subscribe();
    server_changed.mark_changed();
    loop {
        tokio::select! {
            () = kernel.stop.stopped() => return,
            _changed = server_changed.changed() => configure_gate(&kernel),
        }
    }
}

fn configure_gate(kernel: &Kernel) {
    let config = kernel.state.config.load();
    let gate = &kernel.state.gate;
    gate.handle(GateEvent::SetOut(out_reason(&kernel.settings, &config)));
    let Some(server) = kernel.state.server.load_full() else {
        return;
    };
    let Some(service) = config.services.get(&server.service) else {
        return;
    };
    server
        .pool
        .set_connections_max(service.capacity.connections as usize);
    gate.handle(GateEvent::Configure(GateLimits {
        capacity: service.capacity,
        branches: service.branches.clone(),
        queue_delay_max_us: kernel.settings.gate.queue_delay_max_ms * US_PER_MS,
        queue_length_max: kernel.settings.gate.queue_length_max,
    }));
}

fn out_reason(settings: &NodeSettings, config: &Config) -> Option<OutReason> {
    if config.zones_out.contains(&settings.node.zone) {
        Some(OutReason::Zone)
    } else if config.servers_out.contains(&settings.node.server) {
        Some(OutReason::Server)
    } else {
        None
    }
}
