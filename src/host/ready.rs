//! Tells the platform whether callers may come to this node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::context::Host;
use crate::edge::http1::server::{Handler, ServerLimits};
use crate::edge::http1::{MessageLimits, Request, Response};
use crate::platform::names;

/// Answers the platform's questions.
#[derive(Debug)]
pub struct ReadyHandler(pub Arc<Host>);

/// Bounds of a question's connection.
const LIMITS: ServerLimits = ServerLimits {
    message: MessageLimits {
        head_bytes_max: 8 << 10,
        body_bytes_max: 1 << 10,
    },
    head_timeout: Duration::from_secs(2),
    idle_timeout: Duration::from_secs(30),
};

/// Path of the counters, as text.
const METRICS_PATH: &str = "/metrics";

impl Handler for ReadyHandler {
    fn limits(&self) -> ServerLimits {
        LIMITS
    }

    async fn answer(self: Arc<Self>, request: Request, _caller: SocketAddr) -> Response {
        let host = &self.0;
        match request.head.target.as_str() {
            names::READY_PATH if is_ready(host) => Response::new(200, Vec::new(), "ready\n"),
            names::READY_PATH => Response::new(503, Vec::new(), "not ready\n"),
            METRICS_PATH => Response::new(200, Vec::new(), host.events.metrics_text(host)),
            _ => Response::new(404, Vec::new(), ""),
        }
    }
}

/// Callers may come once a configuration is known, until the node leaves.
fn is_ready(host: &Host) -> bool {
    host.config.load().is_some() && !host.stop.is_leaving()
}
