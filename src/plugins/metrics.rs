//! Plug-in that sends counters and gauges to statsd.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

use cadence::{BufferedUdpMetricSink, NopMetricSink, QueuingMetricSink, StatsdClient};

use crate::kernel::Kernel;
use crate::kernel::error::StepError;
use crate::kernel::plugin::{Plugin, Stage, StartFuture};

/// Interval between flushes, in ms.
const FLUSH_PERIOD_MS: u64 = 1_000;

/// Prefix of all metric names.
const PREFIX: &str = "bronzelock";

inventory::submit! { Plugin { name: "metrics", stage: Stage::Background, start } }

/// Creates a client that sends to `address`, or nothing without one.
///
/// # Errors
/// [`StepError`] if the UDP socket cannot be set up.
pub fn statsd_client(address: Option<SocketAddr>) -> Result<StatsdClient, StepError> {
    let Some(address) = address else {
        return Ok(StatsdClient::from_sink(PREFIX, NopMetricSink));
    };
    let socket_error =
        |cause: &dyn std::fmt::Display| StepError::with_peer("metrics", address, cause);
    let any_port = match address {
        SocketAddr::V4(_) => "0.0.0.0:0",
        SocketAddr::V6(_) => "[::]:0",
    };
    let socket = UdpSocket::bind(any_port).map_err(|cause| socket_error(&cause))?;
    socket
        .set_nonblocking(true)
        .map_err(|cause| socket_error(&cause))?;
    let sink =
        BufferedUdpMetricSink::from(address, socket).map_err(|cause| socket_error(&cause))?;
    Ok(StatsdClient::from_sink(
        PREFIX,
        QueuingMetricSink::from(sink),
    ))
}

fn start(kernel: Arc<Kernel>) -> StartFuture {
    Box::pin(async move {
        let mut ticks = kernel.timer.subscribe(FLUSH_PERIOD_MS, FLUSH_PERIOD_MS);
        let flush_kernel = Arc::clone(&kernel);
        kernel.tasks.spawn(async move {
            while ticks.tick().await.is_some() {
                flush(&flush_kernel);
            }
            flush(&flush_kernel);
        });
        Ok(())
    })
}

fn flush(kernel: &Kernel) {
    let load = kernel.state.gate.load();
    kernel
        .metrics
        .gauge("gate.in-flight", u64::from(load.in_flight));
    kernel.metrics.gauge("gate.queued", u64::from(load.queued));
    kernel.metrics.gauge("gate.limit", u64::from(load.limit));
    kernel.metrics.flush();
}
