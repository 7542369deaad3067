//! The actors of the targets in use. One begins with the first note to its target, and ends when nothing has gone there
//! for so long that no connection of it could still serve.

use crate::notes::TargetNote;
use crate::targets::{Target, TargetContext};
use opalpulley::{Micros, TargetId};
use slog::error;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;

/// Notes to a target for each slot: a call, its call-off, and what a wait told by it takes back.
const SLOT_NOTES: usize = 3;

/// Notes to a target beyond those: probes, closings, what a list takes back.
const TARGET_NOTES: usize = 64;

/// Times what a connection may take to come up: over what a probe may take.
const PROBE_TIMES: Micros = 2;

struct Running {
    mailbox: mpsc::Sender<TargetNote>,
    /// Out there.
    calls: usize,
    /// When a note went there last, or a call came back.
    used: Micros,
    /// When it is looked at next.
    look: Micros,
}

/// The actors that run; each leaves once it has rested, or with its target.
pub struct Actors {
    context: Arc<TargetContext>,
    mailbox_room: usize,
    rest: Micros,
    running: BTreeMap<TargetId, Running>,
    looks: BTreeSet<(Micros, TargetId)>, // one for each that runs
}

impl Actors {
    pub fn new(context: Arc<TargetContext>, slots: u32) -> Actors {
        let mailbox_room = SLOT_NOTES * slots as usize + TARGET_NOTES;
        // By then each connection has been retired, and each probe is over.
        let rest = context
            .config
            .idle_closed_after
            .saturating_add(PROBE_TIMES.saturating_mul(context.config.connect_within));
        Actors {
            context,
            mailbox_room,
            rest,
            running: BTreeMap::new(),
            looks: BTreeSet::new(),
        }
    }

    /// Gives a note to the target's actor, which begins if none runs. False where it takes no more.
    pub fn post(&mut self, now: Micros, target: TargetId, note: TargetNote) -> bool {
        let (context, room, look) = (
            &self.context,
            self.mailbox_room,
            now.saturating_add(self.rest),
        );
        let running = self.running.entry(target).or_insert_with(|| {
            self.looks.insert((look, target));
            Running {
                mailbox: begin(target, context, room),
                calls: 0,
                used: now,
                look,
            }
        });
        running.used = now;
        let sent = match running.mailbox.try_send(note) {
            // An actor that has ended took nothing of this.
            Err(TrySendError::Closed(note)) => {
                running.mailbox = begin(target, context, room);
                running.mailbox.try_send(note)
            }
            sent => sent,
        };
        if let Err(problem) = &sent {
            error!(context.log, "a target's mailbox takes nothing"; "problem" => %problem);
        }
        sent.is_ok()
    }

    pub fn is_running(&self, target: TargetId) -> bool {
        self.running.contains_key(&target)
    }

    pub fn call_begun(&mut self, target: TargetId) {
        self.running.entry(target).and_modify(|r| r.calls += 1);
    }

    pub fn call_ended(&mut self, now: Micros, target: TargetId) {
        if let Some(running) = self.running.get_mut(&target) {
            running.calls = running.calls.saturating_sub(1);
            running.used = now;
        }
    }

    /// The calls out to a target.
    pub fn calls(&self, target: TargetId) -> usize {
        self.running.get(&target).map_or(0, |r| r.calls)
    }

    /// Tells a target's actor to end, once what is under way there is over.
    pub fn end(&mut self, target: TargetId) {
        if let Some(running) = self.running.remove(&target) {
            self.looks.remove(&(running.look, target));
        }
    }

    /// When [`Actors::look`] is due.
    pub fn next_look(&self) -> Option<Micros> {
        self.looks.first().map(|(at, _)| *at)
    }

    /// Ends those that have rested.
    pub fn look(&mut self, now: Micros) {
        while let Some((at, target)) = self.looks.first().copied().filter(|(at, _)| *at <= now) {
            self.looks.remove(&(at, target));
            let Some(running) = self.running.get_mut(&target) else {
                continue;
            };
            let since = if running.calls > 0 { now } else { running.used };
            if since.saturating_add(self.rest) <= now {
                self.running.remove(&target);
            } else {
                running.look = since.saturating_add(self.rest);
                self.looks.insert((running.look, target));
            }
        }
    }
}

/// Dropping the mailbox ends the actor: it takes what lies there, waits for what is under way, and closes its connections.
fn begin(target: TargetId, context: &Arc<TargetContext>, room: usize) -> mpsc::Sender<TargetNote> {
    let (mailbox, notes) = mpsc::channel(room);
    tokio::spawn(Target::new(target, context.clone()).run(notes));
    mailbox
}

#[cfg(test)]
mod tests;
