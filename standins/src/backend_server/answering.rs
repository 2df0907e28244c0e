//! Answers work requests: shed, fail, work, and spoil the answer as set.

use std::sync::Arc;
use std::time::Duration;

use hyper::StatusCode;
use hyper::header::{HeaderName, HeaderValue};
use tokio::time::sleep;

use crate::http::answer::{Answer, ConnectionCut, error, json_bytes};

use super::behaviour::Behaviour;
use super::connection::{Connection, Purpose};
use super::exchange::Exchanged;
use super::run::{NoRun, Run, RunEnd};
use super::server::Server;
use super::work_request::{NOT_RUN_HEADER, REQUEST_ID_HEADER, WorkRequest};

/// Answers one work request.
pub(super) async fn answer_work(
    server: &Arc<Server>,
    connection: &Connection,
    request: WorkRequest,
) -> Result<Answer, ConnectionCut> {
    if connection.use_for_work() == Purpose::Refused {
        return Err(ConnectionCut::BeforeAnswer);
    }
    let behaviour = server.behaviour();
    if server.draw_percent(behaviour.shed_percent) {
        return Ok(shed(server, &request));
    }
    let run = match Run::start(server, &connection.boot, &request) {
        Ok(run) => run,
        Err(NoRun::SlotsFull) => return Ok(shed(server, &request)),
        Err(NoRun::BootEnded) => return Err(ConnectionCut::BeforeAnswer),
    };
    if behaviour.fail_fast {
        run.fail();
        return Ok(echo(
            error(StatusCode::INTERNAL_SERVER_ERROR, "fails fast"),
            &request,
        ));
    }
    let answer = match run.work(request.timeout()).await {
        RunEnd::Done => json_bytes(StatusCode::OK, request.answer_body(&server.settings().name)),
        RunEnd::DeadlinePassed => error(StatusCode::GATEWAY_TIMEOUT, "deadline passed"),
    };
    Ok(spoil(server, echo(answer, &request)).await)
}

/// Refuses work that was not run.
fn shed(server: &Server, request: &WorkRequest) -> Answer {
    server.counters().shed.count();
    let mut answer = error(StatusCode::SERVICE_UNAVAILABLE, "slots are full");
    let header = HeaderName::from_static(NOT_RUN_HEADER);
    answer
        .headers_mut()
        .insert(header, HeaderValue::from_static("1"));
    echo(answer, request)
}

fn echo(mut answer: Answer, request: &WorkRequest) -> Answer {
    if let Some(id) = request.request_id_value() {
        answer
            .headers_mut()
            .insert(HeaderName::from_static(REQUEST_ID_HEADER), id);
    }
    answer
}

/// Delays, crosses and truncates a finished answer as set now.
async fn spoil(server: &Server, answer: Answer) -> Answer {
    let behaviour = server.behaviour();
    if behaviour.late_answers_ms > 0 {
        sleep(Duration::from_millis(behaviour.late_answers_ms)).await;
    }
    let answer = cross(server, behaviour, answer).await;
    truncate(server, behaviour, answer)
}

async fn cross(server: &Server, behaviour: Behaviour, answer: Answer) -> Answer {
    if behaviour.crossed_answers_percent == 0 {
        return answer;
    }
    let crosses = server.draw_percent(behaviour.crossed_answers_percent);
    if !crosses && !server.exchange.has_offer() {
        return answer;
    }
    match server.exchange.swap(answer).await {
        Exchanged::Crossed(other) => {
            server.counters().crossed.count();
            other
        }
        Exchanged::Own(own) => own,
    }
}

fn truncate(server: &Server, behaviour: Behaviour, mut answer: Answer) -> Answer {
    if server.draw_percent(behaviour.truncate_answers_percent) {
        server.counters().truncated.count();
        answer.body_mut().truncate();
    }
    answer
}
