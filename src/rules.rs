//! Every decision of opalpulley. A front calls `Forwarder::new(config, seed)` once, then `handle(now, event,
//! &mut actions)` for each event, in order, and carries out the actions. Three parts talk by notes only:
//! `Forwarder` (loop, message book, slots), `Destination` (queue, cap, pace, hold) and its `Endpoint`s (places,
//! outcomes, probing, drain, cold ramp). `Mailboxes` has one for each; `Forwarder::settle` empties them.
//! `lists` applies the membership list; `idle` holds destinations out of use as summaries.

mod idle;
mod lists;

use crate::latency::LatencyEstimator;
use crate::model::*;
use crate::policy::gossip::Gossip;
use crate::policy::list_polling::ListPoller;
use crate::queue::{DispatchQueue, MessageGroup, QueueEntry};
use crate::token_bucket::{SlowStartBudget, TokenBucket};
use idle::IdleTable;
pub use idle::StateCounts;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const SECOND: f64 = 1e6; // µs
const TICK: Micros = 25_000; // µs between looks at all timers: small beside any attempt, large beside its cost
const BASE_WAIT: Micros = 100_000; // µs before the first retry: the design's starting value
const LONGEST_WAIT: f64 = 0.25; // of expiry, the longest retry wait: the design's starting value
const JITTER: f64 = 0.5; // of a wait, added by chance at most: under 1, so that doubling waits still grow
const CAP_WELL: f64 = 0.75; // of the slots, for a destination that answers well: the design's share
const CAP_TROUBLED: f64 = 0.5; // of the slots, for one that fails or runs long: the design's share
const CAP_ALL_TROUBLED: f64 = 0.5; // of the slots, for all such together: the others keep the rest
const LAST_FEW: usize = 8; // outcomes that judge an endpoint: turns within seconds at a call a second
const ASIDE_SUCCESSES: usize = 4; // of the last few, fewer set it aside: most failing is an outage
const ASIDE_ROW: u32 = 3; // failures in a row that set it aside sooner: chance seldom makes three
const REFUSED_ROW: u32 = 4; // connections refused since an answer that prove nothing: tables are full
const SCANT_ROW: u32 = 2; // the same where the cold budget is scant: what hundreds retry adds up
const TROUBLED_FAILURES: usize = 2; // of the last few, for the lower share: one may be chance
const NEW_ANSWER: f64 = 0.125; // weight of an answer in the mean: some eight answers
const TAIL: f64 = 8.0; // mean deviations above the mean that an attempt may take: answers have long tails
const FEW: f64 = 3.0; // answers from which an endpoint's own count alone: one can be odd, three seldom are
const SILENCE: Micros = 1_000_000; // µs without answer that mean nothing yet: over any short pause
const LONE: f64 = 2.0; // patiences with an attempt that no later call has passed: less is known of it
const NEW_REFUSED: f64 = 0.03; // weight of an attempt in the part without a connection: some thirty attempts
const SCARCE: f64 = 0.002; // part of all attempts without a connection from which none is kept: one in a hundred
const PLACES: f64 = 2.0; // calls at once, times what the listed rate keeps busy: as many again in its queue
const FIRST_PLACES: usize = 4; // calls at once, the fewest places: enough to learn from
const FIRST_REST: f64 = 1.0; // calls' time at the known capacity, the first rest after a refusal: one's room
const FIRST_SHARE: f64 = 0.5; // of an even share's time, the same where more share: a second makes it whole
const EVEN_REST: f64 = 0.8; // even shares' time, the rest at start: shares are not quite even
const MOST_REST: f64 = 2.0; // even shares' time, the longest rest: refusals may be others' doing
const CUT: f64 = 0.85; // of the pace, after a refusal at an even share's: mild, for one refusal tells little
const EASE: f64 = 4.0; // seconds in which a rest shrinks to a third: a few refusals' weight
const EASE_RESTS: f64 = 24.0; // rests, the same where calls are few: a rest learned is kept for some calls
const CATCH_UP: f64 = 0.05; // seconds of missed pace that may go at once: two looks
const CATCH_REST: f64 = 0.5; // rests, the same: chance puts as much on a rest
const COLD_MARGIN: f64 = 0.8; // of the cold budget that is used: capacity is only estimated, by others too
const SCANT: f64 = 0.25; // calls an overload window, an even part of the cold budget that is next to nothing
const EARNED: f64 = 1.5; // even halves, most that own arrivals add: with the other half, the whole budget
const RIDER: f64 = 0.15; // calls, what a further message in a call weighs while cold: it is a little work
const MESSAGE_TRIES: f64 = 0.25; // chance that a message tries in a health check's stead: health checks may be what fails
const ROOM_USED: f64 = 0.95; // of the room that is used: the door must not turn work away blindly
const SHARE_BURST: f64 = 2.0; // seconds of a tenant's share that may come at once: arrivals are uneven
const COME_BACK: Micros = 1_000_000; // µs that a client is asked to stay away where no hold tells better
type Attempt = (EndpointId, Micros); // its endpoint, and when it was sent

struct DecisionContext<'a> {
    now: Micros,
    config: &'a Config,
    rng: &'a mut Pcg64Mcg,
    mailboxes: &'a mut Mailboxes,
    scarce: bool,                // connections are refused here and there
    times: &'a LatencyEstimator, // answer times over all endpoints
}

impl<'a> DecisionContext<'a> {
    fn row(&self, class: usize) -> &'a DeliveryClassConfig {
        &self.config.classes[class]
    }
    fn enqueue(&mut self, note: ToForwarder) {
        self.mailboxes.forwarder.push_back(note);
    }
}

/// The mailboxes of all parts; `Forwarder::settle` empties them within the event that filled them.
#[derive(Default)]
struct Mailboxes {
    forwarder: VecDeque<ToForwarder>,
    destinations: VecDeque<(DestinationId, ToDestination)>,
    endpoints: VecDeque<(EndpointId, ToEndpoint)>,
}

enum ToForwarder {
    Do(Action),
    Ended {
        id: MessageId,
        answered: bool,
    },
    Unclear {
        key: OrderKey,
    },
    Bid {
        destination: DestinationId,
        gain: f64,
    },
    State {
        destination: DestinationId,
        state: Option<State>,
    },
}

enum ToDestination {
    Take(Message),
    Turn(MessageId),
    Over {
        id: MessageId,
        endpoint: EndpointId,
        outcome: Outcome,
        took: Micros,
        closed: bool,
    },
    Withdrawn(MessageId),
    Listed {
        endpoint: EndpointId,
        rate: f64,
    },
    Left(EndpointId),
    Card {
        endpoint: EndpointId,
        card: Card,
    },
    Tick {
        patiences: f64,
    },
    AtLimit,
    WaitTold {
        endpoint: EndpointId,
        wait: Micros,
    },
    Offer,
    Award,
    Shed,
}

enum ToEndpoint {
    Listed {
        zone: ZoneId,
        standing: EndpointStatus,
        fee: f64,
    },
    Board,
    Over {
        sent: Micros,
        outcome: Outcome,
        took: Micros,
    },
    Probed {
        outcome: Outcome,
    },
    Tick {
        capacity: f64,
        demand: f64,
        held: bool,
    },
    Held {
        shut: bool,
    },
}

