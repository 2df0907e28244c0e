//! End of the connections from other nodes while the node drains.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use super::shared_stream::SharedStream;
use crate::kernel::stop::Stop;

/// Time in which the first call on a new connection arrives.
const FIRST_CALL_PERIOD: Duration = Duration::from_millis(300);

/// Resolves when a connection that is opened now may end after its answers.
pub async fn drain_signal(stop: Stop) {
    let first_call_by = Instant::now() + FIRST_CALL_PERIOD;
    stop.draining().await;
    tokio::time::sleep_until(first_call_by).await;
}

/// If the node drains, waits until the peer has received all answers and closed the connection.
///
/// Ends without that when the node stops.
pub async fn close_delivered(stream: SharedStream, peer: SocketAddr, stop: &Stop) {
    if !stop.is_draining() {
        return;
    }
    tokio::select! {
        () = stop.stopped() => {}
        () = close(stream, peer) => {}
    }
}

/// Closes a connection that owes no answer.
///
/// Calls that arrive meanwhile are not run. The peer learns so on a new connection, for which the
/// node waits.
async fn close(stream: SharedStream, peer: SocketAddr) {
    match stream.close_delivered().await {
        Ok(0) => {}
        Ok(_discarded_bytes) => tokio::time::sleep(FIRST_CALL_PERIOD).await,
        Err(error) => log::debug!("peer: connection to {peer} broke at its end: {error}"),
    }
}
