//! The actors of the endpoints in use. One begins with the first note to its endpoint, and ends when nothing has gone there
//! for so long that no connection of it could still serve.

use crate::commands::EndpointCommand;
use crate::endpoints::{Endpoint, EndpointContext};
use opalpulley::{EndpointId, Micros};
use slog::error;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;

/// Notes to an endpoint for each slot: a call, its call-off, and what a wait told by it takes back.
const SLOT_NOTES: usize = 3;

/// Notes to an endpoint beyond those: health checks, closings, what a list takes back.
const ENDPOINT_NOTES: usize = 64;

/// Times what a connection may take to come up: over what a health check may take.
const HEALTH_CHECK_TIMES: Micros = 2;

struct Running {
    mailbox: mpsc::Sender<EndpointCommand>,
    /// Out there.
    calls: usize,
    /// When a note went there last, or a call came back.
    used: Micros,
    /// When it is looked at next.
    look: Micros,
}

/// The actors that run; each leaves once it has rested, or with its endpoint.
pub struct EndpointActors {
    context: Arc<EndpointContext>,
    mailbox_room: usize,
    rest: Micros,
    running: BTreeMap<EndpointId, Running>,
    looks: BTreeSet<(Micros, EndpointId)>, // one for each that runs
}

impl EndpointActors {
    pub fn new(context: Arc<EndpointContext>, slots: u32) -> EndpointActors {
        let mailbox_room = SLOT_NOTES * slots as usize + ENDPOINT_NOTES;
        // By then each connection has been retired, and each health check is over.
        let rest = context
            .config
            .idle_closed_after
            .saturating_add(HEALTH_CHECK_TIMES.saturating_mul(context.config.connect_within));
        EndpointActors {
            context,
            mailbox_room,
            rest,
            running: BTreeMap::new(),
            looks: BTreeSet::new(),
        }
    }

    /// Gives a note to the endpoint's actor, which begins if none runs. False where it takes no more.
    pub fn post(&mut self, now: Micros, endpoint: EndpointId, note: EndpointCommand) -> bool {
        let (context, room, look) = (
            &self.context,
            self.mailbox_room,
            now.saturating_add(self.rest),
        );
        let running = self.running.entry(endpoint).or_insert_with(|| {
            self.looks.insert((look, endpoint));
            Running {
                mailbox: begin(endpoint, context, room),
                calls: 0,
                used: now,
                look,
            }
        });
        running.used = now;
        let sent = match running.mailbox.try_send(note) {
            // An actor that has ended took nothing of this.
            Err(TrySendError::Closed(note)) => {
                running.mailbox = begin(endpoint, context, room);
                running.mailbox.try_send(note)
            }
            sent => sent,
        };
        if let Err(problem) = &sent {
            error!(context.log, "a target's mailbox takes nothing"; "problem" => %problem);
        }
        sent.is_ok()
    }

    pub fn is_running(&self, endpoint: EndpointId) -> bool {
        self.running.contains_key(&endpoint)
    }

    pub fn call_begun(&mut self, endpoint: EndpointId) {
        self.running.entry(endpoint).and_modify(|r| r.calls += 1);
    }

    pub fn call_ended(&mut self, now: Micros, endpoint: EndpointId) {
        if let Some(running) = self.running.get_mut(&endpoint) {
            running.calls = running.calls.saturating_sub(1);
            running.used = now;
        }
    }

    /// The calls out to an endpoint.
    pub fn calls(&self, endpoint: EndpointId) -> usize {
        self.running.get(&endpoint).map_or(0, |r| r.calls)
    }

    /// Tells an endpoint's actor to end, once what is under way there is over.
    pub fn end(&mut self, endpoint: EndpointId) {
        if let Some(running) = self.running.remove(&endpoint) {
            self.looks.remove(&(running.look, endpoint));
        }
    }

    /// When [`EndpointActors::look`] is due.
    pub fn next_look(&self) -> Option<Micros> {
        self.looks.first().map(|(at, _)| *at)
    }

    /// Ends those that have rested.
    pub fn look(&mut self, now: Micros) {
        while let Some((at, endpoint)) = self.looks.first().copied().filter(|(at, _)| *at <= now) {
            self.looks.remove(&(at, endpoint));
            let Some(running) = self.running.get_mut(&endpoint) else {
                continue;
            };
            let since = if running.calls > 0 { now } else { running.used };
            if since.saturating_add(self.rest) <= now {
                self.running.remove(&endpoint);
            } else {
                running.look = since.saturating_add(self.rest);
                self.looks.insert((running.look, endpoint));
            }
        }
    }
}

/// Dropping the mailbox ends the actor: it takes what lies there, waits for what is under way, and closes its connections.
fn begin(
    endpoint: EndpointId,
    context: &Arc<EndpointContext>,
    room: usize,
) -> mpsc::Sender<EndpointCommand> {
    let (mailbox, notes) = mpsc::channel(room);
    tokio::spawn(Endpoint::new(endpoint, context.clone()).run(notes));
    mailbox
}

#[cfg(test)]
mod tests;
