//! Runtime of the example binaries.

use tokio::runtime::{Builder, Runtime};

/// Worker threads of an example binary.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::Args)]
pub struct Threads {
    /// Worker threads; one per core when absent
    #[arg(long, value_parser = clap::value_parser!(u16).range(1..))]
    pub threads: Option<u16>,
}

/// Starts a runtime with timers and sockets.
///
/// # Errors
/// The system's error when its threads cannot be started.
pub fn start(threads: Threads) -> std::io::Result<Runtime> {
    let mut builder = Builder::new_multi_thread();
    if let Some(threads) = threads.threads {
        builder.worker_threads(usize::from(threads));
    }
    builder.enable_all().build()
}
