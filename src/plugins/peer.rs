//! Plug-in that listens for peer nodes.
//!
//! Because the address can be bound only once, a second node process cannot start on the host.

use std::sync::Arc;

use tokio::net::TcpListener;

use crate::edge::peer_server;
use crate::kernel::Kernel;
use crate::kernel::error::StepError;
use crate::kernel::plugin::{Plugin, Stage, StartFuture};

inventory::submit! { Plugin { name: "peer", stage: Stage::Bind, start } }

fn start(kernel: Arc<Kernel>) -> StartFuture {
    Box::pin(async move {
        let address = kernel.settings.peer.listen;
        let listener = TcpListener::bind(address)
            .await
            .map_err(|cause| StepError::with_peer("peer: bind", address, cause))?;
        log::info!("peer: listening on {address}");
        kernel
            .tasks
            .spawn(peer_server::serve(Arc::clone(&kernel), listener));
        Ok(())
    })
}
