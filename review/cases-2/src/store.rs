//! Stand-in for the platform's metadata store: keyed topics with one partition, as the page
//! `PROTOCOL.md` tells them. Its open connections can fall silent.

use std::collections::{BTreeMap, HashMap};
use std::net::TcpListener;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Connection, response};

#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    newest: BTreeMap<String, (usize, Vec<u8>)>,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    topics: Arc<(Mutex<HashMap<String, Topic>>, Condvar)>,
    /// Number of times that it has fallen silent.
    silences: Arc<AtomicU64>,
    pub address: String,
}

impl Store {
    pub fn start(address: &str) -> Self {
        let listener = TcpListener::bind(address).expect("the store binds");
        let address = listener.local_addr().expect("an address").to_string();
        let store = Self {
            topics: Arc::default(),
            silences: Arc::default(),
            address,
        };
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                std::thread::spawn(move || store.serve(Connection::new(stream)));
            }
        });
        store
    }

    /// Writes a record as the operator does; an empty value deletes the key.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        self.append(topic, vec![record]);
    }

    /// Answers nothing more on the connections that are open now; new ones work.
    pub fn fall_silent(&self) {
        self.silences.fetch_add(1, Ordering::Relaxed);
    }

    fn append(&self, topic: &str, records: Vec<Vec<u8>>) -> (usize, usize) {
        let (topics, changed) = &*self.topics;
        let mut topics = topics.lock().unwrap();
        let topic = topics.entry(topic.to_owned()).or_default();
        let first = topic.records.len();
        for record in records {
            let key_end = 1 + usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..key_end]).into_owned();
            let value = record[key_end..].to_vec();
            if value.is_empty() {
                topic.newest.remove(&key);
            } else {
                topic.newest.insert(key, (topic.records.len(), value));
            }
            topic.records.push(record);
        }
        let end = topic.records.len();
        changed.notify_all();
        (first, end)
    }

    fn serve(&self, mut connection: Connection) {
        let opened = self.silences.load(Ordering::Relaxed);
        while let Ok(Some(call)) = connection.read() {
            let (method, target) = call.method_and_target();
            let (path, query) = target.split_once('?').unwrap_or((target, ""));
            let value = |name: &str| {
                let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
                pairs
                    .find(|(known, _)| *known == name)
                    .map(|(_, value)| percent_decode(value))
            };
            let topic = value("topic").unwrap_or_default();
            std::thread::sleep(Duration::from_millis(4));
            let answer = match (method, path) {
                ("POST", "/v1/log-append") => {
                    let (offset, end) = self.append(&topic, split(&call.body));
                    json(200, &format!("{{\"offset\":{offset},\"end\":{end}}}"))
                }
                ("GET", "/v1/log-read") => {
                    let number = |name| value(name).and_then(|text| text.parse().ok()).unwrap_or(0);
                    self.read(&topic, number("from") as usize, number("wait-ms"))
                }
                ("GET", "/v1/log-newest") => {
                    self.newest(&topic, &value("after").unwrap_or_default())
                }
                _ => json(404, "{}"),
            };
            if self.silences.load(Ordering::Relaxed) != opened {
                // What is sent is still read, until the other side closes.
                continue;
            }
            if connection.write(&answer).is_err() {
                return;
            }
        }
    }

    fn read(&self, topic: &str, from: usize, wait_ms: u64) -> Vec<u8> {
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let (topics, changed) = &*self.topics;
        let mut topics = topics.lock().unwrap();
        loop {
            let end = topics.entry(topic.to_owned()).or_default().records.len();
            if from > end {
                return json(410, "{\"first\":0}");
            }
            let left = until.saturating_duration_since(Instant::now());
            if from < end || left.is_zero() {
                let mut page = (end as u64).to_be_bytes().to_vec();
                page.extend_from_slice(&0_u64.to_be_bytes());
                for record in &topics[topic].records[from..] {
                    page.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    page.extend_from_slice(record);
                }
                return response(200, &[], &page);
            }
            topics = changed.wait_timeout(topics, left).unwrap().0;
        }
    }

    fn newest(&self, topic: &str, after: &str) -> Vec<u8> {
        let mut topics = self.topics.0.lock().unwrap();
        let topic = topics.entry(topic.to_owned()).or_default();
        let later = topic.newest.iter().filter(|(key, _)| key.as_str() > after);
        let items: Vec<String> = later
            .map(|(key, (offset, value))| {
                format!(
                    "{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}",
                    base64(value)
                )
            })
            .collect();
        let end = topic.records.len();
        json(
            200,
            &format!(
                "{{\"items\":[{}],\"more\":false,\"end\":{end}}}",
                items.join(",")
            ),
        )
    }
}

fn json(status: u16, body: &str) -> Vec<u8> {
    response(
        status,
        &[("Content-Type", "application/json".to_owned())],
        body.as_bytes(),
    )
}

fn split(mut body: &[u8]) -> Vec<Vec<u8>> {
    let mut records = Vec::new();
    while body.len() >= 4 {
        let length = u32::from_be_bytes([body[0], body[1], body[2], body[3]]) as usize;
        records.push(body[4..4 + length].to_vec());
        body = &body[4 + length..];
    }
    records
}

fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, after)) = rest.split_first() {
        let hex = after.get(..2).and_then(|hex| std::str::from_utf8(hex).ok());
        match (first, hex.and_then(|hex| u8::from_str_radix(hex, 16).ok())) {
            (b'%', Some(byte)) => {
                bytes.push(byte);
                rest = &after[2..];
            }
            _ => {
                bytes.push(*first);
                rest = after;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = 0_u32;
        for index in 0..3 {
            group = group << 8 | u32::from(chunk.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            if index <= chunk.len() {
                text.push(ALPHABET[(group >> (18 - 6 * index) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
