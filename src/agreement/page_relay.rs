//! Relays pages of the log from an availability zone's readers to its other nodes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::catch_up::{Page, Progress};
use crate::decision::log_readers;
use crate::edge::peer_rpc::WirePage;
use crate::kernel::Kernel;
use crate::kernel::metrics::Event;
use crate::model::names::ServerName;
use crate::request::state::ConfigHint;

/// Longest time for one peer to accept a page.
const RELAY_TIMEOUT: Duration = Duration::from_secs(2);

/// Whether this node reads the log for its availability zone.
pub fn is_reader(kernel: &Kernel) -> bool {
    let own = &kernel.settings.node.server;
    let zone = zone_peers(kernel);
    let names = zone.iter().map(|peer| &peer.server);
    log_readers::is_reader(own, names, kernel.settings.log.readers_per_zone)
}

struct ZonePeer {
    server: ServerName,
    address: SocketAddr,
}

/// Live nodes of this availability zone, without this node.
fn zone_peers(kernel: &Kernel) -> Vec<ZonePeer> {
    let zone = &kernel.settings.node.zone;
    let mut found = Vec::new();
    kernel.state.peers.for_each(|peers| {
        let live = peers
            .iter()
            .filter(|(_name, peer)| peer.live && peer.zone == *zone);
        found.extend(live.map(|(server, peer)| ZonePeer {
            server: server.clone(),
            address: peer.address,
        }));
    });
    found
}

/// Sends a page to each live node of the availability zone.
///
/// A node that misses a page recovers through gossip and by reading the log itself.
pub fn relay(kernel: &Arc<Kernel>, page: Page) {
    let page = Arc::new(page);
    for peer in zone_peers(kernel) {
        kernel.metrics.count(Event::PagePassedOn);
        let (task_kernel, page) = (Arc::clone(kernel), Arc::clone(&page));
        kernel.tasks.spawn(async move {
            let sending = send_page(&task_kernel, peer.address, &page);
            let sent = tokio::select! {
                () = task_kernel.stop.stopped() => return,
                sent = tokio::time::timeout(RELAY_TIMEOUT, sending) => sent,
            };
            if !matches!(sent, Ok(true)) {
                log::debug!("config: {} did not accept a page", peer.server);
            }
        });
    }
}

async fn send_page(kernel: &Kernel, peer: SocketAddr, page: &Page) -> bool {
    let Ok(client) = kernel.state.peer_pool.client(peer).await else {
        return false;
    };
    let context = tarpc::context::current();
    let reader = kernel.settings.peer.listen;
    let wire = WirePage::new(page, reader);
    client.config_page(context, wire).await.is_ok()
}

/// Applies a page relayed by a reader.
///
/// Requests the reader's state when this node is not up to date after the page.
pub fn receive(kernel: &Kernel, wire: WirePage) {
    let reader = wire.reader;
    let version = kernel.state.config.load().version;
    let page = Page::from(wire);
    let progress = kernel.state.config_fold.apply_page(kernel, &page);
    let up_to_date = matches!(
        progress,
        Some(Progress::CaughtUp | Progress::LogShorter { .. })
    );
    if !up_to_date {
        let hint = ConfigHint {
            peer: reader,
            version: crate::model::ids::ConfigVersion(version.0 + 1),
        };
        kernel.state.config_hint.send_replace(Some(hint));
    }
}
