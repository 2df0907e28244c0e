//! Plan of one soak: which faults it has. Each class of faults has random numbers of its own, so
//! that a new class leaves the others of a seed as they are.

use std::ops::Range;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use standins::proxy::{Direction, LinkState};

use super::faults::{
    Event, FAULTS_MS, Fault, LENGTH_MS, LinkName, NodeMeanwhile, draw_fault, draw_mixed,
};

/// First seed with a plan other than mixed faults alone.
const FIRST_SEED_OF_PLANS: u64 = 2_000;

/// First seed from which on every second one returns to older copies of the log.
const FIRST_SEED_OF_COPIES: u64 = 4_000;

/// First seed from which on every other second one has statements of backend servers.
const FIRST_SEED_OF_STATEMENTS: u64 = 5_000;

/// First seed from which on every third one has a request that ends backend servers.
const FIRST_SEED_OF_POISON: u64 = 6_000;

/// First seed from which on every third one has older copies of the log beside other disturbances.
const FIRST_SEED_OF_DISTURBED_COPIES: u64 = 7_000;

/// First seed from which on every third one has hosts that stop while links are full.
const FIRST_SEED_OF_FULL_LINKS: u64 = 8_000;

/// Bytes that pass in a second on a narrow link, from when on, and for how long, in ms.
const NARROW_BYTES_PER_S: Range<u64> = 100_000..600_000;
const NARROW_FROM_MS: Range<u64> = 0..500;
const NARROW_MS: u64 = FAULTS_MS;

/// Times at which rolling restarts of all hosts begin, and the step from one host to the next, which
/// is shorter than a stop, in ms.
const ROLLS_MS: [Range<u64>; 2] = [1_000..2_500, 4_000..6_000];
const ROLL_STEP_MS: Range<u64> = 900..2_000;

/// Times at which hosts are paused, and for how long, and at which they get SIGHUP, in ms.
const PAUSES_MS: [Range<u64>; 2] = [9_500..11_000, 9_500..11_000];
const PAUSE_MS: Range<u64> = 100..900;
const HANGUPS_MS: [Range<u64>; 3] = [0..4_000, 4_000..8_000, 8_000..12_000];

/// Times at which some hosts lose the log service around a return to an older copy, for how long, in
/// ms, and how many hosts.
const STORE_CUTS_MS: [Range<u64>; 2] = [0..3_000, 8_000..11_000];
const STORE_CUT_MS: Range<u64> = 1_000..4_000;
const STORE_CUT_HOSTS: usize = 2;

/// Time at which such a request comes first, and for how long it is repeated, in ms.
const POISON_MS: Range<u64> = 0..3_000;
const POISON_REPEATED_MS: Range<u64> = 9_000..13_000;

/// Times at which backend servers name limits, or say that they leave, and how long a limit lasts, in
/// ms.
const STATEMENTS_MS: [Range<u64>; 3] = [0..1_500, 1_500..3_000, 6_000..8_000];
const LIMIT_MS: Range<u64> = 7_500..10_000;

/// Limits of requests per second.
const LIMITS_PER_S: Range<u32> = 1..12;

/// Times at which the log service is copied: two returns in a row, and one later.
const COPIES_MS: [Range<u64>; 3] = [0..2_000, 2_000..5_000, 9_000..11_000];

/// Age of a copy when the log service returns to it, in ms.
const COPY_AGE_MS: Range<u64> = 200..3_000;

/// Changes of routes, and the time in which they are made; some come after all faults, in ms.
const CHANGES: usize = 7;
const CHANGES_MS: Range<u64> = 0..FAULTS_MS + 3_000;

/// Times at which all connections go silent: far apart, so that hosts are in touch between them.
const SILENCES_MS: [Range<u64>; 2] = [0..2_000, 9_000..11_000];

/// Time between the silence and the change that follows, in ms.
const CHANGE_AFTER_MS: Range<u64> = 0..2_500;

/// Series of faults at one host: when each begins, its length, and the pauses in it, in ms.
const SERIES_MS: [Range<u64>; 2] = [0..2_000, 7_000..9_000];
const SERIES_FAULTS: usize = 4;
const SERIES_PAUSE_MS: Range<u64> = 0..600;

/// Times at which the address of one host passes to the other service, and back, in ms.
const PASSES_MS: [[Range<u64>; 2]; 2] = [[0..2_000, 7_000..9_000], [3_000..5_000, 10_000..12_000]];

/// Time in which the backend server of the other service is not announced yet, in ms.
const UNANNOUNCED_MS: Range<u64> = 0..2_000;

