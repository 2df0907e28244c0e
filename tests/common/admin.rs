//! A node behind the administration API, reduced to a fold in memory.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use bronzelock::agreement::change::Change;
use bronzelock::agreement::fold::Fold;
use bronzelock::agreement::outcome::OutcomeEntry;
use bronzelock::agreement::publish::PublishOutcome;
use bronzelock::agreement::record::Record;
use bronzelock::model::config::Config;
use bronzelock::model::ids::ConfigVersion;
use bronzelock::model::load::ServerState;
use bronzelock::model::names::{ServerName, ServiceName};
use bronzelock::operators::admin_api::access::AdminToken;
use bronzelock::operators::admin_api::backend::AdminBackend;
use bronzelock::operators::admin_api::routes;
use bronzelock::operators::status::{ClusterStatus, NodeStatus};
use tokio::net::TcpListener;
use tokio::task::AbortHandle;

use crate::common::zone;

/// Token of the tests.
pub const TOKEN: &str = "a token of the tests";

/// A fold that takes every change at once, or answers as told.
#[derive(Default)]
pub struct FakeNode {
    pub fold: Mutex<Fold>,
    pub status: Mutex<ClusterStatus>,
    /// Answer to every publication in place of the fold's.
    pub answer: Mutex<Option<PublishOutcome>>,
    pub without_config: bool,
}

impl FakeNode {
    pub fn config_now(&self) -> Arc<Config> {
        self.fold.lock().expect("no test panicked").config()
    }
}

impl AdminBackend for FakeNode {
    fn config(&self) -> Option<Arc<Config>> {
        (!self.without_config).then(|| self.config_now())
    }

    async fn publish(&self, change: Change) -> PublishOutcome {
        if let Some(answer) = self.answer.lock().expect("no test panicked").clone() {
            return answer;
        }
        let mut fold = self.fold.lock().expect("no test panicked");
        let offset = fold.next_offset();
        fold.apply(offset, &Record::Change(change.clone()));
        fold.outcome(&change.id)
            .expect("the change was applied")
            .clone()
            .into()
    }

    async fn status(&self) -> ClusterStatus {
        self.status.lock().expect("no test panicked").clone()
    }

    fn changes(&self) -> Vec<OutcomeEntry> {
        self.fold
            .lock()
            .expect("no test panicked")
            .outcomes()
            .cloned()
            .collect()
    }
}

/// A node of the herd service.
pub fn herd_node(name: &str, zone_name: &str, version: u64) -> NodeStatus {
    NodeStatus {
        node: ServerName::new(name).expect("a name"),
        service: Some(ServiceName::new("herd").expect("a name")),
        zone: zone(zone_name),
        version: ConfigVersion(version),
        log_age_ms: Some(40),
        state: ServerState::Warm,
        limit: 12,
        in_flight: 3,
        queued: 0,
        refusals: [].into(),
    }
}

/// Serves the API on a free port of loopback until the handle aborts it.
pub async fn serve(node: &Arc<FakeNode>, token: Option<&str>) -> (SocketAddr, AbortHandle) {
    let token = token.map(|text| AdminToken::new(text).expect("long enough"));
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let server = warp::serve(routes(Arc::clone(node), token))
        .incoming(listener)
        .run();
    (address, tokio::spawn(server).abort_handle())
}
