//! The list of endpoints: one actor that asks the platform's agent for the whole list, then watches what changes.

use crate::commands::{DispatcherCommand, EndpointListCommand};
use crate::platform::{Platform, PlatformError};
use crate::protocol::{list_path, EndpointListDocument};
use hyper::{Method, StatusCode};
use opalpulley::{EndpointListUpdate, Event, LONGEST_SILENCE};
use opalpulley_config::Names;
use slog::{info, warn, Logger};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;
pub use table::EndpointTable;
use tokio::sync::{mpsc, watch};

const WATCH: Duration = Duration::from_secs(5); // of a watch where changes come by themselves: silence is noticed soon after
/// Of a watch where changes must be asked for: the next call comes later there, so silence is to be noticed sooner.
const ASKED_WATCH: Duration = Duration::from_secs(2);
/// For an answer there, beyond what was asked for: the two together are what the core counts on.
const ASKED_PATIENCE: Duration = Duration::from_micros(LONGEST_SILENCE).saturating_sub(ASKED_WATCH);
const PATIENCE: Duration = Duration::from_secs(2); // for an answer, beyond what was asked for: the agent is next door
const OVERDUE: Duration = Duration::from_secs(7); // for a call that was given up: past any other that is made meanwhile
const AGAIN: Duration = Duration::from_millis(150); // between tries: under the time after which a watch begins anew

pub struct EndpointListWatch {
    pub platform: Platform,
    /// Where the platform is asked, from each change on.
    pub discovery: watch::Receiver<SocketAddr>,
    pub names: Names,
    pub held: EndpointTable,
    /// Changes come only after they are asked for.
    pub must_be_asked: bool,
    pub dispatcher: mpsc::Sender<DispatcherCommand>,
    pub log: Logger,
}

/// A call under way, with the connection that it goes over.
type AttemptRequest =
    Pin<Box<dyn Future<Output = (Platform, Result<EndpointListDocument, PlatformError>)> + Send>>;

/// What the list's actor is to ask, and what it has out.
struct PollState {
    watching: bool,
    fetch: bool,
    /// The platform is silent or refuses: said once in the log.
    down: bool,
    /// A call that was given up, until it is answered or the next one has an end other than a refusal. A discovery that
    /// has more calls than it can work off answers late: were that not heard, its work would be lost, and the calls
    /// made again instead would keep it from ever answering in time.
    overdue: Option<AttemptRequest>,
}

impl PollState {
    fn handle_command(&mut self, note: EndpointListCommand) {
        match note {
            EndpointListCommand::Watch(on) => self.watching = on,
            EndpointListCommand::Fetch => self.fetch = true,
        }
    }

    /// The answer to the call that was given up; never, where there is none.
    async fn late(&mut self) -> Result<EndpointListDocument, PlatformError> {
        let Some(call) = &mut self.overdue else {
            return std::future::pending().await;
        };
        let (_, answer) = call.await;
        self.overdue = None;
        answer
    }
}

/// How a call ended for the actor.
enum Ending {
    Answered(Result<EndpointListDocument, PlatformError>),
    /// Something else is wanted, or wanted elsewhere.
    NotWanted,
    /// Nobody takes news any more.
    Over,
}

impl EndpointListWatch {
    pub async fn run(mut self, mut mailbox: mpsc::Receiver<EndpointListCommand>) {
        // A watch tells what changed since the list that is known: the whole of it would cost as much once more.
        let fetch = !self.must_be_asked || self.held.revision.is_none();
        let mut polling = PollState {
            watching: !self.must_be_asked,
            fetch,
            down: false,
            overdue: None,
        };
        loop {
            if !polling.watching && !polling.fetch {
                tokio::select! {
                    note = mailbox.recv() => match note {
                        Some(note) => polling.handle_command(note),
                        None => return,
                    },
                    Ok(()) = self.discovery.changed() => self.moved(&mut polling),
                    late = polling.late() => if !self.take_late(&mut polling, late).await { return },
                }
                continue;
            }
            let told = match self.ask(&mut polling, &mut mailbox).await {
                Ending::Answered(Ok(text)) => {
                    (polling.fetch, polling.overdue) = (false, None);
                    self.pass_on_list(&mut polling, text).await
                }
                Ending::Answered(Err(problem)) => self.failed(&mut polling, problem).await,
                Ending::NotWanted => true,
                Ending::Over => return,
            };
            if !told {
                return;
            }
        }
    }

