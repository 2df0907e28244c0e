//! Lifecycle of a node: start, serve and graceful shutdown.

use std::sync::Arc;
use std::time::Duration;

use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::timeout_at;

use super::clock::Clock;
use super::context::Kernel;
use super::error::StepError;
use super::metrics::Metrics;
use super::plugin;
use super::stop::Stop;
use super::tasks::Tasks;
use super::timer::Timer;
use crate::decision::stop_plan::StopPlan;
use crate::edge::connections::Connections;
use crate::model::ids::Incarnation;
use crate::model::units::US_PER_MS;
use crate::plugins::metrics::statsd_client;
use crate::request::state::NodeState;
use crate::settings::NodeSettings;

/// Time that background tasks have to end after the last request, in ms.
const TASKS_END_TIMEOUT_MS: u64 = 2_000;

/// Receiver of SIGTERM and SIGINT.
///
/// It receives from its creation on, so that a signal during the start is not missed.
#[derive(Debug)]
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Begins to receive the signals.
    ///
    /// # Errors
    /// [`StepError`] if a signal handler cannot be installed.
    pub fn listen() -> Result<Self, StepError> {
        let error = |cause: std::io::Error| StepError::local("signals", cause);
        Ok(Self {
            terminate: signal(SignalKind::terminate()).map_err(error)?,
            interrupt: signal(SignalKind::interrupt()).map_err(error)?,
        })
    }

    /// Waits for a signal and returns its name.
    pub async fn received(&mut self) -> &'static str {
        tokio::select! {
            _signal = self.terminate.recv() => "SIGTERM",
            _signal = self.interrupt.recv() => "SIGINT",
        }
    }
}

/// A node whose plug-ins have started.
#[derive(Debug)]
pub struct Node {
    kernel: Arc<Kernel>,
}

impl Node {
    /// Starts every plug-in.
    ///
    /// # Errors
    /// [`StepError`] of the first plug-in that fails to start; those already started are stopped.
    pub async fn start(settings: NodeSettings) -> Result<Self, StepError> {
        let node = Self {
            kernel: Arc::new(build_kernel(settings)?),
        };
        let kernel = &node.kernel;
        kernel
            .tasks
            .spawn(kernel.timer.clone().run(kernel.stop.clone()));
        for plugin in plugin::registered() {
            if let Err(error) = (plugin.start)(Arc::clone(kernel)).await {
                log::error!("kernel: plug-in {} failed to start: {error}", plugin.name);
                node.end().await;
                return Err(error);
            }
        }
        log::info!(
            "kernel: node {} of {} started",
            kernel.settings.node.server,
            kernel.settings.node.zone
        );
        Ok(node)
    }

    /// The context shared by the plug-ins.
    pub fn kernel(&self) -> &Arc<Kernel> {
        &self.kernel
    }

    /// Serves until a signal or a plug-in starts the shutdown, then shuts down gracefully.
    pub async fn run_until(self, mut signals: StopSignals) {
        tokio::select! {
            signal = signals.received() => log::info!("kernel: received {signal}, leaving"),
            () = self.kernel.stop.leaving() => {}
        }
        self.shut_down().await;
    }

    /// Announces that the node is leaving, lets requests finish and stops.
    ///
    /// Requests still running and answers still unwritten when the shutdown time is over are logged
    /// and no longer awaited.
    pub async fn shut_down(self) {
        let settings = &self.kernel.settings.node;
        let clock = self.kernel.clock;
        let plan = StopPlan::with_steps(
            clock.now_us(),
            settings.leave_notice_ms * US_PER_MS,
            settings.shutdown_ms * US_PER_MS,
        );
        self.kernel.stop.leave();
        tokio::time::sleep_until(clock.instant_at(plan.closes_at_us).into()).await;
        // Connections of other nodes end one by one, so that a request that lasts takes no time from
        // answers that wait.
        self.kernel.stop.drain();
        let finish_by = clock.instant_at(plan.ends_at_us).into();
        let gives_up_at = clock.instant_at(plan.gives_up_at_us).into();
        let work = &self.kernel.work;
        if timeout_at(gives_up_at, work.join()).await.is_err() {
            log::error!(
                "kernel: requests still running after {} ms",
                settings.shutdown_ms
            );
            self.kernel.stop.give_up();
            if timeout_at(finish_by, work.join()).await.is_err() {
                log::error!("kernel: callers without an answer were not told");
            }
        }
        let peers = &self.kernel.peer_connections;
        if timeout_at(finish_by, peers.tasks.join()).await.is_err() {
            log::error!(
                "kernel: {} answers to other nodes unwritten after {} ms",
                peers.unwritten.count(),
                settings.shutdown_ms
            );
        }
        self.end().await;
        log::info!("kernel: stopped");
    }

    async fn end(&self) {
        self.kernel.stop.stop();
        self.kernel.state.peer_pool.clear();
        self.kernel.state.set_server(None);
        let limit = Duration::from_millis(TASKS_END_TIMEOUT_MS);
        let joined = async {
            tokio::join!(
                self.kernel.peer_connections.tasks.join(),
                self.kernel.tasks.join()
            )
        };
        if tokio::time::timeout(limit, joined).await.is_err() {
            log::warn!("kernel: some tasks did not end within {TASKS_END_TIMEOUT_MS} ms");
        }
    }
}

fn build_kernel(settings: NodeSettings) -> Result<Kernel, StepError> {
    let incarnation = Incarnation(rand::random());
    let clock = Clock::start();
    let tasks = Tasks::default();
    let state = NodeState::new(&settings, incarnation, clock, &tasks);
    let metrics = Metrics::new(statsd_client(settings.metrics.statsd_address)?);
    Ok(Kernel {
        settings,
        incarnation,
        clock,
        timer: Timer::new(clock),
        metrics,
        work: Tasks::default(),
        peer_connections: Connections::default(),
        tasks,
        stop: Stop::default(),
        state,
    })
}
