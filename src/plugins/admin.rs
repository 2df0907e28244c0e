//! Plug-in that serves the administration API.

use std::sync::Arc;

use tokio::net::TcpListener;

use crate::edge::http_server::{self, HttpLimits};
use crate::kernel::Kernel;
use crate::kernel::error::StepError;
use crate::kernel::plugin::{Plugin, Stage, StartFuture};
use crate::operators::admin_api::access::{AdminToken, check_listen};
use crate::operators::admin_api::routes;
use crate::operators::node_backend::NodeBackend;

/// Maximum number of open operator connections.
const CONNECTIONS_MAX: usize = 64;
/// Time limit for receiving a request's head, in ms.
const HEAD_TIMEOUT_MS: u64 = 5_000;

inventory::submit! { Plugin { name: "admin", stage: Stage::Serve, start } }

fn start(kernel: Arc<Kernel>) -> StartFuture {
    Box::pin(async move {
        let settings = &kernel.settings.admin;
        let Some(address) = settings.listen else {
            log::info!("admin: admin.listen is not set, the administration API is off");
            return Ok(());
        };
        let token = settings
            .token
            .as_ref()
            .map(|token| AdminToken::new(token.expose()));
        let token = token.transpose();
        let token = token.map_err(|cause| StepError::local("admin: token", cause))?;
        check_listen(address, token.as_ref())
            .map_err(|cause| StepError::with_peer("admin: listen", address, cause))?;
        let listener = TcpListener::bind(address)
            .await
            .map_err(|cause| StepError::with_peer("admin: bind", address, cause))?;
        let limits = HttpLimits {
            log_prefix: "admin",
            connections_max: CONNECTIONS_MAX,
            head_timeout_ms: HEAD_TIMEOUT_MS,
        };
        log::info!("admin: listening on {address}");
        let backend = Arc::new(NodeBackend::new(Arc::clone(&kernel)));
        let served = http_server::serve(
            Arc::clone(&kernel),
            listener,
            limits,
            routes(backend, token),
        );
        kernel.tasks.spawn(served);
        Ok(())
    })
}
