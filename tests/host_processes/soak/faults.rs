//! Faults of a soak, drawn from a seed.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use standins::log_service::DownMode;
use standins::platform::backend_server::Behaviour;
use standins::proxy::{ConnectionFault, Direction, LinkState};

/// Time in which faults begin, in ms.
pub const FAULTS_MS: u64 = 14_000;

/// Faults of one soak.
const FAULTS: usize = 14;

/// Times in one soak in which a backend server treats requests badly.
const BEHAVIOUR_CHANGES: usize = 4;

/// Shortest and longest fault, in ms.
pub const LENGTH_MS: std::ops::Range<u64> = 200..3_500;

/// Length of a zone's absence, longer than the time in which it must get no more requests, in ms.
pub const ZONE_OUT_MS: u64 = 8_000;

/// Longest lateness of a link, in ms.
const LATE_MS_MAX: u64 = 120;

/// A link of a host that a proxy disturbs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkName {
    /// From other nodes.
    Peers,
    /// To the backend server.
    Server,
    /// To the log service.
    Store,
}

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The node is killed and started anew.
    Kill,
    /// The node is paused.
    Pause,
    /// The node is told to shut down, and started anew.
    Restart,
    /// The node is told that its settings have changed.
    Hangup,
    /// A link is late, narrow or cut.
    Link(LinkName, LinkState),
    /// Connections of a link are reset or go silent.
    Connections(LinkName, ConnectionFault),
    /// The log service is away.
    StoreDown(DownMode),
    /// Appends are carried out without an answer.
    AppendAnswersLost,
    /// The log service keeps the newest records alone.
    Compaction,
    /// The log service comes back from a copy of itself.
    OlderCopy,
    /// The backend server crashes and another one starts.
    ServerCrash,
    /// The backend server leaves and another one starts.
    ServerLeave,
    /// The backend server treats requests badly while its health is good.
    ServerBehaviour(Behaviour),
    /// The backend server names a limit of requests per second.
    Limit(u32),
    /// The backend server says in its answers alone that it leaves, and ends; another one starts.
    LeaveUnannounced,
    /// A caller repeats a request that ends each backend server which runs it.
    PoisonRequest,
    /// A route is moved to the other service.
    RouteMove,
    /// The availability zone of the host is taken out.
    ZoneOut,
    /// A route is added, or removed.
    RouteAddition,
    /// All connections of all hosts go silent at once; a route changes after a while, in ms.
    AllSilent { change_after_ms: u64 },
    /// The address of the backend server passes to one of the other service.
    AddressPassed(NodeMeanwhile),
}

/// What the node does while the address of its backend server passes to another service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NodeMeanwhile {
    /// It runs on.
    RunsOn,
    /// It is restarted alone while no backend server is there, with its old settings.
    RestartedBetween,
    /// It is restarted alone when the other backend server is there.
    RestartedAfter,
    /// It ends with the backend server; the whole host is another one afterwards.
    Replaced,
}

/// A fault in its time and place.
#[derive(Debug, Clone, Copy)]
pub struct Event {
    pub at_ms: u64,
    pub for_ms: u64,
    pub host: usize,
    pub fault: Fault,
}

impl Event {
    /// Whether a link between hosts becomes narrow.
    pub fn narrows_link(&self) -> bool {
        matches!(
            self.fault,
            Fault::Link(LinkName::Peers, LinkState::Narrow(_))
        )
    }
}

/// Draws faults of all hosts at any times.
pub fn draw_mixed(seed: u64, hosts: usize) -> Vec<Event> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut events = Vec::new();
    for _ in 0..FAULTS {
        let fault = draw_fault(&mut random);
        events.push(Event {
            at_ms: random.random_range(0..FAULTS_MS),
            for_ms: random.random_range(LENGTH_MS),
            host: random.random_range(0..hosts),
            fault,
        });
    }
    events.extend(draw_behaviours(seed, hosts));
    events
}

/// Drawn apart, so that the other faults of a seed stay the same.
fn draw_behaviours(seed: u64, hosts: usize) -> impl Iterator<Item = Event> {
    let mut random = StdRng::seed_from_u64(!seed);
    (0..BEHAVIOUR_CHANGES).map(move |_| Event {
        fault: Fault::ServerBehaviour(draw_behaviour(&mut random)),
        at_ms: random.random_range(0..FAULTS_MS),
        for_ms: random.random_range(LENGTH_MS),
        host: random.random_range(0..hosts),
    })
}

fn draw_behaviour(random: &mut StdRng) -> Behaviour {
    match random.random_range(0..6) {
        0 => Behaviour::Slow(random.random_range(2..9)),
        1 => Behaviour::NeverAnswers,
        2 => Behaviour::Failing,
        3 => Behaviour::CutBeforeAnswer,
        4 => Behaviour::CutDuringAnswer,
        _ => Behaviour::WrongRequestId,
    }
}

pub fn draw_fault(random: &mut StdRng) -> Fault {
    match random.random_range(0..16) {
        0 => Fault::Kill,
        1 => Fault::Pause,
        2 | 3 => Fault::Restart,
        4 => Fault::Hangup,
        5 | 6 => Fault::Link(draw_link(random), draw_state(random)),
        7 | 8 => Fault::Connections(draw_link(random), draw_connection_fault(random)),
        9 => Fault::StoreDown(draw_down(random)),
        10 => Fault::AppendAnswersLost,
        11 => Fault::Compaction,
        12 => Fault::ServerCrash,
        13 => Fault::ServerLeave,
        14 => Fault::RouteMove,
        _ => Fault::ZoneOut,
    }
}

fn draw_link(random: &mut StdRng) -> LinkName {
    match random.random_range(0..4) {
        0 => LinkName::Store,
        1 => LinkName::Server,
        _ => LinkName::Peers,
    }
}

fn draw_state(random: &mut StdRng) -> LinkState {
    match random.random_range(0..4) {
        0 => LinkState::Cut(Direction::Forward),
        1 => LinkState::Cut(Direction::Back),
        2 => LinkState::Cut(Direction::Both),
        _ => LinkState::Late(random.random_range(1..LATE_MS_MAX)),
    }
}

fn draw_connection_fault(random: &mut StdRng) -> ConnectionFault {
    if random.random() {
        ConnectionFault::Reset
    } else {
        ConnectionFault::Silence
    }
}

fn draw_down(random: &mut StdRng) -> DownMode {
    if random.random() {
        DownMode::Refuse
    } else {
        DownMode::Hang
    }
}