/// Faults of one soak.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Plan {
    /// Mixed faults alone.
    Mixed,
    /// All classes.
    All,
    /// All connections go silent, and routes change.
    Silence,
    /// Several faults at one host, and routes change.
    Series,
    /// Addresses pass to other services, and routes change.
    Addresses,
    /// The log service comes back from older copies, and routes change.
    Copies,
    /// Backend servers name limits and leave unannounced, and several faults are at one host.
    Statements,
    /// A request ends backend servers and is repeated, and several faults are at one host.
    Poison,
    /// The log service comes back from older copies while some hosts do not reach it, addresses pass
    /// to other services, and routes change.
    DisturbedCopies,
    /// Hosts stop in rolling restarts that overlap, while long answers fill narrow links.
    FullLinks,
}

/// Classes of faults; a later class takes the next number.
#[derive(Debug, Clone, Copy)]
enum Class {
    Changes = 1,
    Silences = 2,
    Series = 3,
    Addresses = 4,
    Copies = 5,
    Statements = 6,
    Poison = 7,
    StoreCuts = 8,
    FullLinks = 9,
}

impl Class {
    fn random(self, seed: u64) -> StdRng {
        StdRng::seed_from_u64(seed ^ ((self as u64) << u32::BITS))
    }
}

impl Plan {
    fn of(seed: u64) -> Self {
        if seed < FIRST_SEED_OF_PLANS {
            return Self::Mixed;
        }
        if seed >= FIRST_SEED_OF_POISON && seed.is_multiple_of(3) {
            return Self::Poison;
        }
        if seed >= FIRST_SEED_OF_DISTURBED_COPIES && seed % 3 == 1 {
            return Self::DisturbedCopies;
        }
        if seed >= FIRST_SEED_OF_FULL_LINKS && seed % 3 == 2 {
            return Self::FullLinks;
        }
        if seed >= FIRST_SEED_OF_STATEMENTS && !seed.is_multiple_of(2) {
            return Self::Statements;
        }
        if seed >= FIRST_SEED_OF_COPIES && seed.is_multiple_of(2) {
            return Self::Copies;
        }
        match seed % 4 {
            0 => Self::All,
            1 => Self::Silence,
            2 => Self::Series,
            _ => Self::Addresses,
        }
    }
}

/// Draws the faults of one soak, in the order of their times.
pub fn draw(seed: u64, hosts: usize) -> Vec<Event> {
    let mut events = match Plan::of(seed) {
        Plan::Mixed => draw_mixed(seed, hosts),
        Plan::All => [
            draw_mixed(seed, hosts),
            changes(seed),
            silences(seed),
            series(seed, hosts),
            addresses(seed, hosts),
        ]
        .concat(),
        Plan::Silence => [changes(seed), silences(seed)].concat(),
        Plan::Series => [changes(seed), series(seed, hosts)].concat(),
        Plan::Addresses => [changes(seed), addresses(seed, hosts)].concat(),
        Plan::Copies => [changes(seed), copies(seed), series(seed, hosts)].concat(),
        Plan::DisturbedCopies => [
            changes(seed),
            copies(seed),
            store_cuts(seed, hosts),
            addresses(seed, hosts),
        ]
        .concat(),
        Plan::Poison => [vec![poison(seed)], series(seed, hosts)].concat(),
        Plan::FullLinks => full_links(seed, hosts),
        Plan::Statements => [statements(seed, hosts), series(seed, hosts)].concat(),
    };
    events.sort_by_key(|event| event.at_ms);
    events
}

fn changes(seed: u64) -> Vec<Event> {
    let mut random = Class::Changes.random(seed);
    let change = |_| Event {
        fault: draw_change(&mut random),
        at_ms: random.random_range(CHANGES_MS),
        for_ms: 0,
        host: 0,
    };
    (0..CHANGES).map(change).collect()
}

fn draw_change(random: &mut StdRng) -> Fault {
    if random.random() {
        Fault::RouteAddition
    } else {
        Fault::RouteMove
    }
}

fn silences(seed: u64) -> Vec<Event> {
    let mut random = Class::Silences.random(seed);
    let silence = |within: Range<u64>| Event {
        at_ms: random.random_range(within),
        for_ms: 0,
        host: 0,
        fault: Fault::AllSilent {
            change_after_ms: random.random_range(CHANGE_AFTER_MS),
        },
    };
    SILENCES_MS.into_iter().map(silence).collect()
}

fn series(seed: u64, hosts: usize) -> Vec<Event> {
    let mut random = Class::Series.random(seed);
    let mut events = Vec::new();
    for within in SERIES_MS {
        let host = random.random_range(0..hosts);
        let mut at_ms = random.random_range(within);
        for _ in 0..SERIES_FAULTS {
            let for_ms = random.random_range(LENGTH_MS) / SERIES_FAULTS as u64;
            events.push(Event {
                at_ms,
                for_ms,
                host,
                fault: draw_fault(&mut random),
            });
            at_ms += for_ms + random.random_range(SERIES_PAUSE_MS);
        }
    }
    events
}

