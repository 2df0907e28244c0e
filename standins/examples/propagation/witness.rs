//! Time of the last new work at a backend server stand-in.

use std::net::SocketAddr;
use std::time::Duration;

use standins::backend_server::{WitnessDetail, fetch_witnesses};
use tokio::time::{Instant, sleep};

/// Time between two looks at the witness, in ms.
const LOOK_MS: u64 = 10;

/// Watches a backend server for a time; time from now to the last growth of its runs, in ms.
///
/// None when the runs did not grow.
pub async fn last_work_ms(server: SocketAddr, watch_ms: u64) -> Option<u64> {
    let started = Instant::now();
    let mut last_ms = None;
    let mut before = runs(server).await?;
    while started.elapsed() < Duration::from_millis(watch_ms) {
        sleep(Duration::from_millis(LOOK_MS)).await;
        let asked_ms = started.elapsed().as_millis() as u64;
        let now = runs(server).await?;
        if now > before {
            last_ms = Some(asked_ms);
        }
        before = now;
    }
    last_ms
}

async fn runs(server: SocketAddr) -> Option<u64> {
    let witnesses = fetch_witnesses(&[server], WitnessDetail::Totals).await;
    witnesses.ok()?.first().map(|witness| witness.runs)
}
