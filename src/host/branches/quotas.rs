//! Keeps branches within their quotas over all nodes.

use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::state::Quotas;
use super::wire::{WireAsk, WireCollect, WireGiven, WireGranted, WireTokens};
use crate::decision::host::peers::Peer;
use crate::decision::host::quota::collector::{BranchHash, Slot};
use crate::decision::host::quota::table::{ASK_TIME_US, AnswerPart, Take};
use crate::host::context::Host;
use crate::host::outcome::RequestFailure;
use crate::host::peers::fact_datagrams::{self, WireFacts};
use crate::kernel::shards::lock;
use crate::model::branch::{Branch, Branches, Quota};
use crate::model::reasons::RefusalReason;

/// Interval of checks whether this node collects.
const TICK: Duration = Duration::from_millis(100);

/// Number of answers of collectors that one request waits for.
const ROUNDS_MAX: usize = 2;

/// Maximum number of branches in one datagram.
const TOKENS_MAX: usize = 60;

/// Admits a request of a branch, or refuses it because the quota is used.
///
/// # Errors
/// The refusal; the request was not sent.
pub async fn admit(host: &Host, branch: &Branch) -> Result<(), RequestFailure> {
    let Some(quotas) = host
        .quotas
        .as_ref()
        .filter(|_quotas| branch.quota.is_some())
    else {
        return Ok(());
    };
    let hash = BranchHash::of(&branch.name);
    let answer = quotas.answer_of(hash);
    let mut taken = lock(&quotas.table).take(hash, host.now_us());
    for round in 0..ROUNDS_MAX {
        let mut answered = std::pin::pin!(answer.notified());
        // An answer that comes before the wait must not be missed.
        answered.as_mut().enable();
        let question = match taken {
            Take::Admitted => return Ok(()),
            Take::Refused { retry_after_us } => return Err(refusal(retry_after_us)),
            Take::Waits => None,
            Take::Ask { collector, wanted } => Some((collector, wanted)),
        };
        let waiting = WaitingRequest {
            quotas,
            branch: hash,
        };
        if let Some((collector, wanted)) = question {
            ask(host, hash, collector, wanted).await;
        }
        let in_time = tokio::time::timeout(Duration::from_micros(ASK_TIME_US), answered).await;
        // The table counts the end of a whole wait itself.
        std::mem::forget(waiting);
        if in_time.is_err() {
            host.events.count("quota_answers_missing");
        }
        let is_last = round + 1 == ROUNDS_MAX;
        taken = lock(&quotas.table).take_after_wait(hash, is_last, host.now_us());
    }
    match taken {
        Take::Refused { retry_after_us } => Err(refusal(retry_after_us)),
        Take::Admitted | Take::Waits | Take::Ask { .. } => Ok(()),
    }
}

/// Guard for a request that waits for a collector; dropping it records that its caller has left.
struct WaitingRequest<'a> {
    quotas: &'a Quotas,
    branch: BranchHash,
}

impl Drop for WaitingRequest<'_> {
    fn drop(&mut self) {
        lock(&self.quotas.table).stop_waiting(self.branch);
    }
}

/// Asks a collector for tokens of a branch.
async fn ask(host: &Host, branch: BranchHash, collector: IpAddr, wanted: u32) {
    let ask = WireAsk {
        branch: branch.0,
        wanted,
    };
    let datagram = fact_datagrams::encode(&WireFacts::TokensAsk(ask));
    host.datagrams.send(collector, &datagram).await;
}

fn refusal(retry_after_us: u64) -> RequestFailure {
    RequestFailure::not_sent(RefusalReason::QuotaExceeded).retry_after(retry_after_us)
}

/// Gives back the token of a request that was refused for another reason.
pub fn refund(host: &Host, branch: &Branch) {
    if let Some(quotas) = host
        .quotas
        .as_ref()
        .filter(|_quotas| branch.quota.is_some())
    {
        lock(&quotas.table).refund(BranchHash::of(&branch.name));
    }
}

/// Collects tokens while the configuration has quotas, until the node stops.
pub async fn run(host: Arc<Host>) {
    let Some(quotas) = &host.quotas else {
        return;
    };
    let mut config_changes = host.config_changes.subscribe();
    let mut is_first = true;
    loop {
        let has_quotas = apply_config(&host, quotas, is_first);
        is_first &= !has_quotas;
        if has_quotas {
            collect(&host, quotas).await;
            log_changes(&host, quotas);
        }
        tokio::select! {
            () = host.stop.stopped() => return,
            _changed = config_changes.changed() => {}
            () = tokio::time::sleep(TICK), if has_quotas => {}
        }
    }
}

/// Applies the quotas in force and the number of nodes; returns whether there are quotas.
fn apply_config(host: &Host, quotas: &Quotas, is_first: bool) -> bool {
    let in_force = quotas_in_force(host);
    let now_us = host.now_us();
    let nodes = lock(&host.peers).node_count();
    // What another run of this node admitted is not known.
    let full = !is_first || host.settings.host.first_start;
    // At the first start of all hosts the list is not whole yet.
    let listed = !host.settings.host.first_start && host.hosts_listed.load(Ordering::Relaxed);
    let mut table = lock(&quotas.table);
    table.observe_nodes(nodes, listed, now_us);
    table.set_quotas(&in_force, full, now_us);
    drop(table);
    quotas.retain_branches(|branch| in_force.iter().any(|(known, _quota)| *known == branch));
    !in_force.is_empty()
}

