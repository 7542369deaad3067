//! The actor around the decision core. It turns what the other actors report into the core's events, writes what
//! must outlive the process to the journal first, and then carries out the core's actions. It decides nothing.

use crate::clock::{micros, Clock};
use crate::journal::{Journal, Kept};
use crate::notes::{
    Answer, Call, GossipMessage, HandIn, ListNote, Note, PendingReport, TargetNote,
};
use crate::protocol::{Ending, Handed};
use crate::targets::TargetContext;
use actors::Actors;
use opalpulley::{
    Action, Arrival, Config, DestinationId, Event, Forwarder, KindId, ListNews, Listing, Micros,
    OrderKey, Outcome, PacketId, Past, ProfileId, Standing, TargetId, TenantId, Token, ZoneId,
};
use slog::{crit, debug, error, info, warn, Logger};
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// After the start, for a list where none was known: packets of an earlier process wait no longer than that.
const LIST_WAIT: Duration = Duration::from_millis(1000);

/// A tenant that no deployment has: the core finds no share for it.
const NO_TENANT: TenantId = TenantId(u32::MAX);

/// A packet that is not over.
struct Open {
    serial: u64,
    handed: Handed,
    expires: Micros,
    trips: u32,
    out: Vec<(u8, TargetId)>,
    /// Its end is decided; trips may still be out.
    ended: bool,
}

/// What the last list says of a target, beside its id.
struct Listed {
    zone: ZoneId,
    kind: KindId,
    standing: Standing,
    rate: f32,
    destination: DestinationId,
    since: Micros,
}

impl Listed {
    fn listing(&self, target: TargetId) -> Listing {
        let Listed {
            zone,
            kind,
            standing,
            rate,
            destination,
            since,
        } = *self;
        Listing {
            target,
            zone,
            since,
            standing,
            rate,
            destination,
            kind,
        }
    }
}

impl From<&Listing> for Listed {
    fn from(listing: &Listing) -> Listed {
        let Listing {
            target: _,
            zone,
            since,
            standing,
            rate,
            destination,
            kind,
        } = *listing;
        Listed {
            zone,
            kind,
            standing,
            rate,
            destination,
            since,
        }
    }
}

pub struct Dispatcher {
    clock: Clock,
    config: Config,
    seed: u64,
    forwarder: Forwarder,
    journal: Journal,
    list: mpsc::Sender<ListNote>,
    completion_reports: mpsc::UnboundedSender<PendingReport>,
    gossip: mpsc::Sender<GossipMessage>,
    log: Logger,
    /// Set once the journal and the list are in.
    up: Arc<AtomicBool>,
    ids: BTreeMap<String, PacketId>, // that clients gave to open packets; each leaves with its packet
    named: BTreeSet<DestinationId>, // that a list has named: as many as destinations have numbers at most
    open: BTreeMap<PacketId, Open>, // each leaves with its end and its last outcome
    listed: BTreeMap<TargetId, Listed>, // by the last list; emptied of those gone without a call out
    actors: Actors,                     // of the targets in use
    alarms: BTreeSet<(Micros, u64, Token)>, // each leaves as it rings
    later: VecDeque<Event>,             // emptied before the next note is read
    earlier: Option<Vec<Kept>>,         // packets of an earlier process, until the list is in
    pending_reports: BTreeMap<u64, Option<PacketId>>, // ends that the platform has not heard of, with those that keep an order; each leaves as it has
    next_id: u32,
    next_alarm: u64,
    panics: u64,
    beginning: bool,
}

pub struct Ways {
    pub context: Arc<TargetContext>,
    pub list: mpsc::Sender<ListNote>,
    pub completion_reports: mpsc::UnboundedSender<PendingReport>,
    pub gossip: mpsc::Sender<GossipMessage>,
    pub up: Arc<AtomicBool>,
}

