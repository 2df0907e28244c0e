//! A log service, hosts and callers, run as on the users' platform.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rand::Rng;
use rand::rngs::StdRng;
use standins::http::client::send_once;
use standins::platform::announcer::DEFAULT_VERSION;
use standins::platform::ledger::Ledger;
use standins::platform::store::Store;
use tokio::sync::Mutex;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::callers::{
    Attempt, Attempts, BUNDLE_KINDS, CALLER_KINDS, Caller, Kind, PROBER_KINDS, lock,
};
use crate::eventually::eventually_within;
use crate::operator::Operator;
use crate::site::{GRACE_S, MEMORY_MB, Place, Site};

/// Callers of one host.
const CALLERS_PER_HOST: usize = 3;

/// Callers of one host that ask for bundles.
const BUNDLE_CALLERS_PER_HOST: usize = 4;

/// Time after which a condition counts as never met.
const CONDITION_LIMIT: Duration = Duration::from_secs(20);

/// Two services, each in two availability zones.
pub const PLACES: [Place; 5] = [
    place("herd-1", "herd", "ratchaburi"),
    place("herd-2", "herd", "ratchaburi"),
    place("herd-3", "herd", "saraburi"),
    place("parlour-1", "parlour", "ratchaburi"),
    place("parlour-2", "parlour", "saraburi"),
];

/// Places one host at a time.
pub const fn place(name: &'static str, service: &'static str, zone: &'static str) -> Place {
    Place {
        name,
        service,
        zone,
        version: DEFAULT_VERSION,
        grace_s: GRACE_S,
        memory_mb: MEMORY_MB,
    }
}

/// Everything of one test.
#[derive(Debug)]
pub struct System {
    pub ledger: Ledger,
    pub store: Store,
    pub operator: Mutex<Operator>,
    pub sites: Vec<Mutex<Site>>,
}

impl System {
    /// Starts all hosts at once; the configuration is there before.
    pub async fn start() -> Self {
        Self::start_at(&PLACES).await
    }

    /// Starts hosts at these places at once; the configuration is there before.
    pub async fn start_at(places: &[Place]) -> Self {
        Self::start_with(Operator::default(), places).await
    }

    /// Starts hosts at these places at once, under an operator's configuration.
    pub async fn start_with(operator: Operator, places: &[Place]) -> Self {
        let loopback = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let store = Store::start(loopback).await.expect("the store starts");
        operator.write_config(&store);
        let ledger = Ledger::default();
        let mut sites: Vec<Mutex<Site>> = Vec::new();
        let mut contact = None;
        for place in places {
            let site = Site::start(*place, contact, store.address(), ledger.clone()).await;
            contact = contact.or(Some(site.addresses.announcements()));
            sites.push(Mutex::new(site));
        }
        Self {
            ledger,
            store,
            operator: Mutex::new(operator),
            sites,
        }
    }

    /// Adds hosts; their backend servers start at once.
    pub async fn add_hosts(&mut self, places: &[Place]) {
        let contact = self.sites[0].lock().await.addresses.announcements();
        for place in places {
            let site = Site::start(
                *place,
                Some(contact),
                self.store.address(),
                self.ledger.clone(),
            );
            self.sites.push(Mutex::new(site.await));
        }
    }

    /// Waits until every node takes callers.
    pub async fn wait_until_ready(&self) {
        for site in &self.sites {
            let address = site.lock().await.addresses.ready();
            eventually("the node is ready", async || is_ready(address).await).await;
        }
    }

    /// Starts callers on every host.
    pub async fn start_callers(&self, random: &mut StdRng) -> Callers {
        let mut callers = Callers::default();
        for host in 0..self.sites.len() {
            for index in 0..CALLERS_PER_HOST {
                let caller = self.caller(host, index, &CALLER_KINDS, random).await;
                callers.start(caller);
            }
        }
        callers
    }

    /// Starts one more caller on every host, which asks for routes that come and go.
    pub async fn start_probers(&self, callers: &mut Callers, random: &mut StdRng) {
        for host in 0..self.sites.len() {
            let prober = self.caller(host, CALLERS_PER_HOST, &PROBER_KINDS, random);
            callers.start(prober.await);
        }
    }

    /// Starts more callers on every host, whose answers are long.
    pub async fn start_bundle_callers(&self, callers: &mut Callers, random: &mut StdRng) {
        for host in 0..self.sites.len() {
            for index in 0..BUNDLE_CALLERS_PER_HOST {
                let index = CALLERS_PER_HOST + 1 + index;
                callers.start(self.caller(host, index, &BUNDLE_KINDS, random).await);
            }
        }
    }

    async fn caller(
        &self,
        host: usize,
        index: usize,
        kinds: &'static [Kind],
        random: &mut StdRng,
    ) -> Caller {
        Caller {
            host,
            kinds,
            index,
            node: self.sites[host].lock().await.addresses.callers(),
            ledger: self.ledger.clone(),
            seed: random.random(),
        }
    }
}

/// Callers that run.
#[derive(Debug, Default)]
pub struct Callers {
    stop: CancellationToken,
    tasks: Vec<JoinHandle<()>>,
    attempts: Attempts,
}

impl Callers {
    fn start(&mut self, caller: Caller) {
        let run = caller.run(Arc::clone(&self.attempts), self.stop.clone());
        self.tasks.push(tokio::spawn(run));
    }

    /// What they have sent so far.
    pub fn attempts(&self) -> Vec<Attempt> {
        lock(&self.attempts).clone()
    }

    /// Stops them; tells all that they sent.
    pub async fn finish(self) -> Vec<Attempt> {
        self.stop.cancel();
        for task in self.tasks {
            task.await.expect("a caller did not panic");
        }
        std::mem::take(&mut *lock(&self.attempts))
    }
}

/// Whether a node takes callers.
pub async fn is_ready(address: SocketAddr) -> bool {
    get(address, "/v1/ready").await.is_some()
}

/// Counters and latencies of a node.
pub async fn metrics(address: SocketAddr) -> String {
    let body = get(address, "/metrics").await.unwrap_or_default();
    String::from_utf8(body.to_vec()).expect("text")
}

/// Body of a successful answer on a node's ready address.
async fn get(address: SocketAddr, path: &str) -> Option<Bytes> {
    let request = hyper::Request::get(path)
        .header("host", "ready")
        .body(http_body_util::Full::default())
        .expect("a valid request");
    let answer = send_once(address, request).await.ok()?;
    (answer.status == 200).then_some(answer.body)
}

/// Waits until a condition holds; fails when it never does.
pub async fn eventually(what: &str, holds: impl AsyncFnMut() -> bool) {
    eventually_within(CONDITION_LIMIT, what, holds).await;
}
