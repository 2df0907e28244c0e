//! One node with its backend server: the real gate, router and fold, and what the server runs.

use std::collections::BTreeMap;
use std::sync::Arc;

use bronzelock::agreement::catch_up::{CatchUp, Page};
use bronzelock::agreement::fold::{Applied, Fold};
use bronzelock::agreement::snapshot::Snapshot;
use bronzelock::decision::gate::{
    Gate, GateAction, GateEvent, GateLimits, OutReason, RunOutcome, WorkId, WorkItem,
};
use bronzelock::decision::routing::{Candidate, Router, RoutingPolicy};
use bronzelock::model::config::{BranchShare, Config, ServerCapacity};
use bronzelock::model::ids::{BootId, ConfigVersion, Incarnation};
use bronzelock::model::names::{BranchName, ServerName, ServiceName, ZoneName};
use bronzelock::model::request::Urgency;

use super::event::NODES;
use crate::fuzzing::seen;

pub const SLOTS: u32 = 3;
pub const COLD_SLOTS: u32 = 1;
pub const COLD_US: u64 = 20_000;

const DEADLINE_US: u64 = 80_000;
const QUEUE_DELAY_MAX_US: u64 = 40_000;
const QUEUE_LENGTH_MAX: u32 = 8;

pub fn zone_name(node: usize) -> ZoneName {
    ZoneName::new(&format!("zone-{node}")).expect("a name")
}

pub fn server_name(node: usize) -> ServerName {
    ServerName::new(&format!("server-{node}")).expect("a name")
}

pub fn service_name() -> ServiceName {
    ServiceName::new("herd").expect("a name")
}

pub fn branch_name() -> BranchName {
    BranchName::new("dairy").expect("a name")
}

/// A request that runs on the backend server.
#[derive(Debug, Clone, Copy)]
struct Running {
    boot: BootId,
}

/// What a gate said of a request of the case.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Said {
    Dispatched,
    Refused,
}

#[derive(Debug)]
pub struct Node {
    index: usize,
    pub gate: Gate,
    pub router: Router,
    fold: Fold,
    catch_up: CatchUp,
    in_force: Arc<Config>,
    boot: BootId,
    booted_us: u64,
    leaving: bool,
    running: BTreeMap<WorkId, Running>,
    incarnations: u64,
}

impl Node {
    pub fn new(index: usize) -> Self {
        let mut node = Self {
            index,
            gate: Gate::new(Incarnation(1)),
            router: router(index),
            fold: Fold::new(),
            catch_up: CatchUp::default(),
            in_force: Arc::default(),
            boot: BootId(1),
            booted_us: 0,
            leaving: false,
            running: BTreeMap::new(),
            incarnations: 1,
        };
        node.start_gate(0);
        node
    }

    fn start_gate(&mut self, now_us: u64) {
        self.feed(GateEvent::Configure(limits()), now_us);
        self.feed(GateEvent::Announced { boot: self.boot }, now_us);
    }

    /// Loses all memory. The backend server cancels what it ran and comes back cold.
    pub fn crash(&mut self, now_us: u64) {
        seen::note("node lost its memory");
        self.incarnations += 1;
        self.gate = Gate::new(Incarnation(self.incarnations));
        self.router = router(self.index);
        self.fold = Fold::new();
        self.catch_up = CatchUp::default();
        self.in_force = Arc::default();
        self.running.clear();
        self.restart_server(now_us);
        self.start_gate(now_us);
    }

    fn restart_server(&mut self, now_us: u64) {
        self.boot = BootId(self.boot.0 + 1);
        self.booted_us = now_us;
        self.leaving = false;
    }

    pub fn cold_restart(&mut self, now_us: u64) -> Vec<(WorkId, Said)> {
        seen::note("cold restart");
        self.restart_server(now_us);
        self.feed(GateEvent::Announced { boot: self.boot }, now_us)
    }

    pub fn leave(&mut self, now_us: u64) -> Vec<(WorkId, Said)> {
        self.leaving = true;
        self.feed(GateEvent::Leaving, now_us)
    }

    pub fn offer(&mut self, id: WorkId, now_us: u64) -> Vec<(WorkId, Said)> {
        let item = WorkItem {
            id,
            branch: branch_name(),
            urgency: Urgency::Ordinary,
            deadline_us: now_us + DEADLINE_US,
        };
        self.feed(GateEvent::Offer(item), now_us)
    }

