//! Sends what is known of roll-outs to other nodes at random, and applies what they send.

use std::net::IpAddr;

use rand::seq::IteratorRandom;

use super::state::Rollouts;
use super::wire::{WireCounts, WireProgress, WireRolloutFacts};
use crate::decision::host::facts::FANOUT;
use crate::decision::host::rollout::evidence::{Counts, CountsKey};
use crate::decision::host::rollout::table::Emptied;
use crate::host::context::Host;
use crate::host::peers::fact_datagrams::{self, WireFacts};
use crate::kernel::shards::lock;

/// Numbers of facts of each kind in one datagram, which must stay below the size of a packet.
const PROGRESS_MAX: usize = 4;
const COUNTS_MAX: usize = 24;
const EMPTIED_MAX: usize = 10;

/// Sends one round to a few nodes; nothing without an order in force.
pub async fn send_round(host: &Host, rollouts: &Rollouts) {
    let Some(round) = next_round(host, rollouts) else {
        return;
    };
    let datagram = fact_datagrams::encode(&WireFacts::Rollouts(round));
    let receivers = {
        let peers = lock(&host.peers);
        let addresses = peers.iter().map(|peer| peer.introduction.address);
        addresses.choose_multiple(&mut rand::rng(), FANOUT)
    };
    for receiver in receivers {
        host.datagrams.send(receiver, &datagram).await;
    }
}

fn next_round(host: &Host, rollouts: &Rollouts) -> Option<WireRolloutFacts> {
    let now_us = host.now_us();
    let mut table = lock(&rollouts.table);
    if table.progress.is_empty() {
        return None;
    }
    let progress = table.progress.next_round(PROGRESS_MAX).into_iter();
    let progress = progress.map(|(order, progress)| WireProgress::new(order, progress, now_us));
    let counts = table.counts.next_round(COUNTS_MAX).into_iter();
    let emptied = table.emptied.next_round(EMPTIED_MAX).into_iter();
    Some(WireRolloutFacts {
        progress: progress.collect(),
        counts: counts.map(WireCounts::from).collect(),
        emptied: emptied.map(|(key, _emptied)| key).collect(),
    })
}

/// Applies what another node knows of the orders that are in force here.
pub fn receive(host: &Host, from: IpAddr, facts: WireRolloutFacts) {
    let is_known = lock(&host.peers).get(from).is_some();
    let Some(rollouts) = host.rollouts.as_ref().filter(|_rollouts| is_known) else {
        host.events.count("datagrams_refused");
        return;
    };
    let now_us = host.now_us();
    let mut table = lock(&rollouts.table);
    let mut changed = false;
    for wire in facts.progress {
        let (order, progress) = wire.into_progress(now_us);
        if table.knows(order) {
            let before = table.phase(order);
            table.progress.learn(order, &progress);
            changed |= table.phase(order) != before;
        }
    }
    let counts: Vec<(CountsKey, Counts)> = facts.counts.into_iter().map(Into::into).collect();
    changed |= !table.learn_counts(counts).is_empty();
    for (order, process) in facts.emptied {
        if table.knows(order) {
            changed |= table.emptied.learn((order, process), &Emptied);
        }
    }
    drop(table);
    if changed {
        rollouts.changed.notify_one();
    }
}
