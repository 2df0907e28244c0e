//! The pick among the backend servers of one service, by policy.

use crate::decision::draws::Draws;
use crate::model::names::ServerName;

use super::policy::RoutingPolicy;
use super::score;
use super::table::ServiceTable;

/// Backend servers compared in the own zone; one more in the others, as many without own ones.
const CHOICES: usize = 2;
/// Part of the cost that is random, so that routers with the same reports differ in near ties.
const COST_JITTER: f64 = 0.02;
/// Draws per choice before it is given up.
const DRAWS_PER_CHOICE: usize = 6;

/// Conditions of one choice.
struct Choice<'a> {
    table: &'a ServiceTable,
    excluded: &'a [ServerName],
    now_us: u64,
}

/// Position of the backend server chosen; none when every one is excluded or takes no work.
pub(super) fn choose(
    table: &mut ServiceTable,
    policy: RoutingPolicy,
    excluded: &[ServerName],
    now_us: u64,
    draws: &mut Draws,
) -> Option<usize> {
    let turn = table.turn;
    table.turn = turn.wrapping_add(1);
    let choice = Choice {
        table,
        excluded,
        now_us,
    };
    let picked = match policy {
        RoutingPolicy::Random => choice.first_from(draws.next() as usize),
        RoutingPolicy::RoundRobin => choice.first_from(turn),
        RoutingPolicy::LeastKnownLoad => choice.least_known_load(draws),
        RoutingPolicy::TwoChoices => choice.cheapest_sampled(draws),
    };
    picked.or_else(|| choice.cheapest_of_any(draws))
}

impl Choice<'_> {
    fn positions(&self) -> impl Iterator<Item = usize> {
        let near = self.table.near.iter();
        near.chain(&self.table.far).copied()
    }

    fn is_excluded(&self, position: usize) -> bool {
        let server = &self.table.entry(position).candidate.server;
        self.excluded.contains(server)
    }

    fn is_open(&self, position: usize) -> bool {
        let entry = self.table.entry(position);
        entry
            .health
            .admits(entry.residence.outstanding(), self.now_us)
            && !self.is_excluded(position)
    }

    fn cost_us(&self, position: usize) -> f64 {
        let entry = self.table.entry(position);
        score::cost_us(entry, self.table.mean_utilisation, self.now_us)
    }

    fn first_from(&self, start: usize) -> Option<usize> {
        let open: Vec<usize> = self.positions().filter(|p| self.is_open(*p)).collect();
        let index = start.checked_rem(open.len())?;
        Some(open[index])
    }

    fn least_known_load(&self, draws: &mut Draws) -> Option<usize> {
        let open = self.positions().filter(|p| self.is_open(*p));
        let load = |position| score::reported_utilisation(self.table.entry(position));
        least(open.map(|p| (p, load(p))), draws)
    }

    /// Compares a few drawn in the own zone and one or two in others; a constant cost.
    fn cheapest_sampled(&self, draws: &mut Draws) -> Option<usize> {
        let mut sampled = Vec::with_capacity(CHOICES + 1);
        for _ in 0..CHOICES {
            let position = self.draw_from(&self.table.near, &sampled, draws);
            sampled.extend(position);
        }
        let far_choices = CHOICES.saturating_sub(sampled.len()).max(1);
        for _ in 0..far_choices {
            let position = self.draw_from(&self.table.far, &sampled, draws);
            sampled.extend(position);
        }
        let mut costs = Vec::with_capacity(sampled.len());
        for position in sampled {
            let jitter = 1.0 + COST_JITTER * draws.unit();
            costs.push((position, self.cost_us(position) * jitter));
        }
        least(costs.into_iter(), draws)
    }

    /// One open position not yet drawn, each with a chance in proportion to its limit.
    fn draw_from(&self, positions: &[usize], taken: &[usize], draws: &mut Draws) -> Option<usize> {
        if positions.is_empty() {
            return None;
        }
        let limit_max = f64::from(self.table.limit_max);
        for _ in 0..DRAWS_PER_CHOICE {
            let position = positions[draws.index(positions.len())];
            let weight = f64::from(score::limit(self.table.entry(position))) / limit_max;
            if taken.contains(&position) {
                continue;
            }
            if draws.unit() < weight && self.is_open(position) {
                return Some(position);
            }
        }
        None
    }

    /// The cheapest of all, also of those avoided when no other is left.
    fn cheapest_of_any(&self, draws: &mut Draws) -> Option<usize> {
        let open = self.positions().filter(|p| self.is_open(*p));
        let best = least(open.map(|p| (p, self.cost_us(p))), draws);
        best.or_else(|| {
            let any = self.positions().filter(|p| !self.is_excluded(*p));
            least(any.map(|p| (p, self.cost_us(p))), draws)
        })
    }
}

/// Position with the least value; equal ones have equal chances.
fn least(values: impl Iterator<Item = (usize, f64)>, draws: &mut Draws) -> Option<usize> {
    let mut best: Option<(usize, f64)> = None;
    let mut ties = 1;
    for (position, value) in values {
        let order = best.map(|(_, least)| value.total_cmp(&least));
        match order {
            Some(std::cmp::Ordering::Greater) => {}
            Some(std::cmp::Ordering::Equal) => {
                ties += 1;
                if draws.index(ties) == 0 {
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
