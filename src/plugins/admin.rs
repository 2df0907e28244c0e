//! Plug-in that serves the administration API.

use std::sync::Arc;

use tokio::net::TcpListener;

use crate::agreement::change::Change;
use crate::agreement::outcome::OutcomeEntry;
use crate::agreement::publish::Publication;
use crate::agreement::publisher::Publisher;
use crate::edge::http_server::{self, HttpBounds};
use crate::kernel::Kernel;
use crate::kernel::error::StepError;
use crate::kernel::plugin::{Plugin, Stage, Started};
use crate::model::config::Config;
use crate::operators::admin_api::access::AdminToken;
use crate::operators::admin_api::backend::AdminBackend;
use crate::operators::admin_api::routes;
use crate::operators::node_status;
use crate::operators::status::ClusterStatus;

/// Connections of operators at most.
const CONNECTIONS_MAX: usize = 64;

/// Time to send the head of a request, in ms.
const HEAD_TIMEOUT_MS: u64 = 5_000;

inventory::submit! { Plugin { name: "admin", stage: Stage::Serve, start } }

fn start(kernel: Arc<Kernel>) -> Started {
    Box::pin(async move {
        let settings = &kernel.settings.admin;
        let Some(address) = settings.listen else {
            return Ok(());
        };
        let error =
            |cause: &dyn std::fmt::Display| StepError::with_peer("admin: bind", address, cause);
        let token = settings.token.as_ref();
        let token = token.map(|token| AdminToken::new(token.expose()));
        let token = token.transpose().map_err(|cause| error(&cause))?;
        let listener = TcpListener::bind(address).await;
        let listener = listener.map_err(|cause| error(&cause))?;
        log::info!("admin: listening on {address}");
        let backend = Arc::new(NodeBackend {
            publisher: Arc::new(Publisher::new(kernel.config_log())),
            kernel: Arc::clone(&kernel),
        });
        let bounds = HttpBounds {
            part: "admin",
            connections_max: CONNECTIONS_MAX,
            head_timeout_ms: HEAD_TIMEOUT_MS,
        };
        let routes = routes(backend, token);
        let served = http_server::serve(Arc::clone(&kernel), listener, bounds, routes);
        kernel.tasks.spawn(served);
        Ok(())
    })
}

/// This node behind the administration API.
#[derive(Debug)]
struct NodeBackend {
    kernel: Arc<Kernel>,
    publisher: Arc<Publisher>,
}

impl AdminBackend for NodeBackend {
    fn config(&self) -> Option<Arc<Config>> {
        self.kernel.state.config_fold.ready_config()
    }

    async fn publish(&self, change: Change) -> Publication {
        self.publisher.publish(&self.kernel, change).await
    }

    async fn status(&self) -> ClusterStatus {
        node_status::of_all(&self.kernel).await
    }

    fn changes(&self) -> Vec<OutcomeEntry> {
        let fold = &self.kernel.state.config_fold;
        fold.with(|fold| fold.outcomes().cloned().collect())
    }
}
