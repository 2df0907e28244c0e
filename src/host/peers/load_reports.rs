//! Load reports between hosts, sent as UDP datagrams; they also serve as heartbeats.
//!
//! Each node reports its load to the hosts of [`ReportTargets`] after a change that matters to them,
//! and periodically without a change. A sender that is unknown, or known only by a previous run of its node, is
//! asked to introduce itself. Reports also go to hosts that have fallen silent, since that is how a
//! node discovers the others after a restart.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use crate::decision::host::peers::{Introduction, LogView, RelayProtocol};
use crate::decision::host::report_schedule::{ReportSchedule, ReportTrigger};
use crate::decision::host::report_targets::{Introductions, KnownHost, ReportTargets};
use crate::host::branches::{proofs, quotas};
use crate::host::context::Host;
use crate::host::log_service::log_proofs;
use crate::host::peers::crash_reports;
use crate::host::peers::fact_datagrams::{self, WireFacts};
use crate::host::peers::peer_rpc::WireIntroduction;
use crate::host::rollouts::requests::own_version;
use crate::host::rollouts::spread;
use crate::kernel::shards::lock;
use crate::model::load::{HostLoad, StartPace};
use crate::model::log_position::LogPosition;
use crate::model::rollout::Version;

/// Minimum interval between two reports.
const REPORT_INTERVAL_MIN: Duration = Duration::from_millis(25);

/// Maximum size of a received datagram, in bytes.
const DATAGRAM_BYTES_MAX: usize = 1_024;

/// Version of the datagram format; datagrams of other versions are ignored.
const WIRE_VERSION: u8 = 1;

#[derive(Debug, Serialize, Deserialize)]
enum Message {
    /// Plain load report of a host that has introduced itself.
    Load,
    /// An introduction; `reply_wanted` asks the receiver for its own.
    Hello {
        introduction: WireIntroduction,
        reply_wanted: bool,
    },
}

#[derive(Debug, Serialize, Deserialize)]
struct Datagram {
    version: u8,
    load: HostLoad,
    /// End offset of the operators' log as seen by the sender.
    operator_end: u64,
    /// Whether the sender follows the operators' log.
    follows_log: bool,
    message: Message,
}

/// What follows a datagram; earlier releases send nothing and pass over it.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct DatagramExtension {
    /// Era of `operator_end`.
    operator_era: u64,
    /// Whether the sender retains records that the operators' log has lost.
    has_lost_records: bool,
}

/// What follows the extension; earlier releases send nothing and pass over it.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct CallsExtension {
    /// Version of the calls that the sender takes.
    calls_version: u8,
}

/// Version of the calls that relay an index of the operators' log and large values in pieces.
const CALLS_VERSION_INDEX: u8 = 1;

/// Version of the calls that also pass long bodies in pieces.
const CALLS_VERSION_PIECES: u8 = 2;

/// What follows the calls extension: the pace of the sender's backend server, if it names a limit.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct PaceExtension(Option<StartPace>);

/// What follows the pace where roll-outs are possible: the version of the sender's backend server.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct VersionExtension(Option<Version>);

/// A received datagram and what follows it.
struct Report {
    datagram: Datagram,
    log_view: LogView,
    takes_pieces: bool,
    pace: Option<StartPace>,
    version: Option<Version>,
}

/// Decodes a datagram and what follows it.
fn decode(bytes: &[u8]) -> Option<Report> {
    let (datagram, mut rest) = postcard::take_from_bytes::<Datagram>(bytes).ok()?;
    if datagram.version != WIRE_VERSION {
        return None;
    }
    let extension = take::<DatagramExtension>(&mut rest);
    let calls = take::<CallsExtension>(&mut rest);
    let calls_version = calls.map(|calls| calls.calls_version);
    let pace = take::<PaceExtension>(&mut rest);
    let version = take::<VersionExtension>(&mut rest);
    let era = extension.map_or(0, |extension| extension.operator_era);
    let log_view = LogView {
        end: LogPosition::new(era, datagram.operator_end),
        follows: datagram.follows_log,
        has_lost_records: extension.is_some_and(|extension| extension.has_lost_records),
        protocol: match (extension, calls_version) {
            (None, _) => RelayProtocol::Records,
            (Some(_), Some(CALLS_VERSION_INDEX..)) => RelayProtocol::Index,
            (Some(_), _) => RelayProtocol::Log,
        },
    };
    Some(Report {
        datagram,
        log_view,
        takes_pieces: calls_version.is_some_and(|version| version >= CALLS_VERSION_PIECES),
        pace: pace.and_then(|pace| pace.0),
        version: version.and_then(|version| version.0),
    })
}