    pub fn finish(&mut self, pick: usize, outcome: RunOutcome, now_us: u64) -> Vec<(WorkId, Said)> {
        let Some(index) = pick.checked_rem(self.running.len()) else {
            return Vec::new();
        };
        let id = *self.running.keys().nth(index).expect("within the count");
        self.running.remove(&id);
        self.feed(GateEvent::Finished { id, outcome }, now_us)
    }

    pub fn tick(&mut self, now_us: u64) -> Vec<(WorkId, Said)> {
        self.feed(GateEvent::Tick, now_us)
    }

    fn feed(&mut self, event: GateEvent, now_us: u64) -> Vec<(WorkId, Said)> {
        let mut actions = Vec::new();
        self.gate.handle(event, now_us, &mut actions);
        let said = actions.into_iter().map(|action| match action {
            GateAction::Dispatch(id) => {
                self.dispatched(id, now_us);
                (id, Said::Dispatched)
            }
            GateAction::Refuse { id, .. } => {
                seen::note("refused");
                (id, Said::Refused)
            }
        });
        said.collect()
    }

    /// The oracle's word on one dispatch.
    fn dispatched(&mut self, id: WorkId, now_us: u64) {
        seen::note("dispatched");
        assert!(!self.leaving, "a leaving server got new work");
        let out = self.in_force.zones_out.contains(&zone_name(self.index));
        assert!(!out, "a zone that is out got new work");
        self.running.insert(id, Running { boot: self.boot });
        assert!(
            self.running.len() <= SLOTS as usize,
            "more in flight than slots"
        );
        if now_us < self.booted_us + COLD_US {
            seen::note("dispatched cold");
            let of_boot = self.running.values().filter(|run| run.boot == self.boot);
            assert!(
                of_boot.count() <= COLD_SLOTS as usize,
                "a cold server got more than it bears"
            );
        }
    }

    pub fn read_from(&self) -> u64 {
        self.catch_up.read_from(&self.fold)
    }

    pub fn take_page(&mut self, page: &Page, now_us: u64) -> Vec<(WorkId, Said)> {
        let result = self
            .catch_up
            .on_page(&mut self.fold, page)
            .expect("no newer records");
        for record in result.applied {
            match record.applied {
                Applied::Rejected(_) => seen::note("change lost a race"),
                Applied::SnapshotAdopted(_) => seen::note("snapshot taken over"),
                _ => {}
            }
        }
        self.bring_into_force(now_us)
    }

    pub fn adopt(&mut self, snapshot: Snapshot, now_us: u64) -> Vec<(WorkId, Said)> {
        if self.fold.adopt(snapshot) {
            self.catch_up.on_adopted();
        }
        self.bring_into_force(now_us)
    }

    fn bring_into_force(&mut self, now_us: u64) -> Vec<(WorkId, Said)> {
        let config = self.fold.config();
        if !self.catch_up.is_ready() || config.version == self.in_force.version {
            return Vec::new();
        }
        assert!(
            config.version > self.in_force.version,
            "the configuration went back"
        );
        self.in_force = config;
        let out = self.in_force.zones_out.contains(&zone_name(self.index));
        if out {
            seen::note("zone out applied");
        }
        self.router
            .set_out(&self.in_force.zones_out, &self.in_force.servers_out);
        self.feed(GateEvent::SetOut(out.then_some(OutReason::Zone)), now_us)
    }

    pub fn version(&self) -> ConfigVersion {
        self.fold.version()
    }

    pub fn config(&self) -> Arc<Config> {
        self.fold.config()
    }

    pub fn snapshot(&self) -> Snapshot {
        self.fold.snapshot()
    }
}

fn router(index: usize) -> Router {
    let mut router = Router::new(zone_name(index), RoutingPolicy::TwoChoices);
    for node in 0..NODES {
        let candidate = Candidate {
            server: server_name(node),
            zone: zone_name(node),
            service: service_name(),
        };
        router.upsert(candidate, 0);
    }
    router
}

fn limits() -> GateLimits {
    let share = BranchShare {
        weight: 1,
        urgent_share_percent: 50,
    };
    GateLimits {
        capacity: ServerCapacity {
            slots: SLOTS,
            connections: 10,
            cold_slots: COLD_SLOTS,
            cold_ms: COLD_US / 1_000,
            probes_per_s: 1,
        },
        branches: BTreeMap::from([(branch_name(), share)]),
        queue_delay_max_us: QUEUE_DELAY_MAX_US,
        queue_length_max: QUEUE_LENGTH_MAX,
    }
}
