//! Times, kinds and targets of requests, drawn from a seed.

use std::str::FromStr;
use std::time::Duration;

use rand::distr::Distribution;
use rand::distr::weighted::WeightedIndex;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

use super::settings::LoadSettings;

/// How requests are spaced.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum ArrivalSpacing {
    /// Independent of each other, as from many callers.
    #[default]
    Poisson,
    /// Evenly.
    Even,
}

/// Time of a higher rate.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Burst {
    /// Begin, in ms since the start.
    pub at_ms: u64,
    /// Length, in ms.
    pub for_ms: u64,
    /// Factor on the rate.
    pub factor: f64,
}

/// Text that is no burst.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum BurstError {
    /// burst needs begin and length in ms and a factor, such as 2000:200:5
    Shape,
    /// burst factor must be above 0
    Factor,
}

impl std::error::Error for BurstError {}

impl FromStr for Burst {
    type Err = BurstError;

    fn from_str(text: &str) -> Result<Self, BurstError> {
        let parts: Vec<&str> = text.split(':').collect();
        let &[at, length, factor] = parts.as_slice() else {
            return Err(BurstError::Shape);
        };
        let whole = |part: &str| part.parse().ok();
        let at_ms = whole(at).ok_or(BurstError::Shape)?;
        let for_ms = whole(length).ok_or(BurstError::Shape)?;
        let factor: f64 = factor.parse().ok().ok_or(BurstError::Shape)?;
        if factor <= 0.0 || !factor.is_finite() {
            return Err(BurstError::Factor);
        }
        Ok(Self {
            at_ms,
            for_ms,
            factor,
        })
    }
}

impl Burst {
    fn covers(&self, time: Duration) -> bool {
        let begin = Duration::from_millis(self.at_ms);
        let end = begin + Duration::from_millis(self.for_ms);
        (begin..end).contains(&time)
    }
}

/// One request to be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Arrival {
    /// Order in the run, from 0.
    pub sequence: u64,
    /// Intended send time since the start.
    pub time: Duration,
    /// Index of the kind.
    pub kind: usize,
    /// Index of the target.
    pub target: usize,
}

/// All requests of a run, in order of time.
#[derive(Debug)]
pub(super) struct Arrivals {
    random: StdRng,
    kinds: WeightedIndex<u32>,
    targets: usize,
    rate_per_s: f64,
    spacing: ArrivalSpacing,
    bursts: Vec<Burst>,
    end: Duration,
    time: Duration,
    sequence: u64,
}

impl Arrivals {
    /// Prepares the requests of a run; none when no kind has weight.
    pub fn new(settings: &LoadSettings) -> Option<Self> {
        let kinds = WeightedIndex::new(settings.kinds.iter().map(|kind| kind.weight)).ok()?;
        Some(Self {
            random: StdRng::seed_from_u64(settings.seed),
            kinds,
            targets: settings.targets.len().max(1),
            rate_per_s: settings.rate_per_s,
            spacing: settings.spacing,
            bursts: settings.bursts.clone(),
            end: Duration::from_millis(settings.duration_ms),
            time: Duration::ZERO,
            sequence: 0,
        })
    }

    fn rate_per_s(&self) -> f64 {
        let burst = self.bursts.iter().find(|burst| burst.covers(self.time));
        self.rate_per_s * burst.map_or(1.0, |burst| burst.factor)
    }

    fn draw_gap(&mut self) -> Duration {
        let mean_s = 1.0 / self.rate_per_s();
        let gap_s = match self.spacing {
            ArrivalSpacing::Even => mean_s,
            ArrivalSpacing::Poisson => -mean_s * (1.0 - self.random.random::<f64>()).ln(),
        };
        Duration::from_secs_f64(gap_s)
    }
}

impl Iterator for Arrivals {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let gap = self.draw_gap();
        self.time += gap;
        if self.time >= self.end {
            return None;
        }
        let sequence = self.sequence;
        self.sequence += 1;
        let kind = self.kinds.sample(&mut self.random);
        let target = self.random.random_range(0..self.targets);
        Some(Arrival {
            sequence,
            time: self.time,
            kind,
            target,
        })
    }
}
