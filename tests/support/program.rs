//! A child process of a test: signals, end, clean-up.

use std::process::{Child, Command, ExitStatus};
use std::time::Duration;

/// Time between two looks at a process, in ms.
const POLL_MS: u64 = 20;

/// Time that a process has to end, in ms.
const END_MS: u64 = 40_000;

/// A signal that tests send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[allow(dead_code, reason = "each test program sends some of them")]
pub enum Signal {
    /// Ends the process at once.
    Kill,
    /// Pauses the process.
    Stop,
    /// Lets a paused process go on.
    Continue,
    /// Asks the process to shut down gracefully.
    Terminate,
    /// Says that the settings file has changed.
    Hangup,
}

impl Signal {
    fn flag(self) -> &'static str {
        match self {
            Self::Kill => "-KILL",
            Self::Stop => "-STOP",
            Self::Continue => "-CONT",
            Self::Terminate => "-TERM",
            Self::Hangup => "-HUP",
        }
    }
}

/// A running process; killed when dropped.
#[derive(Debug)]
pub struct Program {
    child: Child,
}

impl Program {
    /// Starts a process.
    pub fn start(command: &mut Command) -> Self {
        let child = command.spawn().expect("the binary starts");
        Self { child }
    }

    /// Sends a signal to this very process.
    pub fn signal(&self, signal: Signal) {
        let sent = Command::new("kill")
            .args([signal.flag(), &self.child.id().to_string()])
            .status()
            .expect("kill runs");
        assert!(sent.success(), "{signal:?} was not sent");
    }

    /// Pauses this very process; returns when each of its threads has stopped.
    ///
    /// Threads that run go on until the system has scheduled the one that takes the signal.
    #[allow(dead_code, reason = "some test programs need it")]
    pub async fn pause(&self) {
        self.signal(Signal::Stop);
        while !self.is_stopped() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }

    fn is_stopped(&self) -> bool {
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.child.id()));
        tasks.expect("the process runs").all(|task| {
            let path = task.expect("a thread").path().join("stat");
            // A thread may end meanwhile.
            let stat = std::fs::read_to_string(path).unwrap_or_default();
            let after_name = stat.rsplit_once(") ");
            after_name.is_none_or(|(_name, state)| state.starts_with('T'))
        })
    }

    /// Highest resident memory so far, in bytes.
    #[allow(dead_code, reason = "some test programs measure it")]
    pub fn peak_memory_bytes(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).expect("the process runs");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kib = peak.and_then(|peak| peak.trim().strip_suffix(" kB"));
        kib.expect("a size").parse::<u64>().expect("a number") << 10
    }

    /// Number of open descriptors.
    #[allow(dead_code, reason = "some test programs count them")]
    pub fn open_files(&self) -> usize {
        let files = std::fs::read_dir(format!("/proc/{}/fd", self.child.id()));
        files.expect("the process runs").count()
    }

    /// How the process ended; none while it runs.
    pub fn exit(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("a child of this process")
    }

    /// Waits until the process has ended.
    pub async fn wait(&mut self) -> ExitStatus {
        for _ in 0..END_MS / POLL_MS {
            if let Some(status) = self.exit() {
                return status;
            }
            tokio::time::sleep(Duration::from_millis(POLL_MS)).await;
        }
        panic!("the process {} did not end", self.child.id());
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let killed = self.child.kill().and_then(|()| self.child.wait());
        if let Err(error) = killed {
            eprintln!("a process was not ended: {error}");
        }
    }
}
