//! Carries out the orders of roll-outs that are in force.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use super::requests::own_version;
use super::state::Rollouts;
use super::{spread, status_record};
use crate::decision::host::rollout::evidence::Counts;
use crate::decision::host::rollout::phase::Phase;
use crate::decision::host::rollout::table::Emptied;
use crate::decision::host::rollout::trial::{SILENT_EMPTY_US, Situation, Step};
use crate::host::context::Host;
use crate::kernel::StepError;
use crate::kernel::shards::lock;
use crate::model::ids::Incarnation;
use crate::model::load::ServerState;
use crate::model::rollout::{OrderId, RolloutOrder, RolloutState, Version};
use crate::model::units::US_PER_MS;

/// Interval at which orders are looked at and facts are sent.
const TICK: Duration = Duration::from_millis(250);

/// Delay of a decision for each node that comes before this one, in µs.
const RANK_DELAY_US: u64 = 300 * US_PER_MS;

/// Longest time that one attempt to write a record may take; gate and facts wait for it.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// Highest rank that adds to the delay.
const RANK_MAX: usize = 8;

/// Applies the orders of the operators' log; `seen_live` is false at the start of the node.
pub fn apply_orders(host: &Host, orders: Vec<RolloutOrder>, seen_live: bool) {
    let Some(rollouts) = &host.rollouts else {
        return;
    };
    let new = lock(&rollouts.table).set_orders(orders, seen_live, host.now_us());
    for order in &new {
        host.events.state_changed(
            "rollout-ordered",
            serde_json::json!({
                "service": order.service.as_str(), "target": order.target.as_str(),
                "duration_ms": order.duration_us / US_PER_MS, "seen_live": seen_live,
            }),
        );
    }
    rollouts.changed.notify_one();
}

/// What this node still has to do for an order.
#[derive(Debug, Default)]
struct Task {
    /// Whether the record in the log was read or written.
    is_recorded: bool,
    /// Era of the log in which that was.
    recorded_era: u64,
    /// When this node writes the pending decision, in µs.
    write_at_us: Option<u64>,
    /// Last phase that was logged.
    logged_phase: Option<Phase>,
}

/// Carries out orders until the node stops.
pub async fn run(host: Arc<Host>) {
    let Some(rollouts) = &host.rollouts else {
        return;
    };
    let mut tasks: BTreeMap<OrderId, Task> = BTreeMap::new();
    loop {
        let orders: Vec<(RolloutOrder, bool)> = {
            let table = lock(&rollouts.table);
            let orders = table.orders();
            orders
                .map(|active| (active.order.clone(), active.seen_live))
                .collect()
        };
        tasks.retain(|id, _task| orders.iter().any(|(order, _seen_live)| order.id() == *id));
        for (order, seen_live) in &orders {
            let task = tasks.entry(order.id()).or_default();
            carry_out(&host, rollouts, order, *seen_live, task).await;
        }
        set_gate(&host, rollouts);
        spread::send_round(&host, rollouts).await;
        tokio::select! {
            () = host.stop.stopped() => return,
            () = rollouts.changed.notified() => {}
            () = tokio::time::sleep(TICK), if !orders.is_empty() => {}
        }
    }
}

/// Takes the next step of one order.
async fn carry_out(
    host: &Host,
    rollouts: &Rollouts,
    order: &RolloutOrder,
    seen_live: bool,
    task: &mut Task,
) {
    record_own_state(host, rollouts, order);
    let Some(situation) = situation(host, rollouts, order) else {
        return;
    };
    let now_us = host.now_us();
    let era = lock(&host.operator_state).end().era;
    let phase = situation.progress.phase;
    log_phase(host, rollouts, order, phase, task);
    match situation.next_step(now_us) {
        Step::BeginMove => {
            lock(&rollouts.table).enter(order.id(), Phase::Moving);
            rollouts.changed.notify_one();
        }
        Step::Decide(decision) => {
            let wanted = record_of(decision);
            write_in_turn(host, rollouts, order, wanted, false, task).await;
        }
        Step::Wait if phase.is_decided() && (!task.is_recorded || era > task.recorded_era) => {
            write_in_turn(host, rollouts, order, record_of(phase), false, task).await;
        }
        Step::Wait if !task.is_recorded => {
            write_in_turn(
                host,
                rollouts,
                order,
                RolloutState::Running,
                seen_live,
                task,
            )
            .await;
        }
        Step::Wait => task.write_at_us = None,
    }
}

fn record_of(phase: Phase) -> RolloutState {
    match phase {
        Phase::Trial | Phase::Moving => RolloutState::Running,
        Phase::Completed => RolloutState::Completed,
        Phase::RolledBack => RolloutState::RolledBack,
    }
}

/// Writes a record once the nodes that come before this one had their time to do so.
async fn write_in_turn(
    host: &Host,
    rollouts: &Rollouts,
    order: &RolloutOrder,
    wanted: RolloutState,
    overrules: bool,
    task: &mut Task,
) {
    let now_us = host.now_us();
    let delay_us = rank(host, order.id()) as u64 * RANK_DELAY_US;
    let write_at_us = *task.write_at_us.get_or_insert(now_us + delay_us);
    if now_us < write_at_us {
        return;
    }
    task.write_at_us = None;
    let era = lock(&host.operator_state).end().era;
    if overrules && rank(host, order.id()) > 0 {
        // An earlier decision is overruled by the first node alone, or a later one might be.
        task.is_recorded = true;
        return;
    }
    // An append that is given up here may still succeed, and is found by the next read.
    let writing = status_record::write(host, order, wanted, overrules);
    let written = tokio::time::timeout(WRITE_TIMEOUT, writing).await;
    let written = written
        .unwrap_or_else(|elapsed| Err(StepError::local("write the state of a roll-out", elapsed)));
    match written {
        Ok(state) => {
            task.is_recorded = true;
            task.recorded_era = era;
            lock(&rollouts.table).enter(order.id(), Phase::of_record(state));
            rollouts.changed.notify_one();
        }
        Err(error) => {
            host.events.count("rollout_records_failed");
            host.events.state_changed(
                "store-lost",
                serde_json::json!({"part": "rollout", "error": error.to_string()}),
            );
        }
    }
}

