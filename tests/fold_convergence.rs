//! Checks the fold against a simple reference model under random sequences of steps.
//!
//! The steps are concurrent changes, duplicates, late snapshots, trimming and restarts.

mod common;

use std::collections::BTreeSet;

use bronzelock::agreement::catch_up::{CatchUp, Page, Progress, StoredRecord};
use bronzelock::agreement::change::ChangeAction;
use bronzelock::agreement::fold::Fold;
use bronzelock::agreement::record::{Record, RecordWire};
use common::{change, change_text, zone};
use proptest::prelude::*;
use proptest::test_runner::{Config as RunnerConfig, RngAlgorithm, TestRng, TestRunner};

const NODES: usize = 4;
const SEED: [u8; 32] = *b"bronzelock configuration fold 01";
const SEQUENCES: u32 = 600;
const STEPS_MAX: usize = 60;
const PAGE_RECORDS: usize = 3;

#[derive(Debug, Clone)]
enum Step {
    /// An operator appends a change based on the current version of a node.
    Propose { node: usize, zone: u8 },
    /// An earlier record is appended again.
    AppendAgain { choice: usize },
    /// A node takes a snapshot of its state, which is appended later.
    TakeSnapshot { node: usize },
    /// The oldest pending snapshot is appended.
    AppendSnapshot,
    /// Text that is not a valid record is appended.
    AppendUnreadable,
    /// A node reads one page.
    Read { node: usize },
    /// A node receives the state of another node and adopts it if newer.
    Adopt { from: usize, to: usize },
    /// The log trims its oldest records.
    Trim { records: u64 },
    /// A node restarts with empty state.
    Restart { node: usize },
}

fn step() -> impl Strategy<Value = Step> {
    let node = 0..NODES;
    prop_oneof![
        6 => (node.clone(), 0..6_u8).prop_map(|(node, zone)| Step::Propose { node, zone }),
        2 => any::<usize>().prop_map(|choice| Step::AppendAgain { choice }),
        2 => node.clone().prop_map(|node| Step::TakeSnapshot { node }),
        2 => Just(Step::AppendSnapshot),
        1 => Just(Step::AppendUnreadable),
        8 => node.clone().prop_map(|node| Step::Read { node }),
        2 => (node.clone(), node.clone()).prop_map(|(from, to)| Step::Adopt { from, to }),
        1 => (1..6_u64).prop_map(|records| Step::Trim { records }),
        1 => node.prop_map(|node| Step::Restart { node }),
    ]
}

#[derive(Default)]
struct Node {
    fold: Fold,
    catch_up: CatchUp,
}

/// All records ever appended; nodes read those that are not trimmed.
#[derive(Default)]
struct Log {
    texts: Vec<String>,
    earliest: u64,
    reference: ReferenceModel,
}

impl Log {
    fn append(&mut self, text: String) {
        self.reference.append(&text);
        self.texts.push(text);
    }

    fn page(&self, from: u64) -> Page {
        let first = from.max(self.earliest) as usize;
        let stored = self.texts.iter().enumerate().skip(first).take(PAGE_RECORDS);
        let records = stored
            .map(|(offset, text)| StoredRecord {
                offset: offset as u64,
                text: text.clone(),
            })
            .collect();
        Page {
            from,
            earliest: self.earliest,
            next: self.texts.len() as u64,
            records,
        }
    }
}

/// Availability zones taken out at each version.
///
/// It applies only the basic rule: the first change based on the latest version is accepted.
struct ReferenceModel {
    versions: Vec<BTreeSet<String>>,
}

impl ReferenceModel {
    fn append(&mut self, text: &str) {
        let Ok(Record::Change(change)) = Record::parse(text) else {
            return;
        };
        if change.base.0 as usize + 1 != self.versions.len() {
            return;
        }
        let mut zones = self.versions[self.versions.len() - 1].clone();
        match change.action {
            ChangeAction::ZoneOut(zone) => zones.insert(zone.to_string()),
            ChangeAction::ZoneIn(zone) => zones.remove(zone.as_str()),
            other => panic!("the test does not propose the action {other}"),
        };
        self.versions.push(zones);
    }
}

impl Default for ReferenceModel {
    fn default() -> Self {
        Self {
            versions: vec![BTreeSet::new()],
        }
    }
}

fn zones_out(fold: &Fold) -> BTreeSet<String> {
    fold.config()
        .zones_out
        .iter()
        .map(ToString::to_string)
        .collect()
}

#[derive(Default)]
struct World {
    nodes: [Node; NODES],
    log: Log,
    pending_snapshots: Vec<String>,
    proposals: u64,
}