#[derive(Clone, Copy)]
struct State {
    calls: usize,
    troubled: bool,
    waiting: usize,
}

#[derive(Clone, Copy, Default, PartialEq)]
struct Card {
    zone: u16,
    fee: f64,
    leaning: f64, // by chance, so that forwarders that know little do not all choose the same endpoint
    open: usize,
    calls: usize,
    ready: bool,
    aside: bool,
    troubled: bool,
    still: bool, // no call, health check or ramp is under way: nothing changes here with time
    answer_time: f64,
    attempt_time: f64,
}

#[derive(Default)]
struct Message {
    id: MessageId,
    class: usize,
    weight: f64,
    due: Micros,
    expires: Micros,
    attempts: u32,
    key: Option<OrderKey>,
    turn: bool,
    exposed: Option<(Micros, u16)>, // the earliest attempt that may have run: when sent, in which zone
    ready_at: Micros,
    out: Option<Attempt>,
    called_off: bool,
    over: bool,
}

impl Message {
    fn weight_at(&self, at: f64, config: &Config) -> f64 {
        let row = &config.classes[self.class];
        let late = (at - self.due as f64).max(0.0);
        let span = (self.expires.saturating_sub(self.due) as f64).max(1.0);
        let kept = match config.priority_decay {
            _ if at >= self.expires as f64 => 0.0,
            PriorityDecay::Exponential => (-late / (row.latency_objective as f64).max(1.0))
                .exp2()
                .max(row.late_weight_share),
            PriorityDecay::Linear => 1.0 - (1.0 - row.late_weight_share) * late / span,
        };
        self.weight * kept
    }

    fn last_send(&self, config: &Config) -> Micros {
        match (config.classes[self.class].semantics, self.exposed) {
            _ if self.attempts >= config.max_attempts => 0, // also those of an earlier life
            (DeliverySemantics::IdempotencyKeyed { window, .. }, Some((first, _))) => {
                self.expires.min(first.saturating_add(window))
            }
            (DeliverySemantics::AtMostOnce, Some(_)) => 0,
            _ => self.expires,
        }
    }

    fn entry(&self, config: &Config) -> QueueEntry {
        let (last_send, row) = (self.last_send(config), &config.classes[self.class]);
        let bound = matches!(
            row.semantics,
            DeliverySemantics::IdempotencyKeyed {
                scope: DeduplicationScope::Zone,
                ..
            }
        );
        let zone = self.exposed.map(|(_, zone)| zone).filter(|_| bound);
        let [span, last] = [self.expires, last_send].map(|t| t as i64 - self.due as i64);
        let rank = MessageGroup {
            class: self.class,
            weight_bits: self.weight.to_bits(),
            due_to_deadline: span,
            due_to_last_send: last,
            zone,
        };
        QueueEntry {
            id: self.id,
            group: rank,
            due: self.due,
            last_send,
            ready_at: self.ready_at,
            is_released: self.turn,
        }
    }

    /// µs that its attempt may take: each takes twice the time of the one before, for some messages are heavy.
    fn patience(&self, card: &Card) -> f64 {
        card.attempt_time * f64::from(1u32 << self.attempts.saturating_sub(1).min(8))
    }

    /// How far ahead the loss is looked at: now, and on the scale of the shortest contract time.
    fn ahead(config: &Config) -> [f64; 4] {
        let ahead = config
            .classes
            .iter()
            .map(|r| r.latency_objective)
            .min()
            .unwrap_or(0) as f64;
        [0.0, ahead / 4.0, ahead, 3.0 * ahead]
    }

    /// What is lost by sending it somewhat later, on the scale of the shortest contract time.
    fn expected_loss(&self, now: Micros, answer_time: f64, config: &Config) -> f64 {
        let (now, last) = (now as f64, self.last_send(config) as f64);
        let at = |t| {
            if now + t < last {
                self.weight_at(now + t + answer_time, config)
            } else {
                0.0
            }
        };
        let [first, soon, later, late] = Message::ahead(config).map(at);
        first - (soon + later + late) / 3.0
    }
}

#[derive(Default)]
struct Gate {
    capacity: f64, // calls a second that it takes from all forwarders together, as told last
    rest: f64,     // µs between calls
    short: bool,   // a queue waited for the rest to pass
    eased: Micros,
    grown: Micros, // when it grew last
    next: Micros,  // when the next call may go
    held: Micros,
}

impl Gate {
    /// The capacity by a list's rate, and whether the list knows it.
    fn listed(rate: f64, config: &Config) -> (f64, bool) {
        let known = config.listed_rates != ListedRates::Unlisted && rate.is_finite() && rate > 0.0;
        (
            if known {
                rate
            } else {
                config.concurrency_limit.max(1).into()
            },
            known,
        )
    }

    fn fair_share(&self, config: &Config) -> f64 {
        f64::from(config.fleet_size.max(1)) * SECOND / self.capacity
    }

    fn ease(&mut self, now: Micros) {
        let passed = now.saturating_sub(self.eased) as f64 / SECOND;
        self.eased = now;
        if std::mem::take(&mut self.short) && now >= self.held {
            self.rest *= (-passed / EASE.max(EASE_RESTS * self.rest / SECOND)).exp();
        }
        self.rest *= f64::from(u8::from(
            self.rest >= FIRST_REST / 2.0 * SECOND / self.capacity,
        ));
    }

    /// Takes one call on: the next goes after the rest, give or take half, so that senders fall out of step.
    fn pass(&mut self, context: &mut DecisionContext) {
        let rest = self.rest * (0.5 + context.rng.random::<f64>());
        let missed = (CATCH_UP * SECOND).max(CATCH_REST * self.rest) as Micros;
        self.next = self.next.max(context.now.saturating_sub(missed)) + rest as Micros;
    }

    fn longest(config: &Config) -> f64 {
        LONGEST_WAIT
            * config
                .classes
                .iter()
                .map(|p| p.time_to_live)
                .max()
                .unwrap_or(0) as f64
    }

    /// Guards a limit against all who have yet to learn of it, each by a refusal: another has met one.
    fn heard(&mut self, context: &mut DecisionContext) {
        let rest = (EVEN_REST * self.fair_share(context.config)).min(Gate::longest(context.config));
        if self.rest < rest {
            (self.rest, self.grown) = (rest, context.now);
            self.next = self
                .next
                .max(context.now + (rest * context.rng.random::<f64>()) as Micros);
        }
    }

    /// Guards against refusals that breed refusals: each lengthens the rest between our calls.
    fn refused(&mut self, sent: Micros, context: &mut DecisionContext) {
        if sent >= self.grown {
            let fair_share = self.fair_share(context.config);
            let first = (FIRST_REST * SECOND / self.capacity).max(FIRST_SHARE * fair_share);
            let most = (MOST_REST * fair_share)
                .min(Gate::longest(context.config))
                .max(first);
            let mild = self.rest.max(EVEN_REST * fair_share) / CUT;
            self.rest = (2.0 * self.rest).min(mild).clamp(first, most);
            self.grown = context.now;
        }
        self.pass(context);
    }
}

