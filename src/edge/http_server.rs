//! HTTP listeners on warp and hyper, with connection limits and graceful shutdown.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::body::Incoming;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use warp::Filter;

use crate::kernel::Kernel;
use crate::kernel::metrics::Event;
use crate::kernel::stop::Stop;

use super::listen::accept_pending;
use super::shared_stream::SharedStream;

/// Delay after a failed accept, for example when no file descriptors are left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Age up to which a connection's first request is awaited after the listener has closed.
const FIRST_REQUEST_WAIT_MAX: Duration = Duration::from_millis(200);

/// Interval at which a closing connection is polled for unread bytes.
const UNREAD_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Maximum length of a request head, in bytes.
const HEAD_BYTES_MAX: usize = 64 << 10;

/// Limits and log prefix of an HTTP listener.
#[derive(Debug, Clone, Copy)]
pub struct HttpLimits {
    /// Prefix of the listener's log messages.
    pub log_prefix: &'static str,
    /// Maximum number of open connections.
    pub connections_max: usize,
    /// Maximum time to receive a request head, in ms.
    pub head_timeout_ms: u64,
}

/// Serves `routes` until the node closes its listeners; requests in flight still finish.
pub async fn serve<F>(kernel: Arc<Kernel>, listener: TcpListener, limits: HttpLimits, routes: F)
where
    F: Filter<Error = Infallible> + Clone + Send + Sync + 'static,
    F::Extract: warp::Reply + Send,
    F::Future: Send,
{
    // Keeps the node from ending before the pending connections are served.
    let _joined = kernel.work.hold();
    let permits = Arc::new(Semaphore::new(limits.connections_max));
    let spawn_connection = |stream| {
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            kernel.metrics.count(Event::CallerBroken);
            log::warn!(
                "{}: connection limit reached, dropping a connection",
                limits.log_prefix
            );
            return;
        };
        let connection_kernel = Arc::clone(&kernel);
        let service = warp::service(routes.clone());
        kernel.work.spawn(async move {
            let served = serve_connection(&connection_kernel.stop, stream, limits, service).await;
            if let Err(error) = served {
                connection_kernel.metrics.count(Event::CallerBroken);
                log::debug!(
                    "{}: connection closed with an error: {error}",
                    limits.log_prefix
                );
            }
            drop(permit);
        });
    };
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = kernel.stop.closed() => break,
        };
        match accepted {
            Ok((stream, _address)) => spawn_connection(stream),
            Err(error) => {
                log::warn!("{}: accept failed: {error}", limits.log_prefix);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    match accept_pending(listener) {
        Ok(pending) => {
            let streams = pending.into_iter().map(|(stream, _peer)| stream);
            streams.for_each(spawn_connection);
        }
        Err(error) => log::warn!(
            "{}: pending connections are lost at the close: {error}",
            limits.log_prefix
        ),
    }
}

async fn serve_connection<S, R>(
    stop: &Stop,
    stream: TcpStream,
    limits: HttpLimits,
    service: S,
) -> Result<(), hyper::Error>
where
    S: tower_service::Service<
            hyper::Request<Incoming>,
            Response = hyper::Response<R>,
            Error = Infallible,
        > + Clone
        + Send
        + 'static,
    S::Future: Send + 'static,
    R: hyper::body::Body + Send + 'static,
    R::Data: Send,
    R::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("{}: failed to set TCP_NODELAY: {error}", limits.log_prefix);
    }
    let stream = SharedStream::new(stream);
    let opened_at = Instant::now();
    let mut builder = hyper::server::conn::http1::Builder::new();
    let connection = builder
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.head_timeout_ms))
        .max_buf_size(HEAD_BYTES_MAX)
        .serve_connection(
            TokioIo::new(stream.clone()),
            TowerToHyperService::new(service),
        );
    tokio::pin!(connection);
    tokio::select! {
        served = connection.as_mut() => return served,
        () = stop.closed() => {}
    }
    // Shutting down now would drop requests that have arrived but were not read yet, and the first
    // request of a caller that has just connected. Once read, they are answered, and the shutdown
    // closes the connection after the last response.
    let awaits_first = || !stream.has_been_read() && opened_at.elapsed() < FIRST_REQUEST_WAIT_MAX;
    while stream.has_unread() || awaits_first() {
        tokio::select! {
            served = connection.as_mut() => return served,
            () = tokio::time::sleep(UNREAD_POLL_INTERVAL) => {}
        }
    }
    connection.as_mut().graceful_shutdown();
    connection.await
}
