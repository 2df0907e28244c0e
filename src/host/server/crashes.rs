//! Notices ends of the local backend server, and which requests ran there.

use std::sync::Arc;

use crate::decision::host::crash_watch::{Crash, CrashId, CrashWatch, LostRun};
use crate::host::context::Host;
use crate::host::server::quarantine;
use crate::kernel::shards::lock;
use crate::model::host_request::HostWork;
use crate::platform::requests;

/// Records that the connection to the backend server was lost during a run.
///
/// The end of a backend server that is leaving says nothing about its requests.
pub fn run_lost(host: &Host, work: &HostWork, instance: &Arc<str>) {
    if host.gate.with(|gate| gate.is_server_leaving()) {
        return;
    }
    lock(&host.crash_watch).lost(LostRun {
        id: Arc::clone(&work.id),
        digest: requests::digest_of(work),
        instance: Arc::clone(instance),
        at_us: host.now_us(),
    });
}

/// Records that nothing listens at the backend server's address.
pub fn nothing_listens(host: &Host) {
    observe(host, |watch, new_id, now_us| {
        watch.nothing_listens(new_id, now_us)
    });
}

/// Records an answer of an instance to a request that was sent at `sent_us`.
pub fn server_answered(host: &Host, instance: &str, sent_us: u64) {
    observe(host, |watch, new_id, now_us| {
        watch.answered(instance, sent_us, new_id, now_us)
    });
}

/// Records that another process than before has announced itself.
pub fn server_started(host: &Host, instance: &str) {
    server_answered(host, instance, 0);
}

fn observe(host: &Host, observation: impl FnOnce(&mut CrashWatch, CrashId, u64) -> Option<Crash>) {
    let new_id = CrashId(rand::random());
    let crash = observation(&mut lock(&host.crash_watch), new_id, host.now_us());
    if let Some(crash) = crash {
        host.events.server_crashed(&crash);
        quarantine::record_crash(host, &crash);
    }
}
