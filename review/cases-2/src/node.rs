//! A node of the project, run as the deploy file tells, and the settings that it gets.

use std::net::{TcpListener, UdpSocket};
use std::os::unix::process::CommandExt;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::http::{call, request};
use crate::record::Record;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64, unused: u64, unused_too: u64, unused_as_well: u64) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// Option of `prctl`: the signal that a process gets when the one that started it ends.
const PR_SET_PDEATHSIG: i32 = 1;

/// Addresses of one machine.
#[derive(Debug, Clone)]
pub struct Machine {
    pub name: &'static str,
    pub service: &'static str,
    pub zone: &'static str,
    pub ip: String,
    pub callers: String,
    pub peers: String,
    pub ready: String,
    pub control: String,
    pub backend: String,
}

/// Draws loopback addresses and ports that are free on all of them; all machines have the same ports.
pub fn machines(
    places: &[(&'static str, &'static str, &'static str)],
) -> (Vec<Machine>, u16, String) {
    let base = std::process::id() % 200 + 20;
    let ips: Vec<String> = (0..places.len())
        .map(|index| format!("127.{base}.7.{}", index + 1))
        .collect();
    let store_ip = format!("127.{base}.7.200");
    let first = 21_000 + (std::process::id() % 1_500) as u16 * 6;
    let port = (0..50)
        .map(|step| 21_000 + (first - 21_000 + step * 6) % 9_000)
        .find(|port| {
            let free = |ip: &String| {
                (0..5).all(|n| TcpListener::bind((ip.as_str(), port + n)).is_ok())
                    && UdpSocket::bind((ip.as_str(), port + 5)).is_ok()
            };
            ips.iter().all(free) && TcpListener::bind((store_ip.as_str(), *port)).is_ok()
        })
        .expect("free ports");
    let machines = places
        .iter()
        .zip(ips)
        .map(|((name, service, zone), ip)| Machine {
            name,
            service,
            zone,
            callers: format!("{ip}:{port}"),
            peers: format!("{ip}:{}", port + 1),
            ready: format!("{ip}:{}", port + 2),
            control: format!("{ip}:{}", port + 3),
            backend: format!("{ip}:{}", port + 4),
            ip,
        });
    (machines.collect(), port + 5, format!("{store_ip}:{port}"))
}

/// A running node.
pub struct Node {
    pub machine: Machine,
    child: Child,
    settings: String,
    record: Record,
}

/// What the settings of all nodes have in common.
pub struct Common<'a> {
    pub store: &'a str,
    pub shared_port: u16,
    pub directory: &'a str,
}

impl Node {
    /// Starts a node; `first_start` at the first start of the whole system.
    pub fn start(
        machine: &Machine,
        common: &Common<'_>,
        first_start: bool,
        record: &Record,
    ) -> Self {
        let settings = format!("{}/{}.json", common.directory, machine.name);
        let text = format!(
            r#"{{"host": {{"name": "{}", "ip": "{}", "first_start": {first_start}, "zone": "{}"}},
"listen": {{"callers": "{}", "peers": "{}", "ready": "{}", "announcements": "{}", "shared_port_first": {}}},
"backend_server": {{"address": "{}", "service": "{}"}}, "contacts": [], "store": {{"address": "{}"}},
"limits": {{"files_max": 4100}},
"bounds": {{"drain_ms": 2000, "grace_s": 6, "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 56,
"probes_per_s": 60, "cold_overage": 1.5, "cold_slack": 5}}}}"#,
            machine.name,
            machine.ip,
            machine.zone,
            machine.callers,
            machine.peers,
            machine.ready,
            machine.control,
            common.shared_port,
            machine.backend,
            machine.service,
            common.store,
        );
        std::fs::write(&settings, text).expect("the settings can be written");
        let child = spawn(&settings);
        record.note(
            "node-starts",
            &format!("{} pid={}", machine.name, child.id()),
        );
        Self {
            machine: machine.clone(),
            child,
            settings,
            record: record.clone(),
        }
    }

    pub fn signal(&self, signal: i32) {
        self.record
            .note("signal", &format!("{} {signal}", self.machine.name));
        // SAFETY: `kill` takes two numbers; the process is a child of this one that was not reaped.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Kills the process as the platform does when it exceeds its memory; runs until then or `stop`.
    pub fn limit_memory(&self, bytes: u64, stop: &Arc<AtomicBool>) -> JoinHandle<u64> {
        let (pid, name, record, stop) = (
            self.child.id(),
            self.machine.name,
            self.record.clone(),
            Arc::clone(stop),
        );
        std::thread::spawn(move || {
            let mut most = 0;
            while !stop.load(Ordering::Relaxed) {
                let resident = resident_bytes(pid);
                most = most.max(resident);
                if resident > bytes {
                    record.note(
                        "killed-for-memory",
                        &format!("{name} resident_bytes={resident} limit_bytes={bytes}"),
                    );
                    // SAFETY: `kill` takes two numbers; the process is a child of this one that was not reaped.
                    unsafe { kill(pid as i32, SIGKILL) };
                    return most;
                }
                std::thread::sleep(Duration::from_millis(2));
            }
            most
        })
    }

    /// Waits for its end, and starts it again after a short delay.
    pub fn restart(&mut self) {
        let _ = self.child.wait();
        std::thread::sleep(Duration::from_millis(300));
        let text = std::fs::read_to_string(&self.settings).expect("the settings");
        std::fs::write(
            &self.settings,
            text.replace("\"first_start\": true", "\"first_start\": false"),
        )
        .expect("the settings");
        self.child = spawn(&self.settings);
        self.record.note(
            "node-starts",
            &format!("{} pid={}", self.machine.name, self.child.id()),
        );
    }

    /// Waits until the node says that it is ready.
    pub fn await_ready(&self, within: Duration) -> bool {
        let until = Instant::now() + within;
        let bytes = request(
            "GET",
            "/v1/ready",
            &[("Host", self.machine.ready.clone())],
            b"",
        );
        while Instant::now() < until {
            let answer = call(&self.machine.ready, &bytes, Duration::from_millis(300));
            if answer.is_ok_and(|answer| answer.status() == 200) {
                self.record.note("node-ready", self.machine.name);
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }
}

fn spawn(settings: &str) -> Child {
    let log = std::fs::File::options()
        .create(true)
        .append(true)
        .open(format!("{settings}.log"))
        .expect("a log");
    let mut command = Command::new("target/release/bronzelock");
    // SAFETY: `prctl` takes numbers and may be called between fork and exec.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL as u64, 0, 0, 0);
            Ok(())
        });
    }
    command
        .arg("host")
        .env("BRONZELOCK_BOOT", settings)
        .env("MIMALLOC_ALLOW_THP", "0")
        .stdin(Stdio::null())
        .stdout(Stdio::from(log.try_clone().expect("a log")))
        .stderr(Stdio::from(log))
        .spawn()
        .expect("the node starts")
}

/// Resident memory of a process.
fn resident_bytes(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line
        .and_then(|line| line.trim().strip_suffix(" kB"))
        .and_then(|digits| digits.trim().parse::<u64>().ok());
    kib.unwrap_or(0) << 10
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
