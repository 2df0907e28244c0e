//! Finds services that a change would leave without room.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::status::{ClusterStatus, NodeStatus};
use crate::agreement::change::ChangeAction;
use crate::model::config::{Config, ServiceConfig};
use crate::model::names::{ServerName, ServiceName, ZoneName};

/// A service that would have too little room.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, displaydoc::Display)]
#[serde(rename_all = "kebab-case")]
pub enum RoomWarning {
    /// service {service} would keep no availability zone
    NoZone {
        /// The service.
        service: ServiceName,
    },
    /// service {service} would keep no backend server that takes work
    NoServer {
        /// The service.
        service: ServiceName,
    },
    /// service {service} has {used} requests at once now and would keep room for {room}
    TooLittle {
        /// The service.
        service: ServiceName,
        /// Requests running or waiting now.
        used: u32,
        /// Requests that the remaining backend servers may run at once.
        room: u32,
    },
}

/// What is out of service after a change.
struct Out {
    zones: BTreeSet<ZoneName>,
    servers: BTreeSet<ServerName>,
}

/// Warnings about a change that takes something out; none for any other change.
pub fn warnings(
    config: &Config,
    status: &ClusterStatus,
    action: &ChangeAction,
) -> Vec<RoomWarning> {
    let mut out = Out {
        zones: config.zones_out.clone(),
        servers: config.servers_out.clone(),
    };
    let adds = match action {
        ChangeAction::ZoneOut(zone) => out.zones.insert(zone.clone()),
        ChangeAction::ServerOut(server) => out.servers.insert(server.clone()),
        ChangeAction::PutAnswers(_)
        | ChangeAction::RemoveBranch { .. }
        | ChangeAction::ZoneIn(_)
        | ChangeAction::ServerIn(_) => false,
    };
    if !adds {
        return Vec::new();
    }
    let services = config
        .services
        .iter()
        .filter(|(name, _)| touched(name, config, status, action));
    services
        .filter_map(|(name, service)| warning(name, service, status, &out))
        .collect()
}

/// Whether the change takes anything of the service out.
fn touched(
    name: &ServiceName,
    config: &Config,
    status: &ClusterStatus,
    action: &ChangeAction,
) -> bool {
    let mut nodes = status
        .nodes
        .iter()
        .filter(|node| node.service.as_ref() == Some(name));
    match action {
        ChangeAction::ZoneOut(zone) => config.services[name].zones.contains(zone),
        ChangeAction::ServerOut(server) => nodes.any(|node| node.node == *server),
        ChangeAction::PutAnswers(_)
        | ChangeAction::RemoveBranch { .. }
        | ChangeAction::ZoneIn(_)
        | ChangeAction::ServerIn(_) => false,
    }
}

fn warning(
    name: &ServiceName,
    service: &ServiceConfig,
    status: &ClusterStatus,
    out: &Out,
) -> Option<RoomWarning> {
    let service_name = || name.clone();
    if service.zones.is_subset(&out.zones) {
        return Some(RoomWarning::NoZone {
            service: service_name(),
        });
    }
    let nodes = || {
        status
            .nodes
            .iter()
            .filter(|node| node.service.as_ref() == Some(name))
    };
    let remaining: Vec<&NodeStatus> = nodes().filter(|node| takes_work(node, out)).collect();
    if remaining.is_empty() {
        return Some(RoomWarning::NoServer {
            service: service_name(),
        });
    }
    let used: u32 = nodes().map(|node| node.in_flight + node.queued).sum();
    let room: u32 = remaining.iter().map(|node| node.limit).sum();
    (used > room).then(|| RoomWarning::TooLittle {
        service: service_name(),
        used,
        room,
    })
}

fn takes_work(node: &NodeStatus, out: &Out) -> bool {
    node.state.takes_work() && !out.zones.contains(&node.zone) && !out.servers.contains(&node.node)
}