#[derive(Default)]
struct Destination {
    id: DestinationId,
    apart: bool,
    per_call: usize,
    cards: BTreeMap<EndpointId, Card>, // a card an endpoint; emptied as endpoints go
    gates: BTreeMap<Option<EndpointId>, Gate>, // by route where apart; emptied as endpoints go and holds end
    messages: BTreeMap<MessageId, Message>, // messages waiting or out; each leaves with its final answer
    queue: DispatchQueue,                   // those of them that wait
    out: BTreeSet<MessageId>,               // the others
    pick: Option<EndpointId>,
    queued: Option<Micros>, // its place in the queue of those that may be summarised
}

impl Destination {
    fn handle_message(&mut self, note: ToDestination, context: &mut DecisionContext) {
        match note {
            ToDestination::Take(message) => {
                self.queue.insert(&message.entry(context.config));
                self.messages.insert(message.id, message);
                self.tick(1.0, LONE, context); // at once: it may have less time than the next look takes
            }
            ToDestination::Turn(id) => self.messages.get_mut(&id).into_iter().for_each(|message| {
                message.turn = true;
                self.queue.release(&message.entry(context.config));
            }),
            ToDestination::Over {
                id,
                endpoint,
                outcome,
                took,
                closed,
            } => {
                let out = self
                    .messages
                    .get_mut(&id)
                    .and_then(|p| p.out.take_if(|o| o.0 == endpoint));
                let Some((_, sent)) = out else { return };
                self.out.remove(&id);
                self.messages.entry(id).and_modify(|p| p.over |= closed);
                context.mailboxes.endpoints.push_back((
                    endpoint,
                    ToEndpoint::Over {
                        sent,
                        outcome,
                        took,
                    },
                ));
                self.attempt_over(id, (endpoint, sent), outcome, context);
            }
            ToDestination::Withdrawn(id) => match self.messages.get_mut(&id) {
                // Its attempt still runs: it keeps its turn and its place until the outcome has come.
                Some(message) if message.out.is_some() => message.over = true,
                Some(_) => self.end(id, None, context),
                None => {}
            },
            ToDestination::Left(endpoint) => drop(self.cards.remove(&endpoint)),
            ToDestination::Listed { endpoint, rate } => {
                self.cards.entry(endpoint).or_default();
                let gate = self
                    .gates
                    .entry(self.apart.then_some(endpoint))
                    .or_default();
                let (capacity, known) = Gate::listed(rate, context.config);
                gate.capacity = capacity;
                // Guards small destinations against the first messages of many: a wait so long loses nothing.
                if std::mem::replace(&mut gate.eased, context.now) == 0 {
                    let (rest, most) = (
                        EVEN_REST * gate.fair_share(context.config),
                        Message::ahead(context.config)[2],
                    );
                    gate.rest = if known || rest < most {
                        rest.min(most)
                    } else {
                        0.0
                    };
                }
            }
            ToDestination::Card { endpoint, card } => {
                _ = self.cards.entry(endpoint).and_modify(|c| *c = card)
            }
            ToDestination::Tick { patiences } => self.tick(0.0, patiences, context),
            // Not where routes are apart: each is at a limit of its own.
            ToDestination::AtLimit => self
                .gates
                .get_mut(&None)
                .into_iter()
                .for_each(|g| g.heard(context)),
            ToDestination::WaitTold { endpoint, wait } => {
                self.honour_retry_after(endpoint, wait, context)
            }
            ToDestination::Offer => self.bid(context),
            ToDestination::Award => self.carry(context),
            ToDestination::Shed => self.shed(context),
        }
        let known = !self.cards.is_empty() || self.gates.is_empty();
        let still = known && self.messages.is_empty() && self.cards.values().all(|c| c.still);
        let state = (!still).then(|| State {
            calls: self.cards.values().map(|c| c.calls).sum(),
            troubled: self.troubled(),
            waiting: self.queue.len(),
        });
        context.enqueue(ToForwarder::State {
            destination: self.id,
            state,
        });
    }

    fn waiting(&self, ids: Vec<MessageId>) -> impl Iterator<Item = &Message> {
        ids.into_iter().filter_map(|id| self.messages.get(&id))
    }

    fn held(&self) -> Micros {
        self.gates.values().map(|g| g.held).min().unwrap_or(0)
    }

    fn troubled(&self) -> bool {
        self.cards.values().any(|c| c.troubled)
    }

    fn end(&mut self, id: MessageId, answer: Option<Action>, context: &mut DecisionContext) {
        self.out.remove(&id);
        if let Some(message) = self.messages.remove(&id) {
            self.queue.remove(&message.entry(context.config));
        }
        let answered = answer.is_some();
        answer
            .into_iter()
            .for_each(|answer| context.enqueue(ToForwarder::Do(answer)));
        context.enqueue(ToForwarder::Ended { id, answered });
    }

    fn attempt_over(
        &mut self,
        id: MessageId,
        attempt: Attempt,
        outcome: Outcome,
        context: &mut DecisionContext,
    ) {
        let (endpoint, sent) = attempt;
        if let Outcome::Rejected { retry_after: wait } = outcome {
            self.honour_retry_after(endpoint, wait.unwrap_or(0), context);
            let gate = self.gates.get_mut(&self.apart.then_some(endpoint));
            gate.into_iter()
                .for_each(|gate| gate.refused(sent, context));
        }
        let Some(message) = self.messages.get_mut(&id) else {
            return;
        };
        let zone = self.cards.get(&endpoint).map_or(0, |c| c.zone);
        if let (Outcome::Timeout | Outcome::Reset | Outcome::Cancelled, Some(key)) =
            (outcome, message.key)
        {
            context.enqueue(ToForwarder::Unclear { key });
        }
        if outcome.may_have_taken_effect() && message.exposed.is_none() {
            message.exposed = Some((sent, zone));
        }
        if message.over || outcome == Outcome::Delivered {
            // What an endpoint did too late is over for it alone: the message's end is still owed.
            let owed = (!message.over).then_some(Action::Fail { id });
            return self.end(id, owed, context);
        }
        if outcome == Outcome::WithdrawnBeforeSend {
            message.attempts -= 1; // it keeps its place in the queue
            return self.queue.insert(&message.entry(context.config));
        }
        let longest = (LONGEST_WAIT * context.row(message.class).time_to_live as f64) as Micros;
        let wait = (BASE_WAIT << message.attempts.saturating_sub(1).min(20)).min(longest);
        // Guards against clumps that come due together: chance spreads them, and the waits still grow.
        message.ready_at =
            context.now + wait + (wait as f64 * JITTER * context.rng.random::<f64>()) as Micros;
        let entry = message.entry(context.config);
        self.queue.insert(&entry);
        if entry.ready_at >= entry.last_send {
            self.end(id, Some(Action::Fail { id }), context);
        }
    }