fn addresses(seed: u64, hosts: usize) -> Vec<Event> {
    let mut random = Class::Addresses.random(seed);
    let mut events = Vec::new();
    for there_and_back in PASSES_MS {
        let host = random.random_range(0..hosts);
        for within in there_and_back {
            events.push(Event {
                at_ms: random.random_range(within),
                for_ms: random.random_range(UNANNOUNCED_MS),
                host,
                fault: Fault::AddressPassed(draw_node(&mut random)),
            });
        }
    }
    events
}

fn copies(seed: u64) -> Vec<Event> {
    let mut random = Class::Copies.random(seed);
    let copy = |within: Range<u64>| Event {
        at_ms: random.random_range(within),
        for_ms: random.random_range(COPY_AGE_MS),
        host: 0,
        fault: Fault::OlderCopy,
    };
    COPIES_MS.into_iter().map(copy).collect()
}

/// Each statement is at another host.
fn statements(seed: u64, hosts: usize) -> Vec<Event> {
    let mut random = Class::Statements.random(seed);
    let first_host = random.random_range(0..hosts);
    let statement = |(index, within): (usize, Range<u64>)| Event {
        at_ms: random.random_range(within),
        for_ms: random.random_range(LIMIT_MS),
        host: (first_host + index) % hosts,
        fault: if random.random_ratio(2, 3) {
            Fault::Limit(random.random_range(LIMITS_PER_S))
        } else {
            Fault::LeaveUnannounced
        },
    };
    STATEMENTS_MS
        .into_iter()
        .enumerate()
        .map(statement)
        .collect()
}

/// Cuts of the links to the log service, each of several hosts at the same time.
fn store_cuts(seed: u64, hosts: usize) -> Vec<Event> {
    let mut random = Class::StoreCuts.random(seed);
    let mut events = Vec::new();
    for within in STORE_CUTS_MS {
        let first_host = random.random_range(0..hosts);
        let (at_ms, for_ms) = (
            random.random_range(within),
            random.random_range(STORE_CUT_MS),
        );
        events.extend((0..STORE_CUT_HOSTS).map(|index| Event {
            at_ms,
            for_ms,
            host: (first_host + index) % hosts,
            fault: Fault::Link(LinkName::Store, LinkState::Cut(Direction::Both)),
        }));
    }
    events
}

/// Narrow links everywhere, two rolling restarts, and further faults at any host.
fn full_links(seed: u64, hosts: usize) -> Vec<Event> {
    let mut random = Class::FullLinks.random(seed);
    let mut events = Vec::new();
    let mut add = |host, at_ms, for_ms, fault| {
        events.push(Event {
            at_ms,
            for_ms,
            host,
            fault,
        });
    };
    for host in 0..hosts {
        let narrow = LinkState::Narrow(random.random_range(NARROW_BYTES_PER_S));
        let at_ms = random.random_range(NARROW_FROM_MS);
        add(host, at_ms, NARROW_MS, Fault::Link(LinkName::Peers, narrow));
    }
    for within in ROLLS_MS {
        let first_host = random.random_range(0..hosts);
        let mut at_ms = random.random_range(within);
        for index in 0..hosts {
            add((first_host + index) % hosts, at_ms, 0, Fault::Restart);
            at_ms += random.random_range(ROLL_STEP_MS);
        }
    }
    for within in PAUSES_MS {
        let (at_ms, for_ms) = (random.random_range(within), random.random_range(PAUSE_MS));
        add(random.random_range(0..hosts), at_ms, for_ms, Fault::Pause);
    }
    for within in HANGUPS_MS {
        let at_ms = random.random_range(within);
        add(random.random_range(0..hosts), at_ms, 0, Fault::Hangup);
    }
    events
}

fn poison(seed: u64) -> Event {
    let mut random = Class::Poison.random(seed);
    Event {
        at_ms: random.random_range(POISON_MS),
        for_ms: random.random_range(POISON_REPEATED_MS),
        host: 0,
        fault: Fault::PoisonRequest,
    }
}

fn draw_node(random: &mut StdRng) -> NodeMeanwhile {
    match random.random_range(0..4) {
        0 => NodeMeanwhile::RunsOn,
        1 => NodeMeanwhile::RestartedBetween,
        2 => NodeMeanwhile::RestartedAfter,
        _ => NodeMeanwhile::Replaced,
    }
}
