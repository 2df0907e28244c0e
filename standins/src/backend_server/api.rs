//! HTTP interface of the backend server stand-in.

use std::sync::Arc;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode, Uri};

use crate::http::answer::{Answer, ConnectionCut, error, json};
use crate::http::listener::Handler;
use crate::http::query;

use super::answering::answer_work;
use super::behaviour::BehaviourChange;
use super::connection::{Connection, Purpose};
use super::reports;
use super::server::Server;
use super::witness::WitnessDetail;
use super::work_request::WorkRequest;

/// Prefix of paths that are not work.
const OWN_PREFIX: &str = "/-/";

impl Handler for ServerHandler {
    type Connection = Connection;

    fn connection_opened(&self) -> Connection {
        Connection::open(Arc::clone(&self.0))
    }

    fn open_delay(&self) -> Duration {
        Duration::from_micros(self.0.settings().connection_open_us)
    }

    async fn connection_cut(connection: &Connection) {
        connection.cut().await;
    }

    async fn answer(
        self: Arc<Self>,
        connection: Arc<Connection>,
        request: Request<Incoming>,
    ) -> Result<Answer, ConnectionCut> {
        if request.uri().path().starts_with(OWN_PREFIX) {
            return answer_own(&self.0, &connection, request).await;
        }
        let request = WorkRequest::read(request).await?;
        answer_work(&self.0, &connection, request).await
    }
}

/// Serves one backend server.
#[derive(Debug)]
pub(super) struct ServerHandler(pub Arc<Server>);

async fn answer_own(
    server: &Server,
    connection: &Connection,
    request: Request<Incoming>,
) -> Result<Answer, ConnectionCut> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/-/health") => probe_health(server, connection),
        (&Method::GET, "/-/load") => probe_load(server, connection),
        (&Method::GET, "/-/witness") => {
            connection.use_for_control();
            Ok(witness(server, request.uri()))
        }
        (&Method::GET, "/-/behaviour") => {
            connection.use_for_control();
            Ok(json(StatusCode::OK, &server.behaviour()))
        }
        (&Method::PUT, "/-/behaviour") => {
            connection.use_for_control();
            Ok(put_behaviour(server, request).await)
        }
        _ => Ok(error(StatusCode::NOT_FOUND, "no such path")),
    }
}

fn probe_health(server: &Server, connection: &Connection) -> Result<Answer, ConnectionCut> {
    if connection.use_for_work() == Purpose::Refused {
        return Err(ConnectionCut::BeforeAnswer);
    }
    server.counters().health_probes.count();
    let report = reports::health(server);
    Ok(json(report.status_code(), &report))
}

fn probe_load(server: &Server, connection: &Connection) -> Result<Answer, ConnectionCut> {
    if connection.use_for_work() == Purpose::Refused {
        return Err(ConnectionCut::BeforeAnswer);
    }
    server.counters().load_probes.count();
    Ok(json(StatusCode::OK, &reports::load(server)))
}

fn witness(server: &Server, uri: &Uri) -> Answer {
    let detail = query::text(uri, "detail").map_or(Some(WitnessDetail::All), WitnessDetail::parse);
    match detail {
        Some(detail) => json(StatusCode::OK, &server.witness(detail)),
        None => error(StatusCode::BAD_REQUEST, "detail is all, repeated or totals"),
    }
}

async fn put_behaviour(server: &Server, request: Request<Incoming>) -> Answer {
    let Ok(body) = request.into_body().collect().await else {
        return error(StatusCode::BAD_REQUEST, "body broke off");
    };
    match serde_json::from_slice::<BehaviourChange>(&body.to_bytes()) {
        Ok(change) => {
            server.change_behaviour(change);
            json(StatusCode::OK, &server.behaviour())
        }
        Err(cause) => error(StatusCode::BAD_REQUEST, &cause.to_string()),
    }
}
