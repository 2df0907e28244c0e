//! Plug-in that runs the membership protocol over UDP and updates routers and peer table.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use tokio::net::UdpSocket;
use tokio::sync::broadcast;

use crate::agreement::members;
use crate::decision::membership::{
    DATAGRAM_BYTES_MAX, Member, MemberState, Membership, MembershipAction, MembershipEvent,
};
use crate::edge::gossip_codec::GossipCodec;
use crate::kernel::Kernel;
use crate::kernel::error::StepError;
use crate::kernel::metrics::Event;
use crate::kernel::plugin::{Plugin, Stage, StartFuture};
use crate::kernel::shards::lock;
use crate::model::names::ServiceName;
use crate::request::directory;
use crate::request::state::ConfigHint;

inventory::submit! { Plugin { name: "membership", stage: Stage::Bind, start } }

/// Connects the membership state machine to the UDP socket and the node's state.
#[derive(Debug)]
struct MembershipRunner {
    kernel: Arc<Kernel>,
    socket: UdpSocket,
    codec: GossipCodec,
    state_machine: Mutex<Membership>,
}

fn start(kernel: Arc<Kernel>) -> StartFuture {
    Box::pin(async move {
        let settings = &kernel.settings.membership;
        let address = settings.listen;
        let socket = UdpSocket::bind(address)
            .await
            .map_err(|cause| StepError::with_peer("membership: bind", address, cause))?;
        log::info!("membership: listening on {address}");
        let learned = kernel.state.learned_members.subscribe();
        let state_machine =
            Membership::new(own_member(&kernel), settings.protocol, kernel.now_us());
        let runner = Arc::new(MembershipRunner {
            kernel: Arc::clone(&kernel),
            socket,
            codec: GossipCodec::new(kernel.settings.peer.token.expose()),
            state_machine: Mutex::new(state_machine),
        });
        for contact in &settings.contacts {
            runner.handle(MembershipEvent::Contact(*contact)).await;
        }
        kernel.tasks.spawn(receive_datagrams(Arc::clone(&runner)));
        kernel.tasks.spawn(run_ticks(Arc::clone(&runner)));
        kernel.tasks.spawn(publish_own_state(Arc::clone(&runner)));
        kernel.tasks.spawn(merge_learned_members(runner, learned));
        let log = kernel.member_log();
        let own = own_member(&kernel);
        kernel
            .tasks
            .spawn(members::run(Arc::clone(&kernel), log, own));
        Ok(())
    })
}

/// This node's own member record at its start.
pub fn own_member(kernel: &Kernel) -> Member {
    let settings = &kernel.settings;
    Member {
        server: settings.node.server.clone(),
        incarnation: kernel.incarnation,
        peer_address: settings.peer.listen,
        gossip_address: settings.membership.listen,
        region: Arc::clone(&settings.node.region),
        zone: settings.node.zone.clone(),
        service: kernel.state.own_service(),
        state: MemberState::Alive,
        revision: 0,
    }
}

async fn receive_datagrams(runner: Arc<MembershipRunner>) {
    let mut datagram = [0; DATAGRAM_BYTES_MAX + 1];
    loop {
        let received = tokio::select! {
            () = runner.kernel.stop.stopped() => return,
            received = runner.socket.recv_from(&mut datagram) => received,
        };
        match received {
            Ok((length, from)) => runner.handle_datagram(&datagram[..length], from).await,
            Err(error) => log::debug!("membership: receive failed: {error}"),
        }
    }
}

async fn run_ticks(runner: Arc<MembershipRunner>) {
    let period_ms = runner.kernel.settings.membership.protocol.tick_ms;
    let mut ticks = runner.kernel.timer.subscribe(period_ms, period_ms);
    while ticks.tick().await.is_some() {
        runner.handle(MembershipEvent::Tick).await;
    }
}

