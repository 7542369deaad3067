//! The simulated surroundings of one core: a list of destinations, messages, and answers to its calls after fixed times.
//! They cost little beside the core, and are a function of the seed.

use crate::chance::stream;
use opalpulley::{
    Action, Arrival, DestinationId, Effect, Event, Forwarder, KindId, KindTerms, ListRates, Listing, Micros,
    Outcome, PacketId, Past, ProfileId, ProfileTerms, RepeatGroup, RuleTerms, Standing, TargetId, TenantId,
    TermsOfCarriage, Token, ZoneId,
};
use rand::Rng;
use rand_distr::{Distribution, Zipf};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

pub const SECOND: Micros = 1_000_000;
const ANSWER: Micros = 20_000; // until a target that works answers
const REFUSAL: Micros = 1_000; // until a connection is refused
const SILENCE: Micros = 1_500_000; // until a probe of a silent target is given up, as the program does
const RATE: f32 = 50.0; // calls a second that a destination takes from all forwarders together
const FORWARDERS: u32 = 400; // the operators' size
const SKEW: f64 = 1.0; // exponent of the Zipf law of skewed traffic: the usual one for popularity

/// How messages are spread over the destinations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Spread {
    /// Each destination as often as any other.
    Uniform,
    /// By Zipf's law: the n-th destination gets an n-th part of what the first gets.
    Skewed,
}

/// How a destination answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Health {
    Works,
    RefusesConnections,
    Silent,
}

/// What happens next.
enum Due {
    Alarm(Token),
    Answer { id: PacketId, target: TargetId, sent: Micros, outcome: Outcome },
    ProbeAnswer { target: TargetId, sent: Micros, outcome: Outcome },
}

/// What was counted in a stretch of simulated time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub messages: u64,
    /// Calls of `Forwarder::handle`.
    pub events: u64,
    pub calls: u64,
    pub probes: u64,
    pub delivered: u64,
    /// Written off or deferred.
    pub given_up: u64,
}

/// The terms of the operators' size, with the rules' usual figures.
pub fn terms() -> TermsOfCarriage {
    let profile = |effect, importance| ProfileTerms {
        effect,
        contract_time: 2_500_000,
        expiry: 28 * SECOND,
        importance,
        late_share: 0.5,
        in_order: false,
    };
    let window = 15 * SECOND;
    TermsOfCarriage {
        forwarder: 0,
        forwarders: FORWARDERS,
        slots: 116,
        room: 4_000,
        max_trips: 6,
        may_probe: true,
        may_call_off: true,
        may_say_when: true,
        may_tell: true,
        longest_return: 2 * SECOND,
        list_rates: ListRates::Nominal,
        over_share_worth: 0.1,
        profiles: vec![
            profile(Effect::Retriable, 1.0),
            profile(Effect::Fingerprinted { group: RepeatGroup::All, window }, 2.0),
            profile(Effect::Binding, 4.0),
        ],
        kinds: vec![KindTerms { routes_apart: false, per_call: 1 }],
        zone_fees: vec![0.0; 4],
        rules: RuleTerms {
            answer_slack: 20_000,
            drain_grace: 500_000,
            cold_from: 0.2,
            warm_after: 10 * SECOND,
            fall_multiple: 2.0,
            overload_for: 2 * SECOND,
            order_pause: SECOND,
        },
        ..TermsOfCarriage::default()
    }
}

/// One core and what is round it.
pub struct World {
    core: Forwarder,
    destinations: u32,
    targets_each: u32,
    health: Vec<Health>,
    now: Micros,
    due: BTreeMap<(Micros, u64), Due>,      // each leaves as its time comes
    out: BTreeMap<PacketId, (Micros, u64)>, // the answers under way; each leaves with its answer
    next: u64,
    chance: Pcg64Mcg,
    actions: Vec<Action>,
    counts: Counts,
}

impl World {
    pub fn new(destinations: u32, targets_each: u32, seed: u64) -> World {
        World {
            core: Forwarder::new(terms(), seed),
            destinations,
            targets_each,
            health: vec![Health::Works; destinations as usize],
            now: SECOND,
            due: BTreeMap::new(),
            out: BTreeMap::new(),
            next: 0,
            chance: stream(seed, "capacity", 0),
            actions: Vec::new(),
            counts: Counts::default(),
        }
    }

    pub fn targets(&self) -> u32 {
        self.destinations * self.targets_each
    }

    /// One line of the list, by the number of its target.
    pub fn listing(&self, target: u32, rate_factor: f32) -> Result<Listing, String> {
        let destination = self.name(target / self.targets_each)?;
        let [_, b, c, d] = target.to_be_bytes();
        Ok(Listing {
            target: TargetId { address: [10, b, c, d], port: 80, holder: 0 },
            zone: ZoneId((target % 4) as u16),
            since: 0,
            standing: Standing::Ready,
            rate: RATE * rate_factor,
            destination,
            kind: KindId(0),
        })
    }

