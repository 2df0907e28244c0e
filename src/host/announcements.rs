//! Listener for what the backend server beside this node announces of itself.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::context::Host;
use crate::decision::host::announcement::{AnnouncedState, Announcement, Freshness};
use crate::edge::http1::server::{Handler, ServerLimits};
use crate::edge::http1::{MessageLimits, Request, Response};
use crate::platform::announcements::{self, Message};

/// Takes announcements.
#[derive(Debug)]
pub struct AnnouncementHandler(pub Arc<Host>);

/// Bounds of an announcement's connection.
const LIMITS: ServerLimits = ServerLimits {
    message: MessageLimits {
        head_bytes_max: 8 << 10,
        body_bytes_max: 16 << 10,
    },
    head_timeout: Duration::from_secs(2),
    idle_timeout: Duration::from_secs(30),
};

impl Handler for AnnouncementHandler {
    fn limits(&self) -> ServerLimits {
        LIMITS
    }

    async fn answer(self: Arc<Self>, request: Request, _caller: SocketAddr) -> Response {
        let host = &self.0;
        let own_address = host.settings.backend_server.address;
        match announcements::decode(&request.head.target, &request.body, own_address) {
            Ok(Message::Heartbeat(announcement)) => announce(host, announcement),
            Ok(Message::Deregistered { instance, born_ms }) => leave(host, instance, born_ms),
            Err(error) => {
                host.events
                    .announcement_refused(&request.head.target, &error);
                return Response::own(400, Vec::new(), error.to_string());
            }
        }
        Response::own(200, Vec::new(), "{}")
    }
}

fn announce(host: &Host, announcement: Announcement) {
    let now_us = host.now_us();
    let told = announcement.clone();
    let (freshness, before, after) = host.gate.with(|gate| {
        let before = gate.state(now_us);
        let freshness = gate.observe_announcement(announcement, now_us);
        (freshness, before, gate.state(now_us))
    });
    if freshness == Freshness::NewStart {
        host.server.forget();
    }
    if freshness == Freshness::NewStart || before != after {
        host.events.announced(&told, freshness, after);
    }
}

/// A last word counts as one more announcement of the same start.
fn leave(host: &Host, instance: Arc<str>, born_ms: u64) {
    let known = host.gate.with(|gate| gate.last_announcement().cloned());
    let Some(known) = known else {
        let service = host.settings.backend_server.service.clone();
        let gone = Announcement {
            instance,
            service,
            born_ms,
            sequence: 0,
            slots: 1,
            state: AnnouncedState::Gone,
            cold_left_us: 0,
        };
        return announce(host, gone);
    };
    let same_start = known.instance == instance && (born_ms == 0 || born_ms == known.born_ms);
    if same_start {
        announce(
            host,
            Announcement {
                sequence: known.sequence + 1,
                state: AnnouncedState::Gone,
                ..known
            },
        );
    }
}
