//! Selection of a backend server of one service, by policy.

use crate::decision::splitmix64::SplitMix64;
use crate::model::names::ServerName;

use super::policy::RoutingPolicy;
use super::score;
use super::table::ServiceTable;

/// Number of backend servers sampled in the own zone.
///
/// Other zones supply one more, or as many as the own zone lacks.
const SAMPLE_SIZE: usize = 2;
/// Maximum fraction by which the cost is randomly raised.
///
/// Routers with equal reports then resolve near ties differently.
const COST_JITTER: f64 = 0.02;
/// Rejection-sampling attempts for each sampled server.
const SAMPLING_ATTEMPTS: usize = 6;

/// Inputs of one choice.
struct Choice<'a> {
    table: &'a ServiceTable,
    excluded: &'a [ServerName],
    now_us: u64,
}

/// Returns the chosen server's position; none if all are excluded or take no work.
pub(super) fn choose(
    table: &mut ServiceTable,
    policy: RoutingPolicy,
    excluded: &[ServerName],
    now_us: u64,
    rng: &mut SplitMix64,
) -> Option<usize> {
    let turn = table.round_robin_turn;
    table.round_robin_turn = turn.wrapping_add(1);
    let choice = Choice {
        table,
        excluded,
        now_us,
    };
    let picked = match policy {
        RoutingPolicy::Random => choice.eligible_at(rng.next() as usize),
        RoutingPolicy::RoundRobin => choice.eligible_at(turn),
        RoutingPolicy::LeastKnownLoad => choice.lowest_reported_load(rng),
        RoutingPolicy::TwoChoices => choice.cheapest_of_sample(rng),
    };
    picked.or_else(|| choice.cheapest_overall(rng))
}

impl Choice<'_> {
    fn positions(&self) -> impl Iterator<Item = usize> {
        let same_zone = self.table.same_zone.iter();
        same_zone.chain(&self.table.other_zones).copied()
    }

    fn is_excluded(&self, position: usize) -> bool {
        let server = &self.table.entry(position).candidate.server;
        self.excluded.contains(server)
    }

    fn is_eligible(&self, position: usize) -> bool {
        let entry = self.table.entry(position);
        entry
            .health
            .admits(entry.residence_time.outstanding(), self.now_us)
            && !self.is_excluded(position)
    }

    fn cost_us(&self, position: usize) -> f64 {
        let entry = self.table.entry(position);
        score::cost_us(entry, self.table.mean_utilisation, self.now_us)
    }

    fn eligible_at(&self, turn: usize) -> Option<usize> {
        let eligible: Vec<usize> = self
            .positions()
            .filter(|position| self.is_eligible(*position))
            .collect();
        let index = turn.checked_rem(eligible.len())?;
        Some(eligible[index])
    }

    fn lowest_reported_load(&self, rng: &mut SplitMix64) -> Option<usize> {
        let eligible = self
            .positions()
            .filter(|position| self.is_eligible(*position));
        let load = |position| score::reported_utilisation(self.table.entry(position));
        position_of_least(eligible.map(|position| (position, load(position))), rng)
    }

    /// Cheapest of a few servers sampled from the own and other zones, in constant time.
    fn cheapest_of_sample(&self, rng: &mut SplitMix64) -> Option<usize> {
        let mut sampled = Vec::with_capacity(SAMPLE_SIZE + 1);
        for _ in 0..SAMPLE_SIZE {
            let position = self.sample_from(&self.table.same_zone, &sampled, rng);
            sampled.extend(position);
        }
        let other_zone_samples = SAMPLE_SIZE.saturating_sub(sampled.len()).max(1);
        for _ in 0..other_zone_samples {
            let position = self.sample_from(&self.table.other_zones, &sampled, rng);
            sampled.extend(position);
        }
        let mut costs = Vec::with_capacity(sampled.len());
        for position in sampled {
            let jitter = 1.0 + COST_JITTER * rng.unit();
            costs.push((position, self.cost_us(position) * jitter));
        }
        position_of_least(costs.into_iter(), rng)
    }

    /// Samples a new eligible position, with probability proportional to its limit.
    fn sample_from(
        &self,
        positions: &[usize],
        already_sampled: &[usize],
        rng: &mut SplitMix64,
    ) -> Option<usize> {
        if positions.is_empty() {
            return None;
        }
        let limit_max = f64::from(self.table.limit_max);
        for _ in 0..SAMPLING_ATTEMPTS {
            let position = positions[rng.index(positions.len())];
            let weight = f64::from(score::limit(self.table.entry(position))) / limit_max;
            if already_sampled.contains(&position) {
                continue;
            }
            if rng.unit() < weight && self.is_eligible(position) {
                return Some(position);
            }
        }
        None
    }

    /// Cheapest eligible server; if there is none, the cheapest avoided one.
    fn cheapest_overall(&self, rng: &mut SplitMix64) -> Option<usize> {
        let eligible = self
            .positions()
            .filter(|position| self.is_eligible(*position));
        let best = position_of_least(
            eligible.map(|position| (position, self.cost_us(position))),
            rng,
        );
        best.or_else(|| {
            let remaining = self
                .positions()
                .filter(|position| !self.is_excluded(*position));
            position_of_least(
                remaining.map(|position| (position, self.cost_us(position))),
                rng,
            )
        })
    }
}

/// Returns the position with the least value; ties are broken uniformly at random.
fn position_of_least(
    values: impl Iterator<Item = (usize, f64)>,
    rng: &mut SplitMix64,
) -> Option<usize> {
    let mut best: Option<(usize, f64)> = None;
    let mut ties = 1;
    for (position, value) in values {
        let ordering = best.map(|(_, least)| value.total_cmp(&least));
        match ordering {
            Some(std::cmp::Ordering::Greater) => {}
            Some(std::cmp::Ordering::Equal) => {
                ties += 1;
                if rng.index(ties) == 0 {
                    best = Some((position, value));
                }
            }
            None | Some(std::cmp::Ordering::Less) => {
                ties = 1;
                best = Some((position, value));
            }
        }
    }
    best.map(|(position, _)| position)
}
