//! Swaps the answers of two requests.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::http::answer::Answer;

/// Time that an answer waits for another to swap with.
const PARTNER_WAIT_MS: u64 = 200;

#[derive(Debug)]
struct Offer {
    sequence: u64,
    answer: Answer,
    partner: oneshot::Sender<Answer>,
}

#[derive(Debug, Default)]
struct Waiting {
    sequence: u64,
    offer: Option<Offer>,
}

/// Own offer that waits for a partner's answer.
#[derive(Debug)]
struct Offered {
    sequence: u64,
    partner: oneshot::Receiver<Answer>,
}

#[derive(Debug)]
enum Place {
    Taken(Exchanged),
    Offered(Offered),
}

/// Answer after the exchange.
#[derive(Debug)]
pub(super) enum Exchanged {
    /// The answer of another request.
    Crossed(Answer),
    /// Its own answer, for want of another.
    Own(Answer),
}

/// Place where at most one answer waits for another.
#[derive(Debug, Default)]
pub(super) struct Exchange {
    waiting: Mutex<Waiting>,
}

impl Exchange {
    fn lock(&self) -> MutexGuard<'_, Waiting> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether an answer waits for another.
    pub fn has_offer(&self) -> bool {
        self.lock().offer.is_some()
    }

    /// Swaps with the answer that waits, or waits for the next one.
    ///
    /// # Panics
    /// Never: whoever takes an offer answers it at once.
    pub async fn swap(&self, answer: Answer) -> Exchanged {
        let mut offered = match self.take_or_offer(answer) {
            Place::Taken(exchanged) => return exchanged,
            Place::Offered(offered) => offered,
        };
        let wait = Duration::from_millis(PARTNER_WAIT_MS);
        if let Ok(other) = timeout(wait, &mut offered.partner).await {
            return Exchanged::Crossed(other.expect("an offer taken is answered"));
        }
        if let Some(own) = self.withdraw(offered.sequence) {
            return Exchanged::Own(own);
        }
        let other = offered.partner.await;
        Exchanged::Crossed(other.expect("an offer taken is answered"))
    }

    /// Takes the offer that waits, or leaves one, under one lock.
    fn take_or_offer(&self, answer: Answer) -> Place {
        let mut waiting = self.lock();
        if let Some(offer) = waiting.offer.take() {
            return Place::Taken(accept(offer, answer));
        }
        let (partner, receiver) = oneshot::channel();
        waiting.sequence += 1;
        let sequence = waiting.sequence;
        waiting.offer = Some(Offer {
            sequence,
            answer,
            partner,
        });
        Place::Offered(Offered {
            sequence,
            partner: receiver,
        })
    }

    fn withdraw(&self, sequence: u64) -> Option<Answer> {
        let mut waiting = self.lock();
        let own = waiting.offer.take_if(|offer| offer.sequence == sequence);
        own.map(|offer| offer.answer)
    }
}

fn accept(offer: Offer, answer: Answer) -> Exchanged {
    match offer.partner.send(answer) {
        Ok(()) => Exchanged::Crossed(offer.answer),
        // The request that offered was cancelled.
        Err(own) => Exchanged::Own(own),
    }
}