    /// A told wait binds all behind the gate from when it is heard: also calls chosen before it.
    fn honour_retry_after(
        &mut self,
        endpoint: EndpointId,
        wait: Micros,
        context: &mut DecisionContext,
    ) {
        let gate = self
            .gates
            .get_mut(&self.apart.then_some(endpoint))
            .filter(|_| wait > 0);
        let Some(gate) = gate else { return };
        gate.held = gate.held.max(context.now.saturating_add(wait));
        gate.next = gate.next.max(gate.held);
        // Guards a destination that is shut, for longer than a limit holds: all behind its gate are cold.
        let shut = wait > context.config.rules.overload_window;
        for t in self.cards.keys().filter(|t| !self.apart || **t == endpoint) {
            context
                .mailboxes
                .endpoints
                .push_back((*t, ToEndpoint::Held { shut }));
        }
    }

    fn tick(&mut self, demand: f64, patiences: f64, context: &mut DecisionContext) {
        let listed = |t: Option<EndpointId>| {
            t.map_or(!self.cards.is_empty(), |t| self.cards.contains_key(&t))
        };
        self.gates
            .retain(|t, gate| listed(*t) || gate.held > context.now);
        self.gates
            .values_mut()
            .for_each(|gate| gate.ease(context.now));
        let ready = self.cards.values().filter(|c| c.ready).count().max(1) as f64;
        for endpoint in self.cards.keys() {
            let Some(gate) = self.gates.get(&self.apart.then_some(*endpoint)) else {
                continue;
            };
            let capacity = gate.capacity / if self.apart { 1.0 } else { ready };
            let note = ToEndpoint::Tick {
                capacity,
                demand: demand / ready,
                held: context.now < gate.held,
            };
            context.mailboxes.endpoints.push_back((*endpoint, note));
        }
        let held = self.held();
        self.call_off(patiences, context);
        let over = |p: &&Message| {
            held >= p.expires || context.now + 2 * TICK >= p.last_send(context.config)
        };
        let by = held.max(context.now + 2 * TICK);
        let over: Vec<_> = self
            .waiting(self.queue.expiring_by(by))
            .filter(over)
            .map(|p| p.id)
            .collect();
        over.into_iter().for_each(|id| self.give_up(id, context));
    }

    /// Guards against attempts that get lost on the way; where nothing is answered they go on for longer.
    fn call_off(&mut self, patiences: f64, context: &mut DecisionContext) {
        for id in self.out.iter().filter(|_| context.config.may_cancel) {
            let message = self
                .messages
                .get_mut(id)
                .filter(|p| !p.called_off && !p.over);
            let Some((message, (endpoint, sent))) = message.and_then(|p| p.out.map(|o| (p, o)))
            else {
                continue;
            };
            let Some(card) = self.cards.get(&endpoint) else {
                continue;
            };
            let late = (context.now - sent) as f64 / message.patience(card);
            let binding = context.row(message.class).semantics == DeliverySemantics::AtMostOnce;
            if !card.aside && late > if binding { LONE * patiences } else { patiences } {
                message.called_off = true;
                context.enqueue(ToForwarder::Do(Action::Cancel {
                    id: *id,
                    attempt: (message.attempts - 1) as u8,
                }));
            }
        }
    }

    /// A final answer for a message that waits: deferred where trying again is harmless, else failed.
    fn give_up(&mut self, id: MessageId, context: &mut DecisionContext) {
        let Some(message) = self.messages.get(&id) else {
            return;
        };
        let harmless = message.exposed.is_none()
            || context.row(message.class).semantics == DeliverySemantics::Idempotent;
        let wait = COME_BACK.max(self.held().saturating_sub(context.now));
        let retry_after = wait.min(context.config.max_retry_after);
        // What was never sent on has not failed, however late it is.
        let answer =
            match harmless && (message.attempts == 0 || context.now + wait < message.expires) {
                true => Action::Reject {
                    id,
                    retry_after: context.config.may_send_retry_after.then_some(retry_after),
                },
                false => Action::Fail { id },
            };
        self.end(id, Some(answer), context);
    }

    fn shed(&mut self, context: &mut DecisionContext) {
        let weight = |p: &Message| p.weight_at(context.now as f64, context.config);
        let all = self.waiting(self.queue.expiring_by(Micros::MAX));
        let least = all.min_by(|a, b| weight(a).total_cmp(&weight(b)).then(b.due.cmp(&a.due)));
        least
            .map(|p| p.id)
            .into_iter()
            .for_each(|id| self.give_up(id, context));
    }

    /// The message that an endpoint should get next, and what is lost by leaving it.
    fn next_for(&self, card: &Card, context: &DecisionContext) -> Option<(MessageId, f64)> {
        let mut ids = Vec::new();
        for (rank, ranked) in self
            .queue
            .groups()
            .filter(|(r, _)| r.zone.is_none_or(|z| z == card.zone))
        {
            let (row, config) = (context.row(rank.class), context.config);
            // Guards binding messages against endpoints that lose what they take, while time remains.
            let late = context.now as i64 + (row.time_to_live / 4) as i64 - rank.due_to_deadline;
            let to = if row.semantics == DeliverySemantics::AtMostOnce && card.troubled {
                late - 1
            } else {
                i64::MAX
            };
            let from = (context.now + 2 * TICK) as i64 - rank.due_to_last_send + 1;
            let fade =
                -row.late_weight_share.max(f64::MIN_POSITIVE).log2() * row.latency_objective as f64;
            let cuts = || {
                rank.turning_points(
                    context.now as f64,
                    card.answer_time,
                    Message::ahead(config),
                    fade,
                )
            };
            DispatchQueue::candidates(ranked, from..=to, cuts, &mut ids);
        }
        self.waiting(ids)
            .map(|p| {
                (
                    p,
                    p.expected_loss(context.now, card.answer_time, context.config),
                )
            })
            .max_by(|(a, x), (b, y)| x.total_cmp(y).then(b.due.cmp(&a.due)).then(b.id.cmp(&a.id)))
            .map(|(p, loss)| (p.id, loss))
    }

    fn bid(&mut self, context: &mut DecisionContext) {
        self.pick = None;
        self.queue.promote_ready(context.now, |id| {
            self.messages.get(&id).map(|p| p.entry(context.config))
        });
        let share = if self.troubled() {
            CAP_TROUBLED
        } else {
            CAP_WELL
        };
        let cap = ((share * f64::from(context.config.concurrency_limit)) as usize).max(1);
        if self.cards.values().map(|c| c.calls).sum::<usize>() >= cap {
            return;
        }
        let mut able: Vec<(f64, EndpointId)> = Vec::new();
        for (endpoint, card) in self
            .cards
            .iter()
            .filter(|(_, card)| card.ready && card.open > 0)
        {
            match self.gates.get_mut(&self.apart.then_some(*endpoint)) {
                Some(gate) if context.now >= gate.held.max(gate.next) => {
                    // Cheapest route first, then the one with the most room for its pace.
                    let busy = card.calls as f64 + card.leaning;
                    able.push((
                        card.fee * SECOND * SECOND + card.answer_time * busy,
                        *endpoint,
                    ));
                }
                Some(gate) => gate.short = true,
                None => {}
            }
        }
        able.sort_by(|a, b| a.0.total_cmp(&b.0));
        // Slots are what is short: what is lost counts by the time that the call will hold one.
        // Guards messages in time against late ones, which lose no more by waiting: until a call is to spare.
        let spare = |t: EndpointId| {
            self.gates
                .get(&self.apart.then_some(t))
                .is_none_or(|g| context.now >= g.next + g.rest as Micros)
        };
        let next = |t: EndpointId| {
            let (id, loss) = self.next_for(&self.cards[&t], context)?;
            let goes = spare(t) || self.messages[&id].due > context.now;
            goes.then(|| (t, loss / self.cards[&t].answer_time.max(1.0)))
        };
        if let Some((endpoint, gain)) = able.into_iter().find_map(|(_, endpoint)| next(endpoint)) {
            self.pick = Some(endpoint);
            context.enqueue(ToForwarder::Bid {
                destination: self.id,
                gain,
            });
        }
    }

