//! Loopback addresses of their own for the processes of a test.

use std::net::{IpAddr, Ipv4Addr};
use std::sync::atomic::{AtomicU32, Ordering};

/// Bits of an address that tell the addresses of one test program apart.
const ADDRESS_BITS: u32 = 11;

/// Numbers of test programs, and the first; those below and above are used otherwise.
const PROGRAMS: u32 = 8_000;
const FIRST_PROGRAM: u32 = 32;

/// Takes a loopback address that nothing else uses, in this test program or another.
///
/// # Panics
/// Panics if the test program has taken all of its addresses.
pub fn unused_address() -> IpAddr {
    static TAKEN: AtomicU32 = AtomicU32::new(1);
    let taken = TAKEN.fetch_add(1, Ordering::Relaxed);
    assert!(taken < 1 << ADDRESS_BITS, "no loopback address is left");
    let program = std::process::id() % PROGRAMS + FIRST_PROGRAM;
    let network = u32::from(Ipv4Addr::new(127, 0, 0, 0));
    Ipv4Addr::from(network | program << ADDRESS_BITS | taken).into()
}