    /// Makes one call, and gives how it ended. One that is not answered in time is kept as overdue where the list must be
    /// asked for.
    async fn ask(
        &mut self,
        polling: &mut PollState,
        mailbox: &mut mpsc::Receiver<EndpointListCommand>,
    ) -> Ending {
        // Where the list must be asked for, the whole of it may take as long as a watch: a call given up is paid for.
        let (wait, patience, whole) = match self.must_be_asked {
            true => (ASKED_WATCH, ASKED_PATIENCE, ASKED_WATCH + ASKED_PATIENCE),
            false => (WATCH, PATIENCE, PATIENCE),
        };
        let watch = if polling.fetch {
            None
        } else {
            self.held.revision.map(|r| (r, wait))
        };
        let within = watch.map_or(whole, |(_, wait)| wait + patience);
        let mut call = self.begin(
            list_path(watch),
            if self.must_be_asked { OVERDUE } else { within },
        );
        let silent = tokio::time::sleep(within);
        tokio::pin!(silent);
        // A note that changes nothing of what is asked leaves the call alone: it would be paid for twice.
        loop {
            tokio::select! {
                (platform, answer) = &mut call => {
                    self.platform = platform;
                    return Ending::Answered(answer);
                }
                () = &mut silent => {
                    polling.overdue = self.must_be_asked.then_some(call);
                    return Ending::Answered(Err(PlatformError::OutOfTime));
                }
                note = mailbox.recv() => match note {
                    Some(note) => polling.handle_command(note),
                    None => return Ending::Over,
                },
                Ok(()) = self.discovery.changed() => {
                    self.moved(polling);
                    return Ending::NotWanted;
                }
                late = polling.late() => if !self.take_late(polling, late).await { return Ending::Over },
            }
            if polling.fetch && watch.is_some() || !polling.fetch && !polling.watching {
                return Ending::NotWanted;
            }
        }
    }

    fn begin(&mut self, path: String, within: Duration) -> AttemptRequest {
        let another = self.platform.another();
        let mut platform = std::mem::replace(&mut self.platform, another);
        Box::pin(async move {
            let answer = platform
                .ask(Method::GET, &path, Default::default(), within)
                .await;
            (
                platform,
                answer.and_then(|(status, body)| read_list(status, &body)),
            )
        })
    }

    /// Tells the module what is new. Gives whether it takes news.
    async fn pass_on_list(&mut self, polling: &mut PollState, text: EndpointListDocument) -> bool {
        if std::mem::take(&mut polling.down) {
            info!(self.log, "the list is told again"; "revision" => text.revision);
        }
        match self.held.take(text, &self.names) {
            Some(news) => self
                .dispatcher
                .send(DispatcherCommand::Event(Event::EndpointList(news)))
                .await
                .is_ok(),
            None => true,
        }
    }

    /// Takes the answer to a call that was given up, unless more is known by now. The watch goes on from it, which costs
    /// discovery no call. Gives whether the module takes news.
    async fn take_late(
        &mut self,
        polling: &mut PollState,
        late: Result<EndpointListDocument, PlatformError>,
    ) -> bool {
        match late {
            Ok(text) if self.held.revision.is_none_or(|held| held <= text.revision) => {
                polling.watching = true;
                self.pass_on_list(polling, text).await
            }
            // Its failure was told when it was given up.
            Ok(_) | Err(_) => true,
        }
    }

    /// Gives whether the module takes news.
    async fn failed(&mut self, polling: &mut PollState, problem: PlatformError) -> bool {
        let silent = matches!(problem, PlatformError::OutOfTime);
        if !std::mem::replace(&mut polling.down, true) {
            warn!(self.log, "the list is not told"; "problem" => %problem);
        }
        if self.must_be_asked {
            (polling.watching, polling.fetch) = (false, false);
            if self
                .dispatcher
                .send(DispatcherCommand::Event(Event::EndpointList(
                    EndpointListUpdate::Failed,
                )))
                .await
                .is_err()
            {
                return false;
            }
        }
        // Guards drains against a watch that has fallen silent: it has been waited for already.
        if !silent {
            tokio::time::sleep(AGAIN).await;
        }
        true
    }

    /// What was asked of the old address is dropped; the new one counts its revisions as it likes. The whole list is
    /// fetched there. Until it is in, the list as held stays.
    fn moved(&mut self, polling: &mut PollState) {
        let address = *self.discovery.borrow_and_update();
        self.platform.move_to(address);
        self.held.revision = None;
        (polling.fetch, polling.overdue) = (true, None);
    }
}

fn read_list(status: StatusCode, body: &[u8]) -> Result<EndpointListDocument, PlatformError> {
    if status != StatusCode::OK {
        return Err(PlatformError::Refused(status));
    }
    serde_json::from_slice(body).map_err(PlatformError::NotUnderstood)
}

mod table;

#[cfg(test)]
mod golden_tests;
#[cfg(test)]
mod tests;
