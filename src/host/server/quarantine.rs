//! Keeps requests that end backend servers away from them, with what all nodes have seen.

use std::pin::pin;

use crate::decision::host::crash_watch::Crash;
use crate::decision::host::suspect::Suspect;
use crate::host::context::Host;
use crate::host::outcome::RequestFailure;
use crate::kernel::shards::lock;
use crate::model::host_request::{HostWork, SERVER_ERROR_MIN};
use crate::model::reasons::RefusalReason;
use crate::platform::requests;

/// Refuses a request that is in quarantine.
///
/// # Errors
/// Returns the refusal; the request was not sent.
pub fn check(host: &Host, work: &HostWork) -> Result<(), RequestFailure> {
    let now_us = host.now_us();
    let known = {
        let requests = lock(&host.poison_requests);
        if requests.is_empty() {
            return Ok(());
        }
        let digest = requests::digest_of(work);
        let quarantine = requests.quarantine(&digest, now_us);
        quarantine.zip(requests.get(&digest).cloned())
    };
    let Some((quarantine, suspect)) = known else {
        return Ok(());
    };
    host.events.quarantine_refused(&work.id, &suspect, now_us);
    Err(RequestFailure::not_sent(RefusalReason::PoisonRequest).retry_after(quarantine.left_us))
}

/// Waits until a request is put in quarantine; returns its refusal.
pub async fn refusal(host: &Host, work: &HostWork) -> RequestFailure {
    loop {
        let mut began = pin!(host.quarantine_began.notified());
        // A quarantine that begins after the check must not be missed.
        began.as_mut().enable();
        if let Err(refusal) = check(host, work) {
            return refusal;
        }
        began.await;
    }
}

/// Records the end of the local backend server against the requests that ran there.
pub fn record_crash(host: &Host, crash: &Crash) {
    let now_us = host.now_us();
    for run in &crash.runs {
        host.quarantine_records.record_crash(run.digest);
        let quarantine = {
            let mut requests = lock(&host.poison_requests);
            requests.record_crash(run.digest, crash.id, run.at_us, now_us);
            requests.quarantine(&run.digest, now_us)
        };
        if let Some(quarantine) = quarantine {
            host.events.quarantined(run.digest, quarantine);
            host.quarantine_began.notify_waiters();
            host.quarantine_records.update(run.digest);
        }
    }
    host.crash_news.notify_one();
}

/// Records that the local backend server answered a request.
pub fn record_answer(host: &Host, work: &HostWork, status: u16) {
    if status >= SERVER_ERROR_MIN {
        return;
    }
    let (digest, was_recorded, is_news) = {
        let mut requests = lock(&host.poison_requests);
        if requests.is_empty() {
            return;
        }
        let digest = requests::digest_of(work);
        let was_quarantined = requests.get(&digest).is_some_and(Suspect::was_quarantined);
        let is_news = requests.record_answer(&digest);
        (digest, was_quarantined, is_news)
    };
    if is_news && was_recorded {
        host.quarantine_records.update(digest);
    }
    if is_news {
        host.events.suspicion_refuted(&work.id, digest);
        host.crash_news.notify_one();
    }
}

/// Applies what another node knows of a request.
pub fn learn(host: &Host, heard: &Suspect) {
    let now_us = host.now_us();
    let (is_new, quarantine) = {
        let mut requests = lock(&host.poison_requests);
        let is_new = requests.merge(heard, now_us);
        (is_new, requests.quarantine(&heard.digest, now_us))
    };
    if let Some(quarantine) = quarantine.filter(|_quarantine| is_new) {
        host.events.quarantined(heard.digest, quarantine);
        host.quarantine_began.notify_waiters();
        host.quarantine_records.update_if_crashed_here(heard.digest);
    }
    if is_new || lock(&host.poison_requests).has_news() {
        host.crash_news.notify_one();
    }
}
