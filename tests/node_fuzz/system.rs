//! Nodes, callers' requests on their way, the log, and the oracle over requests.

use std::array;
use std::collections::BTreeMap;
use std::sync::Arc;

use bronzelock::agreement::change::{Change, ChangeAction};
use bronzelock::agreement::record::RecordWire;
use bronzelock::decision::gate::WorkId;
use bronzelock::decision::routing::AttemptOutcome;
use bronzelock::model::ids::ChangeId;
use bronzelock::model::names::ServerName;
use proptest_state_machine::StateMachineTest;

use super::event::{Event, Events, NODES, Pick};
use super::log::Log;
use super::node::{Node, Said, server_name, service_name, zone_name};
use crate::fuzzing::seen;

/// Records that reach the end of any log of a case.
const ALL_RECORDS: usize = 1_000;

/// Backend servers that one request is sent to at most.
const HOPS_MAX: usize = 3;

/// A request on its way to a gate.
#[derive(Debug)]
struct Message {
    id: WorkId,
    entry: usize,
    server: ServerName,
}

/// What really happened to a request, and what its caller was told.
#[derive(Debug, Default)]
struct Request {
    entry: usize,
    tried: Vec<ServerName>,
    runs: u32,
    told_not_run: bool,
}

/// The whole system of a case.
#[derive(Debug)]
pub struct System {
    now_us: u64,
    nodes: [Node; NODES],
    network: Vec<Message>,
    requests: BTreeMap<WorkId, Request>,
    log: Log,
    changes: u64,
}

impl System {
    fn new() -> Self {
        Self {
            now_us: 1,
            nodes: array::from_fn(Node::new),
            network: Vec::new(),
            requests: BTreeMap::new(),
            log: Log::default(),
            changes: 0,
        }
    }

    fn take(&mut self, event: &Event) {
        let now_us = self.now_us;
        match *event {
            Event::Call { entry, draw } => self.call(entry, draw),
            Event::Deliver { pick } => self.deliver(pick),
            Event::Lose { pick } => drop(self.pick(pick)),
            Event::Finish { pick, outcome } => {
                let node = pick % NODES;
                let said = self.nodes[node].finish(pick / NODES, outcome, now_us);
                self.heed(said);
            }
            Event::ColdRestart { node } => {
                let said = self.nodes[node].cold_restart(now_us);
                self.heed(said);
            }
            Event::Leave { node } => {
                let said = self.nodes[node].leave(now_us);
                self.heed(said);
            }
            Event::Crash { node } => self.nodes[node].crash(now_us),
            Event::Change { through, zone, out } => self.change(through, zone, out),
            Event::Read { node, records } => self.read(node, records),
            Event::Ask { node, peer } => {
                let snapshot = self.nodes[peer].snapshot();
                let said = self.nodes[node].adopt(snapshot, now_us);
                self.heed(said);
            }
            Event::Renew { node } => {
                let snapshot = self.nodes[node].snapshot();
                self.log.append(&RecordWire::from(&snapshot));
            }
            Event::Trim { records } => self.log.trim(records),
            Event::Pass { time_us } => self.pass(time_us),
        }
    }

    fn call(&mut self, entry: usize, draw: u64) {
        let id = WorkId(self.requests.len() as u64 + 1);
        let request = Request {
            entry,
            ..Request::default()
        };
        self.requests.insert(id, request);
        self.send(id, draw);
    }

    /// Sends a request to one more backend server, or tells its caller that it was not run.
    fn send(&mut self, id: WorkId, draw: u64) {
        let request = self.requests.get_mut(&id).expect("a request of the case");
        let router = &mut self.nodes[request.entry].router;
        let chosen = router.choose(&service_name(), &request.tried, self.now_us, draw);
        let Some(server) = chosen.filter(|_server| request.tried.len() < HOPS_MAX) else {
            request.told_not_run = true;
            assert_eq!(request.runs, 0, "told not run, but it ran");
            return;
        };
        if !request.tried.is_empty() {
            seen::note("tried elsewhere");
        }
        router.record_sent(&server, self.now_us);
        request.tried.push(server.clone());
        let entry = request.entry;
        self.network.push(Message { id, entry, server });
    }

    fn pick(&mut self, pick: Pick) -> Option<Message> {
        let index = pick.checked_rem(self.network.len())?;
        Some(self.network.swap_remove(index))
    }

    fn deliver(&mut self, pick: Pick) {
        let Some(message) = self.pick(pick) else {
            return;
        };
        let node = (0..NODES).find(|node| server_name(*node) == message.server);
        let said = self.nodes[node.expect("a server of the case")].offer(message.id, self.now_us);
        self.nodes[message.entry].router.record_outcome(
            &message.server,
            AttemptOutcome::Refused,
            self.now_us,
        );
        self.heed(said);
    }

    /// What the gates said goes back to the entry nodes at once; a refusal is tried elsewhere.
    fn heed(&mut self, said: Vec<(WorkId, Said)>) {
        for (id, said) in said {
            match said {
                Said::Dispatched => {
                    let request = self.requests.get_mut(&id).expect("a request of the case");
                    request.runs += 1;
                    assert_eq!(request.runs, 1, "a request ran twice");
                    assert!(
                        !request.told_not_run,
                        "it ran after its caller was told not run"
                    );
                }
                Said::Refused => self.send(id, self.now_us),
            }
        }
    }

    fn change(&mut self, through: usize, zone: usize, out: bool) {
        self.changes += 1;
        let zone = zone_name(zone);
        let change = Change {
            id: ChangeId(Arc::from(format!("change-{}", self.changes))),
            base: self.nodes[through].version(),
            author: Arc::from("operator"),
            action: if out {
                ChangeAction::ZoneOut(zone)
            } else {
                ChangeAction::ZoneIn(zone)
            },
        };
        self.log.append(&RecordWire::from(&change));
    }

    fn read(&mut self, node: usize, records: usize) {
        let page = self.log.page(self.nodes[node].read_from(), records);
        let said = self.nodes[node].take_page(&page, self.now_us);
        self.heed(said);
    }

    fn pass(&mut self, time_us: u64) {
        self.now_us += time_us;
        for node in 0..NODES {
            let said = self.nodes[node].tick(self.now_us);
            self.heed(said);
        }
    }

    /// Reads everywhere to the end; every node must come to the same configuration.
    fn converge(&mut self) {
        for node in 0..NODES {
            // A reader that looked for a snapshot beyond a gap may go on at the same offset, so
            // only the end of the log ends the loop.
            for _page in 0..ALL_RECORDS {
                self.read(node, ALL_RECORDS);
                if self.nodes[node].read_from() == self.log.end() {
                    break;
                }
            }
        }
        for node in &self.nodes {
            assert_eq!(node.config(), self.nodes[0].config(), "nodes came apart");
        }
    }
}

impl StateMachineTest for System {
    type SystemUnderTest = Self;
    type Reference = Events;

    fn init_test((): &()) -> Self {
        Self::new()
    }

    fn apply(mut system: Self, (): &(), event: Event) -> Self {
        system.take(&event);
        system
    }

    fn teardown(mut system: Self, (): ()) {
        system.converge();
    }
}
