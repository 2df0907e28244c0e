//! Accepts connections and serves each until the listener stops.

use std::future::pending;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::answer::{Answer, ConnectionCut};

/// Time that open requests have to finish once the listener stops.
const STOP_GRACE_MS: u64 = 10_000;
/// Pause after a failed accept, such as one for want of file descriptors.
const ACCEPT_RETRY_MS: u64 = 10;

/// Time in which the address of a listener that has stopped becomes free.
const FREE_WITHIN: Duration = Duration::from_secs(5);
/// Pause between two tries to bind an address that is in use.
const BIND_RETRY: Duration = Duration::from_millis(20);

/// Binds an address, which may be in use for a moment after the listener before has stopped.
///
/// # Errors
/// The system's error when the address cannot be bound.
pub async fn bind_when_free(listen: SocketAddr) -> std::io::Result<TcpListener> {
    let give_up_at = Instant::now() + FREE_WITHIN;
    loop {
        match TcpListener::bind(listen).await {
            Err(error) if error.kind() == ErrorKind::AddrInUse && Instant::now() < give_up_at => {
                tokio::time::sleep(BIND_RETRY).await;
            }
            bound => return bound,
        }
    }
}

/// What a stand-in does with connections and requests.
pub trait Handler: Send + Sync + 'static {
    /// State that lives as long as one connection.
    type Connection: Send + Sync + 'static;

    /// Makes the state of a connection that was just accepted.
    fn connection_opened(&self) -> Self::Connection;

    /// Time that opening a connection takes.
    fn open_delay(&self) -> Duration {
        Duration::ZERO
    }

    /// Completes when the connection has to be cut at once; by default never.
    fn connection_cut(_connection: &Self::Connection) -> impl Future<Output = ()> + Send {
        pending()
    }

    /// Answers one request, or cuts its connection.
    fn answer(
        self: Arc<Self>,
        connection: Arc<Self::Connection>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Result<Answer, ConnectionCut>> + Send;
}

/// Listener that runs until it is stopped.
#[derive(Debug)]
pub struct HttpListener {
    address: SocketAddr,
    stop: CancellationToken,
    cut: CancellationToken,
    accepting: JoinHandle<()>,
}

impl HttpListener {
    /// Binds the address and begins to accept.
    ///
    /// # Errors
    /// The system's error when the address cannot be bound.
    pub async fn start<H: Handler>(
        listen: SocketAddr,
        handler: Arc<H>,
    ) -> std::io::Result<HttpListener> {
        let listener = bind_when_free(listen).await?;
        Self::start_on(listener, handler)
    }

    /// Begins to accept on a socket that is bound already.
    ///
    /// # Errors
    /// The system's error when the socket has no address.
    pub fn start_on<H: Handler>(
        listener: TcpListener,
        handler: Arc<H>,
    ) -> std::io::Result<HttpListener> {
        let address = listener.local_addr()?;
        let stop = CancellationToken::new();
        let cut = CancellationToken::new();
        let signals = Signals {
            stop: stop.clone(),
            cut: cut.clone(),
        };
        let accepting = tokio::spawn(accept_all(listener, handler, signals));
        Ok(Self {
            address,
            stop,
            cut,
            accepting,
        })
    }

    /// Address that callers connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting, lets open requests finish and joins all connections.
    pub async fn stop(mut self) {
        self.stop.cancel();
        let grace = Duration::from_millis(STOP_GRACE_MS);
        if timeout(grace, &mut self.accepting).await.is_err() {
            self.join_cut().await;
        }
    }

    /// Cuts every connection at once and joins them.
    pub async fn crash(mut self) {
        self.stop.cancel();
        self.join_cut().await;
    }

    async fn join_cut(&mut self) {
        self.cut.cancel();
        if let Err(error) = (&mut self.accepting).await {
            log::error!("http: accept loop failed: {error}");
        }
    }
}

impl Drop for HttpListener {
    fn drop(&mut self) {
        self.stop.cancel();
        self.cut.cancel();
    }
}

/// Tells connections how to end.
#[derive(Debug, Clone)]
struct Signals {
    stop: CancellationToken,
    cut: CancellationToken,
}

impl Signals {
    /// Signals of one connection, which contend with no other connection.
    fn child(&self) -> Self {
        Self {
            stop: self.stop.child_token(),
            cut: self.cut.child_token(),
        }
    }
}

async fn accept_all<H: Handler>(listener: TcpListener, handler: Arc<H>, signals: Signals) {
    let connections = TaskTracker::new();
    loop {
        let accepted = tokio::select! {
            biased;
            () = signals.stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                connections.spawn(serve(stream, Arc::clone(&handler), signals.child()));
            }
            Err(error) => {
                log::warn!("http: accept failed: {error}");
                tokio::time::sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await;
            }
        }
    }
    drop(listener);
    connections.close();
    connections.wait().await;
}

async fn serve<H: Handler>(stream: TcpStream, handler: Arc<H>, signals: Signals) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("http: no-delay not set: {error}");
    }
    let connection = Arc::new(handler.connection_opened());
    if !handler.open_delay().is_zero() {
        tokio::time::sleep(handler.open_delay()).await;
    }
    let state = Arc::clone(&connection);
    let service =
        service_fn(move |request| Arc::clone(&handler).answer(Arc::clone(&state), request));
    let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::pin!(served);
    tokio::select! {
        biased;
        () = signals.cut.cancelled() => return,
        () = H::connection_cut(&connection) => return,
        () = signals.stop.cancelled() => served.as_mut().graceful_shutdown(),
        result = served.as_mut() => return log_end(result),
    }
    tokio::select! {
        biased;
        () = signals.cut.cancelled() => (),
        () = H::connection_cut(&connection) => (),
        result = served.as_mut() => log_end(result),
    }
}

fn log_end(result: hyper::Result<()>) {
    if let Err(error) = result {
        log::debug!("http: connection ended: {error}");
    }
}
