//! Discovers other hosts through the log service, or through contacts while it is unavailable.
//!
//! The own record is checked again whenever the log service has come back from an older copy.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::decision::host::peers::Introduction;
use crate::decision::host::registration::{NextCall, RECHECK_DELAY_MS_MAX, Registration};
use crate::host::context::Host;
use crate::host::jitter::with_jitter;
use crate::host::peers::peer_rpc::WireIntroduction;
use crate::kernel::StepError;
use crate::kernel::shards::lock;
use crate::platform::names::HOSTS_TOPIC;
use crate::platform::store::StoreClient;

/// Pauses between attempts, in ms; the last one repeats.
const RETRY_PAUSES_MS: [u64; 4] = [200, 400, 800, 1_500];

/// Keeps this node registered and reads the other hosts until the node stops.
pub async fn join(host: Arc<Host>) {
    tokio::select! {
        () = host.stop.stopped() => {}
        () = stay_registered(&host) => {}
    }
}

/// Registers this node, and again in each new era of the log.
async fn stay_registered(host: &Arc<Host>) {
    let mut registration = Registration::new(host.settings.host.first_start);
    loop {
        let era = join_with_retries(host, registration).await;
        while lock(&host.operator_state).end().era <= era {
            host.log_era_changed.notified().await;
        }
        let delay_ms = rand::random_range(0..RECHECK_DELAY_MS_MAX);
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        registration = Registration::new(false);
    }
}

/// Makes the calls of a registration, with retries until it is done; returns the era of the log.
async fn join_with_retries(host: &Arc<Host>, mut registration: Registration) -> u64 {
    let mut store = StoreClient::new(host.settings.store.address);
    let mut attempt = 0;
    loop {
        match register_and_read_hosts(host, &mut store, &mut registration, attempt).await {
            Ok(era) => return era,
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
        attempt += 1;
    }
}

/// Makes the calls of the registration that are left; returns the era of the last read.
async fn register_and_read_hosts(
    host: &Arc<Host>,
    store: &mut StoreClient,
    registration: &mut Registration,
    attempt: usize,
) -> Result<u64, StepError> {
    let mut era = 0;
    loop {
        match registration.next() {
            NextCall::Append => {
                append_own_record(host, store).await?;
                host.events.count("host_records_written");
                registration.appended();
            }
            NextCall::Read { pause_ms } => {
                tokio::time::sleep(Duration::from_millis(pause_ms)).await;
                let hosts = read_hosts(host, store, attempt).await?;
                era = hosts.era;
                registration.read(hosts.own_is_current);
            }
            NextCall::Done => return Ok(era),
        }
    }
}

/// What a read of the hosts showed.
struct HostsRead {
    /// Whether the own record is among them and current.
    own_is_current: bool,
    /// Era of the log.
    era: u64,
}

async fn append_own_record(host: &Host, store: &mut StoreClient) -> Result<(), StepError> {
    let own = host.introduction();
    let key = own.address.to_string();
    let value = postcard::to_stdvec(&WireIntroduction::from(own))
        .map_err(|error| StepError::local("encode the introduction", error))?;
    store.append(HOSTS_TOPIC, &key, &value).await
}

/// Reads the records of all hosts and adds them to the known ones.
async fn read_hosts(
    host: &Host,
    store: &mut StoreClient,
    attempt: usize,
) -> Result<HostsRead, StepError> {
    let own = host.introduction();
    let snapshot = store.read_newest(HOSTS_TOPIC).await?;
    let era = snapshot.end.era;
    let mut count = 0;
    let mut own_is_current = false;
    for record in snapshot.records {
        let value = record.value.unwrap_or_default();
        let introduction = postcard::from_bytes::<WireIntroduction>(&value)
            .ok()
            .and_then(|wire| Introduction::try_from(wire).ok());
        let Some(introduction) = introduction else {
            host.events.introduction_refused(&record.key);
            continue;
        };
        count += 1;
        own_is_current |= introduction.is_of_same_host(&own);
        add_host(host, introduction, &own);
    }
    host.hosts_listed.store(true, Ordering::Relaxed);
    host.gate.urgent_change.notify_one();
    host.events.state_changed(
        "hosts-read",
        serde_json::json!({
            "count": count, "attempt": attempt, "own_is_current": own_is_current, "era": era,
        }),
    );
    Ok(HostsRead {
        own_is_current,
        era,
    })
}

/// Adds a host to the known peers, unless it is this one.
fn add_host(host: &Host, introduction: Introduction, own: &Introduction) {
    if introduction.address != own.address {
        lock(&host.peers).introduce(introduction, false, host.now_us());
    }
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
            match Introduction::try_from(wire) {
                Ok(introduction) => add_host(host, introduction, &own),
                Err(_invalid_name) => host.events.count("introductions_refused"),
            }
        }
        host.gate.urgent_change.notify_one();
        return;
    }
}