/// Number of live nodes that come before this one in the order of a hash.
fn rank(host: &Host, order: OrderId) -> usize {
    let weight = |address: IpAddr| {
        let mut hasher = DefaultHasher::new();
        (order, address).hash(&mut hasher);
        hasher.finish()
    };
    let own = weight(host.settings.host.ip);
    let now_us = host.now_us();
    let peers = lock(&host.peers);
    let live = peers.iter().filter(|peer| peer.is_live(now_us));
    let before = live.filter(|peer| weight(peer.introduction.address) < own);
    before.take(RANK_MAX).count()
}

/// Tells the others when the local backend server is an old one, closed and empty.
fn record_own_state(host: &Host, rollouts: &Rollouts, order: &RolloutOrder) {
    let is_old =
        host.service() == order.service && own_version(host).as_ref() != Some(&order.target);
    let load = host.gate.load();
    let is_empty = !load.state.takes_work() && load.in_flight == 0 && load.queued == 0;
    let mut table = lock(&rollouts.table);
    if is_old && is_empty && table.phase(order.id()) == Some(Phase::Moving) {
        let process = host.introduction().incarnation;
        table.emptied.learn((order.id(), process), &Emptied);
    }
}

/// Closes the gate if the version of the local backend server gets no requests, or opens it.
fn set_gate(host: &Host, rollouts: &Rollouts) {
    let (service, version) = (host.service(), own_version(host));
    let order = lock(&rollouts.table)
        .order(&service)
        .map(|active| active.order.clone());
    let is_out = order.is_some_and(|order| {
        situation(host, rollouts, &order).is_some_and(|situation| {
            let phase = situation.progress.phase;
            if version.as_ref() == Some(&order.target) {
                phase == Phase::RolledBack
            } else {
                let silence_us = lock(&host.peers).silence_us(host.now_us());
                situation.closes_current(host.now_us(), silence_us)
            }
        })
    });
    if host.gate.with(|gate| gate.set_version_out(is_out)) {
        host.gate.urgent_change.notify_one();
        host.events.state_changed(
            "version-out",
            serde_json::json!({"version": version.as_ref().map(Version::as_str), "out": is_out}),
        );
    }
}

/// What this node knows of an order's roll-out.
fn situation(host: &Host, rollouts: &Rollouts, order: &RolloutOrder) -> Option<Situation> {
    let config = host.config.load();
    let timeout_us = config.as_ref()?.longest_timeout_us(&order.service);
    let (progress, verdict) = {
        let table = lock(&rollouts.table);
        let progress = *table.progress.get(&order.id())?;
        (progress, table.order(&order.service)?.verdict)
    };
    let mut situation = Situation {
        progress,
        duration_us: order.duration_us,
        longest_timeout_us: timeout_us,
        verdict,
        target_slots: 0,
        current_slots: 0,
        current_empty: true,
    };
    if host.service() == order.service {
        let load = host.gate.load();
        let is_target = own_version(host).as_ref() == Some(&order.target);
        let process = host.introduction().incarnation;
        let is_empty = is_empty(rollouts, order.id(), process, Some(load.state));
        add_host(&mut situation, is_target, u32::from(load.limit), is_empty);
    }
    let now_us = host.now_us();
    let peers = lock(&host.peers);
    for peer in peers.rollout_hosts(&order.service, now_us) {
        let is_target = peer.version == Some(&order.target);
        let slots = if peer.is_live { peer.slots } else { 0 };
        let is_empty = peer.silence_us >= SILENT_EMPTY_US
            || is_empty(rollouts, order.id(), peer.process, peer.state);
        add_host(&mut situation, is_target, slots, is_empty);
    }
    Some(situation)
}

fn is_empty(
    rollouts: &Rollouts,
    order: OrderId,
    process: Incarnation,
    state: Option<ServerState>,
) -> bool {
    state == Some(ServerState::Absent)
        || lock(&rollouts.table)
            .emptied
            .get(&(order, process))
            .is_some()
}

fn add_host(situation: &mut Situation, is_target: bool, slots: u32, is_empty: bool) {
    if is_target {
        situation.target_slots += slots;
    } else {
        situation.current_slots += slots;
        situation.current_empty &= is_empty;
    }
}

fn log_phase(
    host: &Host,
    rollouts: &Rollouts,
    order: &RolloutOrder,
    phase: Phase,
    task: &mut Task,
) {
    if task.logged_phase == Some(phase) {
        return;
    }
    task.logged_phase = Some(phase);
    let table = lock(&rollouts.table);
    let totals = table.totals(order.id());
    let target = Counts::sum(totals.target.values());
    let current = Counts::sum(totals.current.values());
    let exposed = table
        .order(&order.service)
        .map(|active| active.exposure.exposed());
    drop(table);
    host.events.state_changed(
        "rollout-phase",
        serde_json::json!({
            "service": order.service.as_str(), "target": order.target.as_str(),
            "phase": format!("{phase:?}"), "exposed_here": exposed,
            "target_good": target.good, "target_bad": target.bad,
            "current_good": current.good, "current_bad": current.bad,
        }),
    );
}
