//! HTTP interface of the log stand-in.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode, Uri};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::sync::watch;
use tokio::time::{sleep, timeout_at};
use tokio_util::sync::CancellationToken;

use crate::http::answer::{Answer, ConnectionCut, error, json};
use crate::http::listener::Handler;

use super::faults::{DownMode, Faults};
use super::messages::{Appended, Page, ReadRange};
use super::rate_limit::RateLimit;
use super::stats::{Counters, LogStats};
use super::stream::{Slice, Stream};

/// Seed that decides which answers are lost.
const LOSS_SEED: u64 = 1;

/// State of the log stand-in, shared by its connections.
#[derive(Debug)]
pub(super) struct LogApi {
    streams: Mutex<HashMap<Box<str>, Arc<Stream>>>,
    faults: watch::Sender<Faults>,
    limit: RateLimit,
    random: Mutex<StdRng>,
    counters: Counters,
    waits_ended: CancellationToken,
}

impl LogApi {
    /// Makes an empty log.
    pub fn new(faults: Faults) -> Self {
        Self {
            streams: Mutex::default(),
            faults: watch::Sender::new(faults),
            limit: RateLimit::new(Instant::now()),
            random: Mutex::new(StdRng::seed_from_u64(LOSS_SEED)),
            counters: Counters::default(),
            waits_ended: CancellationToken::new(),
        }
    }

    /// Faults in force.
    pub fn faults(&self) -> Faults {
        *self.faults.borrow()
    }

    /// Puts other faults in force.
    pub fn set_faults(&self, faults: Faults) {
        log::info!("log: faults set to {faults:?}");
        self.faults.send_replace(faults);
    }

    /// Counts so far.
    pub fn stats(&self) -> LogStats {
        self.counters.read()
    }

    /// Ends reads that wait and requests that hang.
    pub fn end_waits(&self) {
        self.waits_ended.cancel();
    }

    fn loses_answer(&self, faults: &Faults) -> bool {
        let mut random = self.random.lock().unwrap_or_else(PoisonError::into_inner);
        random.random_range(0..100) < faults.lose_answer_percent
    }

    fn stream(&self, name: &str) -> Arc<Stream> {
        let mut streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(stream) = streams.get(name) {
            return Arc::clone(stream);
        }
        let stream = Arc::new(Stream::default());
        streams.insert(Box::from(name), Arc::clone(&stream));
        stream
    }

