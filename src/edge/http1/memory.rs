//! Memory of the messages that one connection receives.

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::futures::OwnedNotified;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::budget::{BodyBudget, Reservation};

/// Length up to which a body takes its memory from the budget of short ones, in bytes.
pub const SMALL_BODY_BYTES: usize = 64 << 10;

/// Time after which a message that waits makes other transfers give way again.
const RETRY_PERIOD: Duration = Duration::from_millis(100);

/// Time in which transfers that give way return their memory.
const GIVE_WAY_TIMEOUT: Duration = Duration::from_millis(200);

/// Maximum time of [`WhenFull::WaitBriefly`].
const BRIEF_WAIT: Duration = Duration::from_millis(500);

/// What happens to a message of announced length for which there is no memory.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum WhenFull {
    /// It is refused.
    #[default]
    Refuse,
    /// It stays unread for a moment; meanwhile nothing else can be done where it comes from.
    WaitBriefly,
    /// It stays unread until there is memory.
    Wait,
}

/// Where a connection takes the memory for the messages that it receives.
#[derive(Debug, Clone, Default)]
pub struct MessageMemory {
    /// For heads and short bodies; without it these are not limited.
    pub small: Option<Arc<BodyBudget>>,
    /// For other bodies; without it these are not limited.
    pub large: Option<Arc<BodyBudget>>,
    /// What happens without memory.
    pub when_full: WhenFull,
    /// Cancelled when the message that is being received has to give its memory up.
    pub give_way: CancellationToken,
}

/// Memory that a message needs and did not get.
#[derive(Debug, Clone)]
pub struct Shortage {
    /// The budget in which too little is left.
    pub budget: Arc<BodyBudget>,
    /// Memory that is needed, in bytes.
    pub bytes: usize,
    /// Whether nothing of the body is held yet.
    pub holds_nothing: bool,
}

/// Reserves memory in a budget, if there is one.
pub fn reserve(
    budget: Option<&Arc<BodyBudget>>,
    bytes: usize,
    holds_nothing: bool,
) -> Result<Option<Reservation>, Shortage> {
    let Some(budget) = budget else {
        return Ok(None);
    };
    budget.reserve(bytes).map(Some).ok_or_else(|| Shortage {
        budget: Arc::clone(budget),
        bytes,
        holds_nothing,
    })
}

/// A message that waits for memory.
#[derive(Debug)]
pub struct MemoryWait {
    budget: Arc<BodyBudget>,
    /// Resolves when memory was returned since the last try.
    released: Pin<Box<OwnedNotified>>,
    tries_again_at: Instant,
    /// `None` if the message waits for as long as its connection is kept.
    gives_up_at: Option<Instant>,
}

impl MemoryWait {
    /// Starts to wait for a shortage to end; `None` if the message has to be refused.
    ///
    /// Stalled transfers have to give way.
    pub fn begin(shortage: &Shortage, when_full: WhenFull) -> Option<Self> {
        let budget = Arc::clone(&shortage.budget);
        let released = Box::pin(budget.released());
        let room_is_made = budget.make_room(shortage.bytes);
        let may_wait = shortage.holds_nothing && shortage.bytes <= budget.bytes_max();
        let now = Instant::now();
        let gives_up_at = match when_full {
            WhenFull::Wait if may_wait => None,
            WhenFull::WaitBriefly if may_wait => Some(now + BRIEF_WAIT),
            WhenFull::Refuse | WhenFull::WaitBriefly | WhenFull::Wait if room_is_made => {
                Some(now + GIVE_WAY_TIMEOUT)
            }
            WhenFull::Refuse | WhenFull::WaitBriefly | WhenFull::Wait => return None,
        };
        Some(Self {
            budget,
            released,
            tries_again_at: now + RETRY_PERIOD,
            gives_up_at,
        })
    }

    /// Goes on to wait after another try that failed; returns false if the message has to be refused.
    #[must_use]
    pub fn goes_on(&mut self, shortage: &Shortage) -> bool {
        let now = Instant::now();
        if self
            .gives_up_at
            .is_some_and(|gives_up_at| now >= gives_up_at)
        {
            return false;
        }
        if now >= self.tries_again_at {
            self.budget.make_room(shortage.bytes);
            self.tries_again_at = now + RETRY_PERIOD;
        }
        true
    }

    /// Resolves when another try is worth it, or the time is over.
    pub async fn changed(&mut self) {
        let until = self.gives_up_at.unwrap_or(self.tries_again_at);
        tokio::select! {
            () = self.released.as_mut() => self.released.set(self.budget.released()),
            () = tokio::time::sleep_until(until.min(self.tries_again_at)) => {}
        }
    }
}

impl BodyBudget {
    /// Reserves memory; without it, stalled transfers have a moment to give way.
    pub async fn reserve_or_make_room(self: &Arc<Self>, bytes: usize) -> Option<Reservation> {
        self.reserve_by(bytes, WhenFull::Refuse).await
    }

    /// Reserves memory once it is free; `None` if there never is as much.
    pub async fn reserve_when_free(self: &Arc<Self>, bytes: usize) -> Option<Reservation> {
        self.reserve_by(bytes, WhenFull::Wait).await
    }

    async fn reserve_by(
        self: &Arc<Self>,
        bytes: usize,
        when_full: WhenFull,
    ) -> Option<Reservation> {
        let shortage = Shortage {
            budget: Arc::clone(self),
            bytes,
            holds_nothing: true,
        };
        let mut wait: Option<MemoryWait> = None;
        loop {
            if let Some(reserved) = self.reserve(bytes) {
                return Some(reserved);
            }
            wait = match wait {
                Some(mut wait) => wait.goes_on(&shortage).then_some(wait),
                None => MemoryWait::begin(&shortage, when_full),
            };
            wait.as_mut()?.changed().await;
        }
    }
}
