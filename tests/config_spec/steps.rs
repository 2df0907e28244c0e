//! Steps that are enabled in a state, and their effects.

use bronzelock::agreement::publish::{Event, NotAcceptedReason};

use super::fault::Fault;
use super::log::Entry;
use super::node::Node;
use super::operator::{Operator, Stage};
use super::world::World;

const NODES: [usize; 2] = [0, 1];

/// One step of the specification.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// An operator sends its change to a node, for the first time or again.
    Send { operator: usize, node: usize },
    /// The operator's node handles an event of the attempt.
    Feed { operator: usize, event: Event },
    /// The log carries out a pending append, which stays pending if it is to be duplicated.
    Append { index: usize, duplicated: bool },
    /// The log trims its oldest record.
    Trim,
    /// A node reads the log.
    Read { node: usize },
    /// A node adopts the state of the other if it is newer.
    Adopt { node: usize },
    /// A node sends its snapshot to the log to be appended.
    Snapshot { node: usize },
    /// A node loses its memory and restarts.
    Crash { node: usize },
}

/// Lists the steps that are enabled in a state.
pub fn enabled(world: &World) -> Vec<Step> {
    let mut steps = Vec::new();
    for operator in &world.operators {
        steps.extend(operator_steps(world, operator));
    }
    for index in 0..world.pending_appends.len() {
        steps.push(Step::Append {
            index,
            duplicated: false,
        });
        if world.remaining.duplicates > 0 {
            steps.push(Step::Append {
                index,
                duplicated: true,
            });
        }
    }
    if world.remaining.trims > 0 && !world.log.entries.is_empty() {
        steps.push(Step::Trim);
    }
    for node in NODES {
        steps.extend(node_steps(world, node));
    }
    steps
}

fn operator_steps(world: &World, operator: &Operator) -> Vec<Step> {
    let index = operator.index;
    let feed = |event| Step::Feed {
        operator: index,
        event,
    };
    match operator.stage {
        Stage::Idle if operator.reported.is_none() && world.remaining.sends > 0 => {
            let nodes = publishing_nodes(world).iter();
            let send = |node| Step::Send {
                operator: index,
                node,
            };
            nodes.copied().map(send).collect()
        }
        Stage::Idle => Vec::new(),
        Stage::Reading => {
            let failed = Event::ReadFailed(NotAcceptedReason::LogUnreachable);
            let mut steps = vec![feed(failed), feed(Event::FoldAdvanced)];
            if world.nodes[operator.node].next_offset() >= world.log.next() {
                steps.push(feed(Event::ReadToEnd));
            }
            steps
        }
        Stage::Appending => {
            let mut steps = vec![feed(Event::AppendLost), feed(Event::FoldAdvanced)];
            steps.extend(
                operator
                    .appended_offset
                    .map(|offset| feed(Event::Appended { offset })),
            );
            if operator.appended_offset.is_none() {
                steps.push(feed(Event::AppendRefused(NotAcceptedReason::LogDown)));
            }
            steps
        }
        Stage::Resolving => vec![feed(Event::FoldAdvanced), feed(Event::DeadlinePassed)],
    }
}

/// Nodes to which a change may be sent.
///
/// The nodes are symmetric, so the very first change is sent to the first node only.
fn publishing_nodes(world: &World) -> &'static [usize] {
    let any_sent = world
        .operators
        .iter()
        .any(|operator| operator.change.is_some());
    if any_sent { &NODES } else { &NODES[..1] }
}

fn node_steps(world: &World, node: usize) -> Vec<Step> {
    let mut steps = vec![Step::Adopt { node }];
    if world.nodes[node].next_offset() < world.log.next() {
        steps.push(Step::Read { node });
    }
    if world.remaining.snapshots > 0 && world.nodes[node].next_offset() > 0 {
        steps.push(Step::Snapshot { node });
    }
    if world.remaining.crashes > 0 {
        steps.push(Step::Crash { node });
    }
    steps
}

/// Returns the state after a step.
pub fn apply(world: &World, step: Step, fault: Fault) -> World {
    let mut next = world.clone();
    match step {
        Step::Send { operator, node } => {
            next.remaining.sends -= 1;
            let version = next.nodes[node].version();
            next.operators[operator].send(node, version);
        }
        Step::Feed { operator, event } => feed(&mut next, operator, event, fault),
        Step::Append { index, duplicated } => append(&mut next, index, duplicated),
        Step::Trim => {
            next.remaining.trims -= 1;
            next.log.trim();
        }
        Step::Read { node } => {
            next.nodes[node].read(&world.log, fault);
        }
        Step::Adopt { node } => next.nodes[node].adopt(&world.nodes[1 - node]),
        Step::Snapshot { node } => {
            next.remaining.snapshots -= 1;
            let snapshot = next.nodes[node].clone();
            next.pending_appends.push(Entry::Snapshot(snapshot));
        }
        Step::Crash { node } => crash(&mut next, node),
    }
    if !matches!(step, Step::Crash { .. }) {
        for node in NODES {
            next.history
                .record(Some(&world.nodes[node]), &next.nodes[node]);
        }
    }
    next
}

fn feed(next: &mut World, operator: usize, event: Event, fault: Fault) {
    let operator = &mut next.operators[operator];
    let sends_append = operator.feed(event, &next.nodes[operator.node], fault);
    let entry = operator.change.map(Entry::Change);
    if let Event::AppendRefused(_) = event {
        next.pending_appends
            .retain(|other| Some(other) != entry.as_ref());
    }
    if sends_append {
        next.pending_appends.extend(entry);
    }
}

fn append(next: &mut World, index: usize, duplicated: bool) {
    let entry = next.pending_appends[index].clone();
    let offset = next.log.next();
    for operator in &mut next.operators {
        if operator.change.map(Entry::Change).as_ref() == Some(&entry) {
            operator.appended_offset.get_or_insert(offset);
        }
    }
    if duplicated {
        next.remaining.duplicates -= 1;
    } else {
        next.pending_appends.remove(index);
    }
    next.log.entries.push(entry);
}

fn crash(next: &mut World, node: usize) {
    next.remaining.crashes -= 1;
    next.nodes[node] = Node::default();
    let published_here = |operator: &&mut Operator| operator.node == node;
    let operators = next.operators.iter_mut().filter(published_here);
    operators.for_each(Operator::drop_attempt);
}
