//! Deterministic in-memory exchange of datagrams between membership state machines.
//!
//! Feeds the pure state machines with ticks and with delivered or lost datagrams. Every datagram
//! passes the codec, so its length is the real one.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bronzelock::decision::membership::{
    Member, MemberState, Membership, MembershipAction, MembershipEvent, MembershipSettings,
};
use bronzelock::edge::gossip_codec::GossipCodec;
use bronzelock::model::ids::{ConfigVersion, Incarnation};
use bronzelock::model::names::{ServerName, ServiceName, ZoneName};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// UDP and IPv4 headers, in bytes.
const HEADER_BYTES: u64 = 28;
/// One way inside a region, in µs.
const NEAR_US: u64 = 1_000;
/// One way between regions, in µs.
const FAR_US: u64 = 15_000;

/// Bytes and CPU of one node.
#[derive(Debug, Clone, Copy, Default)]
pub struct Cost {
    pub bytes_out: u64,
    pub bytes_in: u64,
    pub messages_in: u64,
}

/// CPU time of one kind of step, over all nodes.
#[derive(Debug, Clone, Copy, Default)]
pub struct Cpu {
    pub steps: u64,
    pub spent: Duration,
}

#[allow(
    dead_code,
    reason = "each file that includes this module uses a part of it"
)]
impl Cpu {
    pub fn us_per_step(self) -> f64 {
        self.spent.as_secs_f64() * 1e6 / (self.steps.max(1) as f64)
    }
}

#[derive(Debug)]
pub struct Node {
    pub machine: Membership,
    pub running: bool,
    pub cost: Cost,
    pub behind: Vec<ConfigVersion>,
    pub replaced: bool,
    pub changes: Vec<Member>,
}

/// A datagram on its way, or the tick of a node.
#[derive(Debug)]
enum Due {
    Tick(usize),
    Datagram {
        from: usize,
        to: usize,
        bytes: Vec<u8>,
    },
}

#[derive(Debug)]
pub struct Exchange {
    pub nodes: Vec<Node>,
    pub now_us: u64,
    pub loss: f64,
    /// Datagrams between these two regions are lost.
    pub cut: bool,
    /// Pairs of sender and receiver whose datagrams are lost.
    pub blocked: BTreeSet<(usize, usize)>,
    pub ticks: Cpu,
    pub messages: Cpu,
    pub coding: Cpu,
    settings: MembershipSettings,
    addresses: HashMap<SocketAddr, usize>,
    due: BTreeMap<(u64, u64), Due>,
    scheduled: u64,
    rng: StdRng,
    codec: GossipCodec,
}

/// Zones of a cluster; the last region is the second half of the nodes.
const ZONES: usize = 7;

pub fn name(index: usize) -> ServerName {
    ServerName::new(&format!("server-zone{}-{index:03}", zone_of(index))).expect("valid name")
}

fn zone_of(index: usize) -> usize {
    index % ZONES
}

fn region_of(index: usize) -> usize {
    usize::from(zone_of(index) >= ZONES / 2)
}

pub fn member(index: usize, run: u64) -> Member {
    let ip = Ipv4Addr::new(10, 0, (index / 250) as u8, (index % 250) as u8);
    let mut rng = StdRng::seed_from_u64(index as u64 * 1_000 + run);
    Member {
        server: name(index),
        incarnation: Incarnation(rng.random()),
        peer_address: SocketAddr::from((ip, 7_001)),
        gossip_address: SocketAddr::from((ip, 7_002)),
        region: Arc::from(format!("region-{}", region_of(index))),
        zone: ZoneName::new(&format!("zone-{}", zone_of(index))).expect("valid name"),
        service: Some(ServiceName::new(&format!("service-{}", index % 53)).expect("valid name")),
        state: MemberState::Alive,
        revision: 0,
    }
}