impl World {
    fn run(&mut self, step: &Step) {
        match *step {
            Step::Propose { node, zone: number } => self.propose(node, number),
            Step::AppendAgain { choice } => {
                if !self.log.texts.is_empty() {
                    let text = self.log.texts[choice % self.log.texts.len()].clone();
                    self.log.append(text);
                }
            }
            Step::TakeSnapshot { node } => {
                let snapshot = self.nodes[node].fold.snapshot();
                self.pending_snapshots
                    .push(RecordWire::from(&snapshot).to_text());
            }
            Step::AppendSnapshot => {
                if !self.pending_snapshots.is_empty() {
                    self.log.append(self.pending_snapshots.remove(0));
                }
            }
            Step::AppendUnreadable => self.log.append("{\"wire_version\":1}".to_owned()),
            Step::Read { node } => {
                self.read(node);
            }
            Step::Adopt { from, to } => {
                let snapshot = self.nodes[from].fold.snapshot();
                self.nodes[to].fold.adopt(snapshot);
            }
            Step::Trim { records } => {
                let end = self.log.texts.len() as u64;
                self.log.earliest = (self.log.earliest + records).min(end);
            }
            Step::Restart { node } => self.nodes[node] = Node::default(),
        }
    }

    fn propose(&mut self, node: usize, number: u8) {
        self.proposals += 1;
        let name = zone(&format!("zone-{}", number / 2));
        let action = match number % 2 {
            0 => ChangeAction::ZoneOut(name),
            _ => ChangeAction::ZoneIn(name),
        };
        let base = self.nodes[node].fold.version().0;
        let change = change(&format!("change-{}", self.proposals), base, action);
        self.log.append(change_text(&change));
    }

    fn read(&mut self, node: usize) -> Progress {
        let Node { fold, catch_up } = &mut self.nodes[node];
        let page = self.log.page(catch_up.read_from(fold));
        catch_up
            .on_page(fold, &page)
            .expect("no record is newer")
            .progress
    }

    fn read_to_end(&mut self, node: usize) -> Progress {
        let reads_max = 4 * self.log.texts.len() + 4;
        for _ in 0..reads_max {
            let progress = self.read(node);
            if !matches!(progress, Progress::ReadFrom(_)) {
                return progress;
            }
        }
        panic!("{reads_max} reads did not reach the end of the log");
    }

    fn check_nodes(&self, before: &[u64], step: &Step) -> Result<(), TestCaseError> {
        let versions = &self.log.reference.versions;
        for (index, node) in self.nodes.iter().enumerate() {
            let version = node.fold.version().0;
            let restarted = matches!(step, Step::Restart { node } if *node == index);
            prop_assert!(
                restarted || version >= before[index],
                "the version of node {index} decreased"
            );
            prop_assert_eq!(&zones_out(&node.fold), &versions[version as usize]);
        }
        Ok(())
    }

    /// Whether an empty node can reach the end of the log.
    ///
    /// Either nothing was trimmed, or the log holds a snapshot and all records that it does not
    /// cover.
    fn empty_node_can_start(&self) -> bool {
        let kept = self.log.texts.iter().skip(self.log.earliest as usize);
        let covers = |text: &String| match Record::parse(text) {
            Ok(Record::Snapshot(snapshot)) => snapshot.next_offset >= self.log.earliest,
            _ => false,
        };
        self.log.earliest == 0 || kept.clone().any(covers)
    }

    fn check_after_reading_to_end(&mut self) -> Result<(), TestCaseError> {
        let can_start = self.empty_node_can_start();
        let expected = fold_of(&self.log.texts);
        for index in 0..NODES {
            let needed = self.nodes[index].fold.next_offset();
            let progress = self.read_to_end(index);
            let can_catch_up = can_start || needed >= self.log.earliest;
            prop_assert_eq!(
                progress == Progress::CaughtUp,
                can_catch_up,
                "{:?}",
                progress
            );
            if can_catch_up {
                prop_assert_eq!(self.nodes[index].fold.snapshot(), expected.snapshot());
            }
        }
        Ok(())
    }
}

fn fold_of(texts: &[String]) -> Fold {
    let mut fold = Fold::new();
    for (offset, text) in texts.iter().enumerate() {
        fold.apply(
            offset as u64,
            &Record::parse(text).expect("no record is newer"),
        );
    }
    fold
}

fn run(steps: &[Step]) -> Result<(), TestCaseError> {
    let mut world = World::default();
    for step in steps {
        let before = world.nodes.each_ref().map(|node| node.fold.version().0);
        world.run(step);
        world.check_nodes(&before, step)?;
    }
    let versions = world.log.reference.versions.len();
    let expected = fold_of(&world.log.texts);
    prop_assert_eq!(expected.version().0 as usize + 1, versions);
    world.check_after_reading_to_end()?;
    // One new snapshot lets every node reach the same state, whatever was trimmed.
    world
        .log
        .texts
        .push(RecordWire::from(&expected.snapshot()).to_text());
    world.check_after_reading_to_end()
}

cases! {
    nodes_converge_and_versions_never_decrease => {
        let config = RunnerConfig {
            cases: SEQUENCES,
            failure_persistence: None,
            ..RunnerConfig::default()
        };
        let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
        let mut runner = TestRunner::new_with_rng(config, rng);
        let steps = proptest::collection::vec(step(), 1..STEPS_MAX);
        runner.run(&steps, |steps| run(&steps)).expect("nodes converge in every sequence");
    }
}
