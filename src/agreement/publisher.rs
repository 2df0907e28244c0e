//! Publishes operators' changes through the log and finds out what became of them.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::watch;

use super::catch_up::Progress;
use super::change::Change;
use super::publish::{Action, Event, NotAcceptedReason, Publication, Publish};
use super::record::RecordWire;
use crate::edge::log_client::LogClient;
use crate::kernel::Kernel;
use crate::kernel::shards::lock;
use crate::model::ids::ChangeId;

/// Time until an operator is told what is known.
const ANSWER_MAX: Duration = Duration::from_secs(5);

/// Time for which an unknown outcome is followed up.
const RESOLVE_MAX: Duration = Duration::from_mins(1);

/// Pause between two reads while an outcome is unknown.
const RESOLVE_PAUSE: Duration = Duration::from_millis(100);

/// Records that one read asks for.
const RECORDS_MAX: u32 = 256;

type Outcome = watch::Receiver<Option<Publication>>;

/// Changes that are on their way into the log.
#[derive(Debug)]
pub struct Publisher {
    log: LogClient,
    under_way: Mutex<HashMap<ChangeId, Outcome>>,
}

impl Publisher {
    /// A publisher with nothing on its way.
    pub fn new(log: LogClient) -> Self {
        Self {
            log,
            under_way: Mutex::new(HashMap::new()),
        }
    }

    /// Publishes `change`; a repeat of its id joins the one under way.
    pub async fn publish(self: &Arc<Self>, kernel: &Arc<Kernel>, change: Change) -> Publication {
        let mut outcome = self.begin(kernel, change);
        let known = outcome.wait_for(Option::is_some);
        match tokio::time::timeout(ANSWER_MAX, known).await {
            Ok(Ok(publication)) => publication.clone().unwrap_or(Publication::Unknown),
            Ok(Err(_)) | Err(_) => Publication::Unknown,
        }
    }

    fn begin(self: &Arc<Self>, kernel: &Arc<Kernel>, change: Change) -> Outcome {
        let id = change.id.clone();
        let mut under_way = lock(&self.under_way);
        if let Some(outcome) = under_way.get(&id) {
            return outcome.clone();
        }
        let (sender, outcome) = watch::channel(None);
        under_way.insert(id.clone(), outcome.clone());
        let (publisher, kernel) = (Arc::clone(self), Arc::clone(kernel));
        kernel.work.spawn({
            let kernel = Arc::clone(&kernel);
            async move {
                let following = publisher.follow(&kernel, change);
                let publication = match tokio::time::timeout(RESOLVE_MAX, following).await {
                    Ok(publication) => publication,
                    Err(_elapsed) => Publication::Unknown,
                };
                lock(&publisher.under_way).remove(&id);
                sender.send_replace(Some(publication));
            }
        });
        outcome
    }

    /// Feeds the state machine of one change until its outcome is final.
    async fn follow(&self, kernel: &Kernel, change: Change) -> Publication {
        let text = RecordWire::from(&change).to_text();
        let mut publish = Publish::new(change);
        let mut event = self.read_to_end(kernel).await;
        loop {
            let action = kernel
                .state
                .config_fold
                .with(|fold| publish.on(event, fold));
            event = match action {
                Action::Report(publication) => return publication,
                Action::Append => self.append(&text).await,
                Action::ReadToEnd => self.read_to_end(kernel).await,
                Action::Wait => {
                    tokio::time::sleep(RESOLVE_PAUSE).await;
                    self.read_to_end(kernel).await
                }
            };
        }
    }

    async fn append(&self, text: &str) -> Event {
        match self.log.append(text).await {
            Ok(offset) => Event::Appended { offset },
            Err(error) => {
                log::warn!("config: {error}");
                error
                    .not_appended()
                    .map_or(Event::AppendLost, Event::AppendRefused)
            }
        }
    }

    async fn read_to_end(&self, kernel: &Kernel) -> Event {
        loop {
            let from = kernel.state.config_fold.read_from();
            let page = match self.log.read(from, RECORDS_MAX, 0).await {
                Ok(page) => page,
                Err(error) => {
                    log::warn!("config: {error}");
                    let reason = error.not_appended();
                    return Event::ReadFailed(reason.unwrap_or(NotAcceptedReason::ReadTooSlow));
                }
            };
            match kernel.state.config_fold.take_page(kernel, &page) {
                Some(Progress::CaughtUp) => return Event::ReadToEnd,
                Some(Progress::ReadFrom(_)) => {}
                Some(Progress::Gap { .. } | Progress::LogShorter { .. }) | None => {
                    return Event::ReadFailed(NotAcceptedReason::LogIncomplete);
                }
            }
        }
    }
}
