//! Every decision of opalpulley. A front calls `Forwarder::new(config, seed)` once, then `handle(now, event,
//! &mut actions)` for each event, in order, and carries out the actions. Three parts talk by notes only:
//! `Forwarder` (loop, packet book, slots), `Destination` (queue, cap, pace, hold) and its `Target`s (places,
//! outcomes, probing, drain, cold ramp). `Mailboxes` has one for each; `Forwarder::settle` empties them.
//! `lists` applies the membership list; `idle` holds destinations out of use as summaries.

mod idle;
mod lists;

use crate::bucket::{Bucket, ColdBudget};
use crate::gossip::Gossip;
use crate::interface::*;
use crate::membership::ListPoller;
use crate::queue::{DispatchQueue, Entry, Rank};
use crate::times::Times;
use idle::IdleTable;
pub use idle::StateCounts;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const SECOND: f64 = 1e6; // µs
const TICK: Micros = 25_000; // µs between looks at all timers: small beside any trip, large beside its cost
const BASE_WAIT: Micros = 100_000; // µs before the first retry: the design's starting value
const LONGEST_WAIT: f64 = 0.25; // of expiry, the longest retry wait: the design's starting value
const JITTER: f64 = 0.5; // of a wait, added by chance at most: under 1, so that doubling waits still grow
const CAP_WELL: f64 = 0.75; // of the slots, for a destination that answers well: the design's share
const CAP_TROUBLED: f64 = 0.5; // of the slots, for one that fails or runs long: the design's share
const CAP_ALL_TROUBLED: f64 = 0.5; // of the slots, for all such together: the others keep the rest
const LAST_FEW: usize = 8; // outcomes that judge a target: turns within seconds at a call a second
const ASIDE_SUCCESSES: usize = 4; // of the last few, fewer set it aside: most failing is an outage
const ASIDE_ROW: u32 = 3; // failures in a row that set it aside sooner: chance seldom makes three
const REFUSED_ROW: u32 = 4; // connections refused since an answer that prove nothing: tables are full
const SCANT_ROW: u32 = 2; // the same where the cold budget is scant: what hundreds retry adds up
const TROUBLED_FAILURES: usize = 2; // of the last few, for the lower share: one may be chance
const NEW_ANSWER: f64 = 0.125; // weight of an answer in the mean: some eight answers
const TAIL: f64 = 8.0; // mean deviations above the mean that a trip may take: answers have long tails
const FEW: f64 = 3.0; // answers from which a target's own count alone: one can be odd, three seldom are
const SILENCE: Micros = 1_000_000; // µs without answer that mean nothing yet: over any short pause
const LONE: f64 = 2.0; // patiences with a trip that no later call has passed: less is known of it
const NEW_REFUSED: f64 = 0.03; // weight of a trip in the part without a connection: some thirty trips
const SCARCE: f64 = 0.002; // part of all trips without a connection from which none is kept: one in a hundred
const PLACES: f64 = 2.0; // calls at once, times what the listed rate keeps busy: as many again in its queue
const FIRST_PLACES: usize = 4; // calls at once, the fewest places: enough to learn from
const FIRST_REST: f64 = 1.0; // calls' time at the known capacity, the first rest after a refusal: one's room
const FIRST_SHARE: f64 = 0.5; // of an even share's time, the same where more share: a second makes it whole
const EVEN_REST: f64 = 0.8; // even shares' time, the rest at start: shares are not quite even
const MOST_REST: f64 = 2.0; // even shares' time, the longest rest: refusals may be others' doing
const CUT: f64 = 0.85; // of the pace, after a refusal at an even share's: mild, for one refusal tells little
const EASE: f64 = 4.0; // seconds in which a rest shrinks to a third: a few refusals' worth
const EASE_RESTS: f64 = 24.0; // rests, the same where calls are few: a rest learned is kept for some calls
const CATCH_UP: f64 = 0.05; // seconds of missed pace that may go at once: two looks
const CATCH_REST: f64 = 0.5; // rests, the same: chance puts as much on a rest
const COLD_MARGIN: f64 = 0.8; // of the cold budget that is used: capacity is only estimated, by others too
const SCANT: f64 = 0.25; // calls an overload window, an even part of the cold budget that is next to nothing
const EARNED: f64 = 1.5; // even halves, most that own arrivals add: with the other half, the whole budget
const RIDER: f64 = 0.15; // calls, what a further packet in a call weighs while cold: it is a little work
const PACKET_TRIES: f64 = 0.25; // chance that a packet tries in a probe's stead: probes may be what fails
const ROOM_USED: f64 = 0.95; // of the room that is used: the door must not turn work away blindly
const SHARE_BURST: f64 = 2.0; // seconds of a tenant's share that may come at once: arrivals are uneven
const COME_BACK: Micros = 1_000_000; // µs that a client is asked to stay away where no hold tells better
type Attempt = (TargetId, Micros); // its target, and when it was sent

struct DecisionContext<'a> {
    now: Micros,
    config: &'a Config,
    rng: &'a mut Pcg64Mcg,
    mailboxes: &'a mut Mailboxes,
    scarce: bool,     // connections are refused here and there
    times: &'a Times, // answer times over all targets
}

impl<'a> DecisionContext<'a> {
    fn row(&self, profile: usize) -> &'a ProfileConfig {
        &self.config.profiles[profile]
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
    targets: VecDeque<(TargetId, ToTarget)>,
}

