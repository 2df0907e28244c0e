//! Estimates the service time of one request on the backend server.
//!
//! Answers show a slowdown only once the slow requests end. The estimator therefore also measures
//! the run time that has accumulated without any answer. If answers arrived at random with mean
//! service time S, more than S · ln(100) would accumulate without one in 1% of cases.

/// Weight of one answer in the fast moving average.
const FAST_EWMA_WEIGHT: f64 = 1.0 / 8.0;

/// Weight of one answer in the slow moving average.
const SLOW_EWMA_WEIGHT: f64 = 1.0 / 64.0;

/// Answers needed before the slow average is used.
const SAMPLES_MIN: u32 = 16;

/// Run time without an answer, per service time, that has a probability of 1%: ln(100).
const ANSWER_GAP_FACTOR: f64 = 4.605;

/// Service times without an answer before the gap is used, as requests may start together.
const ANSWER_GAP_MIN_SERVICE_TIMES: f64 = 1.5;

/// Length of one window of the minimum, in µs; the minimum covers one to two windows.
const MINIMUM_WINDOW_US: u64 = 10_000_000;

/// Smoothed service time of one backend server, its recent minimum and the answer gap.
#[derive(Debug, Clone)]
pub struct ServiceTime {
    fast_ewma_us: f64,
    slow_ewma_us: f64,
    sample_count: u32,
    minimum: WindowedMinimum,
    answer_gap: AnswerGap,
}

impl ServiceTime {
    /// Creates an estimator without samples.
    pub fn new() -> Self {
        Self {
            fast_ewma_us: 0.0,
            slow_ewma_us: 0.0,
            sample_count: 0,
            minimum: WindowedMinimum::new(),
            answer_gap: AnswerGap::default(),
        }
    }

    /// Discards the undisturbed service time, after a restart of the backend server.
    pub fn reset(&mut self) {
        self.sample_count = 0;
        self.minimum = WindowedMinimum::new();
    }

    /// Records that `in_flight` requests run from `now_us` on.
    pub fn set_in_flight(&mut self, in_flight: usize, now_us: u64) {
        self.answer_gap.set_in_flight(in_flight, now_us);
    }

    /// Records an answer that took `sample_us` µs.
    pub fn record(&mut self, sample_us: u64, now_us: u64) {
        let sample = sample_us as f64;
        let current = self.estimate_us(now_us);
        self.fast_ewma_us = if self.fast_ewma_us > 0.0 {
            current + (sample - current) * FAST_EWMA_WEIGHT
        } else {
            sample
        };
        self.sample_count = self.sample_count.saturating_add(1);
        let weight = SLOW_EWMA_WEIGHT.max(1.0 / f64::from(self.sample_count));
        self.slow_ewma_us += (sample - self.slow_ewma_us) * weight;
        if self.sample_count >= SAMPLES_MIN {
            self.minimum.record(self.slow_ewma_us, now_us);
        }
        self.answer_gap.end(now_us);
    }

    /// Records a request abandoned after `sample_us` µs; it would have taken at least that long.
    pub fn record_abandoned(&mut self, sample_us: u64) {
        let sample = sample_us as f64;
        if self.fast_ewma_us > 0.0 && sample > self.fast_ewma_us {
            self.fast_ewma_us += (sample - self.fast_ewma_us) * FAST_EWMA_WEIGHT;
        }
    }

    /// Records that the backend server answered, without a usable sample.
    pub fn record_response(&mut self, now_us: u64) {
        self.answer_gap.end(now_us);
    }

    /// Current service time, in µs; zero before the first answer.
    pub fn estimate_us(&self, now_us: u64) -> f64 {
        self.fast_ewma_us.max(
            self.answer_gap
                .implied_service_time_us(self.fast_ewma_us, now_us),
        )
    }

    /// Current service time over its recent minimum; 1 while either is unknown.
    pub fn slowness(&self, now_us: u64) -> f64 {
        match self.minimum.get() {
            Some(minimum_us) if minimum_us > 0.0 => self.estimate_us(now_us) / minimum_us,
            _ => 1.0,
        }
    }
}

/// Run time that has accumulated since the last answer.
#[derive(Debug, Clone, Copy, Default)]
struct AnswerGap {
    in_flight: usize,
    run_time_us: f64,
    counted_until_us: u64,
    since_us: u64,
}

impl AnswerGap {
    fn set_in_flight(&mut self, in_flight: usize, now_us: u64) {
        if self.in_flight == 0 {
            self.since_us = now_us;
            self.run_time_us = 0.0;
        }
        self.run_time_us = self.run_time_us_at(now_us);
        self.counted_until_us = now_us;
        self.in_flight = in_flight;
    }

    fn end(&mut self, now_us: u64) {
        self.run_time_us = 0.0;
        self.counted_until_us = now_us;
        self.since_us = now_us;
    }

    fn run_time_us_at(&self, now_us: u64) -> f64 {
        let elapsed_us = now_us.saturating_sub(self.counted_until_us) as f64;
        self.run_time_us + elapsed_us * self.in_flight as f64
    }

    /// Service time that explains the gap with 1% probability, in µs; zero while the gap is short.
    fn implied_service_time_us(&self, service_us: f64, now_us: u64) -> f64 {
        let gap_us = now_us.saturating_sub(self.since_us) as f64;
        if self.in_flight == 0 || gap_us < service_us * ANSWER_GAP_MIN_SERVICE_TIMES {
            return 0.0;
        }
        self.run_time_us_at(now_us) / ANSWER_GAP_FACTOR
    }
}

/// Minimum over the current and the previous window.
#[derive(Debug, Clone, Copy)]
struct WindowedMinimum {
    previous: f64,
    current: f64,
    window: u64,
}

impl WindowedMinimum {
    fn new() -> Self {
        Self {
            previous: f64::INFINITY,
            current: f64::INFINITY,
            window: 0,
        }
    }

    fn record(&mut self, value: f64, now_us: u64) {
        let window = now_us / MINIMUM_WINDOW_US;
        if window != self.window {
            let is_next = window == self.window + 1;
            self.previous = if is_next { self.current } else { f64::INFINITY };
            self.current = f64::INFINITY;
            self.window = window;
        }
        self.current = self.current.min(value);
    }

    fn get(&self) -> Option<f64> {
        let minimum = self.previous.min(self.current);
        minimum.is_finite().then_some(minimum)
    }
}
