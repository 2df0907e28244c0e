//! Sums the counters that nodes send by statsd, for each sender.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::time::{Instant, timeout_at};

/// Longest datagram of counters, in bytes.
const DATAGRAM_BYTES_MAX: usize = 65_536;
/// Prefix of every counter of a node.
const STATSD_PREFIX: &str = "bronzelock.";

/// Sums of each sender, by name of the counter.
pub type Sums = BTreeMap<SocketAddr, BTreeMap<String, u64>>;

/// Sums what arrives on the socket for a time.
pub async fn sum_for(socket: &UdpSocket, time: Duration) -> std::io::Result<Sums> {
    let ends = Instant::now() + time;
    let mut sums = Sums::new();
    let mut datagram = vec![0; DATAGRAM_BYTES_MAX];
    while let Ok(received) = timeout_at(ends, socket.recv_from(&mut datagram)).await {
        let (length, sender) = received?;
        let text = String::from_utf8_lossy(&datagram[..length]);
        let counters = sums.entry(sender).or_default();
        for (name, count) in text.lines().filter_map(counter) {
            *counters.entry(name.to_owned()).or_default() += count;
        }
    }
    Ok(sums)
}

/// Name and count of a line such as `bronzelock.gossip.sent:3|c`; none for gauges.
fn counter(line: &str) -> Option<(&str, u64)> {
    let (name, rest) = line.split_once(':')?;
    let count = rest.strip_suffix("|c")?.parse().ok()?;
    Some((name.strip_prefix(STATSD_PREFIX)?, count))
}