    fn carry(&mut self, context: &mut DecisionContext) {
        let Some(endpoint) = self.pick.take() else {
            return;
        };
        let Some(card) = self.cards.get(&endpoint).copied() else {
            return;
        };
        self.gates
            .entry(self.apart.then_some(endpoint))
            .and_modify(|gate| gate.pass(context));
        for _ in 0..self.per_call {
            let Some((id, _)) = self.next_for(&card, context) else {
                break;
            };
            let Some(message) = self.messages.get_mut(&id) else {
                break;
            };
            self.queue.remove(&message.entry(context.config));
            self.out.insert(id);
            message.attempts += 1;
            message.out = Some((endpoint, context.now));
            message.called_off = false;
            let row = context.row(message.class);
            // Guards the slots against calls that hang: they take twice as long as one that is cancelled.
            let most = (LONE * LONE * message.patience(&card)).min(row.time_to_live as f64 / 2.0);
            let limit = match row.semantics {
                // A binding message is lost with its attempt: an early time-out gains nothing.
                DeliverySemantics::AtMostOnce => None,
                DeliverySemantics::Idempotent => Some(most as Micros),
                DeliverySemantics::IdempotencyKeyed { window, .. } => {
                    Some((most as Micros).min(window / 2))
                }
            };
            let limit = limit.map(|l| l.clamp(1, message.expires - context.now));
            context
                .mailboxes
                .endpoints
                .push_back((endpoint, ToEndpoint::Board));
            let send_by = message.last_send(context.config).saturating_sub(2 * TICK);
            context.enqueue(ToForwarder::Do(Action::Send {
                id,
                endpoint,
                timeout: limit,
                send_by,
            }));
        }
    }
}

/// Well; ejected (`Probed` once a call may be tried); or withdrawn cold, since then.
#[derive(Clone, Copy, PartialEq, Default)]
enum Health {
    #[default]
    Well,
    Aside,
    Probed,
    Warming(Micros),
}

struct Call {
    sent: Micros,
    riders: usize,
    judged: bool,
}

#[derive(Default)]
struct Endpoint {
    id: EndpointId,
    destination: DestinationId,
    per_call: usize,
    standing: EndpointStatus,
    card: Card,
    calls: Vec<Call>,       // calls under way; each leaves with its last outcome
    recent: VecDeque<bool>, // successes among the last few outcomes, at most `LAST_FEW`
    failures: u32,
    refusals: u32,     // connections, since the last answer
    row_since: Micros, // when their row began
    health: Health,
    capacity: f64,
    budget: SlowStartBudget, // calls that the cold budget still allows
    times: LatencyEstimator,
    answered: Micros,
    next_health_check: Micros,
}

impl Endpoint {
    fn leaning(rng: &mut Pcg64Mcg) -> f64 {
        rng.random_range(0.5..1.5)
    }

    fn handle_message(&mut self, note: ToEndpoint, context: &mut DecisionContext) {
        let before = self.card;
        match note {
            ToEndpoint::Listed {
                zone,
                standing,
                fee,
            } => {
                self.take_back(standing != EndpointStatus::Ready, context);
                // Guards an endpoint that goes and comes back while it may be cold: it is not forgotten so soon.
                let rest = if standing == EndpointStatus::Removed {
                    context.config.rules.warm_up_time
                } else {
                    0
                };
                self.next_health_check = context.now.saturating_add(rest);
                (self.card.zone, self.standing, self.card.fee) = (zone.0, standing, fee);
                self.card.leaning = Endpoint::leaning(context.rng);
            }
            ToEndpoint::Board => match self.calls.last_mut() {
                Some(call) if call.sent == context.now && call.riders < self.per_call => {
                    call.riders += 1;
                    self.budget.calls -= RIDER;
                }
                _ => {
                    self.calls.push(Call {
                        sent: context.now,
                        riders: 1,
                        judged: false,
                    });
                    self.budget.calls -= 1.0;
                    if self.health == Health::Probed && context.config.may_health_check {
                        self.health = Health::Aside;
                    }
                }
            },
            ToEndpoint::Over {
                sent,
                outcome,
                took,
            } => {
                let Some(place) = self.calls.iter().position(|c| c.sent == sent) else {
                    return;
                };
                let call = &mut self.calls[place];
                call.riders -= 1;
                let first = !std::mem::replace(&mut call.judged, true);
                if call.riders == 0 {
                    self.calls.remove(place);
                }
                // Guards an endpoint's connections against many forwarders that each keep one and seldom use it.
                if self.calls.is_empty() && context.scarce {
                    context.enqueue(ToForwarder::Do(Action::CloseIdleConnections {
                        endpoint: self.id,
                    }));
                }
                if first {
                    self.judge(outcome, took, context);
                }
            }
            ToEndpoint::Probed { outcome } => {
                self.next_health_check = if self.standing == EndpointStatus::Removed {
                    self.next_health_check
                } else {
                    context.now
                };
                if self.health == Health::Aside && outcome == Outcome::Delivered {
                    self.health = Health::Probed;
                }
            }
            ToEndpoint::Held { shut } => {
                self.take_back(true, context);
                if shut {
                    self.set_aside(EjectionReason::LongRetryAfter, context);
                }
            }
            ToEndpoint::Tick {
                capacity,
                demand,
                held,
            } => {
                self.capacity = capacity;
                self.tick(demand, held, context);
            }
        }
        let card = self.card(context);
        if card != before {
            let note = ToDestination::Card {
                endpoint: self.id,
                card,
            };
            context
                .mailboxes
                .destinations
                .push_back((self.destination, note));
        }
    }

    /// Guards what binds from now on against calls and health checks chosen before: what has yet to go comes back.
    fn take_back(&self, bound: bool, context: &mut DecisionContext) {
        if bound && (!self.calls.is_empty() || self.next_health_check == Micros::MAX) {
            context.enqueue(ToForwarder::Do(Action::WithdrawUnsent {
                endpoint: self.id,
            }));
        }
    }