#[allow(
    dead_code,
    reason = "each file that includes this module uses a part of it"
)]
impl Exchange {
    /// Nodes that know nobody.
    pub fn new(count: usize, settings: MembershipSettings, seed: u64) -> Self {
        let mut exchange = Self {
            nodes: Vec::new(),
            now_us: 0,
            loss: 0.0,
            cut: false,
            blocked: BTreeSet::new(),
            ticks: Cpu::default(),
            messages: Cpu::default(),
            coding: Cpu::default(),
            settings,
            addresses: HashMap::new(),
            due: BTreeMap::new(),
            scheduled: 0,
            rng: StdRng::seed_from_u64(seed),
            codec: GossipCodec::new("token of the exchange"),
        };
        for index in 0..count {
            exchange
                .addresses
                .insert(member(index, 0).gossip_address, index);
            let node = exchange.node(member(index, 0));
            exchange.nodes.push(node);
            let first_tick_us = exchange.rng.random_range(0..settings.tick_ms * 1_000);
            exchange.schedule(first_tick_us, Due::Tick(index));
        }
        exchange
    }

    /// Nodes that all know each other from the start.
    pub fn converged(count: usize, settings: MembershipSettings, seed: u64) -> Self {
        let mut exchange = Self::new(count, settings, seed);
        for index in 0..count {
            for other in (0..count).filter(|other| *other != index) {
                exchange.feed(index, MembershipEvent::ReadFromLog(member(other, 0)));
            }
            exchange.nodes[index].changes.clear();
        }
        exchange
    }

    fn node(&self, own: Member) -> Node {
        Node {
            machine: Membership::new(own, self.settings, self.now_us),
            running: true,
            cost: Cost::default(),
            behind: Vec::new(),
            replaced: false,
            changes: Vec::new(),
        }
    }

    /// Starts another run of a node with empty memory at the same address.
    pub fn restart(&mut self, index: usize, run: u64, contacts: &[usize]) {
        let cost = self.nodes[index].cost;
        self.nodes[index] = self.node(member(index, run));
        self.nodes[index].cost = cost;
        for contact in contacts {
            let address = member(*contact, 0).gossip_address;
            self.feed(index, MembershipEvent::Contact(address));
        }
    }

    pub fn feed(&mut self, index: usize, event: MembershipEvent) {
        let draw = self.rng.random();
        let mut actions = Vec::new();
        let is_tick = event == MembershipEvent::Tick;
        let started = Instant::now();
        let machine = &mut self.nodes[index].machine;
        machine.handle(event, self.now_us, draw, &mut actions);
        let cpu = if is_tick {
            &mut self.ticks
        } else {
            &mut self.messages
        };
        cpu.spent += started.elapsed();
        cpu.steps += 1;
        for action in actions {
            self.perform(index, action);
        }
    }

    fn perform(&mut self, index: usize, action: MembershipAction) {
        match action {
            MembershipAction::Send { to, message } => {
                let started = Instant::now();
                let bytes = self
                    .codec
                    .encode(&message)
                    .expect("message fits a datagram");
                self.coding.spent += started.elapsed();
                self.coding.steps += 1;
                self.nodes[index].cost.bytes_out += bytes.len() as u64 + HEADER_BYTES;
                let Some(to) = self.addresses.get(&to).copied() else {
                    return;
                };
                self.carry(index, to, bytes);
            }
            MembershipAction::Changed(member) => self.nodes[index].changes.push(member),
            MembershipAction::NewerConfig { version, .. } => {
                self.nodes[index].behind.push(version);
            }
            MembershipAction::Replaced { .. } => self.nodes[index].replaced = true,
        }
    }

    fn carry(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        let across = region_of(from) != region_of(to);
        let lost = self.rng.random::<f64>() < self.loss;
        let blocked = self.blocked.contains(&(from, to));
        if lost || blocked || (self.cut && across) {
            return;
        }
        let delay_us = if across { FAR_US } else { NEAR_US };
        self.schedule(self.now_us + delay_us, Due::Datagram { from, to, bytes });
    }

