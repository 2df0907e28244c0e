//! RPC server for peer nodes.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use tarpc::ChannelError;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

use super::answer_transport::AnswerTransport;
use super::handshake::{self, PeerKey};
use super::http1::client::{KeepAlive, enable_dead_peer_detection};
use super::peer_client::frame_codec;
use super::peer_drain;
use super::peer_rpc::{PeerNode, WireConfig, WirePage, WireStatus, WireTicket};
use super::shared_stream::SharedStream;
use super::wire::{WireCall, WireReply};
use crate::agreement::page_relay;
use crate::kernel::Kernel;
use crate::kernel::metrics::Event;
use crate::model::ids::{ConfigVersion, RequestId};
use crate::model::names::ServiceName;
use crate::model::reasons::{RefusalReason, RunState};
use crate::operators::node_status;
use crate::request::call::{Call, CallResult, Failure, Step};
use crate::request::executor;

/// Delay after a failed accept, for example when no file descriptors are left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Maximum number of responses per connection waiting to be written.
const PENDING_RESPONSES_MAX: usize = 1_024;

/// Serves peers until the node stops.
pub async fn serve(kernel: Arc<Kernel>, listener: TcpListener) {
    let key = PeerKey::from_token(kernel.settings.peer.token.expose());
    let permits = Arc::new(Semaphore::new(kernel.settings.peer.connections_max));
    loop {
        let accepted = tokio::select! {
            () = kernel.stop.stopped() => return,
            accepted = listener.accept() => accepted,
        };
        let (stream, address) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("peer: accept failed: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            reject(&kernel, "connection limit reached");
            continue;
        };
        let (connection_kernel, connection_key) = (Arc::clone(&kernel), key.clone());
        kernel.peer_connections.tasks.spawn(async move {
            serve_connection(connection_kernel, stream, address, connection_key).await;
            drop(permit);
        });
    }
}

fn reject(kernel: &Kernel, cause: impl std::fmt::Display) {
    kernel.metrics.count(Event::PeerRejected);
    kernel.metrics.refused(RefusalReason::PeerRejected);
    log::warn!("peer: rejected a connection: {cause}");
}

async fn serve_connection(
    kernel: Arc<Kernel>,
    mut stream: TcpStream,
    address: SocketAddr,
    key: PeerKey,
) {
    let timeout = Duration::from_millis(kernel.settings.peer.connect_timeout_ms);
    let verification = async {
        enable_dead_peer_detection(&stream, KeepAlive::Seldom)?;
        handshake::verify(&mut stream, &key, rand::random()).await
    };
    match tokio::time::timeout(timeout, verification).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => return reject(&kernel, error),
        Err(elapsed) => return reject(&kernel, elapsed),
    }
    let stream = SharedStream::new(stream);
    let framed = frame_codec(kernel.settings.peer.message_bytes_max).new_framed(stream.clone());
    let transport = tarpc::serde_transport::new(framed, Bincode::default());
    let transport = AnswerTransport::new(
        transport,
        kernel.peer_connections.unwritten.clone(),
        CancellationToken::new(),
        peer_drain::drain_signal(kernel.stop.clone()),
    );
    let config = tarpc::server::Config {
        pending_response_buffer: PENDING_RESPONSES_MAX,
    };
    let requests = BaseChannel::new(config, transport).requests();
    let until_stopped = requests.take_until(kernel.stop.stopped());
    tokio::pin!(until_stopped);
    while let Some(request) = until_stopped.next().await {
        match request {
            Ok(request) => {
                let service = PeerService {
                    kernel: Arc::clone(&kernel),
                };
                kernel.work.spawn(request.execute(service.serve()));
            }
            Err(error) if is_malformed(&error) => return reject(&kernel, error),
            Err(error) => {
                log::debug!("peer: connection closed with an error: {error}");
                return;
            }
        }
    }
    peer_drain::close_delivered(stream, address, &kernel.stop).await;
}

/// Whether the peer sent an invalid message, as opposed to disconnecting.
fn is_malformed(error: &ChannelError<std::io::Error>) -> bool {
    match error {
        ChannelError::Read(cause) => {
            matches!(cause.kind(), ErrorKind::InvalidData | ErrorKind::Other)
        }
        _ => false,
    }
}

#[derive(Debug, Clone)]
struct PeerService {
    kernel: Arc<Kernel>,
}

impl PeerNode for PeerService {
    async fn run(self, _context: Context, wire: WireCall) -> WireReply {
        self.kernel.metrics.count(Event::PeerRequest);
        let (id, result) = match wire.into_call(self.kernel.now_us()) {
            Ok(call) => (call.id, run_call(&self.kernel, call).await),
            Err(_name_error) => (RequestId(0), Err(malformed_request())),
        };
        WireReply::new(id, self.kernel.state.gate.load(), result)
    }

    async fn issue_ticket(self, _context: Context, service: ServiceName) -> WireTicket {
        executor::issue_ticket(&self.kernel, &service)
    }

    async fn config_newer_than(
        self,
        _context: Context,
        version: ConfigVersion,
    ) -> Option<WireConfig> {
        let snapshot = self.kernel.state.config_fold.snapshot();
        (snapshot.version() > version).then(|| WireConfig(snapshot.into()))
    }

    async fn config_page(self, _context: Context, page: WirePage) {
        page_relay::receive(&self.kernel, page);
    }

    async fn status(self, _context: Context) -> WireStatus {
        WireStatus {
            node: node_status::own(&self.kernel),
        }
    }
}

async fn run_call(kernel: &Arc<Kernel>, call: Call) -> CallResult {
    executor::run(kernel, &call).await
}

fn malformed_request() -> Failure {
    Failure::new(
        RefusalReason::PeerRejected,
        RunState::Unknown,
        Step::Forward,
    )
}
