//! Limit of the nodes to which one node relays large values at the same time.
//!
//! Few transfers that end soon make more nodes that can relay; many that share the link all end late.

use std::net::SocketAddr;

use crate::model::units::US_PER_MS;

/// Maximum number of concurrent transfers.
const TRANSFERS_MAX: usize = 3;

/// Time without a request after which a transfer counts as abandoned, in µs.
const TRANSFER_SILENCE_MAX_US: u64 = 500 * US_PER_MS;

/// Transfers of one node to others.
#[derive(Debug, Default)]
pub struct RelayLimiter {
    active: Vec<Transfer>,
}

#[derive(Debug)]
struct Transfer {
    /// Address and port of the receiving connection.
    receiver: SocketAddr,
    last_request_us: u64,
}

impl RelayLimiter {
    /// Whether a receiver may get a piece now; starts its transfer if there is room.
    pub fn admit(&mut self, receiver: SocketAddr, now_us: u64) -> bool {
        self.active.retain(|transfer| {
            now_us.saturating_sub(transfer.last_request_us) < TRANSFER_SILENCE_MAX_US
        });
        let known = self
            .active
            .iter_mut()
            .find(|known| known.receiver == receiver);
        if let Some(transfer) = known {
            transfer.last_request_us = now_us;
            return true;
        }
        if self.active.len() >= TRANSFERS_MAX {
            return false;
        }
        self.active.push(Transfer {
            receiver,
            last_request_us: now_us,
        });
        true
    }

    /// Ends the transfer to a receiver.
    pub fn finish(&mut self, receiver: SocketAddr) {
        self.active.retain(|transfer| transfer.receiver != receiver);
    }
}