    fn judge(&mut self, outcome: Outcome, took: Micros, context: &mut DecisionContext) {
        self.row_since = if self.failures == 0 {
            context.now
        } else {
            self.row_since
        };
        self.refusals *= u32::from(!matches!(
            outcome,
            Outcome::Delivered | Outcome::Rejected { .. }
        ));
        let passing = context.now < self.answered + 2 * SILENCE && self.refusals < REFUSED_ROW;
        match outcome {
            // Guards against taking a full connection table for an outage: others of our calls got through.
            Outcome::NoConnection if passing => return self.refusals += 1,
            Outcome::WithdrawnBeforeSend => {
                return self.budget.calls = (self.budget.calls + 1.0).min(1.0)
            }
            Outcome::NotAttempted { .. } => return,
            Outcome::Cancelled if !self.fair_share(context.now, context.config).1 => return,
            Outcome::Delivered => {
                (self.answered, self.failures) = (context.now, 0);
                self.times.observe(took as f64, NEW_ANSWER);
                if self.aside() {
                    self.health = Health::Warming(context.now);
                    self.recent.clear();
                    let event = LogEvent::EndpointReadmitted {
                        destination: self.destination,
                        endpoint: self.id,
                    };
                    context.enqueue(ToForwarder::Do(Action::Log(event)));
                }
            }
            Outcome::Rejected { .. } => {
                (self.answered, self.failures) = (context.now, self.failures + 1)
            }
            _ => self.failures += 1,
        }
        if !matches!(outcome, Outcome::Rejected { .. }) {
            self.recent.push_front(outcome == Outcome::Delivered);
            self.recent.truncate(LAST_FEW);
        }
        let successes = self.recent.iter().filter(|s| **s).count();
        let most_fail = self.recent.len() == LAST_FEW && successes < ASIDE_SUCCESSES;
        let full = matches!(outcome, Outcome::Rejected { .. });
        let scant = !full && self.fair_share(context.now, context.config).1;
        // Guards a destination at its limit against being taken for a shut one: that lasts longer.
        let span = if full {
            context.config.rules.overload_window
        } else {
            0
        };
        let row =
            self.failures.max(self.refusals) >= ASIDE_ROW && context.now >= self.row_since + span;
        if row || scant && self.failures >= SCANT_ROW || most_fail {
            self.set_aside(EjectionReason::Failures, context);
        }
    }

    fn set_aside(&mut self, reason: EjectionReason, context: &mut DecisionContext) {
        if !self.aside() {
            let event = LogEvent::EndpointEjected {
                destination: self.destination,
                endpoint: self.id,
                reason,
            };
            context.enqueue(ToForwarder::Do(Action::Log(event)));
            // By chance, for forwarders that set it aside together are not to try it together.
            self.budget = SlowStartBudget::new(context.rng.random(), context.now);
        }
        self.health = if context.config.may_health_check {
            Health::Aside
        } else {
            Health::Probed
        };
        self.recent.clear();
    }

    /// Part of its capacity that it may get from all forwarders while it may be cold.
    /// Guards a returning destination against being pushed over: nobody sees it return.
    fn cold(&self, now: Micros, rules: &RuleConfig) -> f64 {
        let warmth = match self.health {
            Health::Warming(since) => (now - since) as f64 / rules.warm_up_time.max(1) as f64,
            _ => 0.0,
        };
        COLD_MARGIN
            * rules.overload_multiple
            * (rules.cold_capacity_share + (1.0 - rules.cold_capacity_share) * warmth.min(1.0))
    }

    /// An even part of that, calls a second, and whether it is scant: then half of it goes with own arrivals.
    fn fair_share(&self, now: Micros, config: &Config) -> (f64, bool) {
        let even =
            self.cold(now, &config.rules) * self.capacity / f64::from(config.fleet_size.max(1));
        let scant = even * (config.rules.overload_window as f64) < SCANT * SECOND;
        (if scant { even / 2.0 } else { even }, scant)
    }

    fn tick(&mut self, demand: f64, held: bool, context: &mut DecisionContext) {
        let (even, scant) = self.fair_share(context.now, context.config);
        if self.health != Health::Well {
            let own = if scant {
                demand / 2.0 * self.cold(context.now, &context.config.rules)
            } else {
                0.0
            };
            self.budget.refill(context.now, even, own, EARNED * even);
        }
        // Guards against all that a hold has kept back: they must not come at once when it ends.
        if held && self.budget.calls >= 1.0 {
            self.budget.calls = context.rng.random();
        }
        if matches!(self.health, Health::Warming(s) if context.now >= s + context.config.rules.warm_up_time)
        {
            self.health = Health::Well;
        }
        // Guards against work sunk into an endpoint that takes calls and answers none.
        if self.health == Health::Well && self.silent(context.now, self.card.attempt_time) >= 2 {
            self.set_aside(EjectionReason::Silence, context);
        }
        let may =
            context.config.may_health_check && self.standing == EndpointStatus::Ready && !held;
        if may
            && self.health == Health::Aside
            && context.now >= self.next_health_check
            && self.budget.calls >= 1.0
        {
            // A message serves as the health check where a second call would come late, else by chance.
            let late = even * Message::ahead(context.config)[2] < SECOND;
            if scant || late || context.rng.random_bool(MESSAGE_TRIES) {
                return self.health = Health::Probed;
            }
            self.budget.calls -= 1.0;
            self.next_health_check = Micros::MAX; // until this one is answered
            context.enqueue(ToForwarder::Do(Action::HealthCheck { endpoint: self.id }));
        }
    }

    fn silent(&self, now: Micros, time: f64) -> usize {
        self.calls
            .iter()
            .filter(|c| c.sent >= self.answered && (now - c.sent) as f64 > time)
            .count()
    }

    fn aside(&self) -> bool {
        matches!(self.health, Health::Aside | Health::Probed)
    }

    fn places(&self, all: &LatencyEstimator) -> usize {
        let busy = self.capacity * self.times.blend_with(all, FEW, |t| t.mean) / SECOND;
        ((1.0 + PLACES * busy).ceil() as usize).max(FIRST_PLACES)
    }

    fn card(&mut self, context: &DecisionContext) -> Card {
        let all = context.times;
        let room = self.places(all).saturating_sub(self.calls.len());
        let cold = self.budget.calls as usize; // no less than nought
        let open = match self.health {
            Health::Well => room,
            Health::Aside => 0,
            Health::Probed | Health::Warming(_) => room.min(cold),
        };
        let failed = self.recent.iter().filter(|s| !**s).count();
        let late = self
            .times
            .blend_with(all, FEW, |t| t.mean + TAIL / 2.0 * t.deviation);
        let slow = late > 0.0 && self.silent(context.now, late) > 0;
        self.card = Card {
            open,
            calls: self.calls.len(),
            ready: self.standing == EndpointStatus::Ready,
            aside: self.aside(),
            troubled: self.aside() || slow || failed >= TROUBLED_FAILURES,
            still: self.calls.is_empty()
                && (self.health == Health::Well || self.fair_share(context.now, context.config).1),
            answer_time: self.times.blend_with(all, FEW, |t| t.mean),
            attempt_time: self
                .times
                .blend_with(all, FEW, |t| t.mean + TAIL * t.deviation)
                .max(SILENCE as f64),
            ..self.card
        };
        self.card
    }
}

