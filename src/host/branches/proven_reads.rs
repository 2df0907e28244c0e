//! Turns reads of the operators' log into proofs.

use crate::decision::host::freshness::Proof;
use crate::host::context::Host;
use crate::kernel::shards::lock;
use crate::model::log_position::LogPosition;

/// Records that the log ended at a position when a read began.
pub fn record_read(host: &Host, began_us: u64, end: LogPosition) {
    if let Some(freshness) = &host.freshness {
        let own_end = lock(&host.operator_state).end();
        lock(freshness).learn(
            Proof {
                end,
                at_us: began_us,
            },
            own_end,
        );
    }
}

/// Records that this node holds the log up to where it now does.
pub fn record_advance(host: &Host) {
    if let Some(freshness) = &host.freshness {
        let own_end = lock(&host.operator_state).end();
        lock(freshness).advance(own_end);
    }
}
