//! Faults of the log service, and changes by operators.

use std::time::Duration;

use standins::platform::store::{Store, StoreFaults};

use super::facts::{Config, Part, ZoneOut};
use super::faults::ZONE_OUT_MS;
use super::run::Soak;
use crate::operator::Operator;

/// Time after which operators write again what the log service has lost.
const REWRITTEN_AFTER: Duration = Duration::from_millis(700);

impl Soak<'_> {
    pub async fn degrade_store(&self, faults: StoreFaults, length: Duration) {
        let disturbance = self.begun(Part::Store);
        self.system.store.set_faults(faults);
        tokio::time::sleep(length).await;
        self.system.store.set_faults(StoreFaults::default());
        self.ended(disturbance);
    }

    /// Lets the operator change the configuration.
    pub async fn change(&self, change: impl FnOnce(&mut Operator, &Store)) {
        let mut operator = self.system.operator.lock().await;
        let sent_ms = self.now_ms();
        change(&mut operator, &self.system.store);
        let config = Config::of(&operator, sent_ms, self.now_ms());
        self.facts().configs.push(config);
    }

    /// Lets the log service return to a copy; operators then write again what was lost.
    pub async fn return_to_copy(&self, age: Duration) {
        let store = &self.system.store;
        let copy = store.copy();
        tokio::time::sleep(age).await;
        let disturbance = self.begun(Part::Store);
        store.restore(copy);
        tokio::time::sleep(REWRITTEN_AFTER).await;
        self.system.operator.lock().await.write_config(store);
        let zones_out = self.facts().zones_out.clone();
        for place in self.places {
            let is_out = |out: &ZoneOut| out.zone == place.zone && out.to_ms == u64::MAX;
            Operator::set_zone_out(store, place.zone, zones_out.iter().any(is_out));
        }
        self.ended(disturbance);
    }

    pub async fn take_zone_out(&self, zone: &'static str) {
        Operator::set_zone_out(&self.system.store, zone, true);
        let from_ms = self.now_ms();
        self.facts().zones_out.push(ZoneOut {
            zone,
            from_ms,
            to_ms: u64::MAX,
        });
        tokio::time::sleep(Duration::from_millis(ZONE_OUT_MS)).await;
        let to_ms = self.now_ms();
        // A zone that is taken out twice comes back with the first return.
        for out in &mut self.facts().zones_out {
            if out.zone == zone {
                out.to_ms = out.to_ms.min(to_ms);
            }
        }
        Operator::set_zone_out(&self.system.store, zone, false);
    }
}