#[derive(Default)]
struct Turns {
    queue: VecDeque<(MessageId, DestinationId)>,
    rest: Micros,
}

pub struct Forwarder {
    config: Config,
    rng: Pcg64Mcg,
    mailboxes: Mailboxes,
    book: BTreeMap<MessageId, (DestinationId, Option<OrderKey>)>, // an entry leaves with its message
    destinations: BTreeMap<DestinationId, Destination>, // emptied of those without endpoints, messages and holds
    endpoints: BTreeMap<EndpointId, Endpoint>, // emptied of those gone for the warm-up time and idle
    turns: BTreeMap<OrderKey, Turns>, // emptied of a key once its queue is empty and its rest over
    unheard: BTreeMap<MessageId, OrderKey>, // of ends told and not heard yet; each leaves as it is heard
    shares: Vec<TokenBucket>,               // what is left of each tenant's share
    states: BTreeMap<DestinationId, State>, // only where anything is under way: work follows these
    bids: Vec<(f64, DestinationId)>,
    look: Option<Micros>, // when the next look at all timers is due
    still: Micros,        // until when nothing is sent: it stood still
    list_poller: ListPoller,
    gossip: Gossip,
    refused: f64, // part of the latest attempts, over all endpoints, that got no connection
    times: LatencyEstimator, // answer times over all endpoints
    idle: IdleTable,
}

