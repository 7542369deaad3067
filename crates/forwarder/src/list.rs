//! The list of targets: one actor that asks the platform's agent for the whole list, then watches what changes.

use crate::notes::{ListNote, Note};
use crate::platform::{AskFault, Platform};
use crate::protocol::{list_path, ListText};
pub use held::Held;
use hyper::{Method, StatusCode};
use opalpulley::{Event, ListNews};
use opalpulley_terms::Names;
use slog::{info, warn, Logger};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

const WATCH: Duration = Duration::from_secs(5); // a watch that is asked for: a silent agent is noticed soon after
const PATIENCE: Duration = Duration::from_secs(2); // for an answer, beyond what was asked for: the agent is next door
const AGAIN: Duration = Duration::from_millis(150); // between tries: under the time after which a watch begins anew

pub struct List {
    pub platform: Platform,
    /// Where the platform is asked, from each change on.
    pub discovery: watch::Receiver<SocketAddr>,
    pub names: Names,
    pub held: Held,
    /// Changes come only after they are asked for.
    pub must_be_asked: bool,
    pub module: mpsc::Sender<Note>,
    pub log: Logger,
}

impl List {
    pub async fn run(mut self, mut mailbox: mpsc::Receiver<ListNote>) {
        let mut watching = !self.must_be_asked;
        // A watch tells what changed since the list that is known: the whole of it would cost as much once more.
        let mut fetch = !self.must_be_asked || self.held.revision.is_none();
        let mut down = false;
        let mut moved = false;
        loop {
            if !watching && !fetch {
                tokio::select! {
                    note = mailbox.recv() => match note {
                        Some(note) => Self::read(note, &mut watching, &mut fetch),
                        None => return,
                    },
                    Ok(()) = self.discovery.changed() => fetch = self.moved(),
                }
                continue;
            }
            let watch = if fetch { None } else { self.held.revision.map(|r| (r, WATCH)) };
            let path = list_path(watch);
            let within = watch.map_or(PATIENCE, |(_, wait)| wait + PATIENCE);
            let answer = {
                let ask = self.platform.ask(Method::GET, &path, Default::default(), within);
                tokio::pin!(ask);
                // A note that changes nothing of what is asked leaves the call alone: it would be paid for twice.
                loop {
                    tokio::select! {
                        answer = &mut ask => break Some(answer),
                        note = mailbox.recv() => match note {
                            Some(note) => Self::read(note, &mut watching, &mut fetch),
                            None => return,
                        },
                        Ok(()) = self.discovery.changed() => {
                            moved = true;
                            break None;
                        }
                    }
                    if fetch && watch.is_some() || !fetch && !watching {
                        break None;
                    }
                }
            };
            if std::mem::take(&mut moved) {
                fetch = self.moved();
            }
            let Some(answer) = answer else { continue };
            match answer.and_then(|(status, body)| read_list(status, &body)) {
                Ok(text) => {
                    if std::mem::take(&mut down) {
                        info!(self.log, "the list is told again"; "revision" => text.revision);
                    }
                    fetch = false;
                    if let Some(news) = self.held.take(text, &self.names) {
                        if self.module.send(Note::Event(Event::List(news))).await.is_err() {
                            return;
                        }
                    }
                }
                Err(problem) => {
                    let silent = matches!(problem, AskFault::OutOfTime);
                    if !std::mem::replace(&mut down, true) {
                        warn!(self.log, "the list is not told"; "problem" => %problem);
                    }
                    if self.must_be_asked {
                        (watching, fetch) = (false, false);
                        if self.module.send(Note::Event(Event::List(ListNews::Failed))).await.is_err() {
                            return;
                        }
                    }
                    // Guards drains against a watch that has fallen silent: it has been waited for already.
                    if !silent {
                        tokio::time::sleep(AGAIN).await;
                    }
                }
            }
        }
    }

    /// What was asked of the old address is dropped; the new one counts its revisions as it likes. Gives that the
    /// whole list is to be fetched there. Until it is in, the list as held stays.
    fn moved(&mut self) -> bool {
        let address = *self.discovery.borrow_and_update();
        self.platform.move_to(address);
        self.held.revision = None;
        true
    }

    fn read(note: ListNote, watching: &mut bool, fetch: &mut bool) {
        match note {
            ListNote::Watch(on) => *watching = on,
            ListNote::Fetch => *fetch = true,
        }
    }
}

fn read_list(status: StatusCode, body: &[u8]) -> Result<ListText, AskFault> {
    if status != StatusCode::OK {
        return Err(AskFault::Refused(status));
    }
    serde_json::from_slice(body).map_err(AskFault::NotUnderstood)
}

mod held;

#[cfg(test)]
mod tests;
