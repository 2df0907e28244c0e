//! State shared by the parts of a host's node.

use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};

use arc_swap::ArcSwapOption;
use tokio::sync::{Notify, watch};

use crate::decision::host::claims::Claims;
use crate::decision::host::cold_start::ColdAllowance;
use crate::decision::host::crash_watch::CrashWatch;
use crate::decision::host::freshness::Freshness;
use crate::decision::host::keyed_state::KeyedState;
use crate::decision::host::nested_calls::NestedCalls;
use crate::decision::host::open_requests::OpenRequests;
use crate::decision::host::peers::{Introduction, Peers};
use crate::decision::host::poison_requests::{PoisonRequests, TRIAL_DELAY_MAX_US};
use crate::decision::host::returning_callers::ReturningCallers;
use crate::decision::host::run_times::RunTimes;
use crate::decision::host::shared_retry_budget::{RetryBudgetLimits, SharedRetryBudget};
use crate::decision::host::traffic_split::TrafficSplit;
use crate::decision::stop_plan::StopPlan;
use crate::edge::connections::Connections;
use crate::host::branches::state::Quotas;
use crate::host::log_service::quarantine_records::QuarantineRecords;
use crate::host::memory::Memory;
use crate::host::observe::events::{EventLog, time_of_day_ms};
use crate::host::observe::knowledge::{ConfigAge, LearnTimes};
use crate::host::observe::log_writer::StandardOutput;
use crate::host::peers::datagrams::Datagrams;
use crate::host::peers::peer_client::PeerClients;
use crate::host::peers::relayed_values::RelayedValues;
use crate::host::rollouts::state::Rollouts;
use crate::host::server::connection_pool::ConnectionPool;
use crate::host::server::executions::Executions;
use crate::host::server::shared_gate::SharedGate;
use crate::kernel::clock::Clock;
use crate::kernel::stop::Stop;
use crate::kernel::tasks::Tasks;
use crate::model::host_config::HostConfig;
use crate::model::ids::Incarnation;
use crate::model::names::ServiceName;
use crate::model::units::{US_PER_MS, US_PER_S};
use crate::settings::host::HostSettings;

/// Maximum number of identifiers of non-idempotent requests that are retained.
const CLAIMS_MAX: usize = 50_000;

/// Retention time of an identifier, in µs; longer than any caller waits.
const CLAIM_RETENTION_US: u64 = 60 * US_PER_S;

/// Shared state of one node, with one lock per field.
#[derive(Debug)]
pub struct Host {
    /// Validated settings.
    pub settings: HostSettings,
    /// Identifier of this run of the node.
    pub incarnation: Incarnation,
    /// Monotonic clock that includes time in which the system was suspended.
    pub clock: Clock,
    /// Background loops and small connections, joined last at shutdown.
    pub tasks: Tasks,
    /// Requests that run detached from their connection, joined before [`Self::tasks`].
    pub request_tasks: Tasks,
    /// Connections of callers.
    pub caller_connections: Connections,
    /// Connections that other nodes have opened.
    pub peer_connections: Connections,
    /// Stages of the graceful shutdown.
    pub stop: Stop,
    /// Stages for callers: their listener closes once the backend server makes no more calls.
    pub callers_stop: Stop,
    /// Plan of the graceful shutdown, once it has begun.
    pub stop_plan: ArcSwapOption<StopPlan>,
    /// Memory of requests and answers.
    pub memory: Memory,
    /// Structured log and metrics.
    pub events: EventLog,
    /// Configuration in force; none until one has been received.
    pub config: ArcSwapOption<HostConfig>,
    /// Version of the configuration in force; zero until one has been received.
    pub config_changes: watch::Sender<u64>,
    /// Proof that the configuration is the newest; none if keys need no such proof.
    pub freshness: Option<Mutex<Freshness>>,
    /// Quotas of branches; none if the settings do not bound them.
    pub quotas: Option<Quotas>,
    /// When the node last learned what it knows.
    pub learn_times: LearnTimes,
    /// Latest record of each key in the operators' log.
    pub operator_state: Mutex<KeyedState>,
    /// Large values of the operators' log, as relayed to other nodes.
    pub relayed_values: Mutex<RelayedValues>,
    /// Whether this node follows the operators' log and the log service answers.
    pub follows_log: AtomicBool,
    /// Notified when a peer has seen more of the operators' log than this node.
    pub operator_log_behind: Notify,
    /// Notified when the records that the operators' log has lost may have changed.
    pub lost_records_changed: Notify,
    /// Notified when the log service has come back from an older copy.
    pub log_era_changed: Notify,
    /// Nodes on other hosts.
    pub peers: Mutex<Peers>,
    /// Whether the list of all hosts was read from the log service.
    pub hosts_listed: AtomicBool,
    /// Connections to the nodes on other hosts.
    pub peer_clients: PeerClients,
    /// Gate in front of the backend server.
    pub gate: SharedGate,
    /// Lost runs at the backend server, and whether it ended.
    pub crash_watch: Mutex<CrashWatch>,
    /// Requests under which backend servers ended, as far as known here.
    pub poison_requests: Mutex<PoisonRequests>,
    /// Notified when a request is put in quarantine.
    pub quarantine_began: Notify,
    /// Records of quarantines that this node writes to the log service.
    pub quarantine_records: QuarantineRecords,
    /// Notified when other nodes should hear of such a request.
    pub crash_news: Notify,
    /// Datagrams to other nodes.
    pub datagrams: Datagrams,
    /// Roll-outs; none if the settings allow no share for trials.
    pub rollouts: Option<Rollouts>,
    /// Connections to the backend server.
    pub server_connections: ConnectionPool,
    /// Identifiers of non-idempotent requests.
    pub claims: Mutex<Claims>,
    /// Non-idempotent requests that are running or have just ended.
    pub executions: Executions,
    /// This node's share of the retry budget.
    pub retry_budget: Mutex<SharedRetryBudget>,
    /// Nested calls of the work at the backend server.
    pub nested_calls: Mutex<NestedCalls>,
    /// Requests that callers or other nodes await.
    pub open_requests: Mutex<OpenRequests>,
    /// Callers that may come back after a failure.
    pub returning_callers: Mutex<ReturningCallers>,
    /// Usual run time of each route.
    pub run_times: Mutex<RunTimes>,
    /// Choice of the target service on routes with a traffic split.
    pub traffic_split: Mutex<TrafficSplit>,
}