impl Forwarder {
    pub fn new(mut config: Config, seed: u64) -> Forwarder {
        config
            .classes
            .resize_with(config.classes.len().max(1), DeliveryClassConfig::default);
        let shares = config
            .tenants
            .iter()
            .map(|_| TokenBucket {
                tokens: f64::MAX,
                filled_at: 0,
            })
            .collect();
        Forwarder {
            config,
            rng: Pcg64Mcg::seed_from_u64(seed),
            mailboxes: Mailboxes::default(),
            book: BTreeMap::new(),
            destinations: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            turns: BTreeMap::new(),
            unheard: BTreeMap::new(),
            shares,
            states: BTreeMap::new(),
            bids: Vec::new(),
            look: None,
            still: 0,
            list_poller: ListPoller::default(),
            gossip: Gossip::default(),
            refused: 0.0,
            times: LatencyEstimator::default(),
            idle: IdleTable::default(),
        }
    }

    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        // Guards drains against a process that stood still: what it was told is read before it sends.
        if self
            .look
            .is_some_and(|due| now > due + self.config.rules.drain_grace / 2)
        {
            (self.look, self.still) = (Some(now), now + TICK);
        }
        self.list_poller
            .handle(now, &event, &self.config, &mut self.rng, actions);
        self.restore_for(now, &event);
        let most_summarised = idle::most_for(&event);
        match event {
            Event::EndpointList(news) => self.list(now, news, actions),
            Event::Submitted(arrival) => self.arrival(now, arrival),
            Event::AttemptEnded {
                id,
                endpoint,
                outcome,
                took,
                completed: closed,
                ..
            } => {
                if outcome == Outcome::Delivered {
                    self.times.observe(took as f64, NEW_ANSWER);
                }
                if outcome != Outcome::WithdrawnBeforeSend {
                    let refused = f64::from(u8::from(outcome == Outcome::NoConnection));
                    self.refused += NEW_REFUSED * (refused - self.refused);
                }
                let full = self
                    .endpoints
                    .get(&endpoint)
                    .filter(|_| matches!(outcome, Outcome::Rejected { .. }));
                actions.extend(full.and_then(|t| {
                    self.gossip
                        .announce_rejection(now, t.destination, &self.config)
                }));
                self.pass_on(
                    id,
                    ToDestination::Over {
                        id,
                        endpoint,
                        outcome,
                        took,
                        closed,
                    },
                );
            }
            Event::RetryAfterReceived {
                endpoint,
                retry_after: wait,
            } => {
                let to = self.endpoints.get(&endpoint).map(|t| t.destination);
                self.mailboxes
                    .destinations
                    .extend(to.map(|d| (d, ToDestination::WaitTold { endpoint, wait })));
            }
            Event::Withdrawn { id } => self.pass_on(id, ToDestination::Withdrawn(id)),
            Event::HealthCheckEnded {
                endpoint, outcome, ..
            } => {
                self.mailboxes
                    .endpoints
                    .push_back((endpoint, ToEndpoint::Probed { outcome }));
            }
            Event::ReportAcknowledged { id } => {
                let key = self.unheard.remove(&id);
                self.leave_turns(now, id, key);
            }
            Event::PendingReport { id, class, key } => {
                let row = self
                    .config
                    .classes
                    .get(class.0 as usize)
                    .filter(|row| row.ordered);
                if let Some(turns) = row.map(|_| self.turns.entry(key).or_default()) {
                    turns.queue.push_back((id, DestinationId::default()));
                    self.unheard.insert(id, key);
                }
            }
            Event::TimerFired {
                token: TimerToken(0),
            } => self.tick(now),
            Event::ShuttingDown => self.config.concurrency_limit = 0,
            Event::Gossip {
                from,
                payload: message,
            } => {
                let known = |at| self.destinations.contains_key(&at) || self.idle.holds(at);
                let at = self.gossip.receive(now, from, &message, known, actions);
                let full = at.filter(|at| !self.limit_idle(now, *at));
                self.mailboxes
                    .destinations
                    .extend(full.map(|at| (at, ToDestination::AtLimit)));
            }
            Event::TimerFired { .. } | Event::AttemptStarted { .. } => {}
        }
        self.settle(now, actions);
        self.deal(now, actions);
        self.summarise_idle(now, most_summarised);
        if !(self.look.is_some() || self.states.is_empty() && self.turns.is_empty()) {
            self.look = Some(now + TICK.max(self.config.scheduling_interval));
            actions.push(Action::SetTimer {
                after: TICK.max(self.config.scheduling_interval),
                token: TimerToken(0),
            });
        }
    }

    fn pass_on(&mut self, id: MessageId, note: ToDestination) {
        if let Some((destination, _)) = self.book.get(&id) {
            self.mailboxes.destinations.push_back((*destination, note));
        }
    }

    fn tick(&mut self, now: Micros) {
        self.look = None;
        // Guards the slots: while none is free, patience is shorter.
        let patiences = if self.calls_out().0 >= self.config.concurrency_limit as usize {
            1.0
        } else {
            LONE
        };
        let tick = |id: &DestinationId| (*id, ToDestination::Tick { patiences });
        self.mailboxes
            .destinations
            .extend(self.states.keys().map(tick));
        self.turns
            .retain(|_, t| !t.queue.is_empty() || t.rest > now);
        let keys: Vec<OrderKey> = self.turns.keys().copied().collect();
        keys.into_iter()
            .for_each(|key| self.pass_turn(now, Some(key)));
    }

    fn arrival(&mut self, now: Micros, arrival: Submission) {
        let class = (arrival.class.0 as usize).min(self.config.classes.len() - 1);
        let row = &self.config.classes[class];
        let mut weight = row.priority_weight;
        let tenant = arrival.tenant.0 as usize;
        if let (Some(share), Some(told)) =
            (self.shares.get_mut(tenant), self.config.tenants.get(tenant))
        {
            // Traffic over a tenant's share is weight little: its part here is taken as an even one.
            let rate = told.quota / f64::from(self.config.fleet_size.max(1));
            share.refill(now, rate, rate * SHARE_BURST);
            match share.tokens >= 1.0 {
                true => share.tokens -= 1.0,
                false => weight *= self.config.over_quota_weight,
            }
        }
        let key = arrival.key.filter(|_| row.ordered);
        let (destination, expires) = (arrival.destination, now + arrival.time_left);
        // Guards messages with far less time than usual: they are wanted while they last, not late.
        let short = !arrival.resubmitted && arrival.time_left <= row.latency_objective;
        let due = if short {
            expires
        } else {
            (expires + row.latency_objective).saturating_sub(row.time_to_live)
        };
        let (id, turn, ready_at) = (arrival.id, key.is_none(), now);
        let AttemptHistory {
            attempts,
            possible_effect: exposed,
        } = arrival.history;
        let past = Message {
            attempts,
            exposed: exposed.map(|effect| (effect.sent_at, effect.zone.0)),
            ..Message::default()
        };
        let message = Message {
            id,
            class,
            weight,
            due,
            expires,
            key,
            turn,
            ready_at,
            ..past
        };
        if let Some(turns) = key.map(|key| self.turns.entry(key).or_default()) {
            turns.queue.push_back((id, destination));
            // Guards the order over a restart: an attempt of an earlier life may still run.
            let rest = if exposed.is_some() {
                now + self.config.rules.order_settle_time
            } else {
                0
            };
            turns.rest = turns.rest.max(rest);
        }
        self.book.insert(id, (destination, key));
        self.destinations.entry(destination).or_default().id = destination;
        self.mailboxes
            .destinations
            .push_back((destination, ToDestination::Take(message)));
        self.pass_turn(now, key);
        // Guards against a full room, whose door is blind: the longest queue gives up its least weight.
        if self.book.len() as f64 > ROOM_USED * f64::from(self.config.message_capacity) {
            let longest = self
                .states
                .iter()
                .max_by_key(|(_, s)| s.waiting)
                .map(|(id, _)| *id);
            self.mailboxes
                .destinations
                .extend(longest.map(|id| (id, ToDestination::Shed)));
        }
    }

    fn leave_turns(&mut self, now: Micros, id: MessageId, key: Option<OrderKey>) {
        if let Some(turns) = key.and_then(|key| self.turns.get_mut(&key)) {
            turns.queue.retain(|(waiting, _)| *waiting != id);
        }
        self.pass_turn(now, key);
    }

    fn pass_turn(&mut self, now: Micros, key: Option<OrderKey>) {
        let Some(turns) = key.and_then(|k| self.turns.get(&k)) else {
            return;
        };
        if let (true, Some((id, destination))) = (turns.rest <= now, turns.queue.front()) {
            self.mailboxes
                .destinations
                .push_back((*destination, ToDestination::Turn(*id)));
        }
    }

    fn settle(&mut self, now: Micros, actions: &mut Vec<Action>) {
        loop {
            let Forwarder {
                config,
                rng,
                mailboxes,
                endpoints,
                destinations,
                refused,
                times,
                ..
            } = self;
            let mut context = DecisionContext {
                now,
                config,
                rng,
                mailboxes,
                scarce: *refused > SCARCE,
                times,
            };
            if let Some((id, note)) = context.mailboxes.endpoints.pop_front() {
                if let Some(endpoint) = endpoints.get_mut(&id) {
                    endpoint.handle_message(note, &mut context);
                }
            } else if let Some((id, note)) = context.mailboxes.destinations.pop_front() {
                if let Some(destination) = destinations.get_mut(&id) {
                    destination.handle_message(note, &mut context);
                }
            } else if let Some(note) = context.mailboxes.forwarder.pop_front() {
                self.handle_message(now, note, actions);
            } else {
                return;
            }
        }
    }

    fn handle_message(&mut self, now: Micros, note: ToForwarder, actions: &mut Vec<Action>) {
        match note {
            ToForwarder::Do(action) => actions.push(action),
            ToForwarder::Ended { id, answered } => {
                let key = self.book.remove(&id).and_then(|(_, key)| key);
                // Guards the order against a call that overtakes the end of the message before it.
                match key.filter(|_| {
                    answered && self.config.order_release == OrderRelease::OnAcknowledgement
                }) {
                    Some(key) => _ = self.unheard.insert(id, key),
                    None => self.leave_turns(now, id, key),
                }
            }
            ToForwarder::Unclear { key } => {
                if let Some(turns) = self.turns.get_mut(&key) {
                    turns.rest = turns.rest.max(now + self.config.rules.order_settle_time);
                }
            }
            ToForwarder::Bid { destination, gain } => self.bids.push((gain, destination)),
            ToForwarder::State {
                destination,
                state: Some(s),
            } => {
                self.states.insert(destination, s);
                self.leave_queue(destination);
            }
            ToForwarder::State {
                destination,
                state: None,
            } => {
                self.states.remove(&destination);
                let empty = |d: &Destination| d.cards.is_empty() && d.messages.is_empty();
                if self.destinations.get(&destination).is_some_and(empty) {
                    self.leave_queue(destination);
                    self.destinations.remove(&destination);
                }
                self.join_queue(now, destination);
            }
        }
    }

    fn calls_out(&self) -> (usize, usize) {
        let calls = |s: &State| (s.calls, if s.troubled { s.calls } else { 0 });
        self.states
            .values()
            .map(calls)
            .fold((0, 0), |(all, bad), (a, b)| (all + a, bad + b))
    }

    /// Offers free slots until no queue wants one: the message that loses most by waiting goes first.
    fn deal(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let slots = if now < self.still {
            0
        } else {
            self.config.concurrency_limit as usize
        };
        let troubled_cap = ((CAP_ALL_TROUBLED * slots as f64) as usize).max(1);
        loop {
            let (out, out_troubled) = self.calls_out();
            let mut free = slots.saturating_sub(out);
            let mut free_troubled = troubled_cap.saturating_sub(out_troubled).min(free);
            let waiting = self
                .states
                .iter()
                .filter(|(_, s)| free > 0 && s.waiting > 0);
            self.mailboxes
                .destinations
                .extend(waiting.map(|(id, _)| (*id, ToDestination::Offer)));
            self.settle(now, actions);
            let mut bids = std::mem::take(&mut self.bids);
            bids.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
            let before = free;
            for (_, id) in bids {
                let troubled = self.states.get(&id).is_some_and(|s| s.troubled);
                if free == 0 || (troubled && free_troubled == 0) {
                    continue;
                }
                free -= 1;
                free_troubled -= usize::from(troubled);
                self.mailboxes
                    .destinations
                    .push_back((id, ToDestination::Award));
            }
            if free == before {
                return;
            }
            self.settle(now, actions);
        }
    }
}
