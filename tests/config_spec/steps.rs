//! Steps that a state allows and what each does.

use bronzelock::agreement::publish::{Event, NotAcceptedReason};

use super::fault::Fault;
use super::log::Entry;
use super::node::Node;
use super::operator::{Operator, Stage};
use super::world::World;

const NODES: [usize; 2] = [0, 1];

/// One event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// An operator sends its change to a node, first or again.
    Begin { operator: usize, node: usize },
    /// The operator's node learns something about the change.
    Feed { operator: usize, event: Event },
    /// The log carries an append out; a doubled one stays on its way.
    Append { index: usize, doubled: bool },
    /// The log forgets its oldest record.
    Trim,
    /// A node reads on.
    Read { node: usize },
    /// A node takes the other's state over if it is newer.
    Adopt { node: usize },
    /// A node sends a snapshot of its state to the log.
    Snapshot { node: usize },
    /// A node loses its memory and starts anew.
    Crash { node: usize },
}

/// Lists the steps that a state allows.
pub fn enabled(world: &World) -> Vec<Step> {
    let mut steps = Vec::new();
    for operator in &world.operators {
        steps.extend(operator_steps(world, operator));
    }
    for index in 0..world.on_the_way.len() {
        steps.push(Step::Append {
            index,
            doubled: false,
        });
        if world.left.doubles > 0 {
            steps.push(Step::Append {
                index,
                doubled: true,
            });
        }
    }
    if world.left.trims > 0 && !world.log.entries.is_empty() {
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
        Stage::Idle if operator.told.is_none() && world.left.sends > 0 => {
            let nodes = nodes_to_ask(world).iter();
            let begin = |node| Step::Begin {
                operator: index,
                node,
            };
            nodes.copied().map(begin).collect()
        }
        Stage::Idle => Vec::new(),
        Stage::Reading => {
            let failed = Event::ReadFailed(NotAcceptedReason::LogUnreachable);
            let mut steps = vec![feed(failed), feed(Event::FoldMoved)];
            if world.nodes[operator.node].next_offset() >= world.log.next() {
                steps.push(feed(Event::ReadToEnd));
            }
            steps
        }
        Stage::Appending => {
            let mut steps = vec![feed(Event::AppendLost), feed(Event::FoldMoved)];
            steps.extend(
                operator
                    .taken_at
                    .map(|offset| feed(Event::Appended { offset })),
            );
            if operator.taken_at.is_none() {
                steps.push(feed(Event::AppendRefused(NotAcceptedReason::LogDown)));
            }
            steps
        }
        Stage::Resolving => vec![feed(Event::FoldMoved), feed(Event::DeadlinePassed)],
    }
}

/// The nodes are alike, so the first change of all goes to the first.
fn nodes_to_ask(world: &World) -> &'static [usize] {
    let begun = world
        .operators
        .iter()
        .any(|operator| operator.change.is_some());
    if begun { &NODES } else { &NODES[..1] }
}

fn node_steps(world: &World, node: usize) -> Vec<Step> {
    let mut steps = vec![Step::Adopt { node }];
    if world.nodes[node].next_offset() < world.log.next() {
        steps.push(Step::Read { node });
    }
    if world.left.snapshots > 0 && world.nodes[node].next_offset() > 0 {
        steps.push(Step::Snapshot { node });
    }
    if world.left.crashes > 0 {
        steps.push(Step::Crash { node });
    }
    steps
}

/// State after a step.
pub fn take(world: &World, step: Step, fault: Fault) -> World {
    let mut next = world.clone();
    match step {
        Step::Begin { operator, node } => {
            next.left.sends -= 1;
            let version = next.nodes[node].version();
            next.operators[operator].begin(node, version);
        }
        Step::Feed { operator, event } => feed(&mut next, operator, event, fault),
        Step::Append { index, doubled } => append(&mut next, index, doubled),
        Step::Trim => {
            next.left.trims -= 1;
            next.log.trim();
        }
        Step::Read { node } => {
            next.nodes[node].read(&world.log, fault);
        }
        Step::Adopt { node } => next.nodes[node].adopt(&world.nodes[1 - node]),
        Step::Snapshot { node } => {
            next.left.snapshots -= 1;
            let copy = next.nodes[node].clone();
            next.on_the_way.push(Entry::Snapshot(copy));
        }
        Step::Crash { node } => crash(&mut next, node),
    }
    if !matches!(step, Step::Crash { .. }) {
        for node in NODES {
            next.history
                .note(Some(&world.nodes[node]), &next.nodes[node]);
        }
    }
    next
}

fn feed(next: &mut World, operator: usize, event: Event, fault: Fault) {
    let operator = &mut next.operators[operator];
    let append = operator.feed(event, &next.nodes[operator.node], fault);
    let entry = operator.change.map(Entry::Change);
    if let Event::AppendRefused(_) = event {
        next.on_the_way
            .retain(|other| Some(other) != entry.as_ref());
    }
    if append {
        next.on_the_way.extend(entry);
    }
}

fn append(next: &mut World, index: usize, doubled: bool) {
    let entry = next.on_the_way[index].clone();
    let offset = next.log.next();
    for operator in &mut next.operators {
        if operator.change.map(Entry::Change).as_ref() == Some(&entry) {
            operator.taken_at.get_or_insert(offset);
        }
    }
    if doubled {
        next.left.doubles -= 1;
    } else {
        next.on_the_way.remove(index);
    }
    next.log.entries.push(entry);
}

fn crash(next: &mut World, node: usize) {
    next.left.crashes -= 1;
    next.nodes[node] = Node::default();
    let published_here = |operator: &&mut Operator| operator.node == node;
    let operators = next.operators.iter_mut().filter(published_here);
    operators.for_each(Operator::lose_node);
}