    fn name(&self, destination: u32) -> Result<DestinationId, String> {
        destination.try_into().map(DestinationId).map_err(|_| format!("destination {destination} has no id"))
    }

    /// Puts a share of the destinations down, half of them refusing connections and half silent; the others work.
    pub fn put_down(&mut self, share: f64) {
        for health in &mut self.health {
            *health = match (self.chance.random_bool(share), self.chance.random_bool(0.5)) {
                (false, _) => Health::Works,
                (true, true) => Health::RefusesConnections,
                (true, false) => Health::Silent,
            };
        }
    }

    pub fn handle(&mut self, event: Event) {
        self.counts.events += 1;
        let mut actions = std::mem::take(&mut self.actions);
        self.core.handle(self.now, event, &mut actions);
        actions.drain(..).for_each(|action| self.carry_out(action));
        self.actions = actions;
    }

    fn at(&mut self, time: Micros, due: Due) -> (Micros, u64) {
        self.next += 1;
        self.due.insert((time, self.next), due);
        (time, self.next)
    }

    fn health(&self, target: TargetId) -> Health {
        let [_, b, c, d] = target.address;
        self.health[(u32::from_be_bytes([0, b, c, d]) / self.targets_each) as usize]
    }

    fn carry_out(&mut self, action: Action) {
        let sent = self.now;
        match action {
            Action::Send { id, target, limit, .. } => {
                self.counts.calls += 1;
                let (took, outcome) = match self.health(target) {
                    Health::Works => (ANSWER, Outcome::Delivered),
                    Health::RefusesConnections => (REFUSAL, Outcome::NoConnection),
                    Health::Silent => (limit.unwrap_or(60 * SECOND), Outcome::Timeout),
                };
                let key = self.at(sent + took, Due::Answer { id, target, sent, outcome });
                self.out.insert(id, key);
            }
            Action::CallOff { id, .. } => {
                let call = self.out.remove(&id).and_then(|key| self.due.remove(&key));
                if let Some(Due::Answer { id, target, sent, .. }) = call {
                    let outcome = Outcome::CalledOff;
                    let key = self.at(self.now, Due::Answer { id, target, sent, outcome });
                    self.out.insert(id, key);
                }
            }
            Action::Probe { target } => {
                self.counts.probes += 1;
                let (took, outcome) = match self.health(target) {
                    Health::Works => (ANSWER, Outcome::Delivered),
                    Health::RefusesConnections => (REFUSAL, Outcome::NoConnection),
                    Health::Silent => (SILENCE, Outcome::Timeout),
                };
                self.at(sent + took, Due::ProbeAnswer { target, sent, outcome });
            }
            Action::Wake { after, token } => _ = self.at(sent + after, Due::Alarm(token)),
            Action::WriteOff { .. } | Action::Defer { .. } => self.counts.given_up += 1,
            _ => {}
        }
    }

    fn fall_due(&mut self, due: Due) {
        match due {
            Due::Alarm(token) => self.handle(Event::Alarm { token }),
            Due::Answer { id, target, sent, outcome } => {
                self.out.remove(&id);
                let closed = outcome == Outcome::Delivered;
                self.counts.delivered += u64::from(closed);
                let (trip, took, report) = (0, self.now - sent, Vec::new());
                self.handle(Event::TripEnded { id, trip, target, outcome, took, closed, report });
            }
            Due::ProbeAnswer { target, sent, outcome } => {
                let (took, report) = (self.now - sent, Vec::new());
                self.handle(Event::ProbeAnswered { target, outcome, took, report });
            }
        }
    }

    /// All that falls due until then.
    fn advance(&mut self, until: Micros) {
        while let Some(next) = self.due.first_entry().filter(|next| next.key().0 <= until) {
            let ((at, _), due) = next.remove_entry();
            self.now = self.now.max(at);
            self.fall_due(due);
        }
        self.now = until;
    }

    /// So many seconds of messages, evenly spaced; a rate of 0 is rest. Gives what was counted.
    pub fn run(&mut self, seconds: u64, rate: u64, spread: Spread) -> Result<Counts, String> {
        self.counts = Counts::default();
        let (begin, ranks) = (self.now, f64::from(self.destinations));
        let zipf = Zipf::new(ranks, SKEW).map_err(|e| e.to_string())?;
        for message in 0..seconds * rate {
            self.advance(begin + message * SECOND / rate);
            let destination = match spread {
                Spread::Uniform => self.chance.random_range(0..self.destinations),
                Spread::Skewed => zipf.sample(&mut self.chance) as u32 - 1,
            };
            let destination = self.name(destination)?;
            self.next += 1;
            self.counts.messages += 1;
            self.handle(Event::Packet(Arrival {
                id: PacketId(self.next as u32),
                profile: ProfileId((message % 3) as u16),
                tenant: TenantId(u32::MAX),
                key: None,
                left: 28 * SECOND,
                hint: None,
                destination,
                again: false,
                write: true,
                orphan: false,
                past: Past::default(),
            }));
        }
        self.advance(begin + seconds * SECOND);
        Ok(self.counts)
    }
}