impl Dispatcher {
    pub fn new(
        config: Config,
        seed: u64,
        clock: Clock,
        journal: Journal,
        ways: Ways,
        log: Logger,
    ) -> Dispatcher {
        let Ways {
            context,
            list,
            completion_reports,
            gossip,
            up,
        } = ways;
        Dispatcher {
            clock,
            forwarder: Forwarder::new(config.clone(), seed),
            actors: Actors::new(context, config.slots),
            config,
            seed,
            journal,
            list,
            completion_reports,
            gossip,
            log,
            up,
            ids: BTreeMap::new(),
            named: BTreeSet::new(),
            open: BTreeMap::new(),
            listed: BTreeMap::new(),
            alarms: BTreeSet::new(),
            later: VecDeque::new(),
            earlier: None,
            pending_reports: BTreeMap::new(),
            next_id: 0,
            next_alarm: 0,
            panics: 0,
            beginning: false,
        }
    }

    fn trips_out(&self) -> bool {
        self.open.values().any(|o| !o.out.is_empty())
    }

    /// Runs until the process is to end and nothing more can be done, or `leave` has come.
    pub async fn run(
        mut self,
        mut notes: mpsc::Receiver<Note>,
        mut clients: mpsc::Receiver<HandIn>,
        leave: impl std::future::Future<Output = ()>,
    ) {
        tokio::pin!(leave);
        let mut closing = false;
        let begin = Instant::now() + LIST_WAIT;
        loop {
            if closing && !self.trips_out() && self.pending_reports.is_empty() {
                return;
            }
            let next = self.alarms.first().map(|(at, ..)| self.clock.at(*at));
            let rest = self.actors.next_look().map(|at| self.clock.at(at));
            tokio::select! {
                biased;
                () = &mut leave => return,
                Some(note) = notes.recv() => {
                    closing |= matches!(note, Note::Event(Event::Closing));
                    self.handle_message(note);
                }
                () = tokio::time::sleep_until(next.unwrap_or_else(Instant::now)), if next.is_some() => {
                    self.ring();
                }
                () = tokio::time::sleep_until(rest.unwrap_or_else(tokio::time::Instant::now)), if rest.is_some() => {
                    self.actors.look(self.clock.now());
                }
                () = tokio::time::sleep_until(begin), if self.earlier.is_some() => self.begin(),
                Some(hand_in) = clients.recv() => self.hand_in(hand_in),
            }
        }
    }

    fn ring(&mut self) {
        let now = self.clock.now();
        while let Some((at, number, token)) = self.alarms.first().copied() {
            if at > now {
                return;
            }
            self.alarms.remove(&(at, number, token));
            self.handle(Event::Alarm { token });
        }
    }

    pub fn handle_message(&mut self, note: Note) {
        match note {
            Note::Event(Event::List(news)) => self.list_news(news),
            Note::Event(mut event) => {
                if let Event::TripEnded {
                    id,
                    trip,
                    target,
                    outcome,
                    closed,
                    ..
                } = &mut event
                {
                    // Guards a packet whose answer came after its time: that delivers nothing, and its end is still owed.
                    let late = self
                        .open
                        .get(id)
                        .is_some_and(|o| self.clock.now() >= o.expires);
                    *closed &= !(late && *outcome == Outcome::Delivered);
                    self.actors.call_ended(self.clock.now(), *target);
                    self.forget_if_over(*target);
                    self.trip_ended(*id, *trip, *outcome, *closed);
                }
                self.handle(event);
            }
            Note::Heard(serials) => {
                for serial in serials {
                    let heard = self.pending_reports.remove(&serial);
                    let written = self.journal.ended(serial);
                    self.written(written);
                    heard
                        .flatten()
                        .into_iter()
                        .for_each(|id| self.handle(Event::Heard { id }));
                }
            }
        }
    }

    fn written(&self, result: std::io::Result<()>) {
        if let Err(problem) = result {
            error!(self.log, "the journal was not written"; "problem" => %problem);
        }
    }

    fn list_news(&mut self, news: ListNews) {
        match &news {
            ListNews::Whole(entries) | ListNews::Cached(entries) => self.list_whole(entries),
            ListNews::Changes(entries) => self.list_changes(entries),
            ListNews::Failed => {}
        }
        self.handle(Event::List(news));
        self.begin();
    }