    async fn route(&self, request: Request<Incoming>) -> Result<Answer, ConnectionCut> {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::PUT, "/faults") => Ok(self.put_faults(request).await),
            (&Method::GET, "/faults") => Ok(json(StatusCode::OK, &self.faults())),
            (&Method::GET, "/stats") => Ok(json(StatusCode::OK, &self.stats())),
            (&Method::POST, _) => match stream_name(&path) {
                Some(name) => self.append(name, request).await,
                None => Ok(not_found()),
            },
            (&Method::GET, _) => match stream_name(&path) {
                Some(name) => self.read(name, request.uri()).await,
                None => Ok(not_found()),
            },
            _ => Ok(not_found()),
        }
    }

    async fn put_faults(&self, request: Request<Incoming>) -> Answer {
        let Ok(body) = request.into_body().collect().await else {
            return error(StatusCode::BAD_REQUEST, "body broke off");
        };
        match serde_json::from_slice(&body.to_bytes()) {
            Ok(faults) => {
                self.set_faults(faults);
                json(StatusCode::OK, &faults)
            }
            Err(cause) => error(StatusCode::BAD_REQUEST, &cause.to_string()),
        }
    }

    /// Applies delay and outage; an answer in place of the log's own comes back.
    async fn apply_outage(&self) -> Result<Option<Answer>, ConnectionCut> {
        let delay_ms = self.faults().delay_ms;
        if delay_ms > 0 {
            sleep(Duration::from_millis(delay_ms)).await;
        }
        match self.faults().down {
            DownMode::Up => Ok(None),
            DownMode::Refuse => {
                self.counters.refused_down.count();
                Ok(Some(error(StatusCode::SERVICE_UNAVAILABLE, "log is down")))
            }
            DownMode::Hang => {
                self.hang().await;
                Err(ConnectionCut::BeforeAnswer)
            }
        }
    }

    async fn hang(&self) {
        let mut faults = self.faults.subscribe();
        let ended = faults.wait_for(|faults| faults.down != DownMode::Hang);
        tokio::select! {
            _ = ended => (),
            () = self.waits_ended.cancelled() => (),
        }
    }

    async fn append(
        &self,
        name: &str,
        request: Request<Incoming>,
    ) -> Result<Answer, ConnectionCut> {
        let collected = request.into_body().collect().await;
        let body = collected
            .map_err(|_broken| ConnectionCut::BeforeAnswer)?
            .to_bytes();
        if let Some(answer) = self.apply_outage().await? {
            return Ok(answer);
        }
        let Ok(data) = std::str::from_utf8(&body) else {
            return Ok(error(StatusCode::BAD_REQUEST, "record is not UTF-8 text"));
        };
        let faults = self.faults();
        let now = Instant::now();
        if !faults
            .appends_per_s
            .is_none_or(|per_s| self.limit.take(per_s, now))
        {
            self.counters.appends_limited.count();
            return Ok(error(
                StatusCode::TOO_MANY_REQUESTS,
                "too many appends per second",
            ));
        }
        let offset = self.stream(name).append(data, &faults, now);
        self.counters.appends.count();
        self.counters.appended_bytes.add(data.len() as u64);
        if self.loses_answer(&faults) {
            self.counters.answers_lost.count();
            return Err(ConnectionCut::BeforeAnswer);
        }
        Ok(json(StatusCode::OK, &Appended { offset }))
    }

    async fn read(&self, name: &str, uri: &Uri) -> Result<Answer, ConnectionCut> {
        let range = match ReadRange::parse(uri) {
            Ok(range) => range,
            Err(cause) => return Ok(error(StatusCode::BAD_REQUEST, &cause.to_string())),
        };
        if let Some(answer) = self.apply_outage().await? {
            return Ok(answer);
        }
        let slice = self.read_or_wait(name, range).await;
        if let Some(answer) = self.apply_outage_after_wait(range).await? {
            return Ok(answer);
        }
        let bytes: usize = slice.records.iter().map(|record| record.data.len()).sum();
        self.counters.reads.count();
        self.counters.read_bytes.add(bytes as u64);
        Ok(json(StatusCode::OK, &Page::from(slice)))
    }

    /// A read that waited ends in an outage that began meanwhile.
    async fn apply_outage_after_wait(
        &self,
        range: ReadRange,
    ) -> Result<Option<Answer>, ConnectionCut> {
        if range.wait.is_zero() || self.faults().down == DownMode::Up {
            return Ok(None);
        }
        self.apply_outage().await
    }

    async fn read_or_wait(&self, name: &str, range: ReadRange) -> Slice {
        let stream = self.stream(name);
        let due = tokio::time::Instant::now() + range.wait;
        loop {
            let appended = stream.appended.notified();
            let faults = self.faults();
            let slice = stream.read(range.from, range.records_max, &faults, Instant::now());
            if !slice.records.is_empty() || range.wait.is_zero() {
                return slice;
            }
            let _waiting = self.counters.waiting_reads.raise();
            let woken = tokio::select! {
                woken = timeout_at(due, appended) => woken.is_ok(),
                () = self.waits_ended.cancelled() => false,
            };
            if !woken {
                return slice;
            }
        }
    }
}

impl Handler for LogApi {
    type Connection = ();

    fn connection_opened(&self) {}

    async fn answer(
        self: Arc<Self>,
        _connection: Arc<()>,
        request: Request<Incoming>,
    ) -> Result<Answer, ConnectionCut> {
        self.route(request).await
    }
}

fn stream_name(path: &str) -> Option<&str> {
    let rest = path.strip_prefix("/streams/")?;
    let name = rest.strip_suffix("/records")?;
    (!name.is_empty() && !name.contains('/')).then_some(name)
}

fn not_found() -> Answer {
    error(StatusCode::NOT_FOUND, "no such path")
}