enum ToForwarder {
    Do(Action),
    Ended {
        id: PacketId,
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
    Take(Packet),
    Turn(PacketId),
    Over {
        id: PacketId,
        target: TargetId,
        outcome: Outcome,
        took: Micros,
        closed: bool,
    },
    Withdrawn(PacketId),
    Listed {
        target: TargetId,
        rate: f64,
    },
    Left(TargetId),
    Card {
        target: TargetId,
        card: Card,
    },
    Tick {
        patiences: f64,
    },
    AtLimit,
    WaitTold {
        target: TargetId,
        wait: Micros,
    },
    Offer,
    Award,
    Shed,
}

enum ToTarget {
    Listed {
        zone: ZoneId,
        standing: Standing,
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
    leaning: f64, // by chance, so that forwarders that know little do not all choose the same target
    open: usize,
    calls: usize,
    ready: bool,
    aside: bool,
    troubled: bool,
    still: bool, // no call, probe or ramp is under way: nothing changes here with time
    answer_time: f64,
    trip_time: f64,
}

#[derive(Default)]
struct Packet {
    id: PacketId,
    profile: usize,
    worth: f64,
    due: Micros,
    expires: Micros,
    trips: u32,
    key: Option<OrderKey>,
    turn: bool,
    exposed: Option<(Micros, u16)>, // the earliest trip that may have run: when sent, in which zone
    ready_at: Micros,
    out: Option<Attempt>,
    called_off: bool,
    over: bool,
}

impl Packet {
    fn worth_at(&self, at: f64, config: &Config) -> f64 {
        let row = &config.profiles[self.profile];
        let late = (at - self.due as f64).max(0.0);
        let span = (self.expires.saturating_sub(self.due) as f64).max(1.0);
        let kept = match config.fading {
            _ if at >= self.expires as f64 => 0.0,
            Fading::Halving => (-late / (row.contract_time as f64).max(1.0))
                .exp2()
                .max(row.late_share),
            Fading::Evenly => 1.0 - (1.0 - row.late_share) * late / span,
        };
        self.worth * kept
    }

    fn last_send(&self, config: &Config) -> Micros {
        match (config.profiles[self.profile].effect, self.exposed) {
            _ if self.trips >= config.max_trips => 0, // also those of an earlier life
            (Effect::Fingerprinted { window, .. }, Some((first, _))) => {
                self.expires.min(first.saturating_add(window))
            }
            (Effect::Binding, Some(_)) => 0,
            _ => self.expires,
        }
    }

    fn entry(&self, config: &Config) -> Entry {
        let (last_send, row) = (self.last_send(config), &config.profiles[self.profile]);
        let bound = matches!(
            row.effect,
            Effect::Fingerprinted {
                group: RepeatGroup::Zone,
                ..
            }
        );
        let zone = self.exposed.map(|(_, zone)| zone).filter(|_| bound);
        let [span, last] = [self.expires, last_send].map(|t| t as i64 - self.due as i64);
        let rank = Rank {
            profile: self.profile,
            worth: self.worth.to_bits(),
            span,
            last,
            zone,
        };
        Entry {
            id: self.id,
            rank,
            due: self.due,
            last_send,
            ready_at: self.ready_at,
            turn: self.turn,
        }
    }

    /// µs that its trip may take: each takes twice the time of the one before, for some packets are heavy.
    fn patience(&self, card: &Card) -> f64 {
        card.trip_time * f64::from(1u32 << self.trips.saturating_sub(1).min(8))
    }

    /// How far ahead the loss is looked at: now, and on the scale of the shortest contract time.
    fn ahead(config: &Config) -> [f64; 4] {
        let ahead = config
            .profiles
            .iter()
            .map(|r| r.contract_time)
            .min()
            .unwrap_or(0) as f64;
        [0.0, ahead / 4.0, ahead, 3.0 * ahead]
    }

    /// What is lost by sending it somewhat later, on the scale of the shortest contract time.
    fn expected_loss(&self, now: Micros, answer_time: f64, config: &Config) -> f64 {
        let (now, last) = (now as f64, self.last_send(config) as f64);
        let at = |t| {
            if now + t < last {
                self.worth_at(now + t + answer_time, config)
            } else {
                0.0
            }
        };
        let [first, soon, later, late] = Packet::ahead(config).map(at);
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
        let known = config.list_rates != ListRates::Untold && rate.is_finite() && rate > 0.0;
        (
            if known {
                rate
            } else {
                config.slots.max(1).into()
            },
            known,
        )
    }