    /// Both tables are built from the sorted whole, which packs them: line by line they would take twice the room.
    fn list_whole(&mut self, entries: &[Listing]) {
        self.named
            .append(&mut entries.iter().map(|e| e.destination).collect());
        let now_listed = entries
            .iter()
            .map(|e| (e.target, Listed::from(e)))
            .collect();
        let before = std::mem::replace(&mut self.listed, now_listed);
        for (target, listing) in before {
            if let Entry::Vacant(missing) = self.listed.entry(target) {
                missing.insert(Listed {
                    standing: Standing::Gone,
                    ..listing
                });
                self.forget_if_over(target);
            }
        }
        entries.iter().for_each(|e| self.forget_if_over(e.target));
    }

    /// The work follows what is told, not what is listed.
    fn list_changes(&mut self, entries: &[Listing]) {
        for entry in entries {
            self.named.insert(entry.destination);
            self.listed.insert(entry.target, entry.into());
            self.forget_if_over(entry.target);
        }
    }

    /// A target that has gone stays as long as a call is out there.
    fn forget_if_over(&mut self, target: TargetId) {
        let gone = self
            .listed
            .get(&target)
            .is_some_and(|l| l.standing == Standing::Gone);
        if gone && self.actors.calls(target) == 0 {
            self.listed.remove(&target);
            self.actors.end(target);
        }
    }