impl Host {
    /// Creates the state of a node without configuration or known peers.
    pub fn new(settings: HostSettings) -> Self {
        let incarnation = Incarnation(u64::from(rand::random::<u32>()));
        let clock = Clock::start();
        let tasks = Tasks::default();
        let budget_limits = RetryBudgetLimits {
            ratio: settings.bounds.retry_ratio,
            slack: settings.bounds.retry_slack,
            window_us: (settings.bounds.retry_window_s * US_PER_S as f64) as u64,
        };
        let cold_allowance = ColdAllowance {
            overage: settings.bounds.cold_overage,
            slack: settings.bounds.cold_slack,
        };
        let revoke_us = settings.bounds.revoke_ms.map(|ms| ms * US_PER_MS);
        let drain_us = settings.bounds.drain_ms * US_PER_MS;
        let trial_delay_us = rand::random_range(0..TRIAL_DELAY_MAX_US);
        let gate = SharedGate::new(
            incarnation,
            settings.backend_server.service.clone(),
            drain_us,
            cold_allowance,
            clock,
        );
        if !settings.host.first_start {
            gate.with(|gate| gate.set_restarted(time_of_day_ms()));
        }
        let memory = Memory::new(settings.limits.memory_mb);
        let answer_memory = Arc::clone(&memory.large_answers);
        let events = EventLog::start(&settings.host.name, clock, Box::new(StandardOutput));
        Self {
            incarnation,
            clock,
            stop: Stop::default(),
            callers_stop: Stop::default(),
            stop_plan: ArcSwapOption::empty(),
            config: ArcSwapOption::empty(),
            config_changes: watch::Sender::new(0),
            freshness: revoke_us.map(|bound_us| Mutex::new(Freshness::new(bound_us))),
            quotas: settings
                .bounds
                .quota
                .map(|bounds| Quotas::new(&bounds, settings.host.ip, clock.now_us())),
            learn_times: LearnTimes::default(),
            operator_state: Mutex::default(),
            relayed_values: Mutex::default(),
            follows_log: AtomicBool::new(false),
            operator_log_behind: Notify::new(),
            lost_records_changed: Notify::new(),
            log_era_changed: Notify::new(),
            peers: Mutex::default(),
            hosts_listed: AtomicBool::new(false),
            peer_clients: PeerClients::new(tasks.clone()),
            gate,
            crash_watch: Mutex::default(),
            poison_requests: Mutex::new(PoisonRequests::new(trial_delay_us)),
            quarantine_began: Notify::new(),
            quarantine_records: QuarantineRecords::default(),
            crash_news: Notify::new(),
            datagrams: Datagrams::new(settings.listen.shared_port_first),
            rollouts: settings.bounds.expose_share.map(Rollouts::new),
            server_connections: ConnectionPool::new(settings.backend_server.address, answer_memory),
            claims: Mutex::new(Claims::new(CLAIMS_MAX, CLAIM_RETENTION_US)),
            executions: Executions::default(),
            retry_budget: Mutex::new(SharedRetryBudget::new(budget_limits, clock.now_us())),
            nested_calls: Mutex::default(),
            open_requests: Mutex::default(),
            returning_callers: Mutex::default(),
            run_times: Mutex::default(),
            traffic_split: Mutex::default(),
            request_tasks: Tasks::default(),
            caller_connections: Connections::default(),
            peer_connections: Connections::default(),
            tasks,
            memory,
            events,
            settings,
        }
    }

    /// Returns the current time, in µs of the node's clock.
    pub fn now_us(&self) -> u64 {
        self.clock.now_us()
    }

    /// Returns the version of the configuration in force, if one is known.
    pub fn config_version(&self) -> Option<u64> {
        self.config.load().as_ref().map(|config| config.version)
    }

    /// Returns the version of the configuration in force and the age of what is known.
    pub fn config_age(&self) -> ConfigAge {
        let now_us = self.now_us();
        let age_ms = |age_us: Option<u64>| age_us.map(|us| us / US_PER_MS);
        ConfigAge {
            config_version: self.config_version(),
            config_age_ms: age_ms(self.learn_times.config.age_us(now_us)),
            operator_log_age_ms: age_ms(self.learn_times.operator_log.age_us(now_us)),
        }
    }

    /// Returns the service that the backend server announced.
    ///
    /// Before the first announcement it is the one in the settings.
    pub fn service(&self) -> ServiceName {
        self.gate.with(|gate| gate.server().service().clone())
    }

    /// Returns the introduction that this node sends to other nodes.
    pub fn introduction(&self) -> Introduction {
        let (service, service_changes) = self.gate.with(|gate| {
            let server = gate.server();
            (server.service().clone(), server.service_changes())
        });
        Introduction {
            address: self.settings.host.ip,
            incarnation: self.incarnation.after_service_changes(service_changes),
            zone: self.settings.host.zone.clone(),
            service,
        }
    }

    /// Returns the address at which the node on another host accepts peer requests.
    pub fn peer_address(&self, ip: IpAddr) -> SocketAddr {
        SocketAddr::new(ip, self.settings.listen.peers.port())
    }
}
