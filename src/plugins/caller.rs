//! Plug-in that listens for callers' HTTP requests.
//!
//! The address is bound at the start, but connections are accepted only once the node knows a
//! backend server for every service. Otherwise a restarted node would refuse requests because it
//! does not know where to send them. Until then connections are refused, and callers try another
//! node.

use std::convert::Infallible;
use std::sync::Arc;

use tokio::net::{TcpListener, TcpSocket};
use warp::Filter;
use warp::http::{HeaderMap, Method};
use warp::path::FullPath;

use crate::edge::http_server::{self, HttpLimits};
use crate::edge::listen::{BACKLOG, bind};
use crate::kernel::Kernel;
use crate::kernel::error::StepError;
use crate::kernel::plugin::{Plugin, Stage, StartFuture};
use crate::model::names::ServiceName;
use crate::request::classify::HttpRequest;
use crate::request::entry;

/// Interval between readiness checks, in ms.
const READY_CHECK_PERIOD_MS: u64 = 20;

/// Time after which connections are accepted even if the node is not ready, in ms.
const READY_TIMEOUT_MS: u64 = 2_000;

inventory::submit! { Plugin { name: "caller", stage: Stage::Serve, start } }

fn start(kernel: Arc<Kernel>) -> StartFuture {
    Box::pin(async move {
        let address = kernel.settings.caller.listen;
        let bind_error = |cause| StepError::with_peer("caller: bind", address, cause);
        let socket = bind(address).map_err(bind_error)?;
        kernel.tasks.spawn(serve(Arc::clone(&kernel), socket));
        Ok(())
    })
}

async fn serve(kernel: Arc<Kernel>, socket: TcpSocket) {
    wait_until_ready(&kernel).await;
    let listener = match socket.listen(BACKLOG) {
        Ok(listener) => listener,
        Err(error) => {
            log::error!("caller: cannot listen, leaving: {error}");
            return kernel.stop.leave();
        }
    };
    serve_listener(kernel, listener).await;
}

async fn serve_listener(kernel: Arc<Kernel>, listener: TcpListener) {
    let settings = &kernel.settings.caller;
    log::info!("caller: listening on {}", settings.listen);
    let limits = HttpLimits {
        log_prefix: "caller",
        connections_max: settings.connections_max,
        head_timeout_ms: settings.head_timeout_ms,
    };
    let routes = routes(Arc::clone(&kernel));
    http_server::serve(kernel, listener, limits, routes).await;
}

/// Waits until every configured service has a known backend server, or until the timeout.
async fn wait_until_ready(kernel: &Kernel) {
    let mut ticks = kernel
        .timer
        .subscribe(READY_CHECK_PERIOD_MS, READY_CHECK_PERIOD_MS);
    for _ in 0..READY_TIMEOUT_MS / READY_CHECK_PERIOD_MS {
        if has_candidate_for_every_service(kernel) || ticks.tick().await.is_none() {
            return;
        }
    }
    log::info!(
        "caller: not ready within {READY_TIMEOUT_MS} ms, some service has no known backend server"
    );
}

fn has_candidate_for_every_service(kernel: &Kernel) -> bool {
    let config = kernel.state.config.load();
    let has_candidate = |service: &ServiceName| {
        let router = kernel.state.routers.lock(service);
        router.servers_of(service).next().is_some()
    };
    config.version.0 > 0 && config.services.keys().all(has_candidate)
}

fn routes(
    kernel: Arc<Kernel>,
) -> impl Filter<Extract = (impl warp::Reply,), Error = Infallible> + Clone {
    let query =
        warp::query::raw().or_else(|_rejection| async { Ok::<_, Infallible>((String::new(),)) });
    warp::method()
        .and(warp::path::full())
        .and(query)
        .and(warp::header::headers_cloned())
        .and(warp::body::stream())
        .then(
            move |method: Method, path: FullPath, query: String, headers: HeaderMap, body| {
                let path = path.as_str().to_owned();
                let request = HttpRequest {
                    method,
                    path,
                    query,
                    headers,
                };
                entry::handle(Arc::clone(&kernel), request, body)
            },
        )
        .recover(|_rejection: warp::Rejection| async {
            Ok::<_, Infallible>(warp::http::StatusCode::BAD_REQUEST)
        })
}