    fn schedule(&mut self, at_us: u64, due: Due) {
        self.scheduled += 1;
        self.due.insert((at_us, self.scheduled), due);
    }

    /// Runs until a time has passed.
    pub fn run_ms(&mut self, ms: u64) {
        let end_us = self.now_us + ms * 1_000;
        while let Some(entry) = self.due.first_entry() {
            if entry.key().0 > end_us {
                break;
            }
            let ((at_us, _), due) = entry.remove_entry();
            self.now_us = at_us;
            self.step(due);
        }
        self.now_us = end_us;
    }

    fn step(&mut self, due: Due) {
        match due {
            Due::Tick(index) => {
                let next_us = self.now_us + self.settings.tick_ms * 1_000;
                self.schedule(next_us, Due::Tick(index));
                if self.nodes[index].running {
                    self.feed(index, MembershipEvent::Tick);
                }
            }
            Due::Datagram { from, to, bytes } => {
                if !self.nodes[to].running {
                    return;
                }
                let cost = &mut self.nodes[to].cost;
                cost.bytes_in += bytes.len() as u64 + HEADER_BYTES;
                cost.messages_in += 1;
                let started = Instant::now();
                let message = self.codec.decode(&bytes).expect("genuine datagram");
                self.coding.spent += started.elapsed();
                let from = self.nodes[from].machine.own().gossip_address;
                self.feed(to, MembershipEvent::Received { from, message });
            }
        }
    }

    /// Runs in steps until the condition holds; the time it took in ms, or none.
    pub fn run_until(&mut self, limit_ms: u64, holds: impl Fn(&Self) -> bool) -> Option<u64> {
        let start_us = self.now_us;
        while self.now_us < start_us + limit_ms * 1_000 {
            if holds(self) {
                return Some((self.now_us - start_us) / 1_000);
            }
            self.run_ms(100);
        }
        holds(self).then_some((self.now_us - start_us) / 1_000)
    }

    /// Loses every datagram from and to a node, so that only traffic can confirm it.
    pub fn block_datagrams_of(&mut self, index: usize) {
        for other in 0..self.nodes.len() {
            self.blocked.insert((index, other));
            self.blocked.insert((other, index));
        }
    }

    /// Whether a running node holds the present record of another running one.
    pub fn knows(&self, index: usize, other: usize) -> bool {
        let own = self.nodes[other].machine.own();
        let held = self.nodes[index].machine.member(&own.server);
        held.is_some_and(|held| held.state == own.state && held.incarnation == own.incarnation)
    }

    /// Whether every running node holds the present record of every other.
    pub fn all_know_all(&self) -> bool {
        let running = |index: &usize| self.nodes[*index].running;
        let count = self.nodes.len();
        (0..count).filter(running).all(|index| {
            let mut others = (0..count).filter(running).filter(|other| *other != index);
            others.all(|other| self.knows(index, other))
        })
    }

    /// Share of records that are held as their members say, over all nodes.
    pub fn share_known(&self) -> f64 {
        let count = self.nodes.len();
        let known = (0..count).map(|index| {
            let others = (0..count).filter(|other| *other != index);
            others.filter(|other| self.knows(index, *other)).count()
        });
        known.sum::<usize>() as f64 / (count * (count - 1)) as f64
    }

    /// State in which a node holds another.
    pub fn state_at(&self, index: usize, other: usize) -> Option<MemberState> {
        let held = self.nodes[index].machine.member(&name(other));
        held.map(|held| held.state)
    }

    /// Clears the counted costs.
    pub fn reset_costs(&mut self) {
        for node in &mut self.nodes {
            node.cost = Cost::default();
            node.changes.clear();
        }
        self.ticks = Cpu::default();
        self.messages = Cpu::default();
        self.coding = Cpu::default();
    }
}
