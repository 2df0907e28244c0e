//! Signals that stop an example binary.

use tokio::signal::unix::{SignalKind, signal};

/// Completes at the first SIGTERM or SIGINT.
///
/// # Errors
/// The system's error when a signal cannot be watched.
pub async fn stop_requested() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => (),
        _ = interrupt.recv() => (),
    }
    Ok(())
}
