//! Model of one backend server whose requests share its speed.

use bronzelock::decision::gate::WorkId;

/// Period in which the backend server is disturbed.
#[derive(Debug, Clone, Copy)]
pub struct Disturbance {
    /// Start, in µs.
    pub from_us: u64,
    /// End (exclusive), in µs.
    pub to_us: u64,
    /// Speed of each request; 1 when undisturbed.
    pub speed: f64,
    /// Requests that run at full speed; more slow each other down.
    pub slots: u32,
}

/// Request in flight.
#[derive(Debug, Clone, Copy)]
struct Run {
    id: WorkId,
    remaining_us: f64,
    deadline_us: u64,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// Finished in time.
    Answered,
    /// Reached its deadline unfinished.
    DeadlinePassed,
}

/// Backend server whose requests progress at a common speed.
#[derive(Debug)]
pub struct ServerModel {
    slots: u32,
    disturbances: Vec<Disturbance>,
    runs: Vec<Run>,
    now_us: u64,
    up: bool,
}

impl ServerModel {
    /// Creates an idle server. Disturbances must be sorted and must not overlap.
    pub fn new(slots: u32, disturbances: Vec<Disturbance>) -> Self {
        Self {
            slots,
            disturbances,
            runs: Vec::new(),
            now_us: 0,
            up: true,
        }
    }

    /// Ends the process; returns the requests in flight.
    pub fn crash(&mut self) -> Vec<WorkId> {
        self.up = false;
        self.runs.drain(..).map(|run| run.id).collect()
    }

    /// Restarts the process.
    pub fn boot(&mut self) {
        self.up = true;
    }

    /// Whether the process accepts connections.
    pub fn is_up(&self) -> bool {
        self.up
    }

    /// Number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.runs.len()
    }

    /// Starts a request that needs `work_us` at full speed.
    pub fn start(&mut self, id: WorkId, work_us: f64, deadline_us: u64) {
        self.runs.push(Run {
            id,
            remaining_us: work_us,
            deadline_us,
        });
    }

    /// When the next run ends or the speed changes, in µs.
    pub fn next_event_us(&self) -> Option<u64> {
        let speed = self.speed();
        let end_us = |run: &Run| {
            let finish_us = self.now_us + (run.remaining_us / speed).ceil().max(1.0) as u64;
            finish_us.min(run.deadline_us.max(self.now_us + 1))
        };
        let first_end_us = self.runs.iter().map(end_us).min()?;
        let change_us = self.next_change_us().unwrap_or(u64::MAX);
        Some(first_end_us.min(change_us))
    }

    /// Advances to `now_us` and returns the runs that ended.
    pub fn advance(&mut self, now_us: u64) -> Vec<(WorkId, RunEnd)> {
        let progress_us = (now_us - self.now_us) as f64 * self.speed();
        self.now_us = now_us;
        let mut ended = Vec::new();
        self.runs.retain_mut(|run| {
            run.remaining_us -= progress_us;
            let end = run.end(now_us);
            ended.extend(end.map(|end| (run.id, end)));
            end.is_none()
        });
        ended
    }

    fn speed(&self) -> f64 {
        let (speed, slots) = self
            .disturbances
            .iter()
            .find(|disturbance| (disturbance.from_us..disturbance.to_us).contains(&self.now_us))
            .map_or((1.0, self.slots), |disturbance| {
                (disturbance.speed, disturbance.slots)
            });
        let slot_share = f64::from(slots) / (self.runs.len().max(1) as f64);
        speed * slot_share.min(1.0)
    }

    fn next_change_us(&self) -> Option<u64> {
        self.disturbances
            .iter()
            .flat_map(|disturbance| [disturbance.from_us, disturbance.to_us])
            .find(|&at_us| at_us > self.now_us)
    }
}

impl Run {
    fn end(&self, now_us: u64) -> Option<RunEnd> {
        if self.remaining_us <= 0.0 {
            Some(RunEnd::Answered)
        } else if self.deadline_us <= now_us {
            Some(RunEnd::DeadlinePassed)
        } else {
            None
        }
    }
}
