//! Keeps quarantines in the log service, for nodes that start after all others have ended.
//!
//! The node beside the backend server that ended writes the record, and writes it again if the log
//! service comes back from an older copy.

use std::sync::Arc;
use std::time::Duration;

use crate::decision::host::crash_watch::CrashId;
use crate::decision::host::suspect::{CrashMark, Suspect};
use crate::host::context::Host;
use crate::host::jitter::with_jitter;
use crate::host::observe::events::time_of_day_ms;
use crate::kernel::StepError;
use crate::kernel::shards::lock;
use crate::model::request_digest::RequestDigest;
use crate::platform::names::QUARANTINE_TOPIC;
use crate::platform::store::StoreClient;
use serde::{Deserialize, Serialize};

/// Pauses between attempts, in ms; the last one repeats.
const RETRY_PAUSES_MS: [u64; 4] = [200, 400, 800, 1_500];

/// Maximum time for which the start of a node waits for the records.
const FIRST_READ_TIMEOUT: Duration = Duration::from_millis(300);

/// Interval of checks whether the log has come back from an older copy.
const ERA_POLL_PERIOD: Duration = Duration::from_secs(1);

/// Stored form of a request and the crashes in which it ran.
#[derive(Debug, Serialize, Deserialize)]
struct StoredSuspect {
    digest: RequestDigest,
    marks: Vec<StoredMark>,
}

/// Stored form of a crash that stands.
#[derive(Debug, Serialize, Deserialize)]
struct StoredMark {
    crash: u64,
    /// Time of day, in ms since the Unix epoch.
    time_ms: u64,
}

impl StoredSuspect {
    fn new(suspect: &Suspect, now_us: u64) -> Self {
        let marks = suspect.standing().map(|mark| StoredMark {
            crash: mark.crash.0,
            time_ms: time_of_day_ms().saturating_sub(mark.age_ms(now_us)),
        });
        Self {
            digest: suspect.digest,
            marks: marks.collect(),
        }
    }

    fn into_suspect(self, now_us: u64) -> Suspect {
        let marks = self.marks.iter().map(|mark| {
            let age_ms = time_of_day_ms().saturating_sub(mark.time_ms);
            CrashMark::with_age(CrashId(mark.crash), age_ms, now_us)
        });
        Suspect {
            digest: self.digest,
            marks: marks.collect(),
        }
    }
}

/// Reads the records before this node serves callers, if the log service answers soon.
///
/// Returns whether they were read; at the first start of the whole system there are none.
pub async fn read_first(host: &Host) -> bool {
    if host.settings.host.first_start {
        return true;
    }
    let mut store = StoreClient::new(host.settings.store.address);
    let reading = tokio::time::timeout(FIRST_READ_TIMEOUT, read(host, &mut store));
    matches!(reading.await, Ok(Ok(())))
}

/// Writes the records that are due until the node stops; reads all first unless `is_read`.
pub async fn keep(host: &Arc<Host>, is_read: bool) {
    tokio::select! {
        () = host.stop.stopped() => {}
        () = read_and_write(host, is_read) => {}
    }
}

async fn read_and_write(host: &Host, mut is_read: bool) {
    let mut store = StoreClient::new(host.settings.store.address);
    let mut failures = 0;
    loop {
        let step = if is_read {
            write_due(host, &mut store).await
        } else {
            read(host, &mut store).await
        };
        match step {
            Ok(()) => {
                is_read = true;
                failures = 0;
            }
            Err(error) => {
                host.events.state_changed(
                    "store-lost",
                    serde_json::json!({"part": "quarantine", "error": error.to_string()}),
                );
                let pause_ms = RETRY_PAUSES_MS[failures.min(RETRY_PAUSES_MS.len() - 1)];
                tokio::time::sleep(Duration::from_millis(with_jitter(pause_ms))).await;
                failures += 1;
                continue;
            }
        }
        let has_written = host.quarantine_records.has_written();
        tokio::select! {
            () = host.quarantine_records.changed.notified() => {}
            () = tokio::time::sleep(ERA_POLL_PERIOD), if has_written => {}
        }
        let era = lock(&host.operator_state).end().era;
        host.quarantine_records.observe_era(era);
    }
}

/// Reads all records; those of crashes that are too long ago are removed.
async fn read(host: &Host, store: &mut StoreClient) -> Result<(), StepError> {
    let snapshot = store.read_newest(QUARANTINE_TOPIC).await?;
    let now_us = host.now_us();
    for record in snapshot.records {
        let value = record.value.unwrap_or_default();
        let Ok(stored) = postcard::from_bytes::<StoredSuspect>(&value) else {
            host.events.count("quarantine_records_refused");
            continue;
        };
        let suspect = stored.into_suspect(now_us);
        let is_remembered = {
            let mut requests = lock(&host.poison_requests);
            requests.merge(&suspect, now_us);
            requests.contains(&suspect.digest)
        };
        if !is_remembered {
            host.quarantine_records.update(suspect.digest);
        }
    }
    Ok(())
}

/// Writes the records that are due.
async fn write_due(host: &Host, store: &mut StoreClient) -> Result<(), StepError> {
    while let Some(digest) = host.quarantine_records.next_due() {
        let suspect = lock(&host.poison_requests).get(&digest).cloned();
        let standing = suspect.filter(|suspect| suspect.standing().next().is_some());
        let value = match &standing {
            Some(suspect) => {
                let stored = StoredSuspect::new(suspect, host.now_us());
                postcard::to_stdvec(&stored)
                    .map_err(|error| StepError::local("encode the quarantine", error))?
            }
            None => Vec::new(),
        };
        store
            .append(QUARANTINE_TOPIC, &digest.to_string(), &value)
            .await?;
        host.quarantine_records.finish(digest, standing.is_some());
        host.events.count("quarantine_records_written");
    }
    Ok(())
}
