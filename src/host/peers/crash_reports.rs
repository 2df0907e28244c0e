//! Datagrams with which nodes tell each other of requests under which backend servers ended.
//!
//! News goes to all nodes at once, a few times. What is known is also repeated to nodes chosen at
//! random, for those that were cut off or have just started. Earlier releases ignore the datagrams.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use crate::decision::host::crash_watch::CrashId;
use crate::decision::host::suspect::{CRASHES_MAX, CrashMark, Suspect};
use crate::host::context::Host;
use crate::host::server::quarantine;
use crate::kernel::shards::lock;
use crate::model::request_digest::RequestDigest;

/// Version of the datagram format, in its first byte; load reports have others.
pub const WIRE_VERSION: u8 = 2;

/// Maximum size of a datagram, in bytes.
const DATAGRAM_BYTES_MAX: usize = 1_000;

/// Maximum encoded size of a crash, in bytes.
const CRASH_BYTES_MAX: usize = 21;

/// Pause between two rounds of the same news.
const NEWS_PERIOD: Duration = Duration::from_millis(250);

/// Interval at which what is known is repeated.
const REPEAT_PERIOD: Duration = Duration::from_secs(1);

/// Number of nodes to which it is repeated.
const REPEAT_PEERS: usize = 2;

/// Wire form of what a node knows.
#[derive(Debug, Serialize, Deserialize)]
struct WireReport {
    version: u8,
    suspects: Vec<WireSuspect>,
}

/// Wire form of a request and the crashes in which it ran.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct WireSuspect {
    digest: RequestDigest,
    marks: Vec<WireMark>,
}

/// Wire form of a crash; its time is sent relative to now, since the clocks of nodes differ.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct WireMark {
    crash: u64,
    age_ms: u64,
    refuted: bool,
}

impl WireSuspect {
    /// Creates the wire form at time `now_us` of the sender's clock.
    fn new(suspect: &Suspect, now_us: u64) -> Self {
        let marks = suspect.marks.iter().map(|mark| WireMark {
            crash: mark.crash.0,
            age_ms: mark.age_ms(now_us),
            refuted: mark.refuted,
        });
        Self {
            digest: suspect.digest,
            marks: marks.collect(),
        }
    }

    /// Converts to a suspect at time `now_us` of the receiver's clock.
    fn into_suspect(self, now_us: u64) -> Suspect {
        let marks = self.marks.into_iter().take(CRASHES_MAX);
        let marks = marks.map(|mark| CrashMark {
            refuted: mark.refuted,
            ..CrashMark::with_age(CrashId(mark.crash), mark.age_ms, now_us)
        });
        Suspect {
            digest: self.digest,
            marks: marks.collect(),
        }
    }

    fn encoded_bytes_max(&self) -> usize {
        size_of::<RequestDigest>() + 1 + self.marks.len() * CRASH_BYTES_MAX
    }
}

/// Sends news, and repeats what is known, until the node stops.
pub async fn send(host: &Arc<Host>, socket: &UdpSocket) {
    let mut repeats = tokio::time::interval(REPEAT_PERIOD);
    repeats.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let (news_left, is_empty) = {
            let requests = lock(&host.poison_requests);
            (requests.has_news(), requests.is_empty())
        };
        tokio::select! {
            () = host.stop.stopped() => return,
            () = host.crash_news.notified() => send_news(host, socket).await,
            () = tokio::time::sleep(NEWS_PERIOD), if news_left => send_news(host, socket).await,
            _tick = repeats.tick(), if !is_empty => repeat(host, socket).await,
        }
    }
}

/// Tells one node what is known.
pub async fn send_known(host: &Host, socket: &UdpSocket, to: IpAddr) {
    let known = lock(&host.poison_requests).repeated(RequestDigest(rand::random()), host.now_us());
    send_to(host, socket, &[to], &known).await;
}

async fn send_news(host: &Host, socket: &UdpSocket) {
    let news = lock(&host.poison_requests).take_news();
    let receivers: Vec<_> = {
        let peers = lock(&host.peers);
        let addresses = peers.iter().map(|peer| peer.introduction.address);
        addresses.collect()
    };
    send_to(host, socket, &receivers, &news).await;
}

async fn repeat(host: &Host, socket: &UdpSocket) {
    let receivers = {
        let peers = lock(&host.peers);
        let addresses = peers.iter().map(|peer| peer.introduction.address);
        addresses.choose_multiple(&mut rand::rng(), REPEAT_PEERS)
    };
    for receiver in receivers {
        send_known(host, socket, receiver).await;
    }
}

async fn send_to(host: &Host, socket: &UdpSocket, receivers: &[IpAddr], suspects: &[Suspect]) {
    for datagram in datagrams(suspects, host.now_us()) {
        for receiver in receivers {
            let address = SocketAddr::new(*receiver, host.settings.listen.shared_port_first);
            if let Err(error) = socket.send_to(&datagram, address).await {
                log::debug!("crash reports: send failed (peer {receiver}): {error}");
            }
        }
    }
}

/// Encodes suspects, in as many datagrams as they need.
fn datagrams(suspects: &[Suspect], now_us: u64) -> Vec<Vec<u8>> {
    let mut datagrams = Vec::new();
    let mut report = Vec::new();
    let mut bytes = 0;
    for suspect in suspects {
        let wire = WireSuspect::new(suspect, now_us);
        let added = wire.encoded_bytes_max();
        if bytes + added > DATAGRAM_BYTES_MAX && !report.is_empty() {
            datagrams.push(encode(std::mem::take(&mut report)));
            bytes = 0;
        }
        bytes += added;
        report.push(wire);
    }
    if !report.is_empty() {
        datagrams.push(encode(report));
    }
    datagrams
}

fn encode(suspects: Vec<WireSuspect>) -> Vec<u8> {
    let report = WireReport {
        version: WIRE_VERSION,
        suspects,
    };
    postcard::to_stdvec(&report).unwrap_or_default()
}

/// Applies a datagram of a known node; others are counted and ignored.
pub fn receive(host: &Host, from: IpAddr, datagram: &[u8]) {
    let is_known = lock(&host.peers).get(from).is_some();
    let report = postcard::from_bytes::<WireReport>(datagram).ok();
    let Some(report) = report.filter(|_report| is_known) else {
        host.events.count("datagrams_refused");
        return;
    };
    let now_us = host.now_us();
    for suspect in report.suspects {
        quarantine::learn(host, &suspect.into_suspect(now_us));
    }
}
