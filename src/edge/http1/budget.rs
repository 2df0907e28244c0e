//! Memory that the bodies of several messages share while they are received and held.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Memory for bodies, in bytes.
#[derive(Debug)]
pub struct BodyBudget {
    bytes_max: usize,
    reserved_bytes: AtomicUsize,
}

impl BodyBudget {
    /// Creates a budget of which nothing is reserved.
    pub fn new(bytes_max: usize) -> Self {
        Self {
            bytes_max,
            reserved_bytes: AtomicUsize::new(0),
        }
    }

    /// Returns the memory that is reserved, in bytes.
    pub fn reserved_bytes(&self) -> usize {
        self.reserved_bytes.load(Ordering::Relaxed)
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
}

/// Memory reserved for one body.
#[derive(Debug)]
pub struct Reservation {
    budget: Arc<BodyBudget>,
    bytes: usize,
}

impl Reservation {
    /// Reserves more memory; returns false if too little is left.
    #[must_use]
    pub fn grow(&mut self, bytes: usize) -> bool {
        let Some(mut more) = self.budget.reserve(bytes) else {
            return false;
        };
        self.bytes += std::mem::take(&mut more.bytes);
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget
            .reserved_bytes
            .fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
