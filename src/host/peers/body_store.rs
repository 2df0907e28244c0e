//! Long bodies that pass between two nodes in pieces, as the node keeps them that runs requests.
//!
//! The body of a request arrives before its request; that of an answer is kept until the other node
//! has read it. Both hold memory of the node's budgets, and give it up if they stall while others
//! need it.

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::Notify;
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::edge::http1::{BodyBudget, Reservation, Transfer, with_reservation};
use crate::host::context::Host;
use crate::kernel::shards::lock;
use crate::model::body::Body;

/// Time for which a request waits for pieces of its body that were sent before it.
const PIECES_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum length of a piece, in bytes.
pub const PIECE_BYTES: usize = 64 << 10;

/// Number by which the two nodes of a connection name a body.
pub type BodyNumber = u64;

/// Bodies of one connection.
#[derive(Debug, Default)]
pub struct BodyStore {
    arriving: Mutex<HashMap<BodyNumber, Arriving>>,
    kept: Mutex<HashMap<BodyNumber, Kept>>,
    /// Number of bodies of answers that the other node has not read yet.
    kept_count: Arc<AtomicUsize>,
    /// Notified when the last piece of a body has arrived.
    arrived: Notify,
}

/// Body of a request that has not arrived as a whole.
#[derive(Debug)]
struct Arriving {
    /// Pieces by their offset.
    pieces: BTreeMap<usize, Bytes>,
    received_bytes: usize,
    length_bytes: usize,
    memory: Reservation,
    transfer: Transfer,
    _ended: DropGuard,
}

/// Body of an answer, until it was read.
#[derive(Debug)]
struct Kept {
    pieces: Vec<Bytes>,
    unread_pieces: usize,
    length_bytes: usize,
    transfer: Transfer,
    _ended: DropGuard,
}

impl BodyStore {
    /// Counts the bodies of answers that the other node has not read yet.
    pub fn kept_count(&self) -> Arc<AtomicUsize> {
        Arc::clone(&self.kept_count)
    }

    /// Reserves memory for the body of a request; returns false if there is too little.
    pub async fn begin(
        self: &Arc<Self>,
        host: &Host,
        number: BodyNumber,
        length_bytes: usize,
    ) -> bool {
        let budget = host.memory.body_budget(length_bytes);
        let Some(memory) = budget.reserve_or_make_room(length_bytes).await else {
            return false;
        };
        let (transfer, ended) = self.register(host, number, budget, length_bytes);
        let arriving = Arriving {
            pieces: BTreeMap::new(),
            received_bytes: 0,
            length_bytes,
            memory,
            transfer,
            _ended: ended,
        };
        lock(&self.arriving).insert(number, arriving);
        true
    }

    /// Registers a transfer that is dropped with its memory once it has to give way.
    fn register(
        self: &Arc<Self>,
        host: &Host,
        number: BodyNumber,
        budget: &Arc<BodyBudget>,
        held_bytes: usize,
    ) -> (Transfer, DropGuard) {
        let (give_way, ended) = (CancellationToken::new(), CancellationToken::new());
        let transfer = budget.transfer(give_way.clone());
        transfer.advance(0, held_bytes);
        let (store, has_ended) = (Arc::downgrade(self), ended.clone());
        host.tasks.spawn(async move {
            tokio::select! {
                () = has_ended.cancelled() => {}
                () = give_way.cancelled() => {
                    if let Some(store) = store.upgrade() {
                        store.discard(number);
                    }
                }
            }
        });
        (transfer, ended.drop_guard())
    }

    /// Stores a piece of the body of a request.
    pub fn add(&self, number: BodyNumber, offset_bytes: usize, piece: Bytes) {
        let mut bodies = lock(&self.arriving);
        let Some(body) = bodies.get_mut(&number) else {
            return;
        };
        let piece_bytes = piece.len();
        if body.received_bytes + piece_bytes > body.length_bytes {
            return;
        }
        let piece = with_reservation(piece, body.memory.split(piece_bytes));
        if body.pieces.insert(offset_bytes, piece).is_none() {
            body.received_bytes += piece_bytes;
        }
        body.transfer.advance(piece_bytes, body.length_bytes);
        if body.received_bytes == body.length_bytes {
            self.arrived.notify_waiters();
        }
    }

    /// Takes the body of a request, once its last piece has arrived; `None` if it does not arrive.
    pub async fn take(&self, number: BodyNumber) -> Option<Body> {
        let taken = tokio::time::timeout(PIECES_TIMEOUT, async {
            loop {
                let arrived = self.arrived.notified();
                {
                    let mut bodies = lock(&self.arriving);
                    let body = bodies.get(&number)?;
                    if body.received_bytes == body.length_bytes {
                        let body = bodies.remove(&number)?;
                        return Some(Body::from_segments(body.pieces.into_values().collect()));
                    }
                }
                arrived.await;
            }
        });
        taken.await.ok().flatten()
    }

    /// Keeps the body of an answer until the other node has read its pieces; returns their number.
    pub fn keep(self: &Arc<Self>, host: &Host, number: BodyNumber, body: &Body) -> u32 {
        let (transfer, ended) = self.register(host, number, &host.memory.large_answers, body.len());
        let pieces: Vec<Bytes> = body.pieces(PIECE_BYTES).collect();
        let count = pieces.len() as u32;
        let kept = Kept {
            unread_pieces: pieces.len(),
            pieces,
            length_bytes: body.len(),
            transfer,
            _ended: ended,
        };
        let mut bodies = lock(&self.kept);
        bodies.insert(number, kept);
        self.kept_count.store(bodies.len(), Ordering::Relaxed);
        count
    }

    /// Returns a piece of the body of an answer, which is dropped after its last one.
    pub fn piece(&self, number: BodyNumber, index: u32) -> Option<Bytes> {
        let mut bodies = lock(&self.kept);
        let body = bodies.get_mut(&number)?;
        let piece = std::mem::take(body.pieces.get_mut(index as usize)?);
        body.unread_pieces = body.unread_pieces.saturating_sub(1);
        body.transfer.advance(piece.len(), body.length_bytes);
        if body.unread_pieces == 0 {
            bodies.remove(&number);
            self.kept_count.store(bodies.len(), Ordering::Relaxed);
        }
        Some(piece)
    }

    /// Drops what is held of a body.
    pub fn discard(&self, number: BodyNumber) {
        lock(&self.arriving).remove(&number);
        let mut bodies = lock(&self.kept);
        bodies.remove(&number);
        self.kept_count.store(bodies.len(), Ordering::Relaxed);
    }
}
