//! HTTP listener for announcements from the local backend server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::decision::host::announcement::{Announcement, Departure, Freshness};
use crate::decision::host::gate::HostGate;
use crate::edge::http1::server::{Handler, ServerLimits};
use crate::edge::http1::{MessageLimits, Request, Response};
use crate::host::context::Host;
use crate::host::log_service::operator_log::set_cold_rate;
use crate::host::observe::events::time_of_day_ms;
use crate::host::server::crashes;
use crate::host::server::probe;
use crate::model::host_config::HostConfig;
use crate::model::names::ServiceName;
use crate::platform::announcements::{self, Message};

/// Decodes announcements and applies them to the gate.
#[derive(Debug)]
pub struct AnnouncementHandler(pub Arc<Host>);

/// Size limits and timeouts of an announcement connection.
const CONNECTION_LIMITS: ServerLimits = ServerLimits {
    message: MessageLimits {
        head_bytes_max: 8 << 10,
        body_bytes_max: 16 << 10,
    },
    head_timeout: Duration::from_secs(2),
    idle_timeout: Duration::from_secs(30),
};

impl Handler for AnnouncementHandler {
    fn limits(&self) -> ServerLimits {
        CONNECTION_LIMITS
    }

    async fn answer(self: Arc<Self>, request: Request, _caller: SocketAddr) -> Response {
        let host = &self.0;
        let own_address = host.settings.backend_server.address;
        let body = request.body.to_bytes();
        match announcements::decode(&request.head.target, &body, own_address) {
            Ok(Message::Heartbeat(announcement)) if !is_known(host, &announcement.service) => {
                let error =
                    format_args!("the service {} is unknown", announcement.service.as_str());
                host.events
                    .announcement_refused(&request.head.target, &error);
                return Response::new(400, Vec::new(), error.to_string());
            }
            Ok(Message::Heartbeat(announcement)) => {
                let asked_us = host.now_us();
                if is_first(host, &announcement) {
                    probe::ask_presence(host).await;
                }
                let is_of_ended = host.gate.with(|gate| {
                    let server = gate.server();
                    server.is_of_ended_process(&announcement, asked_us)
                });
                if is_of_ended {
                    host.gate.with(|gate| gate.observe_ended(&announcement));
                    let error = "another process answers at the address";
                    host.events
                        .announcement_refused(&request.head.target, &error);
                    return Response::new(200, Vec::new(), "{}");
                }
                let now_us = host.now_us();
                apply(host, |gate| {
                    let freshness = gate.observe_announcement(announcement.clone(), now_us);
                    Some((announcement, freshness))
                });
            }
            Ok(Message::Deregistered {
                instance,
                start_time_ms,
            }) => {
                let departure = Departure {
                    instance,
                    start_time_ms,
                    received_ms: time_of_day_ms(),
                };
                let now_us = host.now_us();
                let left = Arc::clone(&departure.instance);
                apply(host, |gate| gate.observe_departure(departure, now_us));
                let is_contested = host.gate.with(|gate| gate.is_leave_contested());
                host.events
                    .leave_acknowledged(&left, start_time_ms, is_contested);
            }
            Err(error) => {
                host.events
                    .announcement_refused(&request.head.target, &error);
                return Response::new(400, Vec::new(), error.to_string());
            }
        }
        Response::new(200, Vec::new(), "{}")
    }
}

/// Returns whether the process that announces itself has not done so here before.
fn is_first(host: &Host, announcement: &Announcement) -> bool {
    let freshness = host.gate.with(|gate| gate.server().freshness(announcement));
    freshness == Freshness::NewStart
}

/// Returns whether a service is that of this host, or may be: the configuration has it.
fn is_known(host: &Host, service: &ServiceName) -> bool {
    let config = host.config.load();
    let is_configured = |config: &Arc<HostConfig>| config.services.contains_key(service);
    *service == host.service() || config.as_ref().is_none_or(is_configured)
}

/// Updates the gate and logs the announcement if the state changed or the server restarted.
fn apply(host: &Host, observe: impl FnOnce(&mut HostGate) -> Option<(Announcement, Freshness)>) {
    let now_us = host.now_us();
    let (applied, before, after, service_changed) = host.gate.with(|gate| {
        let (before, changes_before) = (gate.state(now_us), gate.server().service_changes());
        let applied = observe(gate);
        let service_changed = gate.server().service_changes() != changes_before;
        (applied, before, gate.state(now_us), service_changed)
    });
    let Some((announcement, freshness)) = applied else {
        return;
    };
    if freshness != Freshness::Stale {
        host.learn_times.announcement.record(now_us);
    }
    if freshness == Freshness::NewStart {
        host.server_connections.close_all();
        crashes::server_started(host, &announcement.instance);
    }
    if service_changed {
        if let Some(config) = &*host.config.load() {
            set_cold_rate(host, config);
        }
        host.gate.urgent_change.notify_one();
    }
    if freshness == Freshness::NewStart || before != after {
        host.events.announced(&announcement, freshness, after);
    }
}