/// Publishes the announced service, the configuration version and the start of the shutdown.
async fn publish_own_state(runner: Arc<MembershipRunner>) {
    let kernel = Arc::clone(&runner.kernel);
    let mut server_changed = kernel.state.server_changed.subscribe();
    let mut config_changed = kernel.state.config_changed.subscribe();
    server_changed.mark_changed();
    config_changed.mark_changed();
    let mut routed_service: Option<ServiceName> = None;
    let mut leaving = false;
    loop {
        tokio::select! {
            () = kernel.stop.stopped() => return,
            () = kernel.stop.leaving(), if !leaving => leaving = true,
            _changed = server_changed.changed() => {}
            _changed = config_changed.changed() => {
                let version = *config_changed.borrow_and_update();
                runner.handle(MembershipEvent::ConfigVersion(version)).await;
                continue;
            }
        }
        let service = kernel.state.own_service();
        directory::update_own_server(
            &kernel,
            routed_service.as_ref(),
            service.as_ref().filter(|_service| !leaving),
        );
        routed_service.clone_from(&service);
        runner
            .handle(MembershipEvent::OwnState { service, leaving })
            .await;
    }
}

/// Adds members that were read from the log.
async fn merge_learned_members(
    runner: Arc<MembershipRunner>,
    mut learned: broadcast::Receiver<Member>,
) {
    loop {
        let member = tokio::select! {
            () = runner.kernel.stop.stopped() => return,
            member = learned.recv() => member,
        };
        match member {
            Ok(member) => runner.handle(MembershipEvent::ReadFromLog(member)).await,
            Err(error) => log::warn!("membership: records from the log were missed: {error}"),
        }
    }
}

impl MembershipRunner {
    async fn handle_datagram(&self, datagram: &[u8], from: SocketAddr) {
        match self.codec.decode(datagram) {
            Ok(message) => {
                self.count_received(datagram.len());
                self.record_sender(&message.sender);
                self.handle(MembershipEvent::Received { from, message })
                    .await;
            }
            Err(error) => {
                self.kernel.metrics.count(Event::GossipRejected);
                log::debug!("membership: datagram refused (peer {from}): {error}");
            }
        }
    }

    fn count_received(&self, bytes: usize) {
        let metrics = &self.kernel.metrics;
        metrics.count(Event::GossipReceived);
        metrics.add(Event::GossipBytesReceived, bytes as u64);
    }

    fn record_sender(&self, member: &Member) {
        let now_us = self.kernel.now_us();
        lock(&self.kernel.state.knowledge).record_message(&member.region, &member.zone, now_us);
    }

    async fn handle(&self, event: MembershipEvent) {
        let mut actions = Vec::new();
        let now_us = self.kernel.now_us();
        lock(&self.state_machine).handle(event, now_us, rand::random(), &mut actions);
        for action in actions {
            self.execute(action).await;
        }
    }

    async fn execute(&self, action: MembershipAction) {
        match action {
            MembershipAction::Send { to, message } => match self.codec.encode(&message) {
                Ok(datagram) => self.send(to, &datagram).await,
                Err(error) => log::error!("membership: message could not be encoded: {error}"),
            },
            MembershipAction::Changed(member) => directory::apply_member(&self.kernel, &member),
            MembershipAction::NewerConfig { peer, version } => {
                let newer_config = &self.kernel.state.config_hint;
                newer_config.send_replace(Some(ConfigHint { peer, version }));
            }
            MembershipAction::Replaced { by } => {
                log::error!(
                    "membership: another process uses the name {}, leaving",
                    by.server
                );
                self.kernel.stop.leave();
            }
        }
    }

    async fn send(&self, to: SocketAddr, datagram: &[u8]) {
        self.kernel.metrics.count(Event::GossipSent);
        self.kernel
            .metrics
            .add(Event::GossipBytes, datagram.len() as u64);
        if let Err(error) = self.socket.send_to(datagram, to).await {
            log::debug!("membership: send failed (peer {to}): {error}");
        }
    }
}
