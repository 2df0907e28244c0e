//! Places of a listener's connections, of which there is a limited number.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::decision::memory::{Activity, Progress, choose_connection};
use crate::kernel::shards::lock;

/// Pause between two looks for a connection that can give way.
const RETRY_PERIOD: Duration = Duration::from_millis(50);

/// Connections of one listener and what they do.
#[derive(Debug)]
pub(super) struct Occupancy {
    places_max: usize,
    taken: Mutex<Taken>,
    /// Notified when a place becomes free.
    freed: Notify,
    started: Instant,
}

#[derive(Debug, Default)]
struct Taken {
    by_id: HashMap<u64, Occupant>,
    last_id: u64,
}

#[derive(Debug)]
struct Occupant {
    activity: Activity,
    give_way: CancellationToken,
}

impl Occupancy {
    pub(super) fn new(places_max: usize) -> Self {
        Self {
            places_max,
            taken: Mutex::default(),
            freed: Notify::new(),
            started: Instant::now(),
        }
    }

    /// Takes a place if one is free.
    pub(super) fn try_take_place(self: &Arc<Self>) -> Option<Place> {
        let mut taken = lock(&self.taken);
        if taken.by_id.len() >= self.places_max {
            return None;
        }
        taken.last_id += 1;
        let id = taken.last_id;
        let give_way = CancellationToken::new();
        let since_us = self.now_us();
        let occupant = Occupant {
            activity: Activity::Idle { since_us },
            give_way: give_way.clone(),
        };
        taken.by_id.insert(id, occupant);
        Some(Place {
            occupancy: Arc::clone(self),
            id,
            give_way,
            state: State::Idle,
        })
    }

    /// Takes a place; without a free one, a connection that is idle or has stalled gives way.
    pub(super) async fn take_place(self: &Arc<Self>) -> Place {
        loop {
            let freed = self.freed.notified();
            if let Some(place) = self.try_take_place() {
                return place;
            }
            self.make_way();
            tokio::select! {
                () = freed => {}
                () = tokio::time::sleep(RETRY_PERIOD) => {}
            }
        }
    }

    /// Makes one connection give way, if one can and none does already.
    fn make_way(&self) {
        let taken = lock(&self.taken);
        let mut occupants = taken.by_id.values();
        if occupants.any(|occupant| occupant.give_way.is_cancelled()) {
            return;
        }
        let activities = taken.by_id.iter();
        let activities = activities.map(|(id, occupant)| (*id, occupant.activity));
        if let Some(id) = choose_connection(activities, self.now_us()) {
            taken.by_id[&id].give_way.cancel();
        }
    }

    fn now_us(&self) -> u64 {
        self.started.elapsed().as_micros() as u64
    }
}

/// What a connection does, without the times.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum State {
    Idle,
    Transferring,
    Running,
}

/// Place of one connection, until it is dropped.
#[derive(Debug)]
pub(super) struct Place {
    occupancy: Arc<Occupancy>,
    id: u64,
    /// Cancelled when the connection has to close.
    pub(super) give_way: CancellationToken,
    state: State,
}

impl Place {
    /// Records what the connection does.
    pub(super) fn set(&mut self, state: State) {
        if std::mem::replace(&mut self.state, state) == state {
            return;
        }
        let now_us = self.occupancy.now_us();
        self.update(|occupant| {
            occupant.activity = match state {
                State::Idle => Activity::Idle { since_us: now_us },
                State::Transferring => Activity::Transferring(Progress::new(now_us)),
                State::Running => Activity::Running,
            };
        });
    }

    /// Records that bytes have moved.
    pub(super) fn advance(&mut self, moved_bytes: usize) {
        let now_us = self.occupancy.now_us();
        self.update(|occupant| {
            if let Activity::Transferring(progress) = &mut occupant.activity {
                progress.advance(moved_bytes, 0, now_us);
            }
        });
    }

    fn update(&self, change: impl FnOnce(&mut Occupant)) {
        if let Some(occupant) = lock(&self.occupancy.taken).by_id.get_mut(&self.id) {
            change(occupant);
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        lock(&self.occupancy.taken).by_id.remove(&self.id);
        self.occupancy.freed.notify_one();
    }
}