/// Takes an extension from the rest of a datagram; earlier releases send none.
fn take<'a, T: Deserialize<'a>>(rest: &mut &'a [u8]) -> Option<T> {
    let (extension, after) = postcard::take_from_bytes(rest).ok()?;
    *rest = after;
    Some(extension)
}

/// Sends and receives reports until the node stops.
pub async fn run(host: Arc<Host>, socket: UdpSocket) {
    let reporter = LoadReporter {
        host,
        socket: Arc::new(socket),
    };
    reporter.host.datagrams.bind(&reporter.socket);
    tokio::join!(
        reporter.receive(),
        reporter.send(),
        crash_reports::send(&reporter.host, &reporter.socket),
    );
}

struct LoadReporter {
    host: Arc<Host>,
    socket: Arc<UdpSocket>,
}

impl LoadReporter {
    /// Introduces this node to hosts that become known, and sends reports when they are due.
    async fn send(&self) {
        let host = &self.host;
        let mut schedule = ReportSchedule::default();
        let mut introductions = Introductions::default();
        let mut targets = ReportTargets::default();
        let mut targets_version = None;
        loop {
            let next = host.clock.instant_at(schedule.next_due_us());
            let trigger = tokio::select! {
                () = host.stop.stopped() => return,
                () = host.gate.urgent_change.notified() => ReportTrigger::Urgent,
                () = host.gate.other_zone_change.notified() => ReportTrigger::OtherZoneChange,
                () = host.gate.same_zone_change.notified() => ReportTrigger::SameZoneChange,
                () = tokio::time::sleep_until(next.into()) => ReportTrigger::Timer,
            };
            if let Some(newer) = self.targets_after(&mut targets_version) {
                targets = newer;
                let hello = self.datagram(self.hello(true));
                for target in introductions.take_pending(&targets, self.service_changes()) {
                    self.send_to(target, &hello).await;
                }
            }
            let due = schedule.due(trigger, targets.other_zones.len(), host.now_us());
            let groups = [
                (&targets.same_zone, due.same_zone),
                (&targets.other_zones, due.other_zones),
                (&targets.remaining, due.remaining),
            ];
            let datagram = self.datagram(Message::Load);
            for (group, is_due) in groups {
                if !is_due {
                    continue;
                }
                for target in group {
                    self.send_to(*target, &datagram).await;
                }
            }
            lock(&host.peers).forget_silent(host.now_us());
            tokio::time::sleep(REPORT_INTERVAL_MIN).await;
        }
    }

    /// Returns the receivers of reports if the known hosts or the own service are not those of
    /// `version`, and sets it.
    fn targets_after(&self, version: &mut Option<(u64, u16)>) -> Option<ReportTargets> {
        let service_changes = self.service_changes();
        let peers = lock(&self.host.peers);
        let newest = Some((peers.version(), service_changes));
        if std::mem::replace(version, newest) == newest {
            return None;
        }
        let own = KnownHost {
            address: self.host.settings.host.ip,
            zone: &self.host.settings.host.zone,
            service: &self.host.service(),
        };
        Some(ReportTargets::choose(own, peers.known_hosts()))
    }

    fn service_changes(&self) -> u16 {
        self.host.gate.with(|gate| gate.server().service_changes())
    }

    fn hello(&self, reply_wanted: bool) -> Message {
        Message::Hello {
            introduction: self.host.introduction().into(),
            reply_wanted,
        }
    }

    fn datagram(&self, message: Message) -> Vec<u8> {
        let (end, has_lost_records) = {
            let state = lock(&self.host.operator_state);
            (state.end(), state.lost().len() > 0)
        };
        let datagram = Datagram {
            version: WIRE_VERSION,
            load: self.host.gate.load(),
            operator_end: end.offset,
            follows_log: self.host.follows_log.load(Ordering::Relaxed),
            message,
        };
        let extension = DatagramExtension {
            operator_era: end.era,
            has_lost_records,
        };
        let calls = CallsExtension {
            calls_version: CALLS_VERSION_PIECES,
        };
        let pace = PaceExtension(self.host.gate.with(|gate| gate.pace(self.host.now_us())));
        let mut bytes =
            postcard::to_stdvec(&(datagram, extension, calls, pace)).unwrap_or_default();
        if self.host.rollouts.is_some() {
            let version = VersionExtension(own_version(&self.host));
            bytes.extend(postcard::to_stdvec(&version).unwrap_or_default());
        }
        bytes
    }

