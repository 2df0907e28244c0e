//! Plug-in that listens for callers' HTTP requests.

use std::convert::Infallible;
use std::sync::Arc;

use tokio::net::TcpListener;
use warp::Filter;
use warp::http::{HeaderMap, Method};
use warp::path::FullPath;

use crate::edge::http_server::{self, HttpBounds};
use crate::kernel::Kernel;
use crate::kernel::error::StepError;
use crate::kernel::plugin::{Plugin, Stage, Started};
use crate::request::classify::HttpRequest;
use crate::request::entry;

inventory::submit! { Plugin { name: "caller", stage: Stage::Serve, start } }

fn start(kernel: Arc<Kernel>) -> Started {
    Box::pin(async move {
        let settings = &kernel.settings.caller;
        let address = settings.listen;
        let listener = TcpListener::bind(address)
            .await
            .map_err(|cause| StepError::with_peer("caller: bind", address, cause))?;
        let bounds = HttpBounds {
            part: "caller",
            connections_max: settings.connections_max,
            head_timeout_ms: settings.head_timeout_ms,
        };
        log::info!("caller: listening on {address}");
        let routes = routes(Arc::clone(&kernel));
        kernel.tasks.spawn(http_server::serve(
            Arc::clone(&kernel),
            listener,
            bounds,
            routes,
        ));
        Ok(())
    })
}

fn routes(
    kernel: Arc<Kernel>,
) -> impl Filter<Extract = (impl warp::Reply,), Error = Infallible> + Clone {
    let query = warp::query::raw().or_else(|_none| async { Ok::<_, Infallible>((String::new(),)) });
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
