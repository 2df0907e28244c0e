//! Waits for a condition.

use std::time::Duration;

/// Time between two looks at a condition.
const LOOK_PERIOD: Duration = Duration::from_millis(20);

/// Waits until a condition holds; fails when it does not within `limit`.
pub async fn eventually_within(limit: Duration, what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let until = tokio::time::Instant::now() + limit;
    while !holds().await {
        assert!(tokio::time::Instant::now() < until, "never: {what}");
        tokio::time::sleep(LOOK_PERIOD).await;
    }
}