fn quotas_in_force(host: &Host) -> Vec<(BranchHash, Quota)> {
    let config = host.config.load();
    let branches = config.as_ref().and_then(|config| config.branches.as_ref());
    let all = branches.into_iter().flat_map(Branches::iter);
    all.filter_map(|branch| Some((BranchHash::of(&branch.name), branch.quota?)))
        .collect()
}

/// Asks all nodes for tokens that they do not need, where this node collects.
async fn collect(host: &Host, quotas: &Quotas) {
    let now_us = host.now_us();
    let own = host.settings.host.ip;
    let (all, live): (Vec<IpAddr>, Vec<IpAddr>) = {
        let peers = lock(&host.peers);
        let address = |peer: &Peer| peer.introduction.address;
        let live = peers
            .iter()
            .filter(|peer| peer.is_live(now_us))
            .map(address);
        (peers.iter().map(address).collect(), live.collect())
    };
    let better = |slot: Slot| {
        let weight = slot.weight(own);
        live.iter()
            .filter(|other| slot.weight(**other) < weight)
            .count()
    };
    let due = lock(&quotas.table).due_questions(better, now_us);
    for (slot, question) in due {
        let collect = WireCollect {
            slot: slot.0,
            question,
        };
        let datagram = fact_datagrams::encode(&WireFacts::TokensCollect(collect));
        for receiver in &all {
            host.datagrams.send(*receiver, &datagram).await;
        }
    }
}

/// Answers a collector with the tokens that this node does not need.
pub async fn answer_collector(host: &Host, from: IpAddr, collect: WireCollect) {
    let Some(quotas) = known_sender(host, from) else {
        return;
    };
    let given = lock(&quotas.table).answer(Slot(collect.slot), from, host.now_us());
    let tokens: Vec<WireTokens> = given.into_iter().map(WireTokens::from).collect();
    // An answer without tokens still tells that this node is there.
    let parts = tokens
        .chunks(TOKENS_MAX)
        .chain(tokens.is_empty().then_some(&[][..]));
    for (part, tokens) in (0..=u8::MAX).zip(parts) {
        let given = WireGiven {
            slot: collect.slot,
            question: collect.question,
            part,
            tokens: tokens.to_vec(),
        };
        let datagram = fact_datagrams::encode(&WireFacts::TokensGiven(given));
        host.datagrams.send(from, &datagram).await;
    }
}

/// Adds what a node gives in answer to a question of this one.
pub fn receive_given(host: &Host, from: IpAddr, given: WireGiven) {
    let Some(quotas) = known_sender(host, from) else {
        return;
    };
    let answer = AnswerPart {
        slot: Slot(given.slot),
        question: given.question,
        part: given.part,
        given: given.tokens.into_iter().map(Into::into).collect(),
    };
    lock(&quotas.table).collected(from, answer, host.now_us());
}

/// Gives tokens to a node that asks for them.
pub async fn answer_ask(host: &Host, from: IpAddr, ask: WireAsk) {
    let Some(quotas) = known_sender(host, from) else {
        return;
    };
    let tokens = lock(&quotas.table).grant(BranchHash(ask.branch), ask.wanted);
    let granted = WireGranted {
        branch: ask.branch,
        tokens,
    };
    let datagram = fact_datagrams::encode(&WireFacts::TokensGranted(granted));
    host.datagrams.send(from, &datagram).await;
}

/// Adds tokens that this node asked for, and lets waiting requests go on.
pub fn receive_granted(host: &Host, from: IpAddr, granted: WireGranted) {
    let Some(quotas) = known_sender(host, from) else {
        return;
    };
    let branch = BranchHash(granted.branch);
    lock(&quotas.table).granted(branch, granted.tokens, host.now_us());
    quotas.answer_of(branch).notify_waiters();
}

fn known_sender(host: &Host, from: IpAddr) -> Option<&Quotas> {
    let is_known = lock(&host.peers).get(from).is_some();
    let quotas = host.quotas.as_ref().filter(|_quotas| is_known);
    if quotas.is_none() {
        host.events.count("datagrams_refused");
    }
    quotas
}

/// Logs the branches that begin or end to be limited here.
fn log_changes(host: &Host, quotas: &Quotas) {
    let changes = lock(&quotas.table).limited_changes(host.now_us());
    if changes.is_empty() {
        return;
    }
    let config = host.config.load();
    let branches = config.as_ref().and_then(|config| config.branches.as_ref());
    for (hash, limited) in changes {
        let mut all = branches.into_iter().flat_map(Branches::iter);
        let branch = all.find(|branch| BranchHash::of(&branch.name) == hash);
        let quota = branch.and_then(|branch| branch.quota);
        host.events.state_changed(
            if limited {
                "quota-limited"
            } else {
                "quota-free"
            },
            serde_json::json!({
                "branch": branch.map(|branch| &*branch.name),
                "rate_per_s": quota.map(|quota| quota.rate_per_s),
                "burst": quota.map(|quota| quota.burst),
            }),
        );
    }
}
