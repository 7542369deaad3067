//! The list of targets: one actor that asks the platform's agent for the whole list, then watches what changes.

use crate::notes::{ListNote, Note};
use crate::platform::{AskFault, Platform};
use crate::protocol::{list_path, ListText, Member, Phase};
use hyper::{Method, StatusCode};
use opalpulley::{Event, ListNews, Listing, Standing};
use opalpulley_terms::Names;
use slog::{info, warn, Logger};
use std::collections::BTreeMap;
use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;
use tokio::sync::{mpsc, watch};

const WATCH: Duration = Duration::from_secs(5); // a watch that is asked for: a silent agent is noticed soon after
const PATIENCE: Duration = Duration::from_secs(2); // for an answer, beyond what was asked for: the agent is next door
const AGAIN: Duration = Duration::from_millis(150); // between tries: under the time after which a watch begins anew

/// A member under the number by which the core knows it.
type Numbered = (u32, Member);

/// The list as last held: members by id. Each leaves as it goes.
#[derive(Default)]
pub struct Held {
    revision: Option<u64>,
    members: BTreeMap<String, Numbered>,
    holders: BTreeMap<SocketAddrV4, String>, // who has an address; each leaves with its member
    /// The number of the next member that is new. It comes round after four thousand million of them.
    next: u32,
}

impl Held {
    /// Takes news in and gives them in the core's terms; nothing where they are of before. The work follows what is
    /// told, not what is held.
    pub fn take(&mut self, text: ListText, names: &Names) -> Option<ListNews> {
        if !text.complete && self.revision.is_some_and(|r| text.revision < r) {
            return None;
        }
        self.revision = Some(text.revision);
        // Those that are told of, as they stood before.
        let mut before: BTreeMap<String, Option<Numbered>> = BTreeMap::new();
        if text.complete {
            self.holders.clear();
            before = std::mem::take(&mut self.members).into_iter().map(|(id, old)| (id, Some(old))).collect();
        }
        for member in text.members {
            let old =
                before.entry(member.id.clone()).or_insert_with(|| self.members.get(&member.id).cloned());
            // Guards an address that another holds by now against what is told late of the one before.
            let takes = member.phase == Phase::Ready || old.is_some();
            let other = self.holders.get(&member.host_port).filter(|id| **id != member.id).cloned();
            if member.phase == Phase::Gone {
                self.remove(&member.id);
            } else if other.is_none() || takes && member.phase == Phase::Ready {
                // Guards a new member against what was learned of another that had its address, or of itself elsewhere.
                let place = |m: &Member| (m.host_port, m.cell);
                let same =
                    old.as_ref().filter(|(_, old)| place(old) == place(&member)).map(|(number, _)| *number);
                if let Some(other) = other {
                    let removed = self.remove(&other);
                    before.entry(other).or_insert(removed);
                }
                let number = same.unwrap_or_else(|| self.new_number());
                self.remove(&member.id);
                self.holders.insert(member.host_port, member.id.clone());
                self.members.insert(member.id.clone(), (number, member));
            }
        }
        let listing = |(number, member): &Numbered| member.listing(*number, names);
        if text.complete {
            return Some(ListNews::Whole(self.members.values().map(listing).collect()));
        }
        let now = |id: &String| self.members.get(id);
        let was = before.iter().filter_map(|(id, old)| Some((id, old.as_ref()?)));
        let gone = was.filter(|(id, (number, _))| now(id).is_none_or(|(n, _)| n != number));
        let gone = gone.map(|(_, old)| Listing { standing: Standing::Gone, ..listing(old) });
        let told = before.iter().filter_map(|(id, old)| now(id).filter(|now| old.as_ref() != Some(now)));
        let entries: Vec<Listing> = gone.chain(told.map(listing)).collect();
        (!entries.is_empty()).then_some(ListNews::Changes(entries))
    }

    fn remove(&mut self, id: &str) -> Option<Numbered> {
        let removed = self.members.remove(id);
        if let Some((_, member)) =
            removed.as_ref().filter(|(_, m)| self.holders.get(&m.host_port).is_some_and(|h| h == id))
        {
            self.holders.remove(&member.host_port);
        }
        removed
    }

    fn new_number(&mut self) -> u32 {
        self.next = self.next.wrapping_add(1);
        self.next
    }
}

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

#[cfg(test)]
mod tests;