    fn trip_ended(&mut self, id: PacketId, trip: u8, outcome: Outcome, over: bool) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        open.out.retain(|(t, _)| *t != trip);
        let serial = open.serial;
        let written = match over && !open.ended {
            true => {
                open.ended = true;
                self.journal.ended(serial)
            }
            false if open.ended => Ok(()),
            false if outcome == Outcome::TakenBack => {
                open.trips = u32::from(trip);
                self.journal.trip_taken_back(serial, trip)
            }
            false => self
                .journal
                .trip_ended(serial, trip, outcome.may_have_run()),
        };
        self.written(written);
        self.close(id);
    }

    /// Forgets a packet once it is over and none of its trips is out.
    fn close(&mut self, id: PacketId) {
        if self
            .open
            .get(&id)
            .is_some_and(|o| o.ended && o.out.is_empty())
        {
            if let Some(open) = self.open.remove(&id) {
                self.ids.remove(&open.handed.request_id);
            }
        }
    }

    fn hand_in(
        &mut self,
        HandIn {
            mut handed,
            came,
            answer,
        }: HandIn,
    ) {
        // Guards against work for a client that has left: nothing is taken on yet.
        if answer.is_closed() {
            return;
        }
        // Guards against two packets from one: a client whose answer was lost on the way sends the same id again.
        if let Some(open) = self
            .ids
            .get(&handed.request_id)
            .and_then(|id| self.open.get(id))
        {
            let of = |h: &Handed| {
                (
                    h.profile,
                    h.destination,
                    h.key,
                    h.mark.clone(),
                    h.body.clone(),
                )
            };
            let same = of(&open.handed) == of(&handed);
            let _ = answer.send(if same {
                Answer::Taken
            } else {
                Answer::OtherContent
            });
            return;
        }
        if !self.named.contains(&handed.destination) {
            let _ = answer.send(Answer::Unlisted);
            return;
        }
        // Its time runs from its last byte, not from its turn in the inbox.
        handed.left = handed.left.saturating_sub(micros(came.elapsed()));
        let (expires, ordered) = (self.clock.now() + handed.left, handed.key.is_some());
        let kept = kept(&handed, expires);
        // The room of the configuration counts at the door, as it does before the core on the simulator's wire.
        if self.open.len() >= self.config.room as usize || !self.journal.has_room(&kept) {
            // A client that has left hears nothing, and nothing is owed to it.
            let _ = answer.send(Answer::NoRoom);
            return;
        }
        let serial = match self.journal.accept(kept) {
            Ok(serial) => serial,
            Err(problem) => {
                error!(self.log, "a packet could not be kept"; "problem" => %problem);
                let _ = answer.send(Answer::NoRoom);
                return;
            }
        };
        let id = self.new_id();
        let arrival = arrival(id, &handed, Past::default());
        self.keep(
            id,
            Open {
                serial,
                handed,
                expires,
                trips: 0,
                out: Vec::new(),
                ended: false,
            },
        );
        let refused = self.decide(Event::Packet(arrival), Some(id));
        if refused.is_some() {
            // Its end is the client's own answer: nothing is owed to the platform.
            self.finish(id, None);
            self.later.extend(ordered.then_some(Event::Heard { id }));
        }
        if answer.send(refused.unwrap_or(Answer::Taken)).is_err() && refused.is_none() {
            debug!(self.log, "a client left before its answer");
            self.finish(id, None);
            self.handle(Event::Withdrawn { id });
        }
        self.follow_up();
    }

    fn keep(&mut self, id: PacketId, open: Open) {
        self.ids.insert(open.handed.request_id.clone(), id);
        self.open.insert(id, open);
    }

    fn new_id(&mut self) -> PacketId {
        loop {
            self.next_id = self.next_id.wrapping_add(1);
            if !self.open.contains_key(&PacketId(self.next_id)) {
                return PacketId(self.next_id);
            }
        }
    }

    /// Takes over from an earlier process once the list is in: without one its packets have nowhere to go.
    pub fn take_over(&mut self, packets: Vec<Kept>) {
        self.earlier = Some(packets);
        if !self.listed.is_empty() {
            self.begin();
        }
    }

    fn begin(&mut self) {
        if let Some(packets) = self.earlier.take() {
            self.restore(packets);
            self.up.store(true, Ordering::Relaxed);
        }
    }

    /// Gives the core the packets of an earlier process, with what is known of their trips.
    fn restore(&mut self, packets: Vec<Kept>) {
        let now = self.clock.now();
        for kept in packets {
            let id = self.new_id();
            if let Some(ending) = kept.pending_report {
                let ordered = kept.key.map(OrderKey).map(|key| {
                    self.handle(Event::PendingReport {
                        id,
                        profile: ProfileId(kept.profile),
                        key,
                    });
                    id
                });
                self.owe(kept.serial, kept.request_id, ending, ordered);
                continue;
            }
            // Guards rule 2 against a clock that was set back: a trip that began later than now proves no window.
            let began = |at: Micros| if at > now { 0 } else { at };
            let exposed = kept.exposed.map(|(at, zone)| (began(at), ZoneId(zone)));
            let past = Past {
                trips: kept.trips,
                exposed,
            };
            let handed = Handed {
                request_id: kept.request_id,
                profile: ProfileId(kept.profile),
                tenant: kept.tenant.map(TenantId),
                destination: DestinationId(kept.destination),
                left: kept.expires.saturating_sub(now),
                mark: kept.mark,
                key: kept.key,
                again: kept.again,
                orphan: kept.orphan,
                body: kept.body,
            };
            let arrival = Arrival {
                again: true,
                ..arrival(id, &handed, past)
            };
            let (serial, expires, trips) = (kept.serial, kept.expires, kept.trips);
            self.keep(
                id,
                Open {
                    serial,
                    handed,
                    expires,
                    trips,
                    out: Vec::new(),
                    ended: false,
                },
            );
            self.handle(Event::Packet(arrival));
        }
    }

    fn handle(&mut self, event: Event) {
        self.decide(event, None);
        self.follow_up();
    }

    fn follow_up(&mut self) {
        while let Some(event) = self.later.pop_front() {
            self.decide(event, None);
        }
    }

    /// Asks the core and carries out its actions; gives the end of the packet that is just being handed in.
    fn decide(&mut self, event: Event, handed_in: Option<PacketId>) -> Option<Answer> {
        let now = self.clock.now();
        let mut actions = Vec::new();
        let forwarder = &mut self.forwarder;
        let packet = if let Event::Packet(arrival) = &event {
            Some(arrival.id)
        } else {
            None
        };
        if catch_unwind(AssertUnwindSafe(|| {
            forwarder.handle(now, event, &mut actions)
        }))
        .is_err()
        {
            match (self.beginning, packet) {
                (false, _) => self.begin_anew(),
                // The packet itself is what the core can't bear.
                (true, Some(id)) => self.finish(id, Some(Ending::WrittenOff)),
                (true, None) => {}
            }
            return None;
        }
        let mut refused = None;
        for action in actions {
            match action {
                Action::WriteOff { id } if Some(id) == handed_in => {
                    refused = Some(Answer::WrittenOff)
                }
                Action::Defer { id, come_back } if Some(id) == handed_in => {
                    refused = Some(Answer::Deferred { come_back });
                }
                other => self.carry_out(now, other),
            }
        }
        refused
    }

    /// Guards the process against a panic in the core: a new one takes over as after a restart.
    fn begin_anew(&mut self) {
        self.panics += 1;
        crit!(self.log, "the core panicked, a new one takes over"; "times" => self.panics);
        self.forwarder = Forwarder::new(self.config.clone(), self.seed.wrapping_add(self.panics));
        self.alarms.clear();
        self.later.clear();
        // The journal has them too: with them taken over the process is up.
        if self.earlier.take().is_some() {
            self.up.store(true, Ordering::Relaxed);
        }
        self.ids.clear();
        for (id, open) in std::mem::take(&mut self.open) {
            for (trip, target) in open.out {
                self.post(target, TargetNote::CallOff { id, trip });
            }
        }
        self.beginning = true;
        let listed = self
            .listed
            .iter()
            .map(|(target, listed)| listed.listing(*target))
            .collect();
        self.decide(Event::List(ListNews::Cached(listed)), None);
        let packets = self.journal.after_restart();
        self.restore(packets);
        self.beginning = false;
    }

    fn carry_out(&mut self, now: Micros, action: Action) {
        match action {
            Action::Send {
                id,
                target,
                limit,
                begin_by,
            } => {
                self.send(now, id, target, limit, self.clock.at(begin_by));
            }
            Action::WriteOff { id } => self.finish(id, Some(Ending::WrittenOff)),
            Action::Defer { id, come_back } => {
                self.finish(id, Some(Ending::Deferred { come_back }))
            }
            Action::Wake { after, token } => {
                self.next_alarm += 1;
                self.alarms.insert((now + after, self.next_alarm, token));
            }
            Action::Probe { target } => {
                if !self.post(target, TargetNote::Probe) {
                    let outcome = Outcome::NoConnection;
                    self.later.push_back(Event::ProbeAnswered {
                        target,
                        outcome,
                        took: 0,
                        report: Vec::new(),
                    });
                }
            }
            Action::CallOff { id, trip } => {
                let out = self
                    .open
                    .get(&id)
                    .and_then(|o| o.out.iter().find(|(t, _)| *t == trip));
                if let Some((_, target)) = out.copied() {
                    self.post(target, TargetNote::CallOff { id, trip });
                }
            }
            Action::TakeBack { target } => self.post_to_known(target, TargetNote::TakeBack),
            Action::CloseIdle { target } => self.post_to_known(target, TargetNote::CloseIdle),
            Action::Watch { on } => self.ask_list(ListNote::Watch(on)),
            Action::FetchList => self.ask_list(ListNote::Fetch),
            Action::SendGossip { peer, message } => {
                if self
                    .gossip
                    .try_send(GossipMessage { peer, message })
                    .is_err()
                {
                    warn!(self.log, "a gossip message to a peer is dropped");
                }
            }
            Action::Log(words) => info!(self.log, "{}", words),
            Action::Fault(words) => error!(self.log, "{}", words),
        }
    }

    fn ask_list(&mut self, note: ListNote) {
        if self.list.try_send(note).is_err() {
            self.later.push_back(Event::List(ListNews::Failed));
        }
    }

    /// Where nothing ever went there is nothing to do.
    fn post_to_known(&mut self, target: TargetId, note: TargetNote) {
        if self.actors.is_running(target) {
            self.post(target, note);
        }
    }

    fn post(&mut self, target: TargetId, note: TargetNote) -> bool {
        self.listed.contains_key(&target) && self.actors.post(self.clock.now(), target, note)
    }

    fn send(
        &mut self,
        now: Micros,
        id: PacketId,
        target: TargetId,
        limit: Option<Micros>,
        begin_by: Instant,
    ) {
        let zone = self.listed.get(&target).map_or(0, |l| l.zone.0);
        let Some(open) = self.open.get_mut(&id).filter(|o| !o.ended) else {
            error!(self.log, "the core sends a packet that is over");
            return;
        };
        let trip = open.trips.min(u32::from(u8::MAX)) as u8;
        open.trips += 1;
        let left = open.expires.saturating_sub(now);
        let call = Call {
            id,
            trip,
            request_id: open.handed.request_id.clone(),
            mark: open.handed.mark.clone(),
            body: open.handed.body.clone(),
            limit: Duration::from_micros(limit.map_or(left, |l| l.min(left))),
            begin_by,
        };
        let serial = open.serial;
        let kept = self.journal.trip_started(serial, trip, now, zone);
        let written = kept.is_ok();
        self.written(kept);
        if written && self.post(target, TargetNote::Call(Box::new(call))) {
            self.actors.call_begun(target);
            self.open
                .entry(id)
                .and_modify(|o| o.out.push((trip, target)));
            return;
        }
        // Nothing has gone out.
        let outcome = Outcome::Moot { no_slot: false };
        if written {
            let ended = self.journal.trip_ended(serial, trip, false);
            self.written(ended);
        }
        let (took, closed, report) = (0, false, Vec::new());
        self.later.push_back(Event::TripEnded {
            id,
            trip,
            target,
            outcome,
            took,
            closed,
            report,
        });
    }

    /// The end of a packet, told to the platform unless its client hears it in its own answer.
    fn finish(&mut self, id: PacketId, ending: Option<Ending>) {
        let Some(open) = self.open.get_mut(&id).filter(|o| !o.ended) else {
            return;
        };
        open.ended = true;
        let (serial, request_id) = (open.serial, open.handed.request_id.clone());
        let ordered = open.handed.key.is_some();
        match ending {
            Some(ending) => {
                let written = self.journal.owes(serial, ending);
                self.written(written);
                self.owe(serial, request_id, ending, ordered.then_some(id));
            }
            None => {
                let written = self.journal.ended(serial);
                self.written(written);
            }
        }
        self.close(id);
    }

    /// An end to be told; `ordered` is the packet's id where the core waits for it to be heard.
    fn owe(&mut self, serial: u64, request_id: String, ending: Ending, ordered: Option<PacketId>) {
        // One that is owed already goes on being told.
        let known = self.pending_reports.insert(serial, ordered).is_some();
        if !known
            && self
                .completion_reports
                .send(PendingReport {
                    serial,
                    request_id,
                    ending,
                })
                .is_err()
        {
            error!(self.log, "nobody carries notices");
        }
    }
}

fn kept(handed: &Handed, expires: Micros) -> Kept {
    Kept {
        serial: 0,
        request_id: handed.request_id.clone(),
        profile: handed.profile.0,
        tenant: handed.tenant.map(|t| t.0),
        destination: handed.destination.0,
        expires,
        mark: handed.mark.clone(),
        again: handed.again,
        orphan: handed.orphan,
        body: handed.body.clone(),
        key: handed.key,
        trips: 0,
        exposed: None,
        out: Vec::new(),
        pending_report: None,
    }
}

fn arrival(id: PacketId, handed: &Handed, past: Past) -> Arrival {
    Arrival {
        id,
        profile: handed.profile,
        tenant: handed.tenant.unwrap_or(NO_TENANT),
        key: handed.key.map(OrderKey),
        left: handed.left,
        hint: None,
        destination: handed.destination,
        again: handed.again,
        write: false,
        orphan: handed.orphan,
        past,
    }
}

mod actors;

#[cfg(test)]
mod tests;
