//! The actor around the decision core. It turns what the other actors report into the core's events, writes what
//! must outlive the process to the journal first, and then carries out the core's actions. It decides nothing.

use crate::clock::{micros, Clock};
use crate::commands::{
    AttemptRequest, DispatcherCommand, EndpointCommand, EndpointListCommand, GossipDatagram,
    PendingReport, SubmissionAnswer, SubmissionRequest,
};
use crate::endpoints::EndpointContext;
use crate::journal::{Journal, StoredMessage};
use crate::protocol::{address, Ending, SubmittedMessage};
use endpoints::EndpointActors;
use opalpulley::{
    Action, AttemptHistory, Config, DeliveryClassId, DestinationId, EndpointEntry, EndpointId,
    EndpointKindId, EndpointListUpdate, EndpointStatus, Event, Forwarder, LogEvent, MessageId,
    Micros, OrderKey, Outcome, PossibleEffect, Submission, TenantId, TimerToken, ZoneId,
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

/// After the start, for a list where none was known: messages of an earlier process wait no longer than that.
const LIST_WAIT: Duration = Duration::from_millis(1000);

/// A tenant that no deployment has: the core finds no share for it.
const NO_TENANT: TenantId = TenantId(u32::MAX);

/// A message that is not over.
struct InFlightMessage {
    serial: u64,
    submitted: SubmittedMessage,
    expires: Micros,
    attempts: u32,
    out: Vec<(u8, EndpointId)>,
    /// Its end is decided; attempts may still be out.
    ended: bool,
}

/// What the last list says of an endpoint, beside its id.
struct ListedEndpoint {
    zone: ZoneId,
    kind: EndpointKindId,
    standing: EndpointStatus,
    rate: f32,
    destination: DestinationId,
    since: Micros,
}

impl ListedEndpoint {
    fn listing(&self, endpoint: EndpointId) -> EndpointEntry {
        let ListedEndpoint {
            zone,
            kind,
            standing,
            rate,
            destination,
            since,
        } = *self;
        EndpointEntry {
            endpoint,
            zone,
            up_since: since,
            status: standing,
            rate,
            destination,
            kind,
        }
    }
}

impl From<&EndpointEntry> for ListedEndpoint {
    fn from(listing: &EndpointEntry) -> ListedEndpoint {
        let EndpointEntry {
            endpoint: _,
            zone,
            up_since: since,
            status: standing,
            rate,
            destination,
            kind,
        } = *listing;
        ListedEndpoint {
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
    list: mpsc::Sender<EndpointListCommand>,
    completion_reports: mpsc::UnboundedSender<PendingReport>,
    gossip: mpsc::Sender<GossipDatagram>,
    log: Logger,
    /// Set once the journal and the list are in.
    up: Arc<AtomicBool>,
    ids: BTreeMap<String, MessageId>, // that clients gave to open messages; each leaves with its message
    named: BTreeSet<DestinationId>, // that a list has named: as many as destinations have numbers at most
    open: BTreeMap<MessageId, InFlightMessage>, // each leaves with its end and its last outcome
    listed: BTreeMap<EndpointId, ListedEndpoint>, // by the last list; emptied of those gone without a call out
    actors: EndpointActors,                       // of the endpoints in use
    alarms: BTreeSet<(Micros, u64, TimerToken)>,  // each leaves as it rings
    later: VecDeque<Event>,                       // emptied before the next note is read
    earlier: Option<Vec<StoredMessage>>, // messages of an earlier process, until the list is in
    pending_reports: BTreeMap<u64, Option<MessageId>>, // ends that the platform has not heard of, with those that keep an order; each leaves as it has
    next_id: u32,
    next_alarm: u64,
    panics: u64,
    beginning: bool,
}

pub struct DispatcherHandles {
    pub context: Arc<EndpointContext>,
    pub list: mpsc::Sender<EndpointListCommand>,
    pub completion_reports: mpsc::UnboundedSender<PendingReport>,
    pub gossip: mpsc::Sender<GossipDatagram>,
    pub up: Arc<AtomicBool>,
}

impl Dispatcher {
    pub fn new(
        config: Config,
        seed: u64,
        clock: Clock,
        journal: Journal,
        handles: DispatcherHandles,
        log: Logger,
    ) -> Dispatcher {
        let DispatcherHandles {
            context,
            list,
            completion_reports,
            gossip,
            up,
        } = handles;
        Dispatcher {
            clock,
            forwarder: Forwarder::new(config.clone(), seed),
            actors: EndpointActors::new(context, config.concurrency_limit),
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

    fn attempts_out(&self) -> bool {
        self.open.values().any(|o| !o.out.is_empty())
    }

    /// Runs until the process is to end and nothing more can be done, or `leave` has come.
    pub async fn run(
        mut self,
        mut notes: mpsc::Receiver<DispatcherCommand>,
        mut clients: mpsc::Receiver<SubmissionRequest>,
        leave: impl std::future::Future<Output = ()>,
    ) {
        tokio::pin!(leave);
        let mut closing = false;
        let begin = Instant::now() + LIST_WAIT;
        loop {
            if closing && !self.attempts_out() && self.pending_reports.is_empty() {
                return;
            }
            let next = self.alarms.first().map(|(at, ..)| self.clock.at(*at));
            let rest = self.actors.next_look().map(|at| self.clock.at(at));
            tokio::select! {
                biased;
                () = &mut leave => return,
                Some(note) = notes.recv() => {
                    closing |= matches!(note, DispatcherCommand::Event(Event::ShuttingDown));
                    self.handle_message(note);
                }
                () = tokio::time::sleep_until(next.unwrap_or_else(Instant::now)), if next.is_some() => {
                    self.ring();
                }
                () = tokio::time::sleep_until(rest.unwrap_or_else(tokio::time::Instant::now)), if rest.is_some() => {
                    self.actors.look(self.clock.now());
                }
                () = tokio::time::sleep_until(begin), if self.earlier.is_some() => self.begin(),
                Some(submit) = clients.recv() => self.submit(submit),
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
            self.handle(Event::TimerFired { token });
        }
    }

    pub fn handle_message(&mut self, note: DispatcherCommand) {
        match note {
            DispatcherCommand::Event(Event::EndpointList(news)) => self.list_news(news),
            DispatcherCommand::Event(mut event) => {
                if let Event::AttemptEnded {
                    id,
                    attempt,
                    endpoint,
                    outcome,
                    completed: closed,
                    ..
                } = &mut event
                {
                    // Guards a message whose answer came after its time: that delivers nothing, and its end is still owed.
                    let late = self
                        .open
                        .get(id)
                        .is_some_and(|o| self.clock.now() >= o.expires);
                    *closed &= !(late && *outcome == Outcome::Delivered);
                    self.actors.call_ended(self.clock.now(), *endpoint);
                    self.forget_if_over(*endpoint);
                    self.attempt_ended(*id, *attempt, *outcome, *closed);
                }
                self.handle(event);
            }
            DispatcherCommand::ReportsAcknowledged(serials) => {
                for serial in serials {
                    let heard = self.pending_reports.remove(&serial);
                    let written = self.journal.ended(serial);
                    self.written(written);
                    heard
                        .flatten()
                        .into_iter()
                        .for_each(|id| self.handle(Event::ReportAcknowledged { id }));
                }
            }
        }
    }

    fn written(&self, result: std::io::Result<()>) {
        if let Err(problem) = result {
            error!(self.log, "the journal was not written"; "problem" => %problem);
        }
    }

    fn list_news(&mut self, news: EndpointListUpdate) {
        match &news {
            EndpointListUpdate::Complete(entries) | EndpointListUpdate::Cached(entries) => {
                self.list_whole(entries)
            }
            EndpointListUpdate::Changes(entries) => self.list_changes(entries),
            EndpointListUpdate::Failed => {}
        }
        self.handle(Event::EndpointList(news));
        self.begin();
    }

    /// Both tables are built from the sorted whole, which packs them: line by line they would take twice the room.
    fn list_whole(&mut self, entries: &[EndpointEntry]) {
        self.named
            .append(&mut entries.iter().map(|e| e.destination).collect());
        let now_listed = entries
            .iter()
            .map(|e| (e.endpoint, ListedEndpoint::from(e)))
            .collect();
        let before = std::mem::replace(&mut self.listed, now_listed);
        for (endpoint, listing) in before {
            if let Entry::Vacant(missing) = self.listed.entry(endpoint) {
                missing.insert(ListedEndpoint {
                    standing: EndpointStatus::Removed,
                    ..listing
                });
                self.forget_if_over(endpoint);
            }
        }
        entries.iter().for_each(|e| self.forget_if_over(e.endpoint));
    }

    /// The work follows what is told, not what is listed.
    fn list_changes(&mut self, entries: &[EndpointEntry]) {
        for entry in entries {
            self.named.insert(entry.destination);
            self.listed.insert(entry.endpoint, entry.into());
            self.forget_if_over(entry.endpoint);
        }
    }

    /// An endpoint that has gone stays as long as a call is out there.
    fn forget_if_over(&mut self, endpoint: EndpointId) {
        let gone = self
            .listed
            .get(&endpoint)
            .is_some_and(|l| l.standing == EndpointStatus::Removed);
        if gone && self.actors.calls(endpoint) == 0 {
            self.listed.remove(&endpoint);
            self.actors.end(endpoint);
        }
    }

    fn attempt_ended(&mut self, id: MessageId, attempt: u8, outcome: Outcome, over: bool) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        open.out.retain(|(t, _)| *t != attempt);
        let serial = open.serial;
        let written = match over && !open.ended {
            true => {
                open.ended = true;
                self.journal.ended(serial)
            }
            false if open.ended => Ok(()),
            false if outcome == Outcome::WithdrawnBeforeSend => {
                open.attempts = u32::from(attempt);
                self.journal.attempt_taken_back(serial, attempt)
            }
            false => self
                .journal
                .attempt_ended(serial, attempt, outcome.may_have_taken_effect()),
        };
        self.written(written);
        self.close(id);
    }

    /// Forgets a message once it is over and none of its attempts is out.
    fn close(&mut self, id: MessageId) {
        if self
            .open
            .get(&id)
            .is_some_and(|o| o.ended && o.out.is_empty())
        {
            if let Some(open) = self.open.remove(&id) {
                self.ids.remove(&open.submitted.request_id);
            }
        }
    }

    fn submit(
        &mut self,
        SubmissionRequest {
            mut submitted,
            received_at,
            answer,
        }: SubmissionRequest,
    ) {
        // Guards against work for a client that has left: nothing is taken on yet.
        if answer.is_closed() {
            return;
        }
        // Guards against two messages from one: a client whose answer was lost on the way sends the same id again.
        if let Some(open) = self
            .ids
            .get(&submitted.request_id)
            .and_then(|id| self.open.get(id))
        {
            let of = |h: &SubmittedMessage| {
                (
                    h.class,
                    h.destination,
                    h.key,
                    h.idempotency_key.clone(),
                    h.body.clone(),
                )
            };
            let same = of(&open.submitted) == of(&submitted);
            let _ = answer.send(if same {
                SubmissionAnswer::Accepted
            } else {
                SubmissionAnswer::ConflictingContent
            });
            return;
        }
        if !self.named.contains(&submitted.destination) {
            let _ = answer.send(SubmissionAnswer::UnknownDestination);
            return;
        }
        // Its time runs from its last byte, not from its turn in the inbox.
        submitted.left = submitted.left.saturating_sub(micros(received_at.elapsed()));
        let (expires, ordered) = (self.clock.now() + submitted.left, submitted.key.is_some());
        let kept = kept(&submitted, expires);
        // The room of the configuration counts at the door, as it does before the core on the simulator's wire.
        if self.open.len() >= self.config.message_capacity as usize || !self.journal.has_room(&kept)
        {
            // A client that has left hears nothing, and nothing is owed to it.
            let _ = answer.send(SubmissionAnswer::NoCapacity);
            return;
        }
        let serial = match self.journal.accept(kept) {
            Ok(serial) => serial,
            Err(problem) => {
                error!(self.log, "a packet could not be kept"; "problem" => %problem);
                let _ = answer.send(SubmissionAnswer::NoCapacity);
                return;
            }
        };
        let id = self.new_id();
        let arrival = arrival(id, &submitted, AttemptHistory::default());
        self.keep(
            id,
            InFlightMessage {
                serial,
                submitted,
                expires,
                attempts: 0,
                out: Vec::new(),
                ended: false,
            },
        );
        let refused = self.decide(Event::Submitted(arrival), Some(id));
        if refused.is_some() {
            // Its end is the client's own answer: nothing is owed to the platform.
            self.finish(id, None);
            self.later
                .extend(ordered.then_some(Event::ReportAcknowledged { id }));
        }
        if answer
            .send(refused.unwrap_or(SubmissionAnswer::Accepted))
            .is_err()
            && refused.is_none()
        {
            debug!(self.log, "a client left before its answer");
            self.finish(id, None);
            self.handle(Event::Withdrawn { id });
        }
        self.follow_up();
    }

    fn keep(&mut self, id: MessageId, open: InFlightMessage) {
        self.ids.insert(open.submitted.request_id.clone(), id);
        self.open.insert(id, open);
    }

    fn new_id(&mut self) -> MessageId {
        loop {
            self.next_id = self.next_id.wrapping_add(1);
            if !self.open.contains_key(&MessageId(self.next_id)) {
                return MessageId(self.next_id);
            }
        }
    }

    /// Takes over from an earlier process once the list is in: without one its messages have nowhere to go.
    pub fn take_over(&mut self, messages: Vec<StoredMessage>) {
        self.earlier = Some(messages);
        if !self.listed.is_empty() {
            self.begin();
        }
    }

    fn begin(&mut self) {
        if let Some(messages) = self.earlier.take() {
            self.restore(messages);
            self.up.store(true, Ordering::Relaxed);
        }
    }

    /// Gives the core the messages of an earlier process, with what is known of their attempts.
    fn restore(&mut self, messages: Vec<StoredMessage>) {
        let now = self.clock.now();
        for kept in messages {
            let id = self.new_id();
            if let Some(ending) = kept.pending_report {
                let ordered = kept.key.map(OrderKey).map(|key| {
                    self.handle(Event::PendingReport {
                        id,
                        class: DeliveryClassId(kept.class),
                        key,
                    });
                    id
                });
                self.owe(kept.serial, kept.request_id, ending, ordered);
                continue;
            }
            // Guards rule 2 against a clock that was set back: an attempt that began later than now proves no window.
            let began = |at: Micros| if at > now { 0 } else { at };
            let possible_effect = kept.exposed.map(|(at, zone)| PossibleEffect {
                sent_at: began(at),
                zone: ZoneId(zone),
            });
            let past = AttemptHistory {
                attempts: kept.attempts,
                possible_effect,
            };
            let submitted = SubmittedMessage {
                request_id: kept.request_id,
                class: DeliveryClassId(kept.class),
                tenant: kept.tenant.map(TenantId),
                destination: DestinationId(kept.destination),
                left: kept.expires.saturating_sub(now),
                idempotency_key: kept.idempotency_key,
                key: kept.key,
                again: kept.again,
                orphan: kept.orphan,
                body: kept.body,
            };
            let arrival = Submission {
                resubmitted: true,
                ..arrival(id, &submitted, past)
            };
            let (serial, expires, attempts) = (kept.serial, kept.expires, kept.attempts);
            self.keep(
                id,
                InFlightMessage {
                    serial,
                    submitted,
                    expires,
                    attempts,
                    out: Vec::new(),
                    ended: false,
                },
            );
            self.handle(Event::Submitted(arrival));
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

    /// Asks the core and carries out its actions; gives the end of the message that is just being handed in.
    fn decide(&mut self, event: Event, submitted: Option<MessageId>) -> Option<SubmissionAnswer> {
        let now = self.clock.now();
        let mut actions = Vec::new();
        let forwarder = &mut self.forwarder;
        let message = if let Event::Submitted(arrival) = &event {
            Some(arrival.id)
        } else {
            None
        };
        if catch_unwind(AssertUnwindSafe(|| {
            forwarder.handle(now, event, &mut actions)
        }))
        .is_err()
        {
            match (self.beginning, message) {
                (false, _) => self.begin_anew(),
                // The message itself is what the core can't bear.
                (true, Some(id)) => self.finish(id, Some(Ending::Failed)),
                (true, None) => {}
            }
            return None;
        }
        let mut refused = None;
        for action in actions {
            match action {
                Action::Fail { id } if Some(id) == submitted => {
                    refused = Some(SubmissionAnswer::Failed)
                }
                Action::Reject { id, retry_after } if Some(id) == submitted => {
                    refused = Some(SubmissionAnswer::Rejected { retry_after });
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
            for (attempt, endpoint) in open.out {
                self.post(endpoint, EndpointCommand::Cancel { id, attempt });
            }
        }
        self.beginning = true;
        let listed = self
            .listed
            .iter()
            .map(|(endpoint, listed)| listed.listing(*endpoint))
            .collect();
        self.decide(
            Event::EndpointList(EndpointListUpdate::Cached(listed)),
            None,
        );
        let messages = self.journal.after_restart();
        self.restore(messages);
        self.beginning = false;
    }

    fn carry_out(&mut self, now: Micros, action: Action) {
        match action {
            Action::Send {
                id,
                endpoint,
                timeout: limit,
                send_by,
            } => {
                self.send(now, id, endpoint, limit, self.clock.at(send_by));
            }
            Action::Fail { id } => self.finish(id, Some(Ending::Failed)),
            Action::Reject { id, retry_after } => {
                self.finish(id, Some(Ending::Rejected { retry_after }))
            }
            Action::SetTimer { after, token } => {
                self.next_alarm += 1;
                self.alarms.insert((now + after, self.next_alarm, token));
            }
            Action::HealthCheck { endpoint } => {
                if !self.post(endpoint, EndpointCommand::HealthCheck) {
                    let outcome = Outcome::NoConnection;
                    self.later.push_back(Event::HealthCheckEnded {
                        endpoint,
                        outcome,
                        took: 0,
                        report: Vec::new(),
                    });
                }
            }
            Action::Cancel { id, attempt } => {
                let out = self
                    .open
                    .get(&id)
                    .and_then(|o| o.out.iter().find(|(t, _)| *t == attempt));
                if let Some((_, endpoint)) = out.copied() {
                    self.post(endpoint, EndpointCommand::Cancel { id, attempt });
                }
            }
            Action::WithdrawUnsent { endpoint } => {
                self.post_to_known(endpoint, EndpointCommand::WithdrawUnsent)
            }
            Action::CloseIdleConnections { endpoint } => {
                self.post_to_known(endpoint, EndpointCommand::CloseIdle)
            }
            Action::WatchEndpointList { on } => self.ask_list(EndpointListCommand::Watch(on)),
            Action::FetchEndpointList => self.ask_list(EndpointListCommand::Fetch),
            Action::SendGossip {
                peer,
                payload: message,
            } => {
                if self
                    .gossip
                    .try_send(GossipDatagram {
                        peer,
                        payload: message,
                    })
                    .is_err()
                {
                    warn!(self.log, "a gossip message to a peer is dropped");
                }
            }
            Action::Log(event) => log_event(&self.log, &event),
            Action::LogError(text) => error!(self.log, "{}", text),
        }
    }

    fn ask_list(&mut self, note: EndpointListCommand) {
        if self.list.try_send(note).is_err() {
            self.later
                .push_back(Event::EndpointList(EndpointListUpdate::Failed));
        }
    }

    /// Where nothing ever went there is nothing to do.
    fn post_to_known(&mut self, endpoint: EndpointId, note: EndpointCommand) {
        if self.actors.is_running(endpoint) {
            self.post(endpoint, note);
        }
    }

    fn post(&mut self, endpoint: EndpointId, note: EndpointCommand) -> bool {
        self.listed.contains_key(&endpoint) && self.actors.post(self.clock.now(), endpoint, note)
    }

    fn send(
        &mut self,
        now: Micros,
        id: MessageId,
        endpoint: EndpointId,
        limit: Option<Micros>,
        send_by: Instant,
    ) {
        let zone = self.listed.get(&endpoint).map_or(0, |l| l.zone.0);
        let Some(open) = self.open.get_mut(&id).filter(|o| !o.ended) else {
            error!(self.log, "the core sends a packet that is over");
            return;
        };
        let attempt = open.attempts.min(u32::from(u8::MAX)) as u8;
        open.attempts += 1;
        let left = open.expires.saturating_sub(now);
        let call = AttemptRequest {
            id,
            attempt,
            request_id: open.submitted.request_id.clone(),
            idempotency_key: open.submitted.idempotency_key.clone(),
            body: open.submitted.body.clone(),
            timeout: Duration::from_micros(limit.map_or(left, |l| l.min(left))),
            send_by,
        };
        let serial = open.serial;
        let kept = self.journal.attempt_started(serial, attempt, now, zone);
        let written = kept.is_ok();
        self.written(kept);
        if written && self.post(endpoint, EndpointCommand::StartAttempt(Box::new(call))) {
            self.actors.call_begun(endpoint);
            self.open
                .entry(id)
                .and_modify(|o| o.out.push((attempt, endpoint)));
            return;
        }
        // Nothing has gone out.
        let outcome = Outcome::NotAttempted { no_permit: false };
        if written {
            let ended = self.journal.attempt_ended(serial, attempt, false);
            self.written(ended);
        }
        let (took, closed, report) = (0, false, Vec::new());
        self.later.push_back(Event::AttemptEnded {
            id,
            attempt,
            endpoint,
            outcome,
            took,
            completed: closed,
            report,
        });
    }

    /// The end of a message, told to the platform unless its client hears it in its own answer.
    fn finish(&mut self, id: MessageId, ending: Option<Ending>) {
        let Some(open) = self.open.get_mut(&id).filter(|o| !o.ended) else {
            return;
        };
        open.ended = true;
        let (serial, request_id) = (open.serial, open.submitted.request_id.clone());
        let ordered = open.submitted.key.is_some();
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

    /// An end to be told; `ordered` is the message's id where the core waits for it to be heard.
    fn owe(&mut self, serial: u64, request_id: String, ending: Ending, ordered: Option<MessageId>) {
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

fn kept(submitted: &SubmittedMessage, expires: Micros) -> StoredMessage {
    StoredMessage {
        serial: 0,
        request_id: submitted.request_id.clone(),
        class: submitted.class.0,
        tenant: submitted.tenant.map(|t| t.0),
        destination: submitted.destination.0,
        expires,
        idempotency_key: submitted.idempotency_key.clone(),
        again: submitted.again,
        orphan: submitted.orphan,
        body: submitted.body.clone(),
        key: submitted.key,
        attempts: 0,
        exposed: None,
        out: Vec::new(),
        pending_report: None,
    }
}

fn arrival(id: MessageId, submitted: &SubmittedMessage, past: AttemptHistory) -> Submission {
    Submission {
        id,
        class: submitted.class,
        tenant: submitted.tenant.unwrap_or(NO_TENANT),
        key: submitted.key.map(OrderKey),
        time_left: submitted.left,
        destination: submitted.destination,
        resubmitted: submitted.again,
        history: past,
    }
}

/// Writes what the core wants in the log, with its values as fields.
fn log_event(log: &Logger, event: &LogEvent) {
    match event {
        LogEvent::EndpointEjected {
            destination,
            endpoint,
            reason,
        } => {
            info!(log, "endpoint ejected"; "destination" => destination.0, "endpoint" => %address(*endpoint), "reason" => %reason)
        }
        LogEvent::EndpointReadmitted {
            destination,
            endpoint,
        } => {
            info!(log, "endpoint readmitted"; "destination" => destination.0, "endpoint" => %address(*endpoint))
        }
        LogEvent::UnreadableGossip { peer, problem } => {
            warn!(log, "gossip message ignored"; "forwarder" => peer, "problem" => problem)
        }
    }
}

mod endpoints;

#[cfg(test)]
mod tests;
