//! Finds the other hosts: through the log service, and through contacts while it is away.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::context::Host;
use super::jitter::up_to_half_more;
use super::peer_rpc::WireIntroduction;
use crate::decision::host::peers::Introduction;
use crate::kernel::StepError;
use crate::kernel::shards::lock;
use crate::model::names::NameError;
use crate::platform::names::HOSTS_TOPIC;
use crate::platform::store::StoreClient;

/// Time after the own record was written until the others are read: hosts start together.
const GATHER: Duration = Duration::from_millis(400);

/// Pauses between tries; the last one repeats.
const RETRY_PAUSES_MS: [u64; 4] = [200, 400, 800, 1_500];

/// Introduces this node and learns of the others; tries until it succeeds.
pub async fn join(host: Arc<Host>) {
    tokio::select! {
        () = host.stop.stopped() => {}
        () = join_until_done(&host) => {}
    }
}

async fn join_until_done(host: &Arc<Host>) {
    let mut store = StoreClient::new(host.settings.store.address);
    let mut written = false;
    for attempt in 0_usize.. {
        match write_and_read(host, &mut store, &mut written).await {
            Ok(count) => {
                host.events.state(
                    "hosts-read",
                    serde_json::json!({"count": count, "attempt": attempt}),
                );
                return;
            }
            Err(error) => {
                host.events.state(
                    "store-lost",
                    serde_json::json!({
                        "part": "directory", "error": error.to_string(),
                    }),
                );
                ask_contacts(host).await;
            }
        }
        let pause_ms = RETRY_PAUSES_MS[attempt.min(RETRY_PAUSES_MS.len() - 1)];
        tokio::time::sleep(Duration::from_millis(up_to_half_more(pause_ms))).await;
    }
}

async fn write_and_read(
    host: &Arc<Host>,
    store: &mut StoreClient,
    written: &mut bool,
) -> Result<usize, StepError> {
    let own = host.introduction();
    if !*written {
        let wire = WireIntroduction::from(own.clone());
        let value = postcard::to_stdvec(&wire)
            .map_err(|error| StepError::local("encode the introduction", error))?;
        store
            .append(HOSTS_TOPIC, &own.address.to_string(), &value)
            .await?;
        *written = true;
        tokio::time::sleep(GATHER).await;
    }
    let (records, _end) = store.read_newest(HOSTS_TOPIC).await?;
    let mut count = 0;
    for record in records {
        let value = record.value.unwrap_or_default();
        let Ok(wire) = postcard::from_bytes::<WireIntroduction>(&value) else {
            host.events.count("introductions_refused");
            continue;
        };
        count += usize::from(learn(host, wire, &own).is_ok());
    }
    host.gate.news.notify_one();
    Ok(count)
}

fn learn(host: &Host, wire: WireIntroduction, own: &Introduction) -> Result<(), NameError> {
    let introduction = Introduction::try_from(wire)?;
    if introduction.address != own.address {
        lock(&host.peers).introduce(introduction, false, host.now_us());
    }
    Ok(())
}

/// Asks the contacts of the settings for the hosts that they know.
async fn ask_contacts(host: &Arc<Host>) {
    let own = host.introduction();
    let port = host.settings.listen.peers.port();
    for contact in &host.settings.contacts {
        let address = SocketAddr::new(contact.ip(), port);
        if contact.ip() == own.address {
            continue;
        }
        let Ok(known) = host.peer_clients.known_hosts(address).await else {
            continue;
        };
        for wire in known {
            if learn(host, wire, &own).is_err() {
                host.events.count("introductions_refused");
            }
        }
        host.gate.news.notify_one();
        return;
    }
}