    fn fair_share(&self, config: &Config) -> f64 {
        f64::from(config.forwarders.max(1)) * SECOND / self.capacity
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
        LONGEST_WAIT * config.profiles.iter().map(|p| p.expiry).max().unwrap_or(0) as f64
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
    cards: BTreeMap<TargetId, Card>, // a card a target; emptied as targets go
    gates: BTreeMap<Option<TargetId>, Gate>, // by route where apart; emptied as targets go and holds end
    packets: BTreeMap<PacketId, Packet>, // packets waiting or out; each leaves with its final answer
    queue: DispatchQueue,                // those of them that wait
    out: BTreeSet<PacketId>,             // the others
    pick: Option<TargetId>,
    queued: Option<Micros>, // its place in the queue of those that may be summarised
}

impl Destination {
    fn handle_message(&mut self, note: ToDestination, context: &mut DecisionContext) {
        match note {
            ToDestination::Take(packet) => {
                self.queue.join(&packet.entry(context.config));
                self.packets.insert(packet.id, packet);
                self.tick(1.0, LONE, context); // at once: it may have less time than the next look takes
            }
            ToDestination::Turn(id) => self.packets.get_mut(&id).into_iter().for_each(|packet| {
                packet.turn = true;
                self.queue.turn(&packet.entry(context.config));
            }),
            ToDestination::Over {
                id,
                target,
                outcome,
                took,
                closed,
            } => {
                let out = self
                    .packets
                    .get_mut(&id)
                    .and_then(|p| p.out.take_if(|o| o.0 == target));
                let Some((_, sent)) = out else { return };
                self.out.remove(&id);
                self.packets.entry(id).and_modify(|p| p.over |= closed);
                context.mailboxes.targets.push_back((
                    target,
                    ToTarget::Over {
                        sent,
                        outcome,
                        took,
                    },
                ));
                self.trip_over(id, (target, sent), outcome, context);
            }
            ToDestination::Withdrawn(id) => match self.packets.get_mut(&id) {
                // Its trip still runs: it keeps its turn and its place until the outcome has come.
                Some(packet) if packet.out.is_some() => packet.over = true,
                Some(_) => self.end(id, None, context),
                None => {}
            },
            ToDestination::Left(target) => drop(self.cards.remove(&target)),
            ToDestination::Listed { target, rate } => {
                self.cards.entry(target).or_default();
                let gate = self.gates.entry(self.apart.then_some(target)).or_default();
                let (capacity, known) = Gate::listed(rate, context.config);
                gate.capacity = capacity;
                // Guards small destinations against the first packets of many: a wait so long loses nothing.
                if std::mem::replace(&mut gate.eased, context.now) == 0 {
                    let (rest, most) = (
                        EVEN_REST * gate.fair_share(context.config),
                        Packet::ahead(context.config)[2],
                    );
                    gate.rest = if known || rest < most {
                        rest.min(most)
                    } else {
                        0.0
                    };
                }
            }
            ToDestination::Card { target, card } => {
                _ = self.cards.entry(target).and_modify(|c| *c = card)
            }
            ToDestination::Tick { patiences } => self.tick(0.0, patiences, context),
            // Not where routes are apart: each is at a limit of its own.
            ToDestination::AtLimit => self
                .gates
                .get_mut(&None)
                .into_iter()
                .for_each(|g| g.heard(context)),
            ToDestination::WaitTold { target, wait } => {
                self.honour_retry_after(target, wait, context)
            }
            ToDestination::Offer => self.bid(context),
            ToDestination::Award => self.carry(context),
            ToDestination::Shed => self.shed(context),
        }
        let known = !self.cards.is_empty() || self.gates.is_empty();
        let still = known && self.packets.is_empty() && self.cards.values().all(|c| c.still);
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

    fn waiting(&self, ids: Vec<PacketId>) -> impl Iterator<Item = &Packet> {
        ids.into_iter().filter_map(|id| self.packets.get(&id))
    }

    fn held(&self) -> Micros {
        self.gates.values().map(|g| g.held).min().unwrap_or(0)
    }

    fn troubled(&self) -> bool {
        self.cards.values().any(|c| c.troubled)
    }

    fn end(&mut self, id: PacketId, answer: Option<Action>, context: &mut DecisionContext) {
        self.out.remove(&id);
        if let Some(packet) = self.packets.remove(&id) {
            self.queue.leave(&packet.entry(context.config));
        }
        let answered = answer.is_some();
        answer
            .into_iter()
            .for_each(|answer| context.enqueue(ToForwarder::Do(answer)));
        context.enqueue(ToForwarder::Ended { id, answered });
    }

    fn trip_over(
        &mut self,
        id: PacketId,
        trip: Attempt,
        outcome: Outcome,
        context: &mut DecisionContext,
    ) {
        let (target, sent) = trip;
        if let Outcome::Full { wait } = outcome {
            self.honour_retry_after(target, wait.unwrap_or(0), context);
            let gate = self.gates.get_mut(&self.apart.then_some(target));
            gate.into_iter()
                .for_each(|gate| gate.refused(sent, context));
        }
        let Some(packet) = self.packets.get_mut(&id) else {
            return;
        };
        let zone = self.cards.get(&target).map_or(0, |c| c.zone);
        if let (Outcome::Timeout | Outcome::Reset | Outcome::CalledOff, Some(key)) =
            (outcome, packet.key)
        {
            context.enqueue(ToForwarder::Unclear { key });
        }
        if outcome.may_have_run() && packet.exposed.is_none() {
            packet.exposed = Some((sent, zone));
        }
        if packet.over || outcome == Outcome::Delivered {
            // What a target did too late is over for it alone: the packet's end is still owed.
            let owed = (!packet.over).then_some(Action::WriteOff { id });
            return self.end(id, owed, context);
        }
        if outcome == Outcome::TakenBack {
            packet.trips -= 1; // it keeps its place in the queue
            return self.queue.join(&packet.entry(context.config));
        }
        let longest = (LONGEST_WAIT * context.row(packet.profile).expiry as f64) as Micros;
        let wait = (BASE_WAIT << packet.trips.saturating_sub(1).min(20)).min(longest);
        // Guards against clumps that come due together: chance spreads them, and the waits still grow.
        packet.ready_at =
            context.now + wait + (wait as f64 * JITTER * context.rng.random::<f64>()) as Micros;
        let entry = packet.entry(context.config);
        self.queue.join(&entry);
        if entry.ready_at >= entry.last_send {
            self.end(id, Some(Action::WriteOff { id }), context);
        }
    }

    /// A told wait binds all behind the gate from when it is heard: also calls chosen before it.
    fn honour_retry_after(
        &mut self,
        target: TargetId,
        wait: Micros,
        context: &mut DecisionContext,
    ) {
        let gate = self
            .gates
            .get_mut(&self.apart.then_some(target))
            .filter(|_| wait > 0);
        let Some(gate) = gate else { return };
        gate.held = gate.held.max(context.now.saturating_add(wait));
        gate.next = gate.next.max(gate.held);
        // Guards a destination that is shut, for longer than a limit holds: all behind its gate are cold.
        let shut = wait > context.config.rules.overload_for;
        for t in self.cards.keys().filter(|t| !self.apart || **t == target) {
            context
                .mailboxes
                .targets
                .push_back((*t, ToTarget::Held { shut }));
        }
    }

    fn tick(&mut self, demand: f64, patiences: f64, context: &mut DecisionContext) {
        let listed =
            |t: Option<TargetId>| t.map_or(!self.cards.is_empty(), |t| self.cards.contains_key(&t));
        self.gates
            .retain(|t, gate| listed(*t) || gate.held > context.now);
        self.gates
            .values_mut()
            .for_each(|gate| gate.ease(context.now));
        let ready = self.cards.values().filter(|c| c.ready).count().max(1) as f64;
        for target in self.cards.keys() {
            let Some(gate) = self.gates.get(&self.apart.then_some(*target)) else {
                continue;
            };
            let capacity = gate.capacity / if self.apart { 1.0 } else { ready };
            let note = ToTarget::Tick {
                capacity,
                demand: demand / ready,
                held: context.now < gate.held,
            };
            context.mailboxes.targets.push_back((*target, note));
        }
        let held = self.held();
        self.call_off(patiences, context);
        let over = |p: &&Packet| {
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

    /// Guards against trips that get lost on the way; where nothing is answered they go on for longer.
    fn call_off(&mut self, patiences: f64, context: &mut DecisionContext) {
        for id in self.out.iter().filter(|_| context.config.may_call_off) {
            let packet = self
                .packets
                .get_mut(id)
                .filter(|p| !p.called_off && !p.over);
            let Some((packet, (target, sent))) = packet.and_then(|p| p.out.map(|o| (p, o))) else {
                continue;
            };
            let Some(card) = self.cards.get(&target) else {
                continue;
            };
            let late = (context.now - sent) as f64 / packet.patience(card);
            let binding = context.row(packet.profile).effect == Effect::Binding;
            if !card.aside && late > if binding { LONE * patiences } else { patiences } {
                packet.called_off = true;
                context.enqueue(ToForwarder::Do(Action::CallOff {
                    id: *id,
                    trip: (packet.trips - 1) as u8,
                }));
            }
        }
    }

    /// A final answer for a packet that waits: deferred where trying again is harmless, else written off.
    fn give_up(&mut self, id: PacketId, context: &mut DecisionContext) {
        let Some(packet) = self.packets.get(&id) else {
            return;
        };
        let harmless =
            packet.exposed.is_none() || context.row(packet.profile).effect == Effect::Retriable;
        let wait = COME_BACK.max(self.held().saturating_sub(context.now));
        let come_back = wait.min(context.config.longest_return);
        // What was never sent on has not failed, however late it is.
        let answer = match harmless && (packet.trips == 0 || context.now + wait < packet.expires) {
            true => Action::Defer {
                id,
                come_back: context.config.may_say_when.then_some(come_back),
            },
            false => Action::WriteOff { id },
        };
        self.end(id, Some(answer), context);
    }

    fn shed(&mut self, context: &mut DecisionContext) {
        let worth = |p: &Packet| p.worth_at(context.now as f64, context.config);
        let all = self.waiting(self.queue.expiring_by(Micros::MAX));
        let least = all.min_by(|a, b| worth(a).total_cmp(&worth(b)).then(b.due.cmp(&a.due)));
        least
            .map(|p| p.id)
            .into_iter()
            .for_each(|id| self.give_up(id, context));
    }

    /// The packet that a target should get next, and what is lost by leaving it.
    fn next_for(&self, card: &Card, context: &DecisionContext) -> Option<(PacketId, f64)> {
        let mut ids = Vec::new();
        for (rank, ranked) in self
            .queue
            .ranks()
            .filter(|(r, _)| r.zone.is_none_or(|z| z == card.zone))
        {
            let (row, config) = (context.row(rank.profile), context.config);
            // Guards binding packets against targets that lose what they take, while time remains.
            let late = context.now as i64 + (row.expiry / 4) as i64 - rank.span;
            let to = if row.effect == Effect::Binding && card.troubled {
                late - 1
            } else {
                i64::MAX
            };
            let from = (context.now + 2 * TICK) as i64 - rank.last + 1;
            let fade = -row.late_share.max(f64::MIN_POSITIVE).log2() * row.contract_time as f64;
            let cuts = || {
                rank.cuts(
                    context.now as f64,
                    card.answer_time,
                    Packet::ahead(config),
                    fade,
                )
            };
            DispatchQueue::ends(ranked, from..=to, cuts, &mut ids);
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
        self.queue.wake(context.now, |id| {
            self.packets.get(&id).map(|p| p.entry(context.config))
        });
        let share = if self.troubled() {
            CAP_TROUBLED
        } else {
            CAP_WELL
        };
        let cap = ((share * f64::from(context.config.slots)) as usize).max(1);
        if self.cards.values().map(|c| c.calls).sum::<usize>() >= cap {
            return;
        }
        let mut able: Vec<(f64, TargetId)> = Vec::new();
        for (target, card) in self
            .cards
            .iter()
            .filter(|(_, card)| card.ready && card.open > 0)
        {
            match self.gates.get_mut(&self.apart.then_some(*target)) {
                Some(gate) if context.now >= gate.held.max(gate.next) => {
                    // Cheapest route first, then the one with the most room for its pace.
                    let busy = card.calls as f64 + card.leaning;
                    able.push((
                        card.fee * SECOND * SECOND + card.answer_time * busy,
                        *target,
                    ));
                }
                Some(gate) => gate.short = true,
                None => {}
            }
        }
        able.sort_by(|a, b| a.0.total_cmp(&b.0));
        // Slots are what is short: what is lost counts by the time that the call will hold one.
        // Guards packets in time against late ones, which lose no more by waiting: until a call is to spare.
        let spare = |t: TargetId| {
            self.gates
                .get(&self.apart.then_some(t))
                .is_none_or(|g| context.now >= g.next + g.rest as Micros)
        };
        let next = |t: TargetId| {
            let (id, loss) = self.next_for(&self.cards[&t], context)?;
            let goes = spare(t) || self.packets[&id].due > context.now;
            goes.then(|| (t, loss / self.cards[&t].answer_time.max(1.0)))
        };
        if let Some((target, gain)) = able.into_iter().find_map(|(_, target)| next(target)) {
            self.pick = Some(target);
            context.enqueue(ToForwarder::Bid {
                destination: self.id,
                gain,
            });
        }
    }

    fn carry(&mut self, context: &mut DecisionContext) {
        let Some(target) = self.pick.take() else {
            return;
        };
        let Some(card) = self.cards.get(&target).copied() else {
            return;
        };
        self.gates
            .entry(self.apart.then_some(target))
            .and_modify(|gate| gate.pass(context));
        for _ in 0..self.per_call {
            let Some((id, _)) = self.next_for(&card, context) else {
                break;
            };
            let Some(packet) = self.packets.get_mut(&id) else {
                break;
            };
            self.queue.leave(&packet.entry(context.config));
            self.out.insert(id);
            packet.trips += 1;
            packet.out = Some((target, context.now));
            packet.called_off = false;
            let row = context.row(packet.profile);
            // Guards the slots against calls that hang: they take twice as long as one that is called off.
            let most = (LONE * LONE * packet.patience(&card)).min(row.expiry as f64 / 2.0);
            let limit = match row.effect {
                // A binding packet is lost with its trip: an early time-out gains nothing.
                Effect::Binding => None,
                Effect::Retriable => Some(most as Micros),
                Effect::Fingerprinted { window, .. } => Some((most as Micros).min(window / 2)),
            };
            let limit = limit.map(|l| l.clamp(1, packet.expires - context.now));
            context
                .mailboxes
                .targets
                .push_back((target, ToTarget::Board));
            let begin_by = packet.last_send(context.config).saturating_sub(2 * TICK);
            context.enqueue(ToForwarder::Do(Action::Send {
                id,
                target,
                limit,
                begin_by,
            }));
        }
    }
}

/// Well; set aside (`Probed` once a call may be tried); or taken back cold, since then.
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
struct Target {
    id: TargetId,
    destination: DestinationId,
    per_call: usize,
    standing: Standing,
    card: Card,
    calls: Vec<Call>,       // calls under way; each leaves with its last outcome
    recent: VecDeque<bool>, // successes among the last few outcomes, at most `LAST_FEW`
    failures: u32,
    refusals: u32,     // connections, since the last answer
    row_since: Micros, // when their row began
    health: Health,
    capacity: f64,
    budget: ColdBudget, // calls that the cold budget still allows
    times: Times,
    answered: Micros,
    next_probe: Micros,
}

impl Target {
    fn leaning(rng: &mut Pcg64Mcg) -> f64 {
        rng.random_range(0.5..1.5)
    }

    fn handle_message(&mut self, note: ToTarget, context: &mut DecisionContext) {
        let before = self.card;
        match note {
            ToTarget::Listed {
                zone,
                standing,
                fee,
            } => {
                self.take_back(standing != Standing::Ready, context);
                // Guards a target that goes and comes back while it may be cold: it is not forgotten so soon.
                let rest = if standing == Standing::Gone {
                    context.config.rules.warm_after
                } else {
                    0
                };
                self.next_probe = context.now.saturating_add(rest);
                (self.card.zone, self.standing, self.card.fee) = (zone.0, standing, fee);
                self.card.leaning = Target::leaning(context.rng);
            }
            ToTarget::Board => match self.calls.last_mut() {
                Some(call) if call.sent == context.now && call.riders < self.per_call => {
                    call.riders += 1;
                    self.budget.left -= RIDER;
                }
                _ => {
                    self.calls.push(Call {
                        sent: context.now,
                        riders: 1,
                        judged: false,
                    });
                    self.budget.left -= 1.0;
                    if self.health == Health::Probed && context.config.may_probe {
                        self.health = Health::Aside;
                    }
                }
            },
            ToTarget::Over {
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
                // Guards a target's connections against many forwarders that each keep one and seldom use it.
                if self.calls.is_empty() && context.scarce {
                    context.enqueue(ToForwarder::Do(Action::CloseIdle { target: self.id }));
                }
                if first {
                    self.judge(outcome, took, context);
                }
            }
            ToTarget::Probed { outcome } => {
                self.next_probe = if self.standing == Standing::Gone {
                    self.next_probe
                } else {
                    context.now
                };
                if self.health == Health::Aside && outcome == Outcome::Delivered {
                    self.health = Health::Probed;
                }
            }
            ToTarget::Held { shut } => {
                self.take_back(true, context);
                if shut {
                    self.set_aside("it is shut", context);
                }
            }
            ToTarget::Tick {
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
                target: self.id,
                card,
            };
            context
                .mailboxes
                .destinations
                .push_back((self.destination, note));
        }
    }

    /// Guards what binds from now on against calls and probes chosen before: what has yet to go comes back.
    fn take_back(&self, bound: bool, context: &mut DecisionContext) {
        if bound && (!self.calls.is_empty() || self.next_probe == Micros::MAX) {
            context.enqueue(ToForwarder::Do(Action::TakeBack { target: self.id }));
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
            Outcome::Delivered | Outcome::Full { .. }
        ));
        let passing = context.now < self.answered + 2 * SILENCE && self.refusals < REFUSED_ROW;
        match outcome {
            // Guards against taking a full connection table for an outage: others of our calls got through.
            Outcome::NoConnection if passing => return self.refusals += 1,
            Outcome::TakenBack => return self.budget.left = (self.budget.left + 1.0).min(1.0),
            Outcome::Moot { .. } => return,
            Outcome::CalledOff if !self.fair_share(context.now, context.config).1 => return,
            Outcome::Delivered => {
                (self.answered, self.failures) = (context.now, 0);
                self.times.learn(took as f64, NEW_ANSWER);
                if self.aside() {
                    self.health = Health::Warming(context.now);
                    self.recent.clear();
                    self.log("taken back: it answers", context);
                }
            }
            Outcome::Full { .. } => {
                (self.answered, self.failures) = (context.now, self.failures + 1)
            }
            _ => self.failures += 1,
        }
        if !matches!(outcome, Outcome::Full { .. }) {
            self.recent.push_front(outcome == Outcome::Delivered);
            self.recent.truncate(LAST_FEW);
        }
        let successes = self.recent.iter().filter(|s| **s).count();
        let most_fail = self.recent.len() == LAST_FEW && successes < ASIDE_SUCCESSES;
        let full = matches!(outcome, Outcome::Full { .. });
        let scant = !full && self.fair_share(context.now, context.config).1;
        // Guards a destination at its limit against being taken for a shut one: that lasts longer.
        let span = if full {
            context.config.rules.overload_for
        } else {
            0
        };
        let row =
            self.failures.max(self.refusals) >= ASIDE_ROW && context.now >= self.row_since + span;
        if row || scant && self.failures >= SCANT_ROW || most_fail {
            self.set_aside("most calls fail", context);
        }
    }

    fn set_aside(&mut self, why: &str, context: &mut DecisionContext) {
        if !self.aside() {
            self.log(&format!("set aside: {why}"), context);
            // By chance, for forwarders that set it aside together are not to try it together.
            self.budget = ColdBudget::new(context.rng.random(), context.now);
        }
        self.health = if context.config.may_probe {
            Health::Aside
        } else {
            Health::Probed
        };
        self.recent.clear();
    }

    fn log(&self, what: &str, context: &mut DecisionContext) {
        let (destination, [a, b, c, d]) = (self.destination.0, self.id.address);
        let words = format!("destination {destination} target {a}.{b}.{c}.{d} {what}");
        context.enqueue(ToForwarder::Do(Action::Log(words)));
    }

    /// Part of its capacity that it may get from all forwarders while it may be cold.
    /// Guards a returning destination against being pushed over: nobody sees it return.
    fn cold(&self, now: Micros, rules: &RuleConfig) -> f64 {
        let warmth = match self.health {
            Health::Warming(since) => (now - since) as f64 / rules.warm_after.max(1) as f64,
            _ => 0.0,
        };
        COLD_MARGIN
            * rules.fall_multiple
            * (rules.cold_from + (1.0 - rules.cold_from) * warmth.min(1.0))
    }

    /// An even part of that, calls a second, and whether it is scant: then half of it goes with own arrivals.
    fn fair_share(&self, now: Micros, config: &Config) -> (f64, bool) {
        let even =
            self.cold(now, &config.rules) * self.capacity / f64::from(config.forwarders.max(1));
        let scant = even * (config.rules.overload_for as f64) < SCANT * SECOND;
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
            self.budget.fill(context.now, even, own, EARNED * even);
        }
        // Guards against all that a hold has kept back: they must not come at once when it ends.
        if held && self.budget.left >= 1.0 {
            self.budget.left = context.rng.random();
        }
        if matches!(self.health, Health::Warming(s) if context.now >= s + context.config.rules.warm_after)
        {
            self.health = Health::Well;
        }
        // Guards against work sunk into a target that takes calls and answers none.
        if self.health == Health::Well && self.silent(context.now, self.card.trip_time) >= 2 {
            self.set_aside("it keeps silent", context);
        }
        let may = context.config.may_probe && self.standing == Standing::Ready && !held;
        if may
            && self.health == Health::Aside
            && context.now >= self.next_probe
            && self.budget.left >= 1.0
        {
            // A packet serves as the probe where a second call would come late, else by chance.
            let late = even * Packet::ahead(context.config)[2] < SECOND;
            if scant || late || context.rng.random_bool(PACKET_TRIES) {
                return self.health = Health::Probed;
            }
            self.budget.left -= 1.0;
            self.next_probe = Micros::MAX; // until this one is answered
            context.enqueue(ToForwarder::Do(Action::Probe { target: self.id }));
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

    fn places(&self, all: &Times) -> usize {
        let busy = self.capacity * self.times.with(all, FEW, |t| t.mean) / SECOND;
        ((1.0 + PLACES * busy).ceil() as usize).max(FIRST_PLACES)
    }

    fn card(&mut self, context: &DecisionContext) -> Card {
        let all = context.times;
        let room = self.places(all).saturating_sub(self.calls.len());
        let cold = self.budget.left as usize; // no less than nought
        let open = match self.health {
            Health::Well => room,
            Health::Aside => 0,
            Health::Probed | Health::Warming(_) => room.min(cold),
        };
        let failed = self.recent.iter().filter(|s| !**s).count();
        let late = self
            .times
            .with(all, FEW, |t| t.mean + TAIL / 2.0 * t.deviation);
        let slow = late > 0.0 && self.silent(context.now, late) > 0;
        self.card = Card {
            open,
            calls: self.calls.len(),
            ready: self.standing == Standing::Ready,
            aside: self.aside(),
            troubled: self.aside() || slow || failed >= TROUBLED_FAILURES,
            still: self.calls.is_empty()
                && (self.health == Health::Well || self.fair_share(context.now, context.config).1),
            answer_time: self.times.with(all, FEW, |t| t.mean),
            trip_time: self
                .times
                .with(all, FEW, |t| t.mean + TAIL * t.deviation)
                .max(SILENCE as f64),
            ..self.card
        };
        self.card
    }
}

#[derive(Default)]
struct Turns {
    queue: VecDeque<(PacketId, DestinationId)>,
    rest: Micros,
}

pub struct Forwarder {
    config: Config,
    rng: Pcg64Mcg,
    mailboxes: Mailboxes,
    book: BTreeMap<PacketId, (DestinationId, Option<OrderKey>)>, // an entry leaves with its packet
    destinations: BTreeMap<DestinationId, Destination>, // emptied of those without targets, packets and holds
    targets: BTreeMap<TargetId, Target>, // emptied of those gone for the warm-up time and idle
    turns: BTreeMap<OrderKey, Turns>, // emptied of a key once its queue is empty and its rest over
    unheard: BTreeMap<PacketId, OrderKey>, // of ends told and not heard yet; each leaves as it is heard
    shares: Vec<Bucket>,                   // what is left of each tenant's share
    states: BTreeMap<DestinationId, State>, // only where anything is under way: work follows these
    bids: Vec<(f64, DestinationId)>,
    look: Option<Micros>, // when the next look at all timers is due
    still: Micros,        // until when nothing is sent: it stood still
    list_poller: ListPoller,
    gossip: Gossip,
    refused: f64, // part of the latest trips, over all targets, that got no connection
    times: Times, // answer times over all targets
    idle: IdleTable,
}

impl Forwarder {
    pub fn new(mut config: Config, seed: u64) -> Forwarder {
        config
            .profiles
            .resize_with(config.profiles.len().max(1), ProfileConfig::default);
        let shares = config
            .tenants
            .iter()
            .map(|_| Bucket {
                left: f64::MAX,
                filled: 0,
            })
            .collect();
        Forwarder {
            config,
            rng: Pcg64Mcg::seed_from_u64(seed),
            mailboxes: Mailboxes::default(),
            book: BTreeMap::new(),
            destinations: BTreeMap::new(),
            targets: BTreeMap::new(),
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
            times: Times::default(),
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
            Event::List(news) => self.list(now, news, actions),
            Event::Packet(arrival) => self.arrival(now, arrival),
            Event::TripEnded {
                id,
                target,
                outcome,
                took,
                closed,
                ..
            } => {
                if outcome == Outcome::Delivered {
                    self.times.learn(took as f64, NEW_ANSWER);
                }
                if outcome != Outcome::TakenBack {
                    let refused = f64::from(u8::from(outcome == Outcome::NoConnection));
                    self.refused += NEW_REFUSED * (refused - self.refused);
                }
                let full = self
                    .targets
                    .get(&target)
                    .filter(|_| matches!(outcome, Outcome::Full { .. }));
                actions.extend(
                    full.and_then(|t| self.gossip.refused(now, t.destination, &self.config)),
                );
                self.pass_on(
                    id,
                    ToDestination::Over {
                        id,
                        target,
                        outcome,
                        took,
                        closed,
                    },
                );
            }
            Event::WaitTold { target, wait } => {
                let to = self.targets.get(&target).map(|t| t.destination);
                self.mailboxes
                    .destinations
                    .extend(to.map(|d| (d, ToDestination::WaitTold { target, wait })));
            }
            Event::Withdrawn { id } => self.pass_on(id, ToDestination::Withdrawn(id)),
            Event::ProbeAnswered {
                target, outcome, ..
            } => {
                self.mailboxes
                    .targets
                    .push_back((target, ToTarget::Probed { outcome }));
            }
            Event::Heard { id } => {
                let key = self.unheard.remove(&id);
                self.leave_turns(now, id, key);
            }
            Event::PendingReport { id, profile, key } => {
                let row = self
                    .config
                    .profiles
                    .get(profile.0 as usize)
                    .filter(|row| row.in_order);
                if let Some(turns) = row.map(|_| self.turns.entry(key).or_default()) {
                    turns.queue.push_back((id, DestinationId::default()));
                    self.unheard.insert(id, key);
                }
            }
            Event::Alarm { token: Token(0) } => self.tick(now),
            Event::Closing => self.config.slots = 0,
            Event::Gossip { from, message } => {
                let known = |at| self.destinations.contains_key(&at) || self.idle.holds(at);
                let at = self.gossip.heard(now, from, &message, known, actions);
                let full = at.filter(|at| !self.limit_idle(now, *at));
                self.mailboxes
                    .destinations
                    .extend(full.map(|at| (at, ToDestination::AtLimit)));
            }
            Event::Alarm { .. } | Event::TripBegun { .. } => {}
        }
        self.settle(now, actions);
        self.deal(now, actions);
        self.summarise_idle(now, most_summarised);
        if !(self.look.is_some() || self.states.is_empty() && self.turns.is_empty()) {
            self.look = Some(now + TICK.max(self.config.round));
            actions.push(Action::Wake {
                after: TICK.max(self.config.round),
                token: Token(0),
            });
        }
    }

    fn pass_on(&mut self, id: PacketId, note: ToDestination) {
        if let Some((destination, _)) = self.book.get(&id) {
            self.mailboxes.destinations.push_back((*destination, note));
        }
    }

    fn tick(&mut self, now: Micros) {
        self.look = None;
        // Guards the slots: while none is free, patience is shorter.
        let patiences = if self.calls_out().0 >= self.config.slots as usize {
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

    fn arrival(&mut self, now: Micros, arrival: Arrival) {
        let profile = (arrival.profile.0 as usize).min(self.config.profiles.len() - 1);
        let row = &self.config.profiles[profile];
        let mut worth = row.importance;
        let tenant = arrival.tenant.0 as usize;
        if let (Some(share), Some(told)) =
            (self.shares.get_mut(tenant), self.config.tenants.get(tenant))
        {
            // Traffic over a tenant's share is worth little: its part here is taken as an even one.
            let rate = told.quota / f64::from(self.config.forwarders.max(1));
            share.fill(now, rate, rate * SHARE_BURST);
            match share.left >= 1.0 {
                true => share.left -= 1.0,
                false => worth *= self.config.over_share_worth,
            }
        }
        let key = arrival.key.filter(|_| row.in_order);
        let (destination, expires) = (arrival.destination, now + arrival.left);
        // Guards packets with far less time than usual: they are wanted while they last, not late.
        let short = !arrival.again && arrival.left <= row.contract_time;
        let due = if short {
            expires
        } else {
            (expires + row.contract_time).saturating_sub(row.expiry)
        };
        let (id, turn, ready_at) = (arrival.id, key.is_none(), now);
        let Past { trips, exposed } = arrival.past;
        let past = Packet {
            trips,
            exposed: exposed.map(|(at, zone)| (at, zone.0)),
            ..Packet::default()
        };
        let packet = Packet {
            id,
            profile,
            worth,
            due,
            expires,
            key,
            turn,
            ready_at,
            ..past
        };
        if let Some(turns) = key.map(|key| self.turns.entry(key).or_default()) {
            turns.queue.push_back((id, destination));
            // Guards the order over a restart: a trip of an earlier life may still run.
            let rest = if exposed.is_some() {
                now + self.config.rules.order_pause
            } else {
                0
            };
            turns.rest = turns.rest.max(rest);
        }
        self.book.insert(id, (destination, key));
        self.destinations.entry(destination).or_default().id = destination;
        self.mailboxes
            .destinations
            .push_back((destination, ToDestination::Take(packet)));
        self.pass_turn(now, key);
        // Guards against a full room, whose door is blind: the longest queue gives up its least worth.
        if self.book.len() as f64 > ROOM_USED * f64::from(self.config.room) {
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

    fn leave_turns(&mut self, now: Micros, id: PacketId, key: Option<OrderKey>) {
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
                targets,
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
            if let Some((id, note)) = context.mailboxes.targets.pop_front() {
                if let Some(target) = targets.get_mut(&id) {
                    target.handle_message(note, &mut context);
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
                // Guards the order against a call that overtakes the end of the packet before it.
                match key.filter(|_| answered && self.config.ends == Ends::WhenHeard) {
                    Some(key) => _ = self.unheard.insert(id, key),
                    None => self.leave_turns(now, id, key),
                }
            }
            ToForwarder::Unclear { key } => {
                if let Some(turns) = self.turns.get_mut(&key) {
                    turns.rest = turns.rest.max(now + self.config.rules.order_pause);
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
                let empty = |d: &Destination| d.cards.is_empty() && d.packets.is_empty();
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

    /// Offers free slots until no queue wants one: the packet that loses most by waiting goes first.
    fn deal(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let slots = if now < self.still {
            0
        } else {
            self.config.slots as usize
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
