//! Distributes the requests of a route over its targets by weight.

use std::collections::HashMap;
use std::sync::Arc;

use crate::model::host_config::{Route, Target};

/// Smooth weighted round robin: the shares hold over any short run of requests.
#[derive(Debug, Default)]
pub struct TrafficSplit {
    routes: HashMap<Arc<str>, Vec<i64>>,
}

impl TrafficSplit {
    /// Returns the target of the route's next request.
    ///
    /// The random `draw` sets where a new sequence starts.
    pub fn next<'a>(&mut self, route: &'a Route, draw: u64) -> Option<&'a Target> {
        if route.targets.len() < 2 {
            return route.targets.first();
        }
        let total: i64 = route.targets.iter().map(|t| i64::from(t.weight)).sum();
        let credits = self.routes.entry(Arc::clone(&route.name)).or_default();
        if credits.len() != route.targets.len() {
            *credits = vec![0; route.targets.len()];
            let first = draw as usize % credits.len();
            credits[first] = (draw >> 8).cast_signed() % total.max(1);
        }
        for (credit, target) in credits.iter_mut().zip(&route.targets) {
            *credit += i64::from(target.weight);
        }
        let best = (0..credits.len()).max_by_key(|index| credits[*index])?;
        credits[best] -= total;
        route.targets.get(best)
    }

    /// Removes routes that are no longer configured.
    pub fn retain(&mut self, is_configured: impl Fn(&str) -> bool) {
        self.routes.retain(|route, _credits| is_configured(route));
    }

    /// Number of routes with a current sequence.
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Whether no route has a current sequence.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }
}
