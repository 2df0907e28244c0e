//! What the nodes that follow the operators' log tell each other: that it has nothing new.

use std::net::IpAddr;

use crate::host::context::Host;
use crate::host::peers::fact_datagrams::{self, WireFacts};
use crate::host::peers::relay_rpc::WireLogPosition;
use crate::kernel::shards::lock;
use crate::model::log_position::LogPosition;

/// Tells the other nodes that follow the log that it ends where this node has read it.
pub async fn tell(host: &Host) {
    let end = lock(&host.operator_state).end();
    let own = &host.settings.host;
    let receivers = lock(&host.peers).log_proof_receivers(&own.zone, host.now_us());
    let datagram = fact_datagrams::encode(&WireFacts::LogProof(end.into()));
    for receiver in receivers {
        host.datagrams.send(receiver, &datagram).await;
    }
}

/// Applies what a known node tells; a position that this node has not reached is no proof for it.
pub fn receive(host: &Host, from: IpAddr, proven_end: WireLogPosition) {
    if lock(&host.peers).get(from).is_none() {
        return host.events.count("datagrams_refused");
    }
    let own_end = lock(&host.operator_state).end();
    let end = LogPosition::from(proven_end);
    if end == own_end {
        host.learn_times.log_proof.record(host.now_us());
    } else if end > own_end {
        host.operator_log_behind.notify_one();
    }
}
