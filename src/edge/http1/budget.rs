//! Memory that the bodies of several messages share while they are received, held and sent.

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use tokio::sync::Notify;
use tokio::sync::futures::OwnedNotified;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::decision::memory::{Holder, Progress, choose_holders};
use crate::kernel::shards::lock;

/// Memory for bodies, in bytes.
#[derive(Debug)]
pub struct BodyBudget {
    bytes_max: usize,
    reserved_bytes: AtomicUsize,
    /// Transfers that give their memory up if they stall.
    transfers: Mutex<Transfers>,
    /// Notified whenever memory was returned.
    released: Arc<Notify>,
    started: Instant,
}

#[derive(Debug, Default)]
struct Transfers {
    by_id: HashMap<u64, Registered>,
    last_id: u64,
}

/// What the budget knows of a transfer.
#[derive(Debug)]
struct Registered {
    held_bytes: usize,
    progress: Progress,
    give_way: CancellationToken,
}

impl BodyBudget {
    /// Creates a budget of which nothing is reserved.
    pub fn new(bytes_max: usize) -> Self {
        Self {
            bytes_max,
            reserved_bytes: AtomicUsize::new(0),
            transfers: Mutex::default(),
            released: Arc::default(),
            started: Instant::now(),
        }
    }

    /// Returns the memory that is reserved, in bytes.
    pub fn reserved_bytes(&self) -> usize {
        self.reserved_bytes.load(Ordering::Relaxed)
    }

    /// Returns the memory that can be reserved at most, in bytes.
    pub fn bytes_max(&self) -> usize {
        self.bytes_max
    }

    /// Whether more than half of the memory is reserved.
    pub fn is_half_reserved(&self) -> bool {
        self.reserved_bytes() > self.bytes_max / 2
    }

    /// Reserves memory until the reservation is dropped; `None` if too little is left.
    pub fn reserve(self: &Arc<Self>, bytes: usize) -> Option<Reservation> {
        let fits = |reserved: usize| {
            reserved
                .checked_add(bytes)
                .filter(|sum| *sum <= self.bytes_max)
        };
        let reserved = self
            .reserved_bytes
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, fits);
        reserved.ok().map(|_before| Reservation {
            budget: Arc::clone(self),
            bytes,
        })
    }

    /// Makes stalled transfers give way until `bytes` are free; returns false if they hold too little.
    ///
    /// Their memory is returned a moment later, see [`Self::released`].
    pub fn make_room(&self, bytes: usize) -> bool {
        if bytes > self.bytes_max {
            return false;
        }
        let now_us = self.now_us();
        let transfers = lock(&self.transfers);
        let giving_way = transfers
            .by_id
            .values()
            .filter(|transfer| transfer.give_way.is_cancelled())
            .map(|transfer| transfer.held_bytes);
        let free_soon_bytes =
            self.bytes_max - self.reserved_bytes().min(self.bytes_max) + giving_way.sum::<usize>();
        let Some(missing_bytes) = bytes
            .checked_sub(free_soon_bytes)
            .filter(|missing| *missing > 0)
        else {
            return true;
        };
        let holders = transfers.by_id.iter();
        let holders = holders.filter(|(_id, transfer)| !transfer.give_way.is_cancelled());
        let holders = holders.map(|(id, transfer)| Holder {
            id: *id,
            held_bytes: transfer.held_bytes,
            progress: transfer.progress,
        });
        let chosen = choose_holders(holders, missing_bytes, now_us);
        for id in &chosen {
            transfers.by_id[id].give_way.cancel();
        }
        !chosen.is_empty()
    }

    /// Resolves when memory is returned after this call.
    pub fn released(&self) -> OwnedNotified {
        Arc::clone(&self.released).notified_owned()
    }

    /// Registers a transfer, which gives way once `give_way` is cancelled.
    pub fn transfer(self: &Arc<Self>, give_way: CancellationToken) -> Transfer {
        let mut transfers = lock(&self.transfers);
        transfers.last_id += 1;
        let id = transfers.last_id;
        let registered = Registered {
            held_bytes: 0,
            progress: Progress::new(self.now_us()),
            give_way,
        };
        transfers.by_id.insert(id, registered);
        Transfer {
            budget: Arc::clone(self),
            id,
        }
    }

    fn now_us(&self) -> u64 {
        self.started.elapsed().as_micros() as u64
    }
}

/// Memory reserved for one body.
#[derive(Debug)]
pub struct Reservation {
    budget: Arc<BodyBudget>,
    bytes: usize,
}

impl Reservation {
    /// Returns the reserved memory, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Reserves more memory; returns false if too little is left.
    #[must_use]
    pub fn grow(&mut self, bytes: usize) -> bool {
        let Some(mut more) = self.budget.reserve(bytes) else {
            return false;
        };
        self.bytes += std::mem::take(&mut more.bytes);
        true
    }

    /// Splits off up to `bytes` as a reservation of their own.
    #[must_use]
    pub fn split(&mut self, bytes: usize) -> Self {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        Self {
            budget: Arc::clone(&self.budget),
            bytes,
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.budget
                .reserved_bytes
                .fetch_sub(self.bytes, Ordering::Relaxed);
            self.budget.released.notify_waiters();
        }
    }
}

/// A body on its way, which gives its memory up for others if it stalls.
#[derive(Debug)]
pub struct Transfer {
    budget: Arc<BodyBudget>,
    id: u64,
}

impl Transfer {
    /// Records that bytes have moved, and how much memory the transfer holds now.
    pub fn advance(&self, moved_bytes: usize, held_bytes: usize) {
        let now_us = self.budget.now_us();
        if let Some(transfer) = lock(&self.budget.transfers).by_id.get_mut(&self.id) {
            transfer.held_bytes = held_bytes;
            transfer.progress.advance(moved_bytes, held_bytes, now_us);
        }
    }

    /// Whether the transfer uses this budget.
    pub fn is_of(&self, budget: &Arc<BodyBudget>) -> bool {
        Arc::ptr_eq(&self.budget, budget)
    }
}

impl Drop for Transfer {
    fn drop(&mut self) {
        lock(&self.budget.transfers).by_id.remove(&self.id);
    }
}