    async fn send_to(&self, ip: IpAddr, datagram: &[u8]) {
        let address = SocketAddr::new(ip, self.host.settings.listen.shared_port_first);
        if let Err(error) = self.socket.send_to(datagram, address).await {
            log::debug!("load reports: send failed (peer {ip}): {error}");
        }
    }

    async fn receive(&self) {
        let mut buffer = [0; DATAGRAM_BYTES_MAX];
        loop {
            let received = tokio::select! {
                () = self.host.stop.stopped() => return,
                received = self.socket.recv_from(&mut buffer) => received,
            };
            let Ok((length, from)) = received else {
                tokio::time::sleep(REPORT_INTERVAL_MIN).await;
                continue;
            };
            let datagram = &buffer[..length];
            if datagram.first() == Some(&crash_reports::WIRE_VERSION) {
                crash_reports::receive(&self.host, from.ip(), datagram);
                continue;
            }
            if datagram.first() == Some(&fact_datagrams::WIRE_VERSION) {
                self.handle_facts(from.ip(), datagram).await;
                continue;
            }
            match decode(datagram) {
                Some(report) => self.handle(from.ip(), report).await,
                None => self.host.events.count("datagrams_refused"),
            }
        }
    }

    /// Applies a datagram with facts; others than this release knows are counted and ignored.
    async fn handle_facts(&self, from: IpAddr, datagram: &[u8]) {
        match fact_datagrams::decode(datagram) {
            Some(WireFacts::Rollouts(facts)) => spread::receive(&self.host, from, facts),
            Some(WireFacts::FreshnessQuestion(question)) => {
                proofs::answer(&self.host, from, question).await;
            }
            Some(WireFacts::FreshnessAnswer(proof)) => proofs::receive(&self.host, from, proof),
            Some(WireFacts::TokensCollect(collect)) => {
                quotas::answer_collector(&self.host, from, collect).await;
            }
            Some(WireFacts::TokensGiven(given)) => quotas::receive_given(&self.host, from, given),
            Some(WireFacts::TokensAsk(ask)) => quotas::answer_ask(&self.host, from, ask).await,
            Some(WireFacts::TokensGranted(granted)) => {
                quotas::receive_granted(&self.host, from, granted);
            }
            Some(WireFacts::LogProof(proof)) => log_proofs::receive(&self.host, from, proof),
            None => self.host.events.count("datagrams_refused"),
        }
    }

    /// Applies a datagram and replies with an introduction if one is needed.
    async fn handle(&self, from: IpAddr, report: Report) {
        let host = &self.host;
        let Report {
            datagram,
            log_view,
            takes_pieces,
            pace,
            version,
        } = report;
        let now_us = host.now_us();
        let mut reply_wanted = false;
        if let Message::Hello {
            introduction,
            reply_wanted: requested,
        } = datagram.message
        {
            reply_wanted = requested;
            match Introduction::try_from(introduction) {
                Ok(introduction) if introduction.address == from => {
                    let incarnation = introduction.incarnation;
                    let is_new = lock(&host.peers).introduce(introduction, true, now_us);
                    if is_new {
                        host.events.state_changed(
                            "peer-met",
                            serde_json::json!({
                                "peer": from, "incarnation": incarnation.0,
                            }),
                        );
                        crash_reports::send_known(host, &self.socket, from).await;
                    }
                }
                Ok(_) | Err(_) => host.events.count("datagrams_refused"),
            }
        }
        let known = lock(&host.peers).knows(from, datagram.load.incarnation);
        if !known {
            // The report may show that the host has changed its service.
            lock(&host.peers).record_load(from, datagram.load, now_us);
            let hello = self.datagram(self.hello(true));
            return self.send_to(from, &hello).await;
        }
        {
            let mut peers = lock(&host.peers);
            peers.record_load(from, datagram.load, now_us);
            peers.set_log_view(from, log_view);
            peers.set_takes_pieces(from, takes_pieces);
            peers.set_pace(from, pace, now_us);
            if version.is_some() {
                peers.set_version(from, version);
            }
        }
        if log_view.is_ahead_of(&lock(&host.operator_state)) {
            host.operator_log_behind.notify_one();
        }
        if reply_wanted {
            let hello = self.datagram(self.hello(false));
            self.send_to(from, &hello).await;
        }
    }
}
