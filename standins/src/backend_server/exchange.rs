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
    pub async fn swap(&self, answer: Answer) -> Exchanged {
        let offered = self.lock().offer.take();
        match offered {
            Some(offer) => accept(offer, answer),
            None => self.offer(answer).await,
        }
    }

    async fn offer(&self, answer: Answer) -> Exchanged {
        let (partner, mut swapped) = oneshot::channel();
        let sequence = {
            let mut waiting = self.lock();
            waiting.sequence += 1;
            let sequence = waiting.sequence;
            waiting.offer = Some(Offer {
                sequence,
                answer,
                partner,
            });
            sequence
        };
        let wait = Duration::from_millis(PARTNER_WAIT_MS);
        if let Ok(Ok(other)) = timeout(wait, &mut swapped).await {
            return Exchanged::Crossed(other);
        }
        if let Some(own) = self.withdraw(sequence) {
            return Exchanged::Own(own);
        }
        // A partner took the offer and is about to send its own answer.
        Exchanged::Crossed(swapped.await.expect("the partner sends at once"))
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
