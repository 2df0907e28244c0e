//! HTTP listener for readiness checks of the platform and for metrics.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::metrics;
use crate::edge::http1::server::{Handler, ServerLimits};
use crate::edge::http1::{MessageLimits, Request, Response};
use crate::host::context::Host;
use crate::platform::names;

/// Answers readiness checks and metrics requests.
#[derive(Debug)]
pub struct ReadyHandler(pub Arc<Host>);

/// Size limits and timeouts of a connection.
const CONNECTION_LIMITS: ServerLimits = ServerLimits {
    message: MessageLimits {
        head_bytes_max: 8 << 10,
        body_bytes_max: 1 << 10,
    },
    head_timeout: Duration::from_secs(2),
    idle_timeout: Duration::from_secs(30),
};

/// Path of the metrics in the Prometheus text format.
const METRICS_PATH: &str = "/metrics";

impl Handler for ReadyHandler {
    fn limits(&self) -> ServerLimits {
        CONNECTION_LIMITS
    }

    async fn answer(self: Arc<Self>, request: Request, _caller: SocketAddr) -> Response {
        let host = &self.0;
        match request.head.target.as_str() {
            names::READY_PATH if is_ready(host) => Response::new(200, Vec::new(), "ready\n"),
            names::READY_PATH => Response::new(503, Vec::new(), "not ready\n"),
            METRICS_PATH => Response::new(200, Vec::new(), metrics::text(host)),
            _ => Response::new(404, Vec::new(), ""),
        }
    }
}

/// Returns whether a configuration is known and the node is not leaving.
fn is_ready(host: &Host) -> bool {
    host.config.load().is_some() && !host.stop.is_leaving()
}
