//! Loopback addresses of their own for the processes of a test.

use std::net::IpAddr;
use std::sync::atomic::{AtomicU8, Ordering};

/// Takes a loopback address that nothing else uses, in this test program or another.
pub fn unused_address() -> IpAddr {
    static TAKEN: AtomicU8 = AtomicU8::new(1);
    let process = (std::process::id() % 60_000) as u16 + 256;
    let [high, low] = process.to_be_bytes();
    IpAddr::from([127, high, low, TAKEN.fetch_add(1, Ordering::Relaxed)])
}
