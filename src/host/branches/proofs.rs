//! Keeps the proof young that the configuration here is the newest.

use std::collections::BTreeSet;
use std::net::IpAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::seq::{IndexedRandom, IteratorRandom};

use super::wire::{WireProof, WireQuestion};
use crate::decision::host::freshness::{Freshness, QuestionNumber, ReaderRole, Refresh};
use crate::host::context::Host;
use crate::host::log_service::log_follower;
use crate::host::peers::fact_datagrams::{self, WireFacts};
use crate::kernel::StepError;
use crate::kernel::shards::lock;
use crate::model::log_position::LogPosition;
use crate::model::units::US_PER_MS;
use crate::platform::store::StoreClient;

/// Interval of checks whether the proof is to be renewed.
const TICK: Duration = Duration::from_millis(200);

/// Pause after a read that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Longest time that one read may take.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// Number of nodes that are asked at once.
const ASKED: usize = 2;

/// One question in so many goes to another availability zone.
const ELSEWHERE_ONE_IN: u32 = 3;

/// Keeps the proof young while the configuration names branches, until the node stops.
pub async fn run(host: Arc<Host>) {
    let Some(freshness) = &host.freshness else {
        return;
    };
    let mut config_changes = host.config_changes.subscribe();
    let mut accepted = true;
    loop {
        let has_branches = has_branches(&host);
        if has_branches {
            renew(&host, freshness).await;
            log_change(&host, freshness, &mut accepted);
        }
        tokio::select! {
            () = host.stop.stopped() => return,
            _changed = config_changes.changed() => {}
            () = tokio::time::sleep(TICK), if has_branches => {}
        }
    }
}

fn has_branches(host: &Host) -> bool {
    let config = host.config.load();
    config
        .as_ref()
        .is_some_and(|config| config.branches.is_some())
}

async fn renew(host: &Host, freshness: &Mutex<Freshness>) {
    let role = reader_role(host);
    let action = lock(freshness).refresh(role, rand::random(), host.now_us());
    match action {
        Refresh::Wait => {}
        Refresh::Ask => ask(host, freshness).await,
        Refresh::Read => {
            ask(host, freshness).await;
            let reading = tokio::time::timeout(READ_TIMEOUT, read(host));
            if let Ok(Ok(())) = reading.await {
                host.events.count("freshness_reads");
            } else {
                // The line `keys-unproven` tells when it matters.
                host.events.count("freshness_reads_failed");
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Logs when this node begins and ends to refuse requests for want of a proof.
fn log_change(host: &Host, freshness: &Mutex<Freshness>, accepted: &mut bool) {
    let now_us = host.now_us();
    let (accepts, age_us) = {
        let freshness = lock(freshness);
        (freshness.accepts_keys(now_us), freshness.age_us(now_us))
    };
    if std::mem::replace(accepted, accepts) != accepts {
        host.events.state_changed(
            if accepts {
                "keys-accepted"
            } else {
                "keys-unproven"
            },
            serde_json::json!({"proof_age_ms": age_us.map(|us| us / US_PER_MS)}),
        );
    }
}

fn reader_role(host: &Host) -> ReaderRole {
    let own = &host.settings.host;
    let peers = lock(&host.peers);
    let zones_before = peers
        .iter()
        .map(|peer| &peer.introduction.zone)
        .filter(|zone| **zone < own.zone)
        .collect::<BTreeSet<_>>()
        .len();
    ReaderRole {
        follows: peers.is_among_lowest_addresses(own.ip, &own.zone, host.now_us()),
        zones_before,
    }
}

/// Asks a few nodes for their proofs.
async fn ask(host: &Host, freshness: &Mutex<Freshness>) {
    let receivers = receivers(host);
    let number = lock(freshness).ask(host.now_us());
    let question = WireFacts::FreshnessQuestion(WireQuestion { number: number.0 });
    let datagram = fact_datagrams::encode(&question);
    for receiver in receivers {
        host.datagrams.send(receiver, &datagram).await;
    }
}

/// Chooses nodes that may have a younger proof: followers of the log first.
fn receivers(host: &Host) -> Vec<IpAddr> {
    let now_us = host.now_us();
    let own_zone = &host.settings.host.zone;
    let elsewhere = rand::random_ratio(1, ELSEWHERE_ONE_IN);
    let mut rng = rand::rng();
    let peers = lock(&host.peers);
    let live = peers.iter().filter(|peer| peer.is_live(now_us));
    let in_zone = live.filter(|peer| (peer.introduction.zone == *own_zone) != elsewhere);
    let (followers, others): (Vec<_>, Vec<_>) = in_zone.partition(|peer| peer.log_view.follows);
    let follower = followers.choose(&mut rng).copied();
    let rest = others.into_iter().choose_multiple(&mut rng, ASKED);
    let chosen = follower.into_iter().chain(rest).take(ASKED);
    chosen.map(|peer| peer.introduction.address).collect()
}

/// Reads the log, which proves what the node holds as of the beginning of the read.
async fn read(host: &Host) -> Result<(), StepError> {
    let mut store = StoreClient::new(host.settings.store.address);
    log_follower::read_now(host, &mut store).await
}

/// Answers a question, if this node has a proof.
pub async fn answer(host: &Host, from: IpAddr, question: WireQuestion) {
    let Some(proof) = host
        .freshness
        .as_ref()
        .and_then(|known| lock(known).proof())
    else {
        return;
    };
    let answer = WireProof {
        number: question.number,
        age_us: host.now_us().saturating_sub(proof.at_us),
        era: proof.end.era,
        end: proof.end.offset,
    };
    let datagram = fact_datagrams::encode(&WireFacts::FreshnessAnswer(answer));
    host.datagrams.send(from, &datagram).await;
}

/// Applies the answer of a known node.
pub fn receive(host: &Host, from: IpAddr, wire: WireProof) {
    let is_known = lock(&host.peers).get(from).is_some();
    let Some(freshness) = host.freshness.as_ref().filter(|_freshness| is_known) else {
        host.events.count("datagrams_refused");
        return;
    };
    let own_end = lock(&host.operator_state).end();
    let end = LogPosition::new(wire.era, wire.end);
    lock(freshness).answered(QuestionNumber(wire.number), wire.age_us, end, own_end);
    if end > own_end {
        host.operator_log_behind.notify_one();
    }
}
