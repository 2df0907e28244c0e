//! Discovers other hosts through the log service, or through contacts while it is unavailable.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::context::Host;
use super::jitter::with_jitter;
use super::peer_rpc::WireIntroduction;
use crate::decision::host::peers::Introduction;
use crate::kernel::StepError;
use crate::kernel::shards::lock;
use crate::model::names::NameError;
use crate::platform::names::HOSTS_TOPIC;
use crate::platform::store::StoreClient;

/// Delay between writing the own record and reading the others.
///
/// Hosts start together, so the others may still be writing theirs.
const READ_DELAY: Duration = Duration::from_millis(400);

/// Pauses between attempts, in ms; the last one repeats.
const RETRY_PAUSES_MS: [u64; 4] = [200, 400, 800, 1_500];

/// Registers this node and reads the other hosts, with retries until it succeeds.
pub async fn join(host: Arc<Host>) {
    tokio::select! {
        () = host.stop.stopped() => {}
        () = join_with_retries(&host) => {}
    }
}

async fn join_with_retries(host: &Arc<Host>) {
    let mut store = StoreClient::new(host.settings.store.address);
    let mut registered = false;
    for attempt in 0_usize.. {
        match register_and_read_hosts(host, &mut store, &mut registered).await {
            Ok(count) => {
                host.events.state_changed(
                    "hosts-read",
                    serde_json::json!({"count": count, "attempt": attempt}),
                );
                return;
            }
            Err(error) => {
                host.events.state_changed(
                    "store-lost",
                    serde_json::json!({
                        "part": "directory", "error": error.to_string(),
                    }),
                );
                query_contacts(host).await;
            }
        }
        let pause_ms = RETRY_PAUSES_MS[attempt.min(RETRY_PAUSES_MS.len() - 1)];
        tokio::time::sleep(Duration::from_millis(with_jitter(pause_ms))).await;
    }
}

/// Writes the own record once and reads all others; returns how many were read.
async fn register_and_read_hosts(
    host: &Arc<Host>,
    store: &mut StoreClient,
    registered: &mut bool,
) -> Result<usize, StepError> {
    let own = host.introduction();
    if !*registered {
        let wire = WireIntroduction::from(own.clone());
        let value = postcard::to_stdvec(&wire)
            .map_err(|error| StepError::local("encode the introduction", error))?;
        store
            .append(HOSTS_TOPIC, &own.address.to_string(), &value)
            .await?;
        *registered = true;
        tokio::time::sleep(READ_DELAY).await;
    }
    let (records, _end) = store.read_newest(HOSTS_TOPIC).await?;
    let mut count = 0;
    for record in records {
        let value = record.value.unwrap_or_default();
        let Ok(wire) = postcard::from_bytes::<WireIntroduction>(&value) else {
            host.events.count("introductions_refused");
            continue;
        };
        count += usize::from(add_host(host, wire, &own).is_ok());
    }
    host.gate.urgent_change.notify_one();
    Ok(count)
}

/// Adds a host to the known peers, unless it is this one.
fn add_host(host: &Host, wire: WireIntroduction, own: &Introduction) -> Result<(), NameError> {
    let introduction = Introduction::try_from(wire)?;
    if introduction.address != own.address {
        lock(&host.peers).introduce(introduction, false, host.now_us());
    }
    Ok(())
}

/// Requests the known hosts from the contacts in the settings; the first answer is used.
async fn query_contacts(host: &Arc<Host>) {
    let own = host.introduction();
    let port = host.settings.listen.peers.port();
    for contact in &host.settings.contacts {
        let address = SocketAddr::new(contact.ip(), port);
        if contact.ip() == own.address {
            continue;
        }
        let Ok(introductions) = host.peer_clients.known_hosts(address).await else {
            continue;
        };
        for wire in introductions {
            if add_host(host, wire, &own).is_err() {
                host.events.count("introductions_refused");
            }
        }
        host.gate.urgent_change.notify_one();
        return;
    }
}
